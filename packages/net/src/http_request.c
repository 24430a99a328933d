/*
 * HTTP server: parsing of requests.
 */
#include <limits.h>
#include <string.h>
#include <strings.h>

#include "http_server_priv.h"

#define BAD_REQUEST 400
#define HEAD_TOO_LARGE 431

static struct http_incoming *
incoming_of(http_parser *p)
{
	return p->data;
}

static int
on_begin(http_parser *p)
{
	struct http_incoming *q = incoming_of(p);
	struct http_server *s = q->server;

	q->state = INCOMING_HEAD;
	http_head_init(
	    &q->head, s->limits.head_max_bytes, HTTP_LINES_UNBOUNDED);
	q->target = g_string_new(NULL);
	loop_timer_set(&q->timer, loop_now_ms(s->loop) + s->limits.head_ms);
	return 0;
}

static int
on_url(http_parser *p, const char *at, size_t len)
{
	struct http_incoming *q = incoming_of(p);

	g_string_append_len(q->target, at, (gssize)len);
	q->head.bytes += (uint32_t)len;
	return q->head.bytes > q->head.bytes_max ? -1 : 0;
}

static int
on_field(http_parser *p, const char *at, size_t len)
{
	return http_head_name(&incoming_of(p)->head, at, len);
}

static int
on_value(http_parser *p, const char *at, size_t len)
{
	return http_head_value(&incoming_of(p)->head, at, len);
}

static int64_t
body_bytes(const http_parser *p)
{
	if (p->flags & F_CHUNKED)
		return HTTP_BODY_CHUNKED;
	if (p->content_length == ULLONG_MAX)
		return 0;
	return (int64_t)MIN(p->content_length, (uint64_t)INT64_MAX);
}

/* Whether every implementation would find the same end of the body. */
static bool
has_unambiguous_length(
    const http_parser *p, const struct http_header *lines, uint32_t n)
{
	bool chunked = false;
	uint32_t i;

	if (p->http_major != 1 || !http_head_valid(lines, n))
		return false;
	for (i = 0; i < n; i++) {
		if (strcasecmp(lines[i].name, "Transfer-Encoding") != 0)
			continue;
		if (chunked || strcasecmp(lines[i].value, "chunked") != 0)
			return false;
		chunked = true;
	}
	return !chunked ||
	    (p->http_minor > 0 &&
		http_head_find(lines, n, "Content-Length") == NULL);
}

static int
dispatch(http_parser *p, const struct http_header *lines, uint32_t n)
{
	struct http_incoming *q = incoming_of(p);
	struct http_server *s = q->server;
	struct http_incoming_head head = {.headers = lines, .n_headers = n};
	const char *expect;

	if (!has_unambiguous_length(p, lines, n))
		return -1;
	head.method = http_method_str((enum http_method)p->method);
	head.target = q->target->str;
	head.body_bytes = body_bytes(p);
	head.caller = q->caller;
	head.version_1_0 = p->http_major == 1 && p->http_minor == 0;
	expect = http_head_find(lines, head.n_headers, "Expect");
	q->expects_continue =
	    expect != NULL && strcasecmp(expect, "100-continue") == 0;
	q->head_only = p->method == HTTP_HEAD;
	q->close = http_should_keep_alive(p) == 0;
	q->state = INCOMING_SERVING;
	q->body_done = head.body_bytes == 0;
	loop_timer_stop(&q->timer);
	s->handler->on_request(q, &head, s->arg);
	return q->state == INCOMING_DEAD ? -1 : 0;
}

static int
on_headers_complete(http_parser *p)
{
	struct http_head *h = &incoming_of(p)->head;
	struct http_header *lines =
	    g_new(struct http_header, http_head_count(h));
	int result = dispatch(p, lines, http_head_lines(h, lines));

	g_free(lines);
	return result;
}

