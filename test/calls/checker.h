/*
 * The checker: what each caller was told against what the upstreams ran.
 */
#ifndef CALLS_CHECKER_H
#define CALLS_CHECKER_H

#include "world.h"

/**
 * struct violations - how often each rule was broken
 * @ran_despite_not_run: told not_run, and it ran
 * @booking_ran_twice: a non-idempotent request ran more than once
 * @key_ran_twice: requests with one idempotency key ran twice within the
 *	window
 * @key_ran_despite_not_run: told not_run, and one with its key had run before
 *it came, within the window
 * @wrong_response: given the answer to another request
 * @done_without_run: told done, and nothing ran
 * @multiple_outcomes: more than one final word
 * @no_outcome: no word although its entry lived and the caller stayed
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

/** checker_check() - judge a finished run */
void checker_check(const struct world *w, struct violations *v);

/** checker_total() - all of them */
uint32_t checker_total(const struct violations *v);

/** checker_describe() - non-zero counts in words; @out holds @size bytes */
void checker_describe(const struct violations *v, char *out, size_t size);

#endif
