/*
 * A fleet in virtual time with one service whose software is rolled out: the
 * real decisions of each node, messages that take time and get lost, requests,
 * endpoints with slots, and the platform's row.
 */
#ifndef TEST_ROLLOUT_FLEET_H
#define TEST_ROLLOUT_FLEET_H

#include <stdbool.h>
#include <stdint.h>

/** enum fleet_fault - what a bad version does */
enum fleet_fault {
	FLEET_FAULT_NONE = 0,
	FLEET_FAULT_ERRORS,
	FLEET_FAULT_SLOW,
	FLEET_FAULT_ERRORS_LATER,
	FLEET_FAULT_ERRORS_UNDER_LOAD,
	FLEET_FAULT_ERRORS_ON_ROUTE,
	FLEET_FAULT_COUNT,
};

/** enum fleet_trouble - what happens beside it */
enum fleet_disturbance {
	FLEET_DISTURBANCE_NONE = 0,
	FLEET_DISTURBANCE_OLD_ERRORS,
	FLEET_DISTURBANCE_NEW_ERRORS,
	FLEET_DISTURBANCE_OLD_SLOW,
	FLEET_DISTURBANCE_ERROR_BURST,
	FLEET_DISTURBANCE_PACKET_LOSS,
	FLEET_DISTURBANCE_CANARY_HOST_STOPS,
	FLEET_DISTURBANCE_STORE_UNAVAILABLE,
	FLEET_DISTURBANCE_PARTITION,
	FLEET_DISTURBANCE_POWER_LOSS,
	FLEET_DISTURBANCE_COUNT,
};

/**
 * struct fleet_plan - one run
 * @n_hosts: hosts before the rollout
 * @requests_per_s: requests of the service a second
 * @duration_ms: time of the order
 * @fault: what the new version does
 * @disturbance: what happens beside it
 * @seed: of all randomness
 */
struct fleet_config {
	uint32_t n_hosts;
	uint32_t requests_per_s;
	uint64_t duration_ms;
	enum fleet_fault fault;
	enum fleet_disturbance disturbance;
	uint32_t seed;
};

/**
 * struct fleet_result - what came of it
 * @requests: requests between the order and its deadline
 * @exposed: those of them that the new version got
 * @bad: bad answers of the new version in all
 * @last_exposure_ms: time from its 50th bad answer to the last request that it
 *got; 0 when there were fewer
 * @completed_ms: when the order was written as completed, 0 for never
 * @rolled_back_ms: when it was written as rolled back, 0 for never
 * @old_requests_after: requests that the old version got after it was written
 *as completed
 * @max_datagrams: datagrams that one node got in the time of the order
 */
struct fleet_result {
	uint32_t requests;
	uint32_t exposed;
	uint32_t bad;
	uint64_t last_exposure_ms;
	uint64_t completed_ms;
	uint64_t rolled_back_ms;
	uint32_t old_requests_after;
	uint32_t max_datagrams;
};

/** fleet_simulate() - play a run; times in the result count from the order */
void
fleet_simulate(const struct fleet_config *config, struct fleet_result *result);

#endif
