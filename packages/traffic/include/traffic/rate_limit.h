/*
 * Rate limits on calls per second, for each caller and for each service: token
 * buckets by key, in a table of bounded size.
 */
#ifndef TRAFFIC_RATE_LIMIT_H
#define TRAFFIC_RATE_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rate_limit;

/**
 * rate_limit_new() - create an empty table
 * @keys_max: maximum number of keys; above it the least recently used key is
 *	removed
 */
struct rate_limit *rate_limit_new(size_t keys_max);

/** rate_limit_free() - free the table */
void rate_limit_free(struct rate_limit *r);

/**
 * rate_limit_take() - take a token for one call
 * @r: the table
 * @key: hash of the limited subject (the caller's address or header, with the
 *	service)
 * @per_s: calls allowed per second; 0 means no limit
 * @burst: maximum number of saved tokens; at least 1
 * @now_ms: monotonic time
 * @retry_after_ms: when refused, the time until the next token is available
 *
 * Return: true when the call is allowed.
 */
bool rate_limit_take(struct rate_limit *r, uint64_t key, uint32_t per_s,
    uint32_t burst, uint64_t now_ms, uint64_t *retry_after_ms);

#endif
