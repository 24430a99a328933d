/*
 * Recently answered requests.
 */
#include <check.h>

#include "test_run.h"
#include "traffic/clean_runs.h"

#define T0 UINT64_C(100000)
#define FLOOD 100000

static struct clean_runs runs;

static void
setup(void)
{
	clean_runs_init(&runs, T0);
}

static void
teardown(void)
{
	clean_runs_clear(&runs);
}

START_TEST(answered_request_is_kept_for_a_time)
{
	struct fingerprint a = {1, 1}, b = {1, 2};

	clean_runs_add(&runs, &a, T0);
	ck_assert(clean_runs_has(&runs, &a, T0 + CLEAN_RUNS_KEEP_MS - 1));
	ck_assert(!clean_runs_has(&runs, &b, T0));
	ck_assert(!clean_runs_has(&runs, &a, T0 + 2 * CLEAN_RUNS_KEEP_MS));
}
END_TEST

START_TEST(both_sets_are_dropped_after_a_pause)
{
	struct fingerprint a = {1, 1};

	clean_runs_add(&runs, &a, T0);
	ck_assert(!clean_runs_has(&runs, &a, T0 + 10 * CLEAN_RUNS_KEEP_MS));
}
END_TEST

START_TEST(answer_exonerates_from_one_crash)
{
	struct fingerprint a = {1, 1};

	clean_runs_add(&runs, &a, T0);
	ck_assert(clean_runs_take(&runs, &a, T0));
	ck_assert(!clean_runs_take(&runs, &a, T0));
}
END_TEST

START_TEST(sets_are_bounded_and_frequent_requests_stay)
{
	struct fingerprint often = {1, 1}, other = {0, 1};
	uint32_t i;

	for (i = 0; i < FLOOD; i++) {
		other.content = i + 2;
		clean_runs_add(&runs, &other, T0);
		if (i % 1000 == 0)
			clean_runs_add(&runs, &often, T0);
	}
	ck_assert_uint_le(g_hash_table_size(runs.sets[0]), CLEAN_RUNS_MAX);
	ck_assert_uint_le(g_hash_table_size(runs.sets[1]), CLEAN_RUNS_MAX);
	ck_assert(clean_runs_has(&runs, &often, T0));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("clean_runs");
	TCase *tc = tcase_create("clean_runs");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, answered_request_is_kept_for_a_time);
	tcase_add_test(tc, both_sets_are_dropped_after_a_pause);
	tcase_add_test(tc, answer_exonerates_from_one_crash);
	tcase_add_test(tc, sets_are_bounded_and_frequent_requests_stay);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
