/*
 * Allowance: the credit that one entry holds for each customer with a limit.
 *
 * An entry admits a request at once while it holds credit.  It asks the
 * customer's home in its data centre for more before the credit runs out.
 * Credit expires after a fraction of a second, so that requests of one window
 * are paid by tokens of that window.
 */
#ifndef QUOTA_ALLOWANCE_H
#define QUOTA_ALLOWANCE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct quota_limit - limit of a customer
 * @customer: number of the customer
 * @rate_milli_per_s: thousandths of a request a second, over all nodes
 * @burst_milli: thousandths of a request
 */
struct quota_limit {
	uint64_t customer;
	uint64_t rate_milli_per_s;
	uint64_t burst_milli;
};

/** enum quota_verdict - decision on a request */
enum quota_verdict {
	QUOTA_ADMIT = 0, /* one credit was taken */
	QUOTA_WAIT,	 /* no credit is held; a report should be sent now */
	QUOTA_REFUSE,	 /* the limit is used up */
};

/**
 * struct quota_demand - what an entry asks for one customer
 * @customer: number of the customer
 * @arrived: requests that arrived since the last report
 * @wanted: requests for which credit is asked
 * @returned: requests for which unused credit is returned
 */
struct quota_demand {
	uint64_t customer;
	uint32_t arrived;
	uint32_t wanted;
	uint32_t returned;
};

/**
 * struct quota_credit - what a home grants to one entry for one customer
 * @customer: number of the customer
 * @granted: requests that may be admitted
 * @wait_ms: time until more can be granted, 0 if the limit isn't used up
 */
struct quota_credit {
	uint64_t customer;
	uint32_t granted;
	uint64_t wait_ms;
};

struct quota_allowance;

/** quota_allowance_new() - an entry without credit; free with
 * quota_allowance_free() */
struct quota_allowance *quota_allowance_new(uint64_t seed);

/** quota_allowance_free() - free it; NULL is allowed */
void quota_allowance_free(struct quota_allowance *q);

/**
 * quota_allowance_take() - decide on a request that arrives
 * @q: the allowance
 * @l: the customer's limit in the version that admits the request
 * @now_ms: monotonic time
 * @retry_after_ms: for QUOTA_REFUSE, the time after which credit is expected;
 *	spread over the customer's refused requests
 */
enum quota_verdict quota_allowance_take(struct quota_allowance *q,
    const struct quota_limit *l, uint64_t now_ms, uint64_t *retry_after_ms);

/** quota_allowance_give_back() - a request that was admitted has not run */
void quota_allowance_give_back(
    struct quota_allowance *q, uint64_t customer, uint64_t now_ms);

/**
 * quota_allowance_report() - the next report to the home of @data_centre
 * @q: the allowance
 * @demands: receives at most @max demands
 * @max: room in @demands
 * @now_ms: monotonic time
 *
 * Return: number of @demands; also with 0 the report is sent while any customer
 * has a limit, since it tells the home that this entry is connected.
 */
uint32_t quota_allowance_report(struct quota_allowance *q,
    struct quota_demand *demands, uint32_t max, uint64_t now_ms);

/** quota_allowance_granted() - apply a reply of the home */
void quota_allowance_granted(struct quota_allowance *q,
    const struct quota_credit *credits, uint32_t n, uint64_t now_ms);

/** quota_allowance_wake_ms() - monotonic time of the next report, or
 * DEADLINE_NEVER */
uint64_t quota_allowance_wake_ms(const struct quota_allowance *q);

#endif
