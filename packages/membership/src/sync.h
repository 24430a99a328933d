/*
 * Anti-entropy: finding and repairing differences between two tables.
 */
#ifndef MEMBERSHIP_SYNC_H
#define MEMBERSHIP_SYNC_H

#include "internal.h"

/*
 * A peer told the digest of its table; begin an exchange if it differs and
 * the last was not just now.  @peer is its row or NULL.
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
