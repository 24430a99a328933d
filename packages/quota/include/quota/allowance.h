/*
 * Allowance: the credit that one entry holds for customers with a limit.
 *
 * An entry admits a request at once while it holds credit.  It asks the
 * customer's home in its data centre for more before the credit runs out, as
 * far as its own demand justifies it.  Credit expires after a fraction of a
 * second and is then returned, so that requests of one window are paid by
 * tokens of that window.  At most one report is unanswered.
 */
#ifndef QUOTA_ALLOWANCE_H
#define QUOTA_ALLOWANCE_H

#include "quota/limit.h"

/** QUOTA_PARK_MS - longest time that a request waits for credit */
#define QUOTA_PARK_MS 100

/** enum quota_verdict - decision on a request */
enum quota_verdict {
	QUOTA_ADMIT = 0, /* one credit was taken */
	QUOTA_WAIT,	 /* no credit is held; the reply decides */
	QUOTA_REFUSE,	 /* the limit is used up */
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
 * @retry_after_ms: for QUOTA_REFUSE, the time after which credit is expected,
 *	spread over the customer's refused requests
 *
 * Return: the verdict; after QUOTA_WAIT the request is waiting until
 * quota_allowance_claim() decides or quota_allowance_leave() is called.
 */
enum quota_verdict quota_allowance_take(struct quota_allowance *q,
    const struct quota_limit *l, uint64_t now_ms, uint64_t *retry_after_ms);

/** quota_allowance_claim() - decide on a request that waits, after a reply;
 * see quota_allowance_take() */
enum quota_verdict quota_allowance_claim(struct quota_allowance *q,
    uint64_t customer, uint64_t now_ms, uint64_t *retry_after_ms);

/** quota_allowance_leave() - a request that waits is no longer to be admitted
 */
void quota_allowance_leave(struct quota_allowance *q, uint64_t customer);

/** quota_allowance_give_back() - a request that was admitted has not run */
void quota_allowance_give_back(
    struct quota_allowance *q, uint64_t customer, uint64_t now_ms);

/**
 * quota_allowance_report() - make the next report to the home
 * @q: the allowance
 * @demands: receives at most @max demands
 * @max: room in @demands
 * @now_ms: monotonic time
 *
 * Return: number of @demands; with 0 the report is sent all the same, since it
 * shows the home that this entry is connected.
 */
uint32_t quota_allowance_report(struct quota_allowance *q,
    struct quota_demand *demands, uint32_t max, uint64_t now_ms);

/** quota_allowance_granted() - apply the reply to the last report */
void quota_allowance_granted(struct quota_allowance *q,
    const struct quota_credit *credits, uint32_t n, uint64_t now_ms);

/** quota_allowance_lost() - the last report will not be answered */
void quota_allowance_lost(struct quota_allowance *q);

/** quota_allowance_due_ms() - monotonic time of the next report, DEADLINE_NEVER
 * while one is unanswered */
uint64_t quota_allowance_due_ms(const struct quota_allowance *q);

/** quota_allowance_is_limited() - whether a customer's requests are refused
 * here for its limit */
bool quota_allowance_is_limited(
    const struct quota_allowance *q, uint64_t customer, uint64_t now_ms);

#endif
