/*
 * Token bucket.
 */
#include "standins/rate.h"

#define RATE_MICROTOKENS 1000000ULL
#define RATE_SECOND_US 1000000ULL

static uint64_t
rate_capacity(const struct rate *r)
{
	return r->per_s * RATE_MICROTOKENS;
}

void
rate_set(struct rate *r, uint32_t per_s, uint64_t now_us)
{
	r->per_s = per_s;
	r->microtokens = rate_capacity(r);
	r->refilled_us = now_us;
}

int
rate_take(struct rate *r, uint32_t n, uint64_t now_us)
{
	uint64_t elapsed_us = now_us - r->refilled_us;

	r->refilled_us = now_us;
	if (elapsed_us > RATE_SECOND_US)
		elapsed_us = RATE_SECOND_US;
	r->microtokens += elapsed_us * r->per_s;
	if (r->microtokens > rate_capacity(r))
		r->microtokens = rate_capacity(r);
	if (r->microtokens < n * RATE_MICROTOKENS)
		return 0;
	r->microtokens -= n * RATE_MICROTOKENS;
	return 1;
}
