/*
 * Operations of the HTTP store: send the request, collect the answer, update
 * the metrics.
 *
 * Writes are sent `once`: the HTTP client must not repeat a transaction by
 * itself.
 */
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/metrics.h"
#include "store_call.h"

#define STORE_BUCKET "bramley"
#define STORE_TARGET "DynamoDB_20120810."
#define STORE_CODE_OK 200
/* Largest answer of the table service. */
#define STORE_ANSWER_MAX_BYTES (8U * 1024U * 1024U)
/* Largest error, and largest answer to a write. */
#define STORE_ERROR_MAX_BYTES (64U * 1024U)

static struct metric store_reads = {"bramley_store_reads_total",
    "Rows and objects asked for.", METRIC_COUNTER, NULL, 0, {0}};
static struct metric store_writes = {"bramley_store_writes_total",
    "Rows and objects sent to be written.", METRIC_COUNTER, NULL, 0, {0}};
static struct metric store_read_failures = {"bramley_store_failures_total",
    "Operations that failed, but for conflicts and things not found.",
    METRIC_COUNTER, "operation=\"read\"", 0, {0}};
static struct metric store_write_failures = {"bramley_store_failures_total",
    "Operations that failed, but for conflicts and things not found.",
    METRIC_COUNTER, "operation=\"write\"", 0, {0}};
static struct metric store_unknown = {"bramley_store_unknown_writes_total",
    "Writes of which it is not known whether they took effect.", METRIC_COUNTER,
    NULL, 0, {0}};
static struct metric store_read_time = {"bramley_store_seconds",
    "Time from the start of an operation to its outcome.", METRIC_HISTOGRAM,
    "operation=\"read\"", 0, {0}};
static struct metric store_write_time = {"bramley_store_seconds",
    "Time from the start of an operation to its outcome.", METRIC_HISTOGRAM,
    "operation=\"write\"", 0, {0}};

void
store_register_metrics(void)
{
	metric_register(&store_reads);
	metric_register(&store_writes);
	metric_register(&store_read_failures);
	metric_register(&store_write_failures);
	metric_register(&store_unknown);
	metric_register(&store_read_time);
	metric_register(&store_write_time);
}

/* Calls */

static void
call_count(const struct store_call *call, enum status st)
{
	uint64_t elapsed_us = clock_now_us() - call->started_us;
	bool failed =
	    st != STATUS_OK && st != STATUS_NOT_FOUND && st != STATUS_CONFLICT;

	metric_observe_us(
	    call->is_write ? &store_write_time : &store_read_time, elapsed_us);
	if (failed)
		metric_add(call->is_write ? &store_write_failures
					  : &store_read_failures,
		    1);
	if (st == STATUS_UNKNOWN)
		metric_add(&store_unknown, 1);
}

void
store_call_free(struct store_call *call)
{
	if (call->http != NULL)
		(void)http_call_cancel(call->http);
	loop_task_cancel(&call->reject_task);
	g_queue_unlink(&call->store->calls, &call->link);
	g_byte_array_unref(call->request);
	g_byte_array_unref(call->answer);
	g_free(call);
}

static enum http_flow
call_on_head(struct http_call *http, int code,
    const struct http_header *headers, uint32_t n, void *arg)
{
	struct store_call *call = arg;

	(void)http;
	(void)headers;
	(void)n;
	call->code = code;
	return HTTP_CONTINUE;
}

/* The caller's limit applies to the requested content, not to an error. */
static enum http_flow
call_on_body(struct http_call *http, const uint8_t *data, size_t len, void *arg)
{
	struct store_call *call = arg;
	bool ok = call->code == STORE_CODE_OK;
	size_t max = ok ? call->answer_max_bytes : STORE_ERROR_MAX_BYTES;

	(void)http;
	if (call->answer->len + len > max) {
		call->too_large = ok;
		return HTTP_ABORT;
	}
	(void)g_byte_array_append(call->answer, data, (guint)len);
	return HTTP_CONTINUE;
}

