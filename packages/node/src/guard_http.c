/*
 * HTTP calls from the guard to an upstream: sends the request with its body,
 * reads the answer, and derives the request's fate from how the call ended.
 */
#include <string.h>

#include "base/clock.h"
#include "base/decimal.h"

#define LOG_PART "guard"
#include "base/log.h"

#include "call_metrics.h"
#include "guard_priv.h"

#define HTTP_OK_MIN 200
#define HTTP_OK_MAX 299
#define HTTP_MISDIRECTED 421
#define HTTP_NO_CONTENT 204
#define HTTP_NOT_MODIFIED 304
#define NUMBER_BYTES 24
#define ID_HEX_BYTES (2 * REQUEST_ID_BYTES + 1)
/* Longest Retry-After of an upstream that is passed on. */
#define SHED_RETRY_MAX_MS 60000

/* Maximum number of headers that the guard adds to those of the caller. */
#define ADDED_HEADERS_MAX 3

#define CONTENT_LENGTH "Content-Length"

static const char *
find_header(const struct http_header *headers, uint32_t n, const char *name)
{
	uint32_t i;

	for (i = 0; name != NULL && i < n; i++)
		if (g_ascii_strcasecmp(headers[i].name, name) == 0)
			return headers[i].value;
	return NULL;
}

/* Whether the answer reports that the upstream did not run the request. */
static bool
reports_not_run(const struct call_dialect *d, int code,
    const struct http_header *headers, uint32_t n)
{
	const char *value = find_header(headers, n, d->not_run);

	if (code == HTTP_MISDIRECTED && d->target != NULL)
		return true;
	if (value == NULL || code < 400)
		return false;
	return d->not_run_value == NULL ||
	    g_ascii_strcasecmp(value, d->not_run_value) == 0;
}

static void
record_shed(
    struct guard_request *r, const struct http_header *headers, uint32_t n)
{
	const char *retry_after = find_header(headers, n, HEADER_RETRY_AFTER);

	r->shed = true;
	if (retry_after != NULL)
		(void)decimal_parse_milli(
		    retry_after, SHED_RETRY_MAX_MS, &r->shed_retry_ms);
}

/* Id that the caller gave the request; NULL if there is none. */
static const char *
caller_id(const struct guard_request *r)
{
	const struct call_dialect *d = r->guard->dialect;
	const struct rec_header *h;
	uint32_t i;

	if (!d->caller_sets_request_id)
		return NULL;
	for (i = 0; i < call_headers_count(&r->headers); i++) {
		h = call_headers_at(&r->headers, i);
		if (g_ascii_strcasecmp(h->name, d->request_id) == 0)
			return h->value;
	}
	return NULL;
}

/*
 * Whether the answer may belong to a request other than @r.  Upstreams echo the
 * id.  An answer without one that follows another answer on the connection may
 * be surplus bytes of an upstream, whose statement must not decide whether a
 * request is repeated.
 */
static bool
answers_other_request(const struct guard_request *r,
    const struct http_call *call, const struct http_header *headers, uint32_t n)
{
	const char *id = caller_id(r);
	const char *named;

	if (id == NULL)
		return false;
	named = find_header(headers, n, r->guard->dialect->request_id);
	if (named == NULL)
		return !http_call_is_first(call);
	return strcmp(id, named) != 0;
}

/* A success that is unsigned or encoded is not the upstream's own, unaltered
 * answer: it may have been altered on the way. */
static bool
is_invalid_answer(const struct guard_request *r, int code,
    const struct http_header *headers, uint32_t n)
{
	const struct call_dialect *d = r->guard->dialect;

	if (d->signature == NULL || code < HTTP_OK_MIN || code > HTTP_OK_MAX)
		return false;
	return find_header(headers, n, d->signature) == NULL ||
	    find_header(headers, n, "Content-Encoding") != NULL;
}

static bool
has_no_body(const struct guard_request *r, int code)
{
	return strcmp(r->method, "HEAD") == 0 || code == HTTP_NO_CONTENT ||
	    code == HTTP_NOT_MODIFIED;
}

static int64_t
body_length(const struct guard_request *r, int code,
    const struct http_header *headers, uint32_t n)
{
	const char *length = find_header(headers, n, CONTENT_LENGTH);

	if (has_no_body(r, code))
		return 0;
	if (length == NULL ||
	    find_header(headers, n, "Transfer-Encoding") != NULL)
		return -1;
	return g_ascii_strtoll(length, NULL, 10);
}

