/*
 * Schedule of reads and writes of quarantine rows at the platform.  Guards
 * against reads by every node, lost or reordered writes, and a queue that grows
 * without bound while the platform is unreachable.
 */
#include <string.h>

#include <check.h>

#include "base/clock.h"
#include "quarantine_rows.h"
#include "test_run.h"

#define T0 UINT64_C(100000)
#define N_ROWS 1000

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

START_TEST(only_reader_reads_and_only_once)
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

START_TEST(failed_read_is_retried)
{
	uint64_t retry_ms = T0 + QUARANTINE_ROWS_RETRY_MS;

	(void)next(true, T0);
	quarantine_rows_done(&rows, false, T0);
	ck_assert_int_eq(next(true, retry_ms - 1), QUARANTINE_ROWS_NONE);
	ck_assert_uint_eq(quarantine_rows_due_ms(&rows, true), retry_ms);
	ck_assert_int_eq(next(true, retry_ms), QUARANTINE_ROWS_READ);
}
END_TEST

START_TEST(rows_are_written_in_order_and_retried)
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

START_TEST(later_put_replaces_pending_but_not_active_row)
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

START_TEST(pending_rows_are_bounded)
{
	char key[16];
	int i;

	quarantine_rows_put(&rows, "first", "1");
	(void)next(false, T0);
	for (i = 0; i < N_ROWS; i++) {
		(void)g_snprintf(key, sizeof(key), "%d", i);
		quarantine_rows_put(&rows, key, "1");
	}
	ck_assert_uint_eq(rows.pending.length, QUARANTINE_ROWS_PENDING_MAX);
	quarantine_rows_done(&rows, true, T0);
	(void)next(false, T0);
	ck_assert_str_ne(row->key, "0");
}
END_TEST

/* The platform's store has come back from an older copy, also while the rows
 * were being read. */
START_TEST(rows_are_read_again_after_a_restore)
{
	(void)next(true, T0);
	quarantine_rows_restored(&rows);
	quarantine_rows_done(&rows, true, T0 + 5);
	ck_assert_int_eq(next(true, T0 + 5), QUARANTINE_ROWS_READ);
	quarantine_rows_done(&rows, true, T0 + 6);
	ck_assert_int_eq(next(true, T0 + 6), QUARANTINE_ROWS_NONE);
	quarantine_rows_restored(&rows);
	ck_assert_int_eq(next(false, T0 + 7), QUARANTINE_ROWS_NONE);
	ck_assert_int_eq(next(true, T0 + 7), QUARANTINE_ROWS_READ);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("quarantine_rows");
	TCase *tc = tcase_create("quarantine_rows");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, only_reader_reads_and_only_once);
	tcase_add_test(tc, failed_read_is_retried);
	tcase_add_test(tc, rows_are_written_in_order_and_retried);
	tcase_add_test(tc, later_put_replaces_pending_but_not_active_row);
	tcase_add_test(tc, pending_rows_are_bounded);
	tcase_add_test(tc, rows_are_read_again_after_a_restore);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
