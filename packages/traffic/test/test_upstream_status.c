/*
 * Reports of upstreams: text, plausibility and age; run times by kind.
 */
#include <check.h>

#include "traffic/run_times.h"
#include "traffic/upstream_status.h"

#include "test_run.h"

START_TEST(text_is_parsed)
{
	struct upstream_status s = {0};

	ck_assert(upstream_status_parse("3, 1,18,250", &s));
	ck_assert_uint_eq(s.running, 3);
	ck_assert_uint_eq(s.waiting, 1);
	ck_assert_uint_eq(s.slots, 18);
	ck_assert_uint_eq(s.pace_percent, 250);
	ck_assert(upstream_status_parse("3,1,18", &s));
	ck_assert_uint_eq(s.pace_percent, 0);
	ck_assert(upstream_status_parse("3,1,18,100,7", &s));
	ck_assert(upstream_status_parse("3,1,99999999999999999999", &s));
	ck_assert_uint_eq(s.slots, 1000000);
}
END_TEST

START_TEST(malformed_text_changes_nothing)
{
	static const char *const bad[] = {"", ",", "3", "3,1", "3,1,",
	    "-3,1,18", "3,1,18,x", "3 1 18", "3,1,18.5,100", "a,b,c,d",
	    "3,,18,100"};
	struct upstream_status s = {.running = 7};

	ck_assert(!upstream_status_parse(bad[_i], &s));
	ck_assert_uint_eq(s.running, 7);
}
END_TEST

/* An upstream of 18 slots to which the guard has sent ten requests. */
START_TEST(false_reports_are_found)
{
	static const struct {
		const char *text;
		bool refused;
		enum status_flaw flaw;
	} cases[] = {
	    {"10,0,18,100", false, STATUS_FLAW_NONE},
	    {"9,0,18,250", false, STATUS_FLAW_NONE},
	    {"18,3,18,100", true, STATUS_FLAW_NONE},
	    {"10,0,18", false, STATUS_FLAW_NONE},
	    {"10,0,0,100", false, STATUS_FLAW_SLOTS},
	    {"10,0,10000,100", false, STATUS_FLAW_SLOTS},
	    {"10,0,18,0", false, STATUS_FLAW_PACE},
	    {"10,0,18,1", false, STATUS_FLAW_PACE},
	    {"10,0,18,90000", false, STATUS_FLAW_PACE},
	    {"0,0,18,100", false, STATUS_FLAW_COUNTS},
	    {"6,0,18,100", true, STATUS_FLAW_REFUSES},
	};
	struct upstream_view v = {.running = 10, .slots = 18};
	struct upstream_status s;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		ck_assert(upstream_status_parse(cases[i].text, &s));
		v.refused = cases[i].refused;
		ck_assert_msg(upstream_status_check(&s, &v) == cases[i].flaw,
		    "%s: %s", cases[i].text,
		    status_flaw_name(upstream_status_check(&s, &v)));
	}
}
END_TEST

START_TEST(an_old_report_is_not_recent)
{
	struct upstream_status s = {.slots = 18};

	ck_assert(!upstream_status_is_recent(&s, 1000));
	s.at_ms = 1000;
	ck_assert(upstream_status_is_recent(&s, 1100));
	ck_assert(!upstream_status_is_recent(&s, 6000));
}
END_TEST

START_TEST(kinds_have_their_own_mean_and_are_bounded)
{
	struct run_times t = {0};
	uint64_t i;

	for (i = 0; i < 100; i++) {
		run_times_record(&t, 1, 90000, 16, i);
		run_times_record(&t, 2, i % 2 == 0 ? 700000 : 800000, 16, i);
	}
	ck_assert_uint_eq(run_times_mean_us(&t, 1), 90000);
	ck_assert_uint_ge(run_times_mean_us(&t, 2), 740000);
	ck_assert_uint_le(run_times_mean_us(&t, 2), 760000);
	for (i = 0; i < RUN_TIMES_KINDS; i++)
		run_times_record(&t, 100 + i, 5, 16, 200 + i);
	ck_assert_uint_eq(run_times_mean_us(&t, 1), 0);
	ck_assert_uint_eq(run_times_mean_us(&t, 100), 5);
	ck_assert_uint_eq(run_times_mean_us(&t, 0), 0);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("upstream status");
	Suite *s = suite_create("upstream status");

	suite_add_tcase(s, tc);
	tcase_add_test(tc, text_is_parsed);
	tcase_add_loop_test(tc, malformed_text_changes_nothing, 0, 11);
	tcase_add_test(tc, false_reports_are_found);
	tcase_add_test(tc, an_old_report_is_not_recent);
	tcase_add_test(tc, kinds_have_their_own_mean_and_are_bounded);
	return test_run(s);
}
