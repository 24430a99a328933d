/*
 * Inside of a trial, shared by its files.
 */
#ifndef ROLLOUT_TRIAL_DEFS_H
#define ROLLOUT_TRIAL_DEFS_H

#include <glib.h>

#include "rollout/trial.h"

/**
 * struct trial_report - counts of an endpoint
 * @is_candidate: it is of the new version
 * @seq: number of the report
 * @received_ms: when it came
 * @counts: the counts
 * @base: counts of an old endpoint when the new version answered first
 * @first: counts at the first report
 * @first_ms: when that came
 * @snapshots: counts at the last two marks, the earlier one first
 * @snapshot_ms: when the last one was taken
 * @has_base: whether @base was taken
 * @suspect: its answers were bad once; later ones don't make up for that
 * @finding: what was found
 */
struct trial_report {
	bool is_candidate;
	uint64_t seq;
	uint64_t received_ms;
	struct rollout_counts counts;
	struct rollout_counts base;
	struct rollout_counts first;
	uint64_t first_ms;
	struct rollout_counts snapshots[2];
	uint64_t snapshot_ms;
	bool has_base;
	bool suspect;
	struct rollout_finding finding;
};

/**
 * struct rollout_trial - a trial
 * @order: number of its order
 * @from: the old version
 * @to: the new version
 * @candidates: struct rollout_endpoint of the new version that are ready, those
 *	that started first before others
 * @old: those of the old version that are ready, by rank
 * @reports: host to struct trial_report
 */
struct rollout_trial {
	uint64_t order;
	char from[ROLLOUT_VERSION_BYTES];
	char to[ROLLOUT_VERSION_BYTES];
	GArray *candidates;
	GArray *old;
	GHashTable *reports;
};

/** trial_counts_since() - what an endpoint has answered since @earlier */
void trial_counts_since(const struct trial_report *r,
    const struct rollout_counts *earlier, struct rollout_counts *counts);

#endif
