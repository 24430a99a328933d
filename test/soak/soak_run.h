/*
 * A run of the soak: a deployment under load, and a plan of faults carried out
 * on it from outside.
 */
#ifndef SOAK_RUN_H
#define SOAK_RUN_H

#include <stdbool.h>
#include <stdint.h>

/**
 * soak_run() - play a seed
 * @seed: seed of the plan and of the load
 * @duration_s: how long load is sent and faults come, in seconds
 * @faults: number of faults
 * @growths: number of versions that have many routes more than the one before
 * @stop_waves: number of times at which half of the nodes get SIGTERM
 * @crashes: whether a request that crashes upstreams is sent all the while, and
 *	all hosts lose power in the middle
 *
 * The test fails for a call that ran twice though it must not, ran though it
 * was told not to have run, got another's answer or one that is not whole; for
 * a host that served an older version than before, or one that nobody signed
 * off; for a version that isn't in force everywhere once all is mended, or
 * lacks a route there that it was signed off with; for one that is refused;
 * when calls aren't served again then; for a node that runs what has crashed
 * three upstreams, or quarantines anything else; for a call that a node takes
 * while it stops and then gives up; and for a process that ends other than
 * asked.
 */
void soak_run(uint32_t seed, uint32_t duration_s, uint32_t faults,
    uint32_t growths, uint32_t stop_waves, bool crashes);

#endif
