/*
 * Bytes without end, from a server to the HTTP client and from a caller to the
 * HTTP server.  Where nothing valid can follow, the connection ends after a
 * bounded number of bytes; else by its deadline.
 */
#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "base/clock.h"
#include "net/http.h"
#include "net/http_server.h"

#include "support.h"

/* More than the largest head and all buffers on the way. */
#define BOUND_BYTES (16U << 20)
#define PIECE_BYTES 4096
#define DEADLINE_MS 1500
#define IDLE_MS 500

/**
 * struct stream - bytes without end
 * @name: for messages
 * @start: sent once
 * @repeat: sent again and again
 * @until_deadline: the bytes are valid, so that only the deadline ends them
 * @status: expected result of the call; unused for callers
 */
struct stream {
	const char *name;
	const char *start;
	const char *repeat;
	bool until_deadline;
	enum status status;
};

#define OK_LINE "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK_LINE "Transfer-Encoding: chunked\r\n\r\n"
#define CHUNKED_POST "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"

static const struct stream answers[] = {
    {"lines of a head", OK_LINE, "X: y\r\n", false, STATUS_INVALID},
    {"one line", OK_LINE "X: ", "y", false, STATUS_INVALID},
    {"a first line", "HTTP/1.1 200 ", "O", false, STATUS_INVALID},
    {"no HTTP", "", "\x01\x02", false, STATUS_INVALID},
    {"empty lines", "", "\r\n", false, STATUS_INVALID},
    {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", false,
	STATUS_INVALID},
    {"a chunk's length", CHUNKED, "0", false, STATUS_INVALID},
    {"a chunk's extension", CHUNKED "1;", "x", false, STATUS_INVALID},
    {"trailers", CHUNKED "0\r\n", "T: v\r\n", false, STATUS_INVALID},
    {"a tail behind the length", OK_LINE "Content-Length: 1\r\n\r\n", "x",
	false, STATUS_OK},
    {"a tail behind no body", "HTTP/1.1 204 No\r\n\r\n", "x", false, STATUS_OK},
    {"a body until close", OK_LINE "\r\n", "x", true, STATUS_TIMEOUT},
    {"chunks", CHUNKED, "4\r\nabcd\r\n", true, STATUS_TIMEOUT},
};

static const struct stream requests[] = {
    {"lines of a head", "GET / HTTP/1.1\r\n", "X: y\r\n", false, 0},
    {"one line", "GET / HTTP/1.1\r\nX: ", "y", false, 0},
    {"a target", "GET /", "a", false, 0},
    {"no HTTP", "", "\x01\x02", false, 0},
    {"empty lines", "", "\r\n", true, 0},
    {"a chunk's length", CHUNKED_POST, "0", false, 0},
    {"a chunk's extension", CHUNKED_POST "1;", "x", false, 0},
    {"trailers", CHUNKED_POST "0\r\n", "T: v\r\n", false, 0},
};

/**
 * struct sender - a thread that sends a stream until the other side ends it
 * @stream: what to send
 * @listening: socket on which it waits for the connection, -1 for none
 * @fd: the connection
 * @sent: bytes that the system took
 * @ended: the connection was closed by the other side
 */
struct sender {
	const struct stream *stream;
	int listening;
	int fd;
	_Atomic uint64_t sent;
	_Atomic bool ended;
};

static struct loop *loop;

static void
send_all(struct sender *s, const char *data, size_t len)
{
	ssize_t n = send(s->fd, data, len, MSG_NOSIGNAL);

	if (n > 0)
		atomic_fetch_add(&s->sent, (uint64_t)n);
	else
		s->ended = true;
}

static void *
send_stream(void *arg)
{
	struct sender *s = arg;
	GString *piece = g_string_new(NULL);
	char buf[PIECE_BYTES];

	while (piece->len < PIECE_BYTES)
		g_string_append(piece, s->stream->repeat);
	if (s->listening >= 0) {
		s->fd = accept(s->listening, NULL, NULL);
		(void)recv(s->fd, buf, sizeof(buf), 0);
	}
	if (*s->stream->start != '\0')
		send_all(s, s->stream->start, strlen(s->stream->start));
	while (!s->ended)
		send_all(s, piece->str, piece->len);
	(void)close(s->fd);
	g_string_free(piece, TRUE);
	return NULL;
}

/* Runs the loop until the sender's connection has ended; fails otherwise. */
static void
run_until_ended(struct sender *s, uint64_t most_ms)
{
	uint64_t end_ms = clock_now_ms() + most_ms;

	while (!s->ended && clock_now_ms() < end_ms)
		loop_run_once(loop, clock_now_ms() + 10);
	ck_assert_msg(s->ended, "%s: not ended after %llu bytes",
	    s->stream->name, (unsigned long long)s->sent);
	if (!s->stream->until_deadline)
		ck_assert_msg(s->sent < BOUND_BYTES, "%s: %llu bytes taken",
		    s->stream->name, (unsigned long long)s->sent);
}

