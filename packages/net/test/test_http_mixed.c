/*
 * Tests of the HTTP client with bytes that are no valid answer, and with ends
 * that are not orderly: none of them reaches the owner as a complete answer.
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_caller.h"

#define NO_ANSWER 0
#define UPLOAD_BYTES (8U << 20)

#define OK "HTTP/1.1 200 OK\r\n"
#define SIX "Content-Length: 6\r\n\r\nanswer"
#define WHOLE OK SIX

/**
 * struct answer_case - what a server sends before it closes in order
 * @name: for messages
 * @bytes: the bytes
 * @code: status of the answer, NO_ANSWER if the call must fail
 * @body: body of the answer
 */
struct answer_case {
	const char *name;
	const char *bytes;
	int code;
	const char *body;
};

static const struct answer_case cases[] = {
    /* First lines. */
    {"status 000", "HTTP/1.1 000 Odd\r\n" SIX, NO_ANSWER, ""},
    {"status 000 before an answer", "HTTP/1.1 000 Odd\r\n" SIX WHOLE, NO_ANSWER,
	""},
    {"status 099", "HTTP/1.1 099 Odd\r\n" SIX, NO_ANSWER, ""},
    {"status 600", "HTTP/1.1 600 Odd\r\n" SIX, NO_ANSWER, ""},
    {"status 999", "HTTP/1.1 999 Odd\r\n" SIX, NO_ANSWER, ""},
    {"status of two digits", "HTTP/1.1 20 OK\r\n" SIX, NO_ANSWER, ""},
    {"status of four digits", "HTTP/1.1 0200 OK\r\n" SIX, NO_ANSWER, ""},
    {"status with a sign", "HTTP/1.1 -200 OK\r\n" SIX, NO_ANSWER, ""},
    {"two blanks", "HTTP/1.1  200 OK\r\n" SIX, NO_ANSWER, ""},
    {"no status", "HTTP/1.1\r\n" SIX, NO_ANSWER, ""},
    {"HTTP/2.0", "HTTP/2.0 200 OK\r\n" SIX, NO_ANSWER, ""},
    {"HTTP/0.9", "HTTP/0.9 200 OK\r\n" SIX, NO_ANSWER, ""},
    {"another protocol", "ICY 200 OK\r\n" SIX, NO_ANSWER, ""},
    {"an empty line first", "\r\n" WHOLE, NO_ANSWER, ""},
    {"no reason", "HTTP/1.1 200\r\n" SIX, 200, BODY},
    {"status 599", "HTTP/1.1 599 Odd\r\n" SIX, 599, BODY},
    /* Names and values of fields. */
    {"blank in a name", OK "X y: z\r\n" SIX, NO_ANSWER, ""},
    {"blank behind a name", OK "X : z\r\n" SIX, NO_ANSWER, ""},
    {"blank before a name", OK " X: z\r\n" SIX, NO_ANSWER, ""},
    {"blank in Content-Length", OK "Content Length: 6\r\n\r\nanswer", NO_ANSWER,
	""},
    {"blank behind Content-Length", OK "Content-Length : 6\r\n\r\nanswer",
	NO_ANSWER, ""},
    {"blank behind Transfer-Encoding",
	OK "Transfer-Encoding : chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
	NO_ANSWER, ""},
    {"control byte in a name", OK "X\x01y: z\r\n" SIX, NO_ANSWER, ""},
    {"tab in a name", OK "X\ty: z\r\n" SIX, NO_ANSWER, ""},
    {"delete in a name", OK "X\x7fy: z\r\n" SIX, NO_ANSWER, ""},
    {"byte above ASCII in a name", OK "X\xe9y: z\r\n" SIX, NO_ANSWER, ""},
    {"separator in a name", OK "X(y): z\r\n" SIX, NO_ANSWER, ""},
    {"empty name", OK ": z\r\n" SIX, NO_ANSWER, ""},
    {"line without a colon", OK "X\r\n" SIX, NO_ANSWER, ""},
    {"control byte in a value", OK "X: a\x01z\r\n" SIX, NO_ANSWER, ""},
    {"delete in a value", OK "X: a\x7fz\r\n" SIX, NO_ANSWER, ""},
    {"carriage return in a value", OK "X: a\rz\r\n" SIX, NO_ANSWER, ""},
    {"byte above ASCII in a value", OK "X: a\xe9z\r\n" SIX, 200, BODY},
    /* Lengths. */
    {"two lengths", OK "Content-Length: 6\r\nContent-Length: 3\r\n\r\nanswer",
	NO_ANSWER, ""},
    {"two equal lengths",
	OK "Content-Length: 6\r\nContent-Length: 6\r\n\r\nanswer", NO_ANSWER,
	""},
    {"list of lengths", OK "Content-Length: 6, 6\r\n\r\nanswer", NO_ANSWER, ""},
    {"length with a sign", OK "Content-Length: +6\r\n\r\nanswer", NO_ANSWER,
	""},
    {"negative length", OK "Content-Length: -6\r\n\r\nanswer", NO_ANSWER, ""},
    {"length beside chunks",
	OK "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n"
	   "6\r\nanswer\r\n0\r\n\r\n",
	NO_ANSWER, ""},
    {"chunks beside a length",
	OK "Transfer-Encoding: chunked\r\nContent-Length: 6\r\n\r\n"
	   "6\r\nanswer\r\n0\r\n\r\n",
	NO_ANSWER, ""},
    {"unknown coding", OK "Transfer-Encoding: gzip\r\n\r\nanswer", NO_ANSWER,
	""},
    {"chunks below another coding",
	OK "Transfer-Encoding: gzip, chunked\r\n\r\n"
	   "6\r\nanswer\r\n0\r\n\r\n",
	NO_ANSWER, ""},
    {"chunks twice",
	OK "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
	   "6\r\nanswer\r\n0\r\n\r\n",
	NO_ANSWER, ""},
    {"chunks in HTTP/1.0",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	"6\r\nanswer\r\n0\r\n\r\n",
	NO_ANSWER, ""},
    {"chunk of no length",
	OK "Transfer-Encoding: chunked\r\n\r\nx\r\nanswer\r\n0\r\n\r\n",
	NO_ANSWER, ""},
    {"no length", OK "\r\nanswer", 200, BODY},
    /* Interim answers. */
    {"interim answer", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" WHOLE, 200,
	BODY},
    {"interim answer with a body",
	"HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\nOTHER" WHOLE,
	NO_ANSWER, ""},
    {"interim answer with chunks",
	"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n"
	"5\r\nOTHER\r\n0\r\n\r\n" WHOLE,
	NO_ANSWER, ""},
    {"interim answer with a blank in a name",
	"HTTP/1.1 103 Early Hints\r\nX y: z\r\n\r\n" WHOLE, NO_ANSWER, ""},
    {"interim answer and no final one", "HTTP/1.1 103 Early Hints\r\n\r\n",
	NO_ANSWER, ""},
    {"switching protocols", "HTTP/1.1 101 Switch\r\n\r\n" WHOLE, NO_ANSWER, ""},
    /* Answers that have no body whatever their heads say. */
    {"204 with a length", "HTTP/1.1 204 No Content\r\n" SIX, 204, ""},
    {"304 with a length",
	"HTTP/1.1 304 Not Modified\r\nContent-Length: 6\r\n\r\n", 304, ""},
};

