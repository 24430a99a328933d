/*
 * Known version: the newest version that the platform is known to have
 * accepted.
 */
#ifndef MEMBERSHIP_KNOWN_H
#define MEMBERSHIP_KNOWN_H

#include "internal.h"

/* Sets the known version and its age in a head that is about to be sent. */
void known_fill(const struct membership *m, struct rec_gossip_head *head);

/* Merges the known version of a peer's head. */
void known_merge(struct membership *m, const struct rec_gossip_head *head);

/* Pushes a new known version to a few peers. */
void known_tick(struct membership *m);

/* Deadline of the next known_tick(). */
uint64_t known_next_ms(const struct membership *m);

#endif
