/*
 * Arrival of an attempt: drops duplicates, refuses attempts that are too old,
 * creates the request and finds its upstream.
 */
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

#define LOG_PART "guard"
#include "base/log.h"

#include "call_metrics.h"
#include "guard_priv.h"

#define CALLER_SEED 4

static void
on_deadline(void *arg)
{
	guard_request_refuse(arg, REFUSAL_EXPIRED, 0);
}

static void
copy_headers(struct guard_request *r, const struct msg_call_open *m)
{
	const struct rec_header *h;
	uint32_t i;

	call_headers_init(&r->headers);
	for (i = 0; i < m->n_headers; i++) {
		h = &m->headers[i];
		(void)call_headers_add(
		    &r->headers, h->name, h->name_len, h->value, h->value_len);
	}
}

static const char *
find_caller_request_id(const struct guard_request *r)
{
	const struct call_dialect *d = r->guard->dialect;
	const struct rec_header *h;
	uint32_t i;

	for (i = 0; i < call_headers_count(&r->headers); i++) {
		h = call_headers_at(&r->headers, i);
		if (g_ascii_strcasecmp(h->name, d->request_id) == 0)
			return h->value;
	}
	return "-";
}

static struct guard_request *
request_new(struct guard_conn *gc, const struct msg_call_open *m,
    const struct request_id *id)
{
	struct guard *g = gc->guard;
	struct guard_request *r = g_new0(struct guard_request, 1);

	r->guard = g;
	r->id = *id;
	r->ticket = ++g->last_ticket;
	r->opened_us = clock_now_us();
	(void)g_strlcpy(r->method, m->method, sizeof(r->method));
	r->path = g_strndup(m->path, m->path_len);
	(void)g_strlcpy(r->caller, m->caller, sizeof(r->caller));
	r->route = m->route;
	copy_headers(r, m);
	r->caller_request_id = find_caller_request_id(r);
	r->idempotent = m->idempotent;
	r->keyed = m->key_len > 0;
	key_id_make(
	    &r->key, service_id(m->service) ^ m->customer, m->key, m->key_len);
	r->deadline_ms = frame_age_deadline_ms(
	    &gc->age, m->sent_ms, m->time_left_ms, loop_now_ms(g->loop));
	r->latest_deadline_ms = loop_now_ms(g->loop) + m->time_left_ms;
	r->priority = m->priority;
	r->customer = m->customer;
	r->customer_priority = m->customer_priority;
	if (m->target_left_ms != 0)
		r->target_ms = frame_age_deadline_ms(&gc->age, m->sent_ms,
		    m->target_left_ms, loop_now_ms(g->loop));
	r->body_bytes = m->body_bytes;
	r->body_complete = m->body_bytes == 0;
	body_buffer_init(&r->body);
	buffer_holder_init(&r->holder, &guard_request_holder_ops, g->bodies);
	loop_timer_init(&r->timer, g->loop, on_deadline, r);
	r->answer = guard_answer_new(!m->idempotent);
	r->body_source = guard_out_new(gc, m->stream, id, r, r->answer);
	g_hash_table_insert(g->requests, &r->id, r);
	g_hash_table_insert(g->tickets, &r->ticket, r);
	drain_request_began(&g->drain);
	atomic_fetch_add(&g->in_flight, 1);
	metric_add(&metric_requests_in_flight, 1);
	if (!r->body_complete)
		guard_credit_open(r);
	return r;
}

static bool
caller_is_within_limit(
    struct guard_request *r, const char *caller, uint64_t *retry_ms)
{
	const struct guard_endpoint *info = &r->upstream->info;
	uint32_t per_s = info->limits.caller_calls_per_s;
	uint64_t key;

	if (per_s == 0)
		return true;
	key = hash64(caller, strlen(caller), CALLER_SEED) ^
	    service_id(info->service);
	return rate_limit_take(r->guard->caller_limits, key, per_s, per_s,
	    loop_now_ms(r->guard->loop), retry_ms);
}

/* Finds the upstream and makes the checks that don't need the body. */
static enum refusal
check_admissible(
    struct guard_request *r, const struct msg_call_open *m, uint64_t *retry_ms)
{
	r->upstream = guard_upstream_find(r->guard, m->service);
	if (!drain_accepts_request(&r->guard->drain))
		return REFUSAL_STOPPING;
	if (r->upstream == NULL)
		return REFUSAL_NO_ENDPOINT;
	guard_report_known(r->upstream, m);
	if (r->upstream->info.state == SERVING_STARTING)
		return REFUSAL_STARTING;
	if (!guard_version_accepts(r, m))
		return REFUSAL_SUPERSEDED;
	if (!caller_is_within_limit(r, m->caller, retry_ms))
		return REFUSAL_CALLER_LIMIT;
	return REFUSAL_NONE;
}

static void
accept_attempt(struct guard_conn *gc, const struct msg_call_open *m,
    const struct request_id *id)
{
	struct guard_request *r = request_new(gc, m, id);
	uint64_t retry_ms = 0;
	enum refusal refusal = check_admissible(r, m, &retry_ms);

	if (refusal != REFUSAL_NONE) {
		guard_request_refuse(r, refusal, retry_ms);
		return;
	}
	loop_timer_set(&r->timer, r->deadline_ms);
	guard_request_body_arrived(r);
}

static bool
is_valid(const struct guard_conn *gc, const struct msg_call_open *m)
{
	return m->stream != 0 && m->request_id_len == REQUEST_ID_BYTES &&
	    m->path_len > 0 && m->path[0] == '/' && m->body_bytes >= -1 &&
	    !g_hash_table_contains(gc->streams, GUINT_TO_POINTER(m->stream));
}

bool
guard_open(struct guard_conn *gc, const struct msg_call_open *m)
{
	struct guard *g = gc->guard;
	struct fate_waiter waiter = {.conn = gc->id, .stream = m->stream};
	uint64_t now_ms = loop_now_ms(g->loop);
	struct request_id id;
	uint64_t sent_ms;

	if (!is_valid(gc, m))
		return false;
	memcpy(id.bytes, m->request_id, REQUEST_ID_BYTES);
	sent_ms = frame_age_sent_ms(&gc->age, m->sent_ms, now_ms);
	switch (fate_offer(g->fates, &id, sent_ms, &waiter, now_ms)) {
	case FATE_OFFER_NEW:
		accept_attempt(gc, m, &id);
		break;
	case FATE_OFFER_DUPLICATE:
		log_info("duplicate request from %s dropped", gc->host);
		break;
	case FATE_OFFER_NOT_RUN:
		guard_out_refuse(gc, m->stream, NULL, REFUSAL_RESOLVED, 0);
		break;
	case FATE_OFFER_TOO_OLD:
		log_info("request from %s is too old; refused", gc->host);
		guard_out_refuse(gc, m->stream, NULL, REFUSAL_TOO_OLD, 0);
		break;
	}
	return true;
}
