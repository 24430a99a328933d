/*
 * An entry asks what became of an attempt whose connection was lost.
 */
#include <string.h>

#define LOG_PART "guard"
#include "base/log.h"

#include "guard_priv.h"

static void
tell(struct guard_conn *gc, uint32_t stream, enum resolution r)
{
	struct msg_call_resolved m = {
	    .stream = stream, .resolution = (uint8_t)r};

	(void)call_link_send(&gc->link, MSG_CALL_RESOLVED, &m);
}

/* The beginning may have gone to the lost connection and not be held. */
static void
attach(struct guard_conn *gc, uint32_t stream, const struct request_id *id)
{
	struct guard_request *r = g_hash_table_lookup(gc->guard->requests, id);
	struct guard_out *o;

	if (r == NULL || r->answer->base > 0) {
		tell(gc, stream, RESOLUTION_LOST);
		return;
	}
	tell(gc, stream, RESOLUTION_ATTACHED);
	o = guard_out_new(gc, stream, id, r, r->answer);
	guard_out_pump(o, r->upstream);
}

static void
hand_over(struct guard_conn *gc, uint32_t stream, const struct request_id *id,
    GBytes *bytes)
{
	struct guard_answer *a = guard_answer_decode(bytes);
	struct guard_out *o;

	if (a == NULL) {
		tell(gc, stream, RESOLUTION_LOST);
		return;
	}
	tell(gc, stream, RESOLUTION_ANSWER);
	o = guard_out_new(gc, stream, id, NULL, a);
	guard_answer_unref(a);
	guard_out_pump(o, NULL);
}

static void
cancelled(struct guard *g, const struct request_id *id)
{
	struct guard_request *r = g_hash_table_lookup(g->requests, id);

	if (r != NULL)
		guard_request_cancel(r);
}

static void
fill_query(const struct guard_conn *gc, const struct msg_call_resolve *m,
    struct fate_query *q)
{
	uint64_t asked_ms;

	memset(q, 0, sizeof(*q));
	memcpy(q->id.bytes, m->request_id, REQUEST_ID_BYTES);
	q->incarnation = m->incarnation;
	asked_ms = frame_age_sent_ms(
	    &gc->age, m->sent_ms, loop_now_ms(gc->guard->loop));
	q->sent_ms = asked_ms > m->age_ms ? asked_ms - m->age_ms : 0;
	q->cancel = m->cancel;
	q->waiter.conn = gc->id;
	q->waiter.stream = m->stream;
}

/* Whoever asks has lost the connection over which the body was coming. */
static void
body_will_not_come(struct guard *g, const struct request_id *id)
{
	struct guard_request *r = g_hash_table_lookup(g->requests, id);

	if (r != NULL && !r->fin)
		guard_request_cancel(r);
}

bool
guard_resolve(struct guard_conn *gc, const struct msg_call_resolve *m)
{
	struct guard *g = gc->guard;
	struct fate_answer answer;
	struct fate_query q;

	if (m->stream == 0 || m->request_id_len != REQUEST_ID_BYTES ||
	    g_hash_table_contains(gc->streams, GUINT_TO_POINTER(m->stream)))
		return false;
	fill_query(gc, m, &q);
	body_will_not_come(g, &q.id);
	fate_resolve(g->fates, &q, loop_now_ms(g->loop), &answer);
	log_info("%s asks for a request's fate: %s", gc->host,
	    resolution_name(answer.resolution));
	switch (answer.resolution) {
	case RESOLUTION_ATTACHED:
		attach(gc, m->stream, &q.id);
		break;
	case RESOLUTION_ANSWER:
		hand_over(gc, m->stream, &q.id, answer.answer);
		break;
	default:
		if (answer.cancelled)
			cancelled(g, &q.id);
		tell(gc, m->stream, answer.resolution);
		break;
	}
	if (answer.answer != NULL)
		g_bytes_unref(answer.answer);
	return true;
}
