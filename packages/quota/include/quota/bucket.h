/*
 * Token bucket in integers: thousandths of a request, monotonic milliseconds.
 */
#ifndef QUOTA_BUCKET_H
#define QUOTA_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct quota_bucket - a token bucket
 * @rate_milli_per_s: tokens that accrue, in thousandths of a request a second
 * @burst_milli: most tokens held, in thousandths of a request
 * @milli: tokens held, in thousandths of a request
 * @rest: part of a thousandth that has accrued, in units of 1/1000
 * @filled_ms: monotonic time up to which tokens have accrued
 */
struct quota_bucket {
	uint64_t rate_milli_per_s;
	uint64_t burst_milli;
	uint64_t milli;
	uint64_t rest;
	uint64_t filled_ms;
};

/** quota_bucket_init() - an empty bucket, so that a restart grants no burst */
void quota_bucket_init(struct quota_bucket *b, uint64_t rate_milli_per_s,
    uint64_t burst_milli, uint64_t now_ms);

/** quota_bucket_set() - change the limits; tokens above the new burst are
 * dropped */
void quota_bucket_set(struct quota_bucket *b, uint64_t rate_milli_per_s,
    uint64_t burst_milli, uint64_t now_ms);

/**
 * quota_bucket_take() - take up to @want whole requests
 *
 * Return: number of requests taken.
 */
uint32_t
quota_bucket_take(struct quota_bucket *b, uint32_t want, uint64_t now_ms);

/** quota_bucket_give() - put requests back, up to the burst */
void
quota_bucket_give(struct quota_bucket *b, uint32_t requests, uint64_t now_ms);

/** quota_bucket_wait_ms() - time until a whole request can be taken; 0 for
 * now, UINT64_MAX if the rate is 0 */
uint64_t quota_bucket_wait_ms(const struct quota_bucket *b, uint64_t now_ms);

#endif
