/*
 * Tests of what an entry keeps of runs that name a limit or leave.
 */
#include <check.h>

#include "traffic/run_reports.h"

#include "test_run.h"

#define ENDPOINT 7
#define HOUR_MS 3600000

static struct run_reports *t;

static void
setup(void)
{
	t = run_reports_new();
}

static void
teardown(void)
{
	run_reports_free(t);
}

static void
update(uint64_t run, uint64_t limit, bool leaving, uint64_t now_ms)
{
	const struct run_report r = {run, limit, leaving};

	run_reports_update(t, ENDPOINT, &r, now_ms);
}

START_TEST(a_limit_is_known_until_a_report_without_one)
{
	update(1, 0, false, 0);
	ck_assert_uint_eq(run_reports_get(t, ENDPOINT).run, 0);
	update(1, 5000, false, 0);
	ck_assert_uint_eq(run_reports_get(t, ENDPOINT).run, 1);
	ck_assert_uint_eq(run_reports_get(t, ENDPOINT).limit_milli_per_s, 5000);
	update(1, 0, false, 1);
	ck_assert_uint_eq(run_reports_get(t, ENDPOINT).run, 0);
}
END_TEST

START_TEST(a_run_leaves_for_good_and_the_next_run_does_not_leave)
{
	update(1, 0, true, 0);
	update(1, 0, false, 1);
	ck_assert(run_reports_get(t, ENDPOINT).leaving);
	update(0, 0, false, 2);
	ck_assert(run_reports_get(t, ENDPOINT).leaving);
	update(2, 3000, false, 3);
	ck_assert(!run_reports_get(t, ENDPOINT).leaving);
	ck_assert_uint_eq(run_reports_get(t, ENDPOINT).run, 2);
}
END_TEST

START_TEST(old_runs_are_forgotten)
{
	const struct run_report r = {1, 5000, false};
	uint64_t i;

	for (i = 1; i <= 10000; i++)
		run_reports_update(t, i, &r, 0);
	for (i = 1; i <= 10; i++)
		run_reports_update(t, 20000 + i, &r, HOUR_MS);
	ck_assert_uint_eq(run_reports_get(t, 1).run, 0);
	ck_assert_uint_eq(run_reports_get(t, 20001).run, 1);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("run reports");
	Suite *s = suite_create("run reports");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, a_limit_is_known_until_a_report_without_one);
	tcase_add_test(
	    tc, a_run_leaves_for_good_and_the_next_run_does_not_leave);
	tcase_add_test(tc, old_runs_are_forgotten);
	suite_add_tcase(s, tc);
	return test_run(s);
}
