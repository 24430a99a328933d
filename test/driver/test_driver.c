/*
 * The driver itself: a small world comes up and follows sign-offs.
 */
#include <check.h>
#include <stdlib.h>

#include "world.h"

START_TEST(test_warm)
{
	struct world_config config;
	struct world *w;

	world_config_init(&config, (uint64_t)_i + 1);
	w = world_new(&config);
	ck_assert(world_warm(w, 30000));
	world_sign(w, 0, 2);
	ck_assert(world_run_until_even(w, 10000));
	ck_assert_msg(
	    checker_count(w->checker) == 0, "%s", checker_first(w->checker));
	world_free(w);
}
END_TEST

int
main(void)
{
	SRunner *runner;
	Suite *suite;
	TCase *tc;
	int failed;

	suite = suite_create("driver");
	tc = tcase_create("world");
	tcase_add_loop_test(tc, test_warm, 0, 4);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
