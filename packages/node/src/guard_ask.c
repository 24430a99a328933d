/*
 * Queries from this guard to another guard about an idempotency key.  Each
 * query uses a connection of its own, since queries occur only after the home
 * of a key has changed.
 */
#include <string.h>

#include "base/clock.h"

#define LOG_PART "guard"
#include "base/log.h"

#include "guard_priv.h"

/* Time limit of a query, including the connect. */
#define KEY_QUERY_TIMEOUT_MS 1000

/**
 * struct active_query - a key query in progress
 * @guard: the guard
 * @q: the query
 * @conn: the connection, or NULL
 * @timer: the query's time limit
 */
struct active_query {
	struct guard *guard;
	struct guard_key_query q;
	struct conn *conn;
	struct loop_timer timer;
};

static void
finish_query(struct active_query *a, enum keyed_word word)
{
	struct guard *g = a->guard;
	struct guard_key_query q = a->q;

	loop_timer_stop(&a->timer);
	if (a->conn != NULL)
		conn_close(a->conn);
	g_queue_remove(&g->key_queries, a);
	g_free(a);
	guard_keyed_query_done(g, &q, word);
}

static void
on_timer(void *arg)
{
	finish_query(arg, KEYED_WORD_NONE);
}

static void
send_message(struct active_query *a, enum msg_type type, const void *msg)
{
	GByteArray *out = g_byte_array_new();

	codec_encode(msg_desc(type), msg, out);
	(void)conn_send_frame(a->conn, (uint8_t)type, out->data, out->len);
	g_byte_array_free(out, TRUE);
}

static void
send_query(struct active_query *a, const struct msg_call_hello *hello)
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
handle_key_word(struct active_query *a, const uint8_t *body, size_t len)
{
	struct msg_call_key_word m;

	if (msg_call_key_word_decode(body, len, &m) != STATUS_OK ||
	    m.key_high != a->q.key.high || m.key_low != a->q.key.low ||
	    m.word > KEYED_WORD_NONE)
		finish_query(a, KEYED_WORD_NONE);
	else
		finish_query(a, (enum keyed_word)m.word);
}

static void
on_frame(
    struct conn *conn, uint8_t type, const uint8_t *body, size_t len, void *arg)
{
	struct active_query *a = arg;
	struct msg_call_hello hello;

	(void)conn;
	if (type == MSG_CALL_KEY_WORD) {
		handle_key_word(a, body, len);
		return;
	}
	if (type != MSG_CALL_HELLO)
		return;
	if (msg_call_hello_decode(body, len, &hello) == STATUS_OK &&
	    hello.proto == CALL_PROTO)
		send_query(a, &hello);
	else
		finish_query(a, KEYED_WORD_NONE);
}

static void
on_closed(struct conn *conn, enum status st, void *arg)
{
	struct active_query *a = arg;

	(void)conn;
	(void)st;
	a->conn = NULL;
	finish_query(a, KEYED_WORD_NONE);
}

static const struct conn_handler key_query_handler = {
    .on_frame = on_frame,
    .on_closed = on_closed,
};

void
guard_key_query_start(
    struct guard *g, const struct net_addr *at, const struct guard_key_query *q)
{
	struct active_query *a = g_new0(struct active_query, 1);
	uint64_t deadline_ms = loop_now_ms(g->loop) + KEY_QUERY_TIMEOUT_MS;
	struct conn_options options;

	a->guard = g;
	a->q = *q;
	loop_timer_init(&a->timer, g->loop, on_timer, a);
	g_queue_push_tail(&g->key_queries, a);
	if (at == NULL) {
		loop_timer_set(&a->timer, loop_now_ms(g->loop));
		return;
	}
	call_link_options(&options);
	loop_timer_set(&a->timer, deadline_ms);
	a->conn = conn_dial(
	    g->loop, *at, deadline_ms, &options, &key_query_handler, a);
}

void
guard_key_query_free_all(struct guard *g)
{
	struct active_query *a;

	while ((a = g_queue_pop_head(&g->key_queries)) != NULL) {
		loop_timer_stop(&a->timer);
		if (a->conn != NULL)
			conn_close(a->conn);
		g_free(a);
	}
}
