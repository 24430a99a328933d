/*
 * Notices: passes a new head on to random peers for a bounded number of
 * rounds, and to other data centres if this node is a relay.
 */
#ifndef SPREAD_NOTICES_H
#define SPREAD_NOTICES_H

#include <stdint.h>

#include "proto/messages.h"
#include "spread/env.h"

/**
 * struct notices - state of passing on
 * @env: environment
 * @head: head that is passed on, seq 0 for none
 * @rounds_left: rounds still to be sent
 * @next_ms: when the next round is due
 * @duplicates: notices of this very head that came in
 * @far: whether to tell other data centres as well
 * @compare_ms: when a relay compares with another data centre next
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

/** notices_init() - nothing to pass on yet */
void notices_init(struct notices *n, struct spread_env *env, uint64_t now_ms);

/**
 * notices_start() - pass a head on
 * @n: notices
 * @now_ms: monotonic time
 * @head: head whose version in force this node holds
 * @far: whether to tell other data centres as well
 */
void notices_start(struct notices *n, uint64_t now_ms,
    const struct rec_head_tag *head, int far);

/** notices_on_duplicate() - a peer passed a head with @seq on to this node */
void notices_on_duplicate(struct notices *n, uint64_t seq);

/** notices_reply() - tell one peer the own head */
void
notices_reply(struct notices *n, uint64_t now_ms, const struct net_addr *to);

/**
 * notices_tick() - send what is due
 * @n: notices
 * @now_ms: monotonic time
 * @relay: whether this node is a relay
 */
void notices_tick(struct notices *n, uint64_t now_ms, int relay);

/** notices_next_ms() - when notices_tick() is due */
uint64_t notices_next_ms(const struct notices *n, int relay);

#endif
