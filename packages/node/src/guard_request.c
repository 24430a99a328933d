/*
 * Life cycle of a request at its guard.
 */
#include <stddef.h>

#include "base/clock.h"

#define LOG_PART "guard"
#include "base/log.h"

#include "call_metrics.h"
#include "guard_priv.h"

#define US_PER_MS 1000
#define HTTP_SERVER_ERROR 500

enum admission_class
guard_request_class(const struct guard_request *r)
{
	return r->idempotent ? ADMISSION_LOOKUP : ADMISSION_BOOKING;
}

void
guard_request_admission(
    const struct guard_request *r, struct admission_request *req)
{
	req->ticket = r->ticket;
	req->class = guard_request_class(r);
	req->deadline_ms = r->deadline_ms;
	req->priority = r->priority;
	req->customer = r->customer;
	req->customer_priority = r->customer_priority;
	req->target_ms = r->target_ms;
}

static void
on_free(void *arg)
{
	struct guard_request *r = arg;

	g_hash_table_remove(r->guard->requests, &r->id);
}

/* Detaches the streams that still send the answer; they outlive the request. */
static void
detach_outs(struct guard_request *r)
{
	struct guard_out *o;
	GList *l;

	for (l = r->answer->outs.head; l != NULL; l = l->next) {
		o = l->data;
		o->request = NULL;
	}
	r->body_source = NULL;
}

static void
end_request(struct guard_request *r)
{
	struct guard *g = r->guard;

	r->state = REQUEST_ENDED;
	buffer_holder_set(&r->holder, 0, false);
	guard_credit_end(r);
	loop_timer_stop(&r->timer);
	detach_outs(r);
	g_hash_table_remove(g->tickets, &r->ticket);
	loop_task_init(&r->free_task, g->loop, on_free, r);
	loop_task_defer(&r->free_task);
	drain_request_ended(&g->drain, loop_now_ms(g->loop));
	atomic_fetch_sub(&g->in_flight, 1);
	metric_add(&metric_requests_in_flight, -1);
}

static uint64_t
run_time_ms(const struct guard_request *r)
{
	return (clock_now_us() - r->started_us) / US_PER_MS;
}

/* Updates the admission's mean run time with that of an answered request. */
static void
record_run_time(struct guard_request *r)
{
	struct admission_request req;

	guard_report_ran(r, clock_now_us() - r->started_us);
	guard_request_admission(r, &req);
	admission_record_run(r->upstream->admission, &req, run_time_ms(r),
	    loop_now_ms(r->guard->loop));
}

/* Counts a run for the shortage of called services. */
static void
record_calls(struct guard_request *r, bool failed)
{
	shortage_record(r->upstream->shortage, r->route,
	    failed && r->call_refused, loop_now_ms(r->guard->loop));
}

/* Releases the admission slot of a request that has run. */
static void
release_slot(struct guard_request *r)
{
	admission_finished(r->upstream->admission, r->ticket,
	    guard_request_class(r), run_time_ms(r),
	    loop_now_ms(r->guard->loop));
}

/* Releases the slot of a request that the upstream did not run; returns the
 * retry delay in ms. */
static uint64_t
release_shed_slot(struct guard_request *r)
{
	return admission_shed(r->upstream->admission, r->ticket,
	    guard_request_class(r), loop_now_ms(r->guard->loop));
}

static void
refuse_outs(
    struct guard_request *r, enum refusal refusal, uint64_t retry_after_ms)
{
	struct guard_out *o;

	while ((o = g_queue_peek_head(&r->answer->outs)) != NULL) {
		guard_out_refuse(
		    o->conn, o->stream, r->upstream, refusal, retry_after_ms);
		guard_out_free(o);
	}
}

