/*
 * Readers: decides whether and when this node reads the platform's head row.
 *
 * The first few hosts of a data centre by rendezvous rank are its readers; each
 * node computes the rank from its own table of hosts.  Other hosts take over
 * while the readers get no answers (spread/reader_group.h).  Readers also act
 * as the relays to other data centres.
 */
#ifndef SPREAD_READERS_H
#define SPREAD_READERS_H

#include <stdint.h>

#include "spread/backoff.h"
#include "spread/env.h"
#include "spread/probes.h"
#include "spread/reader_group.h"

/**
 * struct readers - state of the reads of the head
 * @env: environment
 * @backoff: back-off after failed reads
 * @next_rank_ms: when the rank is next updated
 * @change: change counter of the table of hosts that the rank is based on
 * @poll_ms: when the next read is due
 * @alone_ms: when a node that hasn't joined may read
 * @table_settled_ms: when the table of a node that has joined is complete
 *	enough to compute the rank; DEADLINE_NEVER before it has joined
 * @group: the hosts that read for the data centre
 * @probes: reads beside the long poll
 * @reading: whether a read is in flight
 * @read_start_ms: when that read started
 * @read_deadline_ms: when that read counts as lost
 * @answered_start_ms: when the last read that was answered started, 0 for never
 */
struct readers {
	struct spread_env *env;
	struct backoff backoff;
	uint64_t next_rank_ms;
	uint64_t change;
	uint64_t poll_ms;
	uint64_t alone_ms;
	uint64_t table_settled_ms;
	struct reader_group group;
	struct probes probes;
	int reading;
	uint64_t read_start_ms;
	uint64_t read_deadline_ms;
	uint64_t answered_start_ms;
};

/** readers_init() - initialise a starting node, which is no reader yet */
void readers_init(struct readers *r, struct spread_env *env, uint64_t now_ms);

/** readers_set_long_poll() - reads wait for a change for @wait_ms at most */
void readers_set_long_poll(struct readers *r, uint32_t wait_ms);

/** readers_tick() - request a read or a probe of the head if one is due */
void readers_tick(struct readers *r, uint64_t now_ms);

/** readers_next_ms() - when readers_tick() is due */
uint64_t readers_next_ms(const struct readers *r);

/** readers_on_read_ended() - the read of the head ended with result @end */
void readers_on_read_ended(
    struct readers *r, uint64_t now_ms, const struct spread_read_end *end);

/** readers_on_probe_ended() - a probe of the head ended with result @end */
void readers_on_probe_ended(
    struct readers *r, uint64_t now_ms, const struct spread_read_end *end);

/** readers_read_now() - let a node that hasn't joined read at once */
void readers_read_now(struct readers *r, uint64_t now_ms);

/** readers_on_answer_begun() - the answer to a read began to arrive */
void readers_on_answer_begun(struct readers *r, uint64_t now_ms);

/** readers_on_report() - handle a host's report of a read */
void readers_on_report(struct readers *r, uint64_t now_ms,
    const struct net_addr *from, const struct msg_read_report *msg);

/** readers_is_reader() - whether this node currently reads, and is a relay */
int readers_is_reader(const struct readers *r);

/** readers_is_first() - whether this node is the first answered reader of its
 * data centre */
int readers_is_first(const struct readers *r, uint64_t now_ms);

#endif
