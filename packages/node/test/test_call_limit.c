/*
 * Tests of what upstreams report about themselves in their answers: the limit
 * on their requests, and that they leave.
 */
#include <pthread.h>
#include <stdlib.h>

#include "base/clock.h"
#include "node/snapshot_ref.h"

#include "fixture.h"

#define NODES 3
#define CALLERS 12
/* Pause of each caller between two requests. */
#define CALL_EVERY_MS 75

#define LIMIT_PER_S 10
#define LIMIT_LINE "Bramley-Upstream-Limit: 10\r\n"
/* At most one and a half times the limit in this window, and the excess. */
#define WINDOW_MS 4000
#define EXCESS 5
#define WINDOW_MAX (LIMIT_PER_S * 3 / 2 * WINDOW_MS / 1000 + EXCESS)
/* Time in which nodes learn from the first answer. */
#define LEARN_MS 500

/* Time that an upstream runs a request. */
#define RUN_MS "20"

#define LOW_LIMIT_LINE "Bramley-Upstream-Limit: 1\r\n"
#define LOW_WINDOW_MAX (3 * WINDOW_MS / 2 / 1000 + EXCESS)

/* An entry leaves an endpoint alone for less than this time after the report
 * that it leaves. */
#define LEAVING_MS 7000

#define RETRY_AFTER_MAX_S 60
#define DECIMAL 10

#define LEAVING_LINE "Bramley-Upstream-Leaving: 1\r\n"

static const char *const hosts[NODES] = {"h1", "h2", "h3"};
static struct fake_upstream *upstreams[NODES];
static struct test_node *nodes[NODES];
static struct fake_endpoint endpoints[NODES];
static pthread_t threads[CALLERS];
static _Atomic bool stopping;
static _Atomic uint32_t n_served;
/* Number of the first node that is called. */
static uint32_t first_calling;
static uint16_t fixed_port;

static void
start(uint32_t n_upstreams)
{
	int i;

	for (i = 0; i < NODES; i++) {
		upstreams[i] = fake_upstream_start();
		nodes[i] = test_node_start(hosts[i], NULL);
		test_node_upstream(nodes[i], upstreams[i]->port, SERVING_READY);
		endpoints[i].host = hosts[i];
		endpoints[i].port = guard_addr(nodes[i]->guard).port;
	}
	test_snapshot(endpoints, n_upstreams);
}

static void
stop(void)
{
	int i;

	for (i = 0; i < NODES; i++)
		test_node_stop(nodes[i]);
	for (i = 0; i < NODES; i++)
		fake_upstream_stop(upstreams[i]);
	snapshot_ref_publish(NULL);
}

/* Calls its node with reads or bookings. */
static void *
caller_main(void *arg)
{
	uint32_t number = GPOINTER_TO_UINT(arg);
	uint32_t node = first_calling + number % (NODES - first_calling);
	uint16_t port = callers_port(nodes[node]->callers);
	bool reads = number / NODES % 2 == 0;
	struct reply r;

	while (!stopping) {
		if (caller_call(port, reads ? "GET" : "POST",
			reads ? "/look/x?ms=" RUN_MS : "/book/x?ms=" RUN_MS,
			NULL, reads ? NULL : "seat", reads ? 0 : 4, &r)) {
			n_served += r.status == 200;
			reply_clear(&r);
		}
		g_usleep(CALL_EVERY_MS * 1000);
	}
	return NULL;
}

static void
start_callers(void)
{
	uint32_t i;

	stopping = false;
	n_served = 0;
	for (i = 0; i < CALLERS; i++)
		ck_assert_int_eq(pthread_create(&threads[i], NULL, caller_main,
				     GUINT_TO_POINTER(i)),
		    0);
}

static void
stop_callers(void)
{
	int i;

	stopping = true;
	for (i = 0; i < CALLERS; i++)
		pthread_join(threads[i], NULL);
}

static int
has_answered(void *arg)
{
	const struct fake_upstream *u = arg;

	return u->answered > 0;
}

/* Waits for the first answer of the first upstream, and until nodes have
 * learned from it: the first requests may find no connection and go elsewhere
 * for a while. */
static void
wait_until_learned(void)
{
	ck_assert(test_wait_int(has_answered, upstreams[0], 1));
	g_usleep(LEARN_MS * 1000);
}

/* Guards against an upstream that gets more than the limit that it names, since
 * no node, or each node by itself, keeps to it. */
START_TEST(a_limit_that_an_upstream_names_holds_over_all_nodes)
{
	uint64_t from_ms;
	uint32_t n;

	start(1);
	fake_upstream_add_headers(upstreams[0], LIMIT_LINE);
	start_callers();
	wait_until_learned();
	from_ms = clock_now_ms();
	g_usleep(WINDOW_MS * 1000);
	stop_callers();
	n = fake_upstream_arrivals(upstreams[0], from_ms, from_ms + WINDOW_MS);
	ck_assert_msg(
	    n <= WINDOW_MAX, "%u requests, allowed %d", n, WINDOW_MAX);
	stop();
}
END_TEST

