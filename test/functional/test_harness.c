/*
 * Tests of the harness and of the stand-ins as processes, without a node.  The
 * other functional tests depend on this behaviour.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <check.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "fetch.h"
#include "harness.h"
#include "process.h"
#include "relay.h"
#include "standins/web.h"

#define TEST_TIMEOUT_S 30
#define START_TIMEOUT_MS 5000
#define STOP_TIMEOUT_MS 10000
#define URL_BYTES 256
#define FAKE_NODE_THREADS 4
#define NODE_DELAY_MS 300
#define FAKE_NODE_KEEP_ALIVE_MS 100
#define LEASE_MS "300"

/* A running stand-in and its address. */
struct standin {
	struct process *process;
	char address[HARNESS_ADDRESS_BYTES];
	uint16_t port;
	char at[64];	     /* "address:port" */
	char url[URL_BYTES]; /* "http://address:port" */
};

static void
standin_choose_address(struct standin *s, uint32_t i)
{
	harness_host_address(0, i, s->address);
	harness_choose_ports(s->address, &s->port, 1);
	(void)g_snprintf(s->at, sizeof(s->at), "%s:%u", s->address, s->port);
	(void)g_snprintf(s->url, sizeof(s->url), "http://%s", s->at);
}

static void
standin_wait(struct standin *s, const char *path)
{
	char *url = g_strconcat(s->url, path, NULL);

	ck_assert_msg(fetch_wait_status(url, 200, START_TIMEOUT_MS),
	    "%s didn't answer 200; see %s", url, process_log_path(s->process));
	g_free(url);
}

static void
platform_start(struct standin *s)
{
	char port[16];
	const char *argv[] = {STANDIN_PLATFORM_PATH, "--address", s->address,
	    "--port", port, NULL};

	standin_choose_address(s, 0);
	(void)g_snprintf(port, sizeof(port), "%u", s->port);
	s->process = process_start("platform", harness_dir(), argv);
	standin_wait(s, "/standin/stats");
}

/* Starts upstream "h<i>" with a journal; it announces itself to @node, unless
 * that is NULL. */
static void
upstream_start(struct standin *s, uint32_t i, const char *node)
{
	char *name = g_strdup_printf("h%u", i);
	char *journal = harness_path(name);
	char port[16];
	const char *argv[] = {STANDIN_UPSTREAM_PATH, "--address", s->address,
	    "--port", port, "--host", name, "--service", "s", "--journal",
	    journal, "--work-ms-mean", "2", "--slots", "64", "--lease-ms",
	    LEASE_MS, node == NULL ? NULL : "--node", node, NULL};

	standin_choose_address(s, i);
	(void)g_snprintf(port, sizeof(port), "%u", s->port);
	s->process = process_start(name, harness_dir(), argv);
	standin_wait(s, "/health");
	g_free(journal);
	g_free(name);
}

static void
standin_knobs(const struct standin *s, const char *knobs)
{
	char *url = g_strconcat(s->url, "/standin/knobs", NULL);
	int code;

	json_decref(fetch_json("POST", url, knobs, &code));
	ck_assert_int_eq(code, 200);
	g_free(url);
}

static int64_t
standin_count(const struct standin *s, const char *path, const char *name)
{
	char *url = g_strconcat(s->url, path, NULL);
	int64_t n;
	json_t *j = fetch_json("GET", url, NULL, NULL);

	n = json_integer_value(json_object_get(j, name));
	json_decref(j);
	g_free(url);
	return n;
}

static struct process *
load_start(const struct standin *s, const char *seconds)
{
	char *path = harness_path("outcomes");
	const char *argv[] = {LOAD_GEN_PATH, "--direct", "--node", s->at,
	    "--rate", "300", "--duration-s", seconds, "--mix", "2:1:1",
	    "--json", "--outcomes", path, NULL};
	struct process *p;

	p = process_start("load", harness_dir(), argv);
	g_free(path);
	return p;
}

static int64_t
load_count(struct process *load, const char *name)
{
	char *text;
	int64_t n;
	json_t *j;

	ck_assert(
	    g_file_get_contents(process_log_path(load), &text, NULL, NULL));
	j = json_loads(text, 0, NULL);
	ck_assert_ptr_nonnull(j);
	n = json_integer_value(json_object_get(j, name));
	json_decref(j);
	g_free(text);
	return n;
}