static bool
script(const struct fake_request *r, GString *out)
{
	g_string_append(
	    out, cases[g_ascii_strtoull(r->path + 1, NULL, 10)].bytes);
	return true;
}

static void
setup(void)
{
	caller_setup();
	fake_free(fake);
	fake = fake_new(loop, script);
}

START_TEST(only_valid_answers_are_passed_on)
{
	const struct answer_case *c = &cases[_i];
	char path[16];

	(void)g_snprintf(path, sizeof(path), "/%d", _i);
	caller_get(path);
	if (c->code == NO_ANSWER) {
		ck_assert_msg(caller.status != STATUS_OK, "%s: %d \"%s\"",
		    c->name, caller.code, caller.body->str);
		ck_assert_msg(strstr(caller.body->str, "OTHER") == NULL,
		    "%s: \"%s\"", c->name, caller.body->str);
		return;
	}
	ck_assert_msg(
	    caller.status == STATUS_OK, "%s: %d", c->name, (int)caller.status);
	ck_assert_int_eq(caller.code, c->code);
	ck_assert_str_eq(caller.body->str, c->body);
}
END_TEST

/* Ends that are not orderly */

/**
 * struct early - a server that answers an upload before it has read it
 * @fd: listening socket
 * @head: head of the answer
 * @may_end: the owner has received a part of the answer
 */
