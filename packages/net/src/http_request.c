/*
 * HTTP server: parsing of requests.
 */
#include <limits.h>
#include <string.h>
#include <strings.h>

#include "http_server_priv.h"

#define BAD_REQUEST 400
#define HEAD_TOO_LARGE 431
#define NO_ROOM 503

static struct http_server_conn *
conn_of(http_parser *p)
{
	return p->data;
}

static int
on_begin(http_parser *p)
{
	struct http_server_conn *c = conn_of(p);

	c->input = CONN_INPUT_HEAD;
	http_head_init(
	    &c->head, c->server->limits.head_max_bytes, HTTP_LINES_UNBOUNDED);
	c->target = g_string_new(NULL);
	return 0;
}

static int
on_url(http_parser *p, const char *at, size_t len)
{
	struct http_server_conn *c = conn_of(p);

	g_string_append_len(c->target, at, (gssize)len);
	c->head.bytes += (uint32_t)len;
	return c->head.bytes > c->head.bytes_max ? -1 : 0;
}

static int
on_field(http_parser *p, const char *at, size_t len)
{
	return http_head_name(&conn_of(p)->head, at, len);
}

static int
on_value(http_parser *p, const char *at, size_t len)
{
	return http_head_value(&conn_of(p)->head, at, len);
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
	return p->http_major == 1 && http_head_valid(lines, n) &&
	    http_head_has_plain_coding(p, lines, n);
}

static bool
expects_continue(const struct http_incoming_head *head)
{
	const char *expect =
	    http_head_find(head->headers, head->n_headers, "Expect");

	return expect != NULL && strcasecmp(expect, "100-continue") == 0;
}

/*
 * Whether a request may run beside others.  A body would hold up what is behind
 * it, and the end of an HTTP/1.0 answer may be the end of the connection.
 */
static bool
may_overlap(struct http_server *s, const struct http_incoming_head *head)
{
	if (s->handler->may_overlap == NULL || s->limits.overlap_max <= 1)
		return false;
	if (head->body_bytes != 0 || head->version_1_0 ||
	    expects_continue(head))
		return false;
	return s->handler->may_overlap(head, s->arg);
}

static void
fill_head(struct http_server_conn *c, struct http_incoming_head *head)
{
	const http_parser *p = &c->parser;

	head->method = http_method_str((enum http_method)p->method);
	head->target = c->target->str;
	head->body_bytes = body_bytes(p);
	head->caller = c->caller;
	head->version_1_0 = p->http_major == 1 && p->http_minor == 0;
}

static void
dispatch(struct http_server_conn *c, const struct http_incoming_head *head,
    bool overlaps)
{
	struct http_server *s = c->server;
	struct http_incoming *q = http_incoming_new(c);
	bool refused;

	q->version_1_0 = head->version_1_0;
	q->overlaps = overlaps;
	q->expects_continue = expects_continue(head);
	q->head_only = c->parser.method == HTTP_HEAD;
	q->body_done = head->body_bytes == 0;
	c->reading = q;
	c->input = CONN_INPUT_BODY;
	c->closing = c->closing || http_should_keep_alive(&c->parser) == 0;
	http_server_conn_restart_timer(c);
	c->used = true;
	c->surplus = c->surplus && http_server_room_is_tight(s);
	refused = c->surplus || buffer_pool_is_full(s->pool);
	c->closing = c->closing || refused;
	q->request_head_bytes = c->head.bytes;
	if (refused)
		s->handler->on_bad(q, NO_ROOM, s->arg);
	else
		s->handler->on_request(q, head, s->arg);
}

/* A request that may not run beside those under way waits until they are
 * answered. */
static int
dispatch_or_hold(
    struct http_server_conn *c, const struct http_header *lines, uint32_t n)
{
	struct http_incoming_head head = {.headers = lines, .n_headers = n};
	bool overlaps;

	if (!has_unambiguous_length(&c->parser, lines, n))
		return -1;
	fill_head(c, &head);
	overlaps = may_overlap(c->server, &head);
	if (c->requests.length > 0 && !overlaps) {
		c->input = CONN_INPUT_HELD;
		http_parser_pause(&c->parser, 1);
		return 0;
	}
	dispatch(c, &head, overlaps);
	return c->life == CONN_DEAD ? -1 : 0;
}

static int
head_complete(struct http_server_conn *c)
{
	struct http_header *lines =
	    g_new(struct http_header, http_head_count(&c->head));
	int result =
	    dispatch_or_hold(c, lines, http_head_lines(&c->head, lines));

	g_free(lines);
	return result;
}

static int
on_headers_complete(http_parser *p)
{
	return head_complete(conn_of(p));
}

