/*
 * Quarantine of requests that crash upstreams, and never of requests that were
 * merely in flight when upstreams ended for another reason.
 */
#include <string.h>

#include <check.h>

#include "base/clock.h"
#include "test_run.h"
#include "traffic/quarantine.h"

#define T0 UINT64_C(100000)
#define HOUR_MS UINT64_C(3600000)
#define SETTLE_MS QUARANTINE_SETTLE_MS
#define MANY 300
#define CRASHES_EXCESS 5000
#define SLOTS 10
#define A 11
#define B 12
#define C 13

static struct quarantine *q;
static uint64_t last_id;

static void
setup(void)
{
	q = quarantine_new(1, T0);
	last_id = 0;
}

static void
teardown(void)
{
	quarantine_free(q);
}

static struct fingerprint
request(uint64_t content, uint64_t caller)
{
	struct fingerprint f = {content, caller};

	return f;
}

/*
 * Report the crash of an upstream at @at_ms with up to two requests in flight;
 * content 0 stands for none.
 */
static void
crash(uint64_t at_ms, struct fingerprint a, struct fingerprint b)
{
	struct crash c = {.id = ++last_id, .at_ms = at_ms};

	if (a.content != 0)
		c.runs[c.n_runs++] = a;
	if (b.content != 0)
		c.runs[c.n_runs++] = b;
	quarantine_add_peer_crash(q, &c, at_ms);
	quarantine_tick(q, at_ms);
}

static void
crash_alone(uint64_t at_ms, uint64_t content, uint64_t caller)
{
	crash(at_ms, request(content, caller), request(0, 0));
}

static bool
is_quarantined(uint64_t content, uint64_t caller)
{
	struct fingerprint f = request(content, caller);

	return quarantine_check(q, &f) != NULL;
}

START_TEST(third_crash_quarantines_a_request)
{
	struct quarantine_event e;

	crash_alone(T0, 1, A);
	crash_alone(T0 + 5000, 1, A);
	quarantine_tick(q, T0 + 10000);
	ck_assert(!is_quarantined(1, A));
	crash_alone(T0 + 10000, 1, A);
	ck_assert(!is_quarantined(1, A));
	ck_assert_uint_eq(
	    quarantine_wake_ms(q), T0 + 10000 + QUARANTINE_SETTLE_MS);
	quarantine_tick(q, T0 + 10000 + SETTLE_MS);
	ck_assert(is_quarantined(1, A));
	ck_assert(!is_quarantined(2, A));
	ck_assert(quarantine_pop(q, &e));
	ck_assert_int_eq(e.kind, QUARANTINE_EVENT_QUARANTINED);
	ck_assert_uint_eq(e.entry.print.content, 1);
	ck_assert_uint_eq(e.entry.crashes, 3);
	ck_assert_uint_eq(e.entry.last_crash, 3);
	ck_assert(!quarantine_pop(q, &e));
}
END_TEST

static enum suspicion
suspicion(uint64_t content, uint64_t now_ms)
{
	struct fingerprint f = request(content, A);

	return quarantine_suspicion(q, &f, now_ms);
}

START_TEST(request_is_suspect_after_a_crash_until_it_is_answered)
{
	struct fingerprint f = request(1, A);

	ck_assert_int_eq(suspicion(1, T0), SUSPICION_NONE);
	crash(T0, f, request(2, A));
	ck_assert_int_eq(suspicion(1, T0), SUSPICION_SUSPECT);
	ck_assert_int_eq(suspicion(2, T0), SUSPICION_SUSPECT);
	ck_assert_int_eq(suspicion(3, T0), SUSPICION_NONE);
	(void)quarantine_answered(q, &f, T0 + 100);
	ck_assert_int_eq(suspicion(1, T0 + 100), SUSPICION_NONE);
	ck_assert_int_eq(suspicion(2, T0 + 100), SUSPICION_SUSPECT);
	ck_assert(quarantine_has_suspects(q, T0 + 100));
	ck_assert_int_eq(suspicion(2, T0 + HOUR_MS), SUSPICION_NONE);
	ck_assert(!quarantine_has_suspects(q, T0 + HOUR_MS));
}
END_TEST

