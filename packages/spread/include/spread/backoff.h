/*
 * Back-off with full jitter and a cap, for requests to the platform.
 */
#ifndef SPREAD_BACKOFF_H
#define SPREAD_BACKOFF_H

#include <stdint.h>

#include <glib.h>

/**
 * struct backoff - state of a back-off
 * @base_ms: longest wait after the first failure
 * @cap_ms: longest wait at all
 * @failures: failures since the last success
 * @until_ms: no request before this time
 */
struct backoff {
	uint32_t base_ms;
	uint32_t cap_ms;
	uint32_t failures;
	uint64_t until_ms;
};

/** backoff_init() - no failure yet */
void backoff_init(struct backoff *b, uint32_t base_ms, uint32_t cap_ms);

/**
 * backoff_failed() - a request failed
 * @b: the back-off
 * @now_ms: monotonic time
 * @rng: random numbers
 *
 * Waits for a time chosen evenly from zero to the bound, which doubles with
 * each failure, so that nodes that failed together don't return together.
 */
void backoff_failed(struct backoff *b, uint64_t now_ms, GRand *rng);

/** backoff_succeeded() - a request succeeded */
void backoff_succeeded(struct backoff *b);

/** backoff_expired() - whether a request may be made */
int backoff_expired(const struct backoff *b, uint64_t now_ms);

#endif
