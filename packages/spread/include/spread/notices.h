/*
 * Notices: gossips a new head to random peers for a bounded number of rounds,
 * and to other data centres if this node is a relay.
 */
#ifndef SPREAD_NOTICES_H
#define SPREAD_NOTICES_H

#include <stdint.h>

#include "proto/messages.h"
#include "spread/env.h"

/**
 * struct notices - state of the gossip
 * @env: environment
 * @head: head that is gossiped, seq 0 for none
 * @rounds_left: rounds still to be sent
 * @next_ms: when the next round is due
 * @duplicates: notices of @head received from peers since the first round
 * @far: whether other data centres are notified even if this node is no relay
 * @compare_ms: when a relay next sends its head to another data centre for
 *	comparison (anti-entropy)
 */
struct notices {
	struct spread_env *env;
	struct rec_head_tag head;
	uint32_t rounds_left;
	uint64_t next_ms;
	uint32_t duplicates;
	int far;
	uint64_t compare_ms;
};

/** notices_init() - start without a head to gossip */
void notices_init(struct notices *n, struct spread_env *env, uint64_t now_ms);

/**
 * notices_start() - start gossiping a head
 * @n: notices
 * @now_ms: monotonic time
 * @head: head whose version in force this node holds
 * @far: whether other data centres are notified as well
 */
void notices_start(struct notices *n, uint64_t now_ms,
    const struct rec_head_tag *head, int far);

/** notices_on_duplicate() - count a received notice of a head with @seq; enough
 * of them end the rounds early */
void notices_on_duplicate(struct notices *n, uint64_t seq);

/** notices_reply() - send this node's head to one peer */
void
notices_reply(struct notices *n, uint64_t now_ms, const struct net_addr *to);

/**
 * notices_tick() - send the notices that are due
 * @n: notices
 * @now_ms: monotonic time
 * @relay: whether this node is a relay
 */
void notices_tick(struct notices *n, uint64_t now_ms, int relay);

/** notices_next_ms() - when notices_tick() is due */
uint64_t notices_next_ms(const struct notices *n, int relay);

#endif
