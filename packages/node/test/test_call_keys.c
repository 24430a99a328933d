/*
 * Tests of idempotency keys through the whole call path.
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "node/snapshot_ref.h"

#include "fixture.h"

#define WINDOW_MS 5000
#define SUSPICION_MS 100
#define START_WAIT_MS (WINDOW_MS + 3 * SUSPICION_MS)
/* For how long a key is repeated while its request is held. */
#define HOLD_MS 200

static struct fake_upstream *upstreams[2];
static struct test_node *nodes[2];
static struct fake_endpoint endpoints[2];
static uint64_t window_ends_ms;

static void
set_short_windows(struct settings *s)
{
	s->fate_window_ms = WINDOW_MS;
	s->suspicion_ms = SUSPICION_MS;
}

/* Starts two nodes with an upstream each; the first @n are in the snapshot.
 * The window of a key that is used from now on has not ended before
 * window_ends_ms. */
static void
start(uint32_t n)
{
	static const char *const hosts[] = {"h1", "h2"};
	int i;

	for (i = 0; i < 2; i++) {
		upstreams[i] = fake_upstream_start();
		nodes[i] = test_node_start(hosts[i], set_short_windows);
		endpoints[i].host = hosts[i];
		endpoints[i].port = guard_addr(nodes[i]->guard).port;
	}
	test_snapshot(endpoints, n);
	for (i = 0; i < 2; i++)
		test_node_upstream(nodes[i], upstreams[i]->port, SERVING_READY);
	for (i = 0; i < 2; i++)
		test_node_wait(nodes[i]);
	g_usleep(START_WAIT_MS * 1000);
	window_ends_ms = clock_now_ms() + WINDOW_MS;
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

static int
runs(const char *id)
{
	return fake_upstream_runs(upstreams[0], id) +
	    fake_upstream_runs(upstreams[1], id);
}

/* Sends a booking through node @through; @key is its idempotency key and test
 * id. */
static void
book(int through, const char *key, const char *path, const char *body,
    struct reply *r)
{
	char headers[128];

	(void)snprintf(headers, sizeof(headers),
	    "Idempotency-Key: %s\r\nX-Test-Id: %s\r\n", key, key);
	ck_assert(caller_call(callers_port(nodes[through]->callers), "POST",
	    path, headers, body, strlen(body), r));
	ck_assert_msg(clock_now_ms() < window_ends_ms,
	    "%s: not answered within the window", key);
}

static void
expect_reply(int through, const char *key, const char *body, int status,
    const char *fate)
{
	struct reply r;

	book(through, key, "/book/x?bytes=10", body, &r);
	ck_assert_msg(r.status == status && strcmp(r.fate, fate) == 0,
	    "%s: %d %s", key, r.status, r.fate);
	reply_clear(&r);
}

START_TEST(a_repeated_key_gets_the_first_answer)
{
	char key[16];
	int i;

	start(2);
	for (i = 0; i < 8; i++) {
		(void)snprintf(key, sizeof(key), "k%d", i);
		expect_reply(0, key, "seat 1", 200, "done");
		expect_reply(1, key, "seat 1", 200, "done");
		expect_reply(0, key, "seat 2", 409, "not_run");
		ck_assert_int_eq(runs(key), 1);
	}
	stop();
}
END_TEST

static struct reply replies[2];

static void *
book_held(void *arg)
{
	int through = GPOINTER_TO_INT(arg);

	book(through, "same", "/book/x?bytes=10&do=hold", "seat",
	    &replies[through]);
	return NULL;
}

static int
in_flight(void *arg)
{
	int i, n = 0;

	(void)arg;
	for (i = 0; i < 2; i++)
		n += (int)callers_in_flight(nodes[i]->callers);
	return n;
}

START_TEST(a_key_repeated_while_it_runs_gets_the_same_answer)
{
	pthread_t threads[2];
	int i;

	start(2);
	for (i = 0; i < 2; i++)
		ck_assert_int_eq(pthread_create(&threads[i], NULL, book_held,
				     GINT_TO_POINTER(i)),
		    0);
	ck_assert(test_wait_int(in_flight, NULL, 2));
	g_usleep(HOLD_MS * 1000);
	ck_assert_int_eq(in_flight(NULL), 2);
	for (i = 0; i < 2; i++)
		fake_upstream_release(upstreams[i]);
	for (i = 0; i < 2; i++) {
		pthread_join(threads[i], NULL);
		ck_assert_int_eq(replies[i].status, 200);
		ck_assert_uint_eq(replies[i].body->len, 10);
		reply_clear(&replies[i]);
	}
	ck_assert_int_eq(runs("same"), 1);
	stop();
}
END_TEST

/* Requests that ran at the earlier home of their key don't run again; new ones
 * do. */
START_TEST(new_home_resolves_keys_of_the_earlier_one)
{
	struct reply r;
	char key[16];
	int i, settled = 0;

	start(1);
	for (i = 0; i < 12; i++) {
		(void)snprintf(key, sizeof(key), "k%d", i);
		expect_reply(0, key, "seat", 200, "done");
	}
	test_snapshot(endpoints, 2);
	g_usleep(50000);
	for (i = 0; i < 12; i++) {
		(void)snprintf(key, sizeof(key), "k%d", i);
		book(1, key, "/book/x?bytes=10", "seat", &r);
		ck_assert_int_eq(runs(key), 1);
		ck_assert_str_ne(r.fate, "not_run");
		settled += r.status == 200;
		reply_clear(&r);
		(void)snprintf(key, sizeof(key), "n%d", i);
		expect_reply(1, key, "seat", 200, "done");
		ck_assert_int_eq(runs(key), 1);
	}
	ck_assert_int_lt(settled, 12);
	ck_assert_int_gt(settled, 0);
	stop();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {a_repeated_key_gets_the_first_answer,
	    a_key_repeated_while_it_runs_gets_the_same_answer,
	    new_home_resolves_keys_of_the_earlier_one, NULL};

	return fixture_main("call keys", tests);
}
