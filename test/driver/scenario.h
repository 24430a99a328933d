/*
 * Helpers shared by the tests of the driver.
 */
#ifndef DRIVER_SCENARIO_H
#define DRIVER_SCENARIO_H

#include <check.h>

#include "world.h"

/* Time limits for a small world to start and to converge. */
#define SCENARIO_START_MS 60000
#define SCENARIO_CONVERGENCE_MS 60000

/* Number of seeds that a scenario is run with. */
#define SCENARIO_SEEDS 6

/** scenario_new() - create a small world and start all nodes */
struct world *scenario_new(uint64_t seed);

/** scenario_start() - create a world of the given configuration and start all
 * nodes */
struct world *scenario_start(const struct world_config *config);

/**
 * scenario_finish() - check that all nodes converge and no invariant was
 * violated; frees the world
 */
void scenario_finish(struct world *w);

/** scenario_roll() - for @ms, sign off a version at a random node every
 * @every_ms */
void scenario_roll(struct world *w, uint64_t ms, uint64_t every_ms);

/** scenario_main() - run one test case; Return: exit status */
int scenario_main(Suite *suite);

#endif
