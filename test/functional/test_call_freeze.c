/*
 * Nodes and upstreams are suspended by SIGSTOP at random times under load, for
 * longer than the deadline of calls and the suspicion timeout of peers, and
 * resumed.  Frames and bytes that were buffered meanwhile must not be treated
 * as current.
 */
#include <signal.h>

#include <check.h>
#include <curl/curl.h>

#include "calls.h"

#define TEST_TIMEOUT_S 60
#define SEEDS 1
#define DURATION_S "1.5"
/* Longer than three attempts of a keyed call and the suspension together. */
#define KEY_WINDOW_MS 8500

static void
inject(struct deployment *d, struct host *h, int node)
{
	(void)d;
	process_signal(node ? h->node : h->upstream, SIGSTOP);
}

static void
recover(struct deployment *d, struct host *h, int node)
{
	(void)d;
	process_signal(node ? h->node : h->upstream, SIGCONT);
}

START_TEST(frozen_at_random_times)
{
	static const struct calls_fault f = {
	    "frozen", inject, recover, 1700, 2800, KEY_WINDOW_MS, DURATION_S};

	struct calls_counts sums[CALLS_TARGETS];

	calls_rounds(&f, SEEDS, sums);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("freeze");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, frozen_at_random_times);
	return harness_run(tc, TEST_TIMEOUT_S);
}
