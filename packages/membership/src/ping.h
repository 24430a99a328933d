/*
 * Pings and acks: encoding, and handling of received ones.
 */
#ifndef MEMBERSHIP_PING_H
#define MEMBERSHIP_PING_H

#include "record.h"

/*
 * Sends a ping with gossip to @host, which may be empty when the name is not
 * known.  Returns the sequence number.
 */
uint32_t
ping_host(struct membership *m, const struct net_addr *to, const char *host);

/* Sends a ping as ping_host(), with a sequence number that was used before. */
void ping_send(struct membership *m, const struct net_addr *to,
    const char *host, uint32_t seq);

/*
 * Pings the host of a record that is not accepted, so that the host can confirm
 * the record; @r is its tombstone or NULL.
 */
void ping_verify(
    struct membership *m, const struct rec_member *rec, const struct row *r);

/* Drops indirect probes that were not answered in time. */
void ping_expire_indirect(struct membership *m);

void ping_on_ping(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);
void ping_on_ack(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);
void ping_on_ping_req(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);

#endif
