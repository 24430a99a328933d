/*
 * Tests of the schedule and the summary of the load generator.
 */
#include <string.h>

#include <check.h>
#include <glib.h>

#include "standins/schedule.h"
#include "standins/summary.h"

#include "test_run.h"

#define SECOND_US 1000000ULL

static const struct schedule_spec spec = {
    .seed = 7,
    .rate = 1000,
    .duration_us = 10 * SECOND_US,
    .mix = {70, 20, 10},
    .nodes = 3,
    .keyed_percent = 50,
    .twin_percent = 100,
};

START_TEST(schedule_is_determined_by_its_seed)
{
	GArray *a = schedule_new(&spec), *b = schedule_new(&spec), *c;
	struct schedule_spec other = spec;

	other.seed = 8;
	c = schedule_new(&other);
	ck_assert_uint_eq(a->len, b->len);
	ck_assert_mem_eq(a->data, b->data, a->len * sizeof(struct arrival));
	ck_assert(a->len != c->len ||
	    memcmp(a->data, c->data, a->len * sizeof(struct arrival)) != 0);
	g_array_unref(a);
	g_array_unref(b);
	g_array_unref(c);
}
END_TEST

START_TEST(schedule_keeps_rate_mix_and_twins)
{
	const struct arrival *x, *prev = NULL;
	GArray *list = schedule_new(&spec);
	guint i, kinds[CALL_KINDS] = {0}, twins = 0;

	for (i = 0; i < list->len; i++) {
		x = &g_array_index(list, struct arrival, i);
		ck_assert(prev == NULL || prev->at_us <= x->at_us);
		ck_assert(x->key == 0 || x->kind == CALL_BOOKING);
		if (prev != NULL && x->key != 0 && x->key == prev->key) {
			ck_assert_uint_ne(x->node, prev->node);
			twins++;
		} else {
			kinds[x->kind]++;
		}
		prev = x;
	}
	ck_assert_uint_ge(list->len - twins, 9500);
	ck_assert_uint_le(list->len - twins, 10500);
	ck_assert_uint_ge(kinds[CALL_LOOKUP], 6500);
	ck_assert_uint_le(kinds[CALL_LOOKUP], 7500);
	ck_assert_uint_ge(twins, 850);
	ck_assert_uint_le(twins, 1150);
	g_array_unref(list);
}
END_TEST

START_TEST(latency_uses_nearest_rank)
{
	GArray *us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	struct latency l;
	uint64_t v;

	summary_latency(us, &l);
	ck_assert_uint_eq(l.p99_us, 0);
	for (v = 1000; v > 0; v--)
		g_array_append_val(us, v);
	summary_latency(us, &l);
	ck_assert_uint_eq(l.count, 1000);
	ck_assert_uint_eq(l.p50_us, 500);
	ck_assert_uint_eq(l.p99_us, 990);
	ck_assert_uint_eq(l.p999_us, 999);
	ck_assert_uint_eq(l.max_us, 1000);
	g_array_unref(us);
}
END_TEST

static void
append_outcome(GArray *list, enum reported_fate reported,
    enum response_check check, int status)
{
	struct outcome o = {
	    "t", "", CALL_LOOKUP, reported, check, status, 9, 0, 0, 0};

	g_array_append_val(list, o);
}

START_TEST(summary_counts_each_outcome)
{
	json_t *j;
	struct load_result r = {0};

	r.outcomes = g_array_new(FALSE, FALSE, sizeof(struct outcome));
	r.late_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	append_outcome(r.outcomes, REPORTED_DONE, RESPONSE_OK, 200);
	append_outcome(r.outcomes, REPORTED_DONE, RESPONSE_NOT_OWN, 200);
	append_outcome(r.outcomes, REPORTED_NOT_RUN, RESPONSE_NONE, 503);
	append_outcome(r.outcomes, REPORTED_UNKNOWN, RESPONSE_NONE, 0);
	append_outcome(r.outcomes, REPORTED_UNKNOWN, RESPONSE_CUT, 200);
	j = summary_json(&r, SECOND_US / 2);
	ck_assert_int_eq(json_integer_value(json_object_get(j, "sent")), 5);
	ck_assert_int_eq(json_integer_value(json_object_get(j, "done")), 2);
	ck_assert_int_eq(
	    json_integer_value(json_object_get(j, "wrong_answers")), 1);
	ck_assert_int_eq(json_integer_value(json_object_get(j, "cut")), 1);
	ck_assert_int_eq(
	    json_integer_value(json_object_get(j, "no_answer")), 1);
	ck_assert_double_eq_tol(
	    json_real_value(json_object_get(j, "goodput_per_s")), 4, 1e-9);
	json_decref(j);
	load_result_clear(&r);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("load");
	TCase *tc = tcase_create("load");

	tcase_add_test(tc, schedule_is_determined_by_its_seed);
	tcase_add_test(tc, schedule_keeps_rate_mix_and_twins);
	tcase_add_test(tc, latency_uses_nearest_rank);
	tcase_add_test(tc, summary_counts_each_outcome);
	suite_add_tcase(s, tc);
	return test_run(s);
}
