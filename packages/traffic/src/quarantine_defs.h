/*
 * State of the quarantine, shared by quarantine*.c.
 */
#ifndef TRAFFIC_QUARANTINE_DEFS_H
#define TRAFFIC_QUARANTINE_DEFS_H

#include "traffic/clean_runs.h"
#include "traffic/quarantine.h"

/**
 * struct exoneration - an exoneration of a request
 * @print: fingerprint of the request; caller 0 for all callers
 * @at_ms: monotonic time; earlier crashes don't implicate the request
 */
struct exoneration {
	struct fingerprint print;
	uint64_t at_ms;
};

/**
 * struct success_report - a request in a peer's crash was answered here
 * @print: fingerprint of the request
 * @due_ms: monotonic time at which it is reported, unless another node has
 *	done so
 */
struct success_report {
	struct fingerprint print;
	uint64_t due_ms;
};

/**
 * struct quarantine - see traffic/quarantine.h
 * @crashes: struct crash, in order of arrival
 * @quarantined: struct quarantine_entry
 * @suspended: struct quarantine_entry of co-suspects, including expired ones
 * @exonerations: struct exoneration
 * @success_reports: struct success_report
 * @events: struct quarantine_event for quarantine_pop()
 * @recent_successes: requests that were answered on this host recently
 * @seed: seed of random choices
 * @crashes_by_content: content -> number of crashes in which it was in flight
 * @suspects_expire_ms: monotonic time at which the last suspect expires
 * @decide_ms: monotonic time of the next decision; DEADLINE_NEVER when none is
 *	pending
 */
struct quarantine {
	GPtrArray *crashes;
	GArray *quarantined;
	GArray *suspended;
	GArray *exonerations;
	GArray *success_reports;
	GQueue events;
	struct clean_runs recent_successes;
	uint64_t seed;
	GHashTable *crashes_by_content;
	uint64_t suspects_expire_ms;
	uint64_t decide_ms;
};

/** quarantine_covers() - whether @pattern matches the request @f */
bool quarantine_covers(
    const struct fingerprint *pattern, const struct fingerprint *f);

/** quarantine_find() - the quarantine entry that covers a request, or NULL */
struct quarantine_entry *
quarantine_find(const struct quarantine *q, const struct fingerprint *f);

/**
 * quarantine_find_suspended() - the suspension of a request, also an expired
 * one, or NULL
 */
struct quarantine_entry *quarantine_find_suspended(
    const struct quarantine *q, const struct fingerprint *f);

/**
 * quarantine_exonerated_ms() - time of the last exoneration of a request, 0 for
 * none
 */
uint64_t quarantine_exonerated_ms(
    const struct quarantine *q, const struct fingerprint *f);

/** quarantine_crash_at() - crash number @i in order of arrival */
const struct crash *quarantine_crash_at(const struct quarantine *q, guint i);

/**
 * quarantine_crash_count() - number of crashes in which a content was in
 * flight
 */
uint32_t quarantine_crash_count(const struct quarantine *q, uint64_t content);

/* quarantine_suspect.c */

/**
 * quarantine_extend_suspicion() - the requests in flight in a crash become
 * suspect
 */
void quarantine_extend_suspicion(struct quarantine *q, const struct crash *c);

/* quarantine_judge.c */

/** quarantine_ran_in() - whether a request was in flight in a crash */
bool quarantine_ran_in(const struct crash *c, const struct fingerprint *f);

/**
 * quarantine_judge() - attribute the known crashes to requests
 * @q: the quarantine
 * @now_ms: monotonic time
 *
 * All requests are judged before the first is quarantined, as a quarantined
 * request would explain the crashes of the others.
 *
 * Return: struct quarantine_entry of the requests to quarantine, or to suspend
 * until their @until_ms if they have a co-suspect; free with g_array_unref().
 */
GArray *quarantine_judge(const struct quarantine *q, uint64_t now_ms);

#endif
