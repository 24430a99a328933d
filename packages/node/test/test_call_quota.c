/*
 * Tests of a customer's limit over the entries and homes of real nodes.
 */
#include <pthread.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/hash.h"
#include "config/customer.h"
#include "node/snapshot_ref.h"
#include "quota/limit.h"
#include "quota/roster.h"

#include "fixture.h"

#define NODES 3
#define CALLERS 9
/* Pause of each caller between two requests, which makes five times the limit.
 */
#define CALL_EVERY_MS 90

#define RATE_PER_S 20
#define BURST 5
#define RUN_MS 4000
/* What callers and operators are promised: see docs/design/quota.md. */
#define MOST ((RATE_PER_S * RUN_MS / 1000 + BURST) * 11 / 10 + 20)
#define LEAST (RATE_PER_S * RUN_MS / 1000 * 9 / 10)

#define SETTLE_MS 1500

static const char bundle[] =
    "{\"format\":1,\"name\":\"test\",\"services\":[{\"name\":\"search\"}],"
    "\"routes\":[{\"prefix\":\"/look\",\"methods\":[\"GET\"],"
    "\"service\":\"search\",\"idempotent\":true}],"
    "\"customers\":[{\"name\":\"limited\",\"keys\":[\"one\"],"
    "\"rate_per_s\":20,\"burst\":5},{\"name\":\"free\",\"keys\":[\"two\"]}]}";

static const char *const hosts[NODES] = {"h1", "h2", "h3"};
static struct fake_upstream *upstreams[NODES];
static struct test_node *nodes[NODES];
static pthread_t threads[CALLERS];
static _Atomic bool stopping;
static _Atomic uint32_t n_served, n_limited, n_other;
static const char *key_line;
static uint16_t ports[NODES];
static _Atomic uint32_t stopped_node;

static void
start(void)
{
	struct fake_endpoint endpoints[NODES];
	int i;

	for (i = 0; i < NODES; i++) {
		upstreams[i] = fake_upstream_start();
		nodes[i] = test_node_start(hosts[i], NULL);
		test_node_upstream(nodes[i], upstreams[i]->port, SERVING_READY);
		endpoints[i].host = hosts[i];
		endpoints[i].port = guard_addr(nodes[i]->guard).port;
		ports[i] = callers_port(nodes[i]->callers);
	}
	test_snapshot_of(bundle, endpoints, NODES);
	for (i = 0; i < NODES; i++)
		entry_snapshot_changed(nodes[i]->entry);
	stopped_node = NODES;
}

static void
stop(void)
{
	uint32_t i;

	for (i = 0; i < NODES; i++)
		if (i != stopped_node)
			test_node_stop(nodes[i]);
	for (i = 0; i < NODES; i++)
		fake_upstream_stop(upstreams[i]);
	snapshot_ref_publish(NULL);
}

static void
count(const struct reply *r)
{
	if (r->status == 200)
		n_served++;
	else if (r->status == 429 && strtod(r->retry_after, NULL) > 0)
		n_limited++;
	else
		n_other++;
}

static void *
caller_main(void *arg)
{
	uint32_t node = GPOINTER_TO_UINT(arg) % NODES;
	struct reply r;

	while (!stopping) {
		if (node == stopped_node)
			node = (node + 1) % NODES;
		if (caller_call(
			ports[node], "GET", "/look/x", key_line, NULL, 0, &r)) {
			count(&r);
			reply_clear(&r);
		}
		g_usleep(CALL_EVERY_MS * 1000);
	}
	return NULL;
}

static void
start_callers(const char *line)
{
	uint32_t i;

	stopping = false;
	key_line = line;
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

static void
measure(uint32_t run_ms)
{
	n_served = n_limited = n_other = 0;
	g_usleep(run_ms * 1000);
}

START_TEST(a_limit_holds_over_all_nodes_and_is_used)
{
	start();
	start_callers("Bramley-Customer-Key: one\r\n");
	g_usleep(SETTLE_MS * 1000);
	measure(RUN_MS);
	ck_assert_uint_le(n_served, MOST);
	ck_assert_uint_ge(n_served, LEAST);
	ck_assert_uint_gt(n_limited, n_served);
	ck_assert_uint_eq(n_other, 0);
	stop_callers();
	stop();
}
END_TEST

/* An entry that has just started doesn't know all hosts, so that its home has
 * accrued next to nothing. */
START_TEST(a_limit_is_not_called_used_up_before_the_hosts_are_known)
{
	uint64_t known_ms = clock_now_ms() + QUOTA_ROSTER_SETTLE_MS;
	struct reply r;

	start();
	ck_assert(caller_call(callers_port(nodes[0]->callers), "GET", "/look/x",
	    "Bramley-Customer-Key: one\r\n", NULL, 0, &r));
	if (clock_now_ms() < known_ms) {
		ck_assert_int_eq(r.status, 503);
		ck_assert(strtod(r.retry_after, NULL) > 0);
	}
	ck_assert_int_ne(r.status, 429);
	reply_clear(&r);
	stop();
}
END_TEST

START_TEST(a_customer_without_a_limit_is_not_limited)
{
	start();
	start_callers("Bramley-Customer-Key: two\r\n");
	g_usleep(SETTLE_MS * 1000);
	measure(1000);
	ck_assert_uint_gt(n_served, 2 * RATE_PER_S);
	ck_assert_uint_eq(n_limited + n_other, 0);
	stop_callers();
	stop();
}
END_TEST

/* Number of the node that is the home of the limited customer. */
static uint32_t
find_home(void)
{
	char key[16];
	uint32_t i, best = 0;

	(void)g_snprintf(
	    key, sizeof(key), "quota-%u", quota_shard(customer_id("limited")));
	for (i = 1; i < NODES; i++)
		if (hash_rendezvous(key, hosts[i]) >
		    hash_rendezvous(key, hosts[best]))
			best = i;
	return best;
}

/* Two of three entries report to the successor, which grants their part. */
START_TEST(a_limit_holds_when_the_home_ends)
{
	start();
	start_callers("Bramley-Customer-Key: one\r\n");
	g_usleep(SETTLE_MS * 1000);
	stopped_node = find_home();
	g_usleep(200 * 1000);
	test_node_stop(nodes[stopped_node]);
	g_usleep(SETTLE_MS * 1000);
	measure(RUN_MS);
	ck_assert_uint_le(n_served, MOST);
	ck_assert_uint_ge(n_served, LEAST * 2 / 3);
	stop_callers();
	stop();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {a_limit_holds_over_all_nodes_and_is_used,
	    a_limit_is_not_called_used_up_before_the_hosts_are_known,
	    a_customer_without_a_limit_is_not_limited,
	    a_limit_holds_when_the_home_ends, NULL};

	return fixture_main("call quota", tests);
}
