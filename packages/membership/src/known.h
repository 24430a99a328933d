/*
 * Known: the newest version that the platform is known to have accepted.
 */
#ifndef MEMBERSHIP_KNOWN_H
#define MEMBERSHIP_KNOWN_H

#include "internal.h"

/* Put what this node knows into a head that is told. */
void known_fill(const struct membership *m, struct rec_gossip_head *head);

/* Take in what a peer knows. */
void known_merge(struct membership *m, const struct rec_gossip_head *head);

/* Tell a few others at once what is new. */
void known_tick(struct membership *m);

/* When known_tick() is wanted next. */
uint64_t known_next_ms(const struct membership *m);

#endif
