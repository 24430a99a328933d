/*
 * Test of limits over all nodes while the hosts of a fleet start and learn of
 * each other: in each window of 5 s at most 1.1 times the limit and its burst
 * and 20 requests more are admitted, and nine tenths of the limit can be used
 * afterwards.
 */
#include <check.h>
#include <glib.h>
#include <stdio.h>

#include "quota_starts.h"
#include "test_run.h"

#define MILLI 1000
#define USE 0.9

#define FLOOD_MS 9500
#define STOP_MS 10000
#define STOP_AGAIN_MS 13000
#define USED_FROM_MS 17000
#define END_MS 22000

/* A limit whose burst is as large as its rate, one with a small burst, and one
 * smaller than the number of entries. */
static const struct quota_limit limits[] = {
    {1, 600 * MILLI, 600 * MILLI},
    {2, 600 * MILLI, 60 * MILLI},
    {3, 3 * MILLI, 1 * MILLI},
};

static const uint64_t spreads_ms[] = {20, 250, 1000};
#define SPREADS G_N_ELEMENTS(spreads_ms)
#define SEEDS 2

static uint32_t start, n_entries;
static uint64_t spread_ms;

/* Three times the limit from shortly before the stop on, when buckets are
 * full. */
static double
flood(uint32_t c, uint32_t d, uint32_t e, uint64_t ms)
{
	double limit_per_s = (double)limits[c].rate_milli_per_s / MILLI;

	(void)d;
	(void)e;
	return (ms < FLOOD_MS ? 0.2 : 3) * limit_per_s / n_entries;
}

static void
stop_twice(struct fleet *f, uint64_t ms)
{
	if (ms == STOP_MS || ms == STOP_AGAIN_MS)
		quota_start_stop(f, start, ms, 10, spread_ms);
}

static double
use(const struct fleet *f, uint32_t c, uint64_t from_ms, uint64_t to_ms)
{
	double limit = (double)limits[c].rate_milli_per_s / MILLI *
	    (double)(to_ms - from_ms) / MILLI;

	return (double)fleet_sum(f->admitted[c], from_ms, to_ms) / limit;
}

START_TEST(the_sum_holds_while_hosts_learn_of_each_other)
{
	struct fleet_load l;
	struct fleet *f;
	uint32_t c;

	start = (uint32_t)_i / (SPREADS * SEEDS);
	spread_ms = spreads_ms[(uint32_t)_i / SEEDS % SPREADS];
	l = quota_start_load(start);
	l.seed = ((uint64_t)_i % SEEDS) << 32;
	l.lost_milli = 30;
	l.per_s = flood;
	l.step = stop_twice;
	l.n_customers = G_N_ELEMENTS(limits);
	for (c = 0; c < l.n_customers; c++)
		l.limits[c] = limits[c];
	n_entries = l.data_centres * l.entries;
	f = fleet_play(&l, END_MS);
	printf("%s start twice within %u ms: most in a window %u of %u; use "
	       "%.3f\n",
	    quota_starts[start].name, (uint32_t)spread_ms,
	    (uint32_t)fleet_most(f, 0), (uint32_t)fleet_allowed(f, 0),
	    use(f, 0, USED_FROM_MS, END_MS));
	ck_assert_double_ge(use(f, 0, USED_FROM_MS, END_MS), USE);
	fleet_check_sum(f);
	fleet_free(f);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("quota_start_sum");
	TCase *t = tcase_create("start");

	tcase_set_timeout(t, 100);
	tcase_add_loop_test(t, the_sum_holds_while_hosts_learn_of_each_other, 0,
	    QUOTA_STARTS * SPREADS * SEEDS);
	suite_add_tcase(s, t);
	return test_run(s);
}
