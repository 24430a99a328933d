/*
 * Serve: answers pulls and fetches of peers, within limits.
 *
 * An answer that carries everything is sent at once as long as the byte budget
 * lasts.  A peer that needs several answers occupies one of join_limit slots
 * until it is done or has sent nothing for a while; other peers receive
 * the time after which to retry.
 */
#ifndef SPREAD_SERVE_H
#define SPREAD_SERVE_H

#include <stdint.h>

#include "proto/messages.h"
#include "spread/budget.h"
#include "spread/env.h"

/* Upper bound of join_limit. */
#define SERVE_SLOTS_MAX 64

/**
 * struct serve_slot - a peer that is served in several answers
 * @addr: address of the peer
 * @until_ms: when the slot is released
 */
struct serve_slot {
	struct net_addr addr;
	uint64_t until_ms;
};

/**
 * struct serve - state of serving
 * @env: environment
 * @budget: bytes of content that may be sent
 * @slots: peers that are served in several answers
 */
struct serve {
	struct spread_env *env;
	struct budget budget;
	struct serve_slot slots[SERVE_SLOTS_MAX];
};

/** serve_init() - start with all slots free */
void serve_init(struct serve *s, struct spread_env *env, uint64_t now_ms);

/**
 * serve_pull() - answer a pull
 * @s: serve
 * @now_ms: monotonic time
 * @from: address of the peer
 * @conn: connection to answer on, 0 for a datagram
 * @msg: the pull
 * @head: this node's head
 *
 * The answer to a datagram is a datagram; its result is "large" if the content
 * doesn't fit one.
 *
 * If the version held here is in force and newer than the requested one, the
 * answer carries the changes up to the held version, so that versions close
 * together are merged; else up to exactly the requested version.
 */
void serve_pull(struct serve *s, uint64_t now_ms, const struct net_addr *from,
    uint64_t conn, const struct msg_pull *msg, const struct rec_head_tag *head);

/** serve_fetch() - answer a fetch; arguments as serve_pull() */
void serve_fetch(struct serve *s, uint64_t now_ms, const struct net_addr *from,
    uint64_t conn, const struct msg_fetch *msg);

#endif
