/*
 * Schedule of the platform row for a refused version.  Guards against needless
 * writes, which cost money, and against a row that is left behind or missing.
 */
#include <string.h>

#include <check.h>

#include "base/clock.h"
#include "refused_row.h"
#include "test_run.h"

static struct refused_row row;
static struct refused record;

static void
reset_row(void)
{
	memset(&row, 0, sizeof(row));
	memset(&record, 0, sizeof(record));
}

static enum refused_row_action
next(uint64_t now_ms, bool first)
{
	return refused_row_next(&row, &record, first, now_ms);
}

static void
refuse(uint64_t version)
{
	record.active = true;
	record.version = version;
}

START_TEST(row_is_written_at_begin_and_removed_at_end)
{
	reset_row();
	ck_assert_uint_eq(
	    refused_row_due_ms(&row, &record, true), DEADLINE_NEVER);
	refuse(10);
	ck_assert_int_eq(next(100, true), REFUSED_ROW_NONE);
	ck_assert_uint_eq(refused_row_due_ms(&row, &record, true),
	    100 + REFUSED_ROW_DELAY_MS);
	ck_assert_int_eq(
	    next(100 + REFUSED_ROW_DELAY_MS, true), REFUSED_ROW_WRITE);
	ck_assert_int_eq(next(9000, true), REFUSED_ROW_NONE);
	refused_row_done(&row, true, 9000);
	ck_assert_int_eq(next(900000, true), REFUSED_ROW_NONE);
	ck_assert_uint_eq(
	    refused_row_due_ms(&row, &record, true), DEADLINE_NEVER);
	record.active = false;
	ck_assert_int_eq(next(900001, true), REFUSED_ROW_REMOVE);
	refused_row_done(&row, true, 900002);
	ck_assert_int_eq(next(900003, true), REFUSED_ROW_NONE);
}
END_TEST

START_TEST(short_refusal_is_not_written)
{
	reset_row();
	refuse(10);
	ck_assert_int_eq(next(0, true), REFUSED_ROW_NONE);
	record.active = false;
	ck_assert_int_eq(next(1000, true), REFUSED_ROW_NONE);
	refuse(12);
	ck_assert_int_eq(next(2500, true), REFUSED_ROW_NONE);
	ck_assert_int_eq(
	    next(2500 + REFUSED_ROW_DELAY_MS, true), REFUSED_ROW_WRITE);
}
END_TEST

START_TEST(only_first_reader_writes_but_every_writer_removes)
{
	reset_row();
	refuse(10);
	ck_assert_int_eq(next(0, false), REFUSED_ROW_NONE);
	ck_assert_int_eq(next(90000, false), REFUSED_ROW_NONE);
	/* The previous first reader has left. */
	ck_assert_int_eq(next(90001, true), REFUSED_ROW_WRITE);
	refused_row_done(&row, true, 90002);
	record.active = false;
	ck_assert_int_eq(next(90003, false), REFUSED_ROW_REMOVE);
}
END_TEST

/* Ten versions a second for a minute, each of them refused. */
START_TEST(many_versions_need_few_writes)
{
	uint64_t now_ms, writes = 0;

	reset_row();
	for (now_ms = 0; now_ms < 60000; now_ms += 100) {
		refuse(10 + now_ms);
		if (next(now_ms, true) != REFUSED_ROW_WRITE)
			continue;
		writes++;
		refused_row_done(&row, true, now_ms);
	}
	ck_assert_uint_eq(writes, 2);
}
END_TEST

START_TEST(failed_action_is_retried_after_delay)
{
	reset_row();
	refuse(10);
	(void)next(0, true);
	ck_assert_int_eq(next(2000, true), REFUSED_ROW_WRITE);
	refused_row_done(&row, false, 3000);
	ck_assert_int_eq(next(3001, true), REFUSED_ROW_NONE);
	ck_assert_int_eq(
	    next(3000 + REFUSED_ROW_RETRY_MS, true), REFUSED_ROW_WRITE);
	refused_row_done(&row, false, 9000);
	/* The failed write may have reached the platform: the row is removed
	 * nevertheless, and the removal is retried until it succeeds. */
	record.active = false;
	ck_assert_int_eq(next(9001, true), REFUSED_ROW_REMOVE);
	refused_row_done(&row, false, 9002);
	ck_assert_int_eq(next(9003, true), REFUSED_ROW_NONE);
	ck_assert_int_eq(
	    next(9002 + REFUSED_ROW_RETRY_MS, true), REFUSED_ROW_REMOVE);
	refused_row_done(&row, true, 20000);
	ck_assert_int_eq(next(90000, true), REFUSED_ROW_NONE);
}
END_TEST

/* A refusal that begins while the previous row is being removed is written. */
START_TEST(refusal_during_removal_is_written_again)
{
	reset_row();
	refuse(10);
	(void)next(0, true);
	ck_assert_int_eq(next(2000, true), REFUSED_ROW_WRITE);
	refused_row_done(&row, true, 2001);
	record.active = false;
	ck_assert_int_eq(next(3000, true), REFUSED_ROW_REMOVE);
	refuse(10);
	ck_assert_int_eq(next(3001, true), REFUSED_ROW_NONE);
	refused_row_done(&row, true, 3002);
	ck_assert_int_eq(
	    next(3002 + REFUSED_ROW_REWRITE_MS, true), REFUSED_ROW_WRITE);
}
END_TEST

/* The platform's store has come back from an older copy, which may lack the row
 * or still have it. */
START_TEST(row_is_written_or_removed_again_after_a_restore)
{
	reset_row();
	refuse(10);
	(void)next(0, true);
	ck_assert_int_eq(next(REFUSED_ROW_DELAY_MS, true), REFUSED_ROW_WRITE);
	refused_row_done(&row, true, 3000);
	refused_row_restored(&row, 4000);
	ck_assert_int_eq(next(4000, true), REFUSED_ROW_WRITE);
	/* A write that the store lost while it was in flight. */
	refused_row_restored(&row, 4100);
	refused_row_done(&row, true, 4200);
	ck_assert_int_eq(
	    next(4200 + REFUSED_ROW_RETRY_MS, true), REFUSED_ROW_WRITE);
	refused_row_done(&row, true, 10000);
	record.active = false;
	ck_assert_int_eq(next(50000, true), REFUSED_ROW_REMOVE);
	refused_row_done(&row, true, 50001);
	refused_row_restored(&row, 51000);
	ck_assert_int_eq(next(51000, true), REFUSED_ROW_REMOVE);
}
END_TEST

START_TEST(node_that_wrote_nothing_removes_nothing_after_a_restore)
{
	reset_row();
	refused_row_restored(&row, 100);
	ck_assert_int_eq(next(100, true), REFUSED_ROW_NONE);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("refused row");
	TCase *tc = tcase_create("refused row");

	tcase_add_test(tc, row_is_written_at_begin_and_removed_at_end);
	tcase_add_test(tc, short_refusal_is_not_written);
	tcase_add_test(tc, only_first_reader_writes_but_every_writer_removes);
	tcase_add_test(tc, many_versions_need_few_writes);
	tcase_add_test(tc, failed_action_is_retried_after_delay);
	tcase_add_test(tc, refusal_during_removal_is_written_again);
	tcase_add_test(tc, row_is_written_or_removed_again_after_a_restore);
	tcase_add_test(
	    tc, node_that_wrote_nothing_removes_nothing_after_a_restore);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
