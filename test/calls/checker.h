/*
 * Checker: compares the outcomes reported to callers with what the upstreams
 * ran.
 */
#ifndef CALLS_CHECKER_H
#define CALLS_CHECKER_H

#include "world.h"

/**
 * struct violations - number of violations of each rule
 * @ran_despite_not_run: outcome not_run, but the request ran
 * @booking_ran_twice: a non-idempotent request ran more than once
 * @key_ran_twice: requests with the same idempotency key ran twice within the
 *	window
 * @key_ran_despite_not_run: outcome not_run, but a request with the same key
 *	had run within the window before this one was sent
 * @wrong_response: the response belongs to another request
 * @done_without_run: outcome done, but no request ran
 * @multiple_outcomes: more than one outcome was reported
 * @no_outcome: no outcome was reported although the entry survived and the
 *	caller stayed connected
 */
struct violations {
	uint32_t ran_despite_not_run;
	uint32_t booking_ran_twice;
	uint32_t key_ran_twice;
	uint32_t key_ran_despite_not_run;
	uint32_t wrong_response;
	uint32_t done_without_run;
	uint32_t multiple_outcomes;
	uint32_t no_outcome;
};

/** checker_check() - check a finished run */
void checker_check(const struct world *w, struct violations *v);

/** checker_total() - total number of violations */
uint32_t checker_total(const struct violations *v);

/** checker_describe() - list the non-zero counts as text in @out of @size
 * bytes */
void checker_describe(const struct violations *v, char *out, size_t size);

#endif
