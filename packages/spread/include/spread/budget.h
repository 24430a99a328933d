/*
 * Budget: a token bucket that bounds what a node asks of the platform and
 * what it serves to its peers.
 */
#ifndef SPREAD_BUDGET_H
#define SPREAD_BUDGET_H

#include <stdint.h>

/**
 * struct budget - a token bucket
 * @per_s: tokens that come in each second
 * @burst: most tokens that are kept
 * @millitokens: thousandths of tokens held
 * @refilled_ms: when @millitokens was right
 */
struct budget {
	uint32_t per_s;
	uint32_t burst;
	uint64_t millitokens;
	uint64_t refilled_ms;
};

/** budget_init() - a full bucket */
void
budget_init(struct budget *b, uint32_t per_s, uint32_t burst, uint64_t now_ms);

/**
 * budget_take() - spend tokens
 * @b: the bucket
 * @now_ms: monotonic time
 * @n: how many; more than the burst are spent once the bucket is full
 *
 * Return: 1 when they were there, else 0 and nothing is spent.
 */
int budget_take(struct budget *b, uint64_t now_ms, uint32_t n);

/** budget_ready_ms() - when @n tokens will be there */
uint64_t budget_ready_ms(struct budget *b, uint64_t now_ms, uint32_t n);

#endif
