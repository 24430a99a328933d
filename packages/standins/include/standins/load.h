/*
 * Load generator: makes the calls of a schedule at their times, whatever
 * becomes of earlier ones, and records what each caller was told.
 *
 * Latency counts from the scheduled time.  Lookups reuse connections;
 * bookings and uploads each open their own, since libcurl sends a request
 * again by itself when a reused connection closes before an answer.
 */
#ifndef STANDINS_LOAD_H
#define STANDINS_LOAD_H

#include <stdint.h>

#include <glib.h>

#include "standins/outcomes.h"
#include "standins/schedule.h"

/**
 * struct load_options - how a schedule is run
 * @nodes: "ip:port" of each node (or upstream)
 * @n_nodes: number of them
 * @direct: whether they are upstreams, which tell no fate but "not_run"
 * @run_id: start of every test id; must differ between runs that share
 *	upstreams
 * @paths: path of each kind of call
 * @body_bytes: body length of each kind; lookups send none
 * @answer_bytes: pattern bytes asked for in answers to lookups
 * @timeout_ms: when a caller gives up
 * @deadline_ms: Bramley-Deadline-Ms header, or 0 for none
 * @repeats: how often a keyed booking that was told unknown is sent again,
 *	each time through the next node
 * @threads: number of threads
 * @connections: most idle connections that a thread keeps
 * @from: address that calls are sent from, or NULL
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
 * struct load_result - what came of a run
 * @outcomes: array of struct outcome, in no order
 * @late_us: array of uint64_t: how late each call was sent, in microseconds
 * @no_retry_after: number of answers with status 503 and no Retry-After
 */
struct load_result {
	GArray *outcomes;
	GArray *late_us;
	uint64_t no_retry_after;
};

/**
 * load_run() - make the calls of a schedule
 * @o: options
 * @schedule: array of struct arrival
 * @out: where the result goes; arrays are owned by the caller
 */
void load_run(const struct load_options *o, const GArray *schedule,
    struct load_result *out);

/** load_result_clear() - free what a result holds */
void load_result_clear(struct load_result *r);

#endif
