/*
 * Guard: requests, admission and resolves.
 */
#include "guard.h"

#include <string.h>

struct guard_request *
guard_find(const struct guard *g, const struct request_id *id)
{
	return g_hash_table_lookup(g->requests, id);
}

void
guard_accept(struct guard *g, struct link *l)
{
	struct message m = {.kind = MESSAGE_HELLO};

	m.incarnation = g->incarnation;
	m.sent_ms = guard_now_ms(g);
	link_to_entry(l, &m);
}

void
guard_link_lost(struct guard *g, struct link *l)
{
	if (g->up)
		fate_connection_lost(g->fates, l->number);
}

void
guard_send(struct guard *g, const struct fate_waiter *to, struct message *m)
{
	struct link *l = g_ptr_array_index(g->world->links, to->conn - 1);

	if (l->guard_process != g->process)
		return;
	m->call = (uint32_t)(to->stream >> 32);
	m->stream = (uint32_t)to->stream;
	m->sent_ms = guard_now_ms(g);
	admission_load(g->admission, &m->load);
	link_to_entry(l, m);
}

/* Sends a frame to all waiters of a request. */
static void
send_to_waiters(struct guard *g, const struct request_id *id, struct message *m)
{
	const struct fate_waiter *waiters;
	size_t n, i;

	waiters = fate_waiters(g->fates, id, &n);
	for (i = 0; i < n; i++)
		guard_send(g, &waiters[i], m);
}

void
guard_remove_request(struct guard *g, struct guard_request *r)
{
	g_hash_table_remove(g->tickets, GSIZE_TO_POINTER(r->ticket));
	g_hash_table_remove(g->requests, &r->id);
	drain_request_ended(&g->drain, guard_now_ms(g));
}

void
guard_refuse(struct guard *g, struct guard_request *r, enum refusal refusal,
    uint64_t retry_after_ms)
{
	struct message m = {.kind = MESSAGE_REFUSED, .refusal = refusal};
	const struct client_call *c = world_call(g->world, r->call);
	struct key_id key;

	m.retry_after_ms = retry_after_ms;
	fate_refused(g->fates, &r->id, guard_now_ms(g));
	if (c->keyed) {
		guard_key_id(c, &key);
		keyed_release(g->keyed, &key, &r->id, guard_now_ms(g));
	}
	send_to_waiters(g, &r->id, &m);
	guard_remove_request(g, r);
}

static void
start(struct guard *g, struct guard_request *r)
{
	if (!fate_start(g->fates, &r->id, guard_now_ms(g))) {
		admission_finished(
		    g->admission, r->ticket, r->class, 0, guard_now_ms(g));
		return;
	}
	r->started_ms = guard_now_ms(g);
	if (upstream_submit(&g->upstream, &r->id, r->call))
		return;
	admission_shed(g->admission, r->ticket, r->class, guard_now_ms(g));
	guard_refuse(g, r, REFUSAL_UPSTREAM, 0);
}

static void
apply_result(struct guard *g, const struct admission_result *res)
{
	struct guard_request *r;

	r = g_hash_table_lookup(g->tickets, GSIZE_TO_POINTER(res->ticket));
	if (r == NULL)
		return;
	if (res->verdict == ADMISSION_START)
		start(g, r);
	else if (res->verdict == ADMISSION_REFUSE)
		guard_refuse(g, r, res->refusal, res->retry_after_ms);
}

static void
on_wake(void *target, void *arg)
{
	struct guard *g = target;

	(void)arg;
	if (g->frozen_until_us > g->world->now_us) {
		queue_at(g->world->queue, g->frozen_until_us, on_wake, g, NULL);
		return;
	}
	g->wake_us = 0;
	if (g->up)
		guard_process_admission(g);
}

void
guard_process_admission(struct guard *g)
{
	struct admission_result res;
	uint64_t at_ms, at_us;

	while (admission_next(g->admission, guard_now_ms(g), &res))
		apply_result(g, &res);
	at_ms = admission_wake_ms(g->admission);
	if (at_ms == UINT64_MAX)
		return;
	at_us = g->world->now_us + US_PER_MS +
	    (at_ms - MIN(at_ms, guard_now_ms(g))) * US_PER_MS;
	if (g->wake_us != 0 && g->wake_us <= at_us)
		return;
	g->wake_us = at_us;
	queue_at(g->world->queue, at_us, on_wake, g, NULL);
}

