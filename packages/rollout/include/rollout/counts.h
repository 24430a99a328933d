/*
 * Counts of an endpoint's answers by route: how many, how many failures, and
 * how long they took.
 */
#ifndef ROLLOUT_COUNTS_H
#define ROLLOUT_COUNTS_H

#include <stdbool.h>
#include <stdint.h>

/* Routes counted apart; the answers of further ones are added up. */
#define ROLLOUT_ROUTES_MAX 12

/* Buckets of times: 4 ms and less, then a square root of two each, to 11 s. */
#define ROLLOUT_BUCKETS 24

/**
 * struct rollout_route - answers on one route
 * @route: number of the route; 0 for all that have no place of their own
 * @answered: answers, failures among them
 * @failed: failures
 * @took: answers by the time they took
 */
struct rollout_route {
	uint64_t route;
	uint32_t answered;
	uint32_t failed;
	uint32_t took[ROLLOUT_BUCKETS];
};

/**
 * struct rollout_counts - answers of an endpoint, or of several
 * @n_routes: number of @routes
 * @routes: routes, the one of all others among them
 */
struct rollout_counts {
	uint32_t n_routes;
	struct rollout_route routes[ROLLOUT_ROUTES_MAX];
};

/**
 * rollout_counts_record() - an answer came
 * @c: the counts
 * @route: number of its route
 * @failed: it is a failure
 * @took_us: time that the upstream took
 */
void rollout_counts_record(
    struct rollout_counts *c, uint64_t route, bool failed, uint64_t took_us);

/** rollout_counts_add() - add @other to @sum */
void rollout_counts_add(
    struct rollout_counts *sum, const struct rollout_counts *other);

/** rollout_counts_subtract() - what came since @earlier, of the same endpoint
 */
void rollout_counts_subtract(
    struct rollout_counts *c, const struct rollout_counts *earlier);

/** rollout_counts_answered() - answers on all routes */
uint64_t rollout_counts_answered(const struct rollout_counts *c);

/** rollout_counts_failed() - failures on all routes */
uint64_t rollout_counts_failed(const struct rollout_counts *c);

#endif
