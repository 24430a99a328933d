/*
 * The own host's endpoints, as its upstreams announce them.
 */
#ifndef MEMBERSHIP_OWN_H
#define MEMBERSHIP_OWN_H

#include "internal.h"

/* Let leases lapse. */
void own_tick(struct membership *m);

/* When the next lease lapses. */
uint64_t own_next_ms(const struct membership *m);

/* The node was frozen: no upstream could announce itself meanwhile. */
void own_extend(struct membership *m, uint64_t gap_ms);

/* All upstreams have left, as the node stops. */
void own_leave(struct membership *m);

#endif
