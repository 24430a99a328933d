/*
 * Connections from the entry to guards: dialled on demand, kept while they
 * are used, pinged while something is awaited, dropped when silent.
 */
#include "base/clock.h"

#define LOG_PART "entry"
#include "base/log.h"

#include "call_metrics.h"
#include "entry_priv.h"

/* Time for connecting, the guard's hello included. */
#define DIAL_MS 500

/* A connection over which nothing is awaited closes after this time. */
#define PEER_IDLE_MS 30000

/* Quiet time before a ping, and time for its answer. */
#define PING_AFTER_MS 200
#define PING_LOST_MS 400

static void
set_timer(struct entry_peer *p)
{
	uint64_t due_ms = p->silence.due_ms;

	if (p->state == PEER_READY && !p->silence.awaiting)
		due_ms = p->used_ms + PEER_IDLE_MS;
	loop_timer_set(&p->timer, due_ms);
}

static void
await(struct entry_peer *p)
{
	bool awaiting = g_hash_table_size(p->streams) > 0;
	bool changed = awaiting != p->silence.awaiting;

	call_silence_await(&p->silence, awaiting, loop_now_ms(p->entry->loop));
	if (changed && (awaiting || !loop_timer_is_set(&p->timer)))
		set_timer(p);
}

static struct entry_attempt *
any_stream(struct entry_peer *p)
{
	GHashTableIter it;
	void *a;

	g_hash_table_iter_init(&it, p->streams);
	if (g_hash_table_iter_next(&it, NULL, &a))
		return a;
	return NULL;
}

/* Ends the connection; the streams and those that wait are lost. */
static void
peer_lost(struct entry_peer *p, bool silent)
{
	struct entry_attempt *a;
	GPtrArray *lost = g_ptr_array_new();
	guint i;

	while ((a = any_stream(p)) != NULL) {
		entry_peer_remove(a);
		g_ptr_array_add(lost, a);
	}
	while ((a = g_queue_pop_head(&p->waiting)) != NULL) {
		a->peer = NULL;
		g_ptr_array_add(lost, a);
	}
	p->state = PEER_NONE;
	p->leaving = false;
	call_link_clear(&p->link);
	loop_timer_stop(&p->timer);
	call_silence_init(&p->silence, PING_AFTER_MS, PING_LOST_MS);
	for (i = 0; i < lost->len; i++)
		entry_attempt_lost(g_ptr_array_index(lost, i), silent);
	g_ptr_array_free(lost, TRUE);
}

static void
peer_drop(struct entry_peer *p, bool silent)
{
	struct conn *conn = p->link.conn;

	conn_close(conn);
	peer_lost(p, silent);
}

static void
peer_ping(struct entry_peer *p)
{
	struct msg_call_ping ping = {.sent_ms = loop_now_ms(p->entry->loop)};

	(void)call_link_send(&p->link, MSG_CALL_PING, &ping);
}

static void
log_drop(const struct entry_peer *p, const char *why)
{
	char text[ADDR_TEXT_BYTES];

	log_info("guard %s: %s", addr_format(&p->address, text), why);
}

static void
tick_ready(struct entry_peer *p, uint64_t now_ms)
{
	switch (call_silence_tick(&p->silence, now_ms)) {
	case SILENCE_PING:
		peer_ping(p);
		break;
	case SILENCE_LOST:
		log_drop(p, "connection went silent");
		metric_add(&metric_silent, 1);
		peer_drop(p, true);
		return;
	case SILENCE_NONE:
		break;
	}
	if (!p->silence.awaiting && now_ms >= p->used_ms + PEER_IDLE_MS) {
		peer_drop(p, false);
		return;
	}
	set_timer(p);
}

static void
on_timer(void *arg)
{
	struct entry_peer *p = arg;

	if (p->state == PEER_DIALLING) {
		log_drop(p, "no hello in time");
		peer_drop(p, false);
		return;
	}
	if (p->state == PEER_READY)
		tick_ready(p, loop_now_ms(p->entry->loop));
}

static void
send_hello(struct entry_peer *p, const struct msg_call_hello *hello)
{
	struct msg_call_hello_ack ack = {.proto = CALL_PROTO,
	    .echo = hello->sent_ms,
	    .sent_ms = loop_now_ms(p->entry->loop)};

	(void)g_strlcpy(ack.host, p->entry->settings->host, sizeof(ack.host));
	(void)g_strlcpy(ack.data_centre, p->entry->settings->data_centre,
	    sizeof(ack.data_centre));
	(void)call_link_send(&p->link, MSG_CALL_HELLO_ACK, &ack);
}

static bool
take_hello(struct entry_peer *p, const uint8_t *body, size_t len)
{
	struct msg_call_hello hello;
	struct entry_attempt *a;

	if (msg_call_hello_decode(body, len, &hello) != STATUS_OK ||
	    hello.proto != CALL_PROTO)
		return false;
	p->incarnation = hello.incarnation;
	p->state = PEER_READY;
	p->used_ms = loop_now_ms(p->entry->loop);
	send_hello(p, &hello);
	set_timer(p);
	while ((a = g_queue_pop_head(&p->waiting)) != NULL) {
		a->peer = NULL;
		entry_peer_add(p, a);
	}
	return true;
}

