/*
 * Open-loop load at 30, 80, 100, 150 and 300 % of the capacity of two small
 * endpoints.  Refused calls must not run and must get a Retry-After header, and
 * goodput must not collapse.  Latency is only printed.
 */
#include <stdio.h>

#include <check.h>
#include <curl/curl.h>
#include <glib.h>

#include "calls.h"

#define TEST_TIMEOUT_S 60
#define NAME_BYTES 32
#define SLOTS 4
#define WORK_MS_MEAN 20
#define ENDPOINTS 2
#define MS_PER_S 1000
#define CAPACITY_PER_S (ENDPOINTS * SLOTS * MS_PER_S / WORK_MS_MEAN)
#define PERCENT 100
#define DURATION_S 3
/* Each kind of calls gets at least one in this many of the calls done. */
#define MIN_SHARE_ONE_IN 5

static const uint32_t load_percents[] = {30, 80, 100, 150, 300};
#define LOADS G_N_ELEMENTS(load_percents)
#define AT_CAPACITY 2
#define AT_MAXIMUM (LOADS - 1)

/* Both endpoints belong to one service, which lookups and bookings share. */
static const char *const data_centres[] = {"grandahus", "hofdasalur", NULL};
static const char *const services[] = {"hearing-booking", NULL};

/* Checks that lookups and bookings, sent at the same rate, each get a share of
 * the goodput. */
static void
check_shares(const struct calls_counts *c)
{
	ck_assert_uint_ge(
	    c->done_of_kind[CALL_LOOKUP] * MIN_SHARE_ONE_IN, c->done);
	ck_assert_uint_ge(
	    c->done_of_kind[CALL_BOOKING] * MIN_SHARE_ONE_IN, c->done);
}

static double
load_at(struct deployment *d, uint32_t percent)
{
	char name[NAME_BYTES], rate[NAME_BYTES], seconds[NAME_BYTES];
	const char *args[] = {"--rate", rate, "--duration-s", seconds, "--mix",
	    "1:1:0", "--path-lookup", "/bookings", NULL};
	struct calls_counts c = {0};
	struct process *load;
	double goodput;

	(void)g_snprintf(name, sizeof(name), "load-%u", percent);
	(void)g_snprintf(
	    rate, sizeof(rate), "%u", CAPACITY_PER_S * percent / PERCENT);
	(void)g_snprintf(seconds, sizeof(seconds), "%u", DURATION_S);
	load = deployment_load(d, name, deployment_host(d, 0), 1, args);
	calls_load_end(load, name, &c);
	calls_print(name, &c);
	ck_assert_uint_eq(c.bad_answers, 0);
	ck_assert_uint_eq(c.no_answer, 0);
	ck_assert_uint_eq(c.unknown, 0);
	goodput = (double)c.done / DURATION_S;
	check_shares(&c);
	(void)printf("%u %% of %u calls/s: goodput %.0f calls/s, %u lookups "
		     "and %u bookings done, refused in %.1f ms (p99)\n",
	    percent, CAPACITY_PER_S, goodput, c.done_of_kind[CALL_LOOKUP],
	    c.done_of_kind[CALL_BOOKING], (double)c.refused_p99_us / MS_PER_S);
	return goodput;
}

START_TEST(goodput_does_not_collapse)
{
	static const struct calls_limits limits = {.timeout_ms = 2000,
	    .slots = SLOTS,
	    .queue = 2 * SLOTS,
	    .queue_wait_ms = 200,
	    .key_window_ms = 3000};
	double goodput[LOADS];
	struct deployment_plan plan = deployment_registry;
	struct deployment *d;
	size_t i;

	plan.data_centres = data_centres;
	plan.services = services;
	plan.hosts = 1;
	plan.slots = SLOTS;
	plan.work_ms_mean = WORK_MS_MEAN;
	d = calls_start(&plan, &limits);
	for (i = 0; i < LOADS; i++)
		goodput[i] = load_at(d, load_percents[i]);
	(void)printf(
	    "goodput at 300 %%: %.0f %% of that at 100 %% (target 90)\n",
	    goodput[AT_MAXIMUM] * PERCENT / goodput[AT_CAPACITY]);
	(void)fflush(stdout);
	ck_assert_double_ge(goodput[AT_MAXIMUM] * 2, goodput[AT_CAPACITY]);
	calls_stop(d);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("overload");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, goodput_does_not_collapse);
	return harness_run(tc, TEST_TIMEOUT_S);
}