START_TEST(request_is_undecided_until_the_decision)
{
	crash_alone(T0, 1, A);
	crash_alone(T0 + 10, 1, A);
	ck_assert_int_eq(suspicion(1, T0 + 10), SUSPICION_SUSPECT);
	crash_alone(T0 + 20, 1, A);
	ck_assert_int_eq(suspicion(1, T0 + 20), SUSPICION_UNDECIDED);
	ck_assert(!is_quarantined(1, A));
	quarantine_tick(q, T0 + 20 + SETTLE_MS);
	ck_assert(is_quarantined(1, A));
}
END_TEST

/* Hundreds of simultaneous crashes have an external cause. */
START_TEST(burst_of_crashes_leaves_nothing_undecided)
{
	int i;

	for (i = 0; i < MANY; i++)
		crash_alone(T0 + (uint64_t)i, 1, A);
	ck_assert_int_eq(suspicion(1, T0 + MANY), SUSPICION_SUSPECT);
}
END_TEST

/*
 * Other upstreams crashed without the request: a common cause of all these
 * crashes is not the request.
 */
START_TEST(coinciding_crashes_leave_nothing_undecided)
{
	int i;

	for (i = 0; i < 3; i++)
		crash_alone(T0 + (uint64_t)i, 1, A);
	for (i = 0; i < 10; i++)
		crash_alone(T0 + (uint64_t)i, 100 + (uint64_t)i, A);
	ck_assert_int_eq(suspicion(1, T0 + 20), SUSPICION_SUSPECT);
}
END_TEST

START_TEST(repeated_crash_reports_count_once)
{
	struct crash c = {.id = 7, .at_ms = T0, .n_runs = 1};
	int i;

	c.runs[0] = request(1, A);
	for (i = 0; i < 5; i++)
		quarantine_add_peer_crash(q, &c, T0 + 100);
	quarantine_tick(q, T0 + 1000);
	ck_assert(!is_quarantined(1, A));
}
END_TEST

START_TEST(crashes_hours_apart_count)
{
	crash_alone(T0, 1, A);
	crash_alone(T0 + 5 * HOUR_MS, 1, A);
	crash_alone(T0 + 30 * HOUR_MS, 1, A);
	quarantine_tick(q, T0 + 30 * HOUR_MS + SETTLE_MS);
	ck_assert(is_quarantined(1, A));
	quarantine_tick(q, T0 + 300 * HOUR_MS);
	ck_assert(is_quarantined(1, A));
}
END_TEST

/* An upstream answered the request between the crashes. */
START_TEST(answered_request_is_exonerated)
{
	struct fingerprint f = request(1, A);
	struct quarantine_event e;

	crash_alone(T0, 1, A);
	crash_alone(T0 + 1000, 1, A);
	(void)quarantine_answered(q, &f, T0 + 1500);
	ck_assert(quarantine_pop(q, &e));
	ck_assert_int_eq(e.kind, QUARANTINE_EVENT_EXONERATED);
	ck_assert(fingerprint_equal(&e.entry.print, &f));
	crash_alone(T0 + 2000, 1, A);
	crash_alone(T0 + 3000, 1, A);
	quarantine_tick(q, T0 + 4000);
	ck_assert(!is_quarantined(1, A));
}
END_TEST

/*
 * Guards against a late quarantine.  A request was sent to upstreams 4 and 6
 * more times, over 3 s after its third crash, although all nodes knew of the
 * crashes.  With all upstreams of a service down but one, callers' retries
 * follow the crashing request from one upstream to the next, so that other
 * requests are in flight in each of its crashes too.  A request with such a
 * co-suspect ran on until a crash came without the co-suspect, even when the
 * co-suspect had been answered meanwhile.  The sequence of crashes below
 * reproduces the fault.
 */
