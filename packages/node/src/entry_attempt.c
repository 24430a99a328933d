/*
 * One stream of a call: an attempt sent to a guard, or a query for an attempt's
 * outcome.
 */
#include <string.h>

#include "base/clock.h"

#define LOG_PART "entry"
#include "base/log.h"

#include "call_metrics.h"
#include "entry_log.h"

static bool send_chunk(struct call_sender *s, struct call_link *link);

static const struct call_sender_ops body_ops = {.send = send_chunk};

struct entry_attempt *
entry_attempt_new(struct entry_call *c, const struct call_action *action)
{
	struct entry_attempt *a = g_new0(struct entry_attempt, 1);

	a->sender.ops = &body_ops;
	a->call = c;
	a->kind = action->kind == CALL_RESOLVE ? ATTEMPT_RESOLVE : ATTEMPT_SEND;
	a->action = *action;
	request_id_make(&a->id, c->entry->seed, c->sequence, action->attempt);
	a->answer_length = BODY_LENGTH_UNKNOWN;
	body_buffer_init(&a->answer_body);
	g_ptr_array_add(c->attempts, a);
	return a;
}

void
entry_attempt_free(void *attempt)
{
	struct entry_attempt *a = attempt;

	entry_peer_remove(a);
	call_answer_free(a->answer);
	body_buffer_clear(&a->answer_body);
	g_free(a);
}

/* A call of an upstream ranks no lower than the request that it serves. */
static void
fill_rank(const struct entry_call *c, struct msg_call_open *m)
{
	m->priority = c->route->priority;
	if (c->customer != NULL) {
		m->customer = c->customer->id;
		m->customer_priority = c->customer->priority + 1;
	} else if (c->is_served) {
		m->customer = c->served.customer;
		m->customer_priority = c->served.customer_priority;
	}
	if (c->is_served)
		m->priority = MIN(m->priority, c->served.priority);
}

static void
fill_open(const struct entry_attempt *a, struct msg_call_open *m)
{
	const struct entry_call *c = a->call;
	const struct call_request *r = c->request;
	const struct run_report known =
	    run_reports_get(c->entry->runs, a->action.endpoint);
	uint64_t now_ms = loop_now_ms(c->entry->loop);
	uint64_t left_ms;

	memset(m, 0, sizeof(*m));
	m->known_run = known.run;
	m->known_limit_milli_per_s = known.limit_milli_per_s;
	m->known_leaving = known.leaving;
	left_ms = clock_left_ms(c->deadline_ms, now_ms);
	m->stream = a->stream;
	m->request_id = a->id.bytes;
	m->request_id_len = REQUEST_ID_BYTES;
	(void)g_strlcpy(m->service, c->config->name, sizeof(m->service));
	(void)g_strlcpy(m->method, r->method, sizeof(m->method));
	m->path = r->path;
	m->path_len = (uint32_t)strlen(r->path);
	m->headers = call_headers_rec(&r->headers);
	m->n_headers = call_headers_count(&r->headers);
	m->idempotent = c->idempotent;
	if (c->keyed) {
		m->key = r->key;
		m->key_len = (uint32_t)strlen(r->key);
	}
	m->time_left_ms = (uint32_t)MIN(left_ms, UINT32_MAX);
	fill_rank(c, m);
	if (c->target_ms != 0)
		m->target_left_ms = (uint32_t)MAX(
		    MIN(clock_left_ms(c->target_ms, now_ms), UINT32_MAX), 1);
	m->sent_ms = now_ms;
	m->body_bytes = r->body_bytes;
	m->version = c->snapshot->version;
	(void)g_strlcpy(m->caller, r->caller, sizeof(m->caller));
	m->route = entry_route_key(c->route);
}

/* The state machine is notified before the first byte can be sent. */
static void
send_open(struct entry_attempt *a)
{
	struct entry_call *c = a->call;
	struct msg_call_open open;
	uint64_t now_ms = loop_now_ms(c->entry->loop);

	fill_open(a, &open);
	call_sent(c->machine, a->action.stream, a->peer->incarnation, now_ms);
	a->sent_us = clock_now_us();
	a->credit_bytes = a->peer->initial_credit_bytes;
	if (a->action.attempt == 1)
		metric_observe_us(
		    &metric_entry_us, a->sent_us - c->request->arrived_us);
	if (call_link_send(&a->peer->link, MSG_CALL_OPEN, &open) != STATUS_OK) {
		entry_peer_remove(a);
		entry_attempt_end(a, ENDPOINT_UNREACHABLE);
		call_lost(c->machine, a->action.stream, now_ms);
		return;
	}
	entry_attempt_send_body(a);
}

static void
send_resolve(struct entry_attempt *a)
{
	struct entry_call *c = a->call;
	uint64_t now_ms = loop_now_ms(c->entry->loop);
	struct msg_call_resolve m = {.stream = a->stream,
	    .request_id = a->id.bytes,
	    .request_id_len = REQUEST_ID_BYTES,
	    .incarnation = a->action.incarnation,
	    .age_ms = (uint32_t)(now_ms - a->action.sent_ms),
	    .sent_ms = now_ms,
	    .cancel = a->action.cancel};

	a->sent_us = clock_now_us();
	metric_add(&metric_resolves, 1);
	if (call_link_send(&a->peer->link, MSG_CALL_RESOLVE, &m) != STATUS_OK) {
		entry_peer_remove(a);
		call_resolve_failed(c->machine, a->action.stream, now_ms);
	}
}

