/*
 * HTTP server: requests under way and their answers, which are sent in the
 * order of the requests.
 */
#include <string.h>
#include <strings.h>

#include "http_server_priv.h"

#define HEAD_BYTES 512
#define CHUNK_HEAD_BYTES 20
#define END_OF_HEAD "\r\n"
#define LAST_CHUNK "0\r\n\r\n"
#define CONTINUE_LINE "HTTP/1.1 100 Continue\r\n\r\n"
#define CLOSE_LINE "Connection: close\r\n"

/* Headers that the server sets itself. */
static const char *const own_headers[] = {
    "Connection", "Keep-Alive", "Content-Length", "Transfer-Encoding"};

/* Order */

struct http_incoming *
http_incoming_new(struct http_server_conn *c)
{
	struct http_incoming *q = g_new0(struct http_incoming, 1);

	q->conn = c;
	q->link.data = q;
	g_queue_push_tail_link(&c->requests, &q->link);
	return q;
}

void
http_incoming_free(struct http_incoming *q)
{
	if (q->out != NULL)
		g_byte_array_free(q->out, TRUE);
	g_free(q);
}

struct http_incoming *
http_incoming_first(const struct http_server_conn *c)
{
	return c->requests.head != NULL ? c->requests.head->data : NULL;
}

static bool
is_first(const struct http_incoming *q)
{
	return q->link.prev == NULL;
}

/* Whether the connection is closed after this answer. */
static bool
closes(const struct http_incoming *q)
{
	const GList *next = q->link.next;

	if (next == NULL)
		return q->conn->closing;
	return ((const struct http_incoming *)next->data)->aborted;
}

/* Output */

static GByteArray *
append(GByteArray *out, const void *data, size_t len)
{
	if (out == NULL)
		out = g_byte_array_sized_new(HEAD_BYTES);
	return g_byte_array_append(out, data, (guint)len);
}

/* Removes what was sent once it is the larger part, so that the buffer of a
 * long answer to a slow caller stays small. */
static void
drop_sent(struct http_server_conn *c)
{
	if (c->out_sent <= HTTP_OUTPUT_LOW_BYTES ||
	    c->out_sent < c->out->len / 2)
		return;
	g_byte_array_remove_range(c->out, 0, (guint)c->out_sent);
	c->out_sent = 0;
}

static void
add(struct http_incoming *q, const void *data, size_t len)
{
	struct http_server_conn *c = q->conn;

	if (is_first(q)) {
		c->out = append(c->out, data, len);
		drop_sent(c);
	} else {
		q->out = append(q->out, data, len);
	}
	if (http_incoming_output_bytes(q) > HTTP_OUTPUT_LOW_BYTES)
		q->writable_due = true;
}

static void
add_text(struct http_incoming *q, const char *text)
{
	add(q, text, strlen(text));
}

/* Moves the part of an answer that waited for its turn to the connection. */
static void
move_output(struct http_incoming *q)
{
	GByteArray *from = q->out;
	size_t head = q->head_bytes;

	if (from == NULL)
		return;
	q->out = NULL;
	if (q->answered && closes(q)) {
		add(q, from->data, head);
		add_text(q, CLOSE_LINE);
		add(q, from->data + head, from->len - head);
	} else {
		add(q, from->data, from->len);
	}
	g_byte_array_free(from, TRUE);
}

/* The caller gets no part of an answer that was aborted before its turn, so
 * that a close shows that it is missing. */
static void
end_missing(struct http_server_conn *c)
{
	struct http_incoming *q;

	while ((q = http_incoming_first(c)) != NULL) {
		g_queue_unlink(&c->requests, &q->link);
		http_incoming_free(q);
	}
}

/* Gives those behind an answer that has ended their turn. */
static void
take_turns(struct http_server_conn *c)
{
	struct http_incoming *q;

	while ((q = http_incoming_first(c)) != NULL) {
		if (q->aborted) {
			end_missing(c);
			return;
		}
		move_output(q);
		if (!q->ended)
			return;
		g_queue_unlink(&c->requests, &q->link);
		http_incoming_free(q);
	}
}

