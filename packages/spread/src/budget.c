/*
 * Token bucket.
 */
#include "spread/budget.h"

#include <glib.h>

#define MILLI 1000

void
budget_init(struct budget *b, uint32_t per_s, uint32_t burst, uint64_t now_ms)
{
	b->per_s = MAX(per_s, 1);
	b->burst = MAX(burst, 1);
	b->millitokens = (uint64_t)b->burst * MILLI;
	b->refilled_ms = now_ms;
}

static void
budget_refill(struct budget *b, uint64_t now_ms)
{
	uint64_t room, ms;

	if (now_ms <= b->refilled_ms)
		return;
	room = (uint64_t)b->burst * MILLI - b->millitokens;
	ms = now_ms - b->refilled_ms;
	/* One token per second is one millitoken per millisecond. */
	b->millitokens += MIN(room, MIN(ms, room) * b->per_s);
	b->refilled_ms = now_ms;
}

int
budget_take(struct budget *b, uint64_t now_ms, uint32_t n)
{
	uint64_t cost;

	budget_refill(b, now_ms);
	cost = (uint64_t)MIN(n, b->burst) * MILLI;
	if (b->millitokens < cost)
		return 0;
	b->millitokens -= cost;
	return 1;
}

uint64_t
budget_ready_ms(struct budget *b, uint64_t now_ms, uint32_t n)
{
	uint64_t cost;

	budget_refill(b, now_ms);
	cost = (uint64_t)MIN(n, b->burst) * MILLI;
	if (b->millitokens >= cost)
		return now_ms;
	return now_ms + (cost - b->millitokens + b->per_s - 1) / b->per_s;
}
