/*
 * What must hold of a rollout in a fleet, over a few seeds.
 *
 * A bad version may get a tenth of the requests and 50 more, and nothing later
 * than 5 s after its 50th bad answer; half of that is asserted.  A good version
 * is completed in time, and then the old one gets nothing.
 */
#ifndef TEST_ROLLOUT_FLEET_CHECK_H
#define TEST_ROLLOUT_FLEET_CHECK_H

#include "fleet.h"

/* Time of the orders that are played. */
#define FLEET_DURATION_MS 5000

/** fleet_check() - play @p with two seeds, or with BRAMLEY_SEEDS of them */
void fleet_check(struct fleet_config *p);

#endif