/* The client */

/**
 * struct taker - the owner of a call
 * @done: the call has ended
 * @status: its result
 * @delimited: from the result
 */
struct taker {
	bool done;
	enum status status;
	bool delimited;
};

static void
on_done(struct http_call *call, const struct http_result *r, void *arg)
{
	struct taker *t = arg;

	(void)call;
	t->done = true;
	t->status = r->status;
	t->delimited = r->delimited;
}

static const struct http_handler taker_handler = {.on_done = on_done};

static int
listen_at(uint16_t *port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_addr.s_addr = htonl(LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sin, len), 0);
	ck_assert_int_eq(listen(fd, 1), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&sin, &len), 0);
	*port = ntohs(sin.sin_port);
	return fd;
}

/* Guards against an upstream whose bytes never end holding a call, its memory
 * or its connection beyond what the call allows. */
START_TEST(an_answer_without_end_is_broken_off)
{
	struct sender s = {.stream = &answers[_i]};
	struct http_client *client = http_client_new(loop, NULL);
	struct http_request r = {.method = "GET"};
	struct taker t = {0};
	uint64_t begun_ms = clock_now_ms();
	uint16_t port;
	pthread_t thread;
	char url[64];

	s.listening = listen_at(&port);
	ck_assert_int_eq(pthread_create(&thread, NULL, send_stream, &s), 0);
	(void)g_snprintf(url, sizeof(url), "http://127.0.0.1:%u/", port);
	r.url = url;
	r.deadline_ms = begun_ms + DEADLINE_MS;
	(void)http_call_start(client, &r, &taker_handler, &t);
	run_until_ended(&s, DEADLINE_MS + WAIT_MS);
	ck_assert(t.done);
	ck_assert_int_eq(t.status, s.stream->status);
	ck_assert_uint_eq(http_client_idle(client), 0);
	if (s.stream->until_deadline)
		ck_assert_uint_ge(clock_now_ms(), r.deadline_ms);
	(void)pthread_join(thread, NULL);
	(void)close(s.listening);
	http_client_free(client);
}
END_TEST

/* The server */

static void
answer(struct http_incoming *q, int code)
{
	http_incoming_answer(q, code, NULL, 0, 0, false);
	http_incoming_end(q);
}

static void
on_request(
    struct http_incoming *q, const struct http_incoming_head *head, void *arg)
{
	(void)head;
	(void)arg;
	http_incoming_set_arg(q, q);
}

static void
on_bad(struct http_incoming *q, int code, void *arg)
{
	(void)arg;
	answer(q, code);
}

static void
on_body(struct http_incoming *q, const uint8_t *data, size_t len)
{
	(void)q;
	(void)data;
	(void)len;
}

static void
on_body_end(struct http_incoming *q)
{
	answer(q, 200);
}

static void
on_gone(struct http_incoming *q)
{
	(void)q;
}

static const struct http_server_handler server_handler = {
    .on_request = on_request,
    .on_body = on_body,
    .on_body_end = on_body_end,
    .on_gone = on_gone,
    .on_bad = on_bad,
};

/* Guards against a caller whose bytes never end holding its connection. */
START_TEST(a_request_without_end_is_broken_off)
{
	struct sender s = {.stream = &requests[_i], .listening = -1};
	struct http_server_limits limits = {.idle_ms = IDLE_MS};
	struct net_addr at = {LOOPBACK, 0};
	struct http_server *server;
	pthread_t thread;

	ck_assert_int_eq(
	    http_server_new(loop, at, &limits, &server_handler, NULL, &server),
	    STATUS_OK);
	s.fd = support_connect(http_server_addr(server).port);
	ck_assert_int_eq(pthread_create(&thread, NULL, send_stream, &s), 0);
	run_until_ended(&s, WAIT_MS);
	(void)pthread_join(thread, NULL);
	ck_assert_uint_eq(http_server_conns(server), 0);
	http_server_free(server);
}
END_TEST

static void
setup(void)
{
	loop = loop_new();
}

static void
teardown(void)
{
	loop_free(loop);
}

int
main(void)
{
	TCase *tc = tcase_create("endless");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_loop_test(tc, an_answer_without_end_is_broken_off, 0,
	    (int)G_N_ELEMENTS(answers));
	tcase_add_loop_test(tc, a_request_without_end_is_broken_off, 0,
	    (int)G_N_ELEMENTS(requests));
	return support_run("http_endless", tc);
}
