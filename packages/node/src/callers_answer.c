/*
 * Answers to callers.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "callers_priv.h"

#define HTTP_UNAVAILABLE 503
#define MS_PER_S 1000
#define HTTP_NO_CONTENT 204
#define HTTP_NOT_MODIFIED 304
#define NUMBER_BYTES 24

/* Headers that the node adds to those of the upstream. */
#define NODE_HEADERS_MAX 4
#define HEADERS_MAX (MSG_CALL_HEAD_HEADERS_MAX + NODE_HEADERS_MAX)

/**
 * struct answer_head - headers of an answer
 * @lines: the headers
 * @n: number of headers
 * @version: value of the version header
 * @retry_after: value of Retry-After
 */
struct answer_head {
	struct http_header lines[HEADERS_MAX];
	uint32_t n;
	char version[NUMBER_BYTES];
	char retry_after[NUMBER_BYTES];
};

static void
add_line(struct answer_head *h, const char *name, const char *value)
{
	h->lines[h->n].name = name;
	h->lines[h->n].value = value;
	h->n++;
}

/* Whole seconds are rounded up, so that no caller retries too early. */
static void
add_retry_after(
    struct answer_head *h, const struct call_dialect *d, uint64_t after_ms)
{
	if (after_ms == 0)
		return;
	if (d->fractional_retry_after)
		(void)g_snprintf(h->retry_after, sizeof(h->retry_after),
		    "%" PRIu64 ".%03" PRIu64, after_ms / MS_PER_S,
		    after_ms % MS_PER_S);
	else
		(void)g_snprintf(h->retry_after, sizeof(h->retry_after),
		    "%" PRIu64, (after_ms + MS_PER_S - 1) / MS_PER_S);
	add_line(h, HEADER_RETRY_AFTER, h->retry_after);
}

static void
add_node_headers(struct answer_head *h, const struct call_dialect *d,
    const struct call_request *r, const struct call_answer *a)
{
	if (d->fate != NULL)
		add_line(h, d->fate, outcome_name(a->outcome));
	if (d->version != NULL && a->version != 0) {
		(void)g_snprintf(
		    h->version, sizeof(h->version), "%" PRIu64, a->version);
		add_line(h, d->version, h->version);
	}
	if (a->message != NULL && r != NULL && r->id != NULL)
		add_line(h, d->request_id, r->id);
	add_retry_after(h, d, a->retry_after_ms);
}

static void
add_upstream_headers(struct answer_head *h, const struct call_answer *a)
{
	const struct rec_header *line;
	uint32_t i;

	for (i = 0; i < call_headers_count(&a->headers); i++) {
		line = call_headers_at(&a->headers, i);
		add_line(h, line->name, line->value);
	}
}

static char *
error_json(const struct call_answer *a)
{
	json_t *j;
	char *text;

	j = json_pack("{s:{s:s,s:s,s:I}}", "error", "kind", a->kind, "message",
	    a->message, "retry_after_ms", (json_int_t)a->retry_after_ms);
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	return text;
}

static void
write_error(const struct callers *c, struct http_incoming *q,
    const struct call_request *r, const struct call_answer *a)
{
	char *text = error_json(a);
	struct answer_head h = {.n = 0};

	add_node_headers(&h, c->dialect, r, a);
	add_line(&h, "Content-Type", "application/json");
	http_incoming_answer(q, (int)a->status, h.lines, h.n,
	    (int64_t)strlen(text), c->draining);
	http_incoming_write(q, text, strlen(text));
	free(text);
}

static int64_t
body_length(const struct call_request *r, const struct call_answer *a)
{
	if (strcmp(r->method, "HEAD") == 0 || a->status == HTTP_NO_CONTENT ||
	    a->status == HTTP_NOT_MODIFIED)
		return HTTP_BODY_NONE;
	return a->body_bytes < 0 ? HTTP_BODY_CHUNKED : a->body_bytes;
}

void
callers_answer_write(const struct callers *c, struct http_incoming *q,
    const struct call_request *r, const struct call_answer *a)
{
	struct answer_head h = {.n = 0};

	if (a->message != NULL) {
		write_error(c, q, r, a);
		return;
	}
	add_upstream_headers(&h, a);
	add_node_headers(&h, c->dialect, r, a);
	http_incoming_answer(
	    q, (int)a->status, h.lines, h.n, body_length(r, a), c->draining);
}

static void
write_refusal(const struct callers *c, struct http_incoming *q, uint32_t status,
    const char *kind, const char *message, uint64_t retry_after_ms)
{
	struct call_answer *a = call_answer_new(OUTCOME_NOT_RUN, status);

	a->kind = kind;
	a->message = g_strdup(message);
	a->retry_after_ms = retry_after_ms;
	write_error(c, q, NULL, a);
	http_incoming_end(q);
	call_answer_free(a);
}

void
callers_answer_refuse(const struct callers *c, struct http_incoming *q,
    uint32_t status, const char *kind, const char *message)
{
	write_refusal(c, q, status, kind, message,
	    status == HTTP_UNAVAILABLE ? MS_PER_S : 0);
}

void
callers_answer_behind(
    const struct callers *c, struct http_incoming *q, uint64_t retry_after_ms)
{
	write_refusal(c, q, HTTP_UNAVAILABLE, "behind",
	    "a newer configuration than the one in force here may accept this "
	    "request; send it again after the time in Retry-After.",
	    retry_after_ms);
}

char *
callers_answer_full(const struct call_dialect *d)
{
	struct call_answer a = {.kind = "overloaded",
	    .message = (char *)(uintptr_t)CALLERS_FULL_MESSAGE,
	    .retry_after_ms = MS_PER_S};
	char *body = error_json(&a);
	GString *text = g_string_new("HTTP/1.1 503 Service Unavailable\r\n");

	if (d->fate != NULL)
		g_string_append_printf(
		    text, "%s: %s\r\n", d->fate, outcome_name(OUTCOME_NOT_RUN));
	g_string_append_printf(text,
	    HEADER_RETRY_AFTER
	    ": 1\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
	    strlen(body), body);
	free(body);
	return g_string_free(text, FALSE);
}