static void
log_refusal(const struct guard_request *r, enum refusal refusal,
    uint64_t retry_after_ms)
{
	struct log_limit *limit = &r->guard->refusal_log_limit;
	uint32_t left_out = limit->left_out;
	char text[FINGERPRINT_TEXT_BYTES];
	struct rec_load load;

	if (!log_enabled(LOG_LEVEL_INFO) ||
	    !log_limit_take(limit, loop_now_ms(r->guard->loop)))
		return;
	guard_upstream_load(r->upstream, 0, &load);
	log_info("request id=%s request=%s service=%s refused=%s priority=%u "
		 "customer=%016" G_GINT64_MODIFIER "x running=%u "
		 "queued=%u slots=%u limit_milli_per_s=%" G_GUINT64_FORMAT
		 " limit_wait_ms=%u retry_after_ms=%" G_GUINT64_FORMAT
		 " left_out=%u",
	    r->caller_request_id, fingerprint_text(&r->fingerprint, text),
	    r->upstream != NULL ? r->upstream->info.service : "?",
	    refusal_name(refusal), r->priority, r->customer, load.in_flight,
	    load.queued, load.slots, load.limit_milli_per_s, load.limit_wait_ms,
	    retry_after_ms, left_out);
}

static void
count_limited(const struct guard_request *r, enum refusal refusal)
{
	struct rec_load load;

	guard_upstream_load(r->upstream, 0, &load);
	metric_add(
	    &metric_limited, refusal == REFUSAL_WAIT && load.limit_wait_ms > 0);
}

void
guard_request_refuse(
    struct guard_request *r, enum refusal refusal, uint64_t retry_after_ms)
{
	bool was_running = r->state == REQUEST_RUNNING;

	if (r->state == REQUEST_ENDED)
		return;
	fate_refused(r->guard->fates, &r->id, loop_now_ms(r->guard->loop));
	guard_keyed_ended(r, false);
	if (r->state == REQUEST_QUEUED)
		(void)admission_cancel(r->upstream->admission, r->ticket);
	if (was_running && r->shed)
		retry_after_ms = MAX(retry_after_ms, release_shed_slot(r));
	else if (was_running)
		release_slot(r);
	count_limited(r, refusal);
	log_refusal(r, refusal, retry_after_ms);
	refuse_outs(r, refusal, retry_after_ms);
	end_request(r);
	if (was_running)
		guard_upstream_run_queue(r->upstream);
}

void
guard_request_failed(struct guard_request *r)
{
	struct guard_out *o;

	if (r->state == REQUEST_ENDED)
		return;
	fate_failed(r->guard->fates, &r->id, loop_now_ms(r->guard->loop));
	guard_keyed_ended(r, true);
	record_calls(r, true);
	release_slot(r);
	while ((o = g_queue_peek_head(&r->answer->outs)) != NULL) {
		guard_out_failed(o->conn, o->stream, r->upstream);
		guard_out_free(o);
	}
	end_request(r);
	guard_upstream_run_queue(r->upstream);
}

void
guard_request_done(struct guard_request *r)
{
	GBytes *kept = guard_answer_encode(r->answer);

	fate_done(r->guard->fates, &r->id, kept, loop_now_ms(r->guard->loop));
	if (kept != NULL)
		g_bytes_unref(kept);
	guard_keyed_ended(r, true);
	record_run_time(r);
	record_calls(r, r->answer->status >= HTTP_SERVER_ERROR);
	guard_quarantine_answered(r);
	guard_counts_record(r, false);
	release_slot(r);
	r->answer->complete = true;
	guard_answer_send(r->answer, r->upstream);
	end_request(r);
	guard_upstream_run_queue(r->upstream);
}

void
guard_request_discard(struct guard_request *r)
{
	end_request(r);
}

/* The body */

static bool
has_enough_body(const struct guard_request *r)
{
	return r->body_complete || r->received_bytes >= CALL_BODY_PREFIX_BYTES;
}

void
guard_request_print_parts(
    const struct guard_request *r, struct call_print_parts *parts)
{
	parts->dialect = r->guard->dialect;
	parts->method = r->method;
	parts->path = r->path;
	parts->headers = &r->headers;
	parts->address = r->caller;
	parts->body_bytes = r->body_bytes;
	parts->body = &r->body;
	parts->whole = r->body_complete;
}

static void
compute_fingerprint(struct guard_request *r)
{
	struct call_print_parts parts;

	guard_request_print_parts(r, &parts);
	call_print(&parts, &r->fingerprint);
}

