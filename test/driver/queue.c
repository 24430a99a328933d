/*
 * Event queue as a binary heap.
 */
#include "queue.h"

#define ITEM(q, i) (&g_array_index((q)->items, struct queue_item, (i)))

void
queue_init(struct queue *q, uint64_t now_us)
{
	q->items = g_array_new(FALSE, FALSE, sizeof(struct queue_item));
	q->now_us = now_us;
	q->order = 0;
}

void
queue_clear(struct queue *q)
{
	struct queue_item *item;
	uint32_t i;

	for (i = 0; i < q->items->len; i++) {
		item = ITEM(q, i);
		if (item->free_arg != NULL)
			item->free_arg(item->arg);
	}
	g_array_unref(q->items);
}

static int
queue_is_before(const struct queue *q, uint32_t a, uint32_t b)
{
	const struct queue_item *x, *y;

	x = ITEM(q, a);
	y = ITEM(q, b);
	if (x->at_us != y->at_us)
		return x->at_us < y->at_us;
	return x->order < y->order;
}

static void
queue_swap(struct queue *q, uint32_t a, uint32_t b)
{
	struct queue_item item;

	item = *ITEM(q, a);
	*ITEM(q, a) = *ITEM(q, b);
	*ITEM(q, b) = item;
}

void
queue_add(struct queue *q, uint64_t at_us, queue_fn *fn, void *arg,
    GDestroyNotify free_arg)
{
	struct queue_item item;
	uint32_t i;

	item.at_us = MAX(at_us, q->now_us);
	item.order = q->order++;
	item.fn = fn;
	item.arg = arg;
	item.free_arg = free_arg;
	g_array_append_val(q->items, item);
	for (i = q->items->len - 1; i > 0; i = (i - 1) / 2) {
		if (!queue_is_before(q, i, (i - 1) / 2))
			break;
		queue_swap(q, i, (i - 1) / 2);
	}
}

static void
queue_sift_down(struct queue *q)
{
	uint32_t i, child;

	for (i = 0; 2 * i + 1 < q->items->len; i = child) {
		child = 2 * i + 1;
		if (child + 1 < q->items->len &&
		    queue_is_before(q, child + 1, child))
			child++;
		if (!queue_is_before(q, child, i))
			break;
		queue_swap(q, child, i);
	}
}

int
queue_step(struct queue *q, uint64_t until_us)
{
	struct queue_item item;

	if (q->items->len == 0 || ITEM(q, 0)->at_us > until_us) {
		q->now_us = MAX(q->now_us, until_us);
		return 0;
	}
	item = *ITEM(q, 0);
	g_array_remove_index_fast(q->items, 0);
	queue_sift_down(q);
	q->now_us = item.at_us;
	item.fn(item.arg);
	return 1;
}
