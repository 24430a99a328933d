/*
 * Exponential back-off with full jitter and a cap.
 */
#include "spread/backoff.h"

/* More doublings than this exceed any cap. */
#define DOUBLINGS_MAX 20

void
backoff_init(struct backoff *b, uint32_t base_ms, uint32_t cap_ms)
{
	b->base_ms = base_ms;
	b->cap_ms = cap_ms;
	b->failures = 0;
	b->until_ms = 0;
}

void
backoff_failed(struct backoff *b, uint64_t now_ms, GRand *rng)
{
	uint64_t bound;

	bound = (uint64_t)b->base_ms << MIN(b->failures, DOUBLINGS_MAX);
	bound = MIN(bound, b->cap_ms);
	b->failures++;
	b->until_ms = now_ms + 1;
	b->until_ms += (bound * g_rand_int(rng)) >> 32;
}

void
backoff_succeeded(struct backoff *b)
{
	b->failures = 0;
	b->until_ms = 0;
}

int
backoff_expired(const struct backoff *b, uint64_t now_ms)
{
	return now_ms >= b->until_ms;
}
