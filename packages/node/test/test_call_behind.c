/*
 * Tests of what callers are told while a newer version is known than the one
 * in force: what that doesn't take is no proof of a wrong request.
 */
#include <string.h>
#include <unistd.h>

#include "node/snapshot_ref.h"

#include "fixture.h"

/* The fixture's snapshots are of version 1. */
#define IN_FORCE 1
#define NEWER 2

/* A head above the limit of the configuration, and above the settings'. */
#define LARGE_BYTES 4000
#define HUGE_BYTES 20000

/* Until what was posted to the traffic thread has been taken in. */
#define TAKEN_US 50000

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
know(uint64_t version)
{
	entry_version_known(node->entry, version);
	g_usleep(TAKEN_US);
}

static void
start(void)
{
	test_host_start(json, &upstream, &node);
	know(IN_FORCE);
}

static void
stop(void)
{
	test_host_stop(upstream, node);
}

static void
must_be(const char *what, const struct reply *r, int status, const char *fate)
{
	ck_assert_msg(r->status == status && strcmp(r->fate, fate) == 0,
	    "%s: %d %s", what, r->status, r->fate);
	if (status == 503)
		ck_assert_msg(r->retry_after[0] != '\0', "%s", what);
}

/**
 * struct wrong - a request that the version in force doesn't take
 * @method: its method
 * @path: its path
 * @bytes: length of its body
 * @status: what it is told when no newer version is known
 */
struct wrong {
	const char *method;
	const char *path;
	size_t bytes;
	int status;
};

static const struct wrong wrongs[] = {
    {"GET", "/none", 0, 404},
    {"POST", "/look/x", 4, 405},
    {"PUT", "/up/x", 101, 413},
};

static void
ask(const struct wrong *w, int status)
{
	char *body = g_strnfill(w->bytes, 'x');
	struct reply r;

	ck_assert(caller_call(callers_port(node->callers), w->method, w->path,
	    "X-Test-Id: w\r\n", w->bytes > 0 ? body : NULL, w->bytes, &r));
	must_be(w->path, &r, status, "not_run");
	if (status == 503)
		ck_assert_str_eq(r.version, "1");
	ck_assert_int_eq(fake_upstream_runs(upstream, "w"), 0);
	reply_clear(&r);
	g_free(body);
}

START_TEST(what_a_newer_version_may_take_is_to_come_back)
{
	size_t i;

	start();
	for (i = 0; i < G_N_ELEMENTS(wrongs); i++)
		ask(&wrongs[i], wrongs[i].status);
	know(NEWER);
	for (i = 0; i < G_N_ELEMENTS(wrongs); i++)
		ask(&wrongs[i], 503);
	know(IN_FORCE);
	for (i = 0; i < G_N_ELEMENTS(wrongs); i++)
		ask(&wrongs[i], wrongs[i].status);
	stop();
}
END_TEST

START_TEST(what_is_in_force_goes_on)
{
	struct reply r;

	start();
	know(NEWER);
	ck_assert(caller_call(callers_port(node->callers), "GET",
	    "/look/x?bytes=26", NULL, NULL, 0, &r));
	must_be("/look", &r, 200, "done");
	reply_clear(&r);
	stop();
}
END_TEST

static void
ask_with_head(size_t bytes, int status)
{
	char *large = g_strnfill(bytes, 'x');
	char *head = g_strdup_printf("X-Large: %s\r\n", large);
	struct reply r;

	ck_assert(caller_call(
	    callers_port(node->callers), "GET", "/look/x", head, NULL, 0, &r));
	must_be("head", &r, status, "not_run");
	reply_clear(&r);
	g_free(head);
	g_free(large);
}

START_TEST(a_head_that_a_newer_version_may_take_is_to_come_back)
{
	start();
	ask_with_head(LARGE_BYTES, 431);
	know(NEWER);
	ask_with_head(LARGE_BYTES, 503);
	know(IN_FORCE);
	ask_with_head(LARGE_BYTES, 431);
	stop();
}
END_TEST

/* Sent in pieces, so that its length isn't known before. */
static void
ask_with_growing_body(int status)
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
	must_be("body", &r, status, "unknown");
	reply_clear(&r);
	close(fd);
	g_free(body);
}

START_TEST(a_body_that_outgrows_an_old_limit_is_not_called_wrong)
{
	start();
	ask_with_growing_body(413);
	know(NEWER);
	ask_with_growing_body(504);
	stop();
}
END_TEST

START_TEST(nothing_is_known_to_be_wrong_without_a_version)
{
	start();
	snapshot_ref_publish(NULL);
	entry_snapshot_changed(node->entry);
	g_usleep(TAKEN_US);
	ask_with_head(HUGE_BYTES, 503);
	stop();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {
	    what_a_newer_version_may_take_is_to_come_back,
	    what_is_in_force_goes_on,
	    a_head_that_a_newer_version_may_take_is_to_come_back,
	    a_body_that_outgrows_an_old_limit_is_not_called_wrong,
	    nothing_is_known_to_be_wrong_without_a_version, NULL};

	return fixture_main("call behind", tests);
}
