/*
 * Summary of a load run: counts, goodput and latencies.
 */
#ifndef STANDINS_SUMMARY_H
#define STANDINS_SUMMARY_H

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "standins/load.h"
#include "standins/outcomes.h"

/**
 * struct latency - latencies of a set of calls in microseconds
 * @count: number of calls
 * @p50_us: median
 * @p99_us: 99 in 100 are below
 * @p999_us: 999 in 1000 are below
 * @max_us: the longest
 */
struct latency {
	uint64_t count;
	uint64_t p50_us;
	uint64_t p99_us;
	uint64_t p999_us;
	uint64_t max_us;
};

/**
 * summary_latency() - latencies of a set of calls
 * @us: array of uint64_t; sorted by this
 * @out: where the latencies go
 */
void summary_latency(GArray *us, struct latency *out);

/**
 * summary_json() - summary of a run
 * @r: the run; its lateness is sorted by this
 * @duration_us: how long calls were sent
 *
 * Return: {"sent", "done", "not_run", "unknown", "not_sent", "cut",
 * "no_answer", "wrong_answers", "no_fate", "no_retry_after", "goodput_per_s",
 * "late_us", "p50_us", "p99_us", "p999_us", "lookup_us", "booking_us",
 * "upload_us", "statuses"}; latencies are those of calls told done.
 */
json_t *summary_json(struct load_result *r, uint64_t duration_us);

/** summary_print() - the same for people, on standard output */
void summary_print(const json_t *summary);

#endif
