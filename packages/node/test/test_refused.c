/*
 * Record of a refused version.  Guards against a refusal that begins twice,
 * ends before a newer version is in force or never ends, and against log lines
 * at an unbounded rate when many versions are refused.
 */
#include <string.h>

#include <check.h>
#include <glib.h>

#include "refused.h"
#include "test_run.h"

static struct refused r;

static enum refused_change
record(uint64_t now_ms, uint64_t version, const char *reason)
{
	struct refused_time at = {now_ms, now_ms + 1000000};

	return refused_record(&r, at, version, 6, reason);
}

static void
reset_record(void)
{
	memset(&r, 0, sizeof(r));
}

START_TEST(begins_once)
{
	reset_record();
	ck_assert_int_eq(record(0, 10, "a"), REFUSED_BEGAN);
	ck_assert_int_eq(record(1, 10, "a"), REFUSED_UNCHANGED);
	ck_assert_int_eq(record(90000, 10, "a"), REFUSED_UNCHANGED);
	ck_assert(r.active);
	ck_assert_uint_eq(r.version, 10);
	ck_assert_uint_eq(r.in_force, 6);
	ck_assert_uint_eq(r.since_wall_ms, 1000000);
	ck_assert_uint_eq(r.n_versions, 1);
	ck_assert_str_eq(r.reason, "a");
}
END_TEST

START_TEST(truncated_reason_counts_as_unchanged)
{
	char reason[2 * REFUSED_REASON_BYTES];

	reset_record();
	memset(reason, 'x', sizeof(reason) - 1);
	reason[sizeof(reason) - 1] = '\0';
	ck_assert_int_eq(record(0, 10, reason), REFUSED_BEGAN);
	ck_assert_uint_eq(strlen(r.reason), REFUSED_REASON_BYTES - 1);
	ck_assert_int_eq(record(90000, 10, reason), REFUSED_UNCHANGED);
}
END_TEST

/* A reason may contain names that operators chose; it must fit into one log
 * line and into JSON. */
START_TEST(reason_is_one_line_of_valid_utf8)
{
	char reason[REFUSED_REASON_BYTES + 2];

	reset_record();
	ck_assert_int_eq(
	    record(0, 10, "route \"a\nb\x7f\"\t\xff."), REFUSED_BEGAN);
	ck_assert(strpbrk(r.reason, "\n\t\x7f") == NULL);
	ck_assert(g_utf8_validate(r.reason, -1, NULL));
	ck_assert(g_str_has_prefix(r.reason, "route \"a b \" "));
	ck_assert_int_eq(
	    record(90000, 10, "route \"a\nb\x7f\"\t\xff."), REFUSED_UNCHANGED);
	/* A character of two bytes at the point of truncation. */
	memset(reason, 'x', sizeof(reason));
	memcpy(reason + REFUSED_REASON_BYTES - 2, "\xc3\xa9", 3);
	ck_assert_int_eq(record(180000, 10, reason), REFUSED_CHANGED);
	ck_assert(g_utf8_validate(r.reason, -1, NULL));
	ck_assert_uint_eq(strlen(r.reason), REFUSED_REASON_BYTES - 2);
	ck_assert_int_eq(record(270000, 10, reason), REFUSED_UNCHANGED);
}
END_TEST

START_TEST(changes_are_logged_at_bounded_rate)
{
	uint64_t now_ms, logged = 0;

	reset_record();
	for (now_ms = 0; now_ms < 60000; now_ms += 100)
		logged += record(now_ms, 10 + now_ms, "a") != REFUSED_UNCHANGED;
	ck_assert_uint_eq(logged, 60000 / REFUSED_LOG_MS);
	ck_assert_uint_eq(r.n_versions, 600);
	ck_assert_uint_eq(r.n_unlogged, 600 - logged);
	ck_assert_uint_eq(r.since_wall_ms, 1000000);
	ck_assert_uint_eq(r.version, 10 + 59900);
	ck_assert_int_eq(record(70000, r.version, "b"), REFUSED_CHANGED);
	ck_assert_uint_eq(r.n_versions, 600);
}
END_TEST

