/*
 * Probing: who is probed when, and what a missing answer means.
 */
#ifndef MEMBERSHIP_PROBE_H
#define MEMBERSHIP_PROBE_H

#include "internal.h"

void probe_init(struct membership *m);
void probe_clear(struct membership *m);

/* Start probes that are due and end those that got no answer. */
void probe_tick(struct membership *m);

/* When there is something to do next. */
uint64_t probe_next_ms(const struct membership *m);

/* Whether so many probes failed that the own view is not to be believed. */
int probe_is_isolated(const struct membership *m);

/*
 * Put the rows of the own data centre into a random order.  Nodes that took
 * the table from one peer have the same order, and would else all probe the
 * same host at a time.
 */
void probe_shuffle(struct membership *m);

/* Forget the probes under way: the node was frozen. */
void probe_reset(struct membership *m);

/* Probe a host of the own data centre now, as it is suspected. */
void probe_now(struct membership *m, const struct row *r);

/* The longest that a probe begun now takes to fail. */
uint64_t probe_max_ms(const struct membership *m);

/* The host answered the probe with this number. */
void probe_on_ack(struct membership *m, uint32_t seq, const char *host);

#endif
