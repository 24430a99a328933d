/*
 * Connections from the entry to guards: dialled on demand, closed when idle,
 * pinged while an answer is awaited, dropped when silent.
 */
#include "base/clock.h"

#define LOG_PART "entry"
#include "base/log.h"

#include "call_metrics.h"
#include "entry_priv.h"
#include "entry_quota.h"

/* Timeout for connecting, including the guard's hello: many round trips, plus
 * the queue of a saturated link. */
#define DIAL_TIMEOUT_MS 1500

/* A connection without streams is closed after this time. */
#define PEER_IDLE_MS 30000

/*
 * Time without a frame before a ping, and timeout of its answer.  A host whose
 * link is saturated, or that has used up its processor quota, answers after up
 * to a second; dropping its connections would run all calls on them twice.
 */
#define PING_AFTER_MS 250
#define PING_TIMEOUT_MS 1500

/* A guard is suspected when a ping or dial isn't answered within this time: new
 * calls are placed elsewhere, answers in flight are still awaited. */
#define SUSPECT_AFTER_MS 250

/* A guard that is to answer reports is redialled for this time after it was
 * last asked for. */
#define WANTED_MS 4000

/* Back-off between dials to a suspected guard, doubled after each dial. */
#define REDIAL_MS 100
#define REDIAL_MAX_MS 1600
#define REDIAL_SHIFT_MAX 4

static void
log_peer(const struct entry_peer *p, const char *why)
{
	char text[ADDR_TEXT_BYTES];

	log_info("guard %s: %s", addr_format(&p->address, text), why);
}

static void
set_timer(struct entry_peer *p)
{
	uint64_t due_ms = p->silence.due_ms;

	if (p->state == PEER_READY && !p->silence.awaiting)
		due_ms = p->last_used_ms + PEER_IDLE_MS;
	loop_timer_set(&p->timer, MIN(due_ms, p->suspect_ms));
}

/* Sets whether the guard is suspected and reports it to the placement. */
static void
set_suspected(struct entry_peer *p, bool suspected)
{
	uint64_t now_ms = loop_now_ms(p->entry->loop);
	bool unreachable = false;
	guint i;

	p->suspect_ms = DEADLINE_NEVER;
	if (p->suspected == suspected)
		return;
	p->suspected = suspected;
	log_peer(p, suspected ? "suspected, no answer" : "heard again");
	for (i = 0; i < p->endpoints->len; i++)
		unreachable |= endpoints_set_silent(p->entry->endpoints,
		    g_array_index(p->endpoints, uint64_t, i), suspected,
		    now_ms);
	if (unreachable)
		log_peer(p,
		    "its data centre is treated as unreachable: two "
		    "of its hosts do not answer");
}

/*
 * Fails the attempts that wait for the connection to a suspected guard, so that
 * they are placed elsewhere.  All are removed from the queue first, since a
 * call that continues may end its other attempts.
 */
static void
fail_unsent_attempts(struct entry_peer *p)
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

/* Whether an endpoint of the guard is in the snapshot in force. */
static bool
has_listed_endpoint(const struct entry_peer *p)
{
	guint i;

	for (i = 0; i < p->endpoints->len; i++)
		if (endpoints_listed(p->entry->endpoints,
			g_array_index(p->endpoints, uint64_t, i)))
			return true;
	return false;
}

/* Redials a lost guard with back-off, also when no call waits for the
 * connection. */
static void
schedule_redial(struct entry_peer *p)
{
	uint64_t wait_ms = (uint64_t)REDIAL_MS
	    << MIN(p->failed_dials, REDIAL_SHIFT_MAX);

	if (p->state != PEER_NONE)
		return;
	p->failed_dials++;
	loop_timer_set(&p->timer,
	    loop_now_ms(p->entry->loop) + MIN(wait_ms, REDIAL_MAX_MS));
}

