/*
 * Entry: calls and their frames.
 */
#include "entry.h"

#include "base/clock.h"
#include "guard.h"

#define GRACE_MS 50
#define RESOLVE_TIMEOUT_MS 500

static void
end_attempt(struct entry_call *ec, enum endpoint_result result)
{
	struct entry *e = ec->entry;

	if (ec->in_flight_endpoint == 0)
		return;
	endpoints_ended(e->endpoints, ec->in_flight_endpoint, result,
	    e->world->now_us - ec->attempt_start_us, entry_now_ms(e));
	ec->in_flight_endpoint = 0;
}

static void
fill_id(const struct entry_call *ec, uint16_t attempt, struct request_id *id)
{
	request_id_make(id,
	    ec->entry->process * ENTRIES_MAX + ec->entry->index + 1, ec->number,
	    attempt);
}

static void
transmit(struct entry_call *ec, struct link *l, const struct call_action *a)
{
	struct entry *e = ec->entry;
	struct message m = {.call = ec->number, .stream = a->stream};

	ec->link = l;
	fill_id(ec, a->attempt, &m.id);
	m.sent_ms = entry_now_ms(e);
	m.echo_ms = l->hello_ms;
	if (a->kind == CALL_SEND) {
		call_sent(ec->call, a->stream, l->incarnation, m.sent_ms);
		m.kind = MESSAGE_REQUEST;
		m.remaining_ms = clock_left_ms(ec->deadline_ms, m.sent_ms);
	} else {
		m.kind = MESSAGE_RESOLVE;
		m.incarnation = a->incarnation;
		m.age_ms = m.sent_ms - a->sent_ms;
		m.cancel = a->cancel;
	}
	link_to_guard(l, &m);
}

static void
send_frame(struct entry_call *ec, const struct call_action *a)
{
	struct entry *e = ec->entry;
	struct pending_send p = {ec->number, *a};
	uint32_t guard = (uint32_t)a->endpoint - 1;

	ec->stream = a->stream;
	if (a->kind == CALL_SEND) {
		endpoints_began(e->endpoints, a->endpoint, entry_now_ms(e));
		ec->in_flight_endpoint = a->endpoint;
		ec->attempt_start_us = e->world->now_us;
		e->world->sends++;
	}
	if (e->links[guard] == NULL)
		e->links[guard] = link_connect(e->world, e->index, guard);
	ec->link = e->links[guard];
	if (ec->link->up)
		transmit(ec, ec->link, a);
	else
		g_array_append_val(ec->link->pending, p);
}

static void
select_endpoint(struct entry_call *ec)
{
	struct entry *e = ec->entry;
	const struct client_call *c = world_call(e->world, ec->number);
	struct placement_query q = {.service = SERVICE};
	struct placement_choice choice;

	q.tried = call_tried(ec->call, &q.n_tried);
	q.idempotent = !c->booking;
	if (c->keyed) {
		q.key = &c->key;
		q.key_len = sizeof(c->key);
	}
	if (placement_choose(e->placement, &q, entry_now_ms(e), &choice))
		call_placed(ec->call, choice.endpoint, entry_now_ms(e));
	else
		call_no_endpoint(ec->call, 0, entry_now_ms(e));
}

static void
cancel(struct entry_call *ec, const struct call_action *a)
{
	struct message m = {.kind = MESSAGE_CANCEL, .cancel = true};

	if (ec->link == NULL || !ec->link->up || ec->link->closed)
		return;
	m.call = ec->number;
	m.stream = a->stream;
	m.incarnation = ec->link->incarnation;
	m.sent_ms = entry_now_ms(ec->entry);
	m.echo_ms = ec->link->hello_ms;
	fill_id(ec, a->attempt, &m.id);
	link_to_guard(ec->link, &m);
}

static void
report_failure(struct entry_call *ec, const struct call_action *a)
{
	enum outcome outcome = a->outcome;

	if (ec->entry->world->cfg.defect == DEFECT_LOST_IS_NOT_RUN)
		outcome = OUTCOME_NOT_RUN;
	world_record_outcome(
	    ec->entry->world, ec->number, outcome, a->refusal, 0);
}

static void
execute(struct entry_call *ec, const struct call_action *a)
{
	struct world *w = ec->entry->world;

	switch (a->kind) {
	case CALL_PLACE:
		select_endpoint(ec);
		break;
	case CALL_SEND:
	case CALL_RESOLVE:
		send_frame(ec, a);
		break;
	case CALL_CANCEL:
		cancel(ec, a);
		break;
	case CALL_DELIVER:
		world_record_outcome(w, ec->number, OUTCOME_DONE, REFUSAL_NONE,
		    ec->answered_call);
		break;
	case CALL_GIVE_UP:
		report_failure(ec, a);
		break;
	case CALL_ABORT:
		world_call(w, ec->number)->aborted = true;
		world_record_outcome(
		    w, ec->number, OUTCOME_UNKNOWN, REFUSAL_NONE, 0);
		break;
	}
}

