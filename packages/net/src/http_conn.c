/*
 * A connection of the HTTP client.
 */
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_conn_defs.h"
#include "sock.h"

/* Maximum size of an answer's head. */
#define HTTP_HEAD_MAX_BYTES (64U * 1024U)
#define HTTP_READ_BYTES 32768
/* on_pull() is called while the output buffer holds less than this. */
#define HTTP_OUT_BYTES 32768
#define HTTP_PULL_BYTES 16384
#define CHUNK_HEAD_BYTES 20
#define LAST_CHUNK "0\r\n\r\n"

static GQueue *
queue_of(const struct http_conn *c)
{
	switch (c->state) {
	case HTTP_CONN_IDLE:
		return &c->client->idle;
	case HTTP_CONN_DEAD:
		return &c->client->dead;
	default:
		return &c->client->conns;
	}
}

static void
set_state(struct http_conn *c, enum http_conn_state state)
{
	g_queue_unlink(queue_of(c), &c->link);
	c->state = state;
	g_queue_push_tail_link(queue_of(c), &c->link);
}

void
http_conn_close(struct http_conn *c)
{
	if (c->state == HTTP_CONN_DEAD)
		return;
	if (c->call != NULL)
		c->call->conn = NULL;
	c->call = NULL;
	set_state(c, HTTP_CONN_DEAD);
	loop_timer_stop(&c->timer);
	if (c->watch != NULL)
		loop_fd_remove(c->watch);
	c->watch = NULL;
	if (c->fd >= 0) {
		(void)close(c->fd);
		descriptors_release(c->client->options.use);
	}
	c->fd = -1;
	loop_task_defer(&c->client->task);
}

