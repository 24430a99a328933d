/*
 * Tests of weighted routes.
 */
#include <check.h>

#include <glib.h>

#include "traffic/split.h"

#include "test_run.h"

#define ENTRIES 10
#define ROUTE 7

/*
 * Number of routes in large deployments, and a number above the table's limit.
 */
#define ROUTES_MANY 57000
#define ROUTES_EXCESS 100000
#define ROUNDS 10

/* Number of routes that are called in turn. */
#define MANY_ROUTES 5000

static const struct split_part parts[] = {{11, 90}, {12, 10}};

/*
 * The shares hold over every window of 100 requests, not only in the long run.
 */
START_TEST(shares_hold_over_every_window)
{
	struct split_table *t = split_table_new(1);
	uint32_t chosen[1000];
	uint32_t i, j, n;

	for (i = 0; i < G_N_ELEMENTS(chosen); i++)
		chosen[i] = split_choose(t, ROUTE, parts, 2);
	for (i = 0; i + 100 <= G_N_ELEMENTS(chosen); i++) {
		for (j = i, n = 0; j < i + 100; j++)
			n += chosen[j];
		ck_assert_uint_ge(n, 9);
		ck_assert_uint_le(n, 11);
	}
	split_table_free(t);
}
END_TEST

/*
 * With few requests at each of many entries a random start point keeps the
 * service of small weight from being omitted, or first, at all of them.
 */
START_TEST(shares_hold_over_entries_with_few_requests)
{
	struct split_table *t;
	uint32_t i, j, n = 0;

	for (i = 0; i < 100; i++) {
		t = split_table_new(i + 1);
		for (j = 0; j < 3; j++)
			n += split_choose(t, ROUTE, parts, 2);
		split_table_free(t);
	}
	ck_assert_uint_ge(n, 15);
	ck_assert_uint_le(n, 50);
}
END_TEST

/* Many routes are called in turn: each still keeps its shares. */
START_TEST(shares_hold_over_many_routes)
{
	static const struct split_part halves[] = {{11, 1}, {12, 1}};
	struct split_table *t = split_table_new(1);
	uint32_t *n = g_new0(uint32_t, MANY_ROUTES);
	uint32_t i, j;

	for (j = 0; j < 200; j++)
		for (i = 0; i < MANY_ROUTES; i++)
			n[i] += split_choose(t, i, halves, 2);
	for (i = 0; i < MANY_ROUTES; i++) {
		ck_assert_uint_ge(n[i], 50);
		ck_assert_uint_le(n[i], 150);
	}
	g_free(n);
	split_table_free(t);
}
END_TEST

/* SPLIT_PARTS_MAX services share one route, and each gets its requests. */
START_TEST(maximum_number_of_services)
{
	struct split_part many[SPLIT_PARTS_MAX];
	struct split_table *t = split_table_new(1);
	uint32_t n[SPLIT_PARTS_MAX] = {0};
	uint32_t i;

	for (i = 0; i < SPLIT_PARTS_MAX; i++) {
		many[i].service = i + 1;
		many[i].weight = 1;
	}
	for (i = 0; i < 10 * SPLIT_PARTS_MAX; i++)
		n[split_choose(t, ROUTE, many, SPLIT_PARTS_MAX)]++;
	for (i = 0; i < SPLIT_PARTS_MAX; i++)
		ck_assert_uint_eq(n[i], 10);
	split_table_free(t);
}
END_TEST

START_TEST(changed_weights_apply_at_once)
{
	static const struct split_part other[] = {{11, 10}, {12, 90}};
	struct split_table *t = split_table_new(3);
	uint32_t i, n = 0;

	for (i = 0; i < 50; i++)
		(void)split_choose(t, ROUTE, parts, 2);
	for (i = 0; i < 50; i++)
		n += split_choose(t, ROUTE, other, 2);
	ck_assert_uint_ge(n, 43);
	ck_assert_uint_le(n, 47);
	split_table_free(t);
}
END_TEST

/*
 * Choose for each of @routes in turn; Return: how often each got the second
 * service.
 */
static uint8_t *
call_in_turn(uint32_t routes, const struct split_part *p, uint32_t rounds)
{
	struct split_table *t = split_table_new(5);
	uint8_t *second = g_new0(uint8_t, routes);
	uint32_t i, j;

	for (i = 0; i < rounds; i++)
		for (j = 0; j < routes; j++)
			second[j] += (uint8_t)split_choose(t, j, p, 2);
	split_table_free(t);
	return second;
}

/* Each route keeps its shares, however many others are called in between. */
START_TEST(shares_hold_for_each_of_many_routes)
{
	static const struct split_part even[] = {{11, 50}, {12, 50}};
	uint8_t *second = call_in_turn(ROUTES_MANY, even, ROUNDS);
	uint32_t j;

	for (j = 0; j < ROUTES_MANY; j++)
		ck_assert_msg(second[j] == ROUNDS / 2,
		    "route %u: %u of %u to the second part", j, second[j],
		    ROUNDS);
	g_free(second);
}
END_TEST

/*
 * A dropped route begins at another point each time: no route sends all
 * requests to one service, and all routes together keep the shares.
 */
START_TEST(shares_hold_on_average_when_routes_are_dropped)
{
	uint8_t *second = call_in_turn(ROUTES_EXCESS, parts, 2 * ROUNDS);
	uint32_t j, all = 0, of_one = 0;

	for (j = 0; j < ROUTES_EXCESS; j++) {
		all += second[j];
		of_one += second[j] == 2 * ROUNDS;
	}
	ck_assert_uint_eq(of_one, 0);
	ck_assert_uint_ge(all, ROUTES_EXCESS * 19 / 10);
	ck_assert_uint_le(all, ROUTES_EXCESS * 21 / 10);
	g_free(second);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("split");
	TCase *tc = tcase_create("split");

	tcase_add_test(tc, shares_hold_over_every_window);
	tcase_add_test(tc, shares_hold_over_entries_with_few_requests);
	tcase_add_test(tc, shares_hold_over_many_routes);
	tcase_add_test(tc, maximum_number_of_services);
	tcase_add_test(tc, changed_weights_apply_at_once);
	tcase_add_test(tc, shares_hold_for_each_of_many_routes);
	tcase_add_test(tc, shares_hold_on_average_when_routes_are_dropped);
	tcase_set_timeout(tc, 60);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