void
guard_admit(struct guard *g, struct guard_request *r)
{
	struct admission_request req = {
	    r->ticket, r->class, r->deadline_ms, 0, 0, 0, 0};
	struct admission_result res;

	admission_offer(g->admission, &req, guard_now_ms(g), &res);
	apply_result(g, &res);
	guard_process_admission(g);
}

static struct guard_request *
add_request(struct guard *g, const struct message *m, uint64_t deadline_ms)
{
	struct guard_request *r;

	r = g_new0(struct guard_request, 1);
	r->id = m->id;
	r->call = m->call;
	r->deadline_ms = deadline_ms;
	r->ticket = ++g->n_tickets;
	r->class = world_call(g->world, r->call)->booking ? ADMISSION_BOOKING
							  : ADMISSION_LOOKUP;
	g_hash_table_insert(g->requests, &r->id, r);
	g_hash_table_insert(g->tickets, GSIZE_TO_POINTER(r->ticket), r);
	drain_request_began(&g->drain);
	return r;
}

static uint64_t
sent_ms(const struct guard *g, const struct link *l, const struct message *m)
{
	if (g->world->cfg.defect == DEFECT_TRUST_TIME_LEFT)
		return guard_now_ms(g);
	return frame_age_sent_ms(&l->age, m->sent_ms, guard_now_ms(g));
}

/* Naive reference: passes the request directly to the upstream and records
 * nothing. */
static void
forward_naively(struct guard *g, struct link *l, const struct message *m)
{
	struct message refusal = {
	    .kind = MESSAGE_REFUSED, .refusal = REFUSAL_UPSTREAM};
	struct fate_waiter waiter = {
	    l->number, ((uint64_t)m->call << 32) | m->stream};
	struct guard_request *r;

	if (guard_find(g, &m->id) != NULL)
		return;
	(void)fate_offer(
	    g->fates, &m->id, guard_now_ms(g), &waiter, guard_now_ms(g));
	r = add_request(g, m, UINT64_MAX);
	(void)fate_start(g->fates, &r->id, guard_now_ms(g));
	if (upstream_submit(&g->upstream, &r->id, r->call))
		return;
	send_to_waiters(g, &r->id, &refusal);
	guard_remove_request(g, r);
}

static void
on_request(struct guard *g, struct link *l, const struct message *m)
{
	struct message refusal = {.kind = MESSAGE_REFUSED};
	struct fate_waiter waiter = {
	    l->number, ((uint64_t)m->call << 32) | m->stream};
	struct guard_request *r;
	uint64_t sent;

	sent = sent_ms(g, l, m);
	switch (fate_offer(g->fates, &m->id, sent, &waiter, guard_now_ms(g))) {
	case FATE_OFFER_NEW:
		break;
	case FATE_OFFER_DUPLICATE:
		return;
	case FATE_OFFER_NOT_RUN:
		refusal.refusal = REFUSAL_RESOLVED;
		break;
	case FATE_OFFER_TOO_OLD:
		refusal.refusal = REFUSAL_TOO_OLD;
		break;
	}
	if (refusal.refusal != REFUSAL_NONE) {
		guard_send(g, &waiter, &refusal);
		return;
	}
	r = add_request(g, m, sent + m->remaining_ms);
	if (!drain_accepts_request(&g->drain))
		guard_refuse(g, r, REFUSAL_DRAINING, 0);
	else if (world_call(g->world, r->call)->keyed)
		guard_key_offer(g, r);
	else
		guard_admit(g, r);
}

uint32_t
guard_response_call(GBytes *send_response)
{
	uint32_t answered_call;

	memcpy(&answered_call, g_bytes_get_data(send_response, NULL),
	    sizeof(answered_call));
	g_bytes_unref(send_response);
	return answered_call;
}

/* Sends the response to a resolve, followed by the stored response, if any. */
static void
send_resolution(
    struct guard *g, const struct fate_waiter *to, struct fate_answer *a)
{
	struct message m = {.kind = MESSAGE_RESOLVED};

	m.resolution = a->resolution;
	guard_send(g, to, &m);
	if (a->answer == NULL)
		return;
	m.kind = MESSAGE_RESPONSE;
	m.answered_call = guard_response_call(a->answer);
	guard_send(g, to, &m);
}

/* Removes a cancelled request from the queue and notifies its waiters. */
static void
cancel_queued(struct guard *g, const struct request_id *id)
{
	struct guard_request *r;

	r = guard_find(g, id);
	if (r == NULL)
		return;
	(void)admission_cancel(g->admission, r->ticket);
	guard_refuse(g, r, REFUSAL_CANCELLED, 0);
}