START_TEST(answered_request_is_no_cosuspect)
{
	struct fingerprint other = request(2, A);

	crash(T0, request(1, A), other);
	crash(T0 + 100, request(1, A), other);
	crash(T0 + 300, request(1, A), other);
	(void)quarantine_answered(q, &other, T0 + 500);
	quarantine_tick(q, T0 + 700);
	ck_assert(is_quarantined(1, A));
	ck_assert(!is_quarantined(2, A));
}
END_TEST

/*
 * Both co-suspects are suspended for some seconds, which vary by node; then
 * the first crash without the other one implicates a request.
 */
START_TEST(cosuspects_are_suspended_until_one_is_implicated)
{
	uint64_t over_ms = T0 + 1500 + QUARANTINE_SUSPEND_MS * 2;
	struct quarantine_event e;

	crash(T0, request(1, A), request(2, A));
	crash(T0 + 500, request(1, A), request(2, A));
	crash(T0 + 1000, request(1, A), request(2, A));
	quarantine_tick(q, T0 + 1500);
	ck_assert(is_quarantined(1, A));
	ck_assert(is_quarantined(2, A));
	ck_assert(quarantine_pop(q, &e));
	ck_assert_int_eq(e.kind, QUARANTINE_EVENT_SUSPENDED);
	quarantine_tick(q, T0 + 1500 + QUARANTINE_SUSPEND_MS - 1);
	ck_assert(is_quarantined(1, A));
	quarantine_tick(q, over_ms);
	ck_assert(!is_quarantined(1, A));
	ck_assert(!is_quarantined(2, A));
	quarantine_tick(q, over_ms + 1000);
	ck_assert(!is_quarantined(1, A));
	crash(over_ms + 2000, request(1, A), request(3, A));
	quarantine_tick(q, over_ms + 2500);
	ck_assert(is_quarantined(1, A));
	ck_assert(!is_quarantined(2, A));
	crash(over_ms + 3000, request(2, A), request(1, A));
	crash(over_ms + 4000, request(2, A), request(1, A));
	quarantine_tick(q, over_ms + 5000);
	ck_assert(!is_quarantined(2, A));
	quarantine_tick(q, over_ms + HOUR_MS);
	ck_assert(is_quarantined(1, A));
}
END_TEST

START_TEST(answer_ends_a_suspension)
{
	struct fingerprint other = request(2, A);

	crash(T0, request(1, A), other);
	crash(T0 + 500, request(1, A), other);
	crash(T0 + 1000, request(1, A), other);
	quarantine_tick(q, T0 + 1500);
	ck_assert(is_quarantined(2, A));
	(void)quarantine_answered(q, &other, T0 + 1600);
	ck_assert(!is_quarantined(2, A));
	quarantine_tick(q, T0 + 2000);
	ck_assert(is_quarantined(1, A));
	quarantine_tick(q, T0 + HOUR_MS);
	ck_assert(is_quarantined(1, A));
}
END_TEST

START_TEST(only_the_recurring_request_is_quarantined)
{
	struct crash c;
	uint32_t i, r;

	for (i = 0; i < 16; i++) {
		memset(&c, 0, sizeof(c));
		c.id = i + 1;
		c.at_ms = T0 + i * 300;
		c.n_runs = SLOTS;
		c.runs[0] = request(1, A);
		for (r = 1; r < SLOTS; r++)
			c.runs[r] = request(100 + r + (i % 3 == 2 ? i : 0), A);
		quarantine_add_peer_crash(q, &c, c.at_ms);
		quarantine_tick(q, c.at_ms);
	}
	quarantine_tick(q, T0 + 60000);
	ck_assert(is_quarantined(1, A));
	for (r = 100; r < 200; r++)
		ck_assert(!is_quarantined(r, A));
}
END_TEST

