/*
 * Crowds of clients that send a part of a message and stay, at each port of a
 * node.  The nodes live, their memory stays within that of the smallest machine
 * and their descriptors within their limit, an ordinary request is answered
 * beside the crowd and behind it, and the memory is given back.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>
#include <curl/curl.h>
#include <glib.h>

#include "crowd.h"
#include "deployment.h"
#include "fetch.h"
#include "test_run.h"

#define TEST_TIMEOUT_S 240
#define VERSION_TIMEOUT_MS 15000
/* Guards against a hang; the test asserts no time. */
#define ANSWER_TIMEOUT_MS 60000
#define REQUEST_TIMEOUT_MS 5000
/* Memory of the smallest machine of the sheets. */
#define MEMORY_MAX_KB (160 * 1024)
/* The same when the crowd has left. */
#define MEMORY_AFTER_KB (MEMORY_MAX_KB / 2)
#define NODE_DESCRIPTORS 4100
#define FEW_DESCRIPTORS 512
#define BODY_BYTES 1024
#define HTTP_OK 200
#define URL_BYTES 128

#define TEXT(s) s, sizeof(s) - 1
#define FOUR(s) s s s s
#define KILOBYTE FOUR(FOUR(FOUR("0123456789abcdef")))
#define CHUNK_16K "4000\r\n" FOUR(FOUR(KILOBYTE)) "\r\n"

#define CHUNKED(path)                     \
	TEXT("POST " path " HTTP/1.1\r\n" \
	     "Host: h\r\n"                \
	     "Transfer-Encoding: chunked\r\n\r\n")

/* Lengths of frames, most significant byte first, and a type. */
#define CALL_FRAME TEXT("\x00\x03\xf0\x00\x01")
#define PEER_FRAME TEXT("\x00\x0f\xf0\x00\x01")

static const struct crowd_plan tiny_chunks = {"chunks of one byte", 100,
    CHUNKED("/documents"), TEXT("1\r\nx\r\n"), 30000};
static const struct crowd_plan tiny_chunks_few = {"chunks of one byte, few", 60,
    CHUNKED("/documents"), TEXT("1\r\nx\r\n"), 30000};
static const struct crowd_plan short_uploads = {"bodies that reach the guards",
    2000, CHUNKED("/documents"), TEXT("400\r\n" KILOBYTE "\r\n"), 29};
static const struct crowd_plan large_chunks = {
    "chunks of 16 kB", 1500, CHUNKED("/documents"), TEXT(CHUNK_16K), 64};
static const struct crowd_plan large_bookings = {"chunks of 16 kB of bookings",
    1500, CHUNKED("/bookings"), TEXT(CHUNK_16K), 60};
static const struct crowd_plan short_lines = {"short lines of a head", 1500,
    TEXT("GET /search HTTP/1.1\r\n"), TEXT("a:\r\n"), 16000};
static const struct crowd_plan short_bodies = {"bodies with a length", 3000,
    TEXT("POST /documents HTTP/1.1\r\nHost: h\r\n"
	 "Content-Length: 32768\r\n\r\n"),
    TEXT(KILOBYTE), 31};
static const struct crowd_plan sent_ahead = {"requests sent ahead", 2000,
    TEXT("POST /documents HTTP/1.1\r\nHost: h\r\n"
	 "Content-Length: 100000\r\n\r\n"),
    TEXT("POST /documents HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"),
    2500};
static const struct crowd_plan uploads = {"uploads to the administration", 20,
    TEXT("POST /v1/versions HTTP/1.1\r\nHost: h\r\n"
	 "Content-Length: 20000000\r\n\r\n"),
    TEXT(KILOBYTE), 12000};
static const struct crowd_plan admin_lines = {
    "short lines of a head to the administration", 700,
    TEXT("GET /v1/health HTTP/1.1\r\n"), TEXT("a:\r\n"), 16000};
static const struct crowd_plan call_frames = {
    "frames to the calls of peers", 1000, CALL_FRAME, TEXT(KILOBYTE), 250};
static const struct crowd_plan peer_frames = {
    "frames to the control of peers", 400, PEER_FRAME, TEXT(KILOBYTE), 1000};

static struct deployment *deployment;
static struct host *subject;
static struct crowd *crowd;

