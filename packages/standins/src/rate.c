/*
 * Token bucket.
 */
#include "standins/rate.h"

#define RATE_TOKEN_US 1000000ULL

static uint64_t
rate_full_us(const struct rate *r)
{
	return r->per_s * RATE_TOKEN_US;
}

void
rate_set(struct rate *r, uint32_t per_s, uint64_t now_us)
{
	r->per_s = per_s;
	r->tokens_us = rate_full_us(r);
	r->filled_us = now_us;
}

int
rate_take(struct rate *r, uint32_t n, uint64_t now_us)
{
	uint64_t past_us = now_us - r->filled_us;

	r->filled_us = now_us;
	if (past_us > RATE_TOKEN_US)
		past_us = RATE_TOKEN_US;
	r->tokens_us += past_us * r->per_s;
	if (r->tokens_us > rate_full_us(r))
		r->tokens_us = rate_full_us(r);
	if (r->tokens_us < n * RATE_TOKEN_US)
		return 0;
	r->tokens_us -= n * RATE_TOKEN_US;
	return 1;
}
