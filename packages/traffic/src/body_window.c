/*
 * One flow-control window for the bodies of all requests to a host, granted in
 * turns.
 */
#include "traffic/body_window.h"

/*
 * Size of one grant: half a frame of the call protocol, 26 ms on a link of 5
 * Mbit/s.
 */
#define GRANT_BYTES 16384

void
body_window_init(struct body_window *w, uint64_t max_bytes)
{
	w->max_bytes = max_bytes;
	w->in_flight_bytes = 0;
	g_queue_init(&w->bodies);
	g_queue_init(&w->waiting);
}

static uint64_t
in_flight(const struct body_share *s)
{
	return s->granted_bytes - MIN(s->received_bytes, s->granted_bytes);
}

static void
include_share(struct body_window *w, struct body_share *s)
{
	if (s->stalled)
		w->in_flight_bytes += in_flight(s);
	s->stalled = false;
}

static void
exclude_share(struct body_window *w, struct body_share *s)
{
	if (!s->stalled)
		w->in_flight_bytes -= in_flight(s);
	s->stalled = true;
}

void
body_window_open(struct body_window *w, struct body_share *s, void *owner,
    uint64_t total_bytes, uint64_t first_bytes, uint64_t now_ms)
{
	*s = (struct body_share){
	    .owner = owner,
	    .total_bytes = total_bytes,
	    .granted_bytes = MIN(first_bytes, total_bytes),
	    .stalls_at_ms = now_ms + BODY_STALL_MS,
	    .open = true,
	    .link.data = s,
	    .queue_link.data = s,
	};
	w->in_flight_bytes += s->granted_bytes;
	g_queue_push_tail_link(&w->bodies, &s->link);
}

void
body_window_request(struct body_window *w, struct body_share *s, uint64_t bytes)
{
	uint64_t left;

	if (!s->open)
		return;
	left = s->total_bytes - MIN(s->granted_bytes, s->total_bytes);
	s->wanted_bytes = MIN(s->wanted_bytes + bytes, left);
	if (s->wanted_bytes == 0 || s->queued)
		return;
	s->queued = true;
	g_queue_push_tail_link(&w->waiting, &s->queue_link);
}

void
body_window_received(struct body_window *w, struct body_share *s,
    uint64_t bytes, uint64_t now_ms)
{
	if (!s->open)
		return;
	include_share(w, s);
	w->in_flight_bytes -= in_flight(s);
	s->received_bytes += bytes;
	w->in_flight_bytes += in_flight(s);
	s->stalls_at_ms = now_ms + BODY_STALL_MS;
}

void
body_window_end(struct body_window *w, struct body_share *s)
{
	if (!s->open)
		return;
	exclude_share(w, s);
	s->open = false;
	g_queue_unlink(&w->bodies, &s->link);
	if (s->queued)
		g_queue_unlink(&w->waiting, &s->queue_link);
	s->queued = false;
}

struct body_share *
body_window_next(struct body_window *w, uint32_t *bytes, uint64_t now_ms)
{
	struct body_share *s;
	GList *node;

	if (w->in_flight_bytes >= w->max_bytes)
		return NULL;
	node = g_queue_pop_head_link(&w->waiting);
	if (node == NULL)
		return NULL;
	s = node->data;
	*bytes = (uint32_t)MIN(s->wanted_bytes, GRANT_BYTES);
	include_share(w, s);
	s->wanted_bytes -= *bytes;
	s->granted_bytes += *bytes;
	s->stalls_at_ms = now_ms + BODY_STALL_MS;
	w->in_flight_bytes += *bytes;
	s->queued = s->wanted_bytes > 0;
	if (s->queued)
		g_queue_push_tail_link(&w->waiting, node);
	return s;
}

void
body_window_tick(struct body_window *w, uint64_t now_ms)
{
	struct body_share *s;
	GList *l;

	for (l = w->bodies.head; l != NULL; l = l->next) {
		s = l->data;
		if (now_ms >= s->stalls_at_ms)
			exclude_share(w, s);
	}
}
