/*
 * State of the quarantine, shared by its bookkeeping and its judgement.
 */
#ifndef TRAFFIC_QUARANTINE_DEFS_H
#define TRAFFIC_QUARANTINE_DEFS_H

#include "traffic/clean_runs.h"
#include "traffic/quarantine.h"

/**
 * struct clearance - a request is exonerated
 * @print: the request; caller 0 for all callers
 * @at_ms: earlier crashes don't implicate it
 */
struct clearance {
	struct fingerprint print;
	uint64_t at_ms;
};

/**
 * struct success_report - a request in a peer's crash was answered here
 * @print: the request
 * @due_ms: when to report it, unless another node has
 */
struct success_report {
	struct fingerprint print;
	uint64_t due_ms;
};

/**
 * struct quarantine - the quarantine
 * @crashes: struct crash, in the order in which they came
 * @quarantined: struct quarantine_entry
 * @suspended: struct quarantine_entry of co-suspects, expired ones included
 * @cleared: struct clearance
 * @success_reports: struct success_report
 * @events: struct quarantine_event that quarantine_pop() is to give
 * @recent_successes: what was answered here lately
 * @seed: seed of random choices
 * @crashes_by_content: content to the number of crashes in which it ran
 * @suspects_expire_ms: when the last suspect is one no longer
 * @decide_ms: when what came last has settled; DEADLINE_NEVER when all has
 */
struct quarantine {
	GPtrArray *crashes;
	GArray *quarantined;
	GArray *suspended;
	GArray *cleared;
	GArray *success_reports;
	GQueue events;
	struct clean_runs recent_successes;
	uint64_t seed;
	GHashTable *crashes_by_content;
	uint64_t suspects_expire_ms;
	uint64_t decide_ms;
};

/** quarantine_covers() - whether @f is a request that @pattern stands for */
bool quarantine_covers(
    const struct fingerprint *pattern, const struct fingerprint *f);

/** quarantine_find() - the entry that covers a request, or NULL */
struct quarantine_entry *
quarantine_find(const struct quarantine *q, const struct fingerprint *f);

/** quarantine_find_suspended() - a request's suspension, expired or not, or
 * NULL */
struct quarantine_entry *quarantine_find_suspended(
    const struct quarantine *q, const struct fingerprint *f);

/** quarantine_cleared_ms() - when a request was last exonerated, 0 for never */
uint64_t
quarantine_cleared_ms(const struct quarantine *q, const struct fingerprint *f);

/** quarantine_crash_at() - crash number @i, in the order in which they came */
const struct crash *quarantine_crash_at(const struct quarantine *q, guint i);

/** quarantine_crash_count() - in how many crashes a content ran */
uint32_t quarantine_crash_count(const struct quarantine *q, uint64_t content);

/* quarantine_suspect.c */

/** quarantine_extend_suspicion() - what ran in a crash is suspect */
void quarantine_extend_suspicion(struct quarantine *q, const struct crash *c);

/* quarantine_judge.c */

/** quarantine_ran_in() - whether a request ran in a crash */
bool quarantine_ran_in(const struct crash *c, const struct fingerprint *f);

/**
 * quarantine_judge() - attribute the known crashes
 * @q: the quarantine
 * @now_ms: monotonic time
 *
 * All are judged before the first is quarantined, as that one would explain the
 * crashes of the others.
 *
 * Return: struct quarantine_entry of those to be quarantined, or suspended
 * until their @until_ms if they have a co-suspect; free with g_array_unref().
 */
GArray *quarantine_judge(const struct quarantine *q, uint64_t now_ms);

#endif
