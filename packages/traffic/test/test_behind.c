/*
 * Tests of the Retry-After of a node on which a newer version is known.
 */
#include <check.h>
#include <glib.h>

#include "base/clock.h"
#include "test_run.h"
#include "traffic/behind.h"

#define T0 UINT64_C(100000)
#define ANY DEADLINE_NEVER

/**
 * struct behind_case - one call of behind_retry_ms() and its expected result
 * @in_force: version in force
 * @known: newest known version, since T0
 * @by: version by which the request looks wrong
 * @age_ms: time since T0
 * @left_ms: time until the caller's deadline, or ANY
 * @retry_ms: expected Retry-After, 0 when the request is wrong
 */
struct behind_case {
	uint64_t in_force;
	uint64_t known;
	uint64_t by;
	uint64_t age_ms;
	uint64_t left_ms;
	uint64_t retry_ms;
};

static const struct behind_case cases[] = {
    /* No newer version is known: the request is wrong. */
    {6, 0, 6, 0, ANY, 0},
    {6, 6, 6, 5000, ANY, 0},
    {6, 4, 6, 5000, ANY, 0},
    {6, 6, 6, 0, 600, 0},
    /* A newer version is known: the Retry-After grows with its age. */
    {6, 10, 6, 0, ANY, BEHIND_RETRY_MIN_MS},
    {6, 10, 6, 199, ANY, BEHIND_RETRY_MIN_MS},
    {6, 10, 6, 300, ANY, 300},
    {6, 10, 6, 1500, ANY, 1500},
    {6, 10, 6, 2000, ANY, BEHIND_RETRY_MAX_MS},
    {6, 10, 6, 600000, ANY, BEHIND_RETRY_MAX_MS},
    {6, 7, 6, 300, ANY, 300},
    {0, 10, 0, 300, ANY, 300},
    /* A caller with little time left retries after half of it. */
    {6, 10, 6, 1500, 1000, 500},
    {6, 10, 6, 600000, 3000, 1500},
    {6, 10, 6, 0, 600, BEHIND_RETRY_MIN_MS},
    {6, 10, 6, 300, 400, 200},
    /* A caller without time for a retry gets the Retry-After by age. */
    {6, 10, 6, 300, 399, 300},
    {6, 10, 6, 2500, 100, BEHIND_RETRY_MAX_MS},
    {6, 10, 6, 300, 0, 300},
    /* The call began with an older version than the one in force now. */
    {10, 10, 6, 0, ANY, BEHIND_RETRY_NOW_MS},
    {10, 0, 6, 0, 600, BEHIND_RETRY_NOW_MS},
    {10, 12, 6, 300, ANY, 300},
    {10, 10, 10, 300, ANY, 0},
};

START_TEST(retry_time_follows_the_age_of_the_known_version)
{
	const struct behind_case *c;
	uint64_t now_ms, deadline_ms, got;
	struct behind b;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		c = &cases[i];
		behind_init(&b);
		behind_in_force(&b, c->in_force, T0);
		behind_known(&b, c->known, T0);
		now_ms = T0 + c->age_ms;
		deadline_ms = c->left_ms == ANY ? ANY : now_ms + c->left_ms;
		got = behind_retry_ms(&b, c->by, now_ms, deadline_ms);
		ck_assert_msg(got == c->retry_ms,
		    "case %zu: %" G_GUINT64_FORMAT " instead of "
		    "%" G_GUINT64_FORMAT " ms",
		    i, got, c->retry_ms);
	}
}
END_TEST

START_TEST(even_newer_known_version_keeps_the_age)
{
	struct behind b;

	behind_init(&b);
	behind_in_force(&b, 6, T0);
	behind_known(&b, 10, T0 + 1000);
	behind_known(&b, 12, T0 + 1700);
	ck_assert_uint_eq(behind_age_ms(&b, T0 + 1800), 800);
	ck_assert_uint_eq(behind_retry_ms(&b, 6, T0 + 1800, ANY), 800);
}
END_TEST

START_TEST(other_version_in_force_resets_the_age)
{
	struct behind b;

	behind_init(&b);
	behind_in_force(&b, 6, T0);
	behind_known(&b, 12, T0);
	behind_in_force(&b, 6, T0 + 1000);
	ck_assert_uint_eq(behind_age_ms(&b, T0 + 1000), 1000);
	behind_in_force(&b, 10, T0 + 1500);
	ck_assert_uint_eq(
	    behind_retry_ms(&b, 10, T0 + 1600, ANY), BEHIND_RETRY_MIN_MS);
	behind_in_force(&b, 12, T0 + 1700);
	ck_assert_uint_eq(behind_retry_ms(&b, 12, T0 + 1800, ANY), 0);
	ck_assert_uint_eq(behind_age_ms(&b, T0 + 1800), 0);
}
END_TEST

START_TEST(wrong_known_version_is_dropped)
{
	struct behind b;

	behind_init(&b);
	behind_in_force(&b, 6, T0);
	behind_known(&b, UINT64_MAX, T0);
	ck_assert_uint_ne(behind_retry_ms(&b, 6, T0 + 30000, ANY), 0);
	behind_known(&b, 6, T0 + 30000);
	ck_assert_uint_eq(behind_retry_ms(&b, 6, T0 + 30000, ANY), 0);
	behind_known(&b, 10, T0 + 90000);
	ck_assert_uint_eq(
	    behind_retry_ms(&b, 6, T0 + 90000, ANY), BEHIND_RETRY_MIN_MS);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("behind");
	TCase *tc = tcase_create("behind");

	tcase_add_test(tc, retry_time_follows_the_age_of_the_known_version);
	tcase_add_test(tc, even_newer_known_version_keeps_the_age);
	tcase_add_test(tc, other_version_in_force_resets_the_age);
	tcase_add_test(tc, wrong_known_version_is_dropped);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
