/*
 * Tests of limits over all nodes under load and under failure.
 *
 * What a caller may rely on: in each window of 5 s at most 1.1 times the limit
 * and its burst and 20 requests more are admitted; nine tenths of the limit can
 * be used; a customer below its limit is refused less than 1 in 100 times.
 */
#include <check.h>
#include <glib.h>
#include <stdio.h>

#include "quota_fleet.h"
#include "test_run.h"

#define MILLI 1000
#define USE 0.9
#define REFUSED_MAX 0.01

static void
set_limit(struct fleet_load *l, uint32_t c, double rate, double burst)
{
	l->limits[c].customer = c + 1;
	l->limits[c].rate_milli_per_s = (uint64_t)(rate * MILLI);
	l->limits[c].burst_milli = (uint64_t)(burst * MILLI);
	if (c >= l->n_customers)
		l->n_customers = c + 1;
}

static double
use(const struct fleet *f, uint32_t c, uint64_t from_ms, uint64_t to_ms)
{
	return (double)fleet_sum(f->admitted[c], from_ms, to_ms) * MILLI *
	    MILLI /
	    ((double)f->load.limits[c].rate_milli_per_s *
		(double)(to_ms - from_ms));
}

/* 75 customers whose usual demand is skewed, each at 1/1.6 of its limit, evenly
 * over all entries. */
#define MANY 75
#define HEADROOM 1.6
static const uint32_t fleet_sizes[][2] = {{2, 5}, {3, 25}, {3, 100}};
static uint32_t n_entries;
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

START_TEST(customers_below_their_limits_are_not_refused)
{
	struct fleet_load l = {.data_centres = fleet_sizes[_i][0],
	    .entries = fleet_sizes[_i][1],
	    .per_s = usual};
	double arrived, refused, one;
	double by_one = 0, unanswered = 0, total = 0, all = 0;
	uint32_t c;
	struct fleet *f;

	n_entries = l.data_centres * l.entries;
	for (c = 0; c < MANY; c++)
		set_limit(&l, c, usual_per_s(c) * HEADROOM,
		    usual_per_s(c) * HEADROOM);
	f = fleet_play(&l, 15000);
	for (c = 0; c < MANY; c++) {
		arrived = (double)fleet_sum(f->arrived[c], 5000, 15000);
		refused = (double)(fleet_sum(f->refused[c], 5000, 15000) +
		    fleet_sum(f->unanswered[c], 5000, 15000));
		one = (double)fleet_sum_refused_by_one_bucket(
		    f, c, 0, 5000, 15000);
		unanswered += (double)fleet_sum(f->unanswered[c], 5000, 15000);
		by_one += one;
		total += refused;
		all += arrived;
		if (g_getenv("QUOTA_VERBOSE") != NULL)
			printf("%u: %.1f a second, %.4f, one bucket %.4f\n", c,
			    usual_per_s(c), refused / arrived, one / arrived);
	}
	printf("%u entries: refused %.4f, by one bucket %.4f, unanswered %.4f; "
	       "%.1f messages and %.0f bytes an entry a second\n",
	    n_entries, total / all, by_one / all, unanswered / all,
	    (double)f->messages / 15 / n_entries,
	    (double)f->bytes / 15 / n_entries);
	ck_assert_double_lt((total - by_one) / all, REFUSED_MAX);
	fleet_check_sum(f);
	fleet_free(f);
}
END_TEST

static double
flood(uint32_t c, uint32_t d, uint32_t e, uint64_t ms)
{
	(void)d;
	(void)e;
	return ms >= 8000 ? 3000.0 / n_entries : usual_per_s(c) / n_entries;
}

/* One customer sends three times its limit from 8 s on, after a calm time in
 * which its buckets filled. */
