/*
 * Tests of orders: which of two orders is newer, and which version serves.
 */
#include <check.h>

#include <glib.h>

#include "rollout/orders.h"
#include "test_run.h"

static struct rollout
make_rollout(uint64_t order, enum rollout_phase phase)
{
	struct rollout r = {.service = "booking",
	    .from = "v1",
	    .to = "v2",
	    .order = order,
	    .phase = phase};

	return r;
}

START_TEST(numbers_in_versions_compare_as_numbers)
{
	ck_assert_int_lt(rollout_version_compare("v9", "v10"), 0);
	ck_assert_int_lt(rollout_version_compare("1.2.3", "1.10.0"), 0);
	ck_assert_int_eq(rollout_version_compare("v1", "v1"), 0);
	ck_assert_int_lt(rollout_version_compare("", "v1"), 0);
	ck_assert_int_gt(rollout_version_compare("v2-rc1", "v2"), 0);
}
END_TEST

START_TEST(a_later_order_and_a_later_phase_win)
{
	struct rollout_orders *o = rollout_orders_new();
	struct rollout r = make_rollout(7, ROLLOUT_SWITCHING);

	ck_assert_ptr_nonnull(rollout_orders_merge(o, &r));
	r = make_rollout(7, ROLLOUT_RUNNING);
	ck_assert_ptr_null(rollout_orders_merge(o, &r));
	r = make_rollout(7, ROLLOUT_REVERTING);
	ck_assert_ptr_nonnull(rollout_orders_merge(o, &r));
	r = make_rollout(6, ROLLOUT_COMPLETED);
	ck_assert_ptr_null(rollout_orders_merge(o, &r));
	r = make_rollout(8, ROLLOUT_RUNNING);
	ck_assert_ptr_nonnull(rollout_orders_merge(o, &r));
	ck_assert_int_eq(
	    rollout_orders_find(o, "booking")->phase, ROLLOUT_RUNNING);
	rollout_orders_free(o);
}
END_TEST

/* Two judges add one fact each; a node that receives both keeps both. */
START_TEST(additions_of_two_judges_are_merged)
{
	struct rollout_orders *o = rollout_orders_new();
	struct rollout excluded = make_rollout(7, ROLLOUT_RUNNING),
		       share = excluded;

	(void)g_strlcpy(excluded.excluded, "host-9", sizeof(excluded.excluded));
	share.share_milli = 200;
	ck_assert_ptr_nonnull(rollout_orders_merge(o, &excluded));
	ck_assert_ptr_nonnull(rollout_orders_merge(o, &share));
	ck_assert_str_eq(rollout_orders_find(o, "booking")->excluded, "host-9");
	ck_assert_uint_eq(rollout_orders_find(o, "booking")->share_milli, 200);
	ck_assert_ptr_null(rollout_orders_merge(o, &excluded));
	rollout_orders_free(o);
}
END_TEST

START_TEST(a_version_without_an_order_gets_no_requests)
{
	static const char *const old[] = {"v2", "v2"};
	static const char *const both[] = {"v1", "v2", "v3"};
	struct rollout_orders *o = rollout_orders_new();

	ck_assert_str_eq(rollout_orders_current(o, "booking", old, 2), "v2");
	ck_assert_str_eq(rollout_orders_current(o, "booking", both, 3), "v2");
	/* A node that has just started treats the lowest version as the old
	 * version. */
	ck_assert_str_eq(rollout_orders_current(o, "other", both, 3), "v1");
	ck_assert_ptr_null(rollout_orders_current(o, "none", NULL, 0));
	rollout_orders_free(o);
}
END_TEST

START_TEST(the_phase_decides_which_version_is_current)
{
	static const char *const both[] = {"v2", "v1"};
	static const char *const candidate_only[] = {"v2"};
	struct rollout_orders *o = rollout_orders_new();
	struct rollout r = make_rollout(7, ROLLOUT_RUNNING);

	(void)rollout_orders_merge(o, &r);
	ck_assert_str_eq(rollout_orders_current(o, "booking", both, 2), "v1");
	ck_assert_str_eq(
	    rollout_orders_current(o, "booking", candidate_only, 1), "v1");
	r = make_rollout(7, ROLLOUT_ROLLED_BACK);
	(void)rollout_orders_merge(o, &r);
	/* No version serves, rather than a version that was found bad. */
	ck_assert_str_eq(
	    rollout_orders_current(o, "booking", candidate_only, 1), "v1");
	r = make_rollout(8, ROLLOUT_COMPLETED);
	(void)rollout_orders_merge(o, &r);
	ck_assert_str_eq(rollout_orders_current(o, "booking", both, 2), "v2");
	rollout_orders_free(o);
}
END_TEST

/* After a completed order, a version that replaces all endpoints without an
 * order serves. */
START_TEST(a_fleet_replaced_without_an_order_serves)
{
	static const char *const next[] = {"v3", "v3"};
	struct rollout_orders *o = rollout_orders_new();
	struct rollout r = make_rollout(7, ROLLOUT_COMPLETED);

	(void)rollout_orders_merge(o, &r);
	ck_assert_str_eq(rollout_orders_current(o, "booking", next, 2), "v3");
	rollout_orders_free(o);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("orders");
	TCase *tc = tcase_create("orders");

	tcase_add_test(tc, numbers_in_versions_compare_as_numbers);
	tcase_add_test(tc, a_later_order_and_a_later_phase_win);
	tcase_add_test(tc, additions_of_two_judges_are_merged);
	tcase_add_test(tc, a_version_without_an_order_gets_no_requests);
	tcase_add_test(tc, the_phase_decides_which_version_is_current);
	tcase_add_test(tc, a_fleet_replaced_without_an_order_serves);
	suite_add_tcase(s, tc);
	return test_run(s);
}
