/*
 * Probing: pings, their answers, and probes through others.
 */
#ifndef MEMBERSHIP_PROBE_H
#define MEMBERSHIP_PROBE_H

#include "record.h"

void probe_init(struct membership *m);
void probe_clear(struct membership *m);

/* Start probes that are due and end those that got no answer. */
void probe_tick(struct membership *m);

/* When there is something to do next. */
uint64_t probe_next_ms(const struct membership *m);

/* Whether so many probes failed that the own view is not to be believed. */
int probe_distrusted(const struct membership *m);

/* Forget the probes under way: the node was frozen. */
void probe_reset(struct membership *m);

/* Probe a host of the own data centre now, as it is suspected. */
void probe_now(struct membership *m, const struct row *r);

/* The longest that a probe begun now takes to fail. */
uint64_t probe_longest_ms(const struct membership *m);

/*
 * Ping the host of a record that is not believed, so that it speaks for
 * itself; @r is its tombstone or NULL.
 */
void probe_hint(
    struct membership *m, const struct rec_member *rec, const struct row *r);

/* Send a ping; @host may be empty.  Returns its sequence number. */
uint32_t
probe_ping(struct membership *m, const struct net_addr *to, const char *host);

void probe_on_ping(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);
void probe_on_ack(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);
void probe_on_ping_req(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len);

#endif
