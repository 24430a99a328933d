/*
 * Tests of the heads of requests: many and long headers, long paths, targets in
 * absolute form, formats of deadlines, and the limit of the whole head.
 */
#include <string.h>
#include <unistd.h>

#include "fixture.h"

/* Sizes below the configured limit of the head and above the defaults for a
 * single header. */
#define HEADERS 600
#define NAME_BYTES 300
#define VALUE_BYTES 40000
#define PATH_BYTES 20000

static const char json[] =
    "{\"format\":1,\"name\":\"test\",\"services\":["
    "{\"name\":\"search\",\"callers\":{\"head_max_bytes\":65536}}],"
    "\"routes\":["
    "{\"prefix\":\"/look\",\"methods\":[\"GET\"],\"service\":\"search\","
    "\"idempotent\":true},"
    "{\"host\":\"named.example\",\"prefix\":\"/named\","
    "\"methods\":[\"GET\"],\"service\":\"search\",\"idempotent\":true}]}";

static struct fake_upstream *upstream;
static struct test_node *node;

static void
start(void)
{
	test_host_start(json, &upstream, &node);
	g_usleep(50000);
}

static void
stop(void)
{
	test_host_stop(upstream, node);
}

static int
get_status(const char *path, const char *headers)
{
	struct reply r;
	int status;

	ck_assert(caller_call(
	    callers_port(node->callers), "GET", path, headers, NULL, 0, &r));
	status = r.status;
	reply_clear(&r);
	return status;
}

START_TEST(many_headers_are_accepted)
{
	GString *lines = g_string_new(NULL);
	int i;

	for (i = 0; i < HEADERS; i++)
		g_string_append_printf(lines, "X-%d: v%d\r\n", i, i);
	start();
	ck_assert_int_eq(get_status("/look/x", lines->str), 200);
	ck_assert(fake_upstream_received(upstream, "X-0: v0"));
	ck_assert(fake_upstream_received(upstream, "X-599: v599"));
	stop();
	g_string_free(lines, TRUE);
}
END_TEST

START_TEST(long_headers_are_accepted)
{
	char *name = g_strnfill(NAME_BYTES, 'n');
	char *value = g_strnfill(VALUE_BYTES, 'v');
	char *line = g_strdup_printf("%s: %s", name, value);
	char *lines = g_strdup_printf("%s\r\n", line);

	start();
	ck_assert_int_eq(get_status("/look/x", lines), 200);
	ck_assert(fake_upstream_received(upstream, line));
	stop();
	g_free(lines);
	g_free(line);
	g_free(value);
	g_free(name);
}
END_TEST

/* A Connection header with many options, and as many headers that they name. */
START_TEST(connection_options_are_not_forwarded)
{
	GString *lines = g_string_new("Connection: keep-alive,, x-0 ,\tX-2");
	int i;

	for (i = 0; i < HEADERS; i++)
		g_string_append_printf(lines, ",Y-%d", i);
	g_string_append(lines, "\r\n");
	for (i = 0; i < HEADERS; i++)
		g_string_append_printf(
		    lines, "X-%d: v%d\r\nY-%d: w\r\n", i, i, i);
	start();
	ck_assert_int_eq(get_status("/look/x", lines->str), 200);
	ck_assert(!fake_upstream_received(upstream, "X-0: v0"));
	ck_assert(fake_upstream_received(upstream, "X-1: v1"));
	ck_assert(!fake_upstream_received(upstream, "X-2: v2"));
	ck_assert(fake_upstream_received(upstream, "X-20: v20"));
	ck_assert(!fake_upstream_received(upstream, "\nY-"));
	stop();
	g_string_free(lines, TRUE);
}
END_TEST

START_TEST(long_path_is_accepted)
{
	char *rest = g_strnfill(PATH_BYTES, 'p');
	char *path = g_strdup_printf("/look/%s", rest);

	start();
	ck_assert_int_eq(get_status(path, NULL), 200);
	stop();
	g_free(path);
	g_free(rest);
}
END_TEST

/* The limit applies to the sum of all headers. */
START_TEST(head_above_limit_is_refused)
{
	char *value = g_strnfill(VALUE_BYTES, 'v');
	char *lines = g_strdup_printf("A: %s\r\nB: %s\r\n", value, value);

	start();
	ck_assert_int_eq(get_status("/look/x", lines), 431);
	stop();
	g_free(lines);
	g_free(value);
}
END_TEST

/**
 * struct status_case - a request and its expected status
 * @text: target, or value of a header
 * @status: HTTP status
 */
struct status_case {
	const char *text;
	int status;
};

static const struct status_case deadlines[] = {
    {"2500", 200},
    {"2500.75", 200},
    {"2500.", 200},
    {"86400001", 200},
    {"99999999999999999999999999.5", 200},
    {"soon", 400},
    {"-1", 400},
    {"2500ms", 400},
    {"2500.7.5", 400},
    {".", 400},
};

START_TEST(decimal_deadlines_are_accepted)
{
	char *line;
	size_t i;

	start();
	for (i = 0; i < G_N_ELEMENTS(deadlines); i++) {
		line = g_strdup_printf(
		    "Bramley-Deadline-Ms: %s\r\n", deadlines[i].text);
		ck_assert_msg(
		    get_status("/look/x", line) == deadlines[i].status, "%s",
		    deadlines[i].text);
		g_free(line);
	}
	stop();
}
END_TEST

static const struct status_case targets[] = {
    {"http://named.example/named/x", 200},
    {"HTTP://named.example:8080/named/x?bytes=3", 200},
    {"https://named.example/named/x", 200},
    {"http://other.example/named/x", 404},
    {"http://named.example", 404},
    {"http://named.example?bytes=3", 404},
    {"http:///named/x", 400},
    {"http://user@named.example/named/x", 400},
    {"ftp://named.example/named/x", 400},
};

START_TEST(absolute_form_target_is_accepted)
{
	size_t i;

	start();
	for (i = 0; i < G_N_ELEMENTS(targets); i++)
		ck_assert_msg(
		    get_status(targets[i].text, NULL) == targets[i].status,
		    "%s", targets[i].text);
	stop();
}
END_TEST

/* The request has "Host: test" in addition; the host of the target applies. */
START_TEST(absolute_form_host_replaces_host_header)
{
	start();
	ck_assert_int_eq(
	    get_status("http://named.example/named/x?a=b", NULL), 200);
	ck_assert(
	    fake_upstream_received(upstream, "GET /named/x?a=b HTTP/1.1"));
	ck_assert(fake_upstream_received(upstream, "Host: named.example"));
	ck_assert(!fake_upstream_received(upstream, "Host: test"));
	stop();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {many_headers_are_accepted,
	    long_headers_are_accepted, connection_options_are_not_forwarded,
	    long_path_is_accepted, head_above_limit_is_refused,
	    decimal_deadlines_are_accepted, absolute_form_target_is_accepted,
	    absolute_form_host_replaces_host_header, NULL};

	return fixture_main("call heads", tests);
}
