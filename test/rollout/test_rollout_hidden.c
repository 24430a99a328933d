/*
 * Tests of rollouts of versions that are slow, or fail only under load or on
 * one of three routes, under disturbances of the fleet.
 */
#include <check.h>

#include <glib.h>

#include "fleet_check.h"
#include "test_run.h"

START_TEST(a_hidden_fault_is_rolled_back_despite_disturbances)
{
	static const enum fleet_fault faults[] = {FLEET_FAULT_SLOW,
	    FLEET_FAULT_ERRORS_UNDER_LOAD, FLEET_FAULT_ERRORS_ON_ROUTE};
	struct fleet_config p = {.n_hosts = 91,
	    .requests_per_s = 700,
	    .duration_ms = FLEET_DURATION_MS,
	    .disturbance = (enum fleet_disturbance)_i};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		p.fault = faults[i];
		fleet_check(&p);
	}
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("rollout_hidden");
	TCase *tc = tcase_create("hidden");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc,
	    a_hidden_fault_is_rolled_back_despite_disturbances,
	    FLEET_DISTURBANCE_NONE, FLEET_DISTURBANCE_COUNT);
	suite_add_tcase(s, tc);
	return test_run(s);
}
