/*
 * Tests of refusals while a version newer than the one in force is known: that
 * newer version may accept the request, so it is answered with a retry.
 */
#include <string.h>
#include <unistd.h>

#include "node/snapshot_ref.h"

#include "fixture.h"

/* The fixture's snapshots are of version 1. */
#define IN_FORCE 1
#define NEWER 2

/* A head above the limit of the configuration, and one above that of the
 * settings. */
#define LARGE_BYTES 4000
#define HUGE_BYTES 20000

static const char json[] =
    "{\"format\":1,\"name\":\"test\",\"services\":["
    "{\"name\":\"search\",\"limits\":{\"request_max_bytes\":100},"
    "\"callers\":{\"head_max_bytes\":2048}}],\"routes\":["
    "{\"prefix\":\"/look\",\"methods\":[\"GET\"],\"service\":\"search\","
    "\"idempotent\":true},"
    "{\"prefix\":\"/up\",\"methods\":[\"PUT\"],\"service\":\"search\"}]}";

static struct fake_upstream *upstream;
static struct test_node *node;

static void
set_known_version(uint64_t version)
{
	entry_version_known(node->entry, version);
	test_node_wait(node);
}

static void
start(void)
{
	test_host_start(json, &upstream, &node);
	set_known_version(IN_FORCE);
}

static void
stop(void)
{
	test_host_stop(upstream, node);
}

static void
check_reply(
    const char *label, const struct reply *r, int status, const char *fate)
{
	ck_assert_msg(r->status == status && strcmp(r->fate, fate) == 0,
	    "%s: %d %s", label, r->status, r->fate);
	if (status == 503)
		ck_assert_msg(r->retry_after[0] != '\0', "%s", label);
}

/**
 * struct refused_request - a request that the version in force refuses
 * @method: method
 * @path: path
 * @bytes: length of the body
 * @status: HTTP status when no newer version is known
 */
struct refused_request {
	const char *method;
	const char *path;
	size_t bytes;
	int status;
};

static const struct refused_request unroutable[] = {
    {"GET", "/none", 0, 404},
    {"POST", "/look/x", 4, 405},
    {"PUT", "/up/x", 101, 413},
};

static void
check_request(const struct refused_request *w, int status)
{
	char *body = g_strnfill(w->bytes, 'x');
	struct reply r;

	ck_assert(caller_call(callers_port(node->callers), w->method, w->path,
	    "X-Test-Id: w\r\n", w->bytes > 0 ? body : NULL, w->bytes, &r));
	check_reply(w->path, &r, status, "not_run");
	if (status == 503)
		ck_assert_str_eq(r.version, "1");
	ck_assert_int_eq(fake_upstream_runs(upstream, "w"), 0);
	reply_clear(&r);
	g_free(body);
}

START_TEST(refused_request_gets_retry_while_newer_version_is_known)
{
	size_t i;

	start();
	for (i = 0; i < G_N_ELEMENTS(unroutable); i++)
		check_request(&unroutable[i], unroutable[i].status);
	set_known_version(NEWER);
	for (i = 0; i < G_N_ELEMENTS(unroutable); i++)
		check_request(&unroutable[i], 503);
	set_known_version(IN_FORCE);
	for (i = 0; i < G_N_ELEMENTS(unroutable); i++)
		check_request(&unroutable[i], unroutable[i].status);
	stop();
}
END_TEST

START_TEST(routed_request_is_served_while_newer_version_is_known)
{
	struct reply r;

	start();
	set_known_version(NEWER);
	ck_assert(caller_call(callers_port(node->callers), "GET",
	    "/look/x?bytes=26", NULL, NULL, 0, &r));
	check_reply("/look", &r, 200, "done");
	reply_clear(&r);
	stop();
}
END_TEST

static void
check_head(size_t bytes, int status)
{
	char *large = g_strnfill(bytes, 'x');
	char *head = g_strdup_printf("X-Large: %s\r\n", large);
	struct reply r;

	ck_assert(caller_call(
	    callers_port(node->callers), "GET", "/look/x", head, NULL, 0, &r));
	check_reply("head", &r, status, "not_run");
	reply_clear(&r);
	g_free(head);
	g_free(large);
}

START_TEST(large_head_gets_retry_while_newer_version_is_known)
{
	start();
	check_head(LARGE_BYTES, 431);
	set_known_version(NEWER);
	check_head(LARGE_BYTES, 503);
	set_known_version(IN_FORCE);
	check_head(LARGE_BYTES, 431);
	stop();
}
END_TEST

/* The body is chunked, so that its length isn't known in advance. */
static void
check_growing_body(int status)
{
	static const char chunk[] = "c8\r\n";
	char *body = g_strnfill(200, 'x');
	struct reply r;
	int fd = caller_connect(callers_port(node->callers));

	ck_assert_int_ge(fd, 0);
	ck_assert(caller_send(
	    fd, "PUT", "/up/x", "Transfer-Encoding: chunked\r\n", NULL, 0));
	ck_assert(write(fd, chunk, strlen(chunk)) > 0);
	ck_assert(write(fd, body, 200) == 200);
	ck_assert(write(fd, "\r\n0\r\n\r\n", 7) == 7);
	ck_assert(caller_read(fd, &r));
	check_reply("body", &r, status, "unknown");
	reply_clear(&r);
	close(fd);
	g_free(body);
}

START_TEST(body_over_limit_is_unknown_while_newer_version_is_known)
{
	start();
	check_growing_body(413);
	set_known_version(NEWER);
	check_growing_body(504);
	stop();
}
END_TEST

START_TEST(large_head_gets_retry_without_configuration)
{
	start();
	snapshot_ref_publish(NULL);
	entry_snapshot_changed(node->entry);
	test_node_wait(node);
	check_head(HUGE_BYTES, 503);
	stop();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {
	    refused_request_gets_retry_while_newer_version_is_known,
	    routed_request_is_served_while_newer_version_is_known,
	    large_head_gets_retry_while_newer_version_is_known,
	    body_over_limit_is_unknown_while_newer_version_is_known,
	    large_head_gets_retry_without_configuration, NULL};

	return fixture_main("call behind", tests);
}
