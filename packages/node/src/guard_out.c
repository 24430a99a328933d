/*
 * Transmission of answers and refusals to an entry.
 */
#include <string.h>

#include "call_metrics.h"
#include "guard_priv.h"

static bool send_chunk(struct call_sender *s, struct call_link *link);

static const struct call_sender_ops out_ops = {.send = send_chunk};

struct guard_out *
guard_out_new(struct guard_conn *gc, uint32_t stream,
    const struct request_id *id, struct guard_request *r,
    struct guard_answer *a)
{
	struct guard_out *o = g_new0(struct guard_out, 1);

	o->sender.ops = &out_ops;
	o->conn = gc;
	o->stream = stream;
	o->id = *id;
	o->request = r;
	o->answer = a;
	o->credit_bytes = CALL_WINDOW_BYTES;
	o->node.data = o;
	a->refs++;
	g_queue_push_tail_link(&a->outs, &o->node);
	g_hash_table_insert(gc->streams, GUINT_TO_POINTER(stream), o);
	return o;
}

void
guard_out_free(struct guard_out *o)
{
	call_link_dequeue(&o->sender);
	g_hash_table_remove(o->conn->streams, GUINT_TO_POINTER(o->stream));
	g_queue_unlink(&o->answer->outs, &o->node);
	if (o->request != NULL && o->request->body_source == o)
		o->request->body_source = NULL;
	guard_answer_unref(o->answer);
	g_free(o);
}

static void
send_head(struct guard_out *o, const struct guard_upstream *u)
{
	struct guard_answer *a = o->answer;
	struct msg_call_head m;

	memset(&m, 0, sizeof(m));
	m.stream = o->stream;
	m.request_id = o->id.bytes;
	m.request_id_len = REQUEST_ID_BYTES;
	m.status = a->status;
	m.headers = call_headers_rec(&a->headers);
	m.n_headers = call_headers_count(&a->headers);
	m.body_bytes = a->length;
	m.guard_us = a->guard_us;
	m.upstream_us = a->upstream_us;
	guard_upstream_load(
	    u, o->request != NULL ? o->request->route : 0, &m.load);
	o->head_sent = true;
	(void)call_link_send(&o->conn->link, MSG_CALL_HEAD, &m);
}

static uint64_t
unsent_bytes(const struct guard_out *o)
{
	return o->answer->base + o->answer->data->len - o->sent;
}

/* Whether a chunk is available and the credit allows to send it. */
static bool
has_chunk(const struct guard_out *o)
{
	if (unsent_bytes(o) > 0)
		return o->credit_bytes > 0;
	return o->answer->complete;
}

/* Resumes reading from the upstream once entries have caught up. */
static void
resume_upstream(struct guard_out *o)
{
	struct guard_request *r = o->request;

	if (r == NULL || !r->paused || guard_answer_is_full(r->answer))
		return;
	r->paused = false;
	if (r->call != NULL)
		http_call_resume(r->call);
}

static bool
send_chunk(struct call_sender *s, struct call_link *link)
{
	struct guard_out *o = (struct guard_out *)s;
	struct msg_call_chunk m = {.stream = o->stream};
	uint64_t len;

	if (!has_chunk(o))
		return false;
	len = MIN(unsent_bytes(o), CALL_CHUNK_BYTES);
	len = MIN(len, o->credit_bytes);
	m.data = o->answer->data->data + (o->sent - o->answer->base);
	m.data_len = (uint32_t)len;
	m.fin = o->answer->complete && len == unsent_bytes(o);
	(void)call_link_send(link, MSG_CALL_CHUNK, &m);
	o->sent += len;
	o->credit_bytes -= len;
	if (m.fin) {
		guard_out_free(o);
		return false;
	}
	resume_upstream(o);
	return has_chunk(o);
}

void
guard_out_send(struct guard_out *o, const struct guard_upstream *u)
{
	if (!o->answer->has_head)
		return;
	if (!o->head_sent)
		send_head(o, u);
	if (has_chunk(o))
		call_link_enqueue(&o->conn->link, &o->sender);
}

void
guard_out_add_credit(struct guard_out *o, uint32_t bytes)
{
	o->credit_bytes += bytes;
	if (o->head_sent && has_chunk(o))
		call_link_enqueue(&o->conn->link, &o->sender);
}

void
guard_out_refuse(struct guard_conn *gc, uint32_t stream,
    const struct guard_upstream *u, enum refusal refusal,
    uint64_t retry_after_ms)
{
	struct msg_call_refused m;

	memset(&m, 0, sizeof(m));
	m.stream = stream;
	/* An entry of an older build, which doesn't support this refusal,
	 * gets another that is final too. */
	m.refusal = (uint8_t)(refusal > gc->max_refusal ? REFUSAL_CALLER_LIMIT
							: refusal);
	m.retry_after_ms = (uint32_t)MIN(retry_after_ms, UINT32_MAX);
	guard_upstream_load(u, 0, &m.load);
	call_metrics_refusal(refusal);
	(void)call_link_send(&gc->link, MSG_CALL_REFUSED, &m);
}

void
guard_out_failed(
    struct guard_conn *gc, uint32_t stream, const struct guard_upstream *u)
{
	struct msg_call_failed m;

	memset(&m, 0, sizeof(m));
	m.stream = stream;
	guard_upstream_load(u, 0, &m.load);
	(void)call_link_send(&gc->link, MSG_CALL_FAILED, &m);
}