/* Guards against requests that go on to reach an upstream after its answers
 * have reported that it leaves, while its endpoint is still listed as ready. */
START_TEST(an_upstream_that_reports_its_leaving_gets_no_more_requests)
{
	uint64_t from_ms;
	uint32_t n;

	start(NODES);
	fake_upstream_add_headers(upstreams[0], LEAVING_LINE);
	start_callers();
	wait_until_learned();
	from_ms = clock_now_ms();
	n_served = 0;
	g_usleep(WINDOW_MS * 1000);
	stop_callers();
	n = fake_upstream_arrivals(upstreams[0], from_ms, UINT64_MAX);
	ck_assert_msg(n == 0, "%u requests, allowed none", n);
	ck_assert_uint_gt(n_served, 0);
	stop();
}
END_TEST

static void
set_call_port(struct settings *s)
{
	s->call_port = fixed_port;
}

/* Starts the process of the first host's node again; its upstream lives on. */
static void
restart_guard(void)
{
	fixed_port = endpoints[0].port;
	test_node_stop(nodes[0]);
	nodes[0] = test_node_start("h1", set_call_port);
	test_node_upstream_run(nodes[0], upstreams[0]->port, "run-1");
}

/* The first host has the only upstream, other nodes are called. */
static void
start_behind_first_guard(const char *lines)
{
	start(1);
	test_node_upstream_run(nodes[0], upstreams[0]->port, "run-1");
	first_calling = 1;
	fake_upstream_add_headers(upstreams[0], lines);
	start_callers();
	wait_until_learned();
	restart_guard();
}

static void
stop_behind_first_guard(void)
{
	stop_callers();
	first_calling = 0;
	stop();
}

/* Guards against a guard that has started again and passes as many requests as
 * its upstream has slots, until the upstream's next answer names the limit. */
START_TEST(a_limit_holds_while_its_guard_starts_again)
{
	uint64_t from_ms;
	uint32_t n;

	start_behind_first_guard(LOW_LIMIT_LINE);
	from_ms = clock_now_ms();
	fake_upstream_set_delay(upstreams[0], 1000);
	g_usleep(WINDOW_MS * 1000);
	n = fake_upstream_arrivals(upstreams[0], from_ms, from_ms + WINDOW_MS);
	ck_assert_msg(
	    n <= LOW_WINDOW_MAX, "%u requests, allowed %d", n, LOW_WINDOW_MAX);
	stop_behind_first_guard();
}
END_TEST

/* Guards against a guard that has started again and passes requests of nodes
 * that know that its upstream leaves. */
START_TEST(leaving_holds_while_its_guard_starts_again)
{
	uint64_t from_ms;
	uint32_t n;

	start_behind_first_guard(LEAVING_LINE);
	from_ms = clock_now_ms();
	g_usleep(LEAVING_MS * 1000);
	n = fake_upstream_arrivals(upstreams[0], from_ms, UINT64_MAX);
	ck_assert_msg(n == 0, "%u requests, allowed none", n);
	stop_behind_first_guard();
}
END_TEST

static const char *const retry_after_lines[] = {"Retry-After: -5\r\n",
    "Retry-After: nan\r\n", "Retry-After: 1e300\r\n",
    "Retry-After: 99999999999999999999\r\n", "Retry-After: soon\r\n"};

/* Guards against an upstream's Retry-After that is passed on as a time of
 * weeks, since it is negative, too large or no number. */
START_TEST(an_upstreams_invalid_retry_after_is_not_passed_on)
{
	struct reply r;
	size_t i;

	start(1);
	for (i = 0; i < G_N_ELEMENTS(retry_after_lines); i++) {
		fake_upstream_add_headers(upstreams[0], retry_after_lines[i]);
		ck_assert(caller_call(callers_port(nodes[0]->callers), "GET",
		    "/look/x?do=shed", NULL, NULL, 0, &r));
		ck_assert_int_eq(r.status, 503);
		ck_assert_msg(
		    strtol(r.retry_after, NULL, DECIMAL) <= RETRY_AFTER_MAX_S,
		    "%s answered as %s", retry_after_lines[i], r.retry_after);
		reply_clear(&r);
	}
	stop();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {
	    a_limit_that_an_upstream_names_holds_over_all_nodes,
	    an_upstream_that_reports_its_leaving_gets_no_more_requests,
	    a_limit_holds_while_its_guard_starts_again,
	    leaving_holds_while_its_guard_starts_again,
	    an_upstreams_invalid_retry_after_is_not_passed_on, NULL};

	return fixture_main("call limit", tests);
}
