/*
 * Open connections between entries and a guard, and between a guard and its
 * upstream, go silent permanently while new ones work.  Incoming packets are
 * dropped at the client's end, the server's end, or both.
 */
#include <stdio.h>

#include <check.h>
#include <curl/curl.h>

#include "calls.h"
#include "silence.h"

#define TEST_TIMEOUT_S 60
#define SEEDS 1
#define DURATION_S "1.5"
#define KEY_WINDOW_MS 5500

/** enum silent_ends - ends of a connection that drop incoming packets */
enum silent_ends {
	SILENT_CLIENT,
	SILENT_SERVER,
	SILENT_BOTH,
	SILENT_KINDS,
};

static uint32_t silenced;

/* Silences the connections of all entries to the guard of a host. */
static void
silence_guard(
    const struct deployment *d, const struct host *h, enum silent_ends ends)
{
	const struct host *entry;
	uint32_t i;

	if (ends != SILENT_CLIENT)
		silenced += silence_connections(
		    h->node, SILENCE_SERVER, h->address, h->call_port);
	for (i = 0; ends != SILENT_SERVER && i < d->hosts->len; i++) {
		entry = deployment_host(d, i);
		silenced += silence_connections(
		    entry->node, SILENCE_CLIENT, h->address, h->call_port);
	}
}

/* Silences the connections of a guard to its upstream. */
static void
silence_upstream(const struct host *h, enum silent_ends ends)
{
	if (ends != SILENT_CLIENT)
		silenced += silence_connections(
		    h->upstream, SILENCE_SERVER, h->address, h->upstream_port);
	if (ends != SILENT_SERVER)
		silenced += silence_connections(
		    h->node, SILENCE_CLIENT, h->address, h->upstream_port);
}

/* Called twice in a round, as inject and as recover, with other ends each time.
 */
static void
inject(struct deployment *d, struct host *h, int node)
{
	static uint32_t injections;
	enum silent_ends ends = (enum silent_ends)(injections++ % SILENT_KINDS);

	if (node)
		silence_guard(d, h, ends);
	else
		silence_upstream(h, ends);
}

START_TEST(silent_at_random_times)
{
	static const struct calls_fault f = {
	    "silent", inject, inject, 300, 600, KEY_WINDOW_MS, DURATION_S};

	struct calls_counts sums[CALLS_TARGETS];

	calls_rounds(&f, SEEDS, sums);
	(void)printf("%u ends of connections silenced\n", silenced);
	ck_assert_uint_gt(silenced, 0);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("silent");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, silent_at_random_times);
	return harness_run(tc, TEST_TIMEOUT_S);
}
