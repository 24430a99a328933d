/*
 * Credit for the bodies of requests: what the window grants goes to entries.
 */
#include "guard_priv.h"

static void
pump(struct guard *g)
{
	uint64_t now_ms = loop_now_ms(g->loop);
	struct msg_call_credit m;
	const struct guard_request *r;
	struct body_share *s;

	while ((s = body_window_next(&g->window, &m.bytes, now_ms)) != NULL) {
		r = s->owner;
		if (r->source == NULL)
			continue;
		m.stream = r->source->stream;
		(void)call_link_send(
		    &r->source->conn->link, MSG_CALL_CREDIT, &m);
	}
}

void
guard_credit_open(struct guard_request *r)
{
	struct guard *g = r->guard;
	uint64_t total = r->body_bytes < 0 ? BODY_WINDOW_LENGTH_UNKNOWN
					   : (uint64_t)r->body_bytes;

	body_window_open(&g->window, &r->share, r, total, CALL_UNASKED_BYTES,
	    loop_now_ms(g->loop));
	body_window_request(
	    &g->window, &r->share, CALL_FIRST_BYTES - CALL_UNASKED_BYTES);
	pump(g);
}

void
guard_credit_took(struct guard_request *r, uint64_t bytes)
{
	struct guard *g = r->guard;

	body_window_received(
	    &g->window, &r->share, bytes, loop_now_ms(g->loop));
	if (r->fin)
		body_window_end(&g->window, &r->share);
	pump(g);
}

void
guard_credit_consumed(struct guard_request *r, uint64_t bytes)
{
	struct guard *g = r->guard;

	if (!r->wide)
		bytes += CALL_WINDOW_BYTES - CALL_FIRST_BYTES;
	r->wide = true;
	body_window_request(&g->window, &r->share, bytes);
	pump(g);
}

void
guard_credit_end(struct guard_request *r)
{
	body_window_end(&r->guard->window, &r->share);
	pump(r->guard);
}

void
guard_credit_tick(struct guard *g)
{
	body_window_tick(&g->window, loop_now_ms(g->loop));
	pump(g);
}