static void
start(uint32_t descriptors)
{
	struct deployment_plan plan = deployment_registry;
	char *bundle = deployment_example("registry.json");

	plan.node_descriptors = descriptors;
	plan.node_settings = "{\"log_level\":\"info\"}";
	deployment = deployment_new(&plan);
	deployment_start(deployment);
	subject = deployment_host(deployment, 0);
	(void)deployment_wait_version(deployment,
	    deployment_sign_off(subject, bundle), VERSION_TIMEOUT_MS);
	deployment_wait_serving(deployment, VERSION_TIMEOUT_MS);
	g_free(bundle);
}

static void
setup(void)
{
	start(NODE_DESCRIPTORS);
}

static void
setup_few_descriptors(void)
{
	start(FEW_DESCRIPTORS);
}

static void
teardown(void)
{
	crowd_free(crowd);
	crowd = NULL;
	ck_assert_int_eq(deployment_stop(deployment), 0);
	deployment_free(deployment);
	harness_cleanup();
}

/* Memory */

/* A line of /proc/PID/status such as "VmHWM:   1234 kB". */
static uint32_t
memory_kb(const struct host *h, const char *name)
{
	char path[URL_BYTES], *text = NULL, *line;
	uint32_t kb;

	(void)g_snprintf(
	    path, sizeof(path), "/proc/%d/status", (int)process_pid(h->node));
	ck_assert_msg(g_file_get_contents(path, &text, NULL, NULL),
	    "the process of %s is gone", h->name);
	line = strstr(text, name);
	ck_assert_msg(line != NULL, "the process of %s has ended", h->name);
	kb = (uint32_t)strtoul(line + strlen(name), NULL, 10);
	g_free(text);
	return kb;
}

/* All nodes live, and none has exceeded the memory of its machine. */
static void
check_nodes(uint32_t descriptors)
{
	struct host *h;
	uint32_t i, kb, fds;

	for (i = 0; i < deployment->hosts->len; i++) {
		h = deployment_host(deployment, i);
		ck_assert_msg(!process_has_exited(h->node),
		    "the node of %s has ended; see %s", h->name,
		    process_log_path(h->node));
		kb = memory_kb(h, "VmHWM:");
		fds = process_descriptors(h->node);
		(void)printf("%s: peak %u MB, %u descriptors\n", h->name,
		    kb / 1024, fds);
		ck_assert_uint_le(kb, MEMORY_MAX_KB);
		ck_assert_uint_le(fds, descriptors);
	}
}

static int
has_given_back(void *unused)
{
	uint32_t i;

	(void)unused;
	for (i = 0; i < deployment->hosts->len; i++)
		if (memory_kb(deployment_host(deployment, i), "VmRSS:") >
		    MEMORY_AFTER_KB)
			return 0;
	return 1;
}

/* Ordinary requests */

/**
 * struct ordinary - a request inside all limits
 * @method: its method
 * @path: its path
 * @code: status of its last answer
 */
struct ordinary {
	const char *method;
	const char *path;
	int code;
};

static int
is_answered(void *arg)
{
	static const char body[BODY_BYTES];
	struct ordinary *o = arg;
	bool has_body = strcmp(o->method, "POST") == 0;
	char url[URL_BYTES];
	struct fetch f = {o->method, url, NULL, has_body ? body : NULL,
	    has_body ? sizeof(body) : 0, REQUEST_TIMEOUT_MS};
	struct fetch_answer a;

	(void)g_snprintf(url, sizeof(url), "http://%s:%u%s", subject->address,
	    subject->caller_port, o->path);
	fetch_perform(&f, &a);
	o->code = a.code;
	fetch_answer_clear(&a);
	return o->code == HTTP_OK;
}

/* Callers whose request was refused come back. */
static void
check_ordinary(const char *method, const char *path)
{
	struct ordinary o = {method, path, 0};

	ck_assert_msg(harness_wait_until(is_answered, &o, ANSWER_TIMEOUT_MS),
	    "%s %s is not answered, last %d", method, path, o.code);
}

static void
check_all_ordinary(void)
{
	check_ordinary("GET", "/search");
	check_ordinary("POST", "/bookings");
	check_ordinary("POST", "/documents");
}

/* Crowds */

