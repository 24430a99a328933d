/*
 * Tests of the parts of a limit over all nodes, one failure or change at a
 * time.
 */
#include <check.h>
#include <glib.h>

#include "base/clock.h"
#include "quota/allowance.h"
#include "quota/choice.h"
#include "quota/home.h"
#include "quota/roster.h"

#include "test_run.h"

#define CUSTOMER 7
#define ENTRY 1

static const struct quota_limit limit = {CUSTOMER, 100000, 50000};
static const struct quota_limit lower = {CUSTOMER, 10000, 5000};
static const struct quota_limit none = {CUSTOMER, 0, 0};
static const struct quota_source entry = {.id = ENTRY};
static const struct quota_source borrower = {.id = 2, .borrower = true};

/* A home of one data centre and one entry, which reports each 100 ms from 0 to
 * @until_ms. */
static struct quota_home *
home_until(uint32_t data_centres, uint64_t until_ms)
{
	struct quota_home *h = quota_home_new(data_centres, 0);
	uint64_t ms;

	quota_home_set_entries(h, 1, 0);
	for (ms = 0; ms <= until_ms; ms += 100)
		quota_home_report(h, &entry, NULL, NULL, 0, NULL, ms);
	return h;
}

static struct quota_credit
ask(struct quota_home *h, const struct quota_source *from,
    const struct quota_limit *l, struct quota_demand d, uint64_t ms)
{
	struct quota_credit c;

	d.customer = CUSTOMER;
	quota_home_report(h, from, &d, l, 1, &c, ms);
	return c;
}

static uint32_t
ask_for(struct quota_home *h, uint32_t wanted, uint64_t ms)
{
	return ask(h, &entry, &limit,
	    (struct quota_demand){.arrived = wanted, .wanted = wanted}, ms)
	    .granted;
}

START_TEST(a_home_starts_empty_and_grants_what_accrues)
{
	struct quota_home *h = home_until(1, 100);

	ck_assert_uint_eq(ask_for(h, 100, 100), 10);
	ck_assert_uint_eq(ask_for(h, 100, 200), 10);
	quota_home_free(h);
}
END_TEST

START_TEST(a_home_that_was_suspended_begins_with_an_empty_bucket)
{
	struct quota_home *h = home_until(1, 2000);

	ck_assert_uint_eq(ask_for(h, 100, 12000), 0);
	ck_assert_uint_eq(ask_for(h, 100, 12100), 10);
	quota_home_free(h);
}
END_TEST

START_TEST(tokens_accrue_for_the_entries_that_report)
{
	struct quota_home *h = quota_home_new(1, 0);

	quota_home_set_entries(h, 4, 0);
	(void)ask_for(h, 0, 0);
	ck_assert_uint_eq(ask_for(h, 100, 400), 10);
	quota_home_free(h);
}
END_TEST

START_TEST(entries_that_appear_late_take_back_what_has_accrued)
{
	struct quota_home *h = home_until(1, 400);

	(void)ask_for(h, 0, 400);
	quota_home_set_entries(h, 4, 400);
	ck_assert_uint_eq(ask_for(h, 100, 400), 10);
	quota_home_free(h);
}
END_TEST

START_TEST(entries_that_were_only_estimated_are_made_up_for)
{
	struct quota_home *h = quota_home_new(1, 0);

	quota_home_estimate_entries(h, 4, 0);
	(void)ask_for(h, 0, 0);
	ck_assert_uint_eq(ask_for(h, 5, 400), 5);
	quota_home_set_entries(h, 1, 400);
	ck_assert_uint_eq(ask_for(h, 100, 400), 35);
	quota_home_free(h);
}
END_TEST

/* They may have taken their part elsewhere. */
START_TEST(entries_that_leave_are_not_made_up_for)
{
	struct quota_home *h = quota_home_new(1, 0);

	quota_home_set_entries(h, 4, 0);
	(void)ask_for(h, 0, 0);
	ck_assert_uint_eq(ask_for(h, 5, 400), 5);
	quota_home_set_entries(h, 1, 400);
	ck_assert_uint_eq(ask_for(h, 100, 400), 5);
	quota_home_free(h);
}
END_TEST