START_TEST(a_flood_is_held_to_the_limit_and_uses_it)
{
	struct fleet_load l = {.data_centres = fleet_sizes[_i][0],
	    .entries = fleet_sizes[_i][1],
	    .per_s = flood};
	struct fleet *f;

	n_entries = l.data_centres * l.entries;
	set_limit(&l, 0, 1000, 1000);
	f = fleet_play(&l, 20000);
	printf("%u entries: use %.3f\n", n_entries, use(f, 0, 10000, 20000));
	ck_assert_double_ge(use(f, 0, 10000, 20000), USE);
	fleet_check_sum(f);
	fleet_free(f);
}
END_TEST

/* A limit of 3 a second over 88 entries. */
static double
small_flood(uint32_t c, uint32_t d, uint32_t e, uint64_t ms)
{
	(void)c;
	(void)d;
	(void)e;
	(void)ms;
	return 10.0 / n_entries;
}

START_TEST(a_limit_smaller_than_the_number_of_entries_is_used)
{
	struct fleet_load l = {
	    .data_centres = 4, .entries = 22, .per_s = small_flood};
	struct fleet *f;

	n_entries = 88;
	set_limit(&l, 0, 3, 1);
	f = fleet_play(&l, 40000);
	printf("limit of 3: use %.3f\n", use(f, 0, 10000, 40000));
	ck_assert_double_ge(use(f, 0, 10000, 40000), USE);
	fleet_check_sum(f);
	fleet_free(f);
}
END_TEST

/* The demand, 0.95 of the limit, moves from the first data centre to the
 * second within a second; links between data centres lose 3 messages in 100. */
static double
moving(uint32_t c, uint32_t d, uint32_t e, uint64_t ms)
{
	double moved = CLAMP(((double)ms - 10000) / 1000, 0, 1);
	double part = d == 0 ? 1 - moved : d == 1 ? moved : 0;
	uint32_t entries = n_entries / 3;

	(void)c;
	(void)e;
	return 285.0 * part / entries;
}

START_TEST(demand_that_moves_to_one_data_centre_is_served)
{
	struct fleet_load l = {.data_centres = 3,
	    .entries = 25,
	    .lost_between_milli = 30,
	    .per_s = moving};
	struct fleet *f;

	n_entries = 75;
	set_limit(&l, 0, 300, 300);
	f = fleet_play(&l, 20000);
	printf("moved: use before %.3f, after %.3f\n", use(f, 0, 5000, 10000),
	    use(f, 0, 12000, 20000));
	ck_assert_double_ge(use(f, 0, 5000, 10000), USE);
	ck_assert_double_ge(use(f, 0, 11000, 13000), USE);
	ck_assert_double_ge(use(f, 0, 12000, 20000), USE);
	fleet_check_sum(f);
	fleet_free(f);
}
END_TEST

/* Three times the limit, evenly, from the start. */
static double
even_flood(uint32_t c, uint32_t d, uint32_t e, uint64_t ms)
{
	(void)c;
	(void)d;
	(void)e;
	(void)ms;
	return 1800.0 / n_entries;
}

/* Usual demand, then three times the limit from 10 s on. */
static double
late_flood(uint32_t c, uint32_t d, uint32_t e, uint64_t ms)
{
	return ms < 10000 ? 100.0 / n_entries : even_flood(c, d, e, ms);
}

static bool
centres_cut(uint32_t a, uint32_t b, uint64_t ms)
{
	return ms < 8000 || ms >= 22000 || a / 25 == b / 25;
}

/* The first data centre is in two halves. */
static bool
centre_in_halves(uint32_t a, uint32_t b, uint64_t ms)
{
	bool first = a < 25 && b < 25;

	return ms < 8000 || ms >= 22000 || !first || (a % 2) == (b % 2);
}

/* Thirteen hosts of 75, among them the homes, reach no other. */
static bool
hosts_cut(uint32_t a, uint32_t b, uint64_t ms)
{
	return ms < 8000 || ms >= 20000 || (a % 6 != 0 && b % 6 != 0);
}

