/*
 * Serve: answers the pulls and fetches of peers, within limits.
 *
 * An answer that carries everything is given at once as long as the byte
 * budget lasts.  A peer that needs several answers takes one of join_limit
 * slots until it is done or silent; others are told when to come back.
 */
#ifndef SPREAD_SERVE_H
#define SPREAD_SERVE_H

#include <stdint.h>

#include "proto/messages.h"
#include "spread/budget.h"
#include "spread/env.h"

/* Places there can be at most. */
#define SERVE_SLOTS_MAX 64

/**
 * struct serve_slot - a peer that is being served in several answers
 * @addr: the peer
 * @until_ms: when the place is free again
 */
struct serve_slot {
	struct net_addr addr;
	uint64_t until_ms;
};

/**
 * struct serve - state of serving
 * @env: environment
 * @budget: bytes of content that may be sent
 * @slots: peers that are being served
 */
struct serve {
	struct spread_env *env;
	struct budget budget;
	struct serve_slot slots[SERVE_SLOTS_MAX];
};

/** serve_init() - nobody is being served */
void serve_init(struct serve *s, struct spread_env *env, uint64_t now_ms);

/**
 * serve_pull() - answer a pull
 * @s: serve
 * @now_ms: monotonic time
 * @from: the peer
 * @conn: connection to answer on, 0 for a datagram
 * @msg: the pull
 * @head: own head
 *
 * A datagram is answered in one, or with "large" if that does not fit.
 *
 * If the version held is the one in force and no older than what is asked
 * for, the changes to that one are given, so that versions close together are
 * merged; else those to exactly the version asked for.
 */
void serve_pull(struct serve *s, uint64_t now_ms, const struct net_addr *from,
    uint64_t conn, const struct msg_pull *msg, const struct rec_head_tag *head);

/** serve_fetch() - answer a fetch; arguments as serve_pull() */
void serve_fetch(struct serve *s, uint64_t now_ms, const struct net_addr *from,
    uint64_t conn, const struct msg_fetch *msg);

#endif
