/*
 * Decodes and checks frames from entries, and passes them on.
 */
#include <string.h>

#include "base/clock.h"

#include "guard_priv.h"

static struct guard_out *
find_stream(struct guard_conn *gc, uint32_t number)
{
	return g_hash_table_lookup(gc->streams, GUINT_TO_POINTER(number));
}

static bool
on_open(struct guard_conn *gc, const uint8_t *body, size_t len)
{
	struct msg_call_open m;
	bool valid;

	if (msg_call_open_decode(body, len, &m) != STATUS_OK)
		return false;
	valid = guard_open(gc, &m);
	msg_call_open_clear(&m);
	return valid;
}

static bool
on_chunk(struct guard_conn *gc, const uint8_t *body, size_t len)
{
	struct msg_call_chunk m;
	struct guard_out *o;

	if (msg_call_chunk_decode(body, len, &m) != STATUS_OK)
		return false;
	o = find_stream(gc, m.stream);
	if (o == NULL || o->request == NULL || o->request->body_source != o)
		return true;
	return guard_request_chunk(o->request, &m);
}

static bool
on_credit(struct guard_conn *gc, const uint8_t *body, size_t len)
{
	struct msg_call_credit m;
	struct guard_out *o;

	if (msg_call_credit_decode(body, len, &m) != STATUS_OK)
		return false;
	o = find_stream(gc, m.stream);
	if (o != NULL)
		guard_out_add_credit(o, m.bytes);
	return true;
}

static bool
on_cancel(struct guard_conn *gc, const uint8_t *body, size_t len)
{
	struct msg_call_cancel m;
	struct guard_out *o;

	if (msg_call_cancel_decode(body, len, &m) != STATUS_OK)
		return false;
	o = find_stream(gc, m.stream);
	if (o == NULL)
		return true;
	if (m.abandoned)
		guard_departure(o,
		    frame_age_sent_ms(
			&gc->age, m.sent_ms, loop_now_ms(gc->guard->loop)));
	else if (o->request != NULL)
		guard_request_cancel(o->request);
	else
		guard_out_free(o);
	return true;
}

static bool
on_resolve(struct guard_conn *gc, const uint8_t *body, size_t len)
{
	struct msg_call_resolve m;

	if (msg_call_resolve_decode(body, len, &m) != STATUS_OK)
		return false;
	return guard_resolve(gc, &m);
}

static bool
on_ack(struct guard_conn *gc, const uint8_t *body, size_t len)
{
	struct msg_call_ack m;
	struct request_id id;

	if (msg_call_ack_decode(body, len, &m) != STATUS_OK ||
	    m.request_id_len != REQUEST_ID_BYTES)
		return false;
	memcpy(id.bytes, m.request_id, REQUEST_ID_BYTES);
	fate_acknowledged(gc->guard->fates, &id);
	return true;
}

static bool
on_key_ask(struct guard_conn *gc, const uint8_t *body, size_t len)
{
	struct msg_call_key_ask m;
	struct msg_call_key_word reply;

	if (msg_call_key_ask_decode(body, len, &m) != STATUS_OK)
		return false;
	memset(&reply, 0, sizeof(reply));
	(void)g_strlcpy(reply.service, m.service, sizeof(reply.service));
	reply.key_high = m.key_high;
	reply.key_low = m.key_low;
	reply.word = (uint8_t)guard_keyed_yield(gc->guard, &m);
	(void)call_link_send(&gc->link, MSG_CALL_KEY_WORD, &reply);
	return true;
}

static bool
on_ping(struct guard_conn *gc, const uint8_t *body, size_t len)
{
	struct msg_call_ping m;
	struct msg_call_pong pong;

	if (msg_call_ping_decode(body, len, &m) != STATUS_OK)
		return false;
	pong.echo = m.sent_ms;
	pong.sent_ms = loop_now_ms(gc->guard->loop);
	(void)call_link_send(&gc->link, MSG_CALL_PONG, &pong);
	return true;
}

static bool
on_pong(struct guard_conn *gc, const uint8_t *body, size_t len)
{
	struct msg_call_pong m;

	if (msg_call_pong_decode(body, len, &m) != STATUS_OK)
		return false;
	frame_age_echo(
	    &gc->age, m.echo, m.sent_ms, loop_now_ms(gc->guard->loop));
	return true;
}

static bool
on_hello_ack(struct guard_conn *gc, const uint8_t *body, size_t len)
{
	struct msg_call_hello_ack m;

	if (msg_call_hello_ack_decode(body, len, &m) != STATUS_OK ||
	    m.proto != CALL_PROTO)
		return false;
	(void)g_strlcpy(gc->host, m.host, sizeof(gc->host));
	gc->max_refusal = m.refusals != 0 ? m.refusals : REFUSAL_UNREACHABLE;
	gc->handshake_done = true;
	frame_age_echo(
	    &gc->age, m.echo, m.sent_ms, loop_now_ms(gc->guard->loop));
	if (!drain_accepts_request(&gc->guard->drain))
		guard_conn_send_goodbye(gc);
	return true;
}

static bool
on_goodbye_ack(struct guard_conn *gc, const uint8_t *body, size_t len)
{
	struct msg_call_goodbye_ack m;

	if (msg_call_goodbye_ack_decode(body, len, &m) != STATUS_OK ||
	    !gc->goodbye_sent)
		return false;
	gc->goodbye_acked = true;
	return true;
}

bool
guard_frame_handle(
    struct guard_conn *gc, uint8_t type, const uint8_t *body, size_t len)
{
	if (!gc->handshake_done)
		return type == MSG_CALL_HELLO_ACK &&
		    on_hello_ack(gc, body, len);
	switch (type) {
	case MSG_CALL_OPEN:
		return on_open(gc, body, len);
	case MSG_CALL_CHUNK:
		return on_chunk(gc, body, len);
	case MSG_CALL_CREDIT:
		return on_credit(gc, body, len);
	case MSG_CALL_CANCEL:
		return on_cancel(gc, body, len);
	case MSG_CALL_RESOLVE:
		return on_resolve(gc, body, len);
	case MSG_CALL_ACK:
		return on_ack(gc, body, len);
	case MSG_CALL_KEY_ASK:
		return on_key_ask(gc, body, len);
	case MSG_QUOTA_REPORT:
		return guard_quota_frame(gc, body, len);
	case MSG_CALL_PING:
		return on_ping(gc, body, len);
	case MSG_CALL_PONG:
		return on_pong(gc, body, len);
	case MSG_CALL_GOODBYE_ACK:
		return on_goodbye_ack(gc, body, len);
	default:
		return true;
	}
}
