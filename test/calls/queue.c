/*
 * A binary heap of events.
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
at(struct queue *q, guint i)
{
	return &g_array_index(q->heap, struct event, i);
}

static bool
comes_before(const struct event *a, const struct event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->number < b->number;
}

static bool
swap_if_before(struct queue *q, guint i, guint j)
{
	struct event tmp;

	if (!comes_before(at(q, i), at(q, j)))
		return false;
	tmp = *at(q, i);
	*at(q, i) = *at(q, j);
	*at(q, j) = tmp;
	return true;
}

void
queue_at(struct queue *q, uint64_t at_us, void (*fire)(void *who, void *what),
    void *who, void *what)
{
	struct event e = {at_us, q->count++, fire, who, what};
	guint i;

	g_array_append_val(q->heap, e);
	for (i = q->heap->len - 1; i > 0; i = (i - 1) / 2) {
		if (!swap_if_before(q, i, (i - 1) / 2))
			return;
	}
}

static void
sink(struct queue *q)
{
	guint i = 0, child;

	for (;;) {
		child = 2 * i + 1;
		if (child >= q->heap->len)
			return;
		if (child + 1 < q->heap->len &&
		    comes_before(at(q, child + 1), at(q, child)))
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
	*out = *at(q, 0);
	g_array_remove_index_fast(q->heap, 0);
	sink(q);
	return true;
}
