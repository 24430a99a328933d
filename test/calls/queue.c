/*
 * Event queue as a binary heap.
 */
#include "queue.h"

#include <glib.h>

struct queue {
	GArray *heap;
	uint64_t count;
};

struct queue *
queue_new(void)
{
	struct queue *q;

	q = g_new0(struct queue, 1);
	q->heap = g_array_new(FALSE, FALSE, sizeof(struct event));
	return q;
}

void
queue_free(struct queue *q)
{
	g_array_free(q->heap, TRUE);
	g_free(q);
}

static struct event *
event_at(struct queue *q, guint i)
{
	return &g_array_index(q->heap, struct event, i);
}

static bool
is_before(const struct event *a, const struct event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->number < b->number;
}

static bool
swap_if_before(struct queue *q, guint i, guint j)
{
	struct event tmp;

	if (!is_before(event_at(q, i), event_at(q, j)))
		return false;
	tmp = *event_at(q, i);
	*event_at(q, i) = *event_at(q, j);
	*event_at(q, j) = tmp;
	return true;
}

void
queue_at(struct queue *q, uint64_t at_us, void (*fn)(void *target, void *arg),
    void *target, void *arg)
{
	struct event e = {at_us, q->count++, fn, target, arg};
	guint i;

	g_array_append_val(q->heap, e);
	for (i = q->heap->len - 1; i > 0; i = (i - 1) / 2) {
		if (!swap_if_before(q, i, (i - 1) / 2))
			return;
	}
}

static void
sift_down(struct queue *q)
{
	guint i = 0, child;

	for (;;) {
		child = 2 * i + 1;
		if (child >= q->heap->len)
			return;
		if (child + 1 < q->heap->len &&
		    is_before(event_at(q, child + 1), event_at(q, child)))
			child++;
		if (!swap_if_before(q, child, i))
			return;
		i = child;
	}
}

bool
queue_pop(struct queue *q, struct event *out)
{
	if (q->heap->len == 0)
		return false;
	*out = *event_at(q, 0);
	g_array_remove_index_fast(q->heap, 0);
	sift_down(q);
	return true;
}