struct early {
	int fd;
	const char *head;
	_Atomic bool may_end;
};

/* Owner that pauses the body until the server has reset the connection. */
static struct early early;
static bool paused;

static void *
serve_early(void *unused)
{
	struct linger hard = {.l_onoff = 1};
	char buf[4096] = "";
	int fd = accept(early.fd, NULL, NULL);

	(void)unused;
	(void)recv(fd, buf, sizeof(buf), 0);
	(void)send(fd, early.head, strlen(early.head), MSG_NOSIGNAL);
	memset(buf, 'x', sizeof(buf));
	(void)send(fd, buf, sizeof(buf), MSG_NOSIGNAL);
	while (!early.may_end)
		g_usleep(1000);
	(void)send(fd, buf, sizeof(buf), MSG_NOSIGNAL);
	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	(void)close(fd);
	return NULL;
}

static enum http_flow
pause_body(struct http_call *call, const uint8_t *data, size_t len, void *arg)
{
	struct caller *c = arg;

	(void)call;
	if (!paused) {
		paused = true;
		return HTTP_PAUSE;
	}
	g_string_append_len(c->body, (const char *)data, (gssize)len);
	return HTTP_CONTINUE;
}

static enum http_flow
supply(struct http_call *call, uint8_t *buf, size_t max, size_t *len, void *arg)
{
	struct caller *c = arg;

	(void)call;
	*len = MIN(max, c->pull_bytes - c->pulled);
	memset(buf, 'u', *len);
	c->pulled += *len;
	return *len == 0 ? HTTP_END : HTTP_CONTINUE;
}

static void
record_done(struct http_call *call, const struct http_result *r, void *arg)
{
	struct caller *c = arg;

	(void)call;
	c->call = NULL;
	c->done++;
	c->status = r->status;
}

static uint16_t
listen_early(void)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	socklen_t len = sizeof(at);

	early.fd = socket(AF_INET, SOCK_STREAM, 0);
	at.sin_addr.s_addr = htonl(LOOPBACK);
	ck_assert_int_eq(bind(early.fd, (struct sockaddr *)&at, len), 0);
	ck_assert_int_eq(listen(early.fd, 1), 0);
	ck_assert_int_eq(
	    getsockname(early.fd, (struct sockaddr *)&at, &len), 0);
	return ntohs(at.sin_port);
}

static const char *const early_heads[] = {
    OK "Connection: close\r\n\r\n",
    "HTTP/1.0 200 OK\r\n\r\n",
    OK "Content-Length: 20000\r\n\r\n",
    OK "Transfer-Encoding: chunked\r\n\r\n8000\r\n",
};

/*
 * Guards against a part of an answer that counts as the whole: the connection
 * is reset while the upload is written, and send(2) learns of it before
 * recv(2).
 */
START_TEST(answer_that_is_reset_beside_an_upload_is_not_complete)
{
	const struct http_handler handler = {
	    .on_body = pause_body, .on_pull = supply, .on_done = record_done};
	char *url = g_strdup_printf("http://127.0.0.1:%u/", listen_early());
	struct http_request r = {.method = "POST",
	    .url = url,
	    .pulled = true,
	    .body_bytes = UPLOAD_BYTES,
	    .deadline_ms = loop_now_ms(loop) + WAIT_MS};
	pthread_t thread;

	paused = false;
	early.may_end = false;
	early.head = early_heads[_i];
	caller.pull_bytes = UPLOAD_BYTES;
	ck_assert_int_eq(pthread_create(&thread, NULL, serve_early, NULL), 0);
	caller.call = http_call_start(client, &r, &handler, &caller);
	RUN_UNTIL(loop, paused);
	early.may_end = true;
	ck_assert_int_eq(pthread_join(thread, NULL), 0);
	http_call_resume(caller.call);
	RUN_UNTIL(loop, caller.done);
	ck_assert_int_ne(caller.status, STATUS_OK);
	(void)close(early.fd);
	g_free(url);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("http_mixed");

	tcase_add_checked_fixture(tc, setup, caller_teardown);
	tcase_add_loop_test(
	    tc, only_valid_answers_are_passed_on, 0, G_N_ELEMENTS(cases));
	tcase_add_loop_test(tc,
	    answer_that_is_reset_beside_an_upload_is_not_complete, 0,
	    G_N_ELEMENTS(early_heads));
	return support_run("http_mixed", tc);
}