/* Ends the requests behind @q as departures. */
static void
end_behind(struct http_incoming *q)
{
	struct http_server_conn *c = q->conn;
	struct http_incoming *last;

	while ((last = g_queue_peek_tail(&c->requests)) != q) {
		g_queue_unlink(&c->requests, &last->link);
		if (c->reading == last)
			c->reading = NULL;
		if (!last->ended)
			c->server->handler->on_gone(last);
		http_incoming_free(last);
	}
}

void
http_incoming_flushed(struct http_server_conn *c)
{
	struct http_incoming *q = http_incoming_first(c);

	if (q == NULL || q->ended || !q->writable_due ||
	    http_incoming_output_bytes(q) > HTTP_OUTPUT_LOW_BYTES)
		return;
	q->writable_due = false;
	if (c->server->handler->on_writable != NULL)
		c->server->handler->on_writable(q);
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
http_incoming_set_held(struct http_incoming *q, uint64_t bytes)
{
	q->held_bytes = bytes;
	http_server_conn_update_held(q->conn);
}

bool
http_incoming_is_evicted(const struct http_incoming *q)
{
	return q->conn->evicted;
}

bool
http_incoming_is_behind(const struct http_incoming *q)
{
	return !is_first(q);
}

size_t
http_incoming_output_bytes(const struct http_incoming *q)
{
	if (is_first(q))
		return http_server_conn_output_bytes(q->conn);
	return q->out != NULL ? q->out->len : 0;
}

void
http_incoming_pause(struct http_incoming *q)
{
	q->paused = true;
	http_server_conn_update(q->conn);
}

void
http_incoming_resume(struct http_incoming *q)
{
	if (!q->paused)
		return;
	q->paused = false;
	if (q->conn->life == CONN_OPEN)
		loop_task_defer(&q->conn->task);
}

void
http_incoming_continue(struct http_incoming *q)
{
	if (!q->expects_continue || q->answered)
		return;
	q->expects_continue = false;
	add_text(q, CONTINUE_LINE);
	http_server_conn_flush(q->conn);
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
		q->chunked = !q->version_1_0;
		if (q->chunked)
			add_line(q, "Transfer-Encoding", "chunked");
		else
			q->conn->closing = true;
	}
}

void
http_incoming_answer(struct http_incoming *q, int code,
    const struct http_header *headers, uint32_t n, int64_t body_bytes,
    bool close)
{
	struct http_server_conn *c = q->conn;
	char line[64];

	if (close || !q->body_done || c->server->closing)
		c->closing = true;
	q->answered = true;
	q->chunked = false;
	(void)g_snprintf(line, sizeof(line), "HTTP/1.1 %d %s\r\n", code,
	    http_status_str((enum http_status)code));
	add_text(q, line);
	add_headers(q, headers, n, body_bytes);
	add_length(q, body_bytes);
	if (!is_first(q))
		q->head_bytes = q->out->len;
	else if (closes(q))
		add_text(q, CLOSE_LINE);
	add_text(q, END_OF_HEAD);
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
	if (is_first(q) && q->conn->life == CONN_OPEN)
		loop_task_defer(&q->conn->task);
}

/* Marks the end of the owner's part; Return: whether it is the answer's turn.
 */
static bool
end(struct http_incoming *q)
{
	struct http_server_conn *c = q->conn;

	q->ended = true;
	q->arg = NULL;
	if (c->reading == q)
		c->reading = NULL;
	return is_first(q) && c->life == CONN_OPEN;
}

void
http_incoming_end(struct http_incoming *q)
{
	struct http_server_conn *c = q->conn;

	if (q->chunked && !q->head_only)
		add_text(q, LAST_CHUNK);
	if (!end(q))
		return;
	take_turns(c);
	http_server_conn_flush(c);
}

void
http_incoming_abort(struct http_incoming *q)
{
	struct http_server_conn *c = q->conn;

	if (end(q)) {
		http_server_conn_close(c, true);
		return;
	}
	if (c->life != CONN_OPEN)
		return;
	q->aborted = true;
	c->closing = true;
	end_behind(q);
}
