/*
 * Failure detector: schedule of the probes, and handling of missing acks.
 */
#ifndef MEMBERSHIP_PROBE_H
#define MEMBERSHIP_PROBE_H

#include "internal.h"

void probe_init(struct membership *m);
void probe_clear(struct membership *m);

/* Starts the probes that are due and handles those without an ack. */
void probe_tick(struct membership *m);

/* Deadline of the next probe_tick(). */
uint64_t probe_next_ms(const struct membership *m);

/*
 * Whether so many probes failed in a row that this node is probably cut off,
 * and its view of other hosts is unreliable.
 */
int probe_is_isolated(const struct membership *m);

/*
 * Puts the rows of the own data centre into random order.  Nodes that fetched
 * the table from the same peer have the same order, and would otherwise all
 * probe the same host at a time.
 */
void probe_shuffle(struct membership *m);

/* Drops the probes in progress, after a freeze. */
void probe_reset(struct membership *m);

/* Probes a suspected host of the own data centre now. */
void probe_now(struct membership *m, const struct row *r);

/* The longest time that a probe started now takes to fail. */
uint64_t probe_max_ms(const struct membership *m);

/* Ends the probe of @host with sequence number @seq, which was acknowledged. */
void probe_on_ack(struct membership *m, uint32_t seq, const char *host);

#endif
