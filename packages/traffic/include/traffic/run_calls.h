/*
 * Calls that one run of an upstream makes.  The run fails when one of them is
 * given up, so a retry of another one would be wasted.
 */
#ifndef TRAFFIC_RUN_CALLS_H
#define TRAFFIC_RUN_CALLS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct run_calls - calls of one run
 * @refused: calls that were refused and not answered since
 */
struct run_calls {
	uint32_t refused;
};

/** run_calls_refused() - a call was refused for the first time */
void run_calls_refused(struct run_calls *r);

/** run_calls_answered() - a call that had been refused was answered */
void run_calls_answered(struct run_calls *r);

/**
 * run_calls_need_many() - whether the run needs more than one retry to succeed
 *
 * While retries are scarce, one is worth more to a run that needs no other.
 */
bool run_calls_need_many(const struct run_calls *r);

#endif
