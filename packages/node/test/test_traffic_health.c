/*
 * Tests of what the traffic thread reports of itself.
 */
#include <check.h>

#include "base/clock.h"
#include "node/traffic_health.h"
#include "test_run.h"

static struct loop *loop;
static struct traffic_health health;
static uint64_t closed_ms;

static uint64_t
closed_since(void *arg)
{
	(void)arg;
	return closed_ms;
}

static void
run_until_reported(void)
{
	uint64_t before_ms = health.turned_ms;

	while (health.turned_ms == before_ms)
		loop_run_once(loop, clock_now_ms() + 50);
}

static void
setup(void)
{
	loop = loop_new();
	closed_ms = 0;
	traffic_health_watch(&health, closed_since, NULL);
	traffic_health_start(&health, loop);
}

static void
teardown(void)
{
	traffic_health_stop(&health);
	loop_free(loop);
}

/* Guards against readiness before the thread that serves callers runs. */
START_TEST(a_thread_that_has_not_begun_is_not_good)
{
	ck_assert(!traffic_health_is_good(&health, clock_now_ms()));
	loop_run_once(loop, clock_now_ms());
	ck_assert(traffic_health_is_good(&health, clock_now_ms()));
}
END_TEST

/* Guards against readiness while the thread that serves callers stands still.
 */
START_TEST(a_thread_that_stands_still_is_not_good)
{
	uint64_t now_ms;

	loop_run_once(loop, clock_now_ms());
	now_ms = clock_now_ms();
	ck_assert(traffic_health_is_good(&health, now_ms + 500));
	ck_assert(!traffic_health_is_good(&health, now_ms + 3000));
}
END_TEST

/* Guards against readiness while no connection of callers is accepted. */
START_TEST(a_listener_that_is_closed_for_long_is_not_good)
{
	uint64_t now_ms;

	closed_ms = clock_now_ms();
	loop_run_once(loop, clock_now_ms());
	now_ms = clock_now_ms();
	ck_assert(traffic_health_is_good(&health, now_ms));
	closed_ms = now_ms - 2000;
	run_until_reported();
	ck_assert(!traffic_health_is_good(&health, clock_now_ms()));
	closed_ms = 0;
	run_until_reported();
	ck_assert(traffic_health_is_good(&health, clock_now_ms()));
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("traffic_health");
	TCase *tc = tcase_create("reports");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, a_thread_that_has_not_begun_is_not_good);
	tcase_add_test(tc, a_thread_that_stands_still_is_not_good);
	tcase_add_test(tc, a_listener_that_is_closed_for_long_is_not_good);
	suite_add_tcase(s, tc);
	return test_run(s);
}
