/*
 * Tests of faults between entry and guard: the answer to the caller, and the
 * number of runs of its request.
 */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "node/snapshot_ref.h"

#include "call_proto.h"
#include "fixture.h"

static struct fake_upstream *upstream;
static struct fake_link *fault_link;
static struct test_node *node;

static void
start(void)
{
	upstream = fake_upstream_start();
	node = test_node_start("h1", NULL);
	test_node_upstream(node, upstream->port, SERVING_READY);
}

static void
stop(void)
{
	test_node_stop(node);
	fake_upstream_stop(upstream);
	snapshot_ref_publish(NULL);
}

/* Routes calls to the guard through a new link. */
static void
link_start(void)
{
	struct fake_endpoint ep = {.host = "h1"};

	fault_link = fake_link_start(guard_addr(node->guard).port);
	ep.port = fake_link_port(fault_link);
	test_snapshot(&ep, 1);
}

static bool
call(const char *method, const char *path, const char *id, const char *body,
    struct reply *r)
{
	char headers[128];

	/* Long enough for two silent links on a loaded machine; the time isn't
	 * tested. */
	(void)snprintf(headers, sizeof(headers),
	    "X-Test-Id: %s\r\nBramley-Deadline-Ms: 10000\r\n", id);
	return caller_call(callers_port(node->callers), method, path, headers,
	    body, body != NULL ? strlen(body) : 0, r);
}

/**
 * struct fault_case - a fault and the expected answer
 * @type: frame at which the link fails
 * @fault: kind of fault
 * @status: HTTP status of the answer
 */
struct fault_case {
	uint8_t type;
	enum link_fault fault;
	int status;
};

/* A fault affects one connection; a new one works, so that each call can be
 * resolved. */
static const struct fault_case faults[] = {
    {MSG_CALL_HELLO, LINK_CUT_BEFORE, 200},
    {MSG_CALL_HELLO_ACK, LINK_CUT_BEFORE, 200},
    {MSG_CALL_HELLO_ACK, LINK_CUT_AFTER, 200},
    {MSG_CALL_OPEN, LINK_CUT_BEFORE, 200},
    {MSG_CALL_OPEN, LINK_CUT_AFTER, 200},
    {MSG_CALL_OPEN, LINK_BLACKHOLE_BEFORE, 200},
    {MSG_CALL_OPEN, LINK_BLACKHOLE_AFTER, 200},
    {MSG_CALL_CHUNK, LINK_CUT_BEFORE, 200},
    {MSG_CALL_CHUNK, LINK_CUT_AFTER, 200},
    {MSG_CALL_CHUNK, LINK_BLACKHOLE_BEFORE, 200},
    {MSG_CALL_CHUNK, LINK_BLACKHOLE_AFTER, 200},
    {MSG_CALL_HEAD, LINK_CUT_BEFORE, 200},
    {MSG_CALL_HEAD, LINK_CUT_AFTER, 200},
    {MSG_CALL_HEAD, LINK_BLACKHOLE_BEFORE, 200},
    {MSG_CALL_HEAD, LINK_BLACKHOLE_AFTER, 200},
};

static void
check_fault(const struct fault_case *f, const char *method, const char *path,
    const char *body)
{
	struct reply r;
	char id[32];

	(void)snprintf(id, sizeof(id), "%s-%s-%d", method,
	    msg_type_name(f->type), (int)f->fault);
	link_start();
	fake_link_arm(fault_link, f->type, f->fault);
	ck_assert(call(method, path, id, body, &r));
	ck_assert_msg(fake_link_hit(fault_link), "%s: frame not seen", id);
	ck_assert_msg(r.status == f->status && r.whole, "%s: %d %s", id,
	    r.status, r.fate);
	if (body != NULL)
		ck_assert_msg(fake_upstream_runs(upstream, id) == 1,
		    "%s: %d runs", id, fake_upstream_runs(upstream, id));
	reply_clear(&r);
	fake_link_stop(fault_link);
}

START_TEST(lookups_survive_each_fault)
{
	size_t i;

	start();
	for (i = 0; i < G_N_ELEMENTS(faults); i++)
		check_fault(&faults[i], "GET", "/look/x?bytes=100&ms=20", NULL);
	stop();
}
END_TEST

START_TEST(bookings_run_once_through_each_fault)
{
	size_t i;

	start();
	for (i = 0; i < G_N_ELEMENTS(faults); i++)
		check_fault(
		    &faults[i], "POST", "/book/x?bytes=100&ms=20", "seat 7");
	stop();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {lookups_survive_each_fault,
	    bookings_run_once_through_each_fault, NULL};

	return fixture_main("call faults", tests);
}
