/*
 * Highest count in any window of one second.
 */
#include "standins/peak.h"

#define WINDOW_US 1000000ULL

struct peak_count {
	uint64_t at_us;
	uint32_t n;
};

static void
drop_oldest(struct peak *p)
{
	struct peak_count *c = g_queue_pop_head(&p->last);

	p->n -= c->n;
	g_free(c);
}

static int
is_outside(const struct peak_count *c, uint64_t now_us)
{
	return c != NULL && now_us >= c->at_us + WINDOW_US;
}

void
peak_add(struct peak *p, uint32_t n, uint64_t now_us)
{
	struct peak_count *c = g_new(struct peak_count, 1);

	while (is_outside(g_queue_peek_head(&p->last), now_us))
		drop_oldest(p);
	c->at_us = now_us;
	c->n = n;
	g_queue_push_tail(&p->last, c);
	p->n += n;
	p->highest = MAX(p->highest, p->n);
}

void
peak_reset(struct peak *p)
{
	while (p->last.length > 0)
		drop_oldest(p);
	p->highest = 0;
}
