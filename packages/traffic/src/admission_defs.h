/*
 * Internal definitions shared by the admission_*.c files.
 */
#ifndef TRAFFIC_ADMISSION_DEFS_H
#define TRAFFIC_ADMISSION_DEFS_H

#include <glib.h>

#include "traffic/admission.h"

#define PERCENT 100
#define US_PER_MS 1000

/* Fixed-point unit of admission.limit: this many parts per slot. */
#define LIMIT_UNIT 1024

/* Distinct ranks of customers; lower ones count as the last. */
#define CUSTOMER_RANKS 4

/* Two ranks per rank of the customer and priority: in time for the target, and
 * late. */
#define RANKS (2 * ADMISSION_PRIORITIES * CUSTOMER_RANKS)

/* A set of ranks is a word with a bit for each rank. */
G_STATIC_ASSERT(RANKS <= 32);

/**
 * struct waiting - a queued request
 * @req: the request
 * @arrived_ms: monotonic time of its arrival
 * @expires_ms: monotonic time at which the request is refused
 */
struct waiting {
	struct admission_request req;
	uint64_t arrived_ms;
	uint64_t expires_ms;
};

/**
 * struct lane - queue and statistics of one class: lookups or bookings
 * @waiting: struct waiting by rank
 * @ranks: set of the ranks at which requests are queued
 * @n_waiting: total number of queued requests
 * @n_by_priority: number of queued requests by priority
 * @in_slots: running requests
 * @mean_us: moving average of the run time
 * @run_us: moving average of the run time by priority
 * @run_ms: monotonic time of the last update of @run_us by priority
 */
struct lane {
	GQueue waiting[RANKS];
	uint32_t ranks;
	uint32_t n_waiting;
	uint32_t n_by_priority[ADMISSION_PRIORITIES];
	uint32_t in_slots;
	uint64_t mean_us;
	uint64_t run_us[ADMISSION_PRIORITIES];
	uint64_t run_ms[ADMISSION_PRIORITIES];
};

/**
 * struct running - a request in a slot
 * @ticket: the request
 * @started_ms: monotonic time of its start
 * @priority: its priority
 * @class: its class
 */
struct running {
	uint64_t ticket;
	uint64_t started_ms;
	uint32_t priority;
	enum admission_class class;
};

/**
 * struct urgent_kind - arrivals of the requests of one priority and class
 * @until_ms: end of the current period, 0 while none has arrived in time
 * @arrived: requests that arrived in time, in this and the last period
 * @slack_ms: moving average of the time until the latest start that meets the
 *	target
 */
struct urgent_kind {
	uint64_t until_ms;
	uint32_t arrived[2];
	uint64_t slack_ms;
};

/**
 * struct concurrency - observed concurrency of the upstream
 * @until_ms: end of the current period
 * @peak: highest number of running requests, in this and the last period
 */
struct concurrency {
	uint64_t until_ms;
	uint32_t peak[2];
};

/**
 * struct refusal_rate - starts and refusals of this and the last period
 * @until_ms: end of the current period
 * @started: started requests
 * @refused: refused requests
 */
struct refusal_rate {
	uint64_t until_ms;
	uint32_t started[2];
	uint32_t refused[2];
};

/** struct admission_fair - use of the slots by customers */
struct admission_fair;

/**
 * struct admission - see traffic/admission.h
 * @cfg: its limits
 * @now_ms: time of the last event
 * @lanes: by class
 * @kinds: arrivals by priority and class
 * @fair: use of the slots by customers
 * @running: struct running, in order of start
 * @concurrency: observed concurrency, to classify the upstream's refusals
 * @limit: slots that may be used, in parts of LIMIT_UNIT
 * @upstream_limit: limit that the upstream names
 * @lowest_credit_us: slot time that the lowest waiting rank has earned
 * @refusal_rate: for the Retry-After of refused requests
 * @overload_since_ms: start of the current series of refusals
 * @overload_until_ms: end of the series if no further request is refused
 * @refused: struct admission_result of evicted requests
 * @next_refused: index of the first element of @refused that admission_next()
 *	has not returned
 * @draining: no new request starts
 */
struct admission {
	struct admission_config cfg;
	uint64_t now_ms;
	struct lane lanes[ADMISSION_CLASSES];
	struct urgent_kind kinds[ADMISSION_PRIORITIES][ADMISSION_CLASSES];
	struct admission_fair *fair;
	GArray *running;
	struct concurrency concurrency;
	uint64_t limit;
	struct upstream_limit upstream_limit;
	uint64_t lowest_credit_us;
	struct refusal_rate refusal_rate;
	uint64_t overload_since_ms;
	uint64_t overload_until_ms;
	GArray *refused;
	guint next_refused;
	bool draining;
};

/** admission_slots() - number of slots that may be used now */
uint32_t admission_slots(const struct admission *a);

/** admission_in_slots() - number of running requests */
uint32_t admission_in_slots(const struct admission *a);

/** admission_queued() - number of queued requests */
uint32_t admission_queued(const struct admission *a);

/** admission_may_start() - whether a slot is free and the upstream's limit
 * allows another request */
bool admission_may_start(const struct admission *a, uint64_t now_ms);

/**
 * admission_share() - part of @whole that a class and priority keep under
 * overload
 *
 * The shares of both classes add up to @whole.
 */
uint32_t admission_share(const struct admission *a, uint32_t priority,
    enum admission_class class, uint32_t whole);

/**
 * admission_run_us() - expected run time of a request in us
 *
 * This is the mean of the class while no request of the priority has been
 * answered, and 0 while no request of the class has run.  A measurement loses
 * weight with age: otherwise a kind of request that was slow once would be
 * refused for that, and never be measured again.
 */
