/*
 * Admission at the guard, for one endpoint: slots and a short queue that
 * knows deadlines.  What can't start in time is refused at once.
 */
#ifndef TRAFFIC_ADMISSION_H
#define TRAFFIC_ADMISSION_H

#include "traffic/traffic_defs.h"

/**
 * enum admission_class - kinds of requests that each keep a share
 * @ADMISSION_LOOKUP: idempotent
 * @ADMISSION_BOOKING: non-idempotent
 */
enum admission_class {
	ADMISSION_LOOKUP = 0,
	ADMISSION_BOOKING,
	ADMISSION_CLASSES,
};

/**
 * struct admission_config - limits of one endpoint
 * @slots: requests that the upstream may have at a time
 * @queue_max: requests that may wait
 * @queue_wait_ms: longest wait in the queue
 * @booking_percent: share of slots and queue that bookings keep under
 *	overload; lookups keep the rest; what one leaves the other may use
 * @newest_first: once the oldest has waited for half of queue_wait_ms, the
 *	newest is served first: the oldest may come too late anyway
 * @refuse_early: refuse at once what is not expected to start in time;
 *	false only for the comparison in the bench program
 * @adapt_slots: use fewer slots after the upstream has shed
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

/** ADMISSION_PRIORITIES - priorities that are told apart; beyond, the last */
#define ADMISSION_PRIORITIES 4

/**
 * struct admission_request - a request that asks to run
 * @ticket: the shell's number of it, unique at this endpoint
 * @class: its kind
 * @deadline_ms: monotonic deadline
 * @priority: 0 is the highest; a lower one waits for all higher ones
 * @target_ms: monotonic time by which its answer is worth most, 0 when not
 *	told.  One that can still make it goes before those of its priority
 *	that can't, the earliest target first, and waits no longer than it may
 *	for that.
 */
struct admission_request {
	uint64_t ticket;
	enum admission_class class;
	uint64_t deadline_ms;
	uint32_t priority;
	uint64_t target_ms;
};

/** enum admission_verdict - what becomes of a request */
enum admission_verdict {
	ADMISSION_START = 0,
	ADMISSION_QUEUE,
	ADMISSION_REFUSE,
};

/**
 * struct admission_result - a verdict
 * @verdict: start now, wait, or refused
 * @ticket: the request
 * @refusal: why it was refused
 * @retry_after_ms: when refused, when it is worth to come back
 */
struct admission_result {
	enum admission_verdict verdict;
	uint64_t ticket;
	enum refusal refusal;
	uint64_t retry_after_ms;
};

struct admission;

/** admission_config_default() - the values that measurement argued for */
void admission_config_default(struct admission_config *cfg);

/** admission_new() - for one endpoint; free with admission_free() */
struct admission *admission_new(const struct admission_config *cfg);

/** admission_free() - free it; queued requests are forgotten */
void admission_free(struct admission *a);

/** admission_configure() - new limits; what runs and waits stays */
void
admission_configure(struct admission *a, const struct admission_config *cfg);

/**
 * admission_offer() - a request asks to run
 * @a: the admission
 * @req: the request
 * @now_ms: monotonic time
 * @out: the verdict
 *
 * A queued request comes out of admission_next() later, to start or refused.
 */
void admission_offer(struct admission *a, const struct admission_request *req,
    uint64_t now_ms, struct admission_result *out);

/**
 * admission_record_run() - how long a request ran, for the estimate of waits
 * @a: the admission
 * @req: the request, answered; one that failed or was given up says nothing of
 *	how long its kind takes
 * @ran_ms: how long it held its slot
 * @now_ms: monotonic time
 */
void admission_record_run(struct admission *a,
    const struct admission_request *req, uint64_t ran_ms, uint64_t now_ms);

/** admission_mean_run_ms() - how long requests like @req run until they are
 * answered, 0 when none was */
uint64_t admission_mean_run_ms(
    const struct admission *a, const struct admission_request *req);

/**
 * admission_finished() - a started request has left its slot
 * @a: the admission
 * @ticket: the request
 * @class: its kind
 * @ran_ms: how long it held the slot
 * @now_ms: monotonic time
 */
void admission_finished(struct admission *a, uint64_t ticket,
    enum admission_class class, uint64_t ran_ms, uint64_t now_ms);

/**
 * admission_shed() - the upstream refused a started request for load
 *
 * The slots in use are cut to what it evidently takes and grow back by one for
 * each round of answers, so that an upstream that announced too many slots or
 * is cold is not sent more than it takes.  One that refuses while most of its
 * slots are free, or while it runs fewer than it ran a second ago, does so for
 * another reason: then nothing is cut.  Cut all the same, an upstream that
 * refuses half of all requests at random is left with one slot of twelve.
 *
 * Return: when it is worth to come back, in milliseconds from now.
 */
uint64_t admission_shed(struct admission *a, uint64_t ticket,
    enum admission_class class, uint64_t now_ms);

/** admission_cancel() - take a queued request out; false if not queued */
bool admission_cancel(struct admission *a, uint64_t ticket);

/**
 * admission_next() - the next queued request that starts or is refused
 *
 * To be called until it returns false, after each event and at
 * admission_wake_ms().
 */
bool admission_next(
    struct admission *a, uint64_t now_ms, struct admission_result *out);

/** admission_wake_ms() - when a queued request expires; DEADLINE_NEVER */
uint64_t admission_wake_ms(const struct admission *a);

/**
 * admission_drain() - refuse all new requests from now on
 *
 * What is queued has been promised nothing and is refused too, so that it
 * runs elsewhere; what has started runs on.
 */
void admission_drain(struct admission *a);

/** admission_undrain() - take requests again */
void admission_undrain(struct admission *a);

/** admission_load() - the load report for answers and refusals */
void admission_load(const struct admission *a, struct load_report *out);

#endif
