/*
 * The checker: what each caller was told against what the upstreams ran.
 */
#ifndef CALLS_CHECKER_H
#define CALLS_CHECKER_H

#include "world.h"

/**
 * struct violations - how often each rule was broken
 * @told_not_run_but_ran: told not_run, and it ran
 * @booking_ran_twice: a non-idempotent request ran more than once
 * @key_ran_twice: requests with one idempotency key ran twice within the
 *	window
 * @key_not_run_but_ran: told not_run, and one with its key had run before it
 *	came, within the window
 * @foreign_answer: given the answer to another request
 * @done_but_never_ran: told done, and nothing ran
 * @told_twice: more than one final word
 * @told_nothing: no word although its entry lived and the caller stayed
 */
struct violations {
	uint32_t told_not_run_but_ran;
	uint32_t booking_ran_twice;
	uint32_t key_ran_twice;
	uint32_t key_not_run_but_ran;
	uint32_t foreign_answer;
	uint32_t done_but_never_ran;
	uint32_t told_twice;
	uint32_t told_nothing;
};

/** checker_check() - judge a finished run */
void checker_check(const struct world *w, struct violations *v);

/** checker_sum() - all of them */
uint32_t checker_sum(const struct violations *v);

/** checker_describe() - non-zero counts in words; @out holds @size bytes */
void checker_describe(const struct violations *v, char *out, size_t size);

#endif
