/*
 * Planned stops and restarts under load of an upstream, a node, a host, and
 * half of the nodes one after another.  Each caller must get a complete answer
 * to its own call, and a draining upstream must not get new calls.
 */
#include <stdio.h>
#include <string.h>

#include <check.h>
#include <curl/curl.h>
#include <glib.h>

#include "calls.h"
#include "fetch.h"

#define TEST_TIMEOUT_S 90
#define SEEDS 1
#define DURATION_S "3"
#define KEY_WINDOW_MS 3000
#define URL_BYTES 128
#define TIME_BYTES 24
#define US_PER_MS 1000
/* How long the entries are observed after the notice of the drain. */
#define OBSERVE_MS 700

static uint32_t drained_upstreams;
static int64_t runs_after_notice;
static int64_t max_placement_delay_ms;

/* Wall-clock time of the last call placed on a host, from the log of a node. */
static int64_t
last_placed_us(const char *log, const char *host)
{
	char *pattern = g_strdup_printf(" on %s (", host), *text = NULL;
	char time[TIME_BYTES + 1] = "";
	const char *at, *line;
	GDateTime *t;
	int64_t us = 0;

	ck_assert(g_file_get_contents(log, &text, NULL, NULL));
	at = g_strrstr(text, pattern);
	if (at != NULL) {
		line = g_strrstr_len(text, at - text, "\n");
		line = line == NULL ? text : line + 1;
		(void)g_strlcpy(time, line, sizeof(time));
		t = g_date_time_new_from_iso8601(time, NULL);
		ck_assert_msg(
		    t != NULL, "log line doesn't begin with a time: %s", time);
		us = g_date_time_to_unix(t) * G_USEC_PER_SEC +
		    g_date_time_get_microsecond(t);
		g_date_time_unref(t);
	}
	g_free(text);
	g_free(pattern);
	return us;
}

/* Time from @from_us until the last call that any entry placed on a host. */
static int64_t
placement_delay_ms(
    const struct deployment *d, const char *host, int64_t from_us)
{
	const struct host *entry;
	int64_t us, last_us = from_us;
	uint32_t i;

	for (i = 0; i < d->hosts->len; i++) {
		entry = deployment_host(d, i);
		us = last_placed_us(process_log_path(entry->node), host);
		last_us = MAX(last_us, us);
	}
	return (last_us - from_us) / US_PER_MS;
}

static int64_t
runs_after_drain(const struct host *h)
{
	char url[URL_BYTES];
	int64_t n;
	json_t *j;

	(void)g_snprintf(url, sizeof(url), "http://%s:%u/standin/runs",
	    h->address, h->upstream_port);
	j = fetch_json("GET", url, NULL, NULL);
	ck_assert_ptr_nonnull(j);
	n = json_number(j, "after_drain");
	json_decref(j);
	return n;
}

/* The knob's request returns after the node has accepted the notice. */
static void
drain_and_stop(struct deployment *d, struct host *h)
{
	int64_t delay_ms, notice_us;

	deployment_upstream_knobs(h, "{\"drain\":true}");
	notice_us = g_get_real_time();
	g_usleep(OBSERVE_MS * G_TIME_SPAN_MILLISECOND);
	delay_ms = placement_delay_ms(d, h->name, notice_us);
	max_placement_delay_ms = MAX(max_placement_delay_ms, delay_ms);
	runs_after_notice += runs_after_drain(h);
	drained_upstreams++;
	ck_assert_int_eq(deployment_stop_upstream(h), 0);
}

static void
inject(struct deployment *d, struct host *h, int node)
{
	if (node)
		ck_assert_int_eq(deployment_stop_node(h), 0);
	else
		drain_and_stop(d, h);
}

static void
recover(struct deployment *d, struct host *h, int node)
{
	if (node)
		deployment_start_node(d, h);
	else
		deployment_start_upstream(d, h);
}

START_TEST(planned_stops_lose_no_answer)
{
	static const struct calls_fault f = {
	    "stopped", inject, recover, 50, 200, KEY_WINDOW_MS, DURATION_S};
	struct calls_counts sums[CALLS_TARGETS];
	uint32_t v;

	calls_rounds(&f, SEEDS, sums);
	(void)printf("%u upstreams drained: %ld runs after the notice, last "
		     "call placed %ld ms after the notice\n",
	    drained_upstreams, (long)runs_after_notice,
	    (long)max_placement_delay_ms);
	(void)fflush(stdout);
	for (v = 0; v < CALLS_TARGETS; v++) {
		ck_assert_uint_eq(sums[v].cut, 0);
		ck_assert_uint_eq(sums[v].no_answer, 0);
		ck_assert_uint_eq(sums[v].unknown, 0);
	}
	ck_assert_uint_gt(drained_upstreams, 0);
	ck_assert_int_eq(runs_after_notice, 0);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("stop");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, planned_stops_lose_no_answer);
	return harness_run(tc, TEST_TIMEOUT_S);
}
