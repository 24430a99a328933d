/*
 * Tests of the HTTP server with callers that hold its memory, and with bodies
 * that trickle.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "net/http_server.h"

#include "support.h"

#define MAX_BYTES (256U << 10)
#define PART_BYTES (60U << 10)
#define STALL_MS 400
/* Connections of a crowd that exceeds MAX_BYTES. */
#define CROWD 12
#define TRICKLE_MS 20
#define SOUND_BYTES 512
#define GET "GET / HTTP/1.1\r\n\r\n"
#define UPLOAD "POST /up HTTP/1.1\r\nContent-Length: 100000\r\n\r\n"
#define RUN "POST /run HTTP/1.1\r\nContent-Length: 61440\r\n\r\n"
#define CHUNKED "POST /up HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"

/**
 * struct request - a request of which the owner holds the body
 * @bytes: received bytes
 * @runs: the request is not answered
 */
struct request {
	uint64_t bytes;
	bool runs;
};

static struct loop *loop;
static struct http_server *server;
static int evicted;

static void
answer(struct http_incoming *q, int code, size_t len)
{
	char *body = g_malloc0(len + 1);

	http_incoming_answer(q, code, NULL, 0, (int64_t)len, false);
	http_incoming_write(q, body, len);
	http_incoming_end(q);
	g_free(body);
}

static void
on_request(
    struct http_incoming *q, const struct http_incoming_head *head, void *arg)
{
	struct request *r;

	(void)arg;
	if (head->body_bytes == 0) {
		answer(
		    q, 200, strcmp(head->target, "/big") == 0 ? PART_BYTES : 0);
		return;
	}
	r = g_new0(struct request, 1);
	r->runs = strcmp(head->target, "/run") == 0;
	http_incoming_set_arg(q, r);
}

static void
on_body(struct http_incoming *q, const uint8_t *data, size_t len)
{
	struct request *r = http_incoming_arg(q);

	(void)data;
	r->bytes += len;
	http_incoming_set_held(q, r->bytes);
}

static void
on_body_end(struct http_incoming *q)
{
	struct request *r = http_incoming_arg(q);

	if (r == NULL || r->runs)
		return;
	g_free(r);
	answer(q, 200, 0);
}

static void
on_gone(struct http_incoming *q)
{
	evicted += http_incoming_is_evicted(q);
	g_free(http_incoming_arg(q));
}

static void
on_bad(struct http_incoming *q, int code, void *arg)
{
	(void)arg;
	answer(q, code, 0);
}

static const struct http_server_handler handler = {
    .on_request = on_request,
    .on_body = on_body,
    .on_body_end = on_body_end,
    .on_gone = on_gone,
    .on_bad = on_bad,
};

static void
setup(void)
{
	struct net_addr at = {LOOPBACK, 0};
	struct http_server_limits limits = {
	    .stall_ms = STALL_MS, .buffer_max_bytes = MAX_BYTES};

	loop = loop_new();
	evicted = 0;
	ck_assert_int_eq(
	    http_server_new(loop, at, &limits, &handler, NULL, &server),
	    STATUS_OK);
}

static void
teardown(void)
{
	http_server_free(server);
	loop_free(loop);
}

static int
open_with(const char *head, size_t bytes)
{
	int fd = support_connect(http_server_addr(server).port);
	char *body = g_strnfill(bytes, 'x');

	support_send(fd, head, strlen(head));
	support_send(fd, body, bytes);
	g_free(body);
	(void)fcntl(fd, F_SETFL, O_NONBLOCK);
	support_run_for(loop, 5);
	return fd;
}

static int
newcomer_code(void)
{
	int fd = open_with(GET, 0);
	int code;

	RUN_UNTIL(loop, support_code(fd) != 0);
	code = support_code(fd);
	(void)close(fd);
	return code;
}

static void
open_crowd(const char *head, size_t bytes, int fds[CROWD])
{
	int i;

	for (i = 0; i < CROWD; i++) {
		fds[i] = open_with(head, bytes);
		ck_assert_uint_le(
		    http_server_buffered_bytes(server), MAX_BYTES);
	}
}

static void
close_crowd(int fds[CROWD])
{
	int i;

	for (i = 0; i < CROWD; i++)
		(void)close(fds[i]);
	RUN_UNTIL(loop, http_server_conns(server) == 0);
	ck_assert_uint_eq(http_server_buffered_bytes(server), 0);
}

/* What a crowd sends, and how many of its connections fit. */
static const struct {
	const char *head;
	size_t bytes;
} crowds[] = {
    {UPLOAD, PART_BYTES},
    {"GET / HTTP/1.1\r\nX: ", 12000},
};

