/*
 * HTTP server: room for new connections.
 *
 * When nearly all connections that the server may have are open, a new one
 * takes the place of one whose caller is not in use of it.  Where there is
 * none, the last places are for callers whose first request is refused with an
 * answer.
 */
#include <inttypes.h>

#define LOG_PART "net"
#include "base/metrics.h"

#include "http_server_priv.h"

/* Share of the connections that is left for refusing with an answer. */
#define REFUSAL_DIVISOR 8
/* Idle time from which a connection may be closed for another: callers that
 * send requests back to back keep theirs. */
#define IDLE_MIN_MS 500
/* The same for a connection on which no request has come yet. */
#define UNUSED_MIN_MS 200
/* Part of its time limit after which a connection without progress may be
 * closed for another. */
#define STALL_DIVISOR 4
/* Idle connections that are looked at for one to close. */
#define CANDIDATES_MAX 8

static struct metric closed = {"bramley_connections_closed_for_room_total",
    "Connections not in use that were closed to make room for new ones.",
    METRIC_COUNTER, NULL, 0, {0}};

void
http_server_room_init(struct http_server *s)
{
	metric_register(&closed);
	s->room_lines.per_s = 1;
	s->room_lines.burst = 1;
}

static uint32_t
places_left(const struct http_server *s)
{
	uint32_t n = s->conns.length, max = s->limits.conns_max;

	return MIN(n < max ? max - n : 0, descriptors_left(s->acceptor.use));
}

bool
http_server_room_is_tight(const struct http_server *s)
{
	uint32_t left = places_left(s);

	return left <= MAX((s->conns.length + left) / REFUSAL_DIVISOR, 1U);
}

static bool
has_waited(const struct http_server *s, enum conn_timing timing, uint64_t ms)
{
	const GList *oldest = s->by_timing[timing].head;
	const struct http_server_conn *c = oldest != NULL ? oldest->data : NULL;

	return c != NULL && loop_now_ms(s->loop) >= c->timing_since_ms + ms;
}

/* The connection that is idle for longest, on which no request arrives and no
 * answer is on its way. */
static struct http_server_conn *
longest_idle(const struct http_server *s)
{
	struct http_server_conn *c;
	GList *l = s->by_timing[CONN_TIMING_IDLE].head;
	uint64_t min_ms;
	int i;

	for (i = 0; l != NULL && i < CANDIDATES_MAX; i++, l = l->next) {
		c = l->data;
		min_ms = c->used ? IDLE_MIN_MS : UNUSED_MIN_MS;
		if (loop_now_ms(s->loop) >= c->timing_since_ms + min_ms &&
		    !http_server_conn_has_unread(c) &&
		    !http_server_conn_has_unconfirmed(c))
			return c;
	}
	return NULL;
}

/* Selects an idle or stalled connection; NULL when there is none. */
static struct http_server_conn *
closable(const struct http_server *s)
{
	static const enum conn_timing stalled[] = {
	    CONN_TIMING_LINGER, CONN_TIMING_HEAD, CONN_TIMING_STALL};
	struct http_server_conn *c = longest_idle(s);
	enum conn_timing t;
	guint i;

	for (i = 0; c == NULL && i < G_N_ELEMENTS(stalled); i++) {
		t = stalled[i];
		if (has_waited(s, t,
			http_server_conn_limit_ms(&s->limits, t) /
			    STALL_DIVISOR))
			c = s->by_timing[t].head->data;
	}
	return c;
}

bool
http_server_room_make(struct http_server *s)
{
	struct http_server_conn *c = closable(s);
	uint64_t now_ms = loop_now_ms(s->loop);
	uint32_t left_out = s->room_lines.left_out;

	if (c == NULL)
		return false;
	metric_add(&closed, 1);
	if (log_limit_take(&s->room_lines, now_ms))
		log_info("A connection for %s, not in use for %" PRIu64
			 " ms, is closed for a new one; %u are open, "
			 "left_out=%u",
		    descriptors_name(s->acceptor.use),
		    now_ms - c->timing_since_ms, s->conns.length, left_out);
	http_server_conn_close(c, false);
	return true;
}