START_TEST(a_lowered_limit_cuts_the_bucket)
{
	struct quota_home *h = home_until(1, 2000);
	struct quota_demand d = {.wanted = 100};

	ck_assert_uint_eq(
	    ask(h, &entry, &limit, (struct quota_demand){0}, 2000).granted, 0);
	ck_assert_uint_le(ask(h, &entry, &lower, d, 2000).granted, 12);
	quota_home_free(h);
}
END_TEST

/* The home accrues by the limit of the last report until the next one. */
START_TEST(a_raised_limit_fills_from_what_is_there)
{
	struct quota_home *h = home_until(1, 2000);
	struct quota_demand d = {.wanted = 100};

	ck_assert_uint_le(ask(h, &entry, &lower, d, 2000).granted, 12);
	ck_assert_uint_eq(ask_for(h, 100, 2100), 1);
	ck_assert_uint_eq(ask_for(h, 100, 2200), 10);
	quota_home_free(h);
}
END_TEST

START_TEST(a_customer_that_is_added_again_has_no_second_burst)
{
	struct quota_home *h = home_until(1, 2000);
	struct quota_demand d = {.wanted = 3};

	ck_assert_uint_eq(ask_for(h, 100, 2000), 50);
	ck_assert_uint_eq(ask(h, &entry, &none, d, 2050).granted, 3);
	ck_assert_uint_eq(ask_for(h, 100, 2100), 10);
	quota_home_free(h);
}
END_TEST

START_TEST(returned_credit_is_granted_again_up_to_the_burst)
{
	struct quota_home *h = home_until(1, 2000);
	struct quota_demand d = {.returned = 1000};

	ck_assert_uint_eq(ask_for(h, 50, 2000), 50);
	(void)ask(h, &entry, &limit, d, 2000);
	ck_assert_uint_eq(ask_for(h, 100, 2000), 50);
	quota_home_free(h);
}
END_TEST

START_TEST(what_is_lent_is_taken_from_the_lender_first)
{
	struct quota_home *h = home_until(2, 4000);
	struct quota_demand d = {.wanted = 20};

	ck_assert_uint_eq(ask(h, &borrower, &limit, d, 4000).granted, 20);
	ck_assert_uint_eq(ask_for(h, 100, 4000), 5);
	quota_home_free(h);
}
END_TEST

START_TEST(a_lender_keeps_what_its_own_demand_needs)
{
	struct quota_home *h = home_until(2, 4000);
	struct quota_demand d = {.wanted = 100};

	(void)ask(
	    h, &entry, &limit, (struct quota_demand){.arrived = 40}, 4000);
	ck_assert_uint_eq(ask(h, &borrower, &limit, d, 4000).granted, 13);
	quota_home_free(h);
}
END_TEST

/* Entry */

static void
grant(
    struct quota_allowance *q, uint32_t granted, uint32_t wait_ms, uint64_t ms)
{
	struct quota_credit c = {CUSTOMER, granted, wait_ms};
	struct quota_demand d[2];

	ck_assert_uint_eq(quota_allowance_report(q, d, 2, ms), 1);
	quota_allowance_granted(q, &c, 1, ms);
}

static enum quota_verdict
take(struct quota_allowance *q, const struct quota_limit *l, uint64_t ms)
{
	uint64_t retry_ms = 0;
	enum quota_verdict v = quota_allowance_take(q, l, ms, &retry_ms);

	ck_assert(v != QUOTA_REFUSE || retry_ms > 0);
	return v;
}

static enum quota_verdict
claim(struct quota_allowance *q, uint64_t ms)
{
	uint64_t retry_ms;

	return quota_allowance_claim(q, CUSTOMER, ms, &retry_ms);
}

START_TEST(a_request_without_credit_waits_for_the_reply)
{
	struct quota_allowance *q = quota_allowance_new(1);

	ck_assert_int_eq(take(q, &limit, 1000), QUOTA_WAIT);
	ck_assert_uint_le(quota_allowance_due_ms(q), 1005);
	grant(q, 2, 0, 1002);
	ck_assert_int_eq(claim(q, 1004), QUOTA_ADMIT);
	ck_assert_int_eq(take(q, &limit, 1005), QUOTA_ADMIT);
	ck_assert_int_eq(take(q, &limit, 1006), QUOTA_WAIT);
	quota_allowance_free(q);
}
END_TEST

/* One report at most is unanswered, so that a home that is slow isn't asked
 * again and again. */
