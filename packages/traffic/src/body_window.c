/*
 * One window for the bodies of all requests to a host, in turns.
 */
#include "traffic/body_window.h"

/* What a body gets in its turn: half a frame of the call protocol, 26 ms on a
 * link of 5 Mbit/s. */
#define TURN_BYTES 16384

void
body_window_init(struct body_window *w, uint64_t most_bytes)
{
	w->most_bytes = most_bytes;
	w->out_bytes = 0;
	g_queue_init(&w->shares);
	g_queue_init(&w->waiting);
}

static uint64_t
on_its_way(const struct body_share *s)
{
	return s->granted_bytes - MIN(s->received_bytes, s->granted_bytes);
}

static void
count(struct body_window *w, struct body_share *s)
{
	if (s->stands)
		w->out_bytes += on_its_way(s);
	s->stands = false;
}

static void
leave_out(struct body_window *w, struct body_share *s)
{
	if (!s->stands)
		w->out_bytes -= on_its_way(s);
	s->stands = true;
}

void
body_window_open(struct body_window *w, struct body_share *s, void *owner,
    uint64_t total_bytes, uint64_t first_bytes, uint64_t now_ms)
{
	*s = (struct body_share){
	    .owner = owner,
	    .total_bytes = total_bytes,
	    .granted_bytes = MIN(first_bytes, total_bytes),
	    .moves_until_ms = now_ms + BODY_MOVES_MS,
	    .open = true,
	    .link.data = s,
	    .turn.data = s,
	};
	w->out_bytes += s->granted_bytes;
	g_queue_push_tail_link(&w->shares, &s->link);
}

void
body_window_request(struct body_window *w, struct body_share *s, uint64_t bytes)
{
	uint64_t left;

	if (!s->open)
		return;
	left = s->total_bytes - MIN(s->granted_bytes, s->total_bytes);
	s->wanted_bytes = MIN(s->wanted_bytes + bytes, left);
	if (s->wanted_bytes == 0 || s->waits)
		return;
	s->waits = true;
	g_queue_push_tail_link(&w->waiting, &s->turn);
}

void
body_window_received(struct body_window *w, struct body_share *s,
    uint64_t bytes, uint64_t now_ms)
{
	if (!s->open)
		return;
	count(w, s);
	w->out_bytes -= on_its_way(s);
	s->received_bytes += bytes;
	w->out_bytes += on_its_way(s);
	s->moves_until_ms = now_ms + BODY_MOVES_MS;
}

void
body_window_end(struct body_window *w, struct body_share *s)
{
	if (!s->open)
		return;
	leave_out(w, s);
	s->open = false;
	g_queue_unlink(&w->shares, &s->link);
	if (s->waits)
		g_queue_unlink(&w->waiting, &s->turn);
	s->waits = false;
}

struct body_share *
body_window_next(struct body_window *w, uint32_t *bytes, uint64_t now_ms)
{
	struct body_share *s;
	GList *turn;

	if (w->out_bytes >= w->most_bytes)
		return NULL;
	turn = g_queue_pop_head_link(&w->waiting);
	if (turn == NULL)
		return NULL;
	s = turn->data;
	*bytes = (uint32_t)MIN(s->wanted_bytes, TURN_BYTES);
	count(w, s);
	s->wanted_bytes -= *bytes;
	s->granted_bytes += *bytes;
	s->moves_until_ms = now_ms + BODY_MOVES_MS;
	w->out_bytes += *bytes;
	s->waits = s->wanted_bytes > 0;
	if (s->waits)
		g_queue_push_tail_link(&w->waiting, turn);
	return s;
}

void
body_window_tick(struct body_window *w, uint64_t now_ms)
{
	struct body_share *s;
	GList *l;

	for (l = w->shares.head; l != NULL; l = l->next) {
		s = l->data;
		if (now_ms >= s->moves_until_ms)
			leave_out(w, s);
	}
}
