/*
 * Token bucket, for the stand-in platform's limits on reads and writes.
 */
#ifndef STANDINS_RATE_H
#define STANDINS_RATE_H

#include <stdint.h>

/**
 * struct rate - a token bucket that holds one second's worth
 * @per_s: tokens that come in a second
 * @microtokens: tokens held, times 1,000,000
 * @refilled_us: monotonic time of the last filling
 */
struct rate {
	uint32_t per_s;
	uint64_t microtokens;
	uint64_t refilled_us;
};

/** rate_set() - set the rate and fill the bucket */
void rate_set(struct rate *r, uint32_t per_s, uint64_t now_us);

/**
 * rate_take() - take tokens
 * @r: the bucket
 * @n: number of tokens
 * @now_us: monotonic time
 *
 * Return: 1 when they were taken, 0 when there are too few: none is taken.
 */
int rate_take(struct rate *r, uint32_t n, uint64_t now_us);

#endif
