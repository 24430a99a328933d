/*
 * Relays: the few nodes that exchange with another data centre.
 */
#ifndef MEMBERSHIP_RELAY_H
#define MEMBERSHIP_RELAY_H

#include "internal.h"

void relay_tick(struct membership *m);

/* When relay_tick() has something to do next. */
uint64_t relay_next_ms(const struct membership *m);

/* An ack came; it may answer a relay's probe. */
void relay_on_ack(struct membership *m, uint32_t seq);

#endif
