/*
 * Tests of the estimated time since a caller's first attempt.
 */
#include <check.h>

#include "traffic/patience.h"

#include "test_run.h"

/* Number of routes in large deployments. */
#define ROUTES_MANY 57000

START_TEST(less_time_left_means_a_retry)
{
	struct patience *p = patience_new();

	ck_assert_uint_eq(patience_elapsed_ms(p, 1, 3000), 0);
	ck_assert_uint_eq(patience_elapsed_ms(p, 1, 2000), 1000);
	ck_assert_uint_eq(patience_elapsed_ms(p, 2, 500), 0);
	ck_assert_uint_eq(patience_elapsed_ms(p, 1, 3500), 0);
	ck_assert_uint_eq(patience_elapsed_ms(p, 1, 3000), 500);
	patience_free(p);
}
END_TEST

START_TEST(many_routes_are_kept)
{
	struct patience *p = patience_new();
	uint64_t i;

	for (i = 0; i < ROUTES_MANY; i++)
		ck_assert_uint_eq(patience_elapsed_ms(p, i, 3000), 0);
	for (i = 0; i < ROUTES_MANY; i++)
		ck_assert_uint_eq(patience_elapsed_ms(p, i, 2000), 1000);
	patience_free(p);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("patience");
	TCase *tc = tcase_create("patience");

	tcase_add_test(tc, less_time_left_means_a_retry);
	tcase_add_test(tc, many_routes_are_kept);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