static const struct {
	const char *name;
	bool (*linked)(uint32_t a, uint32_t b, uint64_t ms);
	double (*per_s)(uint32_t c, uint32_t d, uint32_t e, uint64_t ms);
	double use;
} cuts[] = {
    {"data centres", centres_cut, even_flood, 0.9},
    {"data centres, late flood", centres_cut, late_flood, 0},
    {"halves", centre_in_halves, even_flood, 0},
    {"halves, late flood", centre_in_halves, late_flood, 0},
    {"hosts", hosts_cut, even_flood, 0},
    {"hosts, late flood", hosts_cut, late_flood, 0},
};

START_TEST(the_sum_holds_over_a_cut)
{
	struct fleet_load l = {.data_centres = 3,
	    .entries = 25,
	    .lost_milli = 30,
	    .per_s = cuts[_i].per_s,
	    .linked = cuts[_i].linked};
	struct fleet *f;

	n_entries = 75;
	set_limit(&l, 0, 600, 600);
	f = fleet_play(&l, 30000);
	printf("cut of %s: use %.3f during, %.3f after\n", cuts[_i].name,
	    use(f, 0, 12000, 20000), use(f, 0, 24000, 30000));
	ck_assert_double_ge(use(f, 0, 12000, 20000), cuts[_i].use);
	ck_assert_double_ge(use(f, 0, 24000, 30000), USE);
	fleet_check_sum(f);
	fleet_free(f);
}
END_TEST

static void
kill_all_twice(struct fleet *f, uint64_t ms)
{
	uint32_t h;

	for (h = 0; h < f->n_hosts; h++)
		if (ms == 10000 || ms == 13000)
			fleet_kill(f, h, ms);
}

static void
kill_many(struct fleet *f, uint64_t ms)
{
	uint32_t h;

	for (h = 0; h < f->n_hosts; h++)
		if (h % 2 == 0 && ms == 10000)
			fleet_kill(f, h, ms);
}

static void
suspend_homes(struct fleet *f, uint64_t ms)
{
	uint32_t d;

	for (d = 0; d < f->load.data_centres; d++)
		if (ms == 8000)
			fleet_suspend(f, d * f->load.entries, 18000);
}

static const struct {
	const char *name;
	void (*step)(struct fleet *f, uint64_t ms);
} stops[] = {
    {"all killed twice", kill_all_twice},
    {"half killed", kill_many},
    {"homes suspended for 10 s", suspend_homes},
};

/* One data centre, so that its halves share the whole limit. */
START_TEST(the_sum_holds_over_a_cut_of_the_only_data_centre)
{
	struct fleet_load l = {.data_centres = 1,
	    .entries = 25,
	    .lost_milli = 30,
	    .per_s = _i == 0 ? even_flood : late_flood,
	    .linked = centre_in_halves};
	struct fleet *f;

	n_entries = 25;
	set_limit(&l, 0, 600, 600);
	f = fleet_play(&l, 30000);
	printf("one data centre in halves: use %.3f during, %.3f after\n",
	    use(f, 0, 12000, 20000), use(f, 0, 24000, 30000));
	ck_assert_double_ge(use(f, 0, 24000, 30000), USE);
	fleet_check_sum(f);
	fleet_free(f);
}
END_TEST

/* One customer at all of 300 entries, two requests a second at each. */
static double
two_a_second(uint32_t c, uint32_t d, uint32_t e, uint64_t ms)
{
	(void)c;
	(void)d;
	(void)e;
	(void)ms;
	return 2;
}

START_TEST(a_customer_thin_over_many_entries_uses_its_limit)
{
	struct fleet_load l = {
	    .data_centres = 3, .entries = 100, .per_s = two_a_second};
	struct fleet *f;

	n_entries = 300;
	set_limit(&l, 0, 630, 630);
	f = fleet_play(&l, 15000);
	printf("two a second at 300 entries: %.3f of the requests, %.1f "
	       "messages an entry a second\n",
	    use(f, 0, 5000, 15000) * 630 / 600,
	    (double)f->messages / 15 / n_entries);
	ck_assert_double_ge(use(f, 0, 5000, 15000) * 630 / 600, 0.98);
	fleet_check_sum(f);
	fleet_free(f);
}
END_TEST

