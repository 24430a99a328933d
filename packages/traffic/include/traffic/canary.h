/*
 * Canary: which calls of a service go to a version on trial.
 *
 * Each entry sends the configured share of its own calls, without
 * coordination. Entries start with different random credits, so that the fleet
 * as a whole sends the share in each second, also where each entry sees less
 * than one call per round.
 */
#ifndef TRAFFIC_CANARY_H
#define TRAFFIC_CANARY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct canary - canary share of one service at one entry
 * @order: number of the rollout order, 0 while no version is on trial
 * @share_milli: share of the calls in thousandths
 * @endpoints: number of endpoints that receive canary calls at a time
 * @credit_milli: accumulated share in thousandths of a call; a canary call
 *	costs 1,000
 */
struct canary {
	uint64_t order;
	uint32_t share_milli;
	uint32_t endpoints;
	uint64_t credit_milli;
};

/**
 * canary_set() - set the version on trial
 * @c: the share; all zero before the first call
 * @order: number of the rollout order, 0 for none; a new number resets the
 *	credit
 * @share_milli: share of the calls in thousandths
 * @endpoints: number of endpoints that receive canary calls at a time
 * @random: a random number for the initial credit
 */
void canary_set(struct canary *c, uint64_t order, uint32_t share_milli,
    uint32_t endpoints, uint64_t random);

/** canary_take() - whether this call goes to the version on trial */
bool canary_take(struct canary *c);

#endif
