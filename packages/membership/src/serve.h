/*
 * Serving of joins: hands the table out, to a limited number of nodes at a
 * time.
 */
#ifndef MEMBERSHIP_SERVE_H
#define MEMBERSHIP_SERVE_H

#include "internal.h"

void serve_on_join(struct membership *m, const struct net_addr *from,
    uint64_t conn, const uint8_t *body, size_t len);

#endif
