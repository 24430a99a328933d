/*
 * Tests of the call path as a whole: caller, entry, guard, upstream.
 */
#include <string.h>
#include <unistd.h>

#include "node/snapshot_ref.h"

#include "fixture.h"

static struct fake_upstream *upstream;
static struct test_node *node;

static void
start(void)
{
	struct fake_endpoint ep = {.host = "h1"};

	upstream = fake_upstream_start();
	node = test_node_start("h1", NULL);
	test_node_upstream(node, upstream->port, SERVING_READY);
	ep.port = guard_addr(node->guard).port;
	test_snapshot(&ep, 1);
}

static void
stop(void)
{
	test_node_stop(node);
	fake_upstream_stop(upstream);
	snapshot_ref_publish(NULL);
}

static void
call(const char *method, const char *path, const char *headers,
    const char *body, struct reply *r)
{
	ck_assert(caller_call(callers_port(node->callers), method, path,
	    headers, body, body != NULL ? strlen(body) : 0, r));
}

START_TEST(a_lookup_gets_its_answer)
{
	struct reply r;

	start();
	call("GET", "/look/x?bytes=26", "X-Test-Id: a\r\nTE: trailers\r\n",
	    NULL, &r);
	ck_assert_int_eq(r.status, 200);
	ck_assert(r.whole);
	ck_assert_str_eq(r.fate, "done");
	ck_assert_str_eq(r.version, "1");
	ck_assert_uint_eq(r.body->len, 26);
	ck_assert_int_eq(memcmp(r.body->data, "abcdefghijklm", 13), 0);
	ck_assert_int_eq(fake_upstream_runs(upstream, "a"), 1);
	ck_assert(fake_upstream_saw(upstream, "GET /look/x?bytes=26 HTTP"));
	ck_assert(fake_upstream_saw(upstream, "\r\nBramley-Request-Id: "));
	ck_assert(fake_upstream_saw(upstream, "\r\nBramley-Deadline-Ms: "));
	ck_assert(!fake_upstream_saw(upstream, "\r\nTE: "));
	reply_clear(&r);
	stop();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {a_lookup_gets_its_answer, NULL};

	return fixture_main("call path", tests);
}
