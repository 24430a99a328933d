/*
 * Frames from guards: validation and dispatch to their streams.
 *
 * A frame of an unknown stream is ignored: its attempt was cancelled or
 * replaced.
 */
#include <inttypes.h>
#include <string.h>

#include "base/clock.h"

#define LOG_PART "entry"
#include "base/log.h"

#include "net/http.h"

#include "call_metrics.h"
#include "entry_log.h"
#include "entry_quota.h"

/* Statuses of final answers. */
#define STATUS_MIN 200
#define STATUS_MAX 599

static struct entry_attempt *
find_attempt(struct entry_peer *p, uint32_t number)
{
	return g_hash_table_lookup(p->streams, GUINT_TO_POINTER(number));
}

static void
report_load(struct entry_attempt *a, const struct rec_load *load)
{
	struct entry *e = a->call->entry;
	struct load_report r = {.in_flight = load->in_flight,
	    .queued = load->queued,
	    .slots = load->slots,
	    .limit_milli_per_s = load->limit_milli_per_s,
	    .limit_wait_ms = load->limit_wait_ms,
	    .pace_percent = load->pace_percent,
	    .waiting = load->waiting,
	    .work_ms = load->work_ms,
	    .kind_us = load->kind_us};

	const struct run_report run = {.run = load->run,
	    .limit_milli_per_s = load->limit_milli_per_s,
	    .leaving = load->leaving};
	uint64_t now_ms = loop_now_ms(e->loop);

	endpoints_report(e->endpoints, a->action.endpoint, &r, now_ms);
	run_reports_update(e->runs, a->action.endpoint, &run, now_ms);
	if (load->leaving)
		endpoints_leaving(e->endpoints, a->action.endpoint, now_ms);
}

static bool
copy_headers(struct call_answer *answer, const struct msg_call_head *m)
{
	const struct rec_header *h;
	uint32_t i;

	for (i = 0; i < m->n_headers; i++) {
		h = &m->headers[i];
		if (!call_headers_add(&answer->headers, h->name, h->name_len,
			h->value, h->value_len))
			return false;
	}
	return true;
}

/* The guard has checked the fields; this guards against one of another release.
 */
static bool
fields_are_valid(const struct call_headers *headers)
{
	const struct rec_header *h;
	uint32_t i;

	for (i = 0; i < call_headers_count(headers); i++) {
		h = call_headers_at(headers, i);
		if (!http_header_is_valid(h->name, h->value))
			return false;
	}
	return true;
}

static bool
head_is_valid(const struct entry_attempt *a, const struct msg_call_head *m)
{
	return a->answer == NULL && a->head_us == 0 &&
	    m->status >= STATUS_MIN && m->status <= STATUS_MAX &&
	    m->request_id_len == REQUEST_ID_BYTES &&
	    memcmp(m->request_id, a->id.bytes, REQUEST_ID_BYTES) == 0;
}

static bool
on_head(struct entry_peer *p, const uint8_t *body, size_t len)
{
	struct msg_call_head m;
	struct entry_attempt *a;
	bool ok = true;

	if (msg_call_head_decode(body, len, &m) != STATUS_OK)
		return false;
	a = find_attempt(p, m.stream);
	if (a != NULL) {
		ok = head_is_valid(a, &m);
		if (ok) {
			a->load = m.load;
			a->head_us = clock_now_us();
			a->upstream_us = m.upstream_us;
			a->status = m.status;
			a->answer = call_answer_new(OUTCOME_DONE, m.status);
			a->answer->body_bytes = m.body_bytes;
			a->answer->version = a->call->snapshot->version;
			a->answer_length = m.body_bytes;
			ok = copy_headers(a->answer, &m) &&
			    fields_are_valid(&a->answer->headers);
		}
	}
	msg_call_head_clear(&m);
	return ok;
}

static bool
length_is_valid(const struct entry_attempt *a, bool fin)
{
	if (a->answer_length < 0)
		return true;
	if (fin)
		return a->answer_bytes == (uint64_t)a->answer_length;
	return a->answer_bytes <= (uint64_t)a->answer_length;
}

