/*
 * Readers: whether and when this node polls the platform's head row.
 *
 * The first few hosts of a data centre by rendezvous rank are its readers;
 * each node works the rank out from its own table of hosts.  Others take over
 * while those are not answered (spread/reader_group.h).  Readers are also the
 * relays to other data centres.
 */
#ifndef SPREAD_READERS_H
#define SPREAD_READERS_H

#include <stdint.h>

#include "spread/backoff.h"
#include "spread/env.h"
#include "spread/probes.h"
#include "spread/reader_group.h"

/**
 * struct readers - state of the polling
 * @env: environment
 * @backoff: back-off after failed reads
 * @next_rank_ms: when the rank is worked out again
 * @change: state of the table of hosts at which it was worked out
 * @poll_ms: when the next poll is due
 * @alone_ms: when a node that could not join anybody may poll
 * @table_settled_ms: when the table of a node that has joined tells who reads;
 *	DEADLINE_NEVER while it has not joined
 * @group: who reads for the data centre
 * @probes: reads beside the one under way
 * @reading: whether a read is under way
 * @read_start_ms: when it was asked for
 * @read_deadline_ms: when a read without an answer is given up
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
};

/** readers_init() - a starting node, not a reader yet */
void readers_init(struct readers *r, struct spread_env *env, uint64_t now_ms);

/** readers_set_long_poll() - reads wait for a change for @wait_ms at most */
void readers_set_long_poll(struct readers *r, uint32_t wait_ms);

/** readers_tick() - ask for a read of the head if it is due */
void readers_tick(struct readers *r, uint64_t now_ms);

/** readers_next_ms() - when readers_tick() is due */
uint64_t readers_next_ms(const struct readers *r);

/** readers_on_read_ended() - the read of the head ended, as @end tells */
void readers_on_read_ended(
    struct readers *r, uint64_t now_ms, const struct spread_read_end *end);

/** readers_on_probe_ended() - a probe of the head ended, as @end tells */
void readers_on_probe_ended(
    struct readers *r, uint64_t now_ms, const struct spread_read_end *end);

/** readers_read_now() - a node that has not joined yet reads all the same */
void readers_read_now(struct readers *r, uint64_t now_ms);

/** readers_on_answer_begun() - the answer to the read of the head has begun to
 * come */
void readers_on_answer_begun(struct readers *r, uint64_t now_ms);

/** readers_on_report() - a host told how its read ended */
void readers_on_report(struct readers *r, uint64_t now_ms,
    const struct net_addr *from, const struct msg_read_report *msg);

/** readers_is_reader() - whether this node reads just now, and is a relay */
int readers_is_reader(const struct readers *r);

/** readers_is_first() - whether it is the first of its data centre that does */
int readers_is_first(const struct readers *r, uint64_t now_ms);

#endif