static void
on_resolve(struct guard *g, struct link *l, const struct message *m)
{
	struct fate_query q = {.id = m->id,
	    .incarnation = m->incarnation,
	    .cancel = m->cancel,
	    .waiter = {l->number, ((uint64_t)m->call << 32) | m->stream}};
	struct fate_answer a;
	uint64_t sent;

	sent = sent_ms(g, l, m);
	q.sent_ms = sent - MIN(m->age_ms, sent);
	if (g->world->cfg.defect == DEFECT_IGNORE_RESTART)
		q.incarnation = g->incarnation;
	fate_resolve(g->fates, &q, guard_now_ms(g), &a);
	if (g->world->cfg.defect == DEFECT_NO_TOMBSTONE &&
	    a.resolution == RESOLUTION_NOT_RUN && !a.cancelled) {
		fate_table_free(g->fates);
		g->fates = guard_new_fates(g);
	}
	if (a.cancelled)
		cancel_queued(g, &m->id);
	if (m->kind == MESSAGE_RESOLVE)
		send_resolution(g, &q.waiter, &a);
	else if (a.answer != NULL)
		g_bytes_unref(a.answer);
}

void
guard_receive(struct guard *g, struct link *l, const struct message *m)
{
	frame_age_echo(&l->age, m->echo_ms, m->sent_ms, guard_now_ms(g));
	switch (m->kind) {
	case MESSAGE_REQUEST:
		if (g->world->cfg.naive)
			forward_naively(g, l, m);
		else
			on_request(g, l, m);
		break;
	case MESSAGE_RESOLVE:
	case MESSAGE_CANCEL:
		if (!g->world->cfg.naive)
			on_resolve(g, l, m);
		break;
	default:
		break;
	}
}

void
guard_on_job_started(struct guard *g)
{
	if (g->drain_started_us != 0)
		g->world->started_while_draining++;
}

static void
send_response(struct guard *g, struct guard_request *r, const struct job *j)
{
	struct message m = {.kind = MESSAGE_HEAD, .answered_call = j->call};
	const struct client_call *c = world_call(g->world, j->call);
	GBytes *stored = NULL;

	if (g->world->cfg.defect == DEFECT_SWAPPED_RESPONSES && j->call > 0)
		m.answered_call = j->call - 1;
	if (!c->large)
		stored = g_bytes_new(&m.answered_call, sizeof(m.answered_call));
	fate_done(g->fates, &r->id, stored, guard_now_ms(g));
	if (stored != NULL)
		g_bytes_unref(stored);
	if (c->large)
		send_to_waiters(g, &r->id, &m);
	m.kind = MESSAGE_RESPONSE;
	send_to_waiters(g, &r->id, &m);
}

static void
job_done(struct guard *g, const struct job *j, bool ok)
{
	const struct client_call *c = world_call(g->world, j->call);
	struct message failed = {.kind = MESSAGE_FAILED};
	struct guard_request *r;
	struct key_id key;

	r = guard_find(g, &j->id);
	if (!g->up || j->guard_process != g->process || r == NULL)
		return;
	admission_finished(g->admission, r->ticket, r->class,
	    guard_now_ms(g) - r->started_ms, guard_now_ms(g));
	if (c->keyed) {
		guard_key_id(c, &key);
		keyed_ended(g->keyed, &key, &r->id, guard_now_ms(g));
	}
	if (ok) {
		send_response(g, r, j);
	} else {
		fate_failed(g->fates, &r->id, guard_now_ms(g));
		send_to_waiters(g, &r->id, &failed);
	}
	guard_remove_request(g, r);
	if (!g->world->cfg.naive)
		guard_process_admission(g);
}

/* Response of the upstream that is delayed until the guard's process
 * resumes. */
struct delayed_job {
	struct job job;
	bool ok;
};

static void
on_thaw(void *target, void *arg)
{
	struct delayed_job *delayed = arg;

	guard_on_job_done(target, &delayed->job, delayed->ok);
	g_free(delayed);
}

void
guard_on_job_done(struct guard *g, const struct job *j, bool ok)
{
	struct delayed_job *delayed;

	if (g->frozen_until_us <= g->world->now_us) {
		if (g->up)
			job_done(g, j, ok);
		return;
	}
	delayed = g_new(struct delayed_job, 1);
	delayed->job = *j;
	delayed->ok = ok;
	queue_at(g->world->queue, g->frozen_until_us, on_thaw, g, delayed);
}
