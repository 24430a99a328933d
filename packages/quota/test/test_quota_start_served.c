/*
 * Test of limits over all nodes after most hosts stopped at once and started
 * within a second: of the requests of customers below their limits less than 1
 * in 100 is refused in the first 2 s, beyond those that a single bucket which
 * is empty at the start would refuse.
 */
#include <check.h>
#include <glib.h>
#include <stdio.h>

#include "quota_starts.h"
#include "test_run.h"

#define MILLI 1000
#define REFUSED_MAX 0.01

#define STOP_MS 10000
#define FIRST_MS 500
#define SPREAD_MS 500
#define FROM_MS (STOP_MS + FIRST_MS)
#define TO_MS (FROM_MS + 2000)

/* Customers whose demand is skewed, each at 0.6 of its limit, evenly over all
 * entries. */
#define CUSTOMERS 75
#define LIMIT_USE 0.6

static uint32_t start, n_entries;

static double
usual_per_s(uint32_t c)
{
	return 530.0 / ((double)(c + 1) * (1 + 0.06 * (double)(c + 1)));
}

static double
usual(uint32_t c, uint32_t d, uint32_t e, uint64_t ms)
{
	(void)d;
	(void)e;
	(void)ms;
	return usual_per_s(c) / n_entries;
}

static void
stop(struct fleet *f, uint64_t ms)
{
	if (ms == STOP_MS)
		quota_start_stop(f, start, ms, FIRST_MS, SPREAD_MS);
}

static void
add_customer(struct fleet_load *l, uint32_t c)
{
	uint64_t milli = (uint64_t)(usual_per_s(c) / LIMIT_USE * MILLI);

	l->limits[c].customer = c + 1;
	l->limits[c].rate_milli_per_s = milli;
	l->limits[c].burst_milli = milli;
	l->n_customers = c + 1;
}

START_TEST(customers_below_their_limits_are_served_after_a_start)
{
	struct fleet_load l = quota_start_load((uint32_t)_i);
	uint64_t arrived = 0, refused = 0, unanswered = 0, by_one = 0;
	struct fleet *f;
	uint32_t c;

	start = (uint32_t)_i;
	l.per_s = usual;
	l.step = stop;
	n_entries = l.data_centres * l.entries;
	for (c = 0; c < CUSTOMERS; c++)
		add_customer(&l, c);
	f = fleet_play(&l, TO_MS);
	for (c = 0; c < CUSTOMERS; c++) {
		arrived += fleet_sum(f->arrived[c], FROM_MS, TO_MS);
		refused += fleet_sum(f->refused[c], FROM_MS, TO_MS);
		unanswered += fleet_sum(f->unanswered[c], FROM_MS, TO_MS);
		by_one += fleet_sum_refused_by_one_bucket(
		    f, c, FROM_MS, FROM_MS, TO_MS);
	}
	printf("%s start: of %u requests %.4f refused, %.4f unanswered; by one "
	       "bucket %.4f\n",
	    quota_starts[start].name, (uint32_t)arrived,
	    (double)refused / (double)arrived,
	    (double)unanswered / (double)arrived,
	    (double)by_one / (double)arrived);
	fleet_check_sum(f);
	ck_assert_double_lt(
	    ((double)(refused + unanswered) - (double)by_one) / (double)arrived,
	    REFUSED_MAX);
	fleet_free(f);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("quota_start_served");
	TCase *t = tcase_create("start");

	tcase_set_timeout(t, 100);
	tcase_add_loop_test(t,
	    customers_below_their_limits_are_served_after_a_start, 0,
	    QUOTA_STARTS);
	suite_add_tcase(s, t);
	return test_run(s);
}
