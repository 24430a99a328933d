/*
 * Outbox, implemented as a queue of items.
 */
#include "proto/outbox.h"

struct outbox {
	GQueue items;
};

struct outbox *
outbox_new(void)
{
	struct outbox *o = g_new0(struct outbox, 1);

	g_queue_init(&o->items);
	return o;
}

void
outbox_free(struct outbox *o)
{
	struct outbox_item *item;

	if (o == NULL)
		return;
	while ((item = outbox_pop(o)) != NULL)
		outbox_item_free(item);
	g_free(o);
}

static void
outbox_push(struct outbox *o, struct outbox_item item)
{
	g_queue_push_tail(&o->items, g_memdup2(&item, sizeof(item)));
}

void
outbox_datagram(struct outbox *o, const struct net_addr *to, enum msg_type type,
    GByteArray *body)
{
	struct outbox_item item = {
	    .kind = OUTBOX_DATAGRAM, .to = *to, .type = type, .body = body};

	outbox_push(o, item);
}

void
outbox_frame(struct outbox *o, const struct net_addr *to, uint64_t conn,
    enum msg_type type, GByteArray *body)
{
	struct outbox_item item = {.kind = OUTBOX_FRAME,
	    .to = *to,
	    .conn = conn,
	    .type = type,
	    .body = body};

	outbox_push(o, item);
}

void
outbox_close(struct outbox *o, const struct net_addr *to, uint64_t conn)
{
	struct outbox_item item = {
	    .kind = OUTBOX_CLOSE, .to = *to, .conn = conn};

	outbox_push(o, item);
}

struct outbox_item *
outbox_pop(struct outbox *o)
{
	return g_queue_pop_head(&o->items);
}

void
outbox_item_free(struct outbox_item *item)
{
	if (item == NULL)
		return;
	if (item->body != NULL)
		g_byte_array_unref(item->body);
	g_free(item);
}

uint32_t
outbox_length(const struct outbox *o)
{
	return o->items.length;
}
