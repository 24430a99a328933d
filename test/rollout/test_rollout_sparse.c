/*
 * Tests of rollouts of services with few requests: 100 or 1,000 of them in an
 * order of 5 s, so that the verdict on a version rests on the small
 * share of these requests that the version receives.
 */
#include <check.h>

#include <glib.h>

#include "fleet_check.h"
#include "test_run.h"

static const uint32_t sizes[] = {10, 91, 300};
static const uint32_t rates[] = {20, 200};

START_TEST(a_good_version_with_few_requests_is_completed)
{
	struct fleet_config p = {.n_hosts = sizes[_i / 2],
	    .requests_per_s = rates[_i % 2],
	    .duration_ms = FLEET_DURATION_MS};

	fleet_check(&p);
}
END_TEST

START_TEST(a_bad_version_with_few_requests_is_rolled_back)
{
	struct fleet_config p = {.n_hosts = sizes[_i / 2],
	    .requests_per_s = rates[_i % 2],
	    .duration_ms = FLEET_DURATION_MS};

	for (p.fault = FLEET_FAULT_ERRORS; p.fault <= FLEET_FAULT_ERRORS_LATER;
	     p.fault++)
		fleet_check(&p);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("rollout_sparse");
	TCase *tc = tcase_create("sparse");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(
	    tc, a_good_version_with_few_requests_is_completed, 0, 6);
	tcase_add_loop_test(
	    tc, a_bad_version_with_few_requests_is_rolled_back, 0, 6);
	suite_add_tcase(s, tc);
	return test_run(s);
}
