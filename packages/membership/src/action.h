/*
 * Actions: notifications for the caller of the membership.
 */
#ifndef MEMBERSHIP_ACTION_H
#define MEMBERSHIP_ACTION_H

#include "internal.h"

/*
 * Records that a row changed.  @replicate: the change also goes to other data
 * centres; 0 only for suspicions, which stay within their data centre.
 */
void action_changed(struct membership *m, struct row *r, int replicate);

/* Records that a row is about to be removed from the table. */
void action_removed(struct membership *m, const struct row *r);

/* Queues the configuration head that a peer reported. */
void action_peer_head(struct membership *m, const char *host,
    const struct net_addr *addr, const struct rec_gossip_head *head);

/* Changes the own phase; does nothing when the phase is the same. */
void action_phase(struct membership *m, enum membership_phase phase);

/* Queues a warning for operators. */
void action_warning(struct membership *m, const char *host,
    const struct net_addr *addr, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/* Queues that the own runs, or what peers hold of them, changed. */
void action_runs(struct membership *m);

/* Frees the actions that were not popped. */
void action_clear(struct membership *m);

#endif
