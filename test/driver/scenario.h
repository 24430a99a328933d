/*
 * What the tests on the driver share.
 */
#ifndef DRIVER_SCENARIO_H
#define DRIVER_SCENARIO_H

#include <check.h>

#include "world.h"

/* Longest time for a small world to come up, and to become even again. */
#define SCENARIO_START_MS 60000
#define SCENARIO_CONVERGENCE_MS 60000

/* Seeds that a scenario is run with. */
#define SCENARIO_SEEDS 6

/** scenario_new() - a small world in which all nodes are up */
struct world *scenario_new(uint64_t seed);

/** scenario_start() - a world of a given make in which all nodes are up */
struct world *scenario_start(const struct world_config *config);

/**
 * scenario_finish() - all nodes become even, nothing was violated; free the
 * world
 */
void scenario_finish(struct world *w);

/** scenario_roll() - sign-offs by random live nodes, every @every_ms for @ms */
void scenario_roll(struct world *w, uint64_t ms, uint64_t every_ms);

/** scenario_main() - run one test case; Return: exit status */
int scenario_main(Suite *suite);

#endif