START_TEST(no_report_follows_while_one_is_unanswered)
{
	struct quota_allowance *q = quota_allowance_new(1);
	struct quota_demand d[2];

	ck_assert_int_eq(take(q, &limit, 1000), QUOTA_WAIT);
	(void)quota_allowance_report(q, d, 2, 1002);
	ck_assert_int_eq(take(q, &limit, 1003), QUOTA_WAIT);
	ck_assert_uint_eq(quota_allowance_due_ms(q), DEADLINE_NEVER);
	quota_allowance_lost(q);
	ck_assert_uint_le(quota_allowance_due_ms(q), 1003);
	quota_allowance_free(q);
}
END_TEST

START_TEST(a_flood_that_is_refused_sends_no_more_reports)
{
	struct quota_allowance *q = quota_allowance_new(1);
	uint64_t ms, due_ms;

	ck_assert_int_eq(take(q, &limit, 1000), QUOTA_WAIT);
	grant(q, 0, 5000, 1002);
	ck_assert_int_eq(claim(q, 1003), QUOTA_REFUSE);
	for (ms = 1003; ms < 1100; ms++) {
		ck_assert_int_eq(take(q, &limit, ms), QUOTA_REFUSE);
		due_ms = quota_allowance_due_ms(q);
		ck_assert_uint_ge(due_ms, 1102);
	}
	quota_allowance_free(q);
}
END_TEST

START_TEST(a_home_with_tokens_in_a_moment_is_asked_again)
{
	struct quota_allowance *q = quota_allowance_new(1);

	ck_assert_int_eq(take(q, &limit, 1000), QUOTA_WAIT);
	grant(q, 0, 15, 1002);
	ck_assert_int_eq(claim(q, 1003), QUOTA_WAIT);
	ck_assert_uint_eq(quota_allowance_due_ms(q), 1017);
	quota_allowance_free(q);
}
END_TEST

START_TEST(credit_lapses_and_is_returned)
{
	struct quota_allowance *q = quota_allowance_new(1);
	struct quota_demand d[2];

	ck_assert_int_eq(take(q, &limit, 1000), QUOTA_WAIT);
	grant(q, 5, 0, 1000);
	ck_assert_int_eq(claim(q, 1001), QUOTA_ADMIT);
	ck_assert_int_eq(take(q, &limit, 1399), QUOTA_ADMIT);
	ck_assert_int_eq(take(q, &limit, 1400), QUOTA_WAIT);
	ck_assert_uint_eq(quota_allowance_report(q, d, 2, 1400), 1);
	ck_assert_uint_eq(d[0].returned, 3);
	quota_allowance_free(q);
}
END_TEST

START_TEST(credit_of_another_limit_lapses)
{
	struct quota_allowance *q = quota_allowance_new(1);
	struct quota_demand d[2];

	ck_assert_int_eq(take(q, &limit, 1000), QUOTA_WAIT);
	grant(q, 5, 0, 1000);
	ck_assert_int_eq(take(q, &lower, 1001), QUOTA_WAIT);
	ck_assert_uint_eq(quota_allowance_report(q, d, 2, 1002), 1);
	ck_assert_uint_eq(d[0].returned, 0);
	quota_allowance_free(q);
}
END_TEST

/* The reply was made by the limit before. */
START_TEST(a_reply_to_a_report_of_another_limit_is_not_used)
{
	struct quota_allowance *q = quota_allowance_new(1);
	struct quota_credit c = {CUSTOMER, 5, 0};
	struct quota_demand d[2];

	ck_assert_int_eq(take(q, &limit, 1000), QUOTA_WAIT);
	(void)quota_allowance_report(q, d, 2, 1002);
	ck_assert_int_eq(take(q, &lower, 1003), QUOTA_WAIT);
	quota_allowance_granted(q, &c, 1, 1004);
	ck_assert_int_eq(claim(q, 1005), QUOTA_WAIT);
	quota_allowance_free(q);
}
END_TEST

START_TEST(a_request_that_has_not_run_is_returned_once)
{
	struct quota_allowance *q = quota_allowance_new(1);
	struct quota_demand d[2];

	ck_assert_int_eq(take(q, &limit, 1000), QUOTA_WAIT);
	grant(q, 1, 0, 1000);
	ck_assert_int_eq(claim(q, 1001), QUOTA_ADMIT);
	quota_allowance_give_back(q, CUSTOMER, 1010);
	ck_assert_uint_le(quota_allowance_due_ms(q), 1110);
	(void)quota_allowance_report(q, d, 2, 1110);
	ck_assert_uint_eq(d[0].returned, 1);
	quota_allowance_granted(q, NULL, 0, 1111);
	ck_assert_uint_eq(quota_allowance_report(q, d, 2, 1200), 0);
	quota_allowance_free(q);
}
END_TEST