/* The answer was truncated or doesn't match the length in its head. */
static void
answer_failed(struct entry_attempt *a, const struct rec_load *load)
{
	struct entry_call *c = a->call;
	uint64_t now_ms = loop_now_ms(c->entry->loop);

	entry_log_attempt(a, "failed");
	entry_peer_remove(a);
	entry_attempt_end(a, ENDPOINT_FAILED);
	report_load(a, load);
	if (a->committed)
		call_lost(c->machine, a->action.stream, now_ms);
	else
		call_failed(c->machine, a->action.stream, now_ms);
	entry_call_run(c);
}

#define SERVER_ERROR 500

/* Lets the guard drop the answer.  The guard retains no answers to
 * idempotent requests, and those to requests with an idempotency key are kept
 * for repetitions of the key, so neither are acknowledged. */
static void
acknowledge(struct entry_attempt *a)
{
	struct msg_call_ack ack = {
	    .request_id = a->id.bytes, .request_id_len = REQUEST_ID_BYTES};

	if (!a->call->idempotent && !a->call->keyed)
		(void)call_link_send(&a->peer->link, MSG_CALL_ACK, &ack);
}

static void
answer_complete(struct entry_attempt *a, uint32_t status)
{
	struct entry_call *c = a->call;

	acknowledge(a);
	entry_peer_remove(a);
	a->complete = true;
	entry_attempt_end(
	    a, status >= SERVER_ERROR ? ENDPOINT_FAILED : ENDPOINT_OK);
	if (status < SERVER_ERROR)
		endpoints_ran(c->entry->endpoints, a->action.endpoint,
		    entry_route_key(c->route), a->upstream_us, a->load.kind_us,
		    loop_now_ms(c->entry->loop));
	report_load(a, &a->load);
	call_answered(
	    c->machine, a->action.stream, loop_now_ms(c->entry->loop));
	entry_call_run(c);
}

static void
hold_answer(struct entry_attempt *a, const uint8_t *data, size_t len)
{
	body_buffer_append(&a->answer_body, data, len);
	entry_body_update_held(a->call);
}

static void
append_piece(struct entry_attempt *a, const struct msg_call_chunk *m)
{
	a->answer_bytes += m->data_len;
	if (m->data_len == 0)
		return;
	if (a->committed)
		call_exchange_write_answer(
		    a->call->exchange, m->data, m->data_len);
	else
		hold_answer(a, m->data, m->data_len);
}

static bool
on_chunk(struct entry_peer *p, const uint8_t *body, size_t len)
{
	struct msg_call_chunk m;
	struct entry_attempt *a;

	if (msg_call_chunk_decode(body, len, &m) != STATUS_OK)
		return false;
	a = find_attempt(p, m.stream);
	if (a == NULL)
		return true;
	if (a->head_us == 0)
		return false;
	append_piece(a, &m);
	if (!length_is_valid(a, m.fin)) {
		answer_failed(a, &a->load);
		return true;
	}
	if (m.fin)
		answer_complete(a, a->status);
	else if (!a->committed && a->answer_bytes > ENTRY_ANSWER_HOLD_BYTES)
		entry_answer_commit(a);
	return true;
}

static bool
on_credit(struct entry_peer *p, const uint8_t *body, size_t len)
{
	struct msg_call_credit m;
	struct entry_attempt *a;

	if (msg_call_credit_decode(body, len, &m) != STATUS_OK)
		return false;
	a = find_attempt(p, m.stream);
	if (a == NULL)
		return true;
	a->credit_bytes += m.bytes;
	entry_attempt_send_body(a);
	return true;
}

static enum endpoint_result
result_of_refusal(enum refusal r)
{
	switch (r) {
	case REFUSAL_DRAINING:
	case REFUSAL_STOPPING:
		return ENDPOINT_DRAINS;
	/* The endpoint has ended, or another endpoint has its address now. */
	case REFUSAL_NO_ENDPOINT:
		return ENDPOINT_ABSENT;
	case REFUSAL_CANCELLED:
	case REFUSAL_RESOLVED:
	case REFUSAL_EXPIRED:
	case REFUSAL_SUPERSEDED:
	case REFUSAL_CALLS_SHORT:
		return ENDPOINT_CANCELLED;
	default:
		return ENDPOINT_REFUSED;
	}
}

