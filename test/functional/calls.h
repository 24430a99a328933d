/*
 * What the process-level tests of calls share: a deployment that serves with
 * short deadlines, load of all kinds of calls, counts of what callers were
 * told, and rounds in which something fails at a random moment under load.
 */
#ifndef FUNCTIONAL_CALLS_H
#define FUNCTIONAL_CALLS_H

#include <stdint.h>

#include "deployment.h"
#include "standins/outcomes.h"

/**
 * struct calls_limits - limits of every service in the bundle, and of nodes
 * @timeout_ms: deadline of calls
 * @slots: most calls at once on an endpoint
 * @queue: most calls that wait at an endpoint
 * @queue_wait_ms: longest wait
 * @key_window_ms: how long nodes remember fates and idempotency keys; longer
 *	than callers go on repeating a key
 * @drain_ms: how long a node may take to stop; 0 for the default
 * @grace_ms: when a node that was asked to stop is killed; 0 for never
 * @notice_ms: how long a node that stops takes calls; 0 for the default
 */
struct calls_limits {
	uint32_t timeout_ms;
	uint32_t slots;
	uint32_t queue;
	uint32_t queue_wait_ms;
	uint32_t key_window_ms;
	uint32_t drain_ms;
	uint32_t grace_ms;
	uint32_t notice_ms;
};

/**
 * struct calls_counts - what callers were told, over several load runs
 * @sent: calls
 * @done: told done
 * @not_run: told not_run
 * @not_sent: no connection came about
 * @unknown: told unknown, without an idempotency key
 * @keyed_unknown: told unknown, with a key
 * @no_answer: neither an answer nor a part of one came
 * @cut: answers that broke off
 * @bad_answers: answers to another call, not whole, without their fate, or
 *	refusals without Retry-After
 * @done_of_kind: told done, for each kind of call
 * @refused_p99_us: latency of calls told not_run, 99 of 100 are below; of the
 *	last load run
 */
struct calls_counts {
	uint32_t sent;
	uint32_t done;
	uint32_t not_run;
	uint32_t not_sent;
	uint32_t unknown;
	uint32_t keyed_unknown;
	uint32_t no_answer;
	uint32_t cut;
	uint32_t bad_answers;
	uint32_t done_of_kind[CALL_KINDS];
	uint64_t refused_p99_us;
};

/**
 * calls_start() - start a deployment and wait until it serves
 * @plan: what to start; @node_settings is set by this
 * @limits: of all services
 *
 * Keys are settled as well: the guards are old enough.
 */
struct deployment *calls_start(
    const struct deployment_plan *plan, const struct calls_limits *limits);

/** calls_wait_ready() - wait until all nodes serve and know all endpoints */
void calls_wait_ready(struct deployment *d);

/**
 * calls_load_start() - load of all kinds of calls to all nodes that run
 * @d: the deployment
 * @name: name of the run; different for each
 * @duration_s: how long, in seconds
 * @seed: seed of the load
 *
 * Half of the bookings have a key; a third of these go through two nodes at
 * once, and one told unknown is repeated twice through other nodes.
 */
struct process *calls_load_start(struct deployment *d, const char *name,
    const char *duration_s, uint32_t seed);

/**
 * calls_load_end() - wait for load_gen and add up what it was told
 * @load: freed
 * @name: name of the run, as given to deployment_load()
 * @total: what is added to
 */
void calls_load_end(
    struct process *load, const char *name, struct calls_counts *total);

/** calls_print() - one line with all counts */
void calls_print(const char *what, const struct calls_counts *c);

/**
 * calls_stop() - stop all gracefully, check what was told, and free
 *
 * The test fails for a violation, for a process that doesn't end with 0, and
 * for a request that a node holds off, as none of those sent crashes upstreams.
 */
void calls_stop(struct deployment *d);

/** calls_first_seed() - seed of the first round, BRAMLEY_SEED or a fixed one */
uint32_t calls_first_seed(void);

/** enum calls_targets - what fails in a round */
enum calls_targets {
	CALLS_NODE,
	CALLS_UPSTREAM,
	CALLS_HOST,
	CALLS_HALF_OF_NODES,
	CALLS_TARGETS,
};

/**
 * struct calls_fault - how something fails and recovers
 * @name: for the output
 * @inject: make a host's node or upstream fail
 * @recover: let it go on
 * @min_length_ms: shortest time between both
 * @max_length_ms: longest time between both
 * @key_window_ms: see struct calls_limits
 * @duration_s: how long load is sent in a round, in seconds
 */
struct calls_fault {
	const char *name;
	void (*inject)(struct deployment *d, struct host *h, int node);
	void (*recover)(struct deployment *d, struct host *h, int node);
	uint32_t min_length_ms;
	uint32_t max_length_ms;
	uint32_t key_window_ms;
	const char *duration_s;
};

/**
 * calls_round() - load of all kinds of calls, in which something fails
 * @d: the deployment, with all of it running
 * @f: the fault
 * @targets: what it befalls; which ones, and when, come from the seed
 * @seed: seed of the round and its load
 * @total: what callers were told is added here
 *
 * Half of the bookings have a key; a third of these go through two nodes at
 * once, and one told unknown is repeated twice through other nodes.
 */
void calls_round(struct deployment *d, const struct calls_fault *f,
    enum calls_targets targets, uint32_t seed, struct calls_counts *total);

/**
 * calls_rounds() - rounds with all victims, over one deployment
 * @f: the fault
 * @seeds: rounds for each kind of victims
 * @sums: what callers were told, for each kind of victims
 *
 * The first seed is 1, or what the environment says in BRAMLEY_SEED.  The test
 * fails for an answer that was not whole, not the caller's own or without its
 * fate, and for all that calls_stop() checks.
 */
void calls_rounds(const struct calls_fault *f, uint32_t seeds,
    struct calls_counts sums[CALLS_TARGETS]);

#endif
