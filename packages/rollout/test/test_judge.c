/*
 * Tests of the comparison of two versions by their answers.
 */
#include <check.h>

#include <string.h>

#include "rollout/judge.h"
#include "test_run.h"

#define ALPHA 2e-4
#define QUICK_US 100000
#define SLOW_US 500000

/* Records @n answers on a route, one in @every a failure; 0 for none. */
static void
record_answers(struct rollout_counts *c, uint64_t route, uint32_t n,
    uint32_t every, uint64_t took_us)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		rollout_counts_record(
		    c, route, every != 0 && i % every == 0, took_us);
}

START_TEST(version_like_the_old_one_is_sound)
{
	struct rollout_counts old = {0}, candidate = {0};
	struct rollout_finding f;

	record_answers(&old, 1, 400, 20, QUICK_US);
	record_answers(&candidate, 1, 40, 20, QUICK_US);
	ck_assert_int_eq(
	    rollout_judge(&candidate, &old, ALPHA, &f), ROLLOUT_SOUND);
	ck_assert(rollout_judge_passes(&candidate, &old));
}
END_TEST

START_TEST(failures_are_found)
{
	struct rollout_counts old = {0}, candidate = {0};
	struct rollout_finding f;

	record_answers(&old, 1, 400, 20, QUICK_US);
	record_answers(&candidate, 1, 20, 2, QUICK_US);
	ck_assert_int_eq(
	    rollout_judge(&candidate, &old, ALPHA, &f), ROLLOUT_FAILS);
	ck_assert_uint_eq(f.bad, 10);
	ck_assert_uint_eq(f.total, 20);
	ck_assert(!rollout_judge_passes(&candidate, &old));
}
END_TEST

/* Both versions fail during a burst of failures. */
START_TEST(fault_of_both_versions_is_no_finding)
{
	struct rollout_counts old = {0}, candidate = {0};
	struct rollout_finding f;

	record_answers(&old, 1, 200, 3, QUICK_US);
	record_answers(&candidate, 1, 40, 3, QUICK_US);
	ck_assert_int_eq(
	    rollout_judge(&candidate, &old, ALPHA, &f), ROLLOUT_SOUND);
}
END_TEST

START_TEST(one_bad_route_of_several_is_found)
{
	struct rollout_counts old = {0}, candidate = {0};
	struct rollout_finding f;
	uint64_t route;

	for (route = 1; route <= 8; route++) {
		record_answers(&old, route, 100, 50, QUICK_US);
		record_answers(
		    &candidate, route, 20, route == 5 ? 2 : 0, QUICK_US);
	}
	ck_assert_int_eq(
	    rollout_judge(&candidate, &old, ALPHA, &f), ROLLOUT_FAILS);
	ck_assert_uint_eq(f.route, 5);
	ck_assert(!rollout_judge_routes_pass(&candidate, &old, false));
}
END_TEST

START_TEST(slow_answers_are_found)
{
	struct rollout_counts old = {0}, candidate = {0};
	struct rollout_finding f;

	record_answers(&old, 1, 200, 0, QUICK_US);
	record_answers(&candidate, 1, 20, 0, SLOW_US);
	ck_assert_int_eq(
	    rollout_judge(&candidate, &old, ALPHA, &f), ROLLOUT_SLOW);
}
END_TEST

/* Endpoints of one service differ in speed by a factor of two. */
START_TEST(a_slower_host_is_no_slow_version)
{
	struct rollout_counts old = {0}, candidate = {0};
	struct rollout_finding f;

	record_answers(&old, 1, 100, 0, QUICK_US);
	record_answers(&old, 1, 100, 0, 2 * QUICK_US);
	record_answers(&candidate, 1, 40, 0, 2 * QUICK_US);
	ck_assert_int_eq(
	    rollout_judge(&candidate, &old, ALPHA, &f), ROLLOUT_SOUND);
}
END_TEST

START_TEST(few_answers_do_not_pass)
{
	struct rollout_counts old = {0}, candidate = {0};

	record_answers(&old, 1, 400, 20, QUICK_US);
	record_answers(&candidate, 1, 5, 0, QUICK_US);
	ck_assert(!rollout_judge_passes(&candidate, &old));
}
END_TEST

/* Routes with single requests don't evict the entry of a busy route. */
START_TEST(small_routes_do_not_evict_a_busy_one)
{
	struct rollout_counts c = {0};
	uint32_t i, n = 0;

	for (i = 0; i < 500; i++) {
		rollout_counts_record(&c, 1000 + i, false, QUICK_US);
		rollout_counts_record(&c, 7, i % 2 == 0, QUICK_US);
	}
	ck_assert_uint_eq(rollout_counts_answered(&c), 1000);
	ck_assert_uint_eq(rollout_counts_failed(&c), 250);
	for (i = 0; i < c.n_routes; i++)
		if (c.routes[i].route == 7)
			n = c.routes[i].answered;
	ck_assert_uint_eq(n, 500);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("judge");
	TCase *tc = tcase_create("judge");

	tcase_add_test(tc, version_like_the_old_one_is_sound);
	tcase_add_test(tc, failures_are_found);
	tcase_add_test(tc, fault_of_both_versions_is_no_finding);
	tcase_add_test(tc, one_bad_route_of_several_is_found);
	tcase_add_test(tc, slow_answers_are_found);
	tcase_add_test(tc, a_slower_host_is_no_slow_version);
	tcase_add_test(tc, few_answers_do_not_pass);
	tcase_add_test(tc, small_routes_do_not_evict_a_busy_one);
	suite_add_tcase(s, tc);
	return test_run(s);
}
