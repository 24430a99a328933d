/*
 * Actions: what the shell is told.
 */
#ifndef MEMBERSHIP_ACTION_H
#define MEMBERSHIP_ACTION_H

#include "internal.h"

/*
 * A row changed.  @replicate: other data centres are to be told as well, which
 * is so for all but suspicions of the own data centre's hosts.
 */
void action_changed(struct membership *m, struct row *r, int replicate);

/* A row is about to be taken out of the table. */
void action_removed(struct membership *m, const struct row *r);

/* A peer told its head. */
void action_peer_head(struct membership *m, const char *host,
    const struct net_addr *addr, const struct rec_gossip_head *head);

/* Change the own phase; nothing when it is the same. */
void action_phase(struct membership *m, enum membership_phase phase);

/* Text for operators. */
void action_warning(struct membership *m, const char *host,
    const struct net_addr *addr, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/* Free what was not popped. */
void action_clear(struct membership *m);

#endif
