/*
 * Shortage of a called service: requests arrive each 10 ms and run 100 ms, and
 * the service that they call is gone from GONE_MS to BACK_MS.
 */
#include <check.h>

#include "base/hash.h"
#include "traffic/shortage.h"

#include "test_run.h"

#define ROUTE 1
#define OTHER_ROUTE 2
#define EVERY_MS 10
#define WORK_MS 100
#define GONE_MS 2000
#define BACK_MS 6000
#define RUN_MS 12000
#define RUNS (RUN_MS / EVERY_MS)

/** struct counts - requests that arrived in a part of the time */
struct counts {
	uint32_t offered;
	uint32_t begun;
};

/* Of the requests, @calls_percent need the called service. */
static struct counts
simulate(uint32_t calls_percent, uint64_t from_ms, uint64_t until_ms)
{
	static const uint64_t seed = 7;
	struct shortage *s = shortage_new();
	bool begun[RUNS] = {false};
	struct counts c = {0};
	uint64_t random, now_ms;
	uint32_t i;

	for (i = WORK_MS / EVERY_MS; i < RUNS; i++) {
		now_ms = (uint64_t)i * EVERY_MS;
		random = hash64(&i, sizeof(i), seed);
		if (begun[i - WORK_MS / EVERY_MS])
			shortage_record(s, ROUTE,
			    now_ms >= GONE_MS && now_ms < BACK_MS &&
				(i * 37) % 100 < calls_percent,
			    now_ms);
		begun[i] = !shortage_refuses(s, ROUTE, random, now_ms);
		if (now_ms < from_ms || now_ms >= until_ms)
			continue;
		c.offered++;
		c.begun += begun[i];
	}
	shortage_free(s);
	return c;
}

/* All requests need the service that is gone: most are refused at once. */
START_TEST(hopeless_requests_are_refused)
{
	struct counts c = simulate(100, GONE_MS + 1500, BACK_MS);

	ck_assert_uint_gt(c.begun, 0);
	ck_assert_uint_le(c.begun * 4, c.offered);
}
END_TEST

/* Within 2 s of the service's return all requests are begun again. */
START_TEST(end_of_the_shortage_is_seen)
{
	struct counts c = simulate(100, BACK_MS + 2000, RUN_MS);

	ck_assert_uint_eq(c.begun, c.offered);
}
END_TEST

/* 3 in 10 requests make no call and can be answered: none is refused. */
START_TEST(requests_that_may_be_answered_are_begun)
{
	struct counts c = simulate(70, 0, RUN_MS);

	ck_assert_uint_eq(c.begun, c.offered);
}
END_TEST

/* A route without failures is not refused beside one with. */
START_TEST(routes_are_counted_apart)
{
	struct shortage *s = shortage_new();
	uint64_t i;

	for (i = 0; i < 20; i++) {
		shortage_record(s, ROUTE, true, 100 + i);
		shortage_record(s, OTHER_ROUTE, false, 100 + i);
	}
	ck_assert_uint_eq(shortage_failed_milli(s, ROUTE, 120), 1000);
	ck_assert(shortage_refuses(s, ROUTE, 0, 120));
	ck_assert(!shortage_refuses(s, ROUTE, 950, 120));
	ck_assert(!shortage_refuses(s, OTHER_ROUTE, 0, 120));
	/* Without new runs the share isn't known any more. */
	ck_assert(!shortage_refuses(s, ROUTE, 0, 1200));
	shortage_free(s);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("shortage");
	TCase *tc = tcase_create("shortage");

	tcase_add_test(tc, hopeless_requests_are_refused);
	tcase_add_test(tc, end_of_the_shortage_is_seen);
	tcase_add_test(tc, requests_that_may_be_answered_are_begun);
	tcase_add_test(tc, routes_are_counted_apart);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