/* Lowered to a third under a flood, then raised again. */
static void
change_limit(struct fleet *f, uint64_t ms)
{
	if (ms == 10000)
		f->load.limits[0].rate_milli_per_s = 200 * MILLI;
	if (ms == 10000)
		f->load.limits[0].burst_milli = 200 * MILLI;
	if (ms == 20000)
		f->load.limits[0].rate_milli_per_s = 600 * MILLI;
	if (ms == 20000)
		f->load.limits[0].burst_milli = 600 * MILLI;
}

START_TEST(a_limit_that_changes_binds_the_next_window)
{
	struct fleet_load l = {.data_centres = 3,
	    .entries = 25,
	    .lost_milli = 30,
	    .per_s = even_flood,
	    .step = change_limit};
	struct fleet *f;
	uint64_t ms;

	n_entries = 75;
	set_limit(&l, 0, 600, 600);
	f = fleet_play(&l, 30000);
	for (ms = 10400; ms + 5000 <= 20000; ms += 50)
		ck_assert_uint_le(fleet_sum(f->admitted[0], ms, ms + 5000),
		    (200 * 5 + 200) * 11 / 10 + 20);
	printf("lowered to 200: use %.3f; raised to 600: use %.3f\n",
	    (double)fleet_sum(f->admitted[0], 12000, 20000) / (8 * 200),
	    (double)fleet_sum(f->admitted[0], 22000, 30000) / (8 * 600));
	ck_assert_uint_ge(
	    fleet_sum(f->admitted[0], 12000, 20000), (uint64_t)(USE * 8 * 200));
	ck_assert_uint_ge(
	    fleet_sum(f->admitted[0], 22000, 30000), (uint64_t)(USE * 8 * 600));
	fleet_check_sum(f);
	fleet_free(f);
}
END_TEST

START_TEST(the_sum_holds_over_stops)
{
	struct fleet_load l = {.data_centres = 3,
	    .entries = 25,
	    .lost_milli = 30,
	    .per_s = _i < 3 ? even_flood : late_flood,
	    .step = stops[_i % 3].step};
	struct fleet *f;

	n_entries = 75;
	set_limit(&l, 0, 600, 600);
	f = fleet_play(&l, 30000);
	printf("%s: use %.3f at 10 to 15 s, %.3f after\n", stops[_i % 3].name,
	    use(f, 0, 10000, 15000), use(f, 0, 20000, 30000));
	ck_assert_double_ge(use(f, 0, 20000, 30000), USE);
	fleet_check_sum(f);
	fleet_free(f);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("quota_fleet");
	TCase *t = tcase_create("fleet");

	tcase_set_timeout(t, 100);
	tcase_add_loop_test(t, customers_below_their_limits_are_not_refused, 0,
	    G_N_ELEMENTS(fleet_sizes));
	tcase_add_loop_test(t, a_flood_is_held_to_the_limit_and_uses_it, 0,
	    G_N_ELEMENTS(fleet_sizes));
	tcase_add_test(t, a_limit_smaller_than_the_number_of_entries_is_used);
	tcase_add_test(t, a_customer_thin_over_many_entries_uses_its_limit);
	tcase_add_test(t, a_limit_that_changes_binds_the_next_window);
	tcase_add_test(t, demand_that_moves_to_one_data_centre_is_served);
	tcase_add_loop_test(t, the_sum_holds_over_a_cut, 0, G_N_ELEMENTS(cuts));
	tcase_add_loop_test(
	    t, the_sum_holds_over_a_cut_of_the_only_data_centre, 0, 2);
	tcase_add_loop_test(
	    t, the_sum_holds_over_stops, 0, 2 * G_N_ELEMENTS(stops));
	suite_add_tcase(s, t);
	return test_run(s);
}
