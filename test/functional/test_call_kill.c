/*
 * Nodes and upstreams are killed at random times under load.  A node is both
 * the guard of its upstream and the entry of its callers.  Each fate reported
 * to a caller must be true, see standins/run_check.h.
 */
#include <check.h>
#include <curl/curl.h>

#include "calls.h"

#define TEST_TIMEOUT_S 60
#define SEEDS 2
#define DURATION_S "1.5"
/* Longer than three attempts of a keyed call. */
#define KEY_WINDOW_MS 5500

static void
inject(struct deployment *d, struct host *h, int node)
{
	(void)d;
	if (node)
		deployment_kill_node(h);
	else
		deployment_kill_upstream(h);
}

static void
recover(struct deployment *d, struct host *h, int node)
{
	if (node)
		deployment_start_node(d, h);
	else
		deployment_start_upstream(d, h);
}

START_TEST(killed_at_random_times)
{
	static const struct calls_fault f = {
	    "killed", inject, recover, 50, 700, KEY_WINDOW_MS, DURATION_S};

	struct calls_counts sums[CALLS_TARGETS];

	calls_rounds(&f, SEEDS, sums);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("kill");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, killed_at_random_times);
	return harness_run(tc, TEST_TIMEOUT_S);
}
