/*
 * HTTP server: a connection and the answers on it.
 */
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_server_priv.h"

#define READ_BYTES 32768
#define HEAD_BYTES 512
#define CHUNK_HEAD_BYTES 20
/* Limit of pipelined data; above it the connection is not read. */
#define PIPELINED_MAX_BYTES 65536U
/* Time for which input is discarded after an answer that was sent before the
 * end of the request. */
#define LINGER_MS 1000U
#define MS_PER_S 1000U
#define LAST_CHUNK "0\r\n\r\n"
#define CONTINUE_LINE "HTTP/1.1 100 Continue\r\n\r\n"

/* Headers that the server sets itself. */
static const char *const own_headers[] = {
    "Connection", "Keep-Alive", "Content-Length", "Transfer-Encoding"};

static uint64_t
now_ms(const struct http_incoming *q)
{
	return loop_now_ms(q->server->loop);
}

/* Closing */

static void
close_socket(struct http_incoming *q, bool reset)
{
	struct linger abort_linger = {.l_onoff = 1, .l_linger = 0};

	if (reset)
		(void)setsockopt(q->fd, SOL_SOCKET, SO_LINGER, &abort_linger,
		    sizeof(abort_linger));
	loop_fd_remove(q->watch);
	(void)close(q->fd);
	q->fd = -1;
}

void
http_incoming_close(struct http_incoming *q, bool reset)
{
	struct http_server *s = q->server;
	bool serving = q->state == INCOMING_SERVING;

	if (q->state == INCOMING_DEAD)
		return;
	q->state = INCOMING_DEAD;
	g_queue_unlink(&s->conns, &q->link);
	g_queue_push_tail_link(&s->dead, &q->link);
	loop_task_defer(&s->task);
	loop_timer_stop(&q->timer);
	loop_task_cancel(&q->task);
	close_socket(q, reset);
	if (serving)
		s->handler->on_gone(q);
}

void
http_incoming_free(struct http_incoming *q)
{
	http_request_clear(q);
	if (q->pipelined != NULL)
		g_byte_array_free(q->pipelined, TRUE);
	if (q->out != NULL)
		g_byte_array_free(q->out, TRUE);
	g_free(q);
}

/* Watched events and timer */

static bool
wants_read(const struct http_incoming *q)
{
	uint32_t pipelined = q->pipelined != NULL ? q->pipelined->len : 0;

	if (q->peer_ended)
		return false;
	if (q->state == INCOMING_SERVING && q->paused)
		return false;
	return pipelined < PIPELINED_MAX_BYTES;
}

/* With serve_departed, the end is noticed in its place behind the data. */
static bool
watches_end(const struct http_incoming *q)
{
	return !q->peer_ended && !q->server->handler->serve_departed;
}

/* The end of the stream is watched even while nothing is read. */
void
http_incoming_watch(struct http_incoming *q)
{
	uint32_t events = watches_end(q) ? LOOP_HANGUP : 0;

	if (q->state == INCOMING_DEAD)
		return;
	if (wants_read(q))
		events |= LOOP_READ;
	if (http_incoming_output_bytes(q) > 0)
		events |= LOOP_WRITE;
	loop_fd_set(q->watch, events);
}

static void
set_timer(struct http_incoming *q, uint32_t after_ms)
{
	loop_timer_set(&q->timer, now_ms(q) + after_ms);
}

static void
on_timer(void *arg)
{
	struct http_incoming *q = arg;

	http_incoming_close(q, false);
}

/* Between requests */

static void
report_unread(const struct http_incoming *q)
{
	struct http_server *s = q->server;

	if (s->handler->on_unread != NULL)
		s->handler->on_unread(s->arg);
}

static void
become_idle(struct http_incoming *q)
{
	struct http_server *s = q->server;

	http_request_clear(q);
	http_request_begin(q);
	q->state = INCOMING_IDLE;
	if (q->peer_ended &&
	    (q->pipelined == NULL || !s->handler->serve_departed)) {
		if (q->pipelined != NULL)
			report_unread(q);
		http_incoming_close(q, false);
		return;
	}
	set_timer(q, s->limits.idle_ms);
	if (q->pipelined != NULL)
		loop_task_defer(&q->task);
	http_incoming_watch(q);
}

/* Parses pipelined data, resumes after a pause, and starts writing. */
static void
on_task(void *arg)
{
	struct http_incoming *q = arg;

	http_request_feed(q, "", 0);
	http_incoming_watch(q);
}

