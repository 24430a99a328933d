/*
 * When rows of quarantined requests are read and written at the platform.
 */
#include <string.h>

#include <check.h>

#include "base/clock.h"
#include "quarantine_rows.h"
#include "test_run.h"

#define T0 UINT64_C(100000)
#define FLOOD 1000

static struct quarantine_rows rows;
static const struct quarantine_row *row;

static void
setup(void)
{
	quarantine_rows_init(&rows);
}

static void
teardown(void)
{
	quarantine_rows_clear(&rows);
}

static enum quarantine_rows_action
next(bool reader, uint64_t now_ms)
{
	return quarantine_rows_next(&rows, reader, now_ms, &row);
}

START_TEST(only_a_reader_reads_and_once)
{
	ck_assert_int_eq(next(false, T0), QUARANTINE_ROWS_NONE);
	ck_assert_uint_eq(quarantine_rows_due_ms(&rows, false), DEADLINE_NEVER);
	ck_assert_int_eq(next(true, T0), QUARANTINE_ROWS_READ);
	ck_assert_int_eq(next(true, T0), QUARANTINE_ROWS_NONE);
	quarantine_rows_done(&rows, true, T0 + 5);
	ck_assert_int_eq(next(true, T0 + 5), QUARANTINE_ROWS_NONE);
	ck_assert_uint_eq(quarantine_rows_due_ms(&rows, true), DEADLINE_NEVER);
}
END_TEST

START_TEST(a_read_that_fails_is_made_again)
{
	uint64_t again_ms = T0 + QUARANTINE_ROWS_RETRY_MS;

	(void)next(true, T0);
	quarantine_rows_done(&rows, false, T0);
	ck_assert_int_eq(next(true, again_ms - 1), QUARANTINE_ROWS_NONE);
	ck_assert_uint_eq(quarantine_rows_due_ms(&rows, true), again_ms);
	ck_assert_int_eq(next(true, again_ms), QUARANTINE_ROWS_READ);
}
END_TEST

START_TEST(rows_are_written_in_order_and_again_after_a_failure)
{
	quarantine_rows_put(&rows, "a", "1");
	quarantine_rows_put(&rows, "b", "2");
	ck_assert_int_eq(next(false, T0), QUARANTINE_ROWS_PUT);
	ck_assert_str_eq(row->key, "a");
	quarantine_rows_done(&rows, false, T0);
	ck_assert_int_eq(next(false, T0), QUARANTINE_ROWS_NONE);
	ck_assert_int_eq(
	    next(false, T0 + QUARANTINE_ROWS_RETRY_MS), QUARANTINE_ROWS_PUT);
	ck_assert_str_eq(row->key, "a");
	quarantine_rows_done(&rows, true, T0 + QUARANTINE_ROWS_RETRY_MS);
	ck_assert_int_eq(
	    next(false, T0 + QUARANTINE_ROWS_RETRY_MS), QUARANTINE_ROWS_PUT);
	ck_assert_str_eq(row->key, "b");
}
END_TEST

START_TEST(a_later_change_replaces_what_waits_but_not_what_is_under_way)
{
	quarantine_rows_put(&rows, "a", "1");
	(void)next(false, T0);
	quarantine_rows_put(&rows, "a", NULL);
	quarantine_rows_put(&rows, "a", "3");
	quarantine_rows_done(&rows, true, T0);
	ck_assert_int_eq(next(false, T0), QUARANTINE_ROWS_PUT);
	ck_assert_str_eq(row->value, "3");
	quarantine_rows_done(&rows, true, T0);
	ck_assert_int_eq(next(false, T0), QUARANTINE_ROWS_NONE);
}
END_TEST

START_TEST(what_waits_is_bounded)
{
	char key[16];
	int i;

	quarantine_rows_put(&rows, "first", "1");
	(void)next(false, T0);
	for (i = 0; i < FLOOD; i++) {
		(void)g_snprintf(key, sizeof(key), "%d", i);
		quarantine_rows_put(&rows, key, "1");
	}
	ck_assert_uint_eq(rows.pending.length, QUARANTINE_ROWS_PENDING_MAX);
	quarantine_rows_done(&rows, true, T0);
	(void)next(false, T0);
	ck_assert_str_ne(row->key, "0");
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("quarantine_rows");
	TCase *tc = tcase_create("quarantine_rows");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, only_a_reader_reads_and_once);
	tcase_add_test(tc, a_read_that_fails_is_made_again);
	tcase_add_test(tc, rows_are_written_in_order_and_again_after_a_failure);
	tcase_add_test(
	    tc, a_later_change_replaces_what_waits_but_not_what_is_under_way);
	tcase_add_test(tc, what_waits_is_bounded);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
