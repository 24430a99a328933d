/*
 * Selection of the current run of an upstream.
 */
#include <check.h>
#include <glib.h>

#include "membership/instances.h"

#include "test_run.h"

START_TEST(late_heartbeats_change_nothing)
{
	struct instances s;

	instances_init(&s);
	ck_assert_int_eq(instances_heartbeat(&s, "a", 0, 3), INSTANCE_CURRENT);
	ck_assert_int_eq(instances_heartbeat(&s, "a", 0, 2), INSTANCE_STALE);
	ck_assert_int_eq(instances_heartbeat(&s, "a", 0, 4), INSTANCE_CURRENT);
	/* Another run has started; heartbeats of the first run arrive late. */
	ck_assert_int_eq(instances_heartbeat(&s, "b", 0, 1), INSTANCE_CURRENT);
	ck_assert_int_eq(instances_heartbeat(&s, "a", 0, 5), INSTANCE_STALE);
	ck_assert_str_eq(instances_current(&s), "b");
	ck_assert_int_eq(instances_heartbeat(&s, "b", 0, 2), INSTANCE_CURRENT);
}
END_TEST

/*
 * On a node that has just started, a late heartbeat of an ended run arrives
 * last.  The live run continues its heartbeats and becomes current again.
 */
START_TEST(replaced_run_that_is_alive_becomes_current_again)
{
	struct instances s;

	instances_init(&s);
	(void)instances_heartbeat(&s, "lives", 0, 7);
	(void)instances_heartbeat(&s, "ended", 0, 9);
	ck_assert_str_eq(instances_current(&s), "ended");
	ck_assert_int_eq(
	    instances_heartbeat(&s, "lives", 0, 8), INSTANCE_STALE);
	ck_assert_int_eq(
	    instances_heartbeat(&s, "lives", 0, 9), INSTANCE_CURRENT);
	ck_assert_str_eq(instances_current(&s), "lives");
}
END_TEST

START_TEST(heartbeats_after_a_leave_are_stale)
{
	struct instances s;
	char id[16];
	int i;

	instances_init(&s);
	(void)instances_heartbeat(&s, "a", 0, 1);
	ck_assert_int_eq(instances_left(&s, "a", 0), 1);
	ck_assert_int_eq(instances_left(&s, "a", 0), 0);
	for (i = 2; i < 10; i++)
		ck_assert_int_eq(instances_heartbeat(&s, "a", 0, (uint64_t)i),
		    INSTANCE_STALE);
	ck_assert_str_eq(instances_current(&s), "");
	/* The same holds for a run whose first message here is its leave. */
	ck_assert_int_eq(instances_left(&s, "x", 0), 0);
	ck_assert_int_eq(instances_heartbeat(&s, "x", 0, 1), INSTANCE_STALE);
	/* More runs than INSTANCES_MAX. */
	for (i = 0; i < 3 * INSTANCES_MAX; i++) {
		(void)g_snprintf(id, sizeof(id), "run-%d", i);
		ck_assert_int_eq(
		    instances_heartbeat(&s, id, 0, 1), INSTANCE_CURRENT);
	}
	ck_assert_int_eq(instances_heartbeat(&s, "", 0, 1), INSTANCE_STALE);
}
END_TEST

START_TEST(latest_run_is_kept_until_another_is_current)
{
	struct instances s;

	instances_init(&s);
	ck_assert(!instances_is_latest(&s, "", 0));
	ck_assert(!instances_is_latest(&s, "a", 0));
	(void)instances_heartbeat(&s, "a", 1000, 1);
	ck_assert(instances_is_latest(&s, "a", 1000));
	ck_assert(instances_is_latest(&s, "a", 0));
	ck_assert(!instances_is_latest(&s, "a", 2000));
	ck_assert(!instances_is_latest(&s, "b", 1000));
	ck_assert_int_eq(instances_left(&s, "a", 1000), 1);
	ck_assert(instances_is_latest(&s, "a", 1000));
	ck_assert(!instances_is_latest(&s, "a", 2000));
	(void)instances_heartbeat(&s, "b", 3000, 1);
	ck_assert(!instances_is_latest(&s, "a", 1000));
	ck_assert(instances_is_latest(&s, "b", 3000));
}
END_TEST

/*
 * An upstream that restarts under its name counts its heartbeats from 1 again.
 * Without its start time, they would be stale for as long as the earlier run
 * had lived, and its host idle.
 */
