/*
 * Settling: a node that has just started compares its table with those of peers
 * at short intervals, until they agree.
 */
#ifndef MEMBERSHIP_SETTLE_H
#define MEMBERSHIP_SETTLE_H

#include "internal.h"

/* Starts the period of comparisons. */
void settle_begin(struct membership *m);

/* Compares with a peer that is joining as well, at once. */
void settle_compare(struct membership *m, const struct net_addr *peer);

void settle_tick(struct membership *m);
uint64_t settle_next_ms(const struct membership *m);

void settle_on_compare(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);
void settle_on_rows(struct membership *m, const uint8_t *body, size_t len);

#endif