static void
add_header(struct guard_answer *a, const char *name, const char *value)
{
	(void)call_headers_add(&a->headers, name, (uint32_t)strlen(name), value,
	    (uint32_t)strlen(value));
}

/* Content-Length is copied for HEAD only, where it does not describe a body
 * that follows. */
static void
copy_headers(
    struct guard_request *r, const struct http_header *headers, uint32_t n)
{
	GTree *named =
	    call_headers_conn_options(find_header(headers, n, "Connection"));
	const char *length = find_header(headers, n, CONTENT_LENGTH);
	const struct http_header *h;
	uint32_t i;

	if (length != NULL && strcmp(r->method, "HEAD") == 0)
		add_header(r->answer, CONTENT_LENGTH, length);

	for (i = 0; i < n; i++) {
		h = &headers[i];
		if (!call_header_is_forwarded(h->name, named,
			r->guard->dialect->prefix,
			r->guard->dialect->from_upstreams))
			continue;
		add_header(r->answer, h->name, h->value);
	}
	call_headers_conn_options_free(named);
}

static enum http_flow
on_head(struct http_call *call, int code, const struct http_header *headers,
    uint32_t n, void *arg)
{
	struct guard_request *r = arg;
	struct guard_answer *a = r->answer;

	if (answers_other_request(r, call, headers, n)) {
		log_info("request id=%s service=%s: answer to another request "
			 "ignored, status=%d",
		    r->caller_request_id, r->upstream->info.service, code);
		return HTTP_SKIP;
	}
	if (reports_not_run(r->guard->dialect, code, headers, n)) {
		/* Another upstream may have the address now. */
		if (code != HTTP_MISDIRECTED)
			guard_report_read(r, false, headers, n);
		record_shed(r, headers, n);
		return HTTP_CONTINUE;
	}
	if (is_invalid_answer(r, code, headers, n)) {
		r->invalid_answer = true;
		return HTTP_ABORT;
	}
	guard_report_read(r, true, headers, n);
	a->has_head = true;
	a->status = (uint32_t)code;
	a->length = body_length(r, code, headers, n);
	a->guard_us = r->started_us - r->opened_us;
	a->upstream_us = clock_now_us() - r->started_us;
	metric_observe_us(&metric_upstream_us, a->upstream_us);
	copy_headers(r, headers, n);
	return HTTP_CONTINUE;
}

static enum http_flow
on_body(struct http_call *call, const uint8_t *data, size_t len, void *arg)
{
	struct guard_request *r = arg;

	(void)call;
	if (r->shed)
		return HTTP_CONTINUE;
	if (guard_answer_is_full(r->answer)) {
		r->paused = true;
		return HTTP_PAUSE;
	}
	guard_answer_add(r->answer, data, len);
	guard_answer_send(r->answer, r->upstream);
	return HTTP_CONTINUE;
}

static enum http_flow
on_pull(
    struct http_call *call, uint8_t *buf, size_t max, size_t *len, void *arg)
{
	struct guard_request *r = arg;
	size_t bytes;
	const uint8_t *data =
	    body_buffer_at(&r->body, r->body_sent_bytes, &bytes);

	(void)call;
	if (data == NULL)
		return r->body_complete ? HTTP_END : HTTP_PAUSE;
	*len = MIN(bytes, max);
	memcpy(buf, data, *len);
	r->body_sent_bytes += *len;
	body_buffer_release(&r->body, r->body_sent_bytes);
	guard_request_update_held(r);
	guard_credit_consumed(r, *len);
	return HTTP_CONTINUE;
}

/*
 * A body without a length ends with its connection.  Such an answer is complete
 * if the upstream closed the connection in order; after a reset the call has
 * failed.
 */
static bool
answer_is_complete(const struct guard_answer *a, const struct http_result *res)
{
	if (res->status != STATUS_OK || !a->has_head)
		return false;
	return a->length < 0 || a->base + a->data->len == (uint64_t)a->length;
}

/* The request= field lets an operator match this line with the requests that a
 * crash of the upstream lists. */
static void
log_failure(const struct guard_request *r, const struct http_result *res)
{
	struct log_limit *limit = &r->guard->failure_log_limit;
	char text[FINGERPRINT_TEXT_BYTES];
	uint32_t left_out = limit->left_out;

	if (!log_limit_take(limit, loop_now_ms(r->guard->loop)))
		return;
	log_info("request id=%s request=%s service=%s failed=upstream sent=%d "
		 "cause=%s left_out=%u",
	    r->caller_request_id, fingerprint_text(&r->fingerprint, text),
	    r->upstream->info.service, res->sent, status_message(), left_out);
}

