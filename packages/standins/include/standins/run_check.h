/*
 * Checker: what callers were told against what upstreams ran.
 *
 * It holds of each call: told not_run (or never sent) means no run; told
 * done means a run, and exactly one unless it was a lookup; told unknown
 * means at most one run unless it was a lookup; the answer was whole and the
 * caller's own; and no run without a call.  Calls with one idempotency key
 * count together: at most one run, and exactly one when any was told done.
 */
#ifndef STANDINS_RUN_CHECK_H
#define STANDINS_RUN_CHECK_H

#include <stdint.h>

#include <glib.h>

#include "standins/outcomes.h"
#include "standins/runs.h"

/** enum run_rule - what a violation broke */
enum run_rule {
	RULE_NOT_RUN_BUT_RAN,
	RULE_DONE_BUT_NOT_RUN,
	RULE_RAN_TWICE,
	RULE_KEY_RAN_TWICE,
	RULE_BAD_RESPONSE,
	RULE_RUN_WITHOUT_CALL,
	RULE_DUPLICATE_CALL,
	RULE_COUNT,
};

/**
 * struct violation - one rule broken by one call
 * @rule: the rule
 * @id: test id or idempotency key
 * @reported: what the caller was told (not for a stray run)
 * @runs: number of runs
 */
struct violation {
	enum run_rule rule;
	char id[OUTCOMES_ID_BYTES];
	enum reported_fate reported;
	uint64_t runs;
};

/** run_rule_name() - short name of a rule */
const char *run_rule_name(enum run_rule r);

/**
 * run_check() - hold calls against runs
 * @calls: array of struct outcome
 * @r: the runs of all upstreams
 *
 * Return: a new array of struct violation, empty when all is well.
 */
GArray *run_check(const GArray *calls, const struct runs *r);

#endif