/* Runs check_runs on the outcomes and one journal; returns its exit code. */
static int
check_exit(const char *journal_name)
{
	char *journal = harness_path(journal_name);
	char *outcomes = harness_path("outcomes");
	const char *argv[] = {CHECK_RUNS_PATH, "--outcomes", outcomes,
	    "--journal", journal, NULL};
	int code;
	struct process *p;

	p = process_start("check", harness_dir(), argv);
	code = process_wait(p, STOP_TIMEOUT_MS);
	process_free(p);
	g_free(journal);
	g_free(outcomes);
	return code;
}

START_TEST(platform_loses_the_answer_not_the_write)
{
	struct standin s;
	struct fetch f = {"PUT", NULL, NULL, "content", 7, 0};
	struct fetch_answer a;
	char *url;

	platform_start(&s);
	standin_knobs(&s, "{\"lose_answers\":1}");
	url = g_strconcat(s.url, "/bramley/section/1", NULL);
	f.url = url;
	fetch_perform(&f, &a);
	ck_assert_int_eq(a.code, 0);
	fetch_answer_clear(&a);
	f.method = "GET";
	f.body = NULL;
	fetch_perform(&f, &a);
	ck_assert_int_eq(a.code, 200);
	ck_assert_str_eq(a.body->str, "content");
	fetch_answer_clear(&a);
	g_free(url);
	process_free(s.process);
	harness_cleanup();
}
END_TEST

/* Status code of a call of the table without faults. */
static int
inspect_code(const struct standin *s)
{
	static const char *const headers[] = {
	    "X-Amz-Target: DynamoDB_20120810.GetItem", NULL};
	static const char body[] = "{\"TableName\":\"bramley\",\"Key\":"
				   "{\"pk\":{\"S\":\"head\"}}}";
	char *url = g_strconcat(s->url, "/standin/table", NULL);
	struct fetch f = {"POST", url, headers, body, strlen(body), 0};
	struct fetch_answer a;
	int code;

	fetch_perform(&f, &a);
	code = a.code;
	fetch_answer_clear(&a);
	g_free(url);
	return code;
}

START_TEST(platform_fails_and_throttles_on_demand)
{
	static const struct {
		const char *knobs;
		int code;
	} cases[] = {
	    {"{\"outage\":true}", 503},
	    {"{\"outage\":false,\"reads_per_s\":0}", 503},
	    {"{\"reads_per_s\":100}", 404},
	    {"{\"delay_ms\":50}", 404},
	};
	char *url;
	int code;
	size_t i;
	struct standin s;

	platform_start(&s);
	url = g_strconcat(s.url, "/bramley/none", NULL);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		standin_knobs(&s, cases[i].knobs);
		json_decref(fetch_json("GET", url, NULL, &code));
		ck_assert_msg(code == cases[i].code, "%s: status %d",
		    cases[i].knobs, code);
		ck_assert_int_eq(inspect_code(&s), 200);
	}
	ck_assert_int_eq(standin_count(&s, "/standin/stats", "failed"), 1);
	ck_assert_int_eq(standin_count(&s, "/standin/stats", "rejected"), 1);
	g_free(url);
	process_free(s.process);
	harness_cleanup();
}
END_TEST

START_TEST(load_on_a_healthy_upstream_is_all_done)
{
	struct process *load;
	struct standin s;

	upstream_start(&s, 0, NULL);
	load = load_start(&s, "0.5");
	ck_assert_int_eq(process_wait(load, STOP_TIMEOUT_MS), 0);
	ck_assert_int_gt(load_count(load, "sent"), 0);
	ck_assert_int_eq(load_count(load, "done"), load_count(load, "sent"));
	ck_assert_int_eq(load_count(load, "wrong_answers"), 0);
	ck_assert_int_eq(check_exit("h0"), 0);
	process_free(load);
	process_free(s.process);
	harness_cleanup();
}
END_TEST

START_TEST(runs_without_an_answer_are_unknown)
{
	struct process *load;
	struct standin s;

	upstream_start(&s, 0, NULL);
	standin_knobs(&s, "{\"close_after_run\":20}");
	load = load_start(&s, "0.5");
	ck_assert_int_eq(process_wait(load, STOP_TIMEOUT_MS), 0);
	ck_assert_int_gt(load_count(load, "no_answer"), 0);
	ck_assert_int_eq(standin_count(&s, "/standin/runs", "unanswered"), 20);
	ck_assert_int_eq(check_exit("h0"), 0);
	process_free(load);
	process_free(s.process);
	harness_cleanup();
}
END_TEST