uint64_t admission_run_us(
    const struct admission *a, uint32_t priority, enum admission_class class);

/** admission_priority_of() - priority, limited to ADMISSION_PRIORITIES - 1 */
uint32_t admission_priority_of(const struct admission_request *req);

/** admission_rank_priority() - priority of the requests of a rank */
uint32_t admission_rank_priority(uint32_t rank);

/** admission_other() - the other class */
enum admission_class admission_other(enum admission_class class);

/**
 * admission_rank_of() - rank by priority, and within a priority late requests
 * after those in time
 */
uint32_t admission_rank_of(const struct admission *a,
    const struct admission_request *req, uint64_t now_ms);

/**
 * admission_overload_persists() - whether requests have been refused for
 * longer than a transient overload lasts
 */
bool admission_overload_persists(const struct admission *a, uint64_t now_ms);

/**
 * admission_queue_index() - index in the queue @q, which is ordered by target,
 * of a request with the target @target_ms
 */
uint32_t admission_queue_index(const GQueue *q, uint64_t target_ms);

/** admission_allowed_wait_ms() - longest useful wait of a request in ms */
uint64_t admission_allowed_wait_ms(const struct admission *a,
    const struct admission_request *req, uint64_t now_ms);

/**
 * admission_starts_in_time() - whether a queued request is expected to start
 * in time
 */
bool admission_starts_in_time(const struct admission *a,
    const struct admission_request *req, uint64_t now_ms);

/** admission_count_refused() - count a refusal for the refusal rate */
void admission_count_refused(struct admission *a, uint64_t now_ms);

/** admission_count_started() - count a start for the refusal rate */
void admission_count_started(struct admission *a, uint64_t now_ms);

/**
 * admission_retry_after_ms() - time in ms until there is room for a request of
 * a rank
 */
uint64_t admission_retry_after_ms(const struct admission *a,
    const struct admission_request *req, uint32_t rank);

/** admission_start() - start a request and fill in the result */
void admission_start(struct admission *a, const struct admission_request *req,
    uint64_t now_ms, struct admission_result *out);

/**
 * admission_refuse() - refuse a request and fill in the result with a
 * Retry-After
 */
void admission_refuse(struct admission *a, const struct admission_request *req,
    enum refusal refusal, uint64_t now_ms, struct admission_result *out);

/** admission_urgent_offered() - count the arrival of a request that runs for
 * @run_ms */
void admission_urgent_offered(struct admission *a,
    const struct admission_request *req, uint64_t run_ms, uint64_t now_ms);

/** admission_urgent_kept() - number of slots that are kept from requests of a
 * kind */
uint32_t admission_urgent_kept(
    const struct admission *a, uint32_t priority, enum admission_class class);

/** admission_urgent_allows() - whether a request of a kind may take a slot */
bool admission_urgent_allows(
    const struct admission *a, uint32_t priority, enum admission_class class);

/** admission_expected_run_ms() - expected run time of a request from
 * measurements of its own kind, 0 while there is none */
uint64_t admission_expected_run_ms(
    const struct admission *a, const struct admission_request *req);

/** admission_fair_new() - free with admission_fair_free() */
struct admission_fair *admission_fair_new(void);

/** admission_fair_free() - free the table of customers */
void admission_fair_free(struct admission_fair *f);

/** admission_fair_is_active() - whether any request had a customer */
bool admission_fair_is_active(const struct admission_fair *f);

/** admission_fair_offered() - count an offered request for its customer */
void admission_fair_offered(struct admission_fair *f,
    const struct admission_request *req, uint64_t now_ms);

/** admission_fair_started() - charge a started request to its customer */
void admission_fair_started(struct admission_fair *f,
    const struct admission_request *req, uint64_t run_us, uint64_t now_ms);

/** admission_fair_position() - number of requests in @q that start before @req;
 * @run_us: expected run time of each */
uint32_t admission_fair_position(struct admission_fair *f, const GQueue *q,
    const struct admission_request *req, uint64_t run_us);

/** admission_fair_first() - the request in @q that starts next, or NULL */
GList *admission_fair_first(const struct admission_fair *f, const GQueue *q);

/**
 * admission_fair_victim() - the request in @q to evict for @req: the one that
 * would start last
 *
 * Return: NULL if @req would start later than all of them.
 */
GList *admission_fair_victim(struct admission_fair *f, const GQueue *q,
    const struct admission_request *req, uint64_t run_us);

/** admission_fair_last() - the request in @q that starts last, or NULL if @q is
 * empty */
GList *
admission_fair_last(struct admission_fair *f, const GQueue *q, uint64_t run_us);

/** admission_work_ms() - expected run time of all requests that run or wait */
uint64_t admission_work_ms(const struct admission *a);

/** admission_enqueue() - queue a request at a rank, in order of its target */
void admission_enqueue(struct lane *l, uint32_t rank, struct waiting *w);

/** admission_dequeue() - remove a request from a lane; the caller frees it */
struct waiting *admission_dequeue(struct lane *l, uint32_t rank, GList *link);

/** admission_ranks() - set of the ranks at which a request of either class
 * waits */
uint32_t admission_ranks(const struct admission *a);

/** admission_first_rank() - the highest rank of a set, or RANKS */
uint32_t admission_first_rank(uint32_t ranks);

/** admission_last_rank() - the lowest rank of a set, or RANKS */
uint32_t admission_last_rank(uint32_t ranks);

/** admission_without_rank() - the set without a rank */
uint32_t admission_without_rank(uint32_t ranks, uint32_t rank);

/** admission_ranks_ahead() - the ranks of a set that go before @rank */
uint32_t admission_ranks_ahead(uint32_t ranks, uint32_t rank);

#endif
