/*
 * The record of a version that can't be used: begins once, changes are told
 * at a bounded rate, and ends with what comes in force.
 */
#include <string.h>

#include <check.h>
#include <glib.h>

#include "refused.h"
#include "test_run.h"

static struct refused r;

static enum refused_change
note(uint64_t now_ms, uint64_t version, const char *reason)
{
	struct refused_time at = {now_ms, now_ms + 1000000};

	return refused_record(&r, at, version, 6, reason);
}

static void
fresh(void)
{
	memset(&r, 0, sizeof(r));
}

START_TEST(begins_once)
{
	fresh();
	ck_assert_int_eq(note(0, 10, "a"), REFUSED_BEGAN);
	ck_assert_int_eq(note(1, 10, "a"), REFUSED_UNCHANGED);
	ck_assert_int_eq(note(90000, 10, "a"), REFUSED_UNCHANGED);
	ck_assert(r.active);
	ck_assert_uint_eq(r.version, 10);
	ck_assert_uint_eq(r.in_force, 6);
	ck_assert_uint_eq(r.since_wall_ms, 1000000);
	ck_assert_uint_eq(r.n_versions, 1);
	ck_assert_str_eq(r.reason, "a");
}
END_TEST

START_TEST(a_long_reason_is_the_same_when_cut)
{
	char reason[2 * REFUSED_REASON_BYTES];

	fresh();
	memset(reason, 'x', sizeof(reason) - 1);
	reason[sizeof(reason) - 1] = '\0';
	ck_assert_int_eq(note(0, 10, reason), REFUSED_BEGAN);
	ck_assert_uint_eq(strlen(r.reason), REFUSED_REASON_BYTES - 1);
	ck_assert_int_eq(note(90000, 10, reason), REFUSED_UNCHANGED);
}
END_TEST

/* Names of operators are in it: lines stay lines, and JSON can hold it. */
START_TEST(a_reason_is_one_line_of_whole_characters)
{
	char reason[REFUSED_REASON_BYTES + 2];

	fresh();
	ck_assert_int_eq(
	    note(0, 10, "route \"a\nb\x7f\"\t\xff."), REFUSED_BEGAN);
	ck_assert(strpbrk(r.reason, "\n\t\x7f") == NULL);
	ck_assert(g_utf8_validate(r.reason, -1, NULL));
	ck_assert(g_str_has_prefix(r.reason, "route \"a b \" "));
	ck_assert_int_eq(
	    note(90000, 10, "route \"a\nb\x7f\"\t\xff."), REFUSED_UNCHANGED);
	/* A character of two bytes at the cut. */
	memset(reason, 'x', sizeof(reason));
	memcpy(reason + REFUSED_REASON_BYTES - 2, "\xc3\xa9", 3);
	ck_assert_int_eq(note(180000, 10, reason), REFUSED_CHANGED);
	ck_assert(g_utf8_validate(r.reason, -1, NULL));
	ck_assert_uint_eq(strlen(r.reason), REFUSED_REASON_BYTES - 2);
	ck_assert_int_eq(note(270000, 10, reason), REFUSED_UNCHANGED);
}
END_TEST

START_TEST(changes_are_told_at_a_bounded_rate)
{
	uint64_t now_ms, told = 0;

	fresh();
	for (now_ms = 0; now_ms < 60000; now_ms += 100)
		told += note(now_ms, 10 + now_ms, "a") != REFUSED_UNCHANGED;
	ck_assert_uint_eq(told, 60000 / REFUSED_LOG_MS);
	ck_assert_uint_eq(r.n_versions, 600);
	ck_assert_uint_eq(r.n_unlogged, 600 - told);
	ck_assert_uint_eq(r.since_wall_ms, 1000000);
	ck_assert_uint_eq(r.version, 10 + 59900);
	ck_assert_int_eq(note(70000, r.version, "b"), REFUSED_CHANGED);
	ck_assert_uint_eq(r.n_versions, 600);
}
END_TEST

