/*
 * Tests of a quarantined request at entry and guard: queued copies are refused
 * at once, a running copy continues, new ones are refused, other requests are
 * served.
 */
#include <string.h>

#include "base/clock.h"
#include "spread/quarantine_news.h"
#include "traffic/fingerprint.h"
#include "traffic/quarantine.h"

#include "fixture.h"

#define PATH "/look/x?ms=800"
#define OTHER_PATH "/look/y"
#define WAITING 3
#define CALLER "127.0.0.1"
/* Far below the run time of the first request. */
#define REFUSAL_MAX_MS 400
#define POLL_US 5000

static struct fake_upstream *upstream;
static struct test_node *node;

/* The upstream has one slot, so that all calls but one are queued. */
static void
start(void)
{
	struct guard_endpoint ep = {.service = "search",
	    .instance = "",
	    .slots = 1,
	    .state = SERVING_READY,
	    .limits = {.slots_per_endpoint = 1,
		.queue_per_endpoint = 8,
		.queue_wait_ms = 3000,
		.request_max_bytes = 1 << 20}};

	test_host_start(NULL, &upstream, &node);
	ep.port = upstream->port;
	guard_set_endpoints(node->guard, &ep, 1);
	entry_use_quarantine(node->entry, guard_quarantine(node->guard));
}

static void
stop(void)
{
	test_host_stop(upstream, node);
}

static void
apply_item(enum quarantine_kind kind)
{
	const struct fingerprint_parts parts = {
	    .method = "GET", .host = "test", .path = PATH, .caller = CALLER};
	static uint64_t id;
	struct quarantine_item item = {
	    .id = ++id, .kind = kind, .at_ms = clock_now_ms(), .n_prints = 1};
	struct fingerprint f;

	fingerprint_make(&parts, &f);
	item.prints[0].content = f.content;
	item.prints[0].caller = f.caller;
	guard_apply_quarantine_item(node->guard, &item);
}

/** struct async_call - a call in a thread of its own */
struct async_call {
	pthread_t thread;
	struct reply reply;
	uint64_t ended_ms;
};

static void *
async_call_main(void *arg)
{
	struct async_call *a = arg;

	ck_assert(caller_call(
	    callers_port(node->callers), "GET", PATH, "", NULL, 0, &a->reply));
	a->ended_ms = clock_now_ms();
	return NULL;
}

static void
async_call_start(struct async_call *a)
{
	ck_assert_int_eq(
	    pthread_create(&a->thread, NULL, async_call_main, a), 0);
}

static int
running(void *arg)
{
	(void)arg;
	return upstream->running;
}

static void
join_refused(struct async_call *a, uint64_t from_ms)
{
	(void)pthread_join(a->thread, NULL);
	ck_assert_int_eq(a->reply.status, 503);
	ck_assert_str_eq(a->reply.fate, "not_run");
	ck_assert_uint_lt(a->ended_ms, from_ms + REFUSAL_MAX_MS);
	reply_clear(&a->reply);
}

START_TEST(quarantine_refuses_queued_requests_and_keeps_the_running_one)
{
	struct async_call first, waiting[WAITING], late;
	uint64_t held_ms;
	int i;

	start();
	async_call_start(&first);
	ck_assert(test_wait_int(running, NULL, 1));
	for (i = 0; i < WAITING; i++)
		async_call_start(&waiting[i]);
	while (guard_in_flight(node->guard) < 1 + WAITING)
		g_usleep(POLL_US);
	held_ms = clock_now_ms();
	apply_item(QUARANTINE_HELD);
	for (i = 0; i < WAITING; i++)
		join_refused(&waiting[i], held_ms);
	held_ms = clock_now_ms();
	async_call_start(&late);
	join_refused(&late, held_ms);
	(void)pthread_join(first.thread, NULL);
	ck_assert_int_eq(first.reply.status, 200);
	reply_clear(&first.reply);
	stop();
}
END_TEST

/* While one copy of a suspected request runs, a second one is refused and the
 * first one continues; its answer clears the suspicion. */
START_TEST(one_copy_of_a_suspect_runs_at_a_time)
{
	struct async_call first, second, third;

	start();
	apply_item(QUARANTINE_CRASH);
	async_call_start(&first);
	ck_assert(test_wait_int(running, NULL, 1));
	async_call_start(&second);
	join_refused(&second, clock_now_ms());
	(void)pthread_join(first.thread, NULL);
	ck_assert_int_eq(first.reply.status, 200);
	reply_clear(&first.reply);
	async_call_start(&third);
	(void)pthread_join(third.thread, NULL);
	ck_assert_int_eq(third.reply.status, 200);
	reply_clear(&third.reply);
	stop();
}
END_TEST

START_TEST(undecided_request_is_refused_at_once)
{
	struct async_call a;
	uint64_t from_ms;
	int i;

	start();
	for (i = 0; i < QUARANTINE_CRASHES; i++)
		apply_item(QUARANTINE_CRASH);
	g_usleep(POLL_US * 4);
	from_ms = clock_now_ms();
	async_call_start(&a);
	join_refused(&a, from_ms);
	ck_assert_int_eq(upstream->running, 0);
	stop();
}
END_TEST

START_TEST(other_requests_are_served_and_clearing_ends_the_quarantine)
{
	struct reply r;
	int i;

	start();
	for (i = 0; i < 2; i++) {
		apply_item(i == 0 ? QUARANTINE_HELD : QUARANTINE_CLEARED);
		g_usleep(POLL_US * 4);
		ck_assert(caller_call(callers_port(node->callers), "GET",
		    OTHER_PATH, "", NULL, 0, &r));
		ck_assert_int_eq(r.status, 200);
		reply_clear(&r);
		ck_assert(caller_call(
		    callers_port(node->callers), "GET", PATH, "", NULL, 0, &r));
		ck_assert_int_eq(r.status, i == 0 ? 503 : 200);
		reply_clear(&r);
	}
	stop();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {
	    quarantine_refuses_queued_requests_and_keeps_the_running_one,
	    one_copy_of_a_suspect_runs_at_a_time,
	    undecided_request_is_refused_at_once,
	    other_requests_are_served_and_clearing_ends_the_quarantine,
	    NULL,
	};

	return fixture_main("call_quarantine", tests);
}