static void
call_on_done(struct http_call *http, const struct http_result *r, void *arg)
{
	struct store_call *call = arg;
	struct answer a = {*r, call->answer->data, call->answer->len};

	(void)http;
	call->http = NULL;
	call_count(call, call->end(call, &a));
	store_call_free(call);
}

/* The operation was rejected locally: nothing was sent. */
static void
call_on_rejected(void *arg)
{
	struct http_result r = {.status = STATUS_INVALID};

	call_on_done(NULL, &r, arg);
}

static const struct http_handler call_handler = {
    .on_head = call_on_head,
    .on_body = call_on_body,
    .on_done = call_on_done,
};

struct store_call *
store_call_new(struct store *base, store_end_fn *end, bool is_write, void *arg)
{
	struct store_call *call = g_new0(struct store_call, 1);

	call->store = (struct http_store *)base;
	call->end = end;
	call->is_write = is_write;
	call->arg = arg;
	call->answer_max_bytes =
	    is_write ? STORE_ERROR_MAX_BYTES : STORE_ANSWER_MAX_BYTES;
	call->started_us = clock_now_us();
	call->request = g_byte_array_new();
	call->answer = g_byte_array_new();
	call->link.data = call;
	loop_task_init(
	    &call->reject_task, call->store->loop, call_on_rejected, call);
	g_queue_push_tail_link(&call->store->calls, &call->link);
	return call;
}

void
store_call_reject(struct store_call *call, enum status st)
{
	call->rejected = st;
	loop_task_defer(&call->reject_task);
}

static void
call_start(struct store_call *call, const char *method, const char *url,
    const struct http_header *headers, uint32_t n, uint64_t deadline_ms)
{
	struct http_request r = {.method = method,
	    .url = url,
	    .headers = headers,
	    .n_headers = n,
	    .once = call->is_write,
	    .deadline_ms = deadline_ms};

	if (call->request->len > 0) {
		r.body = call->request->data;
		r.body_bytes = call->request->len;
	}
	call->http =
	    http_call_start(call->store->client, &r, &call_handler, call);
}

static void
call_count_rows(const struct store_call *call, uint32_t rows)
{
	metric_add(call->is_write ? &store_writes : &store_reads, rows);
}

void
store_call_table(struct store_call *call, const char *operation, json_t *json,
    uint32_t rows, uint64_t deadline_ms)
{
	char *target = g_strconcat(STORE_TARGET, operation, NULL);
	struct http_header headers[] = {
	    {"Content-Type", "application/x-amz-json-1.0"},
	    {"X-Amz-Target", target}};
	char *text = json_dumps(json, JSON_COMPACT);

	(void)g_byte_array_append(
	    call->request, (const guint8 *)text, (guint)strlen(text));
	call_count_rows(call, rows);
	call_start(call, "POST", call->store->table_url, headers,
	    G_N_ELEMENTS(headers), deadline_ms);
	free(text);
	json_decref(json);
	g_free(target);
}

void
store_call_object(struct store_call *call, const char *method, const char *key,
    uint64_t deadline_ms)
{
	struct http_header headers[] = {
	    {"Content-Type", "application/octet-stream"},
	    {"If-None-Match", "*"}};
	uint32_t n = call->is_write ? G_N_ELEMENTS(headers) : 0;
	char *path = g_uri_escape_string(key, "/", FALSE);
	char *url = g_strdup_printf(
	    "%s/" STORE_BUCKET "/%s", call->store->object_url, path);

	call_count_rows(call, 1);
	call_start(call, method, url, headers, n, deadline_ms);
	g_free(url);
	g_free(path);
}

enum status
store_call_too_large(const struct store_call *call)
{
	return status_set(STATUS_TOO_LARGE,
	    "The platform's answer exceeds %zu bytes; request less or raise "
	    "the limit.",
	    call->answer_max_bytes);
}
