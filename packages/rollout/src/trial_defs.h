/*
 * Internals of a trial, shared by its source files.
 */
#ifndef ROLLOUT_TRIAL_DEFS_H
#define ROLLOUT_TRIAL_DEFS_H

#include <glib.h>

#include "rollout/trial.h"

/**
 * struct trial_report - counts of an endpoint
 * @is_candidate: whether the endpoint runs the new version
 * @seq: sequence number of the last report
 * @received_ms: when the last report was received
 * @counts: the reported counts
 * @base: of an endpoint of the old version: counts when the new version
 *	answered for the first time
 * @first: counts of the first report
 * @first_ms: when the first report was received
 * @snapshots: the last two snapshots of the counts, the earlier one first
 * @snapshot_ms: when the last snapshot was taken
 * @has_base: whether @base is set
 * @suspect: whether the endpoint's answers were bad once; later good answers
 *	don't reset this
 * @finding: result of the last comparison with the old version
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
 * @candidates: struct rollout_endpoint: ready endpoints of the new version, by
 *	the time of their start
 * @old: struct rollout_endpoint: ready endpoints of the old version, by rank
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

/** trial_counts_since() - answers of an endpoint since @earlier */
void trial_counts_since(const struct trial_report *r,
    const struct rollout_counts *earlier, struct rollout_counts *counts);

#endif