static void
check_crowd(uint32_t descriptors)
{
	crowd_send(crowd);
	(void)printf("%u connections are open\n", crowd_open(crowd));
	check_nodes(descriptors);
	check_all_ordinary();
	check_nodes(descriptors);
	crowd_leave(crowd);
	check_all_ordinary();
	check_nodes(descriptors);
	ck_assert_msg(
	    harness_wait_until(has_given_back, NULL, ANSWER_TIMEOUT_MS),
	    "the memory is not given back");
}

static void
play(const struct crowd_plan *plan, uint16_t port)
{
	(void)printf("%u connections, %s\n", plan->connections, plan->name);
	crowd = crowd_new(plan);
	crowd_join(crowd, subject->address, port);
	check_crowd(NODE_DESCRIPTORS);
}

START_TEST(chunks_of_one_byte)
{
	play(&tiny_chunks, subject->caller_port);
}
END_TEST

START_TEST(large_chunks_of_uploads)
{
	play(&large_chunks, subject->caller_port);
}
END_TEST

START_TEST(large_chunks_of_bookings)
{
	play(&large_bookings, subject->caller_port);
}
END_TEST

START_TEST(heads_of_short_lines)
{
	play(&short_lines, subject->caller_port);
}
END_TEST

START_TEST(bodies_with_a_length)
{
	play(&short_bodies, subject->caller_port);
}
END_TEST

START_TEST(requests_sent_ahead)
{
	play(&sent_ahead, subject->caller_port);
}
END_TEST

START_TEST(uploads_to_the_administration)
{
	play(&uploads, subject->admin_port);
}
END_TEST

START_TEST(heads_to_the_administration)
{
	play(&admin_lines, subject->admin_port);
}
END_TEST

START_TEST(frames_to_the_calls_of_peers)
{
	play(&call_frames, subject->call_port);
}
END_TEST

START_TEST(frames_to_the_control_of_peers)
{
	play(&peer_frames, subject->peer_port);
}
END_TEST

/* Guards against a crowd that is spread over all nodes. */
static void
play_at_all(const struct crowd_plan *plan)
{
	struct host *h;
	uint32_t i;

	(void)printf(
	    "%u connections at each node, %s\n", plan->connections, plan->name);
	crowd = crowd_new(plan);
	for (i = 0; i < deployment->hosts->len; i++) {
		h = deployment_host(deployment, i);
		crowd_join(crowd, h->address, h->caller_port);
	}
	check_crowd(NODE_DESCRIPTORS);
}

START_TEST(a_crowd_at_all_nodes)
{
	play_at_all(&tiny_chunks_few);
}
END_TEST

/* Guards against bodies that stop before their guard has enough of them to
 * queue them: all nodes send them to the guards of one service. */
START_TEST(a_crowd_that_reaches_the_guards)
{
	play_at_all(&short_uploads);
}
END_TEST

/* Guards against bodies that hold all descriptors of callers. */
START_TEST(bodies_that_hold_all_descriptors)
{
	crowd = crowd_new(&large_chunks);
	crowd_join(crowd, subject->address, subject->caller_port);
	check_crowd(FEW_DESCRIPTORS);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("clients");
	TCase *few = tcase_create("clients_few_descriptors");
	Suite *s = suite_create("clients");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, TEST_TIMEOUT_S);
	tcase_add_test(tc, chunks_of_one_byte);
	tcase_add_test(tc, large_chunks_of_uploads);
	tcase_add_test(tc, large_chunks_of_bookings);
	tcase_add_test(tc, heads_of_short_lines);
	tcase_add_test(tc, bodies_with_a_length);
	tcase_add_test(tc, requests_sent_ahead);
	tcase_add_test(tc, uploads_to_the_administration);
	tcase_add_test(tc, heads_to_the_administration);
	tcase_add_test(tc, frames_to_the_calls_of_peers);
	tcase_add_test(tc, frames_to_the_control_of_peers);
	tcase_add_test(tc, a_crowd_at_all_nodes);
	tcase_add_test(tc, a_crowd_that_reaches_the_guards);
	tcase_add_checked_fixture(few, setup_few_descriptors, teardown);
	tcase_set_timeout(few, TEST_TIMEOUT_S);
	tcase_add_test(few, bodies_that_hold_all_descriptors);
	suite_add_tcase(s, tc);
	suite_add_tcase(s, few);
	return test_run(s);
}
