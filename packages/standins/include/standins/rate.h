/*
 * Token bucket for the stand-in platform's limits on reads and writes.
 */
#ifndef STANDINS_RATE_H
#define STANDINS_RATE_H

#include <stdint.h>

/**
 * struct rate - token bucket whose capacity is one second of its rate
 * @per_s: tokens added per second
 * @microtokens: tokens available, times 1,000,000
 * @refilled_us: monotonic time of the last refill
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
 * Return: 1 if the tokens were taken; 0 if there are too few, and then none is
 * taken.
 */
int rate_take(struct rate *r, uint32_t n, uint64_t now_us);

#endif
