/*
 * Tests of the share of calls for a version on trial: all entries together
 * send the configured share, however few calls each of them handles.
 */
#include <check.h>

#include <glib.h>

#include "test_run.h"
#include "traffic/canary.h"

#define SEED 4711
#define SHARE_MILLI 50
#define ENTRIES 91

START_TEST(no_canary_calls_without_an_order)
{
	struct canary c = {0};
	int i;

	for (i = 0; i < 1000; i++)
		ck_assert(!canary_take(&c));
}
END_TEST

/* Each entry handles a few calls, as in a large fleet with a short order. */
START_TEST(entries_with_few_calls_send_the_share_in_total)
{
	GRand *r = g_rand_new_with_seed(SEED);
	uint32_t e, i, taken = 0, calls = 0;

	for (e = 0; e < ENTRIES; e++) {
		struct canary c = {0};

		canary_set(&c, 7, SHARE_MILLI, 2, g_rand_int(r));
		for (i = 0; i < 30; i++, calls++)
			taken += canary_take(&c);
	}
	ck_assert_uint_ge(taken, calls * SHARE_MILLI / 1000 * 8 / 10);
	ck_assert_uint_le(taken, calls * SHARE_MILLI / 1000 * 12 / 10);
	g_rand_free(r);
}
END_TEST

/*
 * A change of the endpoints within an order must not reset the credit, or an
 * entry with frequent updates would send more than the share.
 */
START_TEST(update_within_an_order_keeps_the_credit)
{
	struct canary c = {0};
	uint32_t i, taken = 0;

	for (i = 0; i < 1000; i++) {
		canary_set(&c, 7, 0, 1, 999);
		taken += canary_take(&c);
	}
	ck_assert_uint_le(taken, 1);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("canary");
	TCase *tc = tcase_create("canary");

	tcase_add_test(tc, no_canary_calls_without_an_order);
	tcase_add_test(tc, entries_with_few_calls_send_the_share_in_total);
	tcase_add_test(tc, update_within_an_order_keeps_the_credit);
	suite_add_tcase(s, tc);
	return test_run(s);
}
