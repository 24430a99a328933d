/*
 * Open-loop load generator: starts the calls of a schedule at their times,
 * independently of earlier calls, and records the fate reported to each caller.
 *
 * Latency is measured from the scheduled time.  Lookups reuse connections;
 * bookings and uploads open a new one each, because libcurl resends a request
 * on its own when a reused connection closes before a response.
 */
#ifndef STANDINS_LOAD_H
#define STANDINS_LOAD_H

#include <stdint.h>

#include <glib.h>

#include "standins/outcomes.h"
#include "standins/schedule.h"

/**
 * struct load_options - parameters of a load run
 * @nodes: "ip:port" of each node (or upstream)
 * @n_nodes: number of @nodes
 * @direct: whether @nodes are upstreams, which report no fate but "not_run"
 * @run_id: prefix of every test id; must differ between runs that share
 *	upstreams
 * @paths: path of each kind of call
 * @body_bytes: length of the request body of each kind; lookups send none
 * @answer_bytes: pattern bytes requested in responses to lookups
 * @timeout_ms: timeout of a call
 * @deadline_ms: value of the Bramley-Deadline-Ms header, or 0 for none
 * @repeats: maximum number of times a keyed booking with unknown fate is
 *	repeated, each time through the next node
 * @threads: number of worker threads
 * @connections: maximum number of idle connections per thread
 * @from: source address of calls, or NULL
 */
struct load_options {
	const char *const *nodes;
	uint32_t n_nodes;
	int direct;
	const char *run_id;
	const char *paths[CALL_KINDS];
	uint64_t body_bytes[CALL_KINDS];
	uint64_t answer_bytes;
	uint32_t timeout_ms;
	uint32_t deadline_ms;
	uint32_t repeats;
	uint32_t threads;
	uint32_t connections;
	const char *from;
};

/**
 * struct load_result - result of a load run
 * @outcomes: array of struct outcome, unordered
 * @late_us: array of uint64_t: delay of each call after its scheduled time, in
 *	microseconds
 * @no_retry_after: number of responses with status 503 and no Retry-After
 */
struct load_result {
	GArray *outcomes;
	GArray *late_us;
	uint64_t no_retry_after;
};

/**
 * load_run() - make the calls of a schedule and wait for all of them
 * @o: options
 * @schedule: array of struct arrival
 * @out: set to the result; free with load_result_clear()
 */
void load_run(const struct load_options *o, const GArray *schedule,
    struct load_result *out);

/** load_result_clear() - free the contents of a result */
void load_result_clear(struct load_result *r);

#endif