START_TEST(two_concurrent_crashing_requests_are_both_quarantined)
{
	uint32_t i;

	for (i = 0; i < 4; i++) {
		crash_alone(T0 + i * 400, 1, A);
		crash_alone(T0 + i * 400 + 100, 2, B);
	}
	quarantine_tick(q, T0 + 5000);
	ck_assert(is_quarantined(1, A));
	ck_assert(is_quarantined(2, B));
}
END_TEST

/*
 * Hundreds of upstreams are killed within a second, and the requests of each
 * are retried on another one that is killed a moment later.
 */
START_TEST(mass_kill_quarantines_nothing)
{
	struct crash c;
	uint32_t i, r;

	for (i = 0; i < MANY; i++) {
		memset(&c, 0, sizeof(c));
		c.id = i + 1;
		c.at_ms = T0 + i * 1000 / MANY;
		c.n_runs = SLOTS;
		for (r = 0; r < SLOTS; r++)
			c.runs[r] = request(1 + i % 60 * SLOTS + r, A);
		quarantine_add_peer_crash(q, &c, c.at_ms);
		quarantine_tick(q, c.at_ms);
	}
	quarantine_tick(q, T0 + 1000 + SETTLE_MS);
	ck_assert(quarantine_is_empty(q));
}
END_TEST

/*
 * All upstreams of hundreds of hosts run one popular path when they end: each
 * guard has recorded an answer to the path, and omits the request from its
 * crash report.
 */
START_TEST(answered_request_is_not_published)
{
	struct crash c = {.id = 1, .at_ms = T0 + 1000, .n_runs = 2};
	struct fingerprint popular = request(1, A);
	struct quarantine_event e;

	(void)quarantine_answered(q, &popular, T0);
	c.runs[0] = request(2, A);
	c.runs[1] = popular;
	quarantine_add_own_crash(q, &c, T0 + 1000);
	ck_assert(quarantine_pop(q, &e));
	ck_assert_int_eq(e.kind, QUARANTINE_EVENT_CRASHED);
	ck_assert_uint_eq(e.crash.n_runs, 1);
	ck_assert_uint_eq(e.crash.runs[0].content, 2);
	ck_assert(!quarantine_pop(q, &e));
}
END_TEST

/*
 * Guards without an answer to the request report it in flight; a guard with an
 * answer exonerates the request before any node quarantines it.
 */
START_TEST(answer_on_one_node_exonerates_a_request)
{
	struct fingerprint popular = request(1, A);
	struct quarantine_event e;
	uint32_t i;

	(void)quarantine_answered(q, &popular, T0);
	for (i = 0; i < MANY; i++)
		crash_alone(T0 + 1000 + i * 1000 / MANY, 1, A);
	quarantine_tick(q, T0 + 2000 + SETTLE_MS);
	ck_assert(!is_quarantined(1, A));
	ck_assert(quarantine_pop(q, &e));
	ck_assert_int_eq(e.kind, QUARANTINE_EVENT_EXONERATED);
}
END_TEST

/* An answer from before a release exonerates from one crash per host only. */
START_TEST(old_answer_exonerates_from_one_crash_only)
{
	struct fingerprint f = request(1, A);
	struct crash c = {.n_runs = 1, .runs = {f}};
	uint32_t i;

	(void)quarantine_answered(q, &f, T0);
	for (i = 0; i < 4; i++) {
		c.id = i + 1;
		c.at_ms = T0 + 1000 + i * 1000;
		quarantine_add_own_crash(q, &c, c.at_ms);
		quarantine_tick(q, c.at_ms);
	}
	quarantine_tick(q, T0 + 5000);
	ck_assert(is_quarantined(1, A));
}
END_TEST

