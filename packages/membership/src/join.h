/*
 * Joining: a starting node fetches the table from a peer.
 */
#ifndef MEMBERSHIP_JOIN_H
#define MEMBERSHIP_JOIN_H

#include "internal.h"

void join_init(struct membership *m);
void join_clear(struct membership *m);

/* Starts to fetch the whole table, at the node's start. */
void join_start(struct membership *m);

/* Starts to fetch the own data centre's part again, after a freeze. */
void join_refresh(struct membership *m);

void join_tick(struct membership *m);

/* Deadline of the next join_tick(). */
uint64_t join_next_ms(const struct membership *m);

/*
 * Adds the sender of a ping as a candidate while the node joins.  Peers ping a
 * host that left about once a second.  A host that restarts without a known
 * seed joins within 1.5 s through the first of these pings, and does not wait 3
 * s for seeds while its upstream is idle (test_swim, 8 hosts, 5 seeds).
 */
void join_on_ping(struct membership *m, const struct net_addr *from);

/* Handles a peer that cannot be reached. */
void join_unreachable(struct membership *m, const struct net_addr *to);

void join_on_table(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);
void join_on_refused(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);

/** join_seeds_added() - take further seeds as candidates */
void join_seeds_added(struct membership *m);

#endif
