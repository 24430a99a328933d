/*
 * Reconnecting: pings to unknown seeds and to failed hosts.
 */
#ifndef MEMBERSHIP_RECONNECT_H
#define MEMBERSHIP_RECONNECT_H

#include "internal.h"

void reconnect_tick(struct membership *m);

/* Deadline of the next reconnect_tick(). */
uint64_t reconnect_next_ms(const struct membership *m);

/** reconnect_seeds_added() - ping further seeds at once */
void reconnect_seeds_added(struct membership *m);

#endif
