/*
 * Connections from entries.
 */
#include "base/clock.h"

#define LOG_PART "guard"
#include "base/log.h"

#include "guard_priv.h"

/* Pings keep the bound on the age of frames accurate. */
#define PING_INTERVAL_MS 15000

/* The first ping follows sooner: an entry that is starting answers the hello up
 * to 0.1 s late, and until the next ping all its requests look that much
 * older. */
#define FIRST_PING_DELAY_MS 1000

static void
ping(void *arg)
{
	struct guard_conn *gc = arg;
	uint64_t now_ms = loop_now_ms(gc->guard->loop);
	struct msg_call_ping m = {.sent_ms = now_ms};

	(void)call_link_send(&gc->link, MSG_CALL_PING, &m);
	loop_timer_set(&gc->timer, now_ms + PING_INTERVAL_MS);
}

static void
send_hello(struct guard_conn *gc)
{
	struct guard *g = gc->guard;
	struct msg_call_hello m = {.proto = CALL_PROTO,
	    .incarnation = g->incarnation,
	    .sent_ms = loop_now_ms(g->loop),
	    .first_bytes = CALL_INITIAL_CREDIT_BYTES};

	(void)g_strlcpy(m.host, g->settings->host, sizeof(m.host));
	(void)call_link_send(&gc->link, MSG_CALL_HELLO, &m);
}

void
guard_conn_send_goodbye(struct guard_conn *gc)
{
	struct msg_call_goodbye m = {.sent_ms = loop_now_ms(gc->guard->loop)};

	if (gc->goodbye_sent || !gc->handshake_done)
		return;
	gc->goodbye_sent = true;
	(void)call_link_send(&gc->link, MSG_CALL_GOODBYE, &m);
}

bool
guard_conn_is_busy(const struct guard_conn *gc)
{
	if (g_hash_table_size(gc->streams) > 0 ||
	    conn_output_bytes(gc->link.conn) > 0)
		return true;
	return gc->goodbye_sent && !gc->goodbye_acked;
}

void
guard_conn_accept(struct conn *conn, void *guard)
{
	struct guard *g = guard;
	struct guard_conn *gc = g_new0(struct guard_conn, 1);

	gc->guard = g;
	gc->id = conn_id(conn);
	call_link_init(&gc->link, g->loop, conn);
	frame_age_init(&gc->age);
	gc->streams = g_hash_table_new(NULL, NULL);
	loop_timer_init(&gc->timer, g->loop, ping, gc);
	loop_timer_set(&gc->timer, loop_now_ms(g->loop) + FIRST_PING_DELAY_MS);
	conn_set_arg(conn, gc);
	g_hash_table_insert(g->conns, &gc->id, gc);
	send_hello(gc);
}

static struct guard_out *
any_stream(struct guard_conn *gc)
{
	GHashTableIter it;
	void *o;

	g_hash_table_iter_init(&it, gc->streams);
	if (g_hash_table_iter_next(&it, NULL, &o))
		return o;
	return NULL;
}

/* Frees the streams of a closed connection and notifies their requests. */
static void
release_streams(struct guard_conn *gc)
{
	struct guard_request *r;
	struct guard_out *o;
	bool was_source;

	while ((o = any_stream(gc)) != NULL) {
		r = o->request;
		was_source = r != NULL && r->body_source == o;
		guard_out_free(o);
		if (r != NULL)
			guard_request_waiter_lost(r, was_source);
	}
}

static void
on_frame(
    struct conn *conn, uint8_t type, const uint8_t *body, size_t len, void *arg)
{
	struct guard_conn *gc = arg;

	(void)conn;
	if (guard_frame_handle(gc, type, body, len))
		return;
	log_info("%s sent an invalid frame; connection closed", gc->host);
	g_hash_table_remove(gc->guard->conns, &gc->id);
}

static void
on_writable(struct conn *conn, void *arg)
{
	struct guard_conn *gc = arg;

	(void)conn;
	call_link_writable(&gc->link);
}

static void
on_closed(struct conn *conn, enum status st, void *arg)
{
	struct guard_conn *gc = arg;

	(void)conn;
	log_debug("%s: connection closed (%s)", gc->host, status_name(st));
	gc->link.conn = NULL;
	g_hash_table_remove(gc->guard->conns, &gc->id);
}

const struct conn_handler guard_conn_handler = {
    .on_frame = on_frame,
    .on_writable = on_writable,
    .on_closed = on_closed,
};

void
guard_conn_free(void *conn)
{
	struct guard_conn *gc = conn;

	fate_connection_lost(gc->guard->fates, gc->id);
	release_streams(gc);
	loop_timer_stop(&gc->timer);
	if (gc->link.conn != NULL)
		conn_close(gc->link.conn);
	call_link_clear(&gc->link);
	g_hash_table_destroy(gc->streams);
	g_free(gc);
}