/* 20,000 customers of which 50 are active: a report holds only these. */
START_TEST(a_report_holds_the_customers_that_are_active)
{
	struct quota_allowance *q = quota_allowance_new(1);
	struct quota_limit l = limit;
	struct quota_demand *d = g_new(struct quota_demand, 512);
	uint64_t ms, retry_ms;

	for (l.customer = 1; l.customer <= 20000; l.customer++) {
		(void)quota_allowance_take(q, &l, 1000, &retry_ms);
		quota_allowance_leave(q, l.customer);
	}
	for (ms = 1000; ms < 21000; ms += 100) {
		for (l.customer = 1; l.customer <= 50; l.customer++) {
			(void)quota_allowance_take(q, &l, ms, &retry_ms);
			quota_allowance_leave(q, l.customer);
		}
		(void)quota_allowance_report(q, d, 512, ms);
		quota_allowance_granted(q, NULL, 0, ms);
	}
	ck_assert_uint_eq(quota_allowance_report(q, d, 512, ms + 100), 50);
	g_free(d);
	quota_allowance_free(q);
}
END_TEST

/* Choice and roster */

START_TEST(a_home_that_misses_two_replies_is_replaced)
{
	struct quota_candidate c[2] = {{11, true}, {12, true}};
	struct quota_choice choice = {0};

	ck_assert_uint_eq(quota_choice_pick(&choice, c, 2, 1000), 0);
	ck_assert(!quota_choice_missed(&choice, 11, 1000));
	ck_assert_uint_eq(quota_choice_pick(&choice, c, 2, 1000), 0);
	ck_assert(quota_choice_missed(&choice, 11, 1200));
	ck_assert_uint_eq(quota_choice_pick(&choice, c, 2, 1200), 1);
	ck_assert(!quota_choice_missed(&choice, 12, 1400));
	ck_assert(quota_choice_missed(&choice, 12, 1600));
	ck_assert_uint_eq(
	    quota_choice_pick(&choice, c, 2, 1600), QUOTA_CHOICE_OWN);
	quota_choice_answered(&choice, 11);
	ck_assert_uint_eq(quota_choice_pick(&choice, c, 2, 1600), 0);
}
END_TEST

START_TEST(a_home_that_was_silent_is_used_again_when_its_connection_is_ready)
{
	struct quota_candidate c[2] = {{11, false}, {12, true}};
	struct quota_choice choice = {0};

	(void)quota_choice_missed(&choice, 11, 1000);
	(void)quota_choice_missed(&choice, 11, 1200);
	ck_assert_uint_eq(quota_choice_pick(&choice, c, 2, 60000), 1);
	c[0].ready = true;
	ck_assert_uint_eq(quota_choice_pick(&choice, c, 2, 60000), 0);
}
END_TEST

START_TEST(a_host_that_vanishes_counts_for_a_while)
{
	struct quota_roster *r = quota_roster_new();

	ck_assert_uint_eq(quota_roster_count(r, 0), 0);
	quota_roster_begin(r);
	quota_roster_add(r, 1, false, 0);
	quota_roster_add(r, 2, false, 0);
	quota_roster_add(r, 3, true, 0);
	ck_assert_uint_eq(quota_roster_count(r, 0), 3 * QUOTA_ROSTER_UNSEEN);
	ck_assert_uint_eq(quota_roster_count(r, QUOTA_ROSTER_SETTLE_MS), 3);
	quota_roster_begin(r);
	quota_roster_add(r, 1, false, 1000);
	ck_assert_uint_eq(quota_roster_count(r, 1000), 2);
	ck_assert_uint_eq(quota_roster_count(r, 20000), 2);
	ck_assert_uint_eq(
	    quota_roster_count(r, 1000 + QUOTA_ROSTER_KEEP_MS), 1);
	quota_roster_free(r);
}
END_TEST

/* Hosts 1 to @n are listed. */
static void
list(struct quota_roster *r, uint64_t n, uint64_t ms)
{
	uint64_t id;

	quota_roster_begin(r);
	for (id = 1; id <= n; id++)
		quota_roster_add(r, id, false, ms);
}