static void on_wake(void *target, void *arg);

static void
set_wake(struct entry_call *ec)
{
	struct entry *e = ec->entry;
	uint64_t wake_ms;

	wake_ms = call_wake_ms(ec->call);
	if (wake_ms == DEADLINE_NEVER || wake_ms == ec->wake_ms)
		return;
	ec->wake_ms = wake_ms;
	world_schedule_after(e->world,
	    clock_left_ms(wake_ms, entry_now_ms(e)) * US_PER_MS, on_wake, e,
	    GUINT_TO_POINTER(ec->number));
}

/* Executes the actions of a call; frees the call when it has finished. */
static void
run_call(struct entry_call *ec)
{
	struct entry *e = ec->entry;
	struct call_action a;

	while (call_next(ec->call, &a))
		execute(ec, &a);
	if (!call_is_finished(ec->call)) {
		set_wake(ec);
		return;
	}
	world_call(e->world, ec->number)->attempts = call_attempts(ec->call);
	end_attempt(ec, ENDPOINT_CANCELLED);
	g_hash_table_remove(e->calls, GUINT_TO_POINTER(ec->number));
	drain_call_ended(&e->drain, entry_now_ms(e));
}

static struct entry_call *
find_call(struct entry *e, uint32_t number)
{
	if (!e->up)
		return NULL;
	return g_hash_table_lookup(e->calls, GUINT_TO_POINTER(number));
}

static void
on_wake(void *target, void *arg)
{
	struct entry *e = target;
	struct entry_call *ec;

	if (e->frozen_until_us > e->world->now_us) {
		queue_at(e->world->queue, e->frozen_until_us, on_wake, e, arg);
		return;
	}
	ec = find_call(e, GPOINTER_TO_UINT(arg));
	if (ec == NULL)
		return;
	ec->wake_ms = 0;
	call_tick(ec->call, entry_now_ms(e));
	if (entry_now_ms(e) >= ec->deadline_ms)
		end_attempt(ec, ENDPOINT_SILENT);
	run_call(ec);
}

static void
start_call(struct entry *e, struct client_call *c)
{
	const struct world_config *cfg = &e->world->cfg;
	struct call_config cc = {.deadline_grace_ms = GRACE_MS,
	    .resolve_limit_ms = RESOLVE_TIMEOUT_MS};
	struct entry_call *ec;

	cc.deadline_ms = entry_now_ms(e) + cfg->deadline_ms;
	cc.idempotent = !c->booking || cfg->defect == DEFECT_RESEND_BOOKINGS;
	cc.keyed = c->keyed;
	cc.naive = cfg->naive;
	ec = g_new0(struct entry_call, 1);
	ec->entry = e;
	ec->number = c->number;
	ec->deadline_ms = cc.deadline_ms;
	ec->call = call_new(&cc, &e->budget, c->number);
	g_hash_table_insert(e->calls, GUINT_TO_POINTER(c->number), ec);
	drain_call_began(&e->drain);
	call_start(ec->call, entry_now_ms(e));
	run_call(ec);
}

static void
on_call(void *target, void *arg)
{
	entry_accept_call(target, arg);
}

void
entry_accept_call(struct entry *e, struct client_call *c)
{
	if (!e->up) {
		c->entry_lost = true;
		return;
	}
	if (e->frozen_until_us > e->world->now_us) {
		queue_at(e->world->queue, e->frozen_until_us, on_call, e, c);
		return;
	}
	if (drain_accepts_call(&e->drain))
		start_call(e, c);
	else
		world_record_outcome(e->world, c->number,
		    c->keyed ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
		    REFUSAL_STOPPING, 0);
}

void
entry_caller_disconnected(struct entry *e, uint32_t number)
{
	struct entry_call *ec;

	ec = find_call(e, number);
	if (ec == NULL)
		return;
	call_caller_disconnected(ec->call, entry_now_ms(e));
	run_call(ec);
}

static void
fail_pending(struct entry *e, const struct pending_send *p)
{
	struct entry_call *ec;

	ec = find_call(e, p->call);
	if (ec == NULL)
		return;
	if (p->action.kind == CALL_SEND) {
		end_attempt(ec, ENDPOINT_UNREACHABLE);
		call_connect_failed(
		    ec->call, p->action.stream, entry_now_ms(e));
	} else {
		call_resolve_failed(
		    ec->call, p->action.stream, entry_now_ms(e));
	}
	run_call(ec);
}