void
guard_request_body_arrived(struct guard_request *r)
{
	if (r->state == REQUEST_BODY && has_enough_body(r)) {
		compute_fingerprint(r);
		if (guard_quarantine_check(r))
			return;
		if (r->keyed)
			guard_keyed_submit(r);
		else
			guard_upstream_submit(r);
		return;
	}
	if (r->call != NULL)
		http_call_resume(r->call);
}

static bool
body_length_is_valid(const struct guard_request *r)
{
	if (r->received_bytes >
	    MAX(r->body_share.granted_bytes, CALL_BODY_PREFIX_BYTES))
		return false;
	if (r->body_bytes < 0)
		return true;
	if (r->body_complete)
		return r->received_bytes == (uint64_t)r->body_bytes;
	return r->received_bytes <= (uint64_t)r->body_bytes;
}

bool
guard_request_chunk(struct guard_request *r, const struct msg_call_chunk *m)
{
	if (r->state == REQUEST_ENDED)
		return true;
	if (r->body_complete)
		return false;
	r->received_bytes += m->data_len;
	r->body_complete = m->fin;
	if (!body_length_is_valid(r))
		return false;
	guard_credit_received(r, m->data_len);
	if (m->data_len > 0)
		body_buffer_append(&r->body, m->data, m->data_len);
	guard_request_body_arrived(r);
	guard_request_update_held(r);
	return true;
}

void
guard_request_update_held(struct guard_request *r)
{
	if (r->state != REQUEST_ENDED)
		buffer_holder_set(
		    &r->holder, r->body.held_bytes, !r->body_complete);
}

/* Cancellation */

/*
 * Whether a running request may be aborted at its deadline.  A request that
 * must not run twice continues once it was sent, so that its fate and its
 * answer can still be reported.
 */
static bool
may_abort(const struct guard_request *r)
{
	return r->idempotent || !r->body_complete || !http_call_sent(r->call);
}

/* Aborts the call of a running request.  If a part of the request was sent, the
 * request has failed, as the upstream may have run it; otherwise the request is
 * refused. */
static void
abort_call(struct guard_request *r, enum refusal refusal)
{
	bool sent = http_call_cancel(r->call);

	r->call = NULL;
	if (sent)
		guard_request_failed(r);
	else
		guard_request_refuse(r, refusal, 0);
}

void
guard_request_cancel(struct guard_request *r)
{
	switch (r->state) {
	case REQUEST_BODY:
	case REQUEST_AWAITING_KEY:
	case REQUEST_QUEUED:
		guard_request_refuse(r, REFUSAL_CANCELLED, 0);
		return;
	case REQUEST_RUNNING:
		if (may_abort(r))
			abort_call(r, REFUSAL_CANCELLED);
		return;
	case REQUEST_ENDED:
		return;
	}
}

static void
evict(struct buffer_holder *h)
{
	struct guard_request *r = (struct guard_request *)((char *)h -
	    offsetof(struct guard_request, holder));

	if (r->state == REQUEST_RUNNING)
		abort_call(r, REFUSAL_QUEUE_FULL);
	else
		guard_request_refuse(r, REFUSAL_QUEUE_FULL, 0);
}

const struct buffer_holder_ops guard_request_holder_ops = {.evict = evict};

void
guard_request_abandon(struct guard_request *r)
{
	if (r->state == REQUEST_RUNNING)
		abort_call(r, REFUSAL_CANCELLED);
	else
		guard_request_cancel(r);
}

void
guard_request_waiter_lost(struct guard_request *r, bool was_source)
{
	if (r->state == REQUEST_ENDED)
		return;
	if (was_source && !r->body_complete) {
		guard_request_cancel(r);
		return;
	}
	if (g_queue_is_empty(&r->answer->outs))
		guard_request_cancel(r);
}

void
guard_request_free(void *request)
{
	struct guard_request *r = request;

	if (r->call != NULL)
		(void)http_call_cancel(r->call);
	loop_timer_stop(&r->timer);
	if (r->state == REQUEST_ENDED)
		loop_task_cancel(&r->free_task);
	buffer_holder_set(&r->holder, 0, false);
	body_buffer_clear(&r->body);
	call_headers_clear(&r->headers);
	guard_answer_unref(r->answer);
	g_free(r->path);
	g_free(r);
}