/* 16 hosts are listed first, of 20 then, so that some 21 are expected; a list
 * that has doubled says nothing about its end. */
START_TEST(a_list_that_grows_is_estimated)
{
	struct quota_roster *r = quota_roster_new();

	list(r, 8, 0);
	list(r, 16, 50);
	ck_assert_uint_eq(quota_roster_count(r, QUOTA_ROSTER_SETTLE_MS),
	    16 * QUOTA_ROSTER_UNSEEN);
	list(r, 20, 50 + QUOTA_ROSTER_SETTLE_MS);
	ck_assert_uint_eq(
	    quota_roster_count(r, 50 + QUOTA_ROSTER_SETTLE_MS), 21);
	ck_assert(!quota_roster_settled(r));
	ck_assert_uint_eq(
	    quota_roster_count(r, 50 + 2 * QUOTA_ROSTER_SETTLE_MS), 20);
	ck_assert(quota_roster_settled(r));
	quota_roster_free(r);
}
END_TEST

START_TEST(a_host_that_reports_before_it_is_listed_counts)
{
	struct quota_roster *r = quota_roster_new();

	quota_roster_heard(r, 9, 0);
	ck_assert_uint_eq(quota_roster_count(r, QUOTA_ROSTER_SETTLE_MS), 0);
	list(r, 2, QUOTA_ROSTER_SETTLE_MS);
	ck_assert_uint_eq(quota_roster_count(r, 2 * QUOTA_ROSTER_SETTLE_MS), 3);
	quota_roster_heard(r, 10, 2 * QUOTA_ROSTER_SETTLE_MS);
	ck_assert_uint_eq(quota_roster_count(r, 3 * QUOTA_ROSTER_SETTLE_MS), 3);
	quota_roster_free(r);
}
END_TEST

static TCase *
home_case(void)
{
	TCase *t = tcase_create("home");

	tcase_add_test(t, a_home_starts_empty_and_grants_what_accrues);
	tcase_add_test(
	    t, a_home_that_was_suspended_begins_with_an_empty_bucket);
	tcase_add_test(t, tokens_accrue_for_the_entries_that_report);
	tcase_add_test(t, entries_that_appear_late_take_back_what_has_accrued);
	tcase_add_test(t, entries_that_were_only_estimated_are_made_up_for);
	tcase_add_test(t, entries_that_leave_are_not_made_up_for);
	tcase_add_test(t, a_lowered_limit_cuts_the_bucket);
	tcase_add_test(t, a_raised_limit_fills_from_what_is_there);
	tcase_add_test(t, a_customer_that_is_added_again_has_no_second_burst);
	tcase_add_test(t, returned_credit_is_granted_again_up_to_the_burst);
	tcase_add_test(t, what_is_lent_is_taken_from_the_lender_first);
	tcase_add_test(t, a_lender_keeps_what_its_own_demand_needs);
	return t;
}

static TCase *
entry_case(void)
{
	TCase *t = tcase_create("entry");

	tcase_add_test(t, a_request_without_credit_waits_for_the_reply);
	tcase_add_test(t, no_report_follows_while_one_is_unanswered);
	tcase_add_test(t, a_flood_that_is_refused_sends_no_more_reports);
	tcase_add_test(t, a_home_with_tokens_in_a_moment_is_asked_again);
	tcase_add_test(t, credit_lapses_and_is_returned);
	tcase_add_test(t, credit_of_another_limit_lapses);
	tcase_add_test(t, a_reply_to_a_report_of_another_limit_is_not_used);
	tcase_add_test(t, a_request_that_has_not_run_is_returned_once);
	tcase_add_test(t, a_report_holds_the_customers_that_are_active);
	return t;
}

int
main(void)
{
	Suite *s = suite_create("quota");
	TCase *t = tcase_create("choice");

	suite_add_tcase(s, home_case());
	suite_add_tcase(s, entry_case());
	tcase_add_test(t, a_home_that_misses_two_replies_is_replaced);
	tcase_add_test(t,
	    a_home_that_was_silent_is_used_again_when_its_connection_is_ready);
	tcase_add_test(t, a_host_that_vanishes_counts_for_a_while);
	tcase_add_test(t, a_list_that_grows_is_estimated);
	tcase_add_test(t, a_host_that_reports_before_it_is_listed_counts);
	suite_add_tcase(s, t);
	return test_run(s);
}