static GArray *
calls_on(struct entry *e, const struct link *l)
{
	struct entry_call *ec;
	GHashTableIter iter;
	GArray *numbers;
	gpointer value;

	numbers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_hash_table_iter_init(&iter, e->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ec = value;
		if (ec->link == l)
			g_array_append_val(numbers, ec->number);
	}
	return numbers;
}

void
entry_link_lost(struct entry *e, struct link *l)
{
	struct entry_call *ec;
	GArray *numbers, *pending;
	guint i;

	if (!e->up)
		return;
	l->closed = true;
	if (e->links[l->guard] == l)
		e->links[l->guard] = NULL;
	pending = g_array_copy(l->pending);
	g_array_set_size(l->pending, 0);
	for (i = 0; i < pending->len; i++)
		fail_pending(
		    e, &g_array_index(pending, struct pending_send, i));
	g_array_free(pending, TRUE);
	numbers = calls_on(e, l);
	for (i = 0; i < numbers->len; i++) {
		ec = find_call(e, g_array_index(numbers, uint32_t, i));
		if (ec == NULL || ec->link != l)
			continue;
		end_attempt(ec, ENDPOINT_SILENT);
		call_lost(ec->call, ec->stream, entry_now_ms(e));
		run_call(ec);
	}
	g_array_free(numbers, TRUE);
}

static void
on_hello(struct entry *e, struct link *l, const struct message *m)
{
	struct pending_send *p;
	struct entry_call *ec;
	GArray *pending;
	guint i;

	l->up = true;
	l->incarnation = m->incarnation;
	l->hello_ms = m->sent_ms;
	pending = g_array_copy(l->pending);
	g_array_set_size(l->pending, 0);
	for (i = 0; i < pending->len; i++) {
		p = &g_array_index(pending, struct pending_send, i);
		ec = find_call(e, p->call);
		/* The call may have left this stream while the connection was
		 * opened. */
		if (ec != NULL && ec->stream == p->action.stream &&
		    ec->link == l)
			transmit(ec, l, &p->action);
	}
	g_array_free(pending, TRUE);
}

/* Records the result of the current attempt at its endpoint.  Frames of earlier
 * streams are not passed to this function. */
static void
record_result(struct entry_call *ec, const struct message *m)
{
	switch (m->kind) {
	case MESSAGE_REFUSED:
		ec->entry->world->refusals++;
		end_attempt(ec,
		    m->refusal == REFUSAL_DRAINING ? ENDPOINT_DRAINS
						   : ENDPOINT_REFUSED);
		break;
	case MESSAGE_FAILED:
		end_attempt(ec, ENDPOINT_FAILED);
		break;
	case MESSAGE_RESPONSE:
		end_attempt(ec, ENDPOINT_OK);
		ec->answered_call = m->answered_call;
		break;
	default:
		break;
	}
}

static void
dispatch(struct entry_call *ec, const struct message *m, uint32_t stream)
{
	uint64_t now = entry_now_ms(ec->entry);

	switch (m->kind) {
	case MESSAGE_RESOLVED:
		call_resolved(ec->call, stream, m->resolution, now);
		break;
	case MESSAGE_REFUSED:
		call_refused(
		    ec->call, stream, m->refusal, m->retry_after_ms, now);
		break;
	case MESSAGE_FAILED:
		call_failed(ec->call, stream, now);
		break;
	case MESSAGE_HEAD:
		call_committed(ec->call, stream, now);
		break;
	case MESSAGE_RESPONSE:
		call_answered(ec->call, stream, now);
		break;
	default:
		break;
	}
}

void
entry_receive(struct entry *e, struct link *l, const struct message *m)
{
	struct entry_call *ec;
	uint32_t stream = m->stream;

	if (!e->up)
		return;
	if (m->kind == MESSAGE_HELLO) {
		if (!l->closed)
			on_hello(e, l, m);
		return;
	}
	if (m->load.slots > 0)
		endpoints_report(
		    e->endpoints, l->guard + 1, &m->load, entry_now_ms(e));
	ec = find_call(e, m->call);
	if (ec == NULL)
		return;
	if (e->world->cfg.defect == DEFECT_ACCEPT_STALE_STREAM)
		stream = ec->stream;
	if (stream == ec->stream)
		record_result(ec, m);
	dispatch(ec, m, stream);
	run_call(ec);
}
