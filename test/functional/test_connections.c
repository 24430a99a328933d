/*
 * Connections that are held to the ports of a node with few descriptors.
 * Meanwhile each newcomer has to get an answer, and so has the question for the
 * node's health.
 */
#include <errno.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>
#include <curl/curl.h>
#include <glib.h>

#include "base/clock.h"
#include "deployment.h"
#include "fetch.h"

#define TEST_TIMEOUT_S 120
#define VERSION_TIMEOUT_MS 15000
#define NODE_DESCRIPTORS 512
#define HELD 700
#define NEWCOMERS 30
#define NEWCOMER_TIMEOUT_MS 1000
#define NEWCOMER_GAP_US 100000
#define SETTLE_US 300000
#define URL_BYTES 128
/* Connections to peers that come and go. */
#define DESCRIPTORS_SLACK 16

static const char request[] = "GET /search HTTP/1.1\r\nHost: h\r\n\r\n";

static struct deployment *deployment;
static struct host *subject;
static int held[HELD];

/* Connections in use: one in four sends a request each round. */
static uint32_t in_use_round;

static void
setup(void)
{
	struct deployment_plan plan = deployment_registry;
	char *bundle = deployment_example("registry.json");
	uint32_t i;

	for (i = 0; i < HELD; i++)
		held[i] = -1;
	plan.node_descriptors = NODE_DESCRIPTORS;
	deployment = deployment_new(&plan);
	deployment_start(deployment);
	subject = deployment_host(deployment, 0);
	(void)deployment_wait_version(deployment,
	    deployment_sign_off(subject, bundle), VERSION_TIMEOUT_MS);
	deployment_wait_serving(deployment, VERSION_TIMEOUT_MS);
	g_free(bundle);
}

static void
teardown(void)
{
	uint32_t i;

	for (i = 0; i < HELD; i++)
		if (held[i] >= 0)
			(void)close(held[i]);
	ck_assert_int_eq(deployment_stop(deployment), 0);
	deployment_free(deployment);
	harness_cleanup();
}

/* Starts a connection without waiting for it. */
static int
dial(uint16_t port)
{
	struct sockaddr_in at;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	ck_assert_int_ge(fd, 0);
	harness_sockaddr(&at, subject->address, port);
	if (connect(fd, (struct sockaddr *)&at, sizeof(at)) != 0)
		ck_assert_int_eq(errno, EINPROGRESS);
	return fd;
}

static void
hold(uint16_t port)
{
	uint32_t i;

	for (i = 0; i < HELD; i++)
		held[i] = dial(port);
	g_usleep(SETTLE_US);
}

/* One in four of the held connections sends a request and reads what came. */
static void
use_some(void)
{
	char buf[4096];
	uint32_t i;

	for (i = in_use_round++ % 4; i < HELD; i += 4) {
		while (recv(held[i], buf, sizeof(buf), MSG_DONTWAIT) > 0)
			continue;
		(void)send(held[i], request, sizeof(request) - 1,
		    MSG_NOSIGNAL | MSG_DONTWAIT);
	}
}

/* Status of a GET over a new connection, 0 without an answer in time. */
static int
get(uint16_t port, const char *path)
{
	char url[URL_BYTES];
	struct fetch f = {"GET", url, NULL, NULL, 0, NEWCOMER_TIMEOUT_MS};
	struct fetch_answer a;

	(void)g_snprintf(
	    url, sizeof(url), "http://%s:%u%s", subject->address, port, path);
	fetch_perform(&f, &a);
	fetch_answer_clear(&a);
	return a.code;
}

/* Asks as newcomers do; fails when one of them gets no answer. */
static void
ask_as_newcomers(bool use)
{
	uint32_t i, unanswered = 0, refused = 0, unhealthy = 0;
	int code;

	for (i = 0; i < NEWCOMERS; i++) {
		if (use)
			use_some();
		code = get(subject->caller_port, "/search");
		unanswered += code == 0;
		refused += code == 503;
		unhealthy += get(subject->admin_port, "/v1/health") != 200;
		g_usleep(NEWCOMER_GAP_US);
	}
	(void)printf("%u newcomers: %u unanswered, %u refused; health: %u "
		     "unanswered\n",
	    NEWCOMERS, unanswered, refused, unhealthy);
	ck_assert_uint_eq(unanswered, 0);
	ck_assert_uint_eq(unhealthy, 0);
}

/* Guards against idle callers that keep all newcomers out by the descriptors
 * that they hold. */
START_TEST(idle_callers_keep_no_newcomer_out)
{
	hold(subject->caller_port);
	ask_as_newcomers(false);
}
END_TEST

/* Guards against callers in use that keep newcomers waiting without an answer.
 */
START_TEST(callers_in_use_keep_no_newcomer_without_an_answer)
{
	hold(subject->caller_port);
	ask_as_newcomers(true);
}
END_TEST

/* Guards against silent connections of peers that use up the descriptors of
 * callers. */
START_TEST(silent_peers_keep_no_caller_out)
{
	hold(subject->peer_port);
	ask_as_newcomers(false);
}
END_TEST

/* Guards against silent connections of entries that use up the descriptors of
 * callers. */
START_TEST(silent_entries_keep_no_caller_out)
{
	hold(subject->call_port);
	ask_as_newcomers(false);
}
END_TEST

/* Guards against silent connections that keep operators from the node. */
START_TEST(silent_operators_keep_no_operator_out)
{
	hold(subject->admin_port);
	ask_as_newcomers(false);
}
END_TEST

static int
is_back(void *most)
{
	return process_descriptors(subject->node) <= *(uint32_t *)most;
}

/* Guards against descriptors that a node keeps after their connections have
 * ended, of callers, peers, entries and operators alike. */
START_TEST(descriptors_are_given_back)
{
	const uint16_t ports[] = {subject->caller_port, subject->peer_port,
	    subject->call_port, subject->admin_port};
	uint32_t i, k,
	    most = process_descriptors(subject->node) + DESCRIPTORS_SLACK;

	for (i = 0; i < G_N_ELEMENTS(ports); i++) {
		hold(ports[i]);
		ck_assert_uint_le(
		    process_descriptors(subject->node), NODE_DESCRIPTORS);
		for (k = 0; k < HELD; k++) {
			(void)close(held[k]);
			held[k] = -1;
		}
		ck_assert_msg(
		    harness_wait_until(is_back, &most, VERSION_TIMEOUT_MS),
		    "%u descriptors after port %u, %u expected",
		    process_descriptors(subject->node), ports[i], most);
	}
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("connections");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, idle_callers_keep_no_newcomer_out);
	tcase_add_test(tc, callers_in_use_keep_no_newcomer_without_an_answer);
	tcase_add_test(tc, silent_peers_keep_no_caller_out);
	tcase_add_test(tc, silent_entries_keep_no_caller_out);
	tcase_add_test(tc, silent_operators_keep_no_operator_out);
	tcase_add_test(tc, descriptors_are_given_back);
	return harness_run(tc, TEST_TIMEOUT_S);
}
