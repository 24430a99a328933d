/*
 * Per-route counts of an endpoint's answers: total, failures, and a histogram
 * of latencies.
 */
#ifndef ROLLOUT_COUNTS_H
#define ROLLOUT_COUNTS_H

#include <stdbool.h>
#include <stdint.h>

/* Entries: the first is shared by all routes without an entry of their own. */
#define ROLLOUT_ROUTES_MAX 12

/* Latency buckets: the first up to 4 ms, then each bound is larger by the
 * square root of two; the last bucket holds all latencies above 8.2 s. */
#define ROLLOUT_BUCKETS 24

/**
 * struct rollout_route - answers on one route
 * @route: hash of the route; 0 in the entry shared by all other routes
 * @answered: answers, failures included
 * @failed: failed answers
 * @took: histogram of the latencies of successful answers
 */
struct rollout_route {
	uint64_t route;
	uint32_t answered;
	uint32_t failed;
	uint32_t took[ROLLOUT_BUCKETS];
};

/**
 * struct rollout_counts - answers of one endpoint, or the sum over several
 * @n_routes: number of @routes
 * @routes: entries; the first one is shared by all routes without their own
 */
struct rollout_counts {
	uint32_t n_routes;
	struct rollout_route routes[ROLLOUT_ROUTES_MAX];
};

/**
 * rollout_counts_record() - count one answer
 * @c: the counts
 * @route: hash of its route
 * @failed: whether the answer is a failure
 * @took_us: latency of the upstream
 */
void rollout_counts_record(
    struct rollout_counts *c, uint64_t route, bool failed, uint64_t took_us);

/** rollout_counts_add() - add @other to @sum */
void rollout_counts_add(
    struct rollout_counts *sum, const struct rollout_counts *other);

/** rollout_counts_subtract() - reduce @c to the answers since @earlier, a
 * previous value of the same endpoint's counts */
void rollout_counts_subtract(
    struct rollout_counts *c, const struct rollout_counts *earlier);

/** rollout_counts_answered() - number of answers on all routes */
uint64_t rollout_counts_answered(const struct rollout_counts *c);

/** rollout_counts_failed() - number of failures on all routes */
uint64_t rollout_counts_failed(const struct rollout_counts *c);

#endif