/* Guards against callers that stop within a message and hold what came of it:
 * the ones that wait for longest lose their connections. */
START_TEST(connections_that_wait_longest_are_closed)
{
	int fds[CROWD];

	open_crowd(crowds[_i].head, crowds[_i].bytes, fds);
	if (_i == 0) {
		ck_assert_int_eq(support_code(fds[0]), -1);
		ck_assert_int_eq(support_code(fds[CROWD - 1]), 0);
		ck_assert_int_gt(evicted, 0);
	}
	ck_assert_int_eq(newcomer_code(), 200);
	close_crowd(fds);
}
END_TEST

/* Guards against requests behind one that goes on. */
START_TEST(requests_sent_ahead_are_bounded)
{
	GString *text = g_string_new(RUN);
	int fds[CROWD];
	size_t i;

	for (i = 0; i < PART_BYTES; i++)
		g_string_append_c(text, 'x');
	for (i = 0; i < 1000; i++)
		g_string_append(text, GET);
	open_crowd(text->str, 0, fds);
	ck_assert_int_eq(support_code(fds[0]), -1);
	close_crowd(fds);
	g_string_free(text, TRUE);
}
END_TEST

/* Guards against answers that are not read. */
START_TEST(unread_answers_are_bounded)
{
	GString *text = g_string_new(NULL);
	int fds[CROWD], i;

	for (i = 0; i < 200; i++)
		g_string_append(text, "GET /big HTTP/1.1\r\n\r\n");
	open_crowd(text->str, 0, fds);
	support_run_for(loop, 50);
	ck_assert_uint_le(http_server_buffered_bytes(server), MAX_BYTES);
	close_crowd(fds);
	g_string_free(text, TRUE);
}
END_TEST

/* Requests that were read completely keep their connections: further requests
 * are refused, and served again once there is room. */
START_TEST(running_requests_are_kept)
{
	int fds[CROWD], i;

	for (i = 0; i < CROWD; i++)
		fds[i] = open_with(RUN, PART_BYTES);
	ck_assert_int_eq(evicted, 0);
	ck_assert_int_eq(support_code(fds[0]), 0);
	ck_assert_int_eq(support_code(fds[CROWD - 1]), 503);
	ck_assert_int_eq(newcomer_code(), 503);
	for (i = 0; i < CROWD; i++)
		(void)close(fds[i]);
	RUN_UNTIL(loop, http_server_conns(server) == 0);
	ck_assert_int_eq(newcomer_code(), 200);
}
END_TEST

/* Guards against a body whose bytes renew the time limit without end. */
START_TEST(trickling_body_is_closed)
{
	int fd = open_with(CHUNKED, 0);

	while (support_code(fd) == 0) {
		(void)send(fd, "1\r\nx\r\n", 6, MSG_NOSIGNAL);
		support_run_for(loop, TRICKLE_MS);
	}
	ck_assert_int_eq(support_code(fd), -1);
	(void)close(fd);
}
END_TEST

/* A slow caller that makes progress is served, beyond the time limit of a
 * stall. */
START_TEST(slow_body_is_served)
{
	int fd =
	    open_with("POST /up HTTP/1.1\r\nContent-Length: 20480\r\n\r\n", 0);
	char part[SOUND_BYTES] = {0};
	size_t sent;

	for (sent = 0; sent < 20480; sent += sizeof(part)) {
		support_send(fd, part, sizeof(part));
		support_run_for(loop, TRICKLE_MS);
	}
	RUN_UNTIL(loop, support_code(fd) != 0);
	ck_assert_int_eq(support_code(fd), 200);
	(void)close(fd);
}
END_TEST

/* Guards against a head whose lines take many times their bytes. */
START_TEST(short_lines_count_with_their_ends)
{
	GString *text = g_string_new("GET / HTTP/1.1\r\n");
	int fd, i;

	for (i = 0; i < 6000; i++)
		g_string_append(text, "a:\r\n");
	fd = open_with(text->str, 0);
	RUN_UNTIL(loop, support_code(fd) != 0);
	ck_assert_int_eq(support_code(fd), 431);
	(void)close(fd);
	g_string_free(text, TRUE);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("http_buffers");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 30);
	tcase_add_loop_test(tc, connections_that_wait_longest_are_closed, 0,
	    G_N_ELEMENTS(crowds));
	tcase_add_test(tc, requests_sent_ahead_are_bounded);
	tcase_add_test(tc, unread_answers_are_bounded);
	tcase_add_test(tc, running_requests_are_kept);
	tcase_add_test(tc, trickling_body_is_closed);
	tcase_add_test(tc, slow_body_is_served);
	tcase_add_test(tc, short_lines_count_with_their_ends);
	return support_run("http_buffers", tc);
}
