/*
 * HTTP client: parser callbacks for the answers on a connection.
 */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "http_conn_defs.h"

/* Longest time that a connection is kept idle, and the time used when the
 * server sends no Keep-Alive header. */
#define HTTP_KEEP_ALIVE_MS 30000U
/* Share of the server's keep-alive timeout for which the client reuses a
 * connection, so that the server rarely closes it first. */
#define HTTP_KEEP_ALIVE_PERCENT 70U
#define HTTP_FIRST_FINAL_CODE 200
/* Most interim answers (1xx) before the final one. */
#define HTTP_INTERIM_MAX 16
/* Offsets in a status line such as "HTTP/1.1 200 OK". */
#define LINE_BLANK 8U
#define LINE_STATUS 9U
#define LINE_STATUS_END 12U
#define MS_PER_S 1000U
#define PERCENT 100U
#define DECIMAL 10

static struct http_conn *
conn_of(http_parser *p)
{
	return p->data;
}

/* "HTTP/1." with a digit, a blank, three digits, and a blank or the end of the
 * line. */
static bool
is_line_byte(uint32_t at, char c)
{
	static const char start[] = "HTTP/1.";

	if (at < sizeof(start) - 1)
		return c == start[at];
	switch (at) {
	case LINE_BLANK:
		return c == ' ';
	case LINE_STATUS:
		return c >= '1' && c <= '5';
	case LINE_STATUS_END:
		return c == ' ' || c == '\r' || c == '\n';
	default:
		return g_ascii_isdigit(c);
	}
}

bool
http_read_line(struct http_conn *c, const char *data, size_t len)
{
	size_t i;

	for (i = 0; i < len && c->line_bytes <= LINE_STATUS_END; i++)
		if (!is_line_byte(c->line_bytes++, data[i]))
			return false;
	return true;
}

static int
on_message_begin(http_parser *p)
{
	http_head_reset(&conn_of(p)->head);
	return 0;
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

/* Parses the server's timeout from a header like "timeout=5, max=100". */
static void
read_keep_alive(
    struct http_conn *c, const struct http_header *lines, uint32_t n)
{
	const char *text = http_head_find(lines, n, "Keep-Alive");
	const char *at = text != NULL ? strstr(text, "timeout=") : NULL;

	c->keep_alive_ms = HTTP_KEEP_ALIVE_MS;
	if (at != NULL)
		c->keep_alive_ms = MIN(HTTP_KEEP_ALIVE_MS,
		    strtoul(at + strlen("timeout="), NULL, DECIMAL) * MS_PER_S *
			HTTP_KEEP_ALIVE_PERCENT / PERCENT);
}

/* Whether the answer has no body, whatever its head says. */
static bool
is_bodiless(const struct http_call *call, const http_parser *p)
{
	return call->head_only || p->status_code < HTTP_FIRST_FINAL_CODE ||
	    p->status_code == HTTP_STATUS_NO_CONTENT ||
	    p->status_code == HTTP_STATUS_NOT_MODIFIED;
}

static bool
is_delimited(const struct http_call *call, const http_parser *p)
{
	return is_bodiless(call, p) || (p->flags & F_CHUNKED) != 0 ||
	    p->content_length != ULLONG_MAX;
}

/* Return: as http_parser requires, 1 for an answer without a body. */
static int
on_interim(struct http_conn *c)
{
	if (c->parser.status_code == HTTP_STATUS_SWITCHING_PROTOCOLS ||
	    ++c->interim > HTTP_INTERIM_MAX)
		return -1;
	return 1;
}

/* Return: as http_parser requires, 1 for an answer without a body. */
static int
on_headers_complete(http_parser *p)
{
	struct http_conn *c = conn_of(p);
	struct http_call *call = c->call;
	struct http_header lines[HTTP_RESPONSE_LINES_MAX];
	enum http_flow flow = HTTP_CONTINUE;
	uint32_t n;

	n = http_head_lines(&c->head, lines);
	if (!http_head_valid(lines, n) ||
	    !http_head_has_plain_coding(p, lines, n))
		return -1;
	if (p->status_code < HTTP_FIRST_FINAL_CODE)
		return on_interim(c);
	call->code = p->status_code;
	call->delimited = is_delimited(call, p);
	read_keep_alive(c, lines, n);
	if (call->handler->on_head != NULL)
		flow = call->handler->on_head(
		    call, call->code, lines, n, call->arg);
	if (c->call == NULL)
		return -1;
	if (flow == HTTP_SKIP) {
		call->skipping = true;
		c->surplus = true;
		return is_bodiless(call, p) ? 1 : 0;
	}
	call->head_done = true;
	if (flow != HTTP_CONTINUE) {
		call->aborted = true;
		return -1;
	}
	return is_bodiless(call, p) ? 1 : 0;
}

int
http_read_body(http_parser *p, const char *at, size_t len)
{
	struct http_conn *c = conn_of(p);
	struct http_call *call = c->call;
	enum http_flow flow = HTTP_CONTINUE;

	if (call->skipping)
		return 0;
	if (call->paused) {
		g_byte_array_append(c->held, (const guint8 *)at, (guint)len);
		return 0;
	}
	if (call->handler->on_body != NULL)
		flow = call->handler->on_body(
		    call, (const uint8_t *)at, len, call->arg);
	if (c->call == NULL)
		return -1;
	if (flow == HTTP_PAUSE) {
		call->paused = true;
		g_byte_array_append(c->held, (const guint8 *)at, (guint)len);
		loop_fd_set(c->watch, 0);
		return 0;
	}
	call->aborted = flow != HTTP_CONTINUE;
	return call->aborted ? -1 : 0;
}

static int
on_message_complete(http_parser *p)
{
	struct http_conn *c = conn_of(p);

	if (c->call->skipping)
		c->call->skipping = false;
	else
		c->complete = p->status_code >= HTTP_FIRST_FINAL_CODE;
	http_parser_pause(p, 1);
	return 0;
}

const http_parser_settings http_read_settings = {
    .on_message_begin = on_message_begin,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers_complete,
    .on_body = http_read_body,
    .on_message_complete = on_message_complete,
};