static void
on_done(struct http_call *call, const struct http_result *res, void *arg)
{
	struct guard_request *r = arg;

	(void)call;
	r->call = NULL;
	/* A refusal speaks for one sending only. */
	if (r->shed && !res->resent) {
		guard_request_refuse(r, REFUSAL_UPSTREAM, r->shed_retry_ms);
		return;
	}
	if (answer_is_complete(r->answer, res)) {
		guard_request_done(r);
		return;
	}
	log_failure(r, res);
	if (!res->sent) {
		guard_request_refuse(r, REFUSAL_NO_ENDPOINT, 0);
		return;
	}
	if (res->status == STATUS_UNAVAILABLE && !r->invalid_answer)
		guard_crash_connection_lost(r);
	guard_counts_record(r, true);
	guard_request_failed(r);
}

static const struct http_handler upstream_handler = {
    .on_head = on_head,
    .on_body = on_body,
    .on_pull = on_pull,
    .on_done = on_done,
};

static void
id_hex(const struct request_id *id, char *hex)
{
	int i;

	for (i = 0; i < REQUEST_ID_BYTES; i++)
		(void)g_snprintf(hex + 2 * (size_t)i, 3, "%02x", id->bytes[i]);
}

static void
set_header(struct http_header *headers, uint32_t *n, const char *name,
    const char *value)
{
	headers[*n].name = name;
	headers[*n].value = value;
	(*n)++;
}

/* Fills @headers; returns the number of headers. */
static uint32_t
set_headers(const struct guard_request *r, struct http_header *headers,
    const char *id, const char *time_left)
{
	const struct call_dialect *d = r->guard->dialect;
	const char *instance = r->upstream->info.instance;
	const struct rec_header *h;
	uint32_t i, n = 0;

	for (i = 0; i < call_headers_count(&r->headers); i++) {
		h = call_headers_at(&r->headers, i);
		set_header(headers, &n, h->name, h->value);
	}
	if (!d->caller_sets_request_id)
		set_header(headers, &n, d->request_id, id);
	set_header(headers, &n, d->deadline, time_left);
	if (d->target != NULL && instance[0] != '\0')
		set_header(headers, &n, d->target, instance);
	return n;
}

/* A complete body in one piece is sent as a block; any other body is pulled. */
static void
set_body(struct guard_request *r, struct http_request *req)
{
	uint64_t whole = body_buffer_bytes(&r->body);
	size_t bytes;
	const uint8_t *data =
	    body_buffer_at(&r->body, r->body.first_bytes, &bytes);

	if (r->body_complete && bytes == whole) {
		req->body = data;
		req->body_bytes = bytes;
		return;
	}
	req->pulled = true;
	req->body_bytes =
	    r->body_bytes < 0 ? HTTP_LENGTH_UNKNOWN : (uint64_t)r->body_bytes;
}

void
guard_http_start(struct guard_request *r)
{
	struct http_header *headers;
	struct guard *g = r->guard;
	uint64_t now_ms = loop_now_ms(g->loop);
	char id[ID_HEX_BYTES], time_left[NUMBER_BYTES];
	struct http_request req;
	GString *url;

	if (!fate_start(g->fates, &r->id, now_ms))
		return;
	r->state = REQUEST_RUNNING;
	r->started_us = clock_now_us();
	r->run = r->upstream->report.run;
	metric_observe_us(&metric_guard_us, r->started_us - r->opened_us);
	id_hex(&r->id, id);
	(void)g_snprintf(time_left, sizeof(time_left), "%" G_GUINT64_FORMAT,
	    clock_left_ms(r->deadline_ms, now_ms));
	url = g_string_new(r->upstream->url);
	g_string_append(url, r->path);
	headers = g_new(struct http_header,
	    call_headers_count(&r->headers) + ADDED_HEADERS_MAX);
	memset(&req, 0, sizeof(req));
	req.method = r->method;
	req.url = url->str;
	req.headers = headers;
	req.n_headers = set_headers(r, headers, id, time_left);
	req.once = !r->idempotent;
	req.reuse_idle_ms =
	    r->idempotent ? 0 : r->guard->settings->once_reuse_ms;
	req.deadline_ms = r->latest_deadline_ms;
	set_body(r, &req);
	log_debug("%s: call started after %" G_GUINT64_FORMAT " us",
	    r->upstream->info.service, r->started_us - r->opened_us);
	r->call = http_call_start(g->http, &req, &upstream_handler, r);
	g_string_free(url, TRUE);
	g_free(headers);
	guard_credit_consumed(r, 0);
}
