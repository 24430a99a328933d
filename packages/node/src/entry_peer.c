/*
 * Connections from the entry to guards: dialled on demand, kept while they
 * are used, pinged while something is awaited, dropped when silent.
 */
#include "base/clock.h"

#define LOG_PART "entry"
#include "base/log.h"

#include "call_metrics.h"
#include "entry_priv.h"

/* Time for connecting, the guard's hello included: many round trips, and the
 * queue of a full link. */
#define DIAL_MS 1500

/* A connection over which nothing is awaited closes after this time. */
#define PEER_IDLE_MS 30000

/*
 * Quiet time before a ping, and time for its answer.  A host whose link is
 * full, or that has used its share of the processor, answers after up to a
 * second; to drop its connections then has all calls on them done twice.
 */
#define PING_AFTER_MS 250
#define PING_LOST_MS 1500

/* A ping or dial without an answer for this long puts the way in doubt: calls
 * go elsewhere, what is under way is still awaited. */
#define DOUBT_MS 250

/* Times between dials to a guard in doubt: doubled from one to the other. */
#define REDIAL_MS 100
#define REDIAL_CAP_MS 1600
#define REDIAL_SHIFT_MAX 4

static void
log_drop(const struct entry_peer *p, const char *why)
{
	char text[ADDR_TEXT_BYTES];

	log_info("guard %s: %s", addr_format(&p->address, text), why);
}

static void
set_timer(struct entry_peer *p)
{
	uint64_t due_ms = p->silence.due_ms;

	if (p->state == PEER_READY && !p->silence.awaiting)
		due_ms = p->used_ms + PEER_IDLE_MS;
	loop_timer_set(&p->timer, MIN(due_ms, p->doubt_ms));
}

/* Tells the placement whether calls may be led there. */
static void
set_doubt(struct entry_peer *p, bool doubt)
{
	uint64_t now_ms = loop_now_ms(p->entry->loop);
	bool cut = false;
	guint i;

	p->doubt_ms = DEADLINE_NEVER;
	if (p->doubt == doubt)
		return;
	p->doubt = doubt;
	log_drop(p, doubt ? "in doubt, nothing is heard" : "heard again");
	for (i = 0; i < p->endpoints->len; i++)
		cut |= endpoints_set_silent(p->entry->endpoints,
		    g_array_index(p->endpoints, uint64_t, i), doubt, now_ms);
	if (cut)
		log_drop(p,
		    "its data centre is left alone, as another host "
		    "there is silent too");
}

/*
 * What was not sent yet goes elsewhere: the way is in doubt.  All are taken out
 * of the queue first, since a call that goes on may end its other attempts.
 */
static void
turn_waiting_away(struct entry_peer *p)
{
	GPtrArray *unsent = g_ptr_array_new();
	GList *l = p->waiting.head, *next;
	struct entry_attempt *a;
	guint i;

	for (; l != NULL; l = next) {
		next = l->next;
		a = l->data;
		if (a->kind != ATTEMPT_SEND)
			continue;
		g_queue_delete_link(&p->waiting, l);
		a->peer = NULL;
		g_ptr_array_add(unsent, a);
	}
	for (i = 0; i < unsent->len; i++)
		entry_attempt_lost(g_ptr_array_index(unsent, i), false);
	g_ptr_array_free(unsent, TRUE);
}

/* Whether some endpoint there is still to be called. */
static bool
is_wanted(const struct entry_peer *p)
{
	guint i;

	for (i = 0; i < p->endpoints->len; i++)
		if (endpoints_listed(p->entry->endpoints,
			g_array_index(p->endpoints, uint64_t, i)))
			return true;
	return false;
}

/* The way was lost: dial again by and by, without a call that waits for it. */
static void
redial_later(struct entry_peer *p)
{
	uint64_t wait_ms = (uint64_t)REDIAL_MS
	    << MIN(p->redials, REDIAL_SHIFT_MAX);

	if (p->state != PEER_NONE)
		return;
	p->redials++;
	loop_timer_set(&p->timer,
	    loop_now_ms(p->entry->loop) + MIN(wait_ms, REDIAL_CAP_MS));
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
	set_doubt(p, true);
	for (i = 0; i < lost->len; i++)
		entry_attempt_lost(g_ptr_array_index(lost, i), silent);
	g_ptr_array_free(lost, TRUE);
	redial_later(p);
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

/* Nothing was lost with it. */
static void
close_idle(struct entry_peer *p)
{
	conn_close(p->link.conn);
	call_link_clear(&p->link);
	p->state = PEER_NONE;
	p->leaving = false;
	loop_timer_stop(&p->timer);
	call_silence_init(&p->silence, PING_AFTER_MS, PING_LOST_MS);
}

static void
tick_ready(struct entry_peer *p, uint64_t now_ms)
{
	switch (call_silence_tick(&p->silence, now_ms)) {
	case SILENCE_PING:
		peer_ping(p);
		if (!p->doubt)
			p->doubt_ms = now_ms + DOUBT_MS;
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
		close_idle(p);
		return;
	}
	if (now_ms >= p->doubt_ms)
		set_doubt(p, true);
	set_timer(p);
}

static void dial(struct entry_peer *p);

static void
tick_dialling(struct entry_peer *p, uint64_t now_ms)
{
	if (now_ms < p->dial_ms) {
		set_doubt(p, true);
		loop_timer_set(&p->timer, p->dial_ms);
		turn_waiting_away(p);
		return;
	}
	log_drop(p, "no hello in time");
	peer_drop(p, false);
}

static void
on_timer(void *arg)
{
	struct entry_peer *p = arg;

	uint64_t now_ms = loop_now_ms(p->entry->loop);

	switch (p->state) {
	case PEER_NONE:
		if (is_wanted(p))
			dial(p);
		break;
	case PEER_DIALLING:
		tick_dialling(p, now_ms);
		break;
	case PEER_READY:
		tick_ready(p, now_ms);
		break;
	}
}

static void
send_hello(struct entry_peer *p, const struct msg_call_hello *hello)
{
	struct msg_call_hello_ack ack = {.proto = CALL_PROTO,
	    .echo = hello->sent_ms,
	    .sent_ms = loop_now_ms(p->entry->loop),
	    .refusals = REFUSAL_LAST};

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
	p->first_bytes =
	    hello.first_bytes != 0 ? hello.first_bytes : CALL_FIRST_BYTES;
	p->state = PEER_READY;
	p->used_ms = loop_now_ms(p->entry->loop);
	p->redials = 0;
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
	set_doubt(p, false);
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
	p->dial_ms = deadline_ms;
	loop_timer_set(&p->timer, loop_now_ms(p->entry->loop) + DOUBT_MS);
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
	p->endpoints = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	p->doubt_ms = DEADLINE_NEVER;
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

static void
note_endpoint(struct entry_peer *p, uint64_t id)
{
	guint i;

	for (i = 0; i < p->endpoints->len; i++)
		if (g_array_index(p->endpoints, uint64_t, i) == id)
			return;
	g_array_append_val(p->endpoints, id);
	(void)endpoints_set_silent(
	    p->entry->endpoints, id, p->doubt, loop_now_ms(p->entry->loop));
}

void
entry_peer_add(struct entry_peer *p, struct entry_attempt *a)
{
	note_endpoint(p, a->action.endpoint);
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
	g_array_free(p->endpoints, TRUE);
	g_queue_clear(&p->waiting);
	g_free(p);
}
