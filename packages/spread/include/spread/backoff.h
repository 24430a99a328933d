/*
 * Exponential back-off with full jitter and a cap, for requests to the
 * platform.
 */
#ifndef SPREAD_BACKOFF_H
#define SPREAD_BACKOFF_H

#include <stdint.h>

#include <glib.h>

/**
 * struct backoff - state of a back-off
 * @base_ms: upper bound of the wait after the first failure
 * @cap_ms: upper bound of any wait
 * @failures: consecutive failures since the last success
 * @until_ms: earliest time of the next request
 */
struct backoff {
	uint32_t base_ms;
	uint32_t cap_ms;
	uint32_t failures;
	uint64_t until_ms;
};

/** backoff_init() - start without failures */
void backoff_init(struct backoff *b, uint32_t base_ms, uint32_t cap_ms);

/**
 * backoff_failed() - record a failed request and schedule the next one
 * @b: the back-off
 * @now_ms: monotonic time
 * @rng: source of random numbers
 *
 * The wait is uniformly distributed between zero and a bound that doubles with
 * each failure, so that nodes that failed together don't retry together.
 */
void backoff_failed(struct backoff *b, uint64_t now_ms, GRand *rng);

/** backoff_succeeded() - reset the back-off after a successful request */
void backoff_succeeded(struct backoff *b);

/** backoff_expired() - whether the next request may be made */
int backoff_expired(const struct backoff *b, uint64_t now_ms);

#endif
