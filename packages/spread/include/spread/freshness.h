/*
 * Freshness: since when this node knows that its configuration is the newest.
 *
 * A read of the platform confirms the head as of the start of the read.  Nodes
 * that don't read ask peers; an answer counts from when the question was sent,
 * so that a late answer never confirms too much.  Each node asks a few random
 * peers, so the cost of a node doesn't grow with the fleet, and the time until
 * all nodes have a confirmation grows with the logarithm of their number.
 *
 * Off unless freshness_set_within() is called.
 */
#ifndef SPREAD_FRESHNESS_H
#define SPREAD_FRESHNESS_H

#include <stdint.h>

#include "proto/messages.h"
#include "spread/env.h"

/* Questions whose answers still count. */
#define FRESHNESS_ASKS 8

/**
 * struct freshness - confirmations of this node
 * @env: environment
 * @interval_ms: time between two questions, 0 when off
 * @next_ms: when to ask again
 * @held_seq: head whose version in force this node holds, 0 for none
 * @covered_seq: head that covered all changes accepted before @covered_ms
 * @covered_ms: see @covered_seq; 0 for never
 * @confirmed_ms: latest time before which all accepted changes are in the
 *	configuration that this node holds; 0 for never
 * @token: number of the last question
 * @asked_ms: when the latest questions were sent, by token
 */
struct freshness {
	struct spread_env *env;
	uint32_t interval_ms;
	uint64_t next_ms;
	uint64_t held_seq;
	uint64_t covered_seq;
	uint64_t covered_ms;
	uint64_t confirmed_ms;
	uint32_t token;
	uint64_t asked_ms[FRESHNESS_ASKS];
};

/** freshness_init() - nothing is confirmed, and no peer is asked */
void freshness_init(struct freshness *f, struct spread_env *env);

/** freshness_set_within() - confirmations are needed every @within_ms */
void freshness_set_within(struct freshness *f, uint32_t within_ms);

/**
 * freshness_on_read() - a read of the platform was answered
 * @f: the freshness
 * @started_ms: when the read began
 * @seq: newest head after the answer
 */
void freshness_on_read(struct freshness *f, uint64_t started_ms, uint64_t seq);

/** freshness_set_held() - this node holds the version in force of head @seq */
void freshness_set_held(struct freshness *f, uint64_t seq);

/** freshness_on_ask() - answer a peer's question, if this node can */
void freshness_on_ask(struct freshness *f, uint64_t now_ms,
    const struct net_addr *from, const struct msg_confirm_ask *msg);

/** freshness_on_answer() - handle a peer's answer */
void
freshness_on_answer(struct freshness *f, const struct msg_confirm_answer *msg);

/** freshness_tick() - ask peers if a confirmation is due */
void freshness_tick(struct freshness *f, uint64_t now_ms);

/** freshness_next_ms() - when freshness_tick() is due */
uint64_t freshness_next_ms(const struct freshness *f);

#endif
