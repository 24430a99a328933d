/*
 * Unit tests of the fault schedule: it depends on the seed only, is ordered by
 * time, and ends each fault that it begins.
 */
#include <check.h>

#include "soak_plan.h"
#include "test_run.h"

#define SEEDS 50
#define DURATION_MS 8000
#define FAULTS 16
#define GROWTHS 4

START_TEST(each_fault_begins_and_ends_once)
{
	const struct soak_event *e;
	uint32_t begun[FAULTS] = {0}, ended[FAULTS] = {0}, last_ms = 0;
	GArray *plan = soak_plan_new((uint32_t)_i, DURATION_MS, FAULTS);
	guint i;

	ck_assert_uint_eq(plan->len, 2 * FAULTS);
	for (i = 0; i < plan->len; i++) {
		e = &g_array_index(plan, struct soak_event, i);
		ck_assert_uint_ge(e->at_ms, last_ms);
		ck_assert_uint_le(e->at_ms, DURATION_MS);
		last_ms = e->at_ms;
		if (e->ends)
			ended[e->number] += begun[e->number];
		else
			begun[e->number]++;
	}
	for (i = 0; i < FAULTS; i++)
		ck_assert(begun[i] == 1 && ended[i] == 1);
	g_array_unref(plan);
}
END_TEST

START_TEST(plan_is_deterministic_and_has_all_kinds)
{
	uint32_t seen[SOAK_FAULTS] = {0}, seed;
	const struct soak_event *x, *y;
	GArray *a, *b;
	guint i;

	for (seed = 1; seed <= SEEDS; seed++) {
		a = soak_plan_new(seed, DURATION_MS, FAULTS);
		b = soak_plan_new(seed, DURATION_MS, FAULTS);
		for (i = 0; i < a->len; i++) {
			x = &g_array_index(a, struct soak_event, i);
			y = &g_array_index(b, struct soak_event, i);
			ck_assert(x->at_ms == y->at_ms &&
			    x->fault == y->fault && x->target == y->target &&
			    x->number == y->number && x->ends == y->ends);
			seen[x->fault]++;
		}
		g_array_unref(a);
		g_array_unref(b);
	}
	for (i = 0; i < SOAK_FAULTS; i++)
		ck_assert_uint_gt(seen[i], 0);
}
END_TEST

START_TEST(growth_is_spaced_and_keeps_other_events)
{
	GArray *a = soak_plan_new((uint32_t)_i, DURATION_MS, FAULTS);
	GArray *b = soak_plan_new((uint32_t)_i, DURATION_MS, FAULTS);
	const struct soak_event *x, *y;
	uint32_t last_ms = 0, n = 0;
	guint i;

	soak_plan_grow(b, (uint32_t)_i, DURATION_MS, GROWTHS);
	for (i = 0; i < b->len; i++) {
		y = &g_array_index(b, struct soak_event, i);
		if (y->fault != SOAK_GROW) {
			x = &g_array_index(a, struct soak_event, n++);
			ck_assert(x->number == y->number && x->ends == y->ends);
		} else if (!y->ends) {
			ck_assert_uint_ge(
			    y->at_ms, last_ms + DURATION_MS / (GROWTHS + 1));
			last_ms = y->at_ms;
		}
	}
	ck_assert_uint_eq(n, a->len);
	ck_assert_uint_eq(b->len, a->len + 2 * GROWTHS);
	g_array_unref(a);
	g_array_unref(b);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("soak_plan");
	TCase *tc = tcase_create("soak_plan");

	tcase_add_loop_test(tc, each_fault_begins_and_ends_once, 1, SEEDS);
	tcase_add_test(tc, plan_is_deterministic_and_has_all_kinds);
	tcase_add_loop_test(
	    tc, growth_is_spaced_and_keeps_other_events, 1, SEEDS);
	suite_add_tcase(s, tc);
	return test_run(s);
}