START_TEST(later_version_in_force_ends_refusal)
{
	reset_record();
	(void)record(0, 10, "a");
	ck_assert_int_eq(refused_version_in_force(&r, 0), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 8), REFUSED_UNCHANGED);
	ck_assert(r.active);
	ck_assert_int_eq(refused_version_in_force(&r, 12), REFUSED_ENDED);
	ck_assert(!r.active);
	ck_assert_int_eq(refused_version_in_force(&r, 12), REFUSED_UNCHANGED);
	/* The next refusal begins immediately; n_versions continues. */
	ck_assert_int_eq(record(1, 14, "a"), REFUSED_BEGAN);
	ck_assert_uint_eq(r.since_wall_ms, 1000001);
	ck_assert_uint_eq(r.n_versions, 2);
}
END_TEST

/* A version that can be read may still be refused when it is compiled. */
START_TEST(readable_version_ends_refusal_only_in_force)
{
	reset_record();
	(void)record(0, 10, "a");
	ck_assert_int_eq(
	    refused_version_readable(&r, 12, 6), REFUSED_UNCHANGED);
	ck_assert(r.active);
	ck_assert_int_eq(record(6000, 12, "too large"), REFUSED_CHANGED);
	ck_assert_int_eq(
	    refused_version_readable(&r, 12, 6), REFUSED_UNCHANGED);
	ck_assert_int_eq(record(12000, 12, "too large"), REFUSED_UNCHANGED);
	ck_assert_int_eq(
	    refused_version_readable(&r, 14, 6), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 14), REFUSED_ENDED);
}
END_TEST

/* Operators return to a lower version, or to the version in force. */
START_TEST(return_to_older_version_ends_refusal)
{
	reset_record();
	(void)record(0, 10, "a");
	ck_assert_int_eq(refused_version_readable(&r, 8, 6), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 8), REFUSED_ENDED);
	(void)record(0, 10, "a");
	ck_assert_int_eq(refused_version_readable(&r, 6, 6), REFUSED_ENDED);
}
END_TEST

START_TEST(unnumbered_refusal_ends_with_next_version)
{
	reset_record();
	ck_assert_int_eq(record(0, 0, "no JSON"), REFUSED_BEGAN);
	ck_assert_int_eq(refused_version_in_force(&r, 6), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 7), REFUSED_ENDED);
}
END_TEST

/* A node that stopped serving takes the version that it held in force again. */
START_TEST(previous_version_in_force_again_does_not_end_refusal)
{
	reset_record();
	(void)refused_version_readable(&r, 6, 4);
	(void)refused_version_in_force(&r, 6);
	ck_assert_int_eq(record(0, 10, "a"), REFUSED_BEGAN);
	ck_assert_int_eq(refused_version_in_force(&r, 0), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 6), REFUSED_UNCHANGED);
	ck_assert(r.active);
	ck_assert_int_eq(refused_version_in_force(&r, 12), REFUSED_ENDED);
}
END_TEST

/* A refusal without a number ends with any version that the platform delivers
 * later, whatever its number, but not with one delivered before the refusal. */
START_TEST(unnumbered_refusal_ends_with_version_delivered_later)
{
	reset_record();
	(void)refused_version_readable(&r, 7, 6);
	ck_assert_int_eq(record(0, 0, "no JSON"), REFUSED_BEGAN);
	ck_assert_int_eq(refused_version_in_force(&r, 6), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 7), REFUSED_UNCHANGED);
	ck_assert(r.active);
	ck_assert_int_eq(refused_version_readable(&r, 8, 7), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 7), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 8), REFUSED_ENDED);
	ck_assert_int_eq(record(0, 0, "no JSON"), REFUSED_BEGAN);
	ck_assert_int_eq(refused_version_readable(&r, 8, 8), REFUSED_ENDED);
}
END_TEST

/* A node that gets no version from the platform receives it from its peers: a
 * version above all those known at the refusal was published after it. */
