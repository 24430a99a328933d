/*
 * Judge: whether the answers of a new version are worse than those of the old
 * version.
 *
 * Routes are compared one by one with the old version's answers of the same
 * time, so that a condition that slows or fails both versions does not count
 * against the new one.
 */
#ifndef ROLLOUT_JUDGE_H
#define ROLLOUT_JUDGE_H

#include "rollout/counts.h"

/** enum rollout_defect - in which way a version is worse */
enum rollout_defect {
	ROLLOUT_SOUND = 0,
	ROLLOUT_FAILS,
	ROLLOUT_SLOW,
};

/** rollout_defect_name() - name of a defect, for logs */
const char *rollout_defect_name(enum rollout_defect d);

/**
 * struct rollout_finding - the first route on which a version is worse
 * @defect: in which way, ROLLOUT_SOUND if in none
 * @route: hash of the route
 * @bad: failed or slow answers of the new version
 * @total: answers of the new version
 * @old_bad: failed or slow answers of the old version, by the same threshold
 * @old_total: answers of the old version
 */
struct rollout_finding {
	enum rollout_defect defect;
	uint64_t route;
	uint32_t bad;
	uint32_t total;
	uint32_t old_bad;
	uint32_t old_total;
};

/**
 * rollout_judge() - compare the answers of two versions
 * @candidate: answers of the new version
 * @old: answers of the old version in the same time
 * @alpha: significance level: how likely a finding may be if both versions are
 *	alike
 * @finding: the first route on which the new version is worse
 *
 * Return: in which way the new version is worse, ROLLOUT_SOUND if in none.
 */
enum rollout_defect rollout_judge(const struct rollout_counts *candidate,
    const struct rollout_counts *old, double alpha,
    struct rollout_finding *finding);

/** rollout_judge_passes() - whether the new version has enough answers, and so
 * few of them failed or slow, that a bad version is unlikely to have given them
 */
bool rollout_judge_passes(
    const struct rollout_counts *candidate, const struct rollout_counts *old);

/**
 * rollout_judge_routes_pass() - whether each route with many answers passes on
 * its own
 * @candidate: answers of the new version
 * @old: answers of the old version
 * @strictly: whether each main route must have many answers
 */
bool rollout_judge_routes_pass(const struct rollout_counts *candidate,
    const struct rollout_counts *old, bool strictly);

#endif