void
http_conn_reset(struct http_conn *c)
{
	struct linger hard = {.l_onoff = 1, .l_linger = 0};

	if (c->fd >= 0)
		(void)setsockopt(
		    c->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	http_conn_close(c);
}

void
http_conn_free(struct http_conn *c)
{
	http_head_clear(&c->head);
	g_byte_array_free(c->out, TRUE);
	g_byte_array_free(c->held, TRUE);
	g_free(c);
}

uint32_t
http_conn_count(const struct http_client *client, struct net_addr to)
{
	const struct http_conn *c;
	uint32_t n = 0;
	GList *l;

	for (l = client->conns.head; l != NULL; l = l->next) {
		c = l->data;
		n += addr_equal(&c->to, &to) ? 1 : 0;
	}
	for (l = client->idle.head; l != NULL; l = l->next) {
		c = l->data;
		n += addr_equal(&c->to, &to) ? 1 : 0;
	}
	return n;
}

/* Completion of a call */

static bool
can_keep_alive(const struct http_conn *c)
{
	if (c->call->once && c->call->reuse_idle_ms == 0)
		return false;
	return c->complete && c->written && !c->surplus && c->call->delimited &&
	    !c->call->skipping && c->keep_alive_ms > 0 &&
	    http_should_keep_alive(&c->parser) != 0;
}

static void
make_idle(struct http_conn *c)
{
	uint64_t now_ms = loop_now_ms(c->client->loop);

	c->call->conn = NULL;
	c->call = NULL;
	c->used = true;
	c->idle_since_ms = now_ms;
	set_state(c, HTTP_CONN_IDLE);
	loop_fd_set(c->watch, LOOP_READ);
	loop_timer_set(&c->timer, now_ms + c->keep_alive_ms);
	loop_task_defer(&c->client->task);
}

/*
 * Ends a call and keeps its connection if possible.  A call is in the client's
 * running queue exactly while its conn is set, so it moves to the waiting queue
 * before http_call_end() unlinks it.
 */
static void
complete_call(struct http_conn *c, enum status st)
{
	struct http_call *call = c->call;
	bool kept = st == STATUS_OK && can_keep_alive(c);

	if (!kept) {
		http_call_end(call, st);
		return;
	}
	g_queue_unlink(&call->client->running, &call->link);
	make_idle(c);
	g_queue_push_tail_link(&call->client->waiting, &call->link);
	http_call_end(call, st);
}

static enum status
call_error(enum status st, const char *why)
{
	return status_set(st,
	    "HTTP call failed: %s; check the address and the server there.",
	    why);
}

/*
 * The connection broke before the answer was complete.  Retries the call if a
 * reused connection broke without an answer and the request may be repeated.
 */
static void
conn_broken(struct http_conn *c, const char *why)
{
	struct http_call *call = c->call;

	if (call == NULL) {
		http_conn_close(c);
		return;
	}
	if (c->used && !call->answered && !call->once && !call->pulled)
		http_call_retry(call);
	else
		http_call_end(call, call_error(STATUS_UNAVAILABLE, why));
}

/* Reading */

/* Passes data to the parser, which pauses behind each answer.  Return: the
 * bytes parsed. */
static size_t
parse_answers(struct http_conn *c, const char *data, size_t len)
{
	size_t at = 0;

	do {
		if (!http_read_line(c, data + at, len - at)) {
			c->parser.http_errno = HPE_INVALID_STATUS;
			return at;
		}
		at += http_parser_execute(
		    &c->parser, &http_read_settings, data + at, len - at);
		if (c->call == NULL || c->complete ||
		    HTTP_PARSER_ERRNO(&c->parser) != HPE_PAUSED)
			return at;
		http_parser_pause(&c->parser, 0);
		c->line_bytes = 0;
	} while (at < len);
	return at;
}

/* Passes data to the parser and ends the call when it is complete or failed. */
static void
parse(struct http_conn *c, const char *data, size_t len)
{
	enum http_errno err;
	size_t n;

	c->call->answered |= len > 0;
	n = parse_answers(c, data, len);
	if (c->call == NULL)
		return;
	err = HTTP_PARSER_ERRNO(&c->parser);
	if (c->complete) {
		c->surplus |= n < len;
		http_parser_pause(&c->parser, 0);
		if (!c->call->paused)
			complete_call(c, STATUS_OK);
	} else if (c->call->aborted) {
		http_call_end(c->call,
		    call_error(STATUS_UNAVAILABLE, "aborted by the client"));
	} else if (err != HPE_OK && len == 0) {
		conn_broken(
		    c, "the connection closed before the answer was complete");
	} else if (err != HPE_OK) {
		http_call_end(c->call,
		    call_error(STATUS_INVALID, http_errno_description(err)));
	}
}

/* End of the stream: completes an answer without a length, unless the
 * connection was reset: recv(2) reports that only if send(2) has not. */
static void
on_end_of_stream(struct http_conn *c)
{
	if (c->reset) {
		conn_broken(c, "the connection was reset");
		return;
	}
	if (c->call->answered)
		parse(c, "", 0);
	if (c->call != NULL && !c->complete)
		conn_broken(c, "the connection closed without an answer");
}

static void
read_some(struct http_conn *c)
{
	char buf[HTTP_READ_BYTES];
	ssize_t n;

	n = recv(c->fd, buf, sizeof(buf), 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	/* An idle connection is closed on end of stream, error or any data. */
	if (c->call == NULL)
		http_conn_close(c);
	else if (n < 0)
		conn_broken(c, strerror(errno));
	else if (n == 0)
		on_end_of_stream(c);
	else
		parse(c, buf, (size_t)n);
}

/* Writing */

static void
add_chunk(struct http_conn *c, const uint8_t *data, size_t len)
{
	char head[CHUNK_HEAD_BYTES];
	int n;

	n = g_snprintf(head, sizeof(head), "%zx\r\n", len);
	if (c->call->chunked)
		g_byte_array_append(c->out, (guint8 *)head, (guint)n);
	g_byte_array_append(c->out, data, (guint)len);
	if (c->call->chunked)
		g_byte_array_append(c->out, (const guint8 *)"\r\n", 2);
}

static void
end_pulled_body(struct http_conn *c)
{
	c->call->pull_ended = true;
	if (c->call->chunked)
		g_byte_array_append(
		    c->out, (const guint8 *)LAST_CHUNK, sizeof(LAST_CHUNK) - 1);
}

/* Return: false when the call has ended. */
static bool
pull_body(struct http_conn *c)
{
	uint8_t buf[HTTP_PULL_BYTES];
	struct http_call *call = c->call;
	enum http_flow flow = HTTP_CONTINUE;
	size_t len;

	while (flow == HTTP_CONTINUE && !call->pull_ended &&
	    c->out->len - c->out_sent < HTTP_OUT_BYTES) {
		len = 0;
		flow = call->handler->on_pull(
		    call, buf, sizeof(buf), &len, call->arg);
		if (c->call == NULL)
			return false;
		if (flow == HTTP_CONTINUE && len > 0)
			add_chunk(c, buf, len);
	}
	call->pull_paused = flow == HTTP_PAUSE;
	if (flow == HTTP_END)
		end_pulled_body(c);
	if (flow != HTTP_ABORT)
		return true;
	http_call_end(
	    call, call_error(STATUS_UNAVAILABLE, "aborted by the client"));
	return false;
}

/* Return: false when the connection has failed. */
static bool
flush(struct http_conn *c)
{
	size_t left = c->out->len - c->out_sent;
	ssize_t n;

	while (left > 0) {
		c->call->sent = true;
		n = send(c->fd, c->out->data + c->out_sent, left, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return errno == EAGAIN;
		c->out_sent += (size_t)n;
		left -= (size_t)n;
	}
	g_byte_array_set_size(c->out, 0);
	c->out_sent = 0;
	return true;
}

static void
write_some(struct http_conn *c)
{
	struct http_call *call = c->call;
	bool pending;

	if (call->pulled && !pull_body(c))
		return;
	if (!flush(c)) {
		/* An answer may have arrived before the reset. */
		c->reset = true;
		c->written = false;
		loop_fd_set(c->watch, call->paused ? 0 : LOOP_READ);
		return;
	}
	pending = c->out->len > c->out_sent;
	c->written = !pending && (!call->pulled || call->pull_ended);
	pending |= call->pulled && !call->pull_ended && !call->pull_paused;
	loop_fd_set(c->watch,
	    (call->paused ? 0 : LOOP_READ) | (pending ? LOOP_WRITE : 0));
}

/* Appends the request to the output buffer and starts sending. */
static void
start_request(struct http_conn *c)
{
	struct http_call *call = c->call;

	c->complete = false;
	c->surplus = false;
	c->written = false;
	c->interim = 0;
	c->line_bytes = 0;
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	g_byte_array_append(c->out, call->head->data, call->head->len);
	if (call->body_bytes > 0)
		g_byte_array_append(
		    c->out, call->body, (guint)call->body_bytes);
	write_some(c);
}

/* Delivers held body data; returns false when the call has ended or paused. */
static bool
deliver_held(struct http_conn *c)
{
	struct http_call *call = c->call;
	GByteArray *held = c->held;
	int rv = 0;

	call->paused = false;
	c->held = g_byte_array_new();
	if (held->len > 0)
		rv = http_read_body(
		    &c->parser, (const char *)held->data, held->len);
	g_byte_array_free(held, TRUE);
	if (rv != 0 && c->call != NULL)
		http_call_end(call,
		    call_error(STATUS_UNAVAILABLE, "aborted by the client"));
	return rv == 0 && !call->paused;
}

void
http_conn_resume(struct http_conn *c)
{
	if (c->state != HTTP_CONN_BUSY)
		return;
	if (c->call->paused && !deliver_held(c))
		return;
	if (c->complete)
		complete_call(c, STATUS_OK);
	else
		write_some(c);
}

/* Establishment */

static void
on_connected(struct http_conn *c)
{
	int err = 0;
	socklen_t len = sizeof(err);

	(void)getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &err, &len);
	if (err != 0) {
		conn_broken(c, strerror(err));
		return;
	}
	c->state = HTTP_CONN_BUSY;
	loop_timer_stop(&c->timer);
	start_request(c);
}

static void
on_ready(uint32_t ready, void *arg)
{
	struct http_conn *c = arg;

	if (c->state == HTTP_CONN_DIALLING) {
		on_connected(c);
		return;
	}
	if (ready & LOOP_READ)
		read_some(c);
	if (c->state == HTTP_CONN_BUSY && (ready & LOOP_WRITE))
		write_some(c);
}

static void
on_timer(void *arg)
{
	struct http_conn *c = arg;

	if (c->state == HTTP_CONN_IDLE)
		http_conn_close(c);
	else
		conn_broken(c, "the connection was not established in time");
}

/* Return: 0 or an errno. */
static int
dial_socket(struct http_conn *c)
{
	struct sockaddr_in sin = sock_to_system(c->to);
	int error, on = 1;

	if (!descriptors_take(c->client->options.use))
		return EMFILE;
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (c->fd < 0) {
		error = errno;
		descriptors_release(c->client->options.use);
		return error;
	}
	(void)setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(c->fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 &&
	    errno != EINPROGRESS)
		return errno;
	c->watch = loop_fd_add(c->client->loop, c->fd, LOOP_WRITE, on_ready, c);
	return c->watch == NULL ? EMFILE : 0;
}

void
http_conn_dial(struct http_call *call)
{
	struct http_client *client = call->client;
	struct http_conn *c = g_new0(struct http_conn, 1);
	int err;

	c->client = client;
	c->to = call->to;
	c->call = call;
	c->fd = -1;
	c->out = g_byte_array_new();
	c->held = g_byte_array_new();
	http_head_init(&c->head, HTTP_HEAD_MAX_BYTES, HTTP_RESPONSE_LINES_MAX);
	loop_timer_init(&c->timer, client->loop, on_timer, c);
	c->link.data = c;
	g_queue_push_tail_link(&client->conns, &c->link);
	call->conn = c;
	loop_timer_set(&c->timer, loop_now_ms(client->loop) + call->connect_ms);
	err = dial_socket(c);
	if (err != 0)
		conn_broken(c, strerror(err));
}

/* Reuse of idle connections */

static bool
can_reuse(const struct http_conn *c, const struct http_call *call)
{
	uint64_t idle_ms = loop_now_ms(c->client->loop) - c->idle_since_ms;

	return addr_equal(&c->to, &call->to) && idle_ms < call->reuse_idle_ms;
}

struct http_conn *
http_conn_find(struct http_call *call)
{
	GList *l;

	for (l = call->client->idle.tail; l != NULL; l = l->prev)
		if (can_reuse(l->data, call))
			return l->data;
	return NULL;
}

void
http_conn_use(struct http_conn *c, struct http_call *call)
{
	set_state(c, HTTP_CONN_BUSY);
	loop_timer_stop(&c->timer);
	c->call = call;
	call->conn = c;
	start_request(c);
}

bool
http_call_is_first(const struct http_call *call)
{
	const struct http_conn *c = call->conn;

	return !c->used && !c->surplus;
}