void
entry_attempt_refused(struct entry_attempt *a)
{
	struct entry_call *c = a->call;
	uint64_t now_ms = loop_now_ms(c->entry->loop);

	entry_attempt_end(a, ENDPOINT_DRAINS);
	call_sent(c->machine, a->action.stream, 0, now_ms);
	call_refused(c->machine, a->action.stream, REFUSAL_STOPPING, 0, now_ms);
	entry_call_run(c);
}

void
entry_attempt_start(struct entry_attempt *a)
{
	if (a->kind == ATTEMPT_SEND)
		send_open(a);
	else
		send_resolve(a);
	entry_call_run(a->call);
}

/* Reports the time spent outside the upstream, as measured by attempts without
 * a body that got the head of an answer or were cancelled. */
static void
record_latency(const struct entry_attempt *a, enum endpoint_result result)
{
	struct entry *e = a->call->entry;
	uint64_t until_us = a->head_us != 0 ? a->head_us : clock_now_us();

	if (a->call->request->body_bytes != 0 || a->sent_us == 0)
		return;
	if (a->head_us == 0 && result != ENDPOINT_CANCELLED)
		return;
	endpoints_record_delay(e->endpoints, a->action.endpoint,
	    until_us - a->sent_us, a->upstream_us, loop_now_ms(e->loop));
}

void
entry_attempt_end(struct entry_attempt *a, enum endpoint_result result)
{
	struct entry *e = a->call->entry;
	uint64_t took_us = 0;

	if (!a->counted)
		return;
	a->counted = false;
	record_latency(a, result);
	if (a->head_us > a->sent_us)
		took_us =
		    endpoints_comparable_us(e->endpoints, a->action.endpoint,
			entry_route_key(a->call->route), a->upstream_us);
	endpoints_ended(e->endpoints, a->action.endpoint, result, took_us,
	    loop_now_ms(e->loop));
}

void
entry_attempt_lost(struct entry_attempt *a, bool silent)
{
	struct entry_call *c = a->call;
	uint64_t now_ms = loop_now_ms(c->entry->loop);

	entry_log_attempt(a, silent ? "silent" : "unreachable");
	entry_attempt_end(a, silent ? ENDPOINT_SILENT : ENDPOINT_UNREACHABLE);
	if (a->kind == ATTEMPT_SEND && a->stream == 0)
		call_connect_failed(c->machine, a->action.stream, now_ms);
	else
		call_lost(c->machine, a->action.stream, now_ms);
	entry_call_run(c);
}

/* The request's body */

static bool
has_chunk(const struct entry_attempt *a)
{
	const struct entry_body *b = &a->call->body;

	if (a->fin_sent)
		return false;
	if (a->body_sent_bytes < b->buffer.end_bytes)
		return a->credit_bytes > 0;
	return b->end == EXCHANGE_COMPLETE;
}

static void
fill_chunk(struct entry_attempt *a, struct msg_call_chunk *m)
{
	const struct entry_body *b = &a->call->body;
	size_t len;

	m->data = body_buffer_at(&b->buffer, a->body_sent_bytes, &len);
	len = MIN(len, CALL_CHUNK_BYTES);
	len = MIN(len, a->credit_bytes);
	m->data_len = (uint32_t)len;
	a->credit_bytes -= len;
	a->body_sent_bytes += len;
	m->fin = a->body_sent_bytes == b->buffer.end_bytes &&
	    b->end == EXCHANGE_COMPLETE;
	a->fin_sent = m->fin;
}

static bool
send_chunk(struct call_sender *s, struct call_link *link)
{
	struct entry_attempt *a = (struct entry_attempt *)s;
	struct entry_call *c = a->call;
	struct msg_call_chunk m = {.stream = a->stream};

	entry_body_pull(c, a);
	if (!has_chunk(a))
		return false;
	fill_chunk(a, &m);
	(void)call_link_send(link, MSG_CALL_CHUNK, &m);
	entry_body_release(c, a);
	entry_body_pull(c, a);
	return has_chunk(a);
}

void
entry_attempt_send_body(struct entry_attempt *a)
{
	if (a->kind != ATTEMPT_SEND || a->peer == NULL || a->stream == 0)
		return;
	if (a->call->request->body_bytes == 0)
		return;
	entry_body_pull(a->call, a);
	if (has_chunk(a))
		call_link_enqueue(&a->peer->link, &a->sender);
}

/* The answer's body */

void
entry_attempt_grant(struct entry_attempt *a, uint32_t bytes)
{
	struct msg_call_credit m;

	a->ungranted_bytes += bytes;
	if (a->peer == NULL || a->ungranted_bytes < CALL_GRANT_BYTES)
		return;
	m.stream = a->stream;
	m.bytes = (uint32_t)a->ungranted_bytes;
	a->ungranted_bytes = 0;
	(void)call_link_send(&a->peer->link, MSG_CALL_CREDIT, &m);
}