START_TEST(journal_survives_a_kill_under_load)
{
	struct process *load;
	struct standin s;

	upstream_start(&s, 0, NULL);
	load = load_start(&s, "0.5");
	g_usleep(250 * 1000);
	process_kill(s.process);
	ck_assert_int_eq(process_wait(load, STOP_TIMEOUT_MS), 0);
	ck_assert_int_gt(load_count(load, "done"), 0);
	ck_assert_int_gt(load_count(load, "not_sent"), 0);
	ck_assert_int_eq(check_exit("h0"), 0);
	process_free(load);
	process_free(s.process);
	harness_cleanup();
}
END_TEST

START_TEST(check_runs_finds_a_missing_run)
{
	char *empty;
	struct process *load;
	struct standin s;

	upstream_start(&s, 0, NULL);
	load = load_start(&s, "0.2");
	ck_assert_int_eq(process_wait(load, STOP_TIMEOUT_MS), 0);
	empty = harness_write("empty", "");
	ck_assert_int_eq(check_exit("empty"), 1);
	g_free(empty);
	process_free(load);
	process_free(s.process);
	harness_cleanup();
}
END_TEST

START_TEST(upstream_finishes_running_calls_before_it_stops)
{
	struct process *load;
	struct standin s;

	upstream_start(&s, 0, NULL);
	standin_knobs(&s, "{\"work_ms_mean\":100}");
	load = load_start(&s, "0.5");
	g_usleep(300 * 1000);
	ck_assert_int_eq(process_stop(s.process, STOP_TIMEOUT_MS), 0);
	ck_assert_int_eq(process_wait(load, STOP_TIMEOUT_MS), 0);
	ck_assert_int_eq(load_count(load, "no_answer"), 0);
	ck_assert_int_eq(load_count(load, "cut"), 0);
	ck_assert_int_eq(check_exit("h0"), 0);
	process_free(load);
	process_free(s.process);
	harness_cleanup();
}
END_TEST

/* A client that reuses connections sends a POST again if the server closes the
 * kept-alive connection, so the upstream runs the call twice. */
START_TEST(kept_alive_close_makes_libcurl_send_a_post_again)
{
	char url[URL_BYTES];
	CURL *c = curl_easy_init();
	FILE *sink = fopen("/dev/null", "w");
	struct standin s;

	upstream_start(&s, 0, NULL);
	standin_knobs(&s, "{\"close_kept_alive\":1}");
	(void)g_snprintf(url, sizeof(url), "%s/bookings", s.url);
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_POSTFIELDS, "x");
	curl_easy_setopt(c, CURLOPT_WRITEDATA, sink);
	ck_assert_int_eq(curl_easy_perform(c), CURLE_OK);
	ck_assert_int_eq(curl_easy_perform(c), CURLE_OK);
	ck_assert_int_eq(standin_count(&s, "/standin/runs", "total"), 3);
	curl_easy_cleanup(c);
	(void)fclose(sink);
	process_free(s.process);
	harness_cleanup();
}
END_TEST

/* A node that only records the states that upstreams announce. */
struct fake_node {
	pthread_mutex_t lock;
	GString *states;
	char last_state[16];
	uint32_t renewals;
};

static void
fake_node_handle(struct mg_connection *conn, void *arg)
{
	char state[16] = "gone";
	GByteArray *body = g_byte_array_new();
	json_t *j;
	struct fake_node *n = arg;

	(void)web_read_body(conn, 4096, body);
	j = json_loadb((char *)body->data, body->len, 0, NULL);
	if (strcmp(mg_get_request_info(conn)->request_method, "PUT") == 0)
		g_strlcpy(state, json_string_value(json_object_get(j, "state")),
		    sizeof(state));
	pthread_mutex_lock(&n->lock);
	if (strcmp(n->last_state, state) != 0)
		g_string_append_printf(n->states, "%s ", state);
	else
		n->renewals++;
	g_strlcpy(n->last_state, state, sizeof(n->last_state));
	pthread_mutex_unlock(&n->lock);
	json_decref(j);
	g_byte_array_unref(body);
	web_respond_json(conn, 200, NULL, json_object());
}

static int
node_received_renewals(void *arg)
{
	int ok;
	struct fake_node *n = arg;

	pthread_mutex_lock(&n->lock);
	ok = strcmp(n->last_state, "ready") == 0 && n->renewals >= 2;
	pthread_mutex_unlock(&n->lock);
	return ok;
}

