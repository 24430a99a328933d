/*
 * Tests of stops and replacements of a guard during calls.
 */
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "node/snapshot_ref.h"

#include "fixture.h"

#define CALLERS 8

static struct fake_upstream *upstreams[2];
static struct test_node *nodes[2];
static struct fake_endpoint endpoints[2];
static _Atomic bool stopping;

static uint16_t fixed_port;

static void
set_call_port(struct settings *s)
{
	s->call_port = fixed_port;
}

static void
start(uint32_t n)
{
	static const char *const hosts[] = {"h1", "h2"};
	int i;

	for (i = 0; i < 2; i++) {
		upstreams[i] = fake_upstream_start();
		nodes[i] = test_node_start(hosts[i], NULL);
		test_node_upstream(nodes[i], upstreams[i]->port, SERVING_READY);
		endpoints[i].host = hosts[i];
		endpoints[i].port = guard_addr(nodes[i]->guard).port;
	}
	test_snapshot(endpoints + 2 - n, n);
}

static void
stop(void)
{
	int i;

	for (i = 0; i < 2; i++)
		test_node_stop(nodes[i]);
	for (i = 0; i < 2; i++)
		fake_upstream_stop(upstreams[i]);
	snapshot_ref_publish(NULL);
}

/**
 * struct outcome_counts - outcomes of a caller's requests
 * @done: answers
 * @not_run: refusals
 * @unknown: unknown outcomes, truncated and missing answers
 */
struct outcome_counts {
	_Atomic int done;
	int not_run;
	int unknown;
};

static void *
caller_main(void *arg)
{
	struct outcome_counts *t = arg;
	struct reply r;

	while (!stopping) {
		if (!caller_call(callers_port(nodes[0]->callers), "POST",
			"/book/x?ms=3", NULL, "seat", 4, &r) ||
		    !r.whole || strcmp(r.fate, "unknown") == 0)
			t->unknown++;
		else if (r.status == 200)
			t->done++;
		else
			t->not_run++;
		reply_clear(&r);
	}
	return NULL;
}

/* Whether each caller got an answer. */
static int
all_served(void *arg)
{
	const struct outcome_counts *t = arg;
	int i;

	for (i = 0; i < CALLERS; i++)
		if (t[i].done == 0)
			return 0;
	return 1;
}

static int
requests_in_flight(void *arg)
{
	return (int)guard_in_flight(((struct test_node *)arg)->guard);
}

START_TEST(guard_stop_under_load_leaves_no_unknown_outcome)
{
	struct outcome_counts counts[CALLERS] = {0};
	pthread_t threads[CALLERS];
	int i;

	start(2);
	for (i = 0; i < CALLERS; i++)
		ck_assert_int_eq(
		    pthread_create(&threads[i], NULL, caller_main, &counts[i]),
		    0);
	/* All callers must be active when the guard stops. */
	ck_assert(test_wait_int(all_served, counts, 1));
	g_usleep(200000);
	guard_drain(nodes[1]->guard, clock_now_ms() + 5000);
	ck_assert(test_wait_int(requests_in_flight, nodes[1], 0));
	traffic_thread_stop(nodes[1]->traffic);
	g_usleep(100000);
	stopping = true;
	for (i = 0; i < CALLERS; i++) {
		pthread_join(threads[i], NULL);
		ck_assert_int_gt(counts[i].done, 0);
		ck_assert_int_eq(counts[i].unknown, 0);
		ck_assert_int_eq(counts[i].not_run, 0);
	}
	stop();
}
END_TEST

static int
running(void *arg)
{
	return ((struct fake_upstream *)arg)->running;
}

static void *
book_slowly(void *arg)
{
	(void)caller_call(callers_port(nodes[0]->callers), "POST",
	    "/book/x?ms=400", "X-Test-Id: slow\r\n", "seat", 4, arg);
	return NULL;
}

/* The new process has no record of the requests of the old one. */
START_TEST(replaced_guard_leaves_outcome_unknown)
{
	struct test_node *other;
	struct reply r;
	pthread_t thread;

	start(1);
	fixed_port = endpoints[1].port;
	ck_assert_int_eq(pthread_create(&thread, NULL, book_slowly, &r), 0);
	ck_assert(test_wait_int(running, upstreams[1], 1));
	test_node_stop(nodes[1]);
	nodes[1] = NULL;
	other = test_node_start("h2", set_call_port);
	test_node_upstream(other, upstreams[1]->port, SERVING_READY);
	pthread_join(thread, NULL);
	ck_assert_int_eq(r.status, 504);
	ck_assert_str_eq(r.fate, "unknown");
	ck_assert_int_eq(fake_upstream_runs(upstreams[1], "slow"), 1);
	reply_clear(&r);
	nodes[1] = other;
	stop();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {
	    guard_stop_under_load_leaves_no_unknown_outcome,
	    replaced_guard_leaves_outcome_unknown, NULL};

	return fixture_main("call drain", tests);
}
