/*
 * Assertions about a rollout in a fleet, over several seeds.
 *
 * A bad version may receive a tenth of the requests and 50 more, and none later
 * than 5 s after its 50th bad response; the assertions demand half of these
 * limits.  A good version must be completed before the deadline, after which
 * the old version receives no request.
 */
#ifndef TEST_ROLLOUT_FLEET_CHECK_H
#define TEST_ROLLOUT_FLEET_CHECK_H

#include "fleet.h"

/* Time from an order to its deadline in all tests. */
#define FLEET_DURATION_MS 5000

/** fleet_check() - simulate @p with two seeds, or with the number of seeds in
 * BRAMLEY_SEEDS, and check each result */
void fleet_check(struct fleet_config *p);

#endif
