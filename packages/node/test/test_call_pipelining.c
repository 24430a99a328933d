/*
 * Tests of requests that a caller sends ahead on one connection.
 */
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "net/http_server.h"
#include "node/snapshot_ref.h"

#include "fixture.h"

#define REQUESTS 10
#define SLOW_MS 1000
/* Well below SLOW_MS: what begins until then did not wait. */
#define BEGUN_MS 500
#define BIG_BYTES 1000000U
#define DRAIN_MS 5000
/* The first, and the fourth to the eighth. */
#define ABANDONED 6

static struct fake_upstream *upstream;
static struct test_node *node;
static uint64_t start_ms;
static int fd;

/* The connection to the guard is open from here on. */
static void
start(const char *json)
{
	struct reply r;

	test_host_start(json, &upstream, &node);
	ck_assert(caller_call(
	    callers_port(node->callers), "POST", "/book/x", NULL, NULL, 0, &r));
	reply_clear(&r);
	/* Its arrival is before the start. */
	g_usleep(2000);
	fd = caller_connect(callers_port(node->callers));
	ck_assert_int_ge(fd, 0);
	start_ms = clock_now_ms();
}

static void
stop(void)
{
	close(fd);
	test_host_stop(upstream, node);
}

static void
look(const char *query)
{
	char path[64];

	(void)g_snprintf(path, sizeof(path), "/look/x?%s", query);
	ck_assert(caller_send(fd, "GET", path, NULL, NULL, 0));
}

/* Requests that reached the upstream within @ms of the start. */
static uint32_t
begun(uint32_t ms)
{
	uint64_t until_ms = start_ms + ms;

	g_usleep((gulong)clock_left_ms(until_ms, clock_now_ms()) * 1000);
	return fake_upstream_arrivals(upstream, start_ms, until_ms);
}

static void
expect_answer(uint32_t bytes, bool closes)
{
	struct reply r;

	ck_assert(caller_read(fd, &r));
	ck_assert_int_eq(r.status, 200);
	ck_assert(r.whole);
	ck_assert_uint_eq(r.body->len, bytes);
	ck_assert_int_eq(r.closes, closes);
	reply_clear(&r);
}

/* Answers that are larger than what is kept for one wait and come whole. */
START_TEST(a_slow_request_holds_up_no_later_one)
{
	char query[32];
	uint32_t i;

	start(NULL);
	(void)g_snprintf(query, sizeof(query), "ms=%d", SLOW_MS);
	look(query);
	for (i = 1; i < REQUESTS; i++) {
		(void)g_snprintf(
		    query, sizeof(query), "bytes=%u", BIG_BYTES + i);
		look(query);
	}
	ck_assert_uint_eq(begun(BEGUN_MS), HTTP_SERVER_OVERLAP_MAX);
	expect_answer(0, false);
	for (i = 1; i < REQUESTS; i++)
		expect_answer(BIG_BYTES + i, false);
	stop();
}
END_TEST

/* A booking may not be repeated; the lookup behind it waits too. */
START_TEST(a_booking_runs_alone)
{
	char query[32];

	start(NULL);
	(void)g_snprintf(query, sizeof(query), "ms=%d&bytes=1", SLOW_MS);
	look(query);
	ck_assert(caller_send(fd, "POST", "/book/x?bytes=2", NULL, "seat", 4));
	look("bytes=3");
	ck_assert_uint_eq(begun(BEGUN_MS), 1);
	expect_answer(1, false);
	expect_answer(2, false);
	expect_answer(3, false);
	stop();
}
END_TEST

/* The route decides, not the method: here a POST may be repeated and a GET may
 * not. */
START_TEST(the_route_decides)
{
	static const char json[] =
	    "{\"format\":1,\"name\":\"b\",\"services\":[{\"name\":"
	    "\"search\",\"limits\":{\"slots_per_endpoint\":64}}],\"routes\":["
	    "{\"prefix\":\"/book\",\"service\":\"search\","
	    "\"methods\":[\"POST\"]},"
	    "{\"prefix\":\"/find\",\"service\":\"search\","
	    "\"methods\":[\"POST\"],\"idempotent\":true}]}";
	int i;

	start(json);
	for (i = 0; i < 3; i++)
		ck_assert(
		    caller_send(fd, "POST", "/find/x?ms=700", NULL, NULL, 0));
	for (i = 0; i < 2; i++)
		ck_assert(
		    caller_send(fd, "POST", "/book/x?ms=700", NULL, NULL, 0));
	ck_assert_uint_eq(begun(BEGUN_MS), 3);
	for (i = 0; i < 5; i++)
		expect_answer(0, false);
	ck_assert_uint_eq(
	    fake_upstream_arrivals(upstream, start_ms, UINT64_MAX), 5);
	stop();
}
END_TEST

static int
abandoned(void *arg)
{
	(void)arg;
	return upstream->abandoned;
}

static int
in_flight(void *arg)
{
	(void)arg;
	return (int)callers_in_flight(node->callers);
}

/* Ten requests: the first runs for 5 s, the second's upstream closes its
 * connection, and the caller leaves once the third is answered. */
START_TEST(each_request_ends_with_its_caller)
{
	int i;

	start(NULL);
	look("ms=5000");
	look("do=ends&bytes=10");
	look("bytes=10");
	for (i = 3; i < REQUESTS; i++)
		look("ms=2000");
	ck_assert_uint_eq(begun(BEGUN_MS), HTTP_SERVER_OVERLAP_MAX);
	close(fd);
	ck_assert(test_wait_int(in_flight, NULL, 0));
	ck_assert(test_wait_int(abandoned, NULL, ABANDONED));
	ck_assert_uint_eq(
	    fake_upstream_arrivals(upstream, start_ms, UINT64_MAX),
	    HTTP_SERVER_OVERLAP_MAX);
	fd = -1;
	stop();
}
END_TEST

/* A node that stops answers what it has read and closes with the last. */
START_TEST(a_drain_answers_what_was_read)
{
	char query[32];
	struct reply r;

	start(NULL);
	(void)g_snprintf(query, sizeof(query), "ms=%d&bytes=1", SLOW_MS);
	look(query);
	look("bytes=2");
	look("ms=700&bytes=3");
	ck_assert_uint_eq(begun(BEGUN_MS), 3);
	callers_drain(node->callers, clock_now_ms() + DRAIN_MS);
	expect_answer(1, false);
	expect_answer(2, false);
	expect_answer(3, true);
	ck_assert(!caller_read(fd, &r));
	reply_clear(&r);
	stop();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {a_slow_request_holds_up_no_later_one,
	    a_booking_runs_alone, the_route_decides,
	    each_request_ends_with_its_caller, a_drain_answers_what_was_read,
	    NULL};

	return fixture_main("call pipelining", tests);
}
