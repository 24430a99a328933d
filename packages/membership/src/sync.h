/*
 * Anti-entropy: finds and repairs differences between two tables.
 */
#ifndef MEMBERSHIP_SYNC_H
#define MEMBERSHIP_SYNC_H

#include "internal.h"

/*
 * Starts an exchange if the digest of a peer's table differs and the minimum
 * interval has passed.  @peer is the peer's row or NULL.
 */
void sync_check_root(struct membership *m, const struct net_addr *from,
    const struct row *peer, uint64_t root);

void sync_on_digests(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);
void sync_on_buckets(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);
void sync_on_keys(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);

#endif
