/*
 * Progress: adds up on the way how many nodes serve the newest version.
 *
 * The live hosts of a data centre, sorted by name, are a tree of arity
 * PROGRESS_ARITY: host i reports to host (i - 1) / PROGRESS_ARITY.  Each node
 * reports the sums over its subtree when they change, at most once in
 * progress_ms, and then again after ever longer pauses.  The first host of a
 * data centre has the sums of all, and tells whoever asks.
 *
 * Nodes that see different tables of hosts for a moment can make the sums
 * wrong for that moment; they are for watching, nothing is decided by them.
 */
#ifndef SPREAD_PROGRESS_H
#define SPREAD_PROGRESS_H

#include <stdint.h>

#include <glib.h>

#include "proto/messages.h"
#include "spread/env.h"

#define PROGRESS_ARITY 16

/**
 * struct progress_child - last report of a child in the tree
 * @addr: the child
 * @heard_ms: when it reported, 0 for never
 * @sum: what it reported
 */
struct progress_child {
	struct net_addr addr;
	uint64_t heard_ms;
	struct msg_progress_report sum;
};

/**
 * struct progress - place in the tree and sums
 * @env: environment
 * @has_parent: whether there is a parent; the root has none
 * @parent: address of the parent
 * @children: children by this node's table of hosts
 * @n_children: number of @children
 * @change: state of the table of hosts at which the place was worked out
 * @next_position_ms: when it is worked out again
 * @held: version served here, 0 for none
 * @newest: newest version known
 * @refusal: version that can't be used here; no nodes for none
 * @sent: what was reported last
 * @report_ms: when the next report is due
 * @refresh_ms: when a report is sent even without a change
 * @pause_ms: pause before that; grows while nothing changes
 * @answers: struct spread_progress of each data centre that answered
 * @token: number of the last question
 */
struct progress {
	struct spread_env *env;
	int has_parent;
	struct net_addr parent;
	struct progress_child children[PROGRESS_ARITY];
	uint32_t n_children;
	uint64_t change;
	uint64_t next_position_ms;
	uint64_t held;
	uint64_t newest;
	struct spread_refusal refusal;
	struct msg_progress_report sent;
	uint64_t report_ms;
	uint64_t refresh_ms;
	uint32_t pause_ms;
	GArray *answers;
	uint32_t token;
};

/** progress_init() - a node that holds nothing */
void progress_init(struct progress *p, struct spread_env *env, uint64_t now_ms);

/** progress_clear() - free what the progress holds */
void progress_clear(struct progress *p);

/** progress_set_own() - the version served here, or the newest known, changed
 */
void progress_set_own(
    struct progress *p, uint64_t now_ms, uint64_t held, uint64_t newest);

/** progress_set_own_refusal() - whether a version is refused here changed */
void progress_set_own_refusal(
    struct progress *p, uint64_t now_ms, const struct spread_refusal *r);

/** progress_on_report() - a child reported */
void progress_on_report(struct progress *p, uint64_t now_ms,
    const struct net_addr *from, const struct msg_progress_report *msg);

/** progress_on_ask() - somebody asks for the sums of this data centre */
void progress_on_ask(struct progress *p, uint64_t now_ms,
    const struct net_addr *from, const struct msg_progress_ask *msg);

/** progress_on_answer() - a data centre told its sums */
void progress_on_answer(
    struct progress *p, uint64_t now_ms, const struct msg_progress_answer *msg);

/** progress_ask() - ask the root of each data centre for its sums */
void progress_ask(struct progress *p, uint64_t now_ms);

/** progress_sum() - sums over the own subtree */
void progress_sum(
    const struct progress *p, uint64_t now_ms, struct msg_progress_report *sum);

/** progress_tick() - report if it is due */
void progress_tick(struct progress *p, uint64_t now_ms);

/** progress_next_ms() - when progress_tick() is due */
uint64_t progress_next_ms(const struct progress *p);

#endif
