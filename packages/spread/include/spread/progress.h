/*
 * Progress: aggregates how many nodes serve the newest version.
 *
 * The live hosts of a data centre, sorted by name, form a tree of arity
 * PROGRESS_ARITY: host i reports to host (i - 1) / PROGRESS_ARITY.  Each node
 * reports the sums over its subtree when they change, at most once per
 * progress_ms, and repeats them after increasing pauses.  The first host of a
 * data centre, the root, has the sums over all of its hosts and returns them on
 * request.
 *
 * While nodes have different tables of hosts the sums can be wrong.  They are
 * for monitoring only; no decision depends on them.
 */
#ifndef SPREAD_PROGRESS_H
#define SPREAD_PROGRESS_H

#include <stdint.h>

#include <glib.h>

#include "proto/messages.h"
#include "spread/env.h"

/* Most children of a host in the tree. */
#define PROGRESS_ARITY 16

/**
 * struct progress_child - last report of a child in the tree
 * @addr: address of the child
 * @heard_ms: when its last report arrived, 0 for never
 * @sum: its last report
 */
struct progress_child {
	struct net_addr addr;
	uint64_t heard_ms;
	struct msg_progress_report sum;
};

/**
 * struct progress - position in the tree, and sums
 * @env: environment
 * @has_parent: whether there is a parent; the root has none
 * @parent: address of the parent
 * @children: children according to this node's table of hosts
 * @n_children: number of entries in @children
 * @change: change counter of the table of hosts that the position is based on
 * @next_position_ms: when the position is next updated
 * @held: version served here, 0 for none
 * @newest: newest version known
 * @refusal: version that can't be used here; zero nodes for none
 * @sent: last report sent
 * @report_ms: when a changed report is due
 * @refresh_ms: when an unchanged report is repeated
 * @pause_ms: pause before @refresh_ms; grows while nothing changes
 * @answers: struct spread_progress of each data centre that answered
 * @token: identifies the answers to the last request
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

/** progress_init() - initialise a node that holds no version */
void progress_init(struct progress *p, struct spread_env *env, uint64_t now_ms);

/** progress_clear() - free the resources of the progress */
void progress_clear(struct progress *p);

/** progress_set_own() - set the version served here and the newest one known */
void progress_set_own(
    struct progress *p, uint64_t now_ms, uint64_t held, uint64_t newest);

/** progress_set_own_refusal() - set the version refused here, if any */
void progress_set_own_refusal(
    struct progress *p, uint64_t now_ms, const struct spread_refusal *r);

/** progress_on_report() - handle a child's report */
void progress_on_report(struct progress *p, uint64_t now_ms,
    const struct net_addr *from, const struct msg_progress_report *msg);

/** progress_on_ask() - answer a request for the sums of this data centre */
void progress_on_ask(struct progress *p, uint64_t now_ms,
    const struct net_addr *from, const struct msg_progress_ask *msg);

/** progress_on_answer() - handle a data centre's sums */
void progress_on_answer(
    struct progress *p, uint64_t now_ms, const struct msg_progress_answer *msg);

/** progress_ask() - request the sums from the root of each data centre */
void progress_ask(struct progress *p, uint64_t now_ms);

/** progress_sum() - compute the sums over this node's subtree */
void progress_sum(
    const struct progress *p, uint64_t now_ms, struct msg_progress_report *sum);

/** progress_tick() - send a report if one is due */
void progress_tick(struct progress *p, uint64_t now_ms);

/** progress_next_ms() - when progress_tick() is due */
uint64_t progress_next_ms(const struct progress *p);

#endif