static bool
on_refused(struct entry_peer *p, const uint8_t *body, size_t len)
{
	struct msg_call_refused m;
	struct entry_attempt *a;
	struct entry_call *c;

	if (msg_call_refused_decode(body, len, &m) != STATUS_OK ||
	    m.refusal > REFUSAL_LAST)
		return false;
	a = find_attempt(p, m.stream);
	if (a == NULL)
		return true;
	c = a->call;
	entry_peer_remove(a);
	entry_attempt_end(a, result_of_refusal((enum refusal)m.refusal));
	report_load(a, &m.load);
	if (m.refusal == REFUSAL_UPSTREAM)
		retry_budget_shed(
		    &c->service->budget, m.load.in_flight, m.load.slots);
	entry_log_attempt(a, refusal_name((enum refusal)m.refusal));
	call_refused(c->machine, a->action.stream, (enum refusal)m.refusal,
	    m.retry_after_ms, loop_now_ms(c->entry->loop));
	entry_call_run(c);
	return true;
}

static bool
on_failed(struct entry_peer *p, const uint8_t *body, size_t len)
{
	struct msg_call_failed m;
	struct entry_attempt *a;

	if (msg_call_failed_decode(body, len, &m) != STATUS_OK)
		return false;
	a = find_attempt(p, m.stream);
	if (a == NULL)
		return true;
	answer_failed(a, &m.load);
	return true;
}

static bool
on_resolved(struct entry_peer *p, const uint8_t *body, size_t len)
{
	struct msg_call_resolved m;
	struct entry_attempt *a;
	struct entry_call *c;
	enum resolution r;

	if (msg_call_resolved_decode(body, len, &m) != STATUS_OK ||
	    m.resolution > RESOLUTION_UNKNOWN)
		return false;
	a = find_attempt(p, m.stream);
	if (a == NULL || a->kind != ATTEMPT_RESOLVE)
		return a == NULL;
	c = a->call;
	r = (enum resolution)m.resolution;
	entry_log_attempt(a, resolution_name((enum resolution)m.resolution));
	if (r != RESOLUTION_ATTACHED && r != RESOLUTION_ANSWER)
		entry_peer_remove(a);
	call_resolved(
	    c->machine, a->action.stream, r, loop_now_ms(c->entry->loop));
	entry_call_run(c);
	return true;
}

static bool
on_ping(struct entry_peer *p, const uint8_t *body, size_t len)
{
	struct msg_call_ping m;
	struct msg_call_pong pong;

	if (msg_call_ping_decode(body, len, &m) != STATUS_OK)
		return false;
	pong.echo = m.sent_ms;
	pong.sent_ms = loop_now_ms(p->entry->loop);
	(void)call_link_send(&p->link, MSG_CALL_PONG, &pong);
	return true;
}

static bool
on_goodbye(struct entry_peer *p, const uint8_t *body, size_t len)
{
	struct msg_call_goodbye m;

	if (msg_call_goodbye_decode(body, len, &m) != STATUS_OK)
		return false;
	entry_peer_goodbye(p, m.sent_ms);
	return true;
}

bool
entry_frame(struct entry_peer *p, uint8_t type, const uint8_t *body, size_t len)
{
	switch (type) {
	case MSG_CALL_HEAD:
		return on_head(p, body, len);
	case MSG_CALL_CHUNK:
		return on_chunk(p, body, len);
	case MSG_CALL_CREDIT:
		return on_credit(p, body, len);
	case MSG_CALL_REFUSED:
		return on_refused(p, body, len);
	case MSG_CALL_FAILED:
		return on_failed(p, body, len);
	case MSG_CALL_RESOLVED:
		return on_resolved(p, body, len);
	case MSG_CALL_GOODBYE:
		return on_goodbye(p, body, len);
	case MSG_QUOTA_GRANT:
		return entry_quota_grant(p, body, len);
	case MSG_CALL_PING:
		return on_ping(p, body, len);
	default:
		return true;
	}
}
