/*
 * Endpoints of the own host, as its upstreams announce them.
 */
#ifndef MEMBERSHIP_OWN_H
#define MEMBERSHIP_OWN_H

#include "internal.h"

/* Expires leases. */
void own_tick(struct membership *m);

/* Deadline of the next own_tick(). */
uint64_t own_next_ms(const struct membership *m);

/* Extends the leases after a freeze, during which no upstream could renew. */
void own_extend(struct membership *m, uint64_t gap_ms);

/* Marks all endpoints as left when the node stops. */
void own_leave(struct membership *m);

#endif
