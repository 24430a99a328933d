/*
 * Token bucket that bounds a node's requests to the platform and the bytes it
 * serves to its peers.
 */
#ifndef SPREAD_BUDGET_H
#define SPREAD_BUDGET_H

#include <stdint.h>

/**
 * struct budget - a token bucket
 * @per_s: refill rate, tokens per second
 * @burst: capacity in tokens
 * @millitokens: thousandths of tokens available at @refilled_ms
 * @refilled_ms: time of the last refill
 */
struct budget {
	uint32_t per_s;
	uint32_t burst;
	uint64_t millitokens;
	uint64_t refilled_ms;
};

/** budget_init() - start with a full bucket */
void
budget_init(struct budget *b, uint32_t per_s, uint32_t burst, uint64_t now_ms);

/**
 * budget_take() - take tokens if enough are available
 * @b: the bucket
 * @now_ms: monotonic time
 * @n: number of tokens; a number above the capacity costs a full bucket
 *
 * Return: 1 if the tokens were taken, 0 if too few were available and none
 * were taken.
 */
int budget_take(struct budget *b, uint64_t now_ms, uint32_t n);

/** budget_ready_ms() - earliest time at which budget_take() of @n succeeds */
uint64_t budget_ready_ms(struct budget *b, uint64_t now_ms, uint32_t n);

#endif
