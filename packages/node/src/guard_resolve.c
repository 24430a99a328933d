/*
 * Queries of entries for the fate of an attempt whose connection was lost.
 */
#include <string.h>

#define LOG_PART "guard"
#include "base/log.h"

#include "guard_priv.h"

/* A follower is kept for this many fate windows, longer than the fate that it
 * refers to. */
#define FOLLOWER_FATE_WINDOWS 3

static void
send_resolution(struct guard_conn *gc, uint32_t stream, enum resolution r)
{
	struct msg_call_resolved m = {
	    .stream = stream, .resolution = (uint8_t)r};

	(void)call_link_send(&gc->link, MSG_CALL_RESOLVED, &m);
}

/**
 * struct follower - a request that shares the fate of another one
 * @first: the other request, the first with the same key
 * @until_ms: monotonic time at which this record expires
 */
struct follower {
	struct request_id first;
	uint64_t until_ms;
};

void
guard_resolve_add_follower(struct guard *g, const struct request_id *id,
    const struct request_id *first)
{
	struct follower *f = g_new(struct follower, 1);
	struct request_id *key = g_new(struct request_id, 1);

	*key = *id;
	f->first = *first;
	f->until_ms = loop_now_ms(g->loop) +
	    FOLLOWER_FATE_WINDOWS * (uint64_t)g->settings->fate_window_ms;
	g_hash_table_replace(g->followers, key, f);
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer arg)
{
	const struct follower *f = value;
	const uint64_t *now_ms = arg;

	(void)key;
	return f->until_ms < *now_ms;
}

void
guard_resolve_expire(struct guard *g)
{
	uint64_t now_ms = loop_now_ms(g->loop);

	(void)g_hash_table_foreach_remove(g->followers, is_expired, &now_ms);
}

static struct guard_request *
find_active(struct guard *g, const struct request_id *id)
{
	const struct follower *f = g_hash_table_lookup(g->followers, id);

	return g_hash_table_lookup(g->requests, f != NULL ? &f->first : id);
}

/* The beginning of the answer may have been sent on the lost connection and
 * discarded. */
bool
guard_resolve_attach(
    struct guard_conn *gc, uint32_t stream, const struct request_id *id)
{
	struct guard_request *r = find_active(gc->guard, id);

	if (r == NULL || r->state == REQUEST_ENDED || r->answer->base > 0)
		return false;
	guard_out_send(
	    guard_out_new(gc, stream, id, r, r->answer), r->upstream);
	return true;
}

bool
guard_resolve_send_retained(struct guard_conn *gc, uint32_t stream,
    const struct request_id *id, GBytes *bytes)
{
	struct guard_answer *a = guard_answer_decode(bytes);
	struct guard_out *o;

	if (a == NULL)
		return false;
	o = guard_out_new(gc, stream, id, NULL, a);
	guard_answer_unref(a);
	guard_out_send(o, NULL);
	return true;
}

static void
cancel_request(struct guard *g, const struct request_id *id)
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

/* Cancels a request with an incomplete body: the entry that sends the query has
 * lost the connection on which it sent the body. */
static void
cancel_incomplete(struct guard *g, const struct request_id *id)
{
	struct guard_request *r = g_hash_table_lookup(g->requests, id);

	if (r != NULL && !r->body_complete)
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
	cancel_incomplete(g, &q.id);
	fate_resolve(g->fates, &q, loop_now_ms(g->loop), &answer);
	log_info("%s queried the fate of a request: %s", gc->host,
	    resolution_name(answer.resolution));
	if (answer.cancelled)
		cancel_request(g, &q.id);
	send_resolution(gc, m->stream, answer.resolution);
	if (answer.resolution == RESOLUTION_ATTACHED &&
	    !guard_resolve_attach(gc, m->stream, &q.id))
		guard_out_failed(gc, m->stream, NULL);
	if (answer.resolution == RESOLUTION_ANSWER &&
	    !guard_resolve_send_retained(gc, m->stream, &q.id, answer.answer))
		guard_out_failed(gc, m->stream, NULL);
	if (answer.answer != NULL)
		g_bytes_unref(answer.answer);
	return true;
}
