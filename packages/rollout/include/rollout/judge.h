/*
 * Judge: whether answers of a new version are worse than those of the old one.
 *
 * Each route is compared by itself, with the answers of the old version in the
 * same time, so that what slows or fails both is held against neither.
 */
#ifndef ROLLOUT_JUDGE_H
#define ROLLOUT_JUDGE_H

#include "rollout/counts.h"

/** enum rollout_defect - what is worse */
enum rollout_defect {
	ROLLOUT_SOUND = 0,
	ROLLOUT_FAILS,
	ROLLOUT_SLOW,
};

/** rollout_defect_name() - name of a defect, for logs */
const char *rollout_defect_name(enum rollout_defect d);

/**
 * struct rollout_finding - the worst route
 * @defect: what is worse, ROLLOUT_SOUND for nothing
 * @route: number of the route
 * @bad: bad answers of the new version
 * @total: answers of the new version
 * @old_bad: bad answers of the old version, by the same measure
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
 * rollout_judge() - compare answers of two versions
 * @candidate: answers of the new version
 * @old: answers of the old one in the same time
 * @alpha: how likely the finding may be where both are alike
 * @finding: the first route that is worse
 *
 * Return: what is worse.
 */
enum rollout_defect rollout_judge(const struct rollout_counts *candidate,
    const struct rollout_counts *old, double alpha,
    struct rollout_finding *finding);

/**
 * rollout_judge_passes() - whether so many answers of the new version came and
 * so few of them failed or were slow that it is hardly a bad one
 */
bool rollout_judge_passes(
    const struct rollout_counts *candidate, const struct rollout_counts *old);

/**
 * rollout_judge_routes_pass() - whether that holds for each route with many
 * answers by itself
 * @candidate: answers of the new version
 * @old: answers of the old one
 * @strictly: each of the main routes must have many
 */
bool rollout_judge_routes_pass(const struct rollout_counts *candidate,
    const struct rollout_counts *old, bool strictly);

#endif