START_TEST(unnumbered_refusal_ends_with_version_above_all_known)
{
	reset_record();
	(void)refused_version_readable(&r, 7, 6);
	ck_assert_int_eq(record(0, 0, "no JSON"), REFUSED_BEGAN);
	ck_assert_int_eq(refused_version_in_force(&r, 8), REFUSED_ENDED);
	/* The same if the highest known version was refused itself. */
	ck_assert_int_eq(record(0, 10, "a"), REFUSED_BEGAN);
	ck_assert_int_eq(record(9000, 0, "no JSON"), REFUSED_CHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 9), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 10), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 11), REFUSED_ENDED);
}
END_TEST

/* A node receives the numbers of versions in force elsewhere before it has the
 * versions themselves. */
START_TEST(known_version_does_not_end_unnumbered_refusal)
{
	reset_record();
	refused_version_known(&r, 8);
	ck_assert_int_eq(record(0, 0, "no JSON"), REFUSED_BEGAN);
	refused_version_known(&r, 9);
	ck_assert_int_eq(refused_version_in_force(&r, 8), REFUSED_UNCHANGED);
	ck_assert(r.active);
	ck_assert_int_eq(refused_version_in_force(&r, 9), REFUSED_ENDED);
}
END_TEST

/* A corrupt version number counts only until the platform delivers the next
 * version. */
START_TEST(corrupt_number_does_not_block_later_end)
{
	reset_record();
	ck_assert_int_eq(record(0, UINT64_C(1) << 60, "a"), REFUSED_BEGAN);
	ck_assert_int_eq(refused_version_readable(&r, 8, 6), REFUSED_UNCHANGED);
	ck_assert_int_eq(refused_version_in_force(&r, 8), REFUSED_ENDED);
	ck_assert_int_eq(record(0, 0, "no JSON"), REFUSED_BEGAN);
	ck_assert_int_eq(refused_version_in_force(&r, 9), REFUSED_ENDED);
}
END_TEST

/* A version that was received before the newest one is reported late. */
START_TEST(late_refusal_of_lower_version_is_ignored)
{
	reset_record();
	ck_assert_int_eq(record(0, 10, "a"), REFUSED_BEGAN);
	ck_assert_int_eq(record(9000, 8, "b"), REFUSED_UNCHANGED);
	ck_assert_uint_eq(r.version, 10);
	ck_assert_str_eq(r.reason, "a");
	ck_assert_uint_eq(r.n_versions, 1);
	ck_assert_int_eq(refused_version_in_force(&r, 9), REFUSED_UNCHANGED);
	/* Operators return to a lower version that is refused too. */
	(void)refused_version_readable(&r, 8, 6);
	ck_assert_int_eq(record(18000, 8, "b"), REFUSED_CHANGED);
	ck_assert_uint_eq(r.version, 8);
	ck_assert_int_eq(record(27000, 10, "a"), REFUSED_CHANGED);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("refused");
	TCase *tc = tcase_create("refused");

	tcase_add_test(tc, begins_once);
	tcase_add_test(tc, truncated_reason_counts_as_unchanged);
	tcase_add_test(tc, reason_is_one_line_of_valid_utf8);
	tcase_add_test(tc, changes_are_logged_at_bounded_rate);
	tcase_add_test(tc, later_version_in_force_ends_refusal);
	tcase_add_test(tc, readable_version_ends_refusal_only_in_force);
	tcase_add_test(tc, return_to_older_version_ends_refusal);
	tcase_add_test(tc, unnumbered_refusal_ends_with_next_version);
	tcase_add_test(
	    tc, previous_version_in_force_again_does_not_end_refusal);
	tcase_add_test(
	    tc, unnumbered_refusal_ends_with_version_delivered_later);
	tcase_add_test(
	    tc, unnumbered_refusal_ends_with_version_above_all_known);
	tcase_add_test(tc, known_version_does_not_end_unnumbered_refusal);
	tcase_add_test(tc, corrupt_number_does_not_block_later_end);
	tcase_add_test(tc, late_refusal_of_lower_version_is_ignored);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
