/*
 * Tests of the HTTP server with all its connections open.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "net/http_server.h"

#include "support.h"

/* Three are served, the last place is for refusals. */
#define CONNS_MAX 4
#define SERVED_MAX 3
#define HEAD_MS 1000
#define STALL_MS 1000
/* Longer than the idle time from which a connection may be closed. */
#define IDLE_MS 600
#define BIG_BYTES (8U << 20)
#define GET "GET / HTTP/1.1\r\n\r\n"
#define HOLD "GET /hold HTTP/1.1\r\n\r\n"
#define BIG "GET /big HTTP/1.1\r\n\r\n"

static struct loop *loop;
static struct http_server *server;
static struct http_incoming *held[CONNS_MAX];
static uint32_t n_held;

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
	(void)arg;
	if (strcmp(head->target, "/hold") == 0)
		held[n_held++] = q;
	else
		answer(
		    q, 200, strcmp(head->target, "/big") == 0 ? BIG_BYTES : 0);
}

static void
on_bad(struct http_incoming *q, int code, void *arg)
{
	(void)arg;
	answer(q, code, 0);
}

static void
ignore_data(struct http_incoming *q, const uint8_t *data, size_t len)
{
	(void)q;
	(void)data;
	(void)len;
}

static void
ignore(struct http_incoming *q)
{
	(void)q;
}

static const struct http_server_handler handler = {
    .on_request = on_request,
    .on_body = ignore_data,
    .on_body_end = ignore,
    .on_gone = ignore,
    .on_bad = on_bad,
};

static void
setup(void)
{
	struct net_addr at = {LOOPBACK, 0};
	struct http_server_limits limits = {.conns_max = CONNS_MAX,
	    .head_ms = HEAD_MS,
	    .stall_ms = STALL_MS,
	    .buffer_max_bytes = 2 * CONNS_MAX * BIG_BYTES};

	loop = loop_new();
	n_held = 0;
	ck_assert_int_eq(
	    http_server_new(loop, at, &limits, &handler, NULL, &server),
	    STATUS_OK);
	http_server_set_full_answer(
	    server, "HTTP/1.1 503 Full\r\nConnection: close\r\n\r\n");
}

static void
teardown(void)
{
	http_server_free(server);
	loop_free(loop);
}

/* Connects, sends a text if it is not empty, and lets the server work. */
static int
open_with(const char *text)
{
	int fd = support_connect(http_server_addr(server).port);

	(void)fcntl(fd, F_SETFL, O_NONBLOCK);
	if (*text != '\0')
		support_send(fd, text, strlen(text));
	support_run_for(loop, 50);
	return fd;
}

static void
fill(const char *text, int fds[SERVED_MAX])
{
	int i;

	for (i = 0; i < SERVED_MAX; i++)
		fds[i] = open_with(text);
}

static void
close_all(int fds[SERVED_MAX], int newcomer)
{
	int i;

	for (i = 0; i < SERVED_MAX; i++)
		(void)close(fds[i]);
	(void)close(newcomer);
}

/* Guards against idle connections that keep newcomers out. */
START_TEST(a_newcomer_takes_the_place_of_the_longest_idle)
{
	int fds[SERVED_MAX], fd;

	fill("", fds);
	support_run_for(loop, IDLE_MS);
	support_send(fds[0], GET, strlen(GET));
	support_run_for(loop, 50);
	fd = open_with(GET);
	ck_assert_int_eq(support_code(fd), 200);
	ck_assert_int_eq(support_code(fds[0]), 200);
	ck_assert_int_eq(support_code(fds[1]), -1);
	ck_assert_int_eq(support_code(fds[2]), 0);
	close_all(fds, fd);
}
END_TEST