START_TEST(other_callers_are_not_quarantined)
{
	crash_alone(T0, 1, A);
	crash_alone(T0 + 1000, 1, A);
	crash_alone(T0 + 2000, 1, A);
	quarantine_tick(q, T0 + 3000);
	ck_assert(is_quarantined(1, A));
	ck_assert(!is_quarantined(1, B));
}
END_TEST

START_TEST(one_crash_of_another_caller_is_not_enough)
{
	crash_alone(T0, 1, A);
	crash_alone(T0 + 1000, 1, A);
	crash_alone(T0 + 2000, 1, B);
	quarantine_tick(q, T0 + 3000);
	ck_assert(!is_quarantined(1, A));
	ck_assert(!is_quarantined(1, B));
	crash_alone(T0 + 4000, 1, B);
	quarantine_tick(q, T0 + 5000);
	ck_assert(is_quarantined(1, A));
	ck_assert(is_quarantined(1, C));
}
END_TEST

START_TEST(content_is_quarantined_for_all_after_three_callers)
{
	struct fingerprint b = request(1, B);

	crash_alone(T0, 1, A);
	crash_alone(T0 + 1000, 1, B);
	crash_alone(T0 + 2000, 1, C);
	quarantine_tick(q, T0 + 3000);
	ck_assert(is_quarantined(1, 99));
	ck_assert(!is_quarantined(2, A));
	ck_assert(quarantine_exonerate(q, &b, T0 + 4000));
	ck_assert(!is_quarantined(1, A));
}
END_TEST

/* A quarantine for one caller doesn't exonerate the content for others. */
START_TEST(content_is_quarantined_for_all_after_one_caller_was)
{
	crash_alone(T0, 1, A);
	crash_alone(T0 + 1000, 1, A);
	crash_alone(T0 + 2000, 1, A);
	quarantine_tick(q, T0 + 3000);
	ck_assert(is_quarantined(1, A));
	crash_alone(T0 + 4000, 1, B);
	quarantine_tick(q, T0 + 5000);
	ck_assert(!is_quarantined(1, B));
	crash_alone(T0 + 6000, 1, B);
	quarantine_tick(q, T0 + 7000);
	ck_assert(is_quarantined(1, B));
	ck_assert(is_quarantined(1, C));
	ck_assert(!is_quarantined(2, C));
}
END_TEST

START_TEST(release_is_not_undone_by_an_older_report)
{
	struct fingerprint all = request(1, 0), f = request(1, A);

	crash_alone(T0, 1, A);
	crash_alone(T0 + 1000, 1, A);
	crash_alone(T0 + 2000, 1, A);
	quarantine_tick(q, T0 + 3000);
	ck_assert(quarantine_exonerate(q, &all, T0 + 60000));
	ck_assert(!is_quarantined(1, A));
	ck_assert(!quarantine_add(q, &f, T0 + 3000));
	quarantine_tick(q, T0 + 70000);
	ck_assert(!is_quarantined(1, A));
	crash_alone(T0 + 80000, 1, A);
	crash_alone(T0 + 81000, 1, A);
	crash_alone(T0 + 82000, 1, A);
	quarantine_tick(q, T0 + 90000);
	ck_assert(is_quarantined(1, A));
}
END_TEST

START_TEST(peer_report_quarantines_a_request)
{
	struct fingerprint f = request(1, A);
	struct quarantine_event e;

	ck_assert(quarantine_add(q, &f, T0));
	ck_assert(!quarantine_add(q, &f, T0 + 1));
	ck_assert(is_quarantined(1, A));
	ck_assert(!quarantine_pop(q, &e));
}
END_TEST

/* The request was in flight when it was quarantined, and was answered. */
START_TEST(answer_ends_a_quarantine_reported_by_a_peer)
{
	struct fingerprint f = request(1, A);
	struct quarantine_event e;

	ck_assert(quarantine_add(q, &f, T0));
	ck_assert(quarantine_answered(q, &f, T0 + 100));
	ck_assert(!is_quarantined(1, A));
	ck_assert(quarantine_pop(q, &e));
	ck_assert_int_eq(e.kind, QUARANTINE_EVENT_EXONERATED);
}
END_TEST

