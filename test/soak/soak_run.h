/*
 * Soak run: a deployment under load, with faults injected from outside by the
 * schedule of a seed.
 */
#ifndef SOAK_RUN_H
#define SOAK_RUN_H

#include <stdbool.h>
#include <stdint.h>

/**
 * soak_run() - run the soak with a seed
 * @seed: seed of the plan and of the load
 * @duration_s: duration of load and faults, in seconds
 * @faults: number of random faults
 * @growths: number of versions with many more routes than the previous one
 * @stop_waves: number of times at which half of the nodes get SIGTERM
 * @reports: number of limits that upstreams name; half as many upstreams report
 *	their leaving
 * @restores: number of times that the store comes back from an older copy
 * @hosts: number of hosts in each of the three data centres
 * @crashes: whether a request that crashes upstreams is sent throughout the
 *	run, and all hosts lose power in the middle
 *
 * The test fails
 * - if a call that must run at most once ran twice, ran although its reported
 *   fate is not_run, or got the answer of another call or a truncated one;
 * - if a host served an older version than before, or a version that was never
 *   signed off;
 * - if after the end of all faults an accepted version isn't in force on every
 *   host, lacks one of its routes on a host, or calls aren't served;
 * - if a version of the plan is rejected as invalid;
 * - if a node runs a request that has crashed three upstreams, or quarantines
 *   any other request;
 * - if a stopping node aborts a call that it accepted while stopping;
 * - if an upstream gets more than one and a half times the limit that it names
 *	in 4 s, and 5 requests;
 * - if an upstream gets a request over 2 s after it has reported its leaving,
 *	unless its node had a fault meanwhile;
 * - if a node that says that it is ready answers no new connection for 3 s
 *	beside connections that are held to it;
 * - if a process exits without having been stopped, or with an unexpected code.
 */
void soak_run(uint32_t seed, uint32_t duration_s, uint32_t faults,
    uint32_t growths, uint32_t stop_waves, uint32_t reports, uint32_t restores,
    uint32_t hosts, bool crashes);

#endif