START_TEST(a_later_start_under_the_same_name_is_a_new_run)
{
	struct instances s;

	instances_init(&s);
	ck_assert_int_eq(
	    instances_heartbeat(&s, "a", 1000, 50), INSTANCE_CURRENT);
	ck_assert_int_eq(
	    instances_heartbeat(&s, "a", 2000, 1), INSTANCE_CURRENT);
	ck_assert_uint_eq(instances_current_started_ms(&s), 2000);
	/* Heartbeats and the leave of the earlier run arrive late. */
	ck_assert_int_eq(
	    instances_heartbeat(&s, "a", 1000, 51), INSTANCE_STALE);
	ck_assert_int_eq(instances_left(&s, "a", 1000), 0);
	ck_assert_int_eq(
	    instances_heartbeat(&s, "a", 2000, 2), INSTANCE_CURRENT);
	/* A run that left may start again. */
	ck_assert_int_eq(instances_left(&s, "a", 2000), 1);
	ck_assert_int_eq(instances_heartbeat(&s, "a", 2000, 3), INSTANCE_STALE);
	ck_assert_int_eq(
	    instances_heartbeat(&s, "a", 3000, 1), INSTANCE_CURRENT);
	/* A run with another name and an earlier start is no successor. */
	ck_assert_int_eq(instances_heartbeat(&s, "b", 2500, 9), INSTANCE_STALE);
	ck_assert_int_eq(
	    instances_heartbeat(&s, "c", 4000, 1), INSTANCE_CURRENT);
	ck_assert_str_eq(instances_current(&s), "c");
	/* The leave of a later run than the one known. */
	ck_assert_int_eq(instances_left(&s, "c", 5000), 1);
	ck_assert_int_eq(instances_heartbeat(&s, "c", 4000, 2), INSTANCE_STALE);
}
END_TEST

static struct rec_run
restored(const char *id, uint64_t started_ms, uint64_t seq,
    enum endpoint_state state)
{
	struct rec_run r = {.key = instance_key(id),
	    .started_ms = started_ms,
	    .seq = seq,
	    .state = state};

	return r;
}

/* Guards against a late heartbeat that brings an ended run back, since the node
 * that received its leave was started again. */
START_TEST(heartbeats_before_a_restored_report_are_stale)
{
	struct rec_run left = restored("a", 100, UINT64_MAX, ENDPOINT_LEFT);
	struct rec_run drains = restored("b", 100, 5, ENDPOINT_DRAINING);
	struct instances s;

	instances_init(&s);
	ck_assert_int_eq(instances_restore(&s, &left), 0);
	ck_assert_int_eq(instances_restore(&s, &drains), 0);
	ck_assert_int_eq(instances_heartbeat(&s, "a", 100, 9), INSTANCE_STALE);
	ck_assert_int_eq(instances_heartbeat(&s, "a", 90, 9), INSTANCE_STALE);
	ck_assert_int_eq(instances_heartbeat(&s, "a", 0, 9), INSTANCE_STALE);
	ck_assert_int_eq(instances_heartbeat(&s, "b", 100, 4), INSTANCE_STALE);
	ck_assert_int_eq(
	    instances_heartbeat(&s, "b", 100, 5), INSTANCE_CURRENT);
	/* The process has started anew under its name. */
	ck_assert_int_eq(
	    instances_heartbeat(&s, "a", 200, 1), INSTANCE_CURRENT);
}
END_TEST

START_TEST(restored_leave_ends_the_current_run)
{
	struct rec_run left = restored("a", 100, UINT64_MAX, ENDPOINT_LEFT);
	struct instances s;

	instances_init(&s);
	(void)instances_heartbeat(&s, "a", 200, 1);
	ck_assert_int_eq(instances_restore(&s, &left), 0);
	ck_assert_str_eq(instances_current(&s), "a");
	left.started_ms = 200;
	ck_assert_int_eq(instances_restore(&s, &left), 1);
	ck_assert_str_eq(instances_current(&s), "");
	ck_assert_int_eq(instances_heartbeat(&s, "a", 200, 2), INSTANCE_STALE);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("found");
	TCase *tc = tcase_create("found");

	tcase_add_test(tc, late_heartbeats_change_nothing);
	tcase_add_test(tc, replaced_run_that_is_alive_becomes_current_again);
	tcase_add_test(tc, heartbeats_after_a_leave_are_stale);
	tcase_add_test(tc, heartbeats_before_a_restored_report_are_stale);
	tcase_add_test(tc, restored_leave_ends_the_current_run);
	tcase_add_test(tc, latest_run_is_kept_until_another_is_current);
	tcase_add_test(tc, a_later_start_under_the_same_name_is_a_new_run);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
