/*
 * An upstream runs a call and closes the connection without an answer, or
 * closes a kept-alive connection just as a POST is sent.  Nodes may retry
 * lookups only.  A client that retries bookings of unknown fate shows that the
 * check of runs finds a booking that ran twice.
 */
#include <stdio.h>

#include <check.h>
#include <curl/curl.h>

#include "calls.h"
#include "fetch.h"

#define TEST_TIMEOUT_S 60
#define URL_BYTES 128
#define RUNS_WITHOUT_ANSWER 20
#define BOOKINGS 20
#define HTTP_OK 200

static const struct calls_limits limits = {.timeout_ms = 2000,
    .slots = 12,
    .queue = 24,
    .queue_wait_ms = 500,
    .key_window_ms = 1000};

static const char *const data_centres[] = {"grandahus", "hofdasalur", NULL};
static const char *const services[] = {"hearing-booking", NULL};

static struct deployment *
start_deployment(void)
{
	struct deployment_plan plan = deployment_registry;

	plan.data_centres = data_centres;
	plan.services = services;
	plan.hosts = 1;
	return calls_start(&plan, &limits);
}

static void
set_knobs(const struct deployment *d, const char *text)
{
	uint32_t i;

	for (i = 0; i < d->hosts->len; i++)
		deployment_upstream_knobs(deployment_host(d, i), text);
}

static uint32_t
count_unanswered(const struct deployment *d)
{
	char url[URL_BYTES];
	const struct host *h;
	json_t *j;
	uint32_t i, n = 0;

	for (i = 0; i < d->hosts->len; i++) {
		h = deployment_host(d, i);
		(void)g_snprintf(url, sizeof(url), "http://%s:%u/standin/runs",
		    h->address, h->upstream_port);
		j = fetch_json("GET", url, NULL, NULL);
		n += (uint32_t)json_number(j, "unanswered");
		json_decref(j);
	}
	return n;
}

static void
run_load(struct deployment *d, const char *name, const char *mix,
    struct calls_counts *c)
{
	const char *args[] = {"--rate", "150", "--duration-s", "2", "--mix",
	    mix, "--path-lookup", "/bookings", NULL};

	calls_load_end(
	    deployment_load(d, name, deployment_host(d, 0), 1, args), name, c);
	calls_print(name, c);
	ck_assert_uint_eq(c->bad_answers, 0);
}

/* Each booking without an answer is reported as unknown; lookups are retried at
 * the other endpoint. */
START_TEST(calls_run_without_an_answer)
{
	struct calls_counts bookings = {0}, lookups = {0};
	struct deployment *d = start_deployment();

	set_knobs(d, "{\"close_after_run\":20}");
	run_load(d, "bookings", "0:1:0", &bookings);
	ck_assert_uint_eq(count_unanswered(d), 2 * RUNS_WITHOUT_ANSWER);
	ck_assert_uint_eq(bookings.unknown, 2 * RUNS_WITHOUT_ANSWER);
	ck_assert_uint_eq(
	    bookings.done, bookings.sent - 2 * RUNS_WITHOUT_ANSWER);
	/* At one endpoint only, so the retry at the other one is answered. */
	deployment_upstream_knobs(
	    deployment_host(d, 0), "{\"close_after_run\":3}");
	run_load(d, "lookups", "1:0:0", &lookups);
	ck_assert_uint_eq(lookups.done, lookups.sent);
	calls_stop(d);
}
END_TEST

/* The knob affects only a POST on a connection that was used before. */
START_TEST(kept_alive_connections_that_close)
{
	struct calls_counts c = {0};
	struct deployment *d = start_deployment();

	set_knobs(d, "{\"close_kept_alive\":1000000}");
	run_load(d, "mixed", "1:1:0", &c);
	(void)printf("%u POSTs were sent on a closing connection\n",
	    count_unanswered(d));
	ck_assert_uint_eq(c.done + c.unknown, c.sent);
	ck_assert_uint_eq(c.unknown, count_unanswered(d));
	ck_assert_uint_eq(c.unknown, 0);
	calls_stop(d);
}
END_TEST

/* Writes the outcome of a booking that was answered with status 200. */
static void
record_done(FILE *f, const char *test_id)
{
	struct outcome o = {.kind = CALL_BOOKING,
	    .reported = REPORTED_DONE,
	    .check = RESPONSE_OK,
	    .status = HTTP_OK};

	(void)g_strlcpy(o.test_id, test_id, sizeof(o.test_id));
	outcomes_write(f, &o);
}

/* Sends bookings by libcurl, which repeats a POST if its kept-alive connection
 * closes. */
static void
book_with_retries(const struct host *h, FILE *outcomes)
{
	char header[URL_BYTES], id[URL_BYTES], url[URL_BYTES];
	CURL *c = curl_easy_init();
	FILE *sink = fopen("/dev/null", "w");
	int i;
	struct curl_slist *headers;

	(void)g_snprintf(url, sizeof(url), "http://%s:%u/bookings", h->address,
	    h->upstream_port);
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_POSTFIELDS, "x");
	curl_easy_setopt(c, CURLOPT_WRITEDATA, sink);
	for (i = 0; i < BOOKINGS; i++) {
		(void)g_snprintf(id, sizeof(id), "retry-%d", i);
		(void)g_snprintf(header, sizeof(header), "X-Test-Id: %s", id);
		headers = curl_slist_append(NULL, header);
		curl_easy_setopt(c, CURLOPT_HTTPHEADER, headers);
		ck_assert_int_eq(curl_easy_perform(c), CURLE_OK);
		record_done(outcomes, id);
		curl_slist_free_all(headers);
	}
	curl_easy_cleanup(c);
	(void)fclose(sink);
}

/* Sends bookings to the upstream directly, by a client that retries them; the
 * check must find the five that ran twice. */
START_TEST(check_finds_bookings_doubled_by_a_retrying_client)
{
	char *path = harness_path("retrying.outcomes");
	FILE *outcomes = fopen(path, "w");
	struct deployment *d = start_deployment();
	uint32_t violations;

	ck_assert_ptr_nonnull(outcomes);
	deployment_upstream_knobs(
	    deployment_host(d, 0), "{\"close_kept_alive\":5}");
	book_with_retries(deployment_host(d, 0), outcomes);
	(void)fclose(outcomes);
	g_ptr_array_add(d->outcomes, path);
	violations = deployment_check_runs(d);
	(void)printf("retrying client: %u of %d bookings ran twice\n",
	    violations, BOOKINGS);
	ck_assert_uint_eq(violations, 5);
	deployment_free(d);
	harness_cleanup();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("unanswered");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, calls_run_without_an_answer);
	tcase_add_test(tc, kept_alive_connections_that_close);
	tcase_add_test(tc, check_finds_bookings_doubled_by_a_retrying_client);
	return harness_run(tc, TEST_TIMEOUT_S);
}
