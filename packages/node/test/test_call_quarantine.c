/*
 * A request that is quarantined, at entry and guard: what waits is answered at
 * once, what runs runs on, what is new is refused, and others are served.
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
/* Far below the time that the running one takes. */
#define AT_ONCE_MS 400
#define STEP_US 5000

static struct fake_upstream *upstream;
static struct test_node *node;

/* With one slot, so that all calls but one wait. */
static void
start(void)
{
	struct guard_endpoint ep = {.service = "search",
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
tell(enum quarantine_kind kind)
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

/** struct asked - a call in a thread of its own */
struct asked {
	pthread_t thread;
	struct reply reply;
	uint64_t ended_ms;
};

static void *
ask(void *arg)
{
	struct asked *a = arg;

	ck_assert(caller_call(
	    callers_port(node->callers), "GET", PATH, "", NULL, 0, &a->reply));
	a->ended_ms = clock_now_ms();
	return NULL;
}

static void
ask_begin(struct asked *a)
{
	ck_assert_int_eq(pthread_create(&a->thread, NULL, ask, a), 0);
}

static int
running(void *arg)
{
	(void)arg;
	return upstream->running;
}

static void
check_refused(struct asked *a, uint64_t from_ms)
{
	(void)pthread_join(a->thread, NULL);
	ck_assert_int_eq(a->reply.status, 503);
	ck_assert_str_eq(a->reply.fate, "not_run");
	ck_assert_uint_lt(a->ended_ms, from_ms + AT_ONCE_MS);
	reply_clear(&a->reply);
}

START_TEST(what_waits_is_answered_at_once_and_what_runs_runs_on)
{
	struct asked first, waiting[WAITING], late;
	uint64_t held_ms;
	int i;

	start();
	ask_begin(&first);
	ck_assert(test_wait_int(running, NULL, 1));
	for (i = 0; i < WAITING; i++)
		ask_begin(&waiting[i]);
	while (guard_in_flight(node->guard) < 1 + WAITING)
		g_usleep(STEP_US);
	held_ms = clock_now_ms();
	tell(QUARANTINE_HELD);
	for (i = 0; i < WAITING; i++)
		check_refused(&waiting[i], held_ms);
	held_ms = clock_now_ms();
	ask_begin(&late);
	check_refused(&late, held_ms);
	(void)pthread_join(first.thread, NULL);
	ck_assert_int_eq(first.reply.status, 200);
	reply_clear(&first.reply);
	stop();
}
END_TEST

/* While one copy of a suspect runs, a second one is not started, and what runs
 * runs on; its answer clears it. */
START_TEST(one_copy_of_a_suspect_runs_until_it_is_answered)
{
	struct asked first, second, third;

	start();
	tell(QUARANTINE_CRASH);
	ask_begin(&first);
	ck_assert(test_wait_int(running, NULL, 1));
	ask_begin(&second);
	check_refused(&second, clock_now_ms());
	(void)pthread_join(first.thread, NULL);
	ck_assert_int_eq(first.reply.status, 200);
	reply_clear(&first.reply);
	ask_begin(&third);
	(void)pthread_join(third.thread, NULL);
	ck_assert_int_eq(third.reply.status, 200);
	reply_clear(&third.reply);
	stop();
}
END_TEST

START_TEST(undecided_request_is_refused_at_once)
{
	struct asked a;
	uint64_t from_ms;
	int i;

	start();
	for (i = 0; i < QUARANTINE_CRASHES; i++)
		tell(QUARANTINE_CRASH);
	g_usleep(STEP_US * 4);
	from_ms = clock_now_ms();
	ask_begin(&a);
	check_refused(&a, from_ms);
	ck_assert_int_eq(upstream->running, 0);
	stop();
}
END_TEST

START_TEST(others_are_served_and_a_release_ends_it)
{
	struct reply r;
	int i;

	start();
	for (i = 0; i < 2; i++) {
		tell(i == 0 ? QUARANTINE_HELD : QUARANTINE_CLEARED);
		g_usleep(STEP_US * 4);
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
	    what_waits_is_answered_at_once_and_what_runs_runs_on,
	    one_copy_of_a_suspect_runs_until_it_is_answered,
	    undecided_request_is_refused_at_once,
	    others_are_served_and_a_release_ends_it,
	    NULL,
	};

	return fixture_main("call_quarantine", tests);
}