static int
on_body(http_parser *p, const char *at, size_t len)
{
	struct http_incoming *q = incoming_of(p);

	if (q->state == INCOMING_SERVING)
		q->server->handler->on_body(q, (const uint8_t *)at, len);
	if (q->state == INCOMING_DEAD)
		return -1;
	if (q->paused)
		http_parser_pause(p, 1);
	return 0;
}

static int
on_complete(http_parser *p)
{
	struct http_incoming *q = incoming_of(p);

	q->body_done = true;
	loop_timer_stop(&q->timer);
	http_parser_pause(p, 1);
	if (q->state == INCOMING_SERVING)
		q->server->handler->on_body_end(q);
	return q->state == INCOMING_DEAD ? -1 : 0;
}

static const http_parser_settings settings = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

void
http_request_begin(struct http_incoming *q)
{
	http_parser_init(&q->parser, HTTP_REQUEST);
	q->parser.data = q;
	q->body_done = false;
	q->paused = false;
	q->answered = false;
	q->arg = NULL;
}

void
http_request_clear(struct http_incoming *q)
{
	http_head_clear(&q->head);
	if (q->target != NULL)
		g_string_free(q->target, TRUE);
	q->target = NULL;
}

/* Rejects data that is not a valid request or has an ambiguous length. */
static void
reject(struct http_incoming *q, enum http_errno err)
{
	struct http_server *s = q->server;
	bool large = err == HPE_HEADER_OVERFLOW || err == HPE_CB_url ||
	    err == HPE_CB_header_field || err == HPE_CB_header_value;

	if (q->state == INCOMING_SERVING) {
		http_incoming_close(q, false);
		return;
	}
	if (q->state == INCOMING_FLUSHING || q->state == INCOMING_LINGERING)
		return;
	q->state = INCOMING_SERVING;
	q->close = true;
	loop_timer_stop(&q->timer);
	s->handler->on_bad(q, large ? HEAD_TOO_LARGE : BAD_REQUEST, s->arg);
}

static void
buffer_pipelined(struct http_incoming *q, const char *data, size_t len)
{
	if (len == 0)
		return;
	if (q->pipelined == NULL)
		q->pipelined = g_byte_array_new();
	g_byte_array_append(q->pipelined, (const guint8 *)data, (guint)len);
}

/* Whether the parser may continue: not while an answer is pending. */
static bool
can_parse(const struct http_incoming *q)
{
	if (q->state == INCOMING_IDLE || q->state == INCOMING_HEAD)
		return true;
	return q->state == INCOMING_SERVING && !q->body_done && !q->paused;
}

static void
parse(struct http_incoming *q, const char *data, size_t len)
{
	enum http_errno err;
	size_t n;

	q->parsing = true;
	n = http_parser_execute(&q->parser, &settings, data, len);
	q->parsing = false;
	if (q->state == INCOMING_DEAD)
		return;
	err = HTTP_PARSER_ERRNO(&q->parser);
	if (err == HPE_PAUSED || (err == HPE_OK && q->parser.upgrade)) {
		http_parser_pause(&q->parser, 0);
		buffer_pipelined(q, data + n, len - n);
	} else if (err != HPE_OK) {
		reject(q, err);
	}
	if (q->state == INCOMING_FLUSHING)
		http_incoming_flushed(q);
}

void
http_request_feed(struct http_incoming *q, const char *data, size_t len)
{
	GByteArray *buffered = q->pipelined;

	if (!can_parse(q)) {
		buffer_pipelined(q, data, len);
		return;
	}
	/* For the parser a length of 0 means the end of the connection. */
	if (buffered == NULL && len == 0)
		return;
	if (buffered == NULL) {
		parse(q, data, len);
		return;
	}
	g_byte_array_append(buffered, (const guint8 *)data, (guint)len);
	q->pipelined = NULL;
	parse(q, (const char *)buffered->data, buffered->len);
	g_byte_array_free(buffered, TRUE);
}
