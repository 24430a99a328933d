/*
 * A call at the server for callers: moves the request's body to the entry and
 * the answer to the caller.
 */
#include <string.h>

#define LOG_PART "callers"
#include "base/log.h"

#include "call_metrics.h"
#include "callers_priv.h"

#define HTTP_REQUEST_TIMEOUT 408
#define HTTP_HEADERS_TOO_LARGE 431
#define HTTP_UNAVAILABLE 503

/* Bodies of known length up to this are read completely before the call is
 * submitted. */
#define BUFFERED_BODY_MAX_BYTES 32768

/* Timeout for reading a buffered body. */
#define BODY_READ_TIMEOUT_MS 5000

static void
call_free(struct caller_call *call)
{
	loop_timer_stop(&call->timer);
	call_exchange_attach_caller(call->exchange, NULL, NULL);
	call_exchange_watch_held(call->exchange, NULL, NULL);
	call_exchange_unref(call->exchange);
	atomic_fetch_sub(&call->callers->in_flight, 1);
	g_free(call);
}

/* Ends the answer: completely, or by aborting the connection. */
static void
finish_answer(struct caller_call *call, enum exchange_end end)
{
	struct http_incoming *q = call->incoming;

	call->incoming = NULL;
	if (http_incoming_is_behind(q))
		metric_add(&metric_answers_held, 1);
	if (end == EXCHANGE_COMPLETE)
		http_incoming_end(q);
	else
		http_incoming_abort(q);
	call_free(call);
}

/* Writes the buffered answer until the connection's output buffer is full. */
static void
write_answer(struct caller_call *call)
{
	struct call_exchange *x = call->exchange;
	enum exchange_end end;
	size_t len;
	const uint8_t *data = call_exchange_peek_answer(x, &len, &end);

	while (data != NULL &&
	    http_incoming_output_bytes(call->incoming) <=
		HTTP_OUTPUT_LOW_BYTES) {
		http_incoming_write(call->incoming, data, len);
		call_exchange_consume_answer(x, len);
		data = call_exchange_peek_answer(x, &len, &end);
	}
	if (data == NULL && end != EXCHANGE_OPEN)
		finish_answer(call, end);
}

/* The entry has accepted the body, read a part of it, or answered. */
static void
on_entry(struct call_exchange *x, void *arg)
{
	struct caller_call *call = arg;
	const struct call_answer *a = call_exchange_answer_head(x);

	if (a != NULL && !call->answer_begun) {
		call->answer_begun = true;
		callers_answer_write(
		    call->callers, call->incoming, call_exchange_request(x), a);
	}
	if (call->answer_begun) {
		write_answer(call);
		return;
	}
	if (call_exchange_is_accepted(x) && !call->buffered) {
		http_incoming_continue(call->incoming);
		if (call_exchange_has_room(x))
			http_incoming_resume(call->incoming);
	}
}

static void
on_held(struct call_exchange *x, void *arg)
{
	struct caller_call *call = arg;

	if (call->incoming != NULL)
		http_incoming_set_held(
		    call->incoming, call_exchange_held_bytes(x));
}

static void
submit(struct caller_call *call)
{
	call->submitted = true;
	loop_timer_stop(&call->timer);
	entry_submit(call->callers->entry, call->exchange);
}

/* Refuses a request whose small body arrives too slowly; it was not run. */
static void
on_body_timeout(void *arg)
{
	struct caller_call *call = arg;
	struct http_incoming *q = call->incoming;

	call->incoming = NULL;
	callers_answer_refuse(call->callers, q, HTTP_REQUEST_TIMEOUT, "timeout",
	    "the body arrived too slowly; send it faster.");
	call_free(call);
}

static struct caller_call *
call_new(struct callers *c, struct http_incoming *q)
{
	struct caller_call *call = g_new0(struct caller_call, 1);

	call->callers = c;
	call->incoming = q;
	call->exchange = call_exchange_new(c->loop);
	loop_timer_init(&call->timer, c->loop, on_body_timeout, call);
	atomic_fetch_add(&c->in_flight, 1);
	return call;
}

static void
start_call(struct caller_call *call, int64_t body_bytes)
{
	struct http_incoming *q = call->incoming;
	struct loop *loop = call->callers->loop;

	call->buffered =
	    body_bytes >= 0 && body_bytes <= BUFFERED_BODY_MAX_BYTES;
	call_exchange_attach_caller(call->exchange, on_entry, call);
	call_exchange_watch_held(call->exchange, on_held, call);
	http_incoming_set_arg(q, call);
	if (body_bytes == 0) {
		call_exchange_end_request(call->exchange, EXCHANGE_COMPLETE);
		submit(call);
	} else if (call->buffered) {
		http_incoming_continue(q);
		loop_timer_set(
		    &call->timer, loop_now_ms(loop) + BODY_READ_TIMEOUT_MS);
	} else {
		http_incoming_pause(q);
		submit(call);
	}
}

static void
on_request(
    struct http_incoming *q, const struct http_incoming_head *head, void *arg)
{
	struct callers *c = arg;
	struct caller_call *call = call_new(c, q);
	uint32_t status;

