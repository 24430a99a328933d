/*
 * A request's body at the entry: read from the exchange as fast as it can be
 * sent, and held from its first byte while it is small, for further attempts.
 */
#include "entry_priv.h"

/* Unsent bytes of a large body that are buffered here, in addition to those in
 * the exchange. */
#define BODY_AHEAD_BYTES 65536

GBytes *
entry_body_piece(const struct entry_body *b, uint64_t i)
{
	if (i < b->first)
		return NULL;
	return g_queue_peek_nth((GQueue *)&b->pieces, (guint)(i - b->first));
}

void
entry_body_release(struct entry_body *b, uint64_t i)
{
	if (b->held)
		return;
	while (b->first < i && !g_queue_is_empty(&b->pieces)) {
		g_bytes_unref(g_queue_pop_head(&b->pieces));
		b->first++;
	}
}

void
entry_body_clear(struct entry_body *b)
{
	GBytes *piece;

	while ((piece = g_queue_pop_head(&b->pieces)) != NULL)
		g_bytes_unref(piece);
}

/* Bytes that are buffered and not sent in @a. */
static uint64_t
unsent_bytes(const struct entry_body *b, const struct entry_attempt *a)
{
	uint64_t bytes = 0;
	uint64_t i = a->next_piece;
	GBytes *piece;

	while ((piece = entry_body_piece(b, i)) != NULL) {
		bytes += g_bytes_get_size(piece);
		i++;
	}
	return bytes;
}

static bool
may_pull(const struct entry_body *b, const struct entry_attempt *a)
{
	if (b->held && b->bytes < ENTRY_BODY_KEEP_BYTES)
		return true;
	return a != NULL && unsent_bytes(b, a) < BODY_AHEAD_BYTES;
}

void
entry_body_pull(struct entry_call *c, struct entry_attempt *a)
{
	struct entry_body *b = &c->body;
	GBytes *piece;

	while (may_pull(b, a)) {
		piece = call_exchange_read_request(c->exchange);
		if (piece == NULL) {
			b->end = b->exchange_end;
			return;
		}
		b->bytes += g_bytes_get_size(piece);
		g_queue_push_tail(&b->pieces, piece);
		if (b->held && b->bytes > ENTRY_BODY_KEEP_BYTES) {
			b->held = false;
			call_body_discarded(c->machine);
		}
	}
}
