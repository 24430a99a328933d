/*
 * Reconnecting: pings to seeds that are not known and to failed hosts.
 */
#ifndef MEMBERSHIP_RECONNECT_H
#define MEMBERSHIP_RECONNECT_H

#include "internal.h"

void reconnect_tick(struct membership *m);

/* When reconnect_tick() has something to do next. */
uint64_t reconnect_next_ms(const struct membership *m);

/** reconnect_seeds_added() - there are further seeds to look for */
void reconnect_seeds_added(struct membership *m);

#endif