static void
update_awaiting(struct entry_peer *p)
{
	bool awaiting =
	    g_hash_table_size(p->streams) > 0 || p->unanswered_report;
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

/* Ends the connection; its streams and waiting attempts are lost. */
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
	p->stopping = false;
	p->unanswered_report = false;
	call_link_clear(&p->link);
	loop_timer_stop(&p->timer);
	call_silence_init(&p->silence, PING_AFTER_MS, PING_TIMEOUT_MS);
	set_suspected(p, true);
	for (i = 0; i < lost->len; i++)
		entry_attempt_lost(g_ptr_array_index(lost, i), silent);
	g_ptr_array_free(lost, TRUE);
	entry_quota_peer_lost(p);
	schedule_redial(p);
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

/* Closes a connection without streams. */
static void
close_idle(struct entry_peer *p)
{
	conn_close(p->link.conn);
	call_link_clear(&p->link);
	p->state = PEER_NONE;
	p->stopping = false;
	loop_timer_stop(&p->timer);
	call_silence_init(&p->silence, PING_AFTER_MS, PING_TIMEOUT_MS);
}

static void
tick_ready(struct entry_peer *p, uint64_t now_ms)
{
	switch (call_silence_tick(&p->silence, now_ms)) {
	case SILENCE_PING:
		peer_ping(p);
		if (!p->suspected)
			p->suspect_ms = now_ms + SUSPECT_AFTER_MS;
		break;
	case SILENCE_LOST:
		log_peer(p, "connection silent, ping not answered");
		metric_add(&metric_silent_connections, 1);
		peer_drop(p, true);
		return;
	case SILENCE_NONE:
		break;
	}
	if (!p->silence.awaiting && now_ms >= p->last_used_ms + PEER_IDLE_MS) {
		close_idle(p);
		return;
	}
	if (now_ms >= p->suspect_ms)
		set_suspected(p, true);
	set_timer(p);
}

static void dial(struct entry_peer *p);

static void
tick_dialling(struct entry_peer *p, uint64_t now_ms)
{
	if (now_ms < p->dial_deadline_ms) {
		set_suspected(p, true);
		loop_timer_set(&p->timer, p->dial_deadline_ms);
		fail_unsent_attempts(p);
		return;
	}
	log_peer(p, "no hello before the dial timeout");
	peer_drop(p, false);
}

static void
on_timer(void *arg)
{
	struct entry_peer *p = arg;

	uint64_t now_ms = loop_now_ms(p->entry->loop);

	switch (p->state) {
	case PEER_NONE:
		if (has_listed_endpoint(p) || now_ms < p->wanted_until_ms)
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
handle_hello(struct entry_peer *p, const uint8_t *body, size_t len)
{
	struct msg_call_hello hello;
	struct entry_attempt *a;

	if (msg_call_hello_decode(body, len, &hello) != STATUS_OK ||
	    hello.proto != CALL_PROTO)
		return false;
	p->incarnation = hello.incarnation;
	p->initial_credit_bytes =
	    hello.first_bytes != 0 ? hello.first_bytes : CALL_BODY_PREFIX_BYTES;
	p->state = PEER_READY;
	p->last_used_ms = loop_now_ms(p->entry->loop);
	p->failed_dials = 0;
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
	bool ok;

	call_silence_received(&p->silence, loop_now_ms(p->entry->loop));
	set_suspected(p, false);
	if (p->state == PEER_READY)
		ok = entry_frame(p, type, body, len);
	else
		ok = type == MSG_CALL_HELLO && handle_hello(p, body, len);
	if (ok || p->state == PEER_NONE || p->link.conn != conn)
		return;
	log_peer(p, "invalid frame, connection closed");
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
	uint64_t deadline_ms = loop_now_ms(p->entry->loop) + DIAL_TIMEOUT_MS;

	call_link_options(&options);
	options.sent_bytes = &metric_call_sent_bytes;
	options.received_bytes = &metric_call_received_bytes;
	conn = conn_dial(p->entry->loop, p->address, deadline_ms, &options,
	    &peer_handler, p);
	call_link_init(&p->link, p->entry->loop, conn);
	p->state = PEER_DIALLING;
	p->dial_deadline_ms = deadline_ms;
	loop_timer_set(
	    &p->timer, loop_now_ms(p->entry->loop) + SUSPECT_AFTER_MS);
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
	p->suspect_ms = DEADLINE_NEVER;
	g_queue_init(&p->waiting);
	call_silence_init(&p->silence, PING_AFTER_MS, PING_TIMEOUT_MS);
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

	log_info("guard %s: stopping", addr_format(&p->address, text));
	p->stopping = true;
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
add_endpoint(struct entry_peer *p, uint64_t id)
{
	guint i;

	for (i = 0; i < p->endpoints->len; i++)
		if (g_array_index(p->endpoints, uint64_t, i) == id)
			return;
	g_array_append_val(p->endpoints, id);
	(void)endpoints_set_silent(
	    p->entry->endpoints, id, p->suspected, loop_now_ms(p->entry->loop));
}

void
entry_peer_add(struct entry_peer *p, struct entry_attempt *a)
{
	add_endpoint(p, a->action.endpoint);
	a->peer = p;
	if (p->state != PEER_READY) {
		g_queue_push_tail(&p->waiting, a);
		if (p->state == PEER_NONE)
			dial(p);
		return;
	}
	if (p->stopping && a->kind == ATTEMPT_SEND) {
		a->peer = NULL;
		entry_attempt_refused(a);
		return;
	}
	a->stream = next_stream(p);
	g_hash_table_insert(p->streams, GUINT_TO_POINTER(a->stream), a);
	update_awaiting(p);
	entry_attempt_start(a);
}

bool
entry_peer_reach(struct entry_peer *p)
{
	p->wanted_until_ms = loop_now_ms(p->entry->loop) + WANTED_MS;
	if (p->state == PEER_NONE && !loop_timer_is_set(&p->timer))
		dial(p);
	return p->state == PEER_READY && !p->suspected && !p->stopping;
}

bool
entry_peer_report(struct entry_peer *p, const struct msg_quota_report *m)
{
	if (p->state != PEER_READY ||
	    call_link_send(&p->link, MSG_QUOTA_REPORT, m) != STATUS_OK)
		return false;
	p->last_used_ms = loop_now_ms(p->entry->loop);
	p->unanswered_report = true;
	update_awaiting(p);
	return true;
}

void
entry_peer_reported(struct entry_peer *p)
{
	p->unanswered_report = false;
	update_awaiting(p);
}

void
entry_peer_remove(struct entry_attempt *a)
{
	struct entry_peer *p = a->peer;

	if (p == NULL)
		return;
	call_link_dequeue(&a->sender);
	a->peer = NULL;
	if (a->stream == 0) {
		g_queue_remove(&p->waiting, a);
		return;
	}
	g_hash_table_remove(p->streams, GUINT_TO_POINTER(a->stream));
	p->last_used_ms = loop_now_ms(p->entry->loop);
	update_awaiting(p);
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
