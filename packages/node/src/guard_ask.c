/*
 * A guard asks another one about an idempotency key, over a connection of its
 * own: it happens only when the home of a key has changed.
 */
#include <string.h>

#include "base/clock.h"

#define LOG_PART "guard"
#include "base/log.h"

#include "guard_priv.h"

/* Time for the answer, connecting included. */
#define ASK_MS 1000

/**
 * struct asking - a question that is under way
 * @guard: the guard
 * @q: the question
 * @conn: the connection
 * @timer: its time limit
 */
struct asking {
	struct guard *guard;
	struct guard_question q;
	struct conn *conn;
	struct loop_timer timer;
};

static void
finish(struct asking *a, enum keyed_word word)
{
	struct guard *g = a->guard;
	struct guard_question q = a->q;

	loop_timer_stop(&a->timer);
	if (a->conn != NULL)
		conn_close(a->conn);
	g_queue_remove(&g->askings, a);
	g_free(a);
	guard_keyed_answered(g, &q, word);
}

static void
on_timer(void *arg)
{
	finish(arg, KEYED_WORD_NONE);
}

static void
send_message(struct asking *a, enum msg_type type, const void *msg)
{
	GByteArray *out = g_byte_array_new();

	codec_encode(msg_desc(type), msg, out);
	(void)conn_send_frame(a->conn, (uint8_t)type, out->data, out->len);
	g_byte_array_free(out, TRUE);
}

static void
send_question(struct asking *a, const struct msg_call_hello *hello)
{
	const struct settings *s = a->guard->settings;
	struct msg_call_hello_ack ack = {.proto = CALL_PROTO,
	    .echo = hello->sent_ms,
	    .sent_ms = loop_now_ms(a->guard->loop)};
	struct msg_call_key_ask ask = {.key_high = a->q.key.high,
	    .key_low = a->q.key.low,
	    .to = endpoint_id(s->host, a->q.service),
	    .to_age_ms = a->q.age_ms};

	(void)g_strlcpy(ack.host, s->host, sizeof(ack.host));
	(void)g_strlcpy(
	    ack.data_centre, s->data_centre, sizeof(ack.data_centre));
	(void)g_strlcpy(ask.service, a->q.service, sizeof(ask.service));
	send_message(a, MSG_CALL_HELLO_ACK, &ack);
	send_message(a, MSG_CALL_KEY_ASK, &ask);
}

static void
take_word(struct asking *a, const uint8_t *body, size_t len)
{
	struct msg_call_key_word m;

	if (msg_call_key_word_decode(body, len, &m) != STATUS_OK ||
	    m.key_high != a->q.key.high || m.key_low != a->q.key.low ||
	    m.word > KEYED_WORD_NONE)
		finish(a, KEYED_WORD_NONE);
	else
		finish(a, (enum keyed_word)m.word);
}

static void
on_frame(
    struct conn *conn, uint8_t type, const uint8_t *body, size_t len, void *arg)
{
	struct asking *a = arg;
	struct msg_call_hello hello;

	(void)conn;
	if (type == MSG_CALL_KEY_WORD) {
		take_word(a, body, len);
		return;
	}
	if (type != MSG_CALL_HELLO)
		return;
	if (msg_call_hello_decode(body, len, &hello) == STATUS_OK &&
	    hello.proto == CALL_PROTO)
		send_question(a, &hello);
	else
		finish(a, KEYED_WORD_NONE);
}

static void
on_closed(struct conn *conn, enum status st, void *arg)
{
	struct asking *a = arg;

	(void)conn;
	(void)st;
	a->conn = NULL;
	finish(a, KEYED_WORD_NONE);
}

static const struct conn_handler ask_handler = {
    .on_frame = on_frame,
    .on_closed = on_closed,
};

void
guard_ask(
    struct guard *g, const struct net_addr *at, const struct guard_question *q)
{
	struct asking *a = g_new0(struct asking, 1);
	uint64_t deadline_ms = loop_now_ms(g->loop) + ASK_MS;
	struct conn_options options;

	a->guard = g;
	a->q = *q;
	loop_timer_init(&a->timer, g->loop, on_timer, a);
	g_queue_push_tail(&g->askings, a);
	if (at == NULL) {
		loop_timer_set(&a->timer, loop_now_ms(g->loop));
		return;
	}
	call_link_options(&options);
	loop_timer_set(&a->timer, deadline_ms);
	a->conn =
	    conn_dial(g->loop, *at, deadline_ms, &options, &ask_handler, a);
}

void
guard_ask_free_all(struct guard *g)
{
	struct asking *a;

	while ((a = g_queue_pop_head(&g->askings)) != NULL) {
		loop_timer_stop(&a->timer);
		if (a->conn != NULL)
			conn_close(a->conn);
		g_free(a);
	}
}
