/*
 * Relays: the few nodes that exchange records with another data centre.
 */
#ifndef MEMBERSHIP_RELAY_H
#define MEMBERSHIP_RELAY_H

#include "internal.h"

void relay_tick(struct membership *m);

/* Deadline of the next relay_tick(). */
uint64_t relay_next_ms(const struct membership *m);

/* Handles an ack, which may answer a ping of a relay. */
void relay_on_ack(struct membership *m, uint32_t seq);

#endif
