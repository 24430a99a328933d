/*
 * Joining: a starting node fetches the table from a peer.
 */
#ifndef MEMBERSHIP_JOIN_H
#define MEMBERSHIP_JOIN_H

#include "internal.h"

void join_init(struct membership *m);
void join_clear(struct membership *m);

/* Fetch the whole table: the node starts. */
void join_start(struct membership *m);

/* Fetch the own data centre's part again: the node was frozen. */
void join_refresh(struct membership *m);

void join_tick(struct membership *m);

/* When join_tick() has something to do next. */
uint64_t join_next_ms(const struct membership *m);

/*
 * A ping came while the node joins.  A host that starts again while it can be
 * told of nobody is looked for by its peers about once a second.  Who asks the
 * first of them is in within 1.5 s, and does not wait 3 s for seeds while its
 * upstream is idle (test_swim, 8 hosts, 5 seeds).
 */
void join_on_ping(struct membership *m, const struct net_addr *from);

/* A peer can't be reached. */
void join_unreachable(struct membership *m, const struct net_addr *to);

void join_on_table(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);
void join_on_refused(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);

/** join_seeds_added() - there are further seeds to ask */
void join_seeds_added(struct membership *m);

#endif
