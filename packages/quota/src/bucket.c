/*
 * Token bucket.
 */
#include "quota/bucket.h"

#include <glib.h>

#define MILLI 1000
#define MS_PER_S 1000

void
quota_bucket_init(struct quota_bucket *b, uint64_t rate_milli_per_s,
    uint64_t burst_milli, uint64_t now_ms)
{
	b->rate_milli_per_s = rate_milli_per_s;
	b->burst_milli = burst_milli;
	b->milli = 0;
	b->rest = 0;
	b->filled_ms = now_ms;
}

static void
fill(struct quota_bucket *b, uint64_t now_ms)
{
	uint64_t room_ms, passed_ms, accrued;

	if (now_ms <= b->filled_ms)
		return;
	/* A longer time fills any bucket, and the product must not overflow. */
	room_ms = b->rate_milli_per_s == 0
	    ? 0
	    : b->burst_milli * MS_PER_S / b->rate_milli_per_s + MS_PER_S;
	passed_ms = MIN(now_ms - b->filled_ms, room_ms);
	accrued = passed_ms * b->rate_milli_per_s + b->rest;
	b->filled_ms = now_ms;
	b->rest = accrued % MS_PER_S;
	b->milli = MIN(b->milli + accrued / MS_PER_S, b->burst_milli);
}

void
quota_bucket_set(struct quota_bucket *b, uint64_t rate_milli_per_s,
    uint64_t burst_milli, uint64_t now_ms)
{
	fill(b, now_ms);
	b->rate_milli_per_s = rate_milli_per_s;
	b->burst_milli = burst_milli;
	b->milli = MIN(b->milli, burst_milli);
}

uint32_t
quota_bucket_take(struct quota_bucket *b, uint32_t want, uint64_t now_ms)
{
	uint64_t taken;

	fill(b, now_ms);
	taken = MIN(b->milli / MILLI, want);
	b->milli -= taken * MILLI;
	return (uint32_t)taken;
}

void
quota_bucket_give(struct quota_bucket *b, uint32_t requests, uint64_t now_ms)
{
	fill(b, now_ms);
	b->milli = MIN(b->milli + (uint64_t)requests * MILLI, b->burst_milli);
}

uint64_t
quota_bucket_wait_ms(const struct quota_bucket *b, uint64_t now_ms)
{
	struct quota_bucket at = *b;
	uint64_t missing;

	fill(&at, now_ms);
	if (at.milli >= MILLI)
		return 0;
	if (at.rate_milli_per_s == 0)
		return UINT64_MAX;
	missing = (MILLI - at.milli) * MS_PER_S - at.rest;
	return (missing + at.rate_milli_per_s - 1) / at.rate_milli_per_s;
}