START_TEST(a_later_version_in_force_ends_it)
{
	fresh();
	(void)note(0, 10, "a");
	ck_assert_int_eq(refused_version_in_force(&r, 0), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 8), REFUSED_UNCHANGED);
	ck_assert(r.active);
	ck_assert_int_eq(refused_version_in_force(&r, 12), REFUSED_ENDED);
	ck_assert(!r.active);
	ck_assert_int_eq(refused_version_in_force(&r, 12), REFUSED_UNCHANGED);
	/* The next incident begins at once and counts on. */
	ck_assert_int_eq(note(1, 14, "a"), REFUSED_BEGAN);
	ck_assert_uint_eq(r.since_wall_ms, 1000001);
	ck_assert_uint_eq(r.n_versions, 2);
}
END_TEST

/* What is read may still be refused when it is put together. */
START_TEST(a_version_that_is_given_ends_it_in_force_only)
{
	fresh();
	(void)note(0, 10, "a");
	ck_assert_int_eq(
	    refused_version_readable(&r, 12, 6), REFUSED_UNCHANGED);
	ck_assert(r.active);
	ck_assert_int_eq(note(6000, 12, "too large"), REFUSED_CHANGED);
	ck_assert_int_eq(
	    refused_version_readable(&r, 12, 6), REFUSED_UNCHANGED);
	ck_assert_int_eq(note(12000, 12, "too large"), REFUSED_UNCHANGED);
	ck_assert_int_eq(
	    refused_version_readable(&r, 14, 6), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 14), REFUSED_ENDED);
}
END_TEST

/* Operators go back to a lower number, or to what is in force. */
START_TEST(going_back_ends_it)
{
	fresh();
	(void)note(0, 10, "a");
	ck_assert_int_eq(refused_version_readable(&r, 8, 6), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 8), REFUSED_ENDED);
	(void)note(0, 10, "a");
	ck_assert_int_eq(refused_version_readable(&r, 6, 6), REFUSED_ENDED);
}
END_TEST

START_TEST(a_version_without_a_number_ends_with_the_next)
{
	fresh();
	ck_assert_int_eq(note(0, 0, "no JSON"), REFUSED_BEGAN);
	ck_assert_int_eq(refused_version_in_force(&r, 6), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 7), REFUSED_ENDED);
}
END_TEST

/* A node that stops serving serves what it held again. */
START_TEST(serving_the_one_before_again_does_not_end_it)
{
	fresh();
	(void)refused_version_readable(&r, 6, 4);
	(void)refused_version_in_force(&r, 6);
	ck_assert_int_eq(note(0, 10, "a"), REFUSED_BEGAN);
	ck_assert_int_eq(refused_version_in_force(&r, 0), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 6), REFUSED_UNCHANGED);
	ck_assert(r.active);
	ck_assert_int_eq(refused_version_in_force(&r, 12), REFUSED_ENDED);
}
END_TEST

/* What the platform gives after it, whatever its number; not one that was on
 * its way before. */
START_TEST(a_version_without_a_number_ends_with_one_given_later)
{
	fresh();
	(void)refused_version_readable(&r, 7, 6);
	ck_assert_int_eq(note(0, 0, "no JSON"), REFUSED_BEGAN);
	ck_assert_int_eq(refused_version_in_force(&r, 6), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 7), REFUSED_UNCHANGED);
	ck_assert(r.active);
	ck_assert_int_eq(refused_version_readable(&r, 8, 7), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 7), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 8), REFUSED_ENDED);
	ck_assert_int_eq(note(0, 0, "no JSON"), REFUSED_BEGAN);
	ck_assert_int_eq(refused_version_readable(&r, 8, 8), REFUSED_ENDED);
}
END_TEST

/* A node that isn't given anything by the platform learns of it from its
 * peers: what is above all that was known then came after it. */
