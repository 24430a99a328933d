/*
 * Tests of the admission of requests to an upstream that names a limit.
 */
#include <check.h>
#include <glib.h>

#include "base/clock.h"
#include "traffic/admission.h"
#include "traffic/upstream_limit.h"

#include "test_run.h"

#define SLOTS 18

static struct admission_result
offer(struct admission *a, uint64_t ticket, uint32_t priority, uint64_t now_ms)
{
	struct admission_request req = {ticket, ADMISSION_LOOKUP, now_ms + 2000,
	    priority, now_ms + 600, 0, 0};
	struct admission_result res;

	admission_offer(a, &req, now_ms, &res);
	return res;
}

static struct admission *
limited_admission(uint64_t milli_per_s)
{
	struct admission_config cfg;
	struct admission *a;

	admission_config_default(&cfg);
	cfg.slots = SLOTS;
	a = admission_new(&cfg);
	(void)upstream_limit_name(admission_upstream_limit(a), milli_per_s, 0);
	return a;
}

START_TEST(requests_beyond_the_limit_wait_shortly_or_are_refused_at_once)
{
	struct admission *a = limited_admission(10000);
	struct admission_result res;

	ck_assert_int_eq(offer(a, 1, 2, 100).verdict, ADMISSION_START);
	ck_assert_int_eq(offer(a, 2, 2, 100).verdict, ADMISSION_QUEUE);
	ck_assert_uint_eq(admission_wake_ms(a), 200);
	ck_assert_int_eq(offer(a, 3, 2, 100).verdict, ADMISSION_QUEUE);
	res = offer(a, 4, 2, 100);
	ck_assert_int_eq(res.verdict, ADMISSION_REFUSE);
	ck_assert_int_eq(res.refusal, REFUSAL_WAIT);
	ck_assert_uint_ge(res.retry_after_ms, 300);
	ck_assert(!admission_next(a, 199, &res));
	ck_assert(admission_next(a, 200, &res));
	ck_assert_int_eq(res.verdict, ADMISSION_START);
	ck_assert_uint_eq(res.ticket, 2);
	ck_assert(!admission_next(a, 200, &res));
	admission_free(a);
}
END_TEST

START_TEST(the_most_urgent_request_starts_first_under_a_limit)
{
	struct admission *a = limited_admission(10000);
	struct admission_result res;

	ck_assert_int_eq(offer(a, 1, 2, 100).verdict, ADMISSION_START);
	ck_assert_int_eq(offer(a, 2, 2, 100).verdict, ADMISSION_QUEUE);
	ck_assert_int_eq(offer(a, 3, 0, 101).verdict, ADMISSION_QUEUE);
	ck_assert(admission_next(a, 200, &res));
	ck_assert_int_eq(res.verdict, ADMISSION_START);
	ck_assert_uint_eq(res.ticket, 3);
	admission_free(a);
}
END_TEST

START_TEST(drain_refuses_requests_that_wait_for_the_limit)
{
	struct admission *a = limited_admission(10000);
	struct admission_result res;

	ck_assert_int_eq(offer(a, 1, 2, 100).verdict, ADMISSION_START);
	ck_assert_int_eq(offer(a, 2, 2, 100).verdict, ADMISSION_QUEUE);
	admission_drain(a);
	ck_assert(admission_next(a, 110, &res));
	ck_assert_int_eq(res.refusal, REFUSAL_DRAINING);
	ck_assert_uint_eq(admission_wake_ms(a), DEADLINE_NEVER);
	admission_free(a);
}
END_TEST

START_TEST(requests_start_at_once_when_the_limit_ends)
{
	struct admission *a = limited_admission(200);
	struct admission_result res;

	ck_assert_int_eq(offer(a, 1, 2, 4900).verdict, ADMISSION_QUEUE);
	ck_assert_int_eq(upstream_limit_omit(admission_upstream_limit(a), 4910),
	    LIMIT_ENDED);
	ck_assert(admission_next(a, 4920, &res));
	ck_assert_int_eq(res.verdict, ADMISSION_START);
	admission_free(a);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("limited admission");
	Suite *s = suite_create("limited admission");

	suite_add_tcase(s, tc);
	tcase_add_test(
	    tc, requests_beyond_the_limit_wait_shortly_or_are_refused_at_once);
	tcase_add_test(tc, the_most_urgent_request_starts_first_under_a_limit);
	tcase_add_test(tc, drain_refuses_requests_that_wait_for_the_limit);
	tcase_add_test(tc, requests_start_at_once_when_the_limit_ends);
	return test_run(s);
}
