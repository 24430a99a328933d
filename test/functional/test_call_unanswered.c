/*
 * An upstream runs a call and closes the connection instead of answering,
 * also a kept-alive one just as a POST goes out.  Nothing but a lookup may be
 * sent again for it.  A client that repeats what it was not told the fate of
 * shows that the check finds a doubled booking.
 */
#include <stdio.h>

#include <check.h>
#include <curl/curl.h>

#include "calls.h"
#include "fetch.h"

#define TEST_TIMEOUT_S 60
#define URL_BYTES 128
#define LOST 20
#define HTTP_OK 200

static const struct calls_limits limits = {.timeout_ms = 2000,
    .slots = 12,
    .queue = 24,
    .queue_wait_ms = 500,
    .key_window_ms = 1000};

static const char *const places[] = {"grandahus", "hofdasalur", NULL};
static const char *const services[] = {"hearing-booking", NULL};

static struct deployment *
start(void)
{
	struct deployment_plan plan = deployment_registry;

	plan.data_centres = places;
	plan.services = services;
	plan.hosts = 1;
	return calls_start(&plan, &limits);
}

static void
knobs(const struct deployment *d, const char *text)
{
	uint32_t i;

	for (i = 0; i < d->hosts->len; i++)
		deployment_upstream_knobs(deployment_host(d, i), text);
}

static uint32_t
unanswered(const struct deployment *d)
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
load(struct deployment *d, const char *name, const char *mix,
    struct calls_counts *c)
{
	const char *args[] = {"--rate", "150", "--duration-s", "2", "--mix",
	    mix, "--path-lookup", "/bookings", NULL};

	calls_load_end(
	    deployment_load(d, name, deployment_host(d, 0), 1, args), name, c);
	calls_print(name, c);
	ck_assert_uint_eq(c->bad_answers, 0);
}

/* Each booking is told unknown once, and a lookup is made good elsewhere. */
START_TEST(calls_run_without_an_answer)
{
	struct calls_counts bookings = {0}, lookups = {0};
	struct deployment *d = start();

	knobs(d, "{\"close_after_run\":20}");
	load(d, "bookings", "0:1:0", &bookings);
	ck_assert_uint_eq(unanswered(d), 2 * LOST);
	ck_assert_uint_eq(bookings.unknown, 2 * LOST);
	ck_assert_uint_eq(bookings.done, bookings.sent - 2 * LOST);
	/* At one endpoint only: the other attempt is answered. */
	deployment_upstream_knobs(
	    deployment_host(d, 0), "{\"close_after_run\":3}");
	load(d, "lookups", "1:0:0", &lookups);
	ck_assert_uint_eq(lookups.done, lookups.sent);
	calls_end(d);
}
END_TEST

/* Only a POST on a connection that was used before meets this knob. */
START_TEST(kept_alive_connections_that_close)
{
	struct calls_counts c = {0};
	struct deployment *d = start();

	knobs(d, "{\"close_kept_alive\":1000000}");
	load(d, "mixed", "1:1:0", &c);
	(void)printf("%u POSTs met a closing connection\n", unanswered(d));
	ck_assert_uint_eq(c.done + c.unknown, c.sent);
	ck_assert_uint_eq(c.unknown, unanswered(d));
	ck_assert_uint_eq(c.unknown, 0);
	calls_end(d);
}
END_TEST

/* What a client that was answered 200 has been told. */
static void
note_done(FILE *f, const char *test_id)
{
	struct outcome o = {.kind = CALL_BOOKING,
	    .reported = REPORTED_DONE,
	    .check = RESPONSE_OK,
	    .status = HTTP_OK};

	(void)g_strlcpy(o.test_id, test_id, sizeof(o.test_id));
	outcomes_write(f, &o);
}

/* libcurl sends a POST again when its kept-alive connection closes. */
static void
book_blindly(const struct host *h, FILE *outcomes)
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
	for (i = 0; i < LOST; i++) {
		(void)g_snprintf(id, sizeof(id), "blind-%d", i);
		(void)g_snprintf(header, sizeof(header), "X-Test-Id: %s", id);
		headers = curl_slist_append(NULL, header);
		curl_easy_setopt(c, CURLOPT_HTTPHEADER, headers);
		ck_assert_int_eq(curl_easy_perform(c), CURLE_OK);
		note_done(outcomes, id);
		curl_slist_free_all(headers);
	}
	curl_easy_cleanup(c);
	(void)fclose(sink);
}

/* The same upstream and the same check, with a client that is blind to it. */
START_TEST(the_check_finds_what_a_blind_client_doubles)
{
	char *path = harness_path("blind.outcomes");
	FILE *outcomes = fopen(path, "w");
	struct deployment *d = start();
	uint32_t found;

	ck_assert_ptr_nonnull(outcomes);
	deployment_upstream_knobs(
	    deployment_host(d, 0), "{\"close_kept_alive\":5}");
	book_blindly(deployment_host(d, 0), outcomes);
	(void)fclose(outcomes);
	g_ptr_array_add(d->outcomes, path);
	found = deployment_check(d);
	(void)printf(
	    "blind client: %u of %d bookings ran twice\n", found, LOST);
	ck_assert_uint_eq(found, 5);
	deployment_free(d);
	harness_end();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("unanswered");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, calls_run_without_an_answer);
	tcase_add_test(tc, kept_alive_connections_that_close);
	tcase_add_test(tc, the_check_finds_what_a_blind_client_doubles);
	return harness_run(tc, TEST_TIMEOUT_S);
}
