/*
 * Pings and acks on the wire: what they carry, and what comes of them.
 */
#ifndef MEMBERSHIP_PING_H
#define MEMBERSHIP_PING_H

#include "record.h"

/* Send a ping with news; @host may be empty.  Returns its number. */
uint32_t
ping_host(struct membership *m, const struct net_addr *to, const char *host);

/* The same with a number that was used before. */
void ping_send(struct membership *m, const struct net_addr *to,
    const char *host, uint32_t seq);

/*
 * Ping the host of a record that is not believed, so that it speaks for
 * itself; @r is its tombstone or NULL.
 */
void ping_verify(
    struct membership *m, const struct rec_member *rec, const struct row *r);

/* Forget pings made for other nodes that were not answered. */
void ping_expire_indirect(struct membership *m);

void ping_on_ping(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);
void ping_on_ack(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);
void ping_on_ping_req(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);

#endif
