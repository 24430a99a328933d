/*
 * Durations of the steps of a version on its way to this node.
 */
#include <check.h>

#include "spread/trace.h"

#include "test_run.h"

START_TEST(steps_add_up)
{
	struct trace t = {0};
	struct spread_steps s;

	trace_known(&t, 1000, 7, 300);
	trace_complete(&t, 1400, 7);
	s = trace_steps(&t, 1450, 7);
	ck_assert_uint_eq(s.age_ms, 750);
	ck_assert_uint_eq(s.wait_ms, 400);
	ck_assert_uint_eq(s.keep_ms, 50);
	ck_assert_uint_eq(trace_age_ms(&t, 1500, 7), 800);
}
END_TEST

START_TEST(the_earliest_reported_read_counts)
{
	struct trace t = {0};

	trace_known(&t, 1000, 7, 0);
	trace_known(&t, 1010, 7, 200);
	trace_known(&t, 1020, 7, 5);
	ck_assert_uint_eq(trace_age_ms(&t, 1020, 7), 210);
	ck_assert_uint_eq(trace_steps(&t, 1020, 7).wait_ms, 20);
}
END_TEST

/* Ages reported by peers are untrusted. */
START_TEST(an_age_beyond_the_clock_is_reduced)
{
	struct trace t = {0};

	trace_known(&t, 1000, 7, UINT64_MAX);
	ck_assert_uint_eq(trace_age_ms(&t, 1000, 7), 1000);
	trace_known(&t, 10000000, 8, UINT64_MAX);
	ck_assert_uint_eq(trace_age_ms(&t, 10000000, 8), TRACE_AGE_MAX_MS);
}
END_TEST

START_TEST(the_lowest_version_is_replaced_first)
{
	struct trace t = {0};
	uint64_t v;

	for (v = 1; v <= TRACE_VERSIONS_MAX + 3; v++)
		trace_known(&t, 1000 + v, v, 0);
	ck_assert_uint_eq(trace_age_ms(&t, 2000, 3), 0);
	ck_assert_uint_eq(trace_age_ms(&t, 2000, 4), 996);
	trace_known(&t, 2000, 2, 500);
	ck_assert_uint_eq(trace_age_ms(&t, 2000, 2), 0);
	ck_assert_uint_eq(trace_steps(&t, 2000, 2).age_ms, 0);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("trace");
	TCase *tc = tcase_create("trace");

	tcase_add_test(tc, steps_add_up);
	tcase_add_test(tc, the_earliest_reported_read_counts);
	tcase_add_test(tc, an_age_beyond_the_clock_is_reduced);
	tcase_add_test(tc, the_lowest_version_is_replaced_first);
	suite_add_tcase(s, tc);
	return test_run(s);
}