START_TEST(upstream_announces_renews_drains_and_leaves)
{
	struct fake_node n = {PTHREAD_MUTEX_INITIALIZER, NULL, "", 0};
	struct standin at, s;
	struct web_options o = {NULL, 0, FAKE_NODE_THREADS,
	    FAKE_NODE_KEEP_ALIVE_MS, fake_node_handle, &n};
	struct web_server *web;

	n.states = g_string_new(NULL);
	standin_choose_address(&at, 5);
	o.address = at.address;
	o.port = at.port;
	/* The node starts later, but must still receive "starting" first. */
	upstream_start(&s, 0, at.at);
	g_usleep(NODE_DELAY_MS * 1000);
	ck_assert_int_eq(web_start(&o, &web), STATUS_OK);
	ck_assert(
	    harness_wait_until(node_received_renewals, &n, START_TIMEOUT_MS));
	ck_assert_int_eq(process_stop(s.process, STOP_TIMEOUT_MS), 0);
	web_stop(web);
	ck_assert_str_eq(n.states->str, "starting ready draining gone ");
	g_string_free(n.states, TRUE);
	process_free(s.process);
	harness_cleanup();
}
END_TEST

/* Sends one request on a kept-alive connection; returns curl's result. */
static CURLcode
perform(CURL *c)
{
	return curl_easy_perform(c);
}

START_TEST(relay_silences_open_connections_only)
{
	char url[URL_BYTES];
	CURL *c = curl_easy_init();
	FILE *sink = fopen("/dev/null", "w");
	struct relay *r;
	struct standin s;

	upstream_start(&s, 0, NULL);
	r = relay_start(s.address, s.address, s.port);
	(void)g_snprintf(
	    url, sizeof(url), "http://%s:%u/health", s.address, relay_port(r));
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, sink);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, 300L);
	ck_assert_int_eq(perform(c), CURLE_OK);
	relay_silence_open(r);
	ck_assert_int_eq(perform(c), CURLE_OPERATION_TIMEDOUT);
	ck_assert_int_eq(perform(c), CURLE_OK);
	ck_assert_uint_eq(relay_connections(r), 2);
	relay_set(r, RELAY_CUT);
	ck_assert_int_ne(perform(c), CURLE_OK);
	relay_set(r, RELAY_PASS);
	ck_assert_int_eq(perform(c), CURLE_OK);
	relay_set(r, RELAY_SILENT);
	ck_assert_int_eq(perform(c), CURLE_OPERATION_TIMEDOUT);
	ck_assert_int_eq(perform(c), CURLE_OPERATION_TIMEDOUT);
	relay_stop(r);
	curl_easy_cleanup(c);
	(void)fclose(sink);
	process_free(s.process);
	harness_cleanup();
}
END_TEST

START_TEST(relay_goes_silent_in_the_middle_of_a_transfer)
{
	char url[URL_BYTES];
	struct fetch f = {"GET", url, NULL, NULL, 0, 500};
	struct fetch_answer a;
	struct relay *r;
	struct standin s;

	upstream_start(&s, 0, NULL);
	r = relay_start(s.address, s.address, s.port);
	(void)g_snprintf(url, sizeof(url),
	    "http://%s:%u/documents?answer_bytes=1000000", s.address,
	    relay_port(r));
	relay_silence_after(r, 300000);
	fetch_perform(&f, &a);
	ck_assert_int_eq(a.code, 0);
	ck_assert_uint_ge(a.body->len, 200000);
	ck_assert_uint_lt(a.body->len, 1000000);
	fetch_answer_clear(&a);
	fetch_perform(&f, &a);
	ck_assert_int_eq(a.code, 200);
	ck_assert_uint_gt(a.body->len, 1000000);
	fetch_answer_clear(&a);
	relay_stop(r);
	process_free(s.process);
	harness_cleanup();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("harness");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, platform_loses_the_answer_not_the_write);
	tcase_add_test(tc, platform_fails_and_throttles_on_demand);
	tcase_add_test(tc, load_on_a_healthy_upstream_is_all_done);
	tcase_add_test(tc, runs_without_an_answer_are_unknown);
	tcase_add_test(tc, journal_survives_a_kill_under_load);
	tcase_add_test(tc, check_runs_finds_a_missing_run);
	tcase_add_test(tc, upstream_finishes_running_calls_before_it_stops);
	tcase_add_test(tc, kept_alive_close_makes_libcurl_send_a_post_again);
	tcase_add_test(tc, upstream_announces_renews_drains_and_leaves);
	tcase_add_test(tc, relay_silences_open_connections_only);
	tcase_add_test(tc, relay_goes_silent_in_the_middle_of_a_transfer);
	return harness_run(tc, TEST_TIMEOUT_S);
}