	if (http_incoming_is_behind(q))
		metric_add(&metric_overlapping, 1);
	status = callers_request_read(
	    c, head, call_exchange_request(call->exchange));
	if (status == 0) {
		start_call(
		    call, call_exchange_request(call->exchange)->body_bytes);
		return;
	}
	callers_answer_refuse(c, q, status, "invalid",
	    "the request's head is invalid; check its path, deadline, length "
	    "and number of headers.");
	call_free(call);
}

static bool
may_overlap(const struct http_incoming_head *head, void *arg)
{
	struct callers *c = arg;

	return entry_may_overlap(
	    c->entry, head->method, callers_request_host(head), head->target);
}

static void
on_body(struct http_incoming *q, const uint8_t *data, size_t len)
{
	struct caller_call *call = http_incoming_arg(q);

	if (call->answer_begun)
		return;
	if (!call_exchange_write_request(call->exchange, data, len) &&
	    !call->buffered)
		http_incoming_pause(q);
}

static void
on_body_end(struct http_incoming *q)
{
	struct caller_call *call = http_incoming_arg(q);

	call->body_ended = true;
	if (call->submitted &&
	    call_exchange_request(call->exchange)->body_bytes == 0)
		return;
	call_exchange_end_request(call->exchange, EXCHANGE_COMPLETE);
	if (!call->submitted)
		submit(call);
}

static void
on_writable(struct http_incoming *q)
{
	struct caller_call *call = http_incoming_arg(q);

	if (call->answer_begun)
		write_answer(call);
}

static void
log_evicted(const struct caller_call *call)
{
	struct callers *c = call->callers;
	const char *id = call_exchange_request(call->exchange)->id;
	uint32_t left_out = c->evicted_log_limit.left_out;

	metric_add(&metric_callers_evicted, 1);
	if (log_limit_take(&c->evicted_log_limit, loop_now_ms(c->loop)))
		log_info("request id=%s ended=memory submitted=%d "
			 "body_ended=%d held_bytes=%" G_GUINT64_FORMAT
			 " left_out=%u",
		    id != NULL ? id : "-", call->submitted, call->body_ended,
		    call_exchange_held_bytes(call->exchange), left_out);
}

static void
on_gone(struct http_incoming *q)
{
	struct caller_call *call = http_incoming_arg(q);

	if (call == NULL)
		return;
	if (http_incoming_is_evicted(q))
		log_evicted(call);
	if (call->submitted)
		call_exchange_disconnect(call->exchange);
	else
		metric_add(&metric_departures_unsubmitted, 1);
	call_free(call);
}

static void
on_unread(void *arg)
{
	struct callers *c = arg;
	struct log_limit *limit = &c->unread_log_limit;
	uint32_t left_out = limit->left_out;

	metric_add(&metric_departures_unread, 1);
	if (log_enabled(LOG_LEVEL_INFO) &&
	    log_limit_take(limit, loop_now_ms(c->loop)))
		log_info("a caller left before its request was read, "
			 "left_out=%u",
		    left_out);
}

/* All connections that callers may have are in use. */
static void
refuse_for_room(struct callers *c, struct http_incoming *q)
{
	uint32_t left_out = c->room_log_limit.left_out;

	metric_add(&metric_callers_refused, 1);
	if (log_limit_take(&c->room_log_limit, loop_now_ms(c->loop)))
		log_info(
		    "a request is refused, since all connections or "
		    "buffers are in use: %u connections, %" G_GUINT64_FORMAT
		    " bytes, left_out=%u",
		    http_server_conns(c->server),
		    http_server_buffered_bytes(c->server), left_out);
	callers_answer_refuse(
	    c, q, HTTP_UNAVAILABLE, "overloaded", CALLERS_FULL_MESSAGE);
}

static void
on_bad(struct http_incoming *q, int code, void *arg)
{
	struct callers *c = arg;
	struct http_server_limits limits;
	uint64_t retry_after_ms = 0;
	char text[160];

	/* Of these errors only this one depends on the configuration, so that a
	 * newer version may accept the request. */
	if (code == HTTP_HEADERS_TOO_LARGE)
		retry_after_ms = entry_behind_head(c->entry, (uint32_t)code);
	if (retry_after_ms != 0) {
		callers_answer_behind(c, q, retry_after_ms);
		return;
	}
	if (code == HTTP_UNAVAILABLE) {
		refuse_for_room(c, q);
		return;
	}
	callers_limits(c->settings, &limits);
	(void)g_snprintf(text, sizeof(text),
	    "the request is malformed or too large; its first line and "
	    "headers must be well formed and at most %u bytes.",
	    limits.head_max_bytes);
	callers_answer_refuse(c, q, (uint32_t)code, "invalid", text);
}

const struct http_server_handler callers_handler = {
    .on_request = on_request,
    .may_overlap = may_overlap,
    .on_body = on_body,
    .on_body_end = on_body_end,
    .on_writable = on_writable,
    .on_gone = on_gone,
    .on_unread = on_unread,
    .on_bad = on_bad,
};