/* Guards against a request that crosses the close of its connection. */
START_TEST(an_idle_connection_with_a_request_on_its_way_stays)
{
	int fds[SERVED_MAX], fd;

	fill("", fds);
	support_run_for(loop, IDLE_MS);
	support_send(fds[0], GET, strlen(GET));
	fd = open_with(GET);
	ck_assert_int_eq(support_code(fd), 200);
	ck_assert_int_eq(support_code(fds[0]), 200);
	close_all(fds, fd);
}
END_TEST

/* Guards against newcomers that wait in silence while all are in use, and
 * against callers in use that are cut for them. */
START_TEST(a_newcomer_is_refused_with_an_answer_while_all_are_in_use)
{
	int fds[SERVED_MAX], fd, again, i;

	fill(HOLD, fds);
	support_run_for(loop, IDLE_MS);
	fd = open_with(GET);
	ck_assert_int_eq(support_code(fd), 503);
	(void)close(fd);
	for (i = 0; i < SERVED_MAX; i++) {
		ck_assert_int_eq(support_code(fds[i]), 0);
		answer(held[i], 200, 0);
	}
	support_run_for(loop, IDLE_MS);
	again = open_with(GET);
	ck_assert_int_eq(support_code(again), 200);
	close_all(fds, again);
}
END_TEST

/* Guards against a newcomer that is closed without a word when not even a place
 * to refuse it is left. */
START_TEST(a_newcomer_beyond_the_last_place_gets_an_answer_too)
{
	int fds[SERVED_MAX], last, fd;

	fill(HOLD, fds);
	last = open_with("");
	fd = open_with("");
	ck_assert_int_eq(support_code(fd), 503);
	(void)close(last);
	close_all(fds, fd);
}
END_TEST

/* Guards against heads that are sent byte by byte to hold connections. */
START_TEST(a_newcomer_takes_the_place_of_a_head_that_does_not_end)
{
	int fds[SERVED_MAX], fd;

	fill("GET / HT", fds);
	support_run_for(loop, HEAD_MS / 2);
	fd = open_with(GET);
	ck_assert_int_eq(support_code(fd), 200);
	ck_assert_int_eq(support_code(fds[0]), -1);
	close_all(fds, fd);
}
END_TEST

/* Guards against callers that read nothing to hold connections. */
START_TEST(a_newcomer_takes_the_place_of_a_caller_that_reads_nothing)
{
	int fds[SERVED_MAX], fd;

	fill(BIG, fds);
	support_run_for(loop, STALL_MS / 2);
	fd = open_with(GET);
	ck_assert_int_eq(support_code(fd), 200);
	close_all(fds, fd);
}
END_TEST

/* Guards against a server that stays closed after a shortage of descriptors
 * when no further connection arrives. */
START_TEST(shortage_ends_without_a_further_connection)
{
	struct rlimit limit, few;
	int fd = support_connect(http_server_addr(server).port);
	int next = dup(fd);

	ck_assert_int_eq(getrlimit(RLIMIT_NOFILE, &limit), 0);
	(void)close(next);
	few = limit;
	few.rlim_cur = (rlim_t)next;
	ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &few), 0);
	support_run_for(loop, 50);
	ck_assert_uint_ne(http_server_closed_since_ms(server), 0);
	support_reset(fd);
	ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
	support_run_for(loop, 300);
	ck_assert_uint_eq(http_server_closed_since_ms(server), 0);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("room");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, a_newcomer_takes_the_place_of_the_longest_idle);
	tcase_add_test(tc, an_idle_connection_with_a_request_on_its_way_stays);
	tcase_add_test(
	    tc, a_newcomer_is_refused_with_an_answer_while_all_are_in_use);
	tcase_add_test(tc, a_newcomer_beyond_the_last_place_gets_an_answer_too);
	tcase_add_test(
	    tc, a_newcomer_takes_the_place_of_a_head_that_does_not_end);
	tcase_add_test(
	    tc, a_newcomer_takes_the_place_of_a_caller_that_reads_nothing);
	tcase_add_test(tc, shortage_ends_without_a_further_connection);
	return support_run("http_room", tc);
}
