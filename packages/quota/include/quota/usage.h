/*
 * Usage of customers at this node, for operators: requests counted in periods
 * of fixed length.  All functions but quota_usage_new() and quota_usage_free()
 * may be called in any thread.
 */
#ifndef QUOTA_USAGE_H
#define QUOTA_USAGE_H

#include <stdint.h>

/** QUOTA_USAGE_PERIOD_MS - length of a period: long enough that a limit of one
 * request a second shows as more than noise */
#define QUOTA_USAGE_PERIOD_MS 5000

/**
 * struct quota_use - requests of a customer in one period
 * @requests: requests with a key of the customer
 * @limited: those among them that were refused for the customer's limit
 */
struct quota_use {
	uint32_t requests;
	uint32_t limited;
};

struct quota_usage;

/** quota_usage_new() - nothing counted; free with quota_usage_free() */
struct quota_usage *quota_usage_new(void);

/** quota_usage_free() - free it; NULL is allowed */
void quota_usage_free(struct quota_usage *u);

/** quota_usage_request() - count a request of a customer */
void
quota_usage_request(struct quota_usage *u, uint64_t customer, uint64_t now_ms);

/** quota_usage_limited() - count a request, counted before, as refused for the
 * customer's limit */
void
quota_usage_limited(struct quota_usage *u, uint64_t customer, uint64_t now_ms);

/** quota_usage_read() - use in the last complete period; zeroes for a customer
 * without requests in it */
struct quota_use
quota_usage_read(struct quota_usage *u, uint64_t customer, uint64_t now_ms);

/** quota_usage_size() - number of customers that are remembered: those with a
 * request in the last two complete periods or since */
uint32_t quota_usage_size(struct quota_usage *u);

#endif
