/*
 * State of the quarantine, shared by its bookkeeping and its judgement.
 */
#ifndef TRAFFIC_QUARANTINE_DEFS_H
#define TRAFFIC_QUARANTINE_DEFS_H

#include "traffic/clean_runs.h"
#include "traffic/quarantine.h"

/**
 * struct clearance - a request is known to be harmless
 * @print: the request; caller 0 for all callers
 * @at_ms: crashes up to then don't count for it
 */
struct clearance {
	struct fingerprint print;
	uint64_t at_ms;
};

/**
 * struct voucher - a peer's crash lists what was answered here
 * @print: the request
 * @due_ms: when that is told, unless it is known by then
 */
struct voucher {
	struct fingerprint print;
	uint64_t due_ms;
};

/**
 * struct quarantine - the quarantine
 * @crashes: struct crash, in the order in which they came
 * @held: struct quarantine_entry
 * @doubted: struct quarantine_entry of rivals that are put off, or were
 * @cleared: struct clearance
 * @vouchers: struct voucher
 * @events: struct quarantine_event that quarantine_pop() is to give
 * @clean: what was answered here lately
 * @seed: seed of random choices
 * @contents: content to the number of crashes in which it ran
 * @suspects_until_ms: when the last suspect is one no longer
 * @settled_ms: when what came last has settled; DEADLINE_NEVER when all has
 */
struct quarantine {
	GPtrArray *crashes;
	GArray *held;
	GArray *doubted;
	GArray *cleared;
	GArray *vouchers;
	GQueue events;
	struct clean_runs clean;
	uint64_t seed;
	GHashTable *contents;
	uint64_t suspects_until_ms;
	uint64_t settled_ms;
};

/** quarantine_covers() - whether @f is a request that @pattern stands for */
bool quarantine_covers(
    const struct fingerprint *pattern, const struct fingerprint *f);

/** quarantine_held() - the entry that covers a request, or NULL */
struct quarantine_entry *
quarantine_held(const struct quarantine *q, const struct fingerprint *f);

/** quarantine_doubted() - the doubt about a request, over or not, or NULL */
struct quarantine_entry *
quarantine_doubted(const struct quarantine *q, const struct fingerprint *f);

/** quarantine_cleared_ms() - when a request was last known to be harmless, 0
 * for never */
uint64_t
quarantine_cleared_ms(const struct quarantine *q, const struct fingerprint *f);

/** quarantine_crash_at() - crash number @i, in the order in which they came */
const struct crash *quarantine_crash_at(const struct quarantine *q, guint i);

/** quarantine_seen() - in how many crashes a content ran */
uint32_t quarantine_seen(const struct quarantine *q, uint64_t content);

/* quarantine_suspect.c */

/** quarantine_note_suspects() - what ran in a crash is suspect */
void quarantine_note_suspects(struct quarantine *q, const struct crash *c);

/* quarantine_judge.c */

/** quarantine_ran_in() - whether a request ran in a crash */
bool quarantine_ran_in(const struct crash *c, const struct fingerprint *f);

/**
 * quarantine_judge() - who is to blame for what is known
 * @q: the quarantine
 * @now_ms: monotonic time
 *
 * All are judged before the first is held off, as that one would explain the
 * crashes of the others.
 *
 * Return: struct quarantine_entry that aren't held off yet, with an end where a
 * rival leaves it open; free with g_array_unref().
 */
GArray *quarantine_judge(const struct quarantine *q, uint64_t now_ms);

#endif
