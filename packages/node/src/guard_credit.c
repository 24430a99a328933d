/*
 * Credit for the bodies of requests: sends entries the credit that the body
 * window of this host grants.
 */
#include "guard_priv.h"

static void
send_credit(struct guard *g)
{
	uint64_t now_ms = loop_now_ms(g->loop);
	struct msg_call_credit m;
	const struct guard_request *r;
	struct body_share *s;

	while ((s = body_window_next(&g->window, &m.bytes, now_ms)) != NULL) {
		r = s->owner;
		if (r->body_source == NULL)
			continue;
		m.stream = r->body_source->stream;
		(void)call_link_send(
		    &r->body_source->conn->link, MSG_CALL_CREDIT, &m);
	}
}

void
guard_credit_open(struct guard_request *r)
{
	struct guard *g = r->guard;
	uint64_t total = r->body_bytes < 0 ? BODY_WINDOW_LENGTH_UNKNOWN
					   : (uint64_t)r->body_bytes;

	body_window_open(&g->window, &r->body_share, r, total,
	    CALL_INITIAL_CREDIT_BYTES, loop_now_ms(g->loop));
	body_window_request(&g->window, &r->body_share,
	    CALL_BODY_PREFIX_BYTES - CALL_INITIAL_CREDIT_BYTES);
	send_credit(g);
}

void
guard_credit_received(struct guard_request *r, uint64_t bytes)
{
	struct guard *g = r->guard;

	body_window_received(
	    &g->window, &r->body_share, bytes, loop_now_ms(g->loop));
	if (r->body_complete)
		body_window_end(&g->window, &r->body_share);
	send_credit(g);
}

void
guard_credit_consumed(struct guard_request *r, uint64_t bytes)
{
	struct guard *g = r->guard;

	if (!r->full_window)
		bytes += CALL_WINDOW_BYTES - CALL_BODY_PREFIX_BYTES;
	r->full_window = true;
	body_window_request(&g->window, &r->body_share, bytes);
	send_credit(g);
}

void
guard_credit_end(struct guard_request *r)
{
	body_window_end(&r->guard->window, &r->body_share);
	send_credit(r->guard);
}

void
guard_credit_tick(struct guard *g)
{
	body_window_tick(&g->window, loop_now_ms(g->loop));
	send_credit(g);
}
