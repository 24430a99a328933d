/*
 * Simulation of a rollout of one service in a fleet, in virtual time: the
 * production decision code of each node, datagrams with delay and packet loss,
 * requests, endpoints with a limited number of slots, and the row of the order
 * in the platform's store.
 */
#ifndef TEST_ROLLOUT_FLEET_H
#define TEST_ROLLOUT_FLEET_H

#include <stdbool.h>
#include <stdint.h>

/**
 * enum fleet_fault - fault of the new version
 * @FLEET_FAULT_NONE: none, the version is good
 * @FLEET_FAULT_ERRORS: 40 percent of the responses are errors
 * @FLEET_FAULT_SLOW: responses take five times as long
 * @FLEET_FAULT_ERRORS_LATER: errors, beginning a fifth of the order's time
 *	after the earliest possible start of a new endpoint
 * @FLEET_FAULT_ERRORS_UNDER_LOAD: errors while a quarter of the endpoint's
 *	slots or more are in use
 * @FLEET_FAULT_ERRORS_ON_ROUTE: errors on one of three routes
 * @FLEET_FAULT_COUNT: number of faults
 */
enum fleet_fault {
	FLEET_FAULT_NONE = 0,
	FLEET_FAULT_ERRORS,
	FLEET_FAULT_SLOW,
	FLEET_FAULT_ERRORS_LATER,
	FLEET_FAULT_ERRORS_UNDER_LOAD,
	FLEET_FAULT_ERRORS_ON_ROUTE,
	FLEET_FAULT_COUNT,
};

/**
 * enum fleet_disturbance - condition of the fleet, independent of the version
 * @FLEET_DISTURBANCE_NONE: none
 * @FLEET_DISTURBANCE_OLD_ERRORS: grey failure: every seventh old endpoint
 *	returns 45 percent errors
 * @FLEET_DISTURBANCE_NEW_ERRORS: grey failure: the new endpoint that started
 *	first returns 45 percent errors
 * @FLEET_DISTURBANCE_OLD_SLOW: every sixth old endpoint is five times slower
 * @FLEET_DISTURBANCE_ERROR_BURST: 15 percent errors everywhere for 2.5 s
 * @FLEET_DISTURBANCE_PACKET_LOSS: 10 percent of the datagrams are lost
 * @FLEET_DISTURBANCE_CANARY_HOST_STOPS: the host of the first new endpoint,
 *	whose node decides about the rollout, stops
 * @FLEET_DISTURBANCE_STORE_UNAVAILABLE: writes to the platform's store fail for
 *	half of the order's time
 * @FLEET_DISTURBANCE_PARTITION: a data centre, every third node, is partitioned
 *	for 2 s
 * @FLEET_DISTURBANCE_POWER_LOSS: all nodes restart at once and requests in
 *	flight are lost; the first node reads the row again 200 ms later
 * @FLEET_DISTURBANCE_COUNT: number of disturbances
 */
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
 * struct fleet_config - parameters of one simulation
 * @n_hosts: number of hosts before the rollout
 * @requests_per_s: rate of requests to the service
 * @duration_ms: time from the order to its deadline
 * @fault: fault of the new version
 * @disturbance: condition of the fleet
 * @seed: seed of the random number generator
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
 * struct fleet_result - measurements of one simulation
 * @requests: requests sent between the order and its deadline
 * @exposed: number of @requests that were routed to the new version
 * @bad: total of bad responses of the new version
 * @last_exposure_ms: time from the 50th bad response to the last request routed
 *	to the new version; 0 if there were fewer bad responses
 * @completed_ms: time from the order to the write of its completion, 0 if never
 * @rolled_back_ms: time from the order to the write of its rollback, 0 if never
 * @old_requests_after: requests routed to the old version after the order was
 *	written as completed
 * @max_datagrams: maximum number of datagrams received by one node over the
 *	whole simulation
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

/** fleet_simulate() - run one simulation; times in @result count from the
 * order */
void
fleet_simulate(const struct fleet_config *config, struct fleet_result *result);

#endif