/*
 * The answer was sent before the complete request was read.  Closing now would
 * reset the connection, which could destroy the answer before the caller reads
 * it, so the input is discarded for LINGER_MS first.
 */
static void
linger(struct http_incoming *q)
{
	q->state = INCOMING_LINGERING;
	(void)shutdown(q->fd, SHUT_WR);
	set_timer(q, LINGER_MS);
	http_incoming_watch(q);
}

void
http_incoming_flushed(struct http_incoming *q)
{
	if (q->state != INCOMING_FLUSHING || q->parsing ||
	    http_incoming_output_bytes(q) > 0)
		return;
	if (!q->body_done && !q->peer_ended)
		linger(q);
	else if (q->close)
		http_incoming_close(q, false);
	else
		become_idle(q);
}

/* Writing */

size_t
http_incoming_output_bytes(const struct http_incoming *q)
{
	return q->out != NULL ? q->out->len - q->out_sent : 0;
}

/* Return: false when the connection has failed. */
static bool
write_some(struct http_incoming *q)
{
	size_t left = http_incoming_output_bytes(q);
	ssize_t n;

	while (left > 0) {
		n = send(q->fd, q->out->data + q->out_sent, left, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return errno == EAGAIN;
		q->out_sent += (size_t)n;
		left -= (size_t)n;
		if (left > 0 || q->state == INCOMING_FLUSHING)
			set_timer(q, q->server->limits.stall_ms);
	}
	if (q->out != NULL)
		g_byte_array_free(q->out, TRUE);
	q->out = NULL;
	q->out_sent = 0;
	return true;
}

static void
flush(struct http_incoming *q)
{
	if (!write_some(q)) {
		http_incoming_close(q, true);
		return;
	}
	if (q->state == INCOMING_SERVING && q->writable_due &&
	    http_incoming_output_bytes(q) <= HTTP_OUTPUT_LOW_BYTES) {
		q->writable_due = false;
		if (q->server->handler->on_writable != NULL)
			q->server->handler->on_writable(q);
	}
	http_incoming_flushed(q);
	http_incoming_watch(q);
}

static void
add(struct http_incoming *q, const void *data, size_t len)
{
	if (q->out == NULL)
		q->out = g_byte_array_sized_new(HEAD_BYTES);
	g_byte_array_append(q->out, data, (guint)len);
	if (http_incoming_output_bytes(q) > HTTP_OUTPUT_LOW_BYTES)
		q->writable_due = true;
}

static void
add_text(struct http_incoming *q, const char *text)
{
	add(q, text, strlen(text));
}

/* Reading */

bool
http_incoming_has_unread(const struct http_incoming *q)
{
	char byte;

	return recv(q->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/*
 * The peer has closed its side.  Nobody reads an answer from now on, so data of
 * a request that precedes the end is dropped unread.
 */
static void
peer_ended(struct http_incoming *q)
{
	q->peer_ended = true;
	if (q->state == INCOMING_HEAD ||
	    (q->state == INCOMING_IDLE && http_incoming_has_unread(q)))
		report_unread(q);
	/* The complete answer is already being sent. */
	if (q->state == INCOMING_FLUSHING)
		http_incoming_watch(q);
	else
		http_incoming_close(q, false);
}

static void
read_some(struct http_incoming *q)
{
	char buf[READ_BYTES];
	ssize_t n;

	n = recv(q->fd, buf, sizeof(buf), 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0) {
		http_incoming_close(q, false);
		return;
	}
	if (n == 0) {
		peer_ended(q);
		return;
	}
	if (q->state == INCOMING_LINGERING)
		return;
	http_request_feed(q, buf, (size_t)n);
	if (q->state == INCOMING_SERVING && !q->body_done && !q->paused)
		set_timer(q, q->server->limits.stall_ms);
	http_incoming_watch(q);
}

static void
on_ready(uint32_t ready, void *arg)
{
	struct http_incoming *q = arg;

	if (ready & LOOP_HANGUP)
		peer_ended(q);
	else if (ready & LOOP_READ)
		read_some(q);
	if (q->state != INCOMING_DEAD && (ready & LOOP_WRITE))
		flush(q);
}

void
http_incoming_accept(struct http_server *s, int fd, struct net_addr caller)
{
	struct http_incoming *q = g_new0(struct http_incoming, 1);
	int on = 1;

	q->server = s;
	q->watch = loop_fd_add(s->loop, fd,
	    watches_end(q) ? LOOP_READ | LOOP_HANGUP : LOOP_READ, on_ready, q);
	if (q->watch == NULL) {
		(void)close(fd);
		g_free(q);
		return;
	}
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	q->fd = fd;
	q->caller = caller;
	q->link.data = q;
	loop_timer_init(&q->timer, s->loop, on_timer, q);
	loop_task_init(&q->task, s->loop, on_task, q);
	g_queue_push_tail_link(&s->conns, &q->link);
	http_request_begin(q);
	set_timer(q, s->limits.idle_ms);
}

/* Functions for the owner */

void
http_incoming_set_arg(struct http_incoming *q, void *arg)
{
	q->arg = arg;
}

void *
http_incoming_arg(const struct http_incoming *q)
{
	return q->arg;
}

void
http_incoming_pause(struct http_incoming *q)
{
	q->paused = true;
	loop_timer_stop(&q->timer);
	http_incoming_watch(q);
}

void
http_incoming_resume(struct http_incoming *q)
{
	if (!q->paused)
		return;
	q->paused = false;
	loop_task_defer(&q->task);
	if (!q->body_done)
		set_timer(q, q->server->limits.stall_ms);
}

void
http_incoming_continue(struct http_incoming *q)
{
	if (!q->expects_continue || q->answered)
		return;
	q->expects_continue = false;
	add_text(q, CONTINUE_LINE);
	flush(q);
}

static bool
is_own(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(own_headers); i++)
		if (strcasecmp(name, own_headers[i]) == 0)
			return true;
	return false;
}

static void
add_line(struct http_incoming *q, const char *name, const char *value)
{
	add_text(q, name);
	add_text(q, ": ");
	add_text(q, value);
	add_text(q, "\r\n");
}

static void
add_headers(struct http_incoming *q, const struct http_header *headers,
    uint32_t n, int64_t body_bytes)
{
	bool keep_length = body_bytes == HTTP_BODY_NONE;
	uint32_t i;

	for (i = 0; i < n; i++) {
		if (is_own(headers[i].name) &&
		    !(keep_length &&
			strcasecmp(headers[i].name, "Content-Length") == 0))
			continue;
		add_line(q, headers[i].name, headers[i].value);
	}
}

/* HTTP/1.0 has no chunks: closing the connection marks the end of the body. */
static void
add_length(struct http_incoming *q, int64_t body_bytes)
{
	char text[sizeof("-9223372036854775808")];

	if (body_bytes >= 0) {
		(void)g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT,
		    (gint64)body_bytes);
		add_line(q, "Content-Length", text);
	} else if (body_bytes == HTTP_BODY_CHUNKED) {
		q->chunked =
		    q->parser.http_major > 1 || q->parser.http_minor > 0;
		if (q->chunked)
			add_line(q, "Transfer-Encoding", "chunked");
		else
			q->close = true;
	}
}

void
http_incoming_answer(struct http_incoming *q, int code,
    const struct http_header *headers, uint32_t n, int64_t body_bytes,
    bool close)
{
	char line[64];

	q->close = q->close || close || !q->body_done || q->server->closing;
	q->answered = true;
	q->chunked = false;
	(void)g_snprintf(line, sizeof(line), "HTTP/1.1 %d %s\r\n", code,
	    http_status_str((enum http_status)code));
	add_text(q, line);
	add_headers(q, headers, n, body_bytes);
	add_length(q, body_bytes);
	if (q->close)
		add_line(q, "Connection", "close");
	add_text(q, "\r\n");
}

void
http_incoming_write(struct http_incoming *q, const void *data, size_t len)
{
	char head[CHUNK_HEAD_BYTES];

	if (len == 0 || q->head_only)
		return;
	if (q->chunked) {
		(void)g_snprintf(head, sizeof(head), "%zx\r\n", len);
		add_text(q, head);
	}
	add(q, data, len);
	if (q->chunked)
		add_text(q, "\r\n");
	loop_task_defer(&q->task);
}

void
http_incoming_end(struct http_incoming *q)
{
	if (q->chunked && !q->head_only)
		add_text(q, LAST_CHUNK);
	q->state = INCOMING_FLUSHING;
	q->arg = NULL;
	set_timer(q, q->server->limits.stall_ms);
	flush(q);
}

void
http_incoming_abort(struct http_incoming *q)
{
	q->state = INCOMING_FLUSHING;
	http_incoming_close(q, true);
}
