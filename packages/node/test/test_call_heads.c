/*
 * Tests of heads of requests that the limits in force allow: many lines, long
 * ones, long paths, targets with a host, and deadlines as a caller may write
 * them.
 */
#include <string.h>
#include <unistd.h>

#include "fixture.h"

/* Below the limit of the configuration, above those of single lines. */
#define LINES 600
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
ask(const char *path, const char *headers)
{
	struct reply r;
	int status;

	ck_assert(caller_call(
	    callers_port(node->callers), "GET", path, headers, NULL, 0, &r));
	status = r.status;
	reply_clear(&r);
	return status;
}

START_TEST(many_lines_are_taken)
{
	GString *lines = g_string_new(NULL);
	int i;

	for (i = 0; i < LINES; i++)
		g_string_append_printf(lines, "X-%d: v%d\r\n", i, i);
	start();
	ck_assert_int_eq(ask("/look/x", lines->str), 200);
	ck_assert(fake_upstream_saw(upstream, "X-0: v0"));
	ck_assert(fake_upstream_saw(upstream, "X-599: v599"));
	stop();
	g_string_free(lines, TRUE);
}
END_TEST

START_TEST(long_lines_are_taken)
{
	char *name = g_strnfill(NAME_BYTES, 'n');
	char *value = g_strnfill(VALUE_BYTES, 'v');
	char *line = g_strdup_printf("%s: %s", name, value);
	char *lines = g_strdup_printf("%s\r\n", line);

	start();
	ck_assert_int_eq(ask("/look/x", lines), 200);
	ck_assert(fake_upstream_saw(upstream, line));
	stop();
	g_free(lines);
	g_free(line);
	g_free(value);
	g_free(name);
}
END_TEST

/* A list of thousands of names meets thousands of lines. */
START_TEST(lines_named_by_connection_stay_here)
{
	GString *lines = g_string_new("Connection: keep-alive,, x-0 ,\tX-2");
	int i;

	for (i = 0; i < LINES; i++)
		g_string_append_printf(lines, ",Y-%d", i);
	g_string_append(lines, "\r\n");
	for (i = 0; i < LINES; i++)
		g_string_append_printf(
		    lines, "X-%d: v%d\r\nY-%d: w\r\n", i, i, i);
	start();
	ck_assert_int_eq(ask("/look/x", lines->str), 200);
	ck_assert(!fake_upstream_saw(upstream, "X-0: v0"));
	ck_assert(fake_upstream_saw(upstream, "X-1: v1"));
	ck_assert(!fake_upstream_saw(upstream, "X-2: v2"));
	ck_assert(fake_upstream_saw(upstream, "X-20: v20"));
	ck_assert(!fake_upstream_saw(upstream, "\nY-"));
	stop();
	g_string_free(lines, TRUE);
}
END_TEST

START_TEST(a_long_path_is_taken)
{
	char *rest = g_strnfill(PATH_BYTES, 'p');
	char *path = g_strdup_printf("/look/%s", rest);

	start();
	ck_assert_int_eq(ask(path, NULL), 200);
	stop();
	g_free(path);
	g_free(rest);
}
END_TEST

/* The whole head is bounded all the same. */
START_TEST(a_head_above_the_limit_is_refused)
{
	char *value = g_strnfill(VALUE_BYTES, 'v');
	char *lines = g_strdup_printf("A: %s\r\nB: %s\r\n", value, value);

	start();
	ck_assert_int_eq(ask("/look/x", lines), 431);
	stop();
	g_free(lines);
	g_free(value);
}
END_TEST

/**
 * struct row - a request and what it is told
 * @text: its target, or the value of a header
 * @status: HTTP status
 */
struct row {
	const char *text;
	int status;
};

static const struct row deadlines[] = {
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

START_TEST(deadlines_are_taken_as_decimals)
{
	char *line;
	size_t i;

	start();
	for (i = 0; i < G_N_ELEMENTS(deadlines); i++) {
		line = g_strdup_printf(
		    "Bramley-Deadline-Ms: %s\r\n", deadlines[i].text);
		ck_assert_msg(ask("/look/x", line) == deadlines[i].status, "%s",
		    deadlines[i].text);
		g_free(line);
	}
	stop();
}
END_TEST

static const struct row targets[] = {
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

START_TEST(a_target_with_a_host_is_taken)
{
	size_t i;

	start();
	for (i = 0; i < G_N_ELEMENTS(targets); i++)
		ck_assert_msg(ask(targets[i].text, NULL) == targets[i].status,
		    "%s", targets[i].text);
	stop();
}
END_TEST

/* The caller said "Host: test"; who is asked is the host of the target. */
START_TEST(the_host_of_a_target_replaces_the_header)
{
	start();
	ck_assert_int_eq(ask("http://named.example/named/x?a=b", NULL), 200);
	ck_assert(fake_upstream_saw(upstream, "GET /named/x?a=b HTTP/1.1"));
	ck_assert(fake_upstream_saw(upstream, "Host: named.example"));
	ck_assert(!fake_upstream_saw(upstream, "Host: test"));
	stop();
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {many_lines_are_taken,
	    long_lines_are_taken, lines_named_by_connection_stay_here,
	    a_long_path_is_taken, a_head_above_the_limit_is_refused,
	    deadlines_are_taken_as_decimals, a_target_with_a_host_is_taken,
	    the_host_of_a_target_replaces_the_header, NULL};

	return fixture_main("call heads", tests);
}
