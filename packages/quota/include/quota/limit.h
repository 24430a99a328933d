/*
 * Types shared by both sides of a limit over all nodes: the entries, which
 * admit requests, and the homes, which grant credit.
 */
#ifndef QUOTA_LIMIT_H
#define QUOTA_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** QUOTA_SHARDS - customers are spread over this many homes in each data centre
 */
#define QUOTA_SHARDS 4

/**
 * struct quota_limit - limit of a customer
 * @customer: number of the customer
 * @rate_milli_per_s: thousandths of a request a second, over all nodes; 0 for
 *	no limit
 * @burst_milli: thousandths of a request
 */
struct quota_limit {
	uint64_t customer;
	uint64_t rate_milli_per_s;
	uint64_t burst_milli;
};

/**
 * struct quota_demand - what a sender asks for one customer
 * @customer: number of the customer
 * @arrived: requests that arrived since the last report
 * @wanted: requests that need credit now
 * @ahead: requests expected soon, for which credit is granted only while the
 *	customer is well below its limit
 * @returned: requests for which unused credit is returned
 */
struct quota_demand {
	uint64_t customer;
	uint32_t arrived;
	uint32_t wanted;
	uint32_t ahead;
	uint32_t returned;
};

/**
 * struct quota_credit - what a home grants for one customer
 * @customer: number of the customer
 * @granted: requests that may be admitted
 * @wait_ms: time until more can be granted, 0 if the limit isn't used up
 */
struct quota_credit {
	uint64_t customer;
	uint32_t granted;
	uint32_t wait_ms;
};

/** quota_shard() - shard of a customer */
uint32_t quota_shard(uint64_t customer);

#endif
