/*
 * Admission control at the guard, for one endpoint: slots and a short queue
 * that respects deadlines.  A request that can't start in time is refused at
 * once.
 */
#ifndef TRAFFIC_ADMISSION_H
#define TRAFFIC_ADMISSION_H

#include "traffic/traffic_defs.h"
#include "traffic/upstream_limit.h"

/**
 * enum admission_class - classes of requests that each keep a share
 * @ADMISSION_LOOKUP: idempotent requests
 * @ADMISSION_BOOKING: non-idempotent requests
 */
enum admission_class {
	ADMISSION_LOOKUP = 0,
	ADMISSION_BOOKING,
	ADMISSION_CLASSES,
};

/**
 * struct admission_config - limits of one endpoint
 * @slots: maximum number of concurrent requests at the upstream
 * @queue_max: maximum number of queued requests
 * @queue_wait_ms: longest wait in the queue
 * @booking_percent: share of slots and queue that bookings keep under
 *	overload; lookups keep the rest; either class may use what the other
 *	leaves free
 * @newest_first: once the oldest request has waited for half of queue_wait_ms,
 *	start the newest one first, since the oldest may be answered too late
 *	anyway
 * @refuse_early: refuse at once a request that is not expected to start in
 *	time; false only for the comparison in the bench program
 * @adapt_slots: use fewer slots after the upstream has refused a request for
 *	load
 */
struct admission_config {
	uint32_t slots;
	uint32_t queue_max;
	uint32_t queue_wait_ms;
	uint32_t booking_percent;
	bool newest_first;
	bool refuse_early;
	bool adapt_slots;
};

/**
 * ADMISSION_PRIORITIES - number of distinct priorities; lower ones count as
 * the last
 */
#define ADMISSION_PRIORITIES 4

/**
 * struct admission_request - a request offered to admission
 * @ticket: number of the request, unique at this endpoint
 * @class: class of the request
 * @deadline_ms: monotonic deadline
 * @priority: 0 is the highest; a request waits for all higher priorities
 * @target_ms: monotonic time after which the answer is worth less, 0 when
 *	unknown.  Within a priority, requests that can still meet their target
 *	go before those that can't, earliest target first, and wait no longer
 *	than the target allows.
 * @customer: number of the customer, 0 for none
 * @customer_priority: rank of the customer plus 1, 1 is the highest; 0 when
 *	not set
 */
struct admission_request {
	uint64_t ticket;
	enum admission_class class;
	uint64_t deadline_ms;
	uint32_t priority;
	uint64_t target_ms;
	uint64_t customer;
	uint32_t customer_priority;
};

/**
 * enum admission_verdict - decision on a request
 * @ADMISSION_START: start the request now
 * @ADMISSION_QUEUE: the request waits; admission_next() returns it later
 * @ADMISSION_REFUSE: the request is refused and has not run
 */
enum admission_verdict {
	ADMISSION_START = 0,
	ADMISSION_QUEUE,
	ADMISSION_REFUSE,
};

/**
 * struct admission_result - a decision
 * @verdict: start now, queue, or refuse
 * @ticket: the request
 * @refusal: why the request was refused
 * @retry_after_ms: when refused, the time after which a retry is worthwhile
 */
struct admission_result {
	enum admission_verdict verdict;
	uint64_t ticket;
	enum refusal refusal;
	uint64_t retry_after_ms;
};

struct admission;

/** admission_config_default() - fill in the default settings */
void admission_config_default(struct admission_config *cfg);

/**
 * admission_new() - create the admission of one endpoint; free with
 * admission_free()
 */
struct admission *admission_new(const struct admission_config *cfg);

/** admission_free() - free the admission; queued requests are dropped */
void admission_free(struct admission *a);

/**
 * admission_configure() - change the limits; running and queued requests stay
 */
void
admission_configure(struct admission *a, const struct admission_config *cfg);

/**
 * admission_offer() - offer a request
 * @a: the admission
 * @req: the request
 * @now_ms: monotonic time
 * @out: the decision
 *
 * admission_next() returns a queued request later, to start or as refused.
 */
void admission_offer(struct admission *a, const struct admission_request *req,
    uint64_t now_ms, struct admission_result *out);

/**
 * admission_record_run() - record a run time for the estimate of waits
 * @a: the admission
 * @req: the request, answered.  Failed and cancelled requests are not
 *	recorded, as they don't show how long their kind runs.
 * @ran_ms: how long the request held its slot
 * @now_ms: monotonic time
 */
void admission_record_run(struct admission *a,
    const struct admission_request *req, uint64_t ran_ms, uint64_t now_ms);

/**
 * admission_mean_run_ms() - mean run time of answered requests with the class
 * and priority of @req, 0 when there was none
 */
uint64_t admission_mean_run_ms(
    const struct admission *a, const struct admission_request *req);

/**
 * admission_finished() - a started request has left its slot
 * @a: the admission
 * @ticket: the request
 * @class: class of the request
 * @ran_ms: how long the request held the slot
 * @now_ms: monotonic time
 */
void admission_finished(struct admission *a, uint64_t ticket,
    enum admission_class class, uint64_t ran_ms, uint64_t now_ms);

/**
 * admission_shed() - the upstream refused a started request for load
 *
 * Reduces the slots in use to the number of requests that the upstream
 * evidently accepts.  The slots grow back by one per round of answers, so that
 * an upstream that announced too many slots or is cold is not sent more than it
 * can run.  An upstream that refuses while most of its slots are free, or while
 * it runs fewer requests than a second ago, refuses for another reason, and the
 * slots stay: if they were reduced then too, an upstream that refuses half of
 * all requests at random would be left with one slot of twelve.
 *
 * Return: time in ms after which a retry is worthwhile.
 */
uint64_t admission_shed(struct admission *a, uint64_t ticket,
    enum admission_class class, uint64_t now_ms);

/** admission_cancel() - remove a queued request; false if it is not queued */
bool admission_cancel(struct admission *a, uint64_t ticket);

/**
 * admission_next() - take the next queued request that starts or is refused
 *
 * Call after each event and at admission_wake_ms() until it returns false.
 */
bool admission_next(
    struct admission *a, uint64_t now_ms, struct admission_result *out);

/**
 * admission_wake_ms() - monotonic time at which the next queued request
 * expires, or DEADLINE_NEVER
 */
uint64_t admission_wake_ms(const struct admission *a);

/**
 * admission_drain() - refuse all new requests from now on
 *
 * Queued requests are refused too, so that they run elsewhere; started
 * requests run to their end.
 */
void admission_drain(struct admission *a);

/** admission_undrain() - accept requests again */
void admission_undrain(struct admission *a);

/**
 * admission_upstream_limit() - limit that the upstream names
 *
 * The guard updates the limit from the upstream's answers; no request starts
 * beyond it.  Call admission_next() after a change.
 */
struct upstream_limit *admission_upstream_limit(struct admission *a);

/** admission_accepted() - number of running requests that have certainly
 * reached the upstream */
uint32_t admission_accepted(const struct admission *a, uint64_t now_ms);

/** admission_load() - load report for answers and refusals */
void admission_load(const struct admission *a, struct load_report *out);

#endif
