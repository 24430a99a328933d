/*
 * Callers leave at random times while versions are signed off in series: no
 * upstream begins to work for a caller, or goes on, half a second after the
 * caller has left.
 *
 * For a long run BRAMLEY_LEFT_S is the duration of the load in seconds.
 */
#include <stdio.h>
#include <stdlib.h>

#include <check.h>
#include <curl/curl.h>

#include "base/clock.h"
#include "calls.h"

#define TEST_TIMEOUT_S 900
#define DURATION_S 6
#define DECIMAL 10
#define SEED 47
#define LEAVE_PERCENT 40
#define KEY_WINDOW_MS 5500
#define WORK_MS_MEAN 400
#define SLOTS 16
#define QUEUE 16
#define QUEUE_WAIT_MS 1000
#define TIMEOUT_MS 3000
#define NAME_BYTES 32
#define MIN_DEPARTED 50
#define MIN_VERSIONS 10

static uint32_t
duration_s(void)
{
	const char *text = g_getenv("BRAMLEY_LEFT_S");

	return text == NULL ? DURATION_S
			    : (uint32_t)strtoul(text, NULL, DECIMAL);
}

/* Signs versions off, one after the other; Return: their number. */
static uint32_t
sign_off_until(struct deployment *d, uint64_t until_ms)
{
	uint32_t n = 0;
	char *bundle;

	while (clock_now_ms() < until_ms) {
		bundle = deployment_bundle_routes(n, n % MIN_VERSIONS);
		(void)deployment_sign_off(
		    deployment_host(d, n % d->hosts->len), bundle);
		g_free(bundle);
		n++;
	}
	return n;
}

START_TEST(no_upstream_works_for_callers_that_left)
{
	const struct calls_limits limits = {.timeout_ms = TIMEOUT_MS,
	    .slots = SLOTS,
	    .queue = QUEUE,
	    .queue_wait_ms = QUEUE_WAIT_MS,
	    .key_window_ms = KEY_WINDOW_MS};
	const struct deployment_excuse none = {NULL, NULL};
	struct deployment_plan plan = deployment_registry;
	struct calls_counts c = {0};
	char load_s[NAME_BYTES];
	struct deployment *d;
	struct process *load;
	uint32_t departed, late, versions;

	plan.slots = SLOTS;
	plan.work_ms_mean = WORK_MS_MEAN;
	d = calls_start(&plan, &limits);
	(void)g_snprintf(load_s, sizeof(load_s), "%u", duration_s());
	load = calls_load_leaving(d, "left", load_s, SEED, LEAVE_PERCENT);
	versions =
	    sign_off_until(d, clock_now_ms() + duration_s() * UINT64_C(1000));
	calls_load_end(load, "left", &c);
	calls_print("left", &c);
	late = deployment_check_departures(d, &none, &departed);
	(void)printf("%u callers left beside %u versions, %u runs too late\n",
	    departed, versions, late);
	ck_assert_uint_ge(departed, MIN_DEPARTED);
	ck_assert_uint_ge(versions, MIN_VERSIONS);
	ck_assert_msg(late == 0, "%u runs for callers that had left; see %s",
	    late, harness_dir());
	calls_stop(d);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("left");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, no_upstream_works_for_callers_that_left);
	return harness_run(tc, TEST_TIMEOUT_S);
}
