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
 * @p99_us: 99th percentile
 * @p999_us: 99.9th percentile
 * @max_us: maximum
 */
struct latency {
	uint64_t count;
	uint64_t p50_us;
	uint64_t p99_us;
	uint64_t p999_us;
	uint64_t max_us;
};

/**
 * summary_latency() - compute quantiles of a set of calls
 * @us: array of uint64_t, latencies in microseconds; gets sorted
 * @out: set to the quantiles, by nearest rank; all 0 for an empty set
 */
void summary_latency(GArray *us, struct latency *out);

/**
 * summary_json() - summarize a load run
 * @r: result of the run; @r->late_us gets sorted
 * @duration_us: time during which calls were sent
 *
 * Return: {"sent", "done", "not_run", "unknown", "not_sent", "cut",
 * "no_answer", "wrong_answers", "no_fate", "no_retry_after", "goodput_per_s",
 * "late_us", "p50_us", "p99_us", "p999_us", "lookup_us", "booking_us",
 * "upload_us", "statuses"}; latencies are those of calls reported done.
 */
json_t *summary_json(struct load_result *r, uint64_t duration_us);

/** summary_print() - print a summary as a table on standard output */
void summary_print(const json_t *summary);

#endif
