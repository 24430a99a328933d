/*
 * Tests of the limit that an upstream names: what counts as a limit, what
 * passes in any window, and how a limit begins, changes and ends.
 */
#include <string.h>

#include <check.h>
#include <glib.h>

#include "traffic/upstream_limit.h"

#include "test_run.h"

#define MILLI 1000
#define WINDOW_MS 4000
#define EXCESS 5
#define RUN_MS 20000

static const struct {
	const char *text;
	uint64_t milli_per_s;
} limits[] = {
    {"14.9", 14900},
    {"0.2", 200},
    {"500", 500000},
    {" 7 ", 7000},
    {"1.", 1000},
    {".5", 500},
    {"0", 200},
    {"0.001", 200},
    {"99999999999999999999", 1000000000},
};

START_TEST(a_decimal_number_is_a_limit)
{
	uint64_t milli_per_s = 0;

	ck_assert(upstream_limit_parse(limits[_i].text, &milli_per_s));
	ck_assert_uint_eq(milli_per_s, limits[_i].milli_per_s);
}
END_TEST

static const char *const no_limits[] = {"", " ", "-1", "+1", "nan", "inf",
    "1,5", "1e3", "0x10", "1.2.3", "10 20", "10, 20", "ten", ".",
    "000000000000000000000000000000001"};

START_TEST(anything_else_is_no_limit)
{
	uint64_t milli_per_s = 1;

	ck_assert(!upstream_limit_parse(no_limits[_i], &milli_per_s));
	ck_assert_uint_eq(milli_per_s, 1);
}
END_TEST

START_TEST(a_text_of_thousands_of_bytes_is_no_limit)
{
	char *text = g_strnfill(8000, '9');
	uint64_t milli_per_s;

	ck_assert(!upstream_limit_parse(text, &milli_per_s));
	g_free(text);
}
END_TEST

/* Largest number of starts in a window of WINDOW_MS. */
static uint32_t
most_in_window(const GArray *starts)
{
	uint32_t most = 0;
	guint i, first = 0;

	for (i = 0; i < starts->len; i++) {
		while (g_array_index(starts, uint64_t, first) + WINDOW_MS <=
		    g_array_index(starts, uint64_t, i))
			first++;
		most = MAX(most, i - first + 1);
	}
	return most;
}

/* Requests arrive at once at @burst_ms, then as many as can start. */
static void
run_under_limit(uint64_t milli_per_s, uint64_t burst_ms, GArray *starts)
{
	struct upstream_limit l;
	uint64_t now_ms;

	upstream_limit_init(&l);
	(void)upstream_limit_name(&l, milli_per_s, 0);
	for (now_ms = burst_ms; now_ms < burst_ms + RUN_MS; now_ms++) {
		while (upstream_limit_wait_ms(&l, 0, now_ms) == 0) {
			upstream_limit_take(&l, now_ms);
			g_array_append_val(starts, now_ms);
		}
	}
}

static const uint64_t rates_milli[] = {200, 1000, 13400, 40000, 500000};

START_TEST(no_window_exceeds_the_bound_at_any_phase)
{
	uint64_t milli_per_s = rates_milli[_i], burst_ms, most, expected;
	GArray *starts = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (burst_ms = 0; burst_ms < 6000; burst_ms += 97) {
		g_array_set_size(starts, 0);
		run_under_limit(milli_per_s, burst_ms, starts);
		most = most_in_window(starts);
		ck_assert_uint_le(most * MILLI * 2 * MILLI,
		    milli_per_s * 3 * WINDOW_MS + EXCESS * 2 * MILLI * MILLI);
		/* The limit itself is used up. */
		expected = milli_per_s * RUN_MS / MILLI / MILLI;
		ck_assert_uint_ge(starts->len + 1, expected);
	}
	g_array_free(starts, TRUE);
}
END_TEST

START_TEST(wait_is_that_of_the_requests_ahead)
{
	struct upstream_limit l;

	upstream_limit_init(&l);
	ck_assert_uint_eq(upstream_limit_wait_ms(&l, 100, 0), 0);
	ck_assert_int_eq(upstream_limit_name(&l, 10000, 1000), LIMIT_BEGAN);
	ck_assert_uint_eq(upstream_limit_wait_ms(&l, 0, 1000), 100);
	ck_assert_uint_eq(upstream_limit_wait_ms(&l, 3, 1000), 400);
	ck_assert_uint_eq(upstream_limit_wait_ms(&l, 3, 1100), 300);
	ck_assert_uint_eq(upstream_limit_wait_ms(&l, 0, 1100), 0);
}
END_TEST

START_TEST(a_limit_changes_and_ends_with_answers_in_order)
{
	struct upstream_limit l;

	upstream_limit_init(&l);
	ck_assert_int_eq(upstream_limit_omit(&l, 5), LIMIT_UNCHANGED);
	ck_assert_int_eq(upstream_limit_name(&l, 10000, 100), LIMIT_BEGAN);
	ck_assert_int_eq(upstream_limit_name(&l, 10000, 200), LIMIT_UNCHANGED);
	ck_assert_int_eq(upstream_limit_name(&l, 4000, 300), LIMIT_CHANGED);
	ck_assert_uint_eq(l.milli_per_s, 4000);
	/* Answers to requests from before the last naming don't end it. */
	ck_assert_int_eq(upstream_limit_omit(&l, 50), LIMIT_UNCHANGED);
	ck_assert_int_eq(upstream_limit_omit(&l, 300), LIMIT_UNCHANGED);
	ck_assert_int_eq(upstream_limit_omit(&l, 301), LIMIT_ENDED);
	ck_assert_uint_eq(upstream_limit_wait_ms(&l, 9, 301), 0);
	ck_assert_int_eq(upstream_limit_name(&l, 4000, 400), LIMIT_BEGAN);
	ck_assert_uint_eq(l.since_ms, 400);
}
END_TEST

START_TEST(a_limit_that_changes_with_each_answer_keeps_the_bound)
{
	struct upstream_limit l;
	GArray *starts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t now_ms;

	upstream_limit_init(&l);
	for (now_ms = 0; now_ms < RUN_MS; now_ms++) {
		(void)upstream_limit_name(
		    &l, now_ms % 2 == 0 ? 9000 : 11000, now_ms);
		while (upstream_limit_wait_ms(&l, 0, now_ms) == 0) {
			upstream_limit_take(&l, now_ms);
			g_array_append_val(starts, now_ms);
		}
	}
	ck_assert_uint_le(most_in_window(starts), 9 * 6 + EXCESS);
	ck_assert_uint_ge(starts->len, 9 * RUN_MS / MILLI);
	g_array_free(starts, TRUE);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("upstream limit");
	Suite *s = suite_create("upstream limit");

	suite_add_tcase(s, tc);
	tcase_add_loop_test(
	    tc, a_decimal_number_is_a_limit, 0, (int)G_N_ELEMENTS(limits));
	tcase_add_loop_test(
	    tc, anything_else_is_no_limit, 0, (int)G_N_ELEMENTS(no_limits));
	tcase_add_test(tc, a_text_of_thousands_of_bytes_is_no_limit);
	tcase_add_loop_test(tc, no_window_exceeds_the_bound_at_any_phase, 0,
	    (int)G_N_ELEMENTS(rates_milli));
	tcase_add_test(tc, wait_is_that_of_the_requests_ahead);
	tcase_add_test(tc, a_limit_changes_and_ends_with_answers_in_order);
	tcase_add_test(
	    tc, a_limit_that_changes_with_each_answer_keeps_the_bound);
	return test_run(s);
}