/* Crashes of many requests that occur once don't displace recurring ones. */
START_TEST(least_informative_crashes_are_dropped)
{
	uint32_t i;

	crash_alone(T0, 1, A);
	crash_alone(T0 + 2000, 1, A);
	for (i = 0; i < CRASHES_EXCESS; i++)
		crash_alone(T0 + 4000 + i * 10, 1000 + i, A);
	crash_alone(T0 + HOUR_MS, 1, A);
	quarantine_tick(q, T0 + HOUR_MS + SETTLE_MS);
	ck_assert(is_quarantined(1, A));
	ck_assert(!is_quarantined(1000, A));
}
END_TEST

/* Reports arrive in a different order at each node. */
START_TEST(order_of_reports_does_not_matter)
{
	static const uint64_t order[][4] = {
	    {0, 1, 2, 3}, {3, 2, 1, 0}, {1, 3, 0, 2}, {2, 0, 3, 1}};
	struct crash c;
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(order); i++) {
		teardown();
		setup();
		for (j = 0; j < 4; j++) {
			memset(&c, 0, sizeof(c));
			c.id = order[i][j] + 1;
			c.at_ms = T0 + order[i][j] * 1000;
			c.n_runs = 2;
			c.runs[0] = request(1, A);
			c.runs[1] = request(order[i][j] < 3 ? 2 : 3, A);
			quarantine_add_peer_crash(q, &c, T0 + 5000);
		}
		quarantine_tick(q, T0 + 5000 + SETTLE_MS);
		ck_assert(is_quarantined(1, A));
		ck_assert(!is_quarantined(2, A));
	}
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("quarantine");
	TCase *tc = tcase_create("quarantine");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, third_crash_quarantines_a_request);
	tcase_add_test(
	    tc, request_is_suspect_after_a_crash_until_it_is_answered);
	tcase_add_test(tc, request_is_undecided_until_the_decision);
	tcase_add_test(tc, burst_of_crashes_leaves_nothing_undecided);
	tcase_add_test(tc, coinciding_crashes_leave_nothing_undecided);
	tcase_add_test(tc, repeated_crash_reports_count_once);
	tcase_add_test(tc, crashes_hours_apart_count);
	tcase_add_test(tc, answered_request_is_exonerated);
	tcase_add_test(tc, answered_request_is_no_cosuspect);
	tcase_add_test(tc, cosuspects_are_suspended_until_one_is_implicated);
	tcase_add_test(tc, answer_ends_a_suspension);
	tcase_add_test(tc, only_the_recurring_request_is_quarantined);
	tcase_add_test(
	    tc, two_concurrent_crashing_requests_are_both_quarantined);
	tcase_add_test(tc, mass_kill_quarantines_nothing);
	tcase_add_test(tc, answered_request_is_not_published);
	tcase_add_test(tc, answer_on_one_node_exonerates_a_request);
	tcase_add_test(tc, old_answer_exonerates_from_one_crash_only);
	tcase_add_test(tc, other_callers_are_not_quarantined);
	tcase_add_test(tc, one_crash_of_another_caller_is_not_enough);
	tcase_add_test(tc, content_is_quarantined_for_all_after_three_callers);
	tcase_add_test(tc, content_is_quarantined_for_all_after_one_caller_was);
	tcase_add_test(tc, release_is_not_undone_by_an_older_report);
	tcase_add_test(tc, peer_report_quarantines_a_request);
	tcase_add_test(tc, answer_ends_a_quarantine_reported_by_a_peer);
	tcase_add_test(tc, least_informative_crashes_are_dropped);
	tcase_add_test(tc, order_of_reports_does_not_matter);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
