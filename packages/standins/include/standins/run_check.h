/*
 * Checks fates reported to callers against the runs at upstreams.
 *
 * Rules for each call: reported not_run (or never sent) means no run; reported
 * done means a run, and exactly one unless the call is a lookup; reported
 * unknown means at most one run unless the call is a lookup; the response is
 * intact and belongs to the call.  There is no run without a call.  Calls with
 * the same idempotency key count together: at most one run, and exactly one if
 * any of them was reported done.
 */
#ifndef STANDINS_RUN_CHECK_H
#define STANDINS_RUN_CHECK_H

#include <stdint.h>

#include <glib.h>

#include "standins/outcomes.h"
#include "standins/runs.h"

/** enum run_rule - rule that a violation breaks */
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
 * struct violation - violation of a rule by a call
 * @rule: the rule
 * @id: test id or idempotency key
 * @reported: fate reported to the caller; meaningless for
 *	RULE_RUN_WITHOUT_CALL
 * @runs: number of runs
 */
struct violation {
	enum run_rule rule;
	char id[OUTCOMES_ID_BYTES];
	enum reported_fate reported;
	uint64_t runs;
};

/** run_rule_name() - name of a rule as printed by check_runs */
const char *run_rule_name(enum run_rule r);

/**
 * run_check() - check calls against runs
 * @calls: array of struct outcome
 * @r: runs of all upstreams
 *
 * Return: a new array of struct violation, empty if all rules hold.
 */
GArray *run_check(const GArray *calls, const struct runs *r);

#endif