START_TEST(a_version_without_a_number_ends_with_one_above_all_known)
{
	fresh();
	(void)refused_version_readable(&r, 7, 6);
	ck_assert_int_eq(note(0, 0, "no JSON"), REFUSED_BEGAN);
	ck_assert_int_eq(refused_version_in_force(&r, 8), REFUSED_ENDED);
	/* The same where the highest known was itself refused. */
	ck_assert_int_eq(note(0, 10, "a"), REFUSED_BEGAN);
	ck_assert_int_eq(note(9000, 0, "no JSON"), REFUSED_CHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 9), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 10), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 11), REFUSED_ENDED);
}
END_TEST

/* Of versions in force elsewhere a node hears before it has them. */
START_TEST(a_version_heard_of_before_does_not_end_one_without_a_number)
{
	fresh();
	refused_version_known(&r, 8);
	ck_assert_int_eq(note(0, 0, "no JSON"), REFUSED_BEGAN);
	refused_version_known(&r, 9);
	ck_assert_int_eq(refused_version_in_force(&r, 8), REFUSED_UNCHANGED);
	ck_assert(r.active);
	ck_assert_int_eq(refused_version_in_force(&r, 9), REFUSED_ENDED);
}
END_TEST

/* A number that was wrong counts until the platform gives the next. */
START_TEST(a_garbled_number_does_not_hold_up_the_next_end)
{
	fresh();
	ck_assert_int_eq(note(0, UINT64_C(1) << 60, "a"), REFUSED_BEGAN);
	ck_assert_int_eq(refused_version_readable(&r, 8, 6), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 8), REFUSED_ENDED);
	ck_assert_int_eq(note(0, 0, "no JSON"), REFUSED_BEGAN);
	ck_assert_int_eq(refused_version_in_force(&r, 9), REFUSED_ENDED);
}
END_TEST

/* One on its way before the newest is told late. */
START_TEST(a_lower_one_that_is_refused_late_changes_nothing)
{
	fresh();
	ck_assert_int_eq(note(0, 10, "a"), REFUSED_BEGAN);
	ck_assert_int_eq(note(9000, 8, "b"), REFUSED_UNCHANGED);
	ck_assert_uint_eq(r.version, 10);
	ck_assert_str_eq(r.reason, "a");
	ck_assert_uint_eq(r.n_versions, 1);
	ck_assert_int_eq(refused_version_in_force(&r, 9), REFUSED_UNCHANGED);
	/* Operators go back to a lower one that is refused too. */
	(void)refused_version_readable(&r, 8, 6);
	ck_assert_int_eq(note(18000, 8, "b"), REFUSED_CHANGED);
	ck_assert_uint_eq(r.version, 8);
	ck_assert_int_eq(note(27000, 10, "a"), REFUSED_CHANGED);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("refused");
	TCase *tc = tcase_create("refused");

	tcase_add_test(tc, begins_once);
	tcase_add_test(tc, a_long_reason_is_the_same_when_cut);
	tcase_add_test(tc, a_reason_is_one_line_of_whole_characters);
	tcase_add_test(tc, changes_are_told_at_a_bounded_rate);
	tcase_add_test(tc, a_later_version_in_force_ends_it);
	tcase_add_test(tc, a_version_that_is_given_ends_it_in_force_only);
	tcase_add_test(tc, going_back_ends_it);
	tcase_add_test(tc, a_version_without_a_number_ends_with_the_next);
	tcase_add_test(tc, serving_the_one_before_again_does_not_end_it);
	tcase_add_test(
	    tc, a_version_without_a_number_ends_with_one_given_later);
	tcase_add_test(
	    tc, a_version_without_a_number_ends_with_one_above_all_known);
	tcase_add_test(
	    tc, a_version_heard_of_before_does_not_end_one_without_a_number);
	tcase_add_test(tc, a_garbled_number_does_not_hold_up_the_next_end);
	tcase_add_test(tc, a_lower_one_that_is_refused_late_changes_nothing);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
