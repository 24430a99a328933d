/*
 * A request's body at the entry: read from the exchange as fast as it can be
 * sent, and held from its first byte while it is small, for further attempts.
 */
#include "entry_priv.h"

/* Unsent bytes of a large body that are buffered here, in addition to those in
 * the exchange. */
#define BODY_AHEAD_BYTES 65536

void
entry_body_update_held(struct entry_call *c)
{
	uint64_t bytes = c->body.buffer.held_bytes;
	const struct entry_attempt *a;
	guint i;

	for (i = 0; i < c->attempts->len; i++) {
		a = g_ptr_array_index(c->attempts, i);
		bytes += a->answer_body.held_bytes;
	}
	call_exchange_set_entry_held(c->exchange, bytes);
}

void
entry_body_release(struct entry_call *c, const struct entry_attempt *a)
{
	struct entry_body *b = &c->body;

	if (b->held)
		return;
	body_buffer_release(&b->buffer, a->body_sent_bytes);
	entry_body_update_held(c);
}

static bool
may_pull(const struct entry_body *b, const struct entry_attempt *a)
{
	if (b->held && b->buffer.end_bytes < ENTRY_BODY_KEEP_BYTES)
		return true;
	return a != NULL &&
	    b->buffer.end_bytes - a->body_sent_bytes < BODY_AHEAD_BYTES;
}

void
entry_body_pull(struct entry_call *c, struct entry_attempt *a)
{
	struct entry_body *b = &c->body;
	uint64_t end_bytes = b->buffer.end_bytes;

	while (may_pull(b, a)) {
		if (call_exchange_read_request(c->exchange, &b->buffer) == 0) {
			b->end = b->exchange_end;
			break;
		}
		if (b->held && b->buffer.end_bytes > ENTRY_BODY_KEEP_BYTES) {
			b->held = false;
			call_body_discarded(c->machine);
		}
	}
	if (b->buffer.end_bytes != end_bytes)
		entry_body_update_held(c);
}
