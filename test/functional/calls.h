/*
 * Helpers of process-level tests of calls: a deployment that serves with short
 * deadlines, load of all kinds of calls, counters of their outcomes, and rounds
 * of load in which a fault is injected at a random time.
 */
#ifndef FUNCTIONAL_CALLS_H
#define FUNCTIONAL_CALLS_H

#include <stdint.h>

#include "deployment.h"
#include "standins/outcomes.h"

/**
 * struct calls_limits - limits of every service in the bundle, and of nodes
 * @timeout_ms: timeout of calls
 * @slots: maximum of concurrent calls at an endpoint
 * @queue: maximum of queued calls at an endpoint
 * @queue_wait_ms: maximum time in the queue
 * @key_window_ms: how long nodes remember fates and idempotency keys; longer
 *	than callers repeat a key
 * @drain_ms: limit of the duration of a node's stop; 0 for the default
 * @grace_ms: time after SIGTERM at which nodes must expect to be killed; 0 for
 *	never
 * @notice_ms: how long a stopping node accepts calls; 0 for the default
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
 * struct calls_counts - outcomes of calls, summed over several load runs
 * @sent: all calls
 * @done: calls with the fate done
 * @not_run: calls with the fate not_run
 * @not_sent: calls whose connection couldn't be opened
 * @unknown: calls with the fate unknown and without an idempotency key
 * @keyed_unknown: calls with the fate unknown and with an idempotency key
 * @no_answer: calls without any part of an answer
 * @cut: calls whose answer was truncated
 * @bad_answers: answers that belong to another call, aren't whole or lack their
 *	fate, and refusals without Retry-After
 * @done_of_kind: calls with the fate done, for each kind of call
 * @refused_p99_us: 99th percentile of the latency of calls with the fate
 *	not_run, in the last load run
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
 * @plan: what to start; calls_start() sets @node_settings
 * @limits: limits of all services
 *
 * Also waits until the guards have run for longer than the key window, so that
 * idempotency keys are settled.
 */
struct deployment *calls_start(
    const struct deployment_plan *plan, const struct calls_limits *limits);

/** calls_wait_ready() - wait until all nodes serve and know all endpoints */
void calls_wait_ready(struct deployment *d);

/**
 * calls_load_start() - start load of all kinds of calls to all running nodes
 * @d: the deployment
 * @name: name of the run, unique in the deployment
 * @duration_s: duration of the load in seconds
 * @seed: seed of the load
 *
 * Half of the bookings have an idempotency key; 30 % of these are sent through
 * two nodes at once, and those with the fate unknown are repeated twice through
 * other nodes.
 */
struct process *calls_load_start(struct deployment *d, const char *name,
    const char *duration_s, uint32_t seed);

/**
 * calls_load_leaving() - like calls_load_start(), and a share of the callers
 * leaves before its answer, after 400 ms at the latest
 * @leave_percent: the share
 */
struct process *calls_load_leaving(struct deployment *d, const char *name,
    const char *duration_s, uint32_t seed, uint32_t leave_percent);

/**
 * calls_load_end() - wait for load_gen and add its outcomes to a sum
 * @load: the process; freed
 * @name: name of the run, as given to deployment_load()
 * @total: the sum
 */
void calls_load_end(
    struct process *load, const char *name, struct calls_counts *total);

/** calls_print() - print one line with all counts */
void calls_print(const char *what, const struct calls_counts *c);

/**
 * calls_stop() - stop all processes gracefully, check all outcomes, and free
 * @d: the deployment
 *
 * The test fails if a node quarantines a request, since the load contains no
 * request that crashes upstreams, if a process doesn't exit with code 0, or if
 * an outcome contradicts the upstreams' journals.
 */
void calls_stop(struct deployment *d);

/** calls_first_seed() - seed of the first round: BRAMLEY_SEED, or 1 */
uint32_t calls_first_seed(void);

/**
 * enum calls_targets - targets of the fault of a round
 * @CALLS_NODE: the node of a host
 * @CALLS_UPSTREAM: the upstream of a host
 * @CALLS_HOST: both the node and the upstream of a host
 * @CALLS_HALF_OF_NODES: half of all nodes
 * @CALLS_TARGETS: number of values
 */
enum calls_targets {
	CALLS_NODE,
	CALLS_UPSTREAM,
	CALLS_HOST,
	CALLS_HALF_OF_NODES,
	CALLS_TARGETS,
};

/**
 * struct calls_fault - a kind of fault
 * @name: name for the output
 * @inject: makes a host's node or upstream fail
 * @recover: ends the fault
 * @min_length_ms: shortest time between @inject and @recover
 * @max_length_ms: longest time between @inject and @recover
 * @key_window_ms: see struct calls_limits
 * @duration_s: duration of the load of a round in seconds
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
 * calls_round() - inject a fault at a random time under load
 * @d: the deployment, with all processes running
 * @f: the fault
 * @targets: kind of targets; the seed selects the targets and the times
 * @seed: seed of the round and its load
 * @total: sum to which the outcomes are added
 *
 * The load is that of calls_load_start().
 */
void calls_round(struct deployment *d, const struct calls_fault *f,
    enum calls_targets targets, uint32_t seed, struct calls_counts *total);

/**
 * calls_rounds() - run rounds with all kinds of targets in one deployment
 * @f: the fault
 * @seeds: number of rounds for each kind of targets
 * @sums: receives the outcomes for each kind of targets
 *
 * The first seed is that of calls_first_seed().  The test fails if no call was
 * done, for the answers that calls_counts counts as @bad_answers, and for all
 * that calls_stop() checks.
 */
void calls_rounds(const struct calls_fault *f, uint32_t seeds,
    struct calls_counts sums[CALLS_TARGETS]);

#endif