static int
on_body(http_parser *p, const char *at, size_t len)
{
	struct http_server_conn *c = conn_of(p);

	if (c->reading != NULL)
		c->server->handler->on_body(
		    c->reading, (const uint8_t *)at, len);
	if (c->life == CONN_DEAD)
		return -1;
	if (c->reading != NULL && c->reading->paused)
		http_parser_pause(p, 1);
	return 0;
}

static int
on_complete(http_parser *p)
{
	struct http_server_conn *c = conn_of(p);
	struct http_incoming *q = c->reading;

	c->input = CONN_INPUT_IDLE;
	c->reading = NULL;
	http_server_conn_restart_timer(c);
	http_parser_pause(p, 1);
	if (q != NULL) {
		q->body_done = true;
		c->server->handler->on_body_end(q);
	}
	return c->life == CONN_DEAD ? -1 : 0;
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
http_request_init(struct http_server_conn *c)
{
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
}

void
http_request_clear(struct http_server_conn *c)
{
	http_head_clear(&c->head);
	if (c->target != NULL)
		g_string_free(c->target, TRUE);
	c->target = NULL;
}

/* The data is not a valid request or has an ambiguous length. */
static void
become_bad(struct http_server_conn *c, enum http_errno err)
{
	bool large = err == HPE_HEADER_OVERFLOW || err == HPE_CB_url ||
	    err == HPE_CB_header_field || err == HPE_CB_header_value;

	if (c->input == CONN_INPUT_BODY) {
		if (c->reading != NULL)
			http_server_conn_close(c, false);
		return;
	}
	c->input = CONN_INPUT_BAD;
	c->bad_code = large ? HEAD_TOO_LARGE : BAD_REQUEST;
}

void
http_request_reject(struct http_server_conn *c)
{
	struct http_server *s = c->server;

	c->closing = true;
	http_server_conn_restart_timer(c);
	s->handler->on_bad(http_incoming_new(c), c->bad_code, s->arg);
}

static void
buffer_pipelined(struct http_server_conn *c, const char *data, size_t len)
{
	if (len == 0)
		return;
	if (c->pipelined == NULL)
		c->pipelined = g_byte_array_new();
	g_byte_array_append(c->pipelined, (const guint8 *)data, (guint)len);
}

/* Whether another request may run beside those under way.  A request that may
 * not is alone, so the last one stands for all. */
static bool
has_room_beside(const struct http_server_conn *c)
{
	const struct http_incoming *last = c->requests.tail->data;

	return last->overlaps && c->input != CONN_INPUT_HELD &&
	    !c->server->closing &&
	    c->requests.length < c->server->limits.overlap_max;
}

bool
http_request_may_parse(const struct http_server_conn *c)
{
	if (c->life != CONN_OPEN || c->input == CONN_INPUT_BAD)
		return false;
	if (c->input == CONN_INPUT_BODY)
		return c->reading != NULL && !c->reading->paused;
	if (c->closing)
		return false;
	if (c->requests.length == 0)
		return http_server_conn_output_bytes(c) == 0;
	return has_room_beside(c);
}

/* Return: false when the connection was closed. */
static bool
dispatch_held(struct http_server_conn *c)
{
	if (c->input != CONN_INPUT_HELD)
		return true;
	c->parsing = true;
	(void)head_complete(c);
	c->parsing = false;
	return c->life != CONN_DEAD;
}

static void
parse(struct http_server_conn *c, const char *data, size_t len)
{
	enum http_errno err;
	size_t n;

	if (!dispatch_held(c))
		return;
	c->parsing = true;
	n = http_parser_execute(&c->parser, &settings, data, len);
	c->parsing = false;
	if (c->life == CONN_DEAD)
		return;
	err = HTTP_PARSER_ERRNO(&c->parser);
	if (err == HPE_PAUSED || (err == HPE_OK && c->parser.upgrade)) {
		http_parser_pause(&c->parser, 0);
		buffer_pipelined(c, data + n, len - n);
	} else if (err != HPE_OK) {
		become_bad(c, err);
	}
	if (c->input == CONN_INPUT_IDLE) {
		http_request_clear(c);
		http_request_init(c);
	}
}

void
http_request_feed(struct http_server_conn *c, const char *data, size_t len)
{
	GByteArray *buffered = c->pipelined;

	if (!http_request_may_parse(c)) {
		buffer_pipelined(c, data, len);
		return;
	}
	/* For the parser a length of 0 means the end of the connection. */
	if (buffered == NULL && len == 0)
		return;
	if (buffered == NULL) {
		parse(c, data, len);
		return;
	}
	g_byte_array_append(buffered, (const guint8 *)data, (guint)len);
	c->pipelined = NULL;
	parse(c, (const char *)buffered->data, buffered->len);
	g_byte_array_free(buffered, TRUE);
}