static void
on_frame(
    struct conn *conn, uint8_t type, const uint8_t *body, size_t len, void *arg)
{
	struct entry_peer *p = arg;
	bool fine;

	call_silence_heard(&p->silence, loop_now_ms(p->entry->loop));
	if (p->state == PEER_READY)
		fine = entry_frame(p, type, body, len);
	else
		fine = type == MSG_CALL_HELLO && take_hello(p, body, len);
	if (fine || p->state == PEER_NONE || p->link.conn != conn)
		return;
	log_drop(p, "sent a frame that makes no sense; connection closed");
	peer_drop(p, false);
}

static void
on_writable(struct conn *conn, void *arg)
{
	struct entry_peer *p = arg;

	(void)conn;
	call_link_writable(&p->link);
}

static void
on_closed(struct conn *conn, enum status st, void *arg)
{
	struct entry_peer *p = arg;
	char text[ADDR_TEXT_BYTES];

	(void)conn;
	log_info("guard %s: connection lost (%s)",
	    addr_format(&p->address, text), status_name(st));
	peer_lost(p, st == STATUS_TIMEOUT);
}

static const struct conn_handler peer_handler = {
    .on_frame = on_frame,
    .on_writable = on_writable,
    .on_closed = on_closed,
};

static void
dial(struct entry_peer *p)
{
	struct conn_options options;
	struct conn *conn;
	uint64_t deadline_ms = loop_now_ms(p->entry->loop) + DIAL_MS;

	call_link_options(&options);
	options.sent_bytes = &metric_call_sent_bytes;
	options.received_bytes = &metric_call_received_bytes;
	conn = conn_dial(p->entry->loop, p->address, deadline_ms, &options,
	    &peer_handler, p);
	call_link_init(&p->link, p->entry->loop, conn);
	p->state = PEER_DIALLING;
	loop_timer_set(&p->timer, deadline_ms);
}

struct entry_peer *
entry_peer_get(struct entry *e, struct net_addr address)
{
	uint64_t key = addr_key(&address);
	struct entry_peer *p = g_hash_table_lookup(e->peers, &key);
	uint64_t *stored;

	if (p != NULL)
		return p;
	p = g_new0(struct entry_peer, 1);
	p->entry = e;
	p->address = address;
	p->streams = g_hash_table_new(NULL, NULL);
	g_queue_init(&p->waiting);
	call_silence_init(&p->silence, PING_AFTER_MS, PING_LOST_MS);
	loop_timer_init(&p->timer, e->loop, on_timer, p);
	stored = g_new(uint64_t, 1);
	*stored = key;
	g_hash_table_insert(e->peers, stored, p);
	return p;
}

void
entry_peer_goodbye(struct entry_peer *p, uint64_t sent_ms)
{
	struct msg_call_goodbye_ack ack = {.echo = sent_ms};
	char text[ADDR_TEXT_BYTES];

	log_info("guard %s: is stopping", addr_format(&p->address, text));
	p->leaving = true;
	(void)call_link_send(&p->link, MSG_CALL_GOODBYE_ACK, &ack);
}

static uint32_t
next_stream(struct entry_peer *p)
{
	do {
		p->last_stream++;
	} while (p->last_stream == 0 ||
	    g_hash_table_contains(
		p->streams, GUINT_TO_POINTER(p->last_stream)));
	return p->last_stream;
}

void
entry_peer_add(struct entry_peer *p, struct entry_attempt *a)
{
	a->peer = p;
	if (p->state != PEER_READY) {
		g_queue_push_tail(&p->waiting, a);
		if (p->state == PEER_NONE)
			dial(p);
		return;
	}
	if (p->leaving && a->kind == ATTEMPT_SEND) {
		a->peer = NULL;
		entry_attempt_turned_away(a);
		return;
	}
	a->stream = next_stream(p);
	g_hash_table_insert(p->streams, GUINT_TO_POINTER(a->stream), a);
	await(p);
	entry_attempt_start(a);
}

void
entry_peer_remove(struct entry_attempt *a)
{
	struct entry_peer *p = a->peer;

	if (p == NULL)
		return;
	call_link_forget(&a->sender);
	a->peer = NULL;
	if (a->stream == 0) {
		g_queue_remove(&p->waiting, a);
		return;
	}
	g_hash_table_remove(p->streams, GUINT_TO_POINTER(a->stream));
	p->used_ms = loop_now_ms(p->entry->loop);
	await(p);
}

void
entry_peer_free(void *peer)
{
	struct entry_peer *p = peer;

	if (p->state != PEER_NONE) {
		conn_close(p->link.conn);
		call_link_clear(&p->link);
	}
	loop_timer_stop(&p->timer);
	g_hash_table_destroy(p->streams);
	g_queue_clear(&p->waiting);
	g_free(p);
}
