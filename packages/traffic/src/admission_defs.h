/*
 * Admission, as its own files see it.
 */
#ifndef TRAFFIC_ADMISSION_DEFS_H
#define TRAFFIC_ADMISSION_DEFS_H

#include <glib.h>

#include "traffic/admission.h"

#define PERCENT 100
#define US_PER_MS 1000

/* The limit on slots is counted in this many parts of a slot. */
#define LIMIT_UNIT 1024

/* Each priority twice: in time and late. */
#define RANKS (2 * ADMISSION_PRIORITIES)

/** struct waiting - a request in the queue */
struct waiting {
	struct admission_request req;
	uint64_t arrived_ms;
	uint64_t expires_ms;
};

/**
 * struct lane - a class: lookups or bookings
 * @waiting: struct waiting by rank
 * @n_waiting: their number
 * @in_slots: its requests that run
 * @mean_us: how long they run, smoothed
 * @run_us: the same by priority
 * @run_ms: when the last of a priority was timed
 */
struct lane {
	GQueue waiting[RANKS];
	uint32_t n_waiting;
	uint32_t in_slots;
	uint64_t mean_us;
	uint64_t run_us[ADMISSION_PRIORITIES];
	uint64_t run_ms[ADMISSION_PRIORITIES];
};

/** struct running - a request in a slot */
struct running {
	uint64_t ticket;
	uint64_t started_ms;
};

/**
 * struct proven - what the upstream was seen to run at a time
 * @until_ms: end of the period
 * @peak: most requests that ran, in this and the last period
 */
struct concurrency {
	uint64_t until_ms;
	uint32_t peak[2];
};

/** struct pressure - starts and refusals of this and the last period */
struct refusal_rate {
	uint64_t until_ms;
	uint32_t started[2];
	uint32_t refused[2];
};

/**
 * struct admission - see traffic/admission.h
 * @cfg: its limits
 * @now_ms: time of the last event
 * @lanes: by class
 * @running: struct running, in the order of their starts
 * @concurrency: what the upstream takes, for judging its refusals
 * @limit: slots that may be used, in parts of LIMIT_UNIT
 * @lowest_credit_us: time in a slot that the lowest rank that waits is owed
 * @refusal_rate: for the time to come back
 * @overload_since_ms: since when requests are refused without a pause
 * @overload_until_ms: end of that pause, should nobody be refused before
 * @refused: struct admission_result that are to be told
 * @next_refused: the first of them that wasn't
 * @draining: nothing new starts
 */
struct admission {
	struct admission_config cfg;
	uint64_t now_ms;
	struct lane lanes[ADMISSION_CLASSES];
	GArray *running;
	struct concurrency concurrency;
	uint64_t limit;
	uint64_t lowest_credit_us;
	struct refusal_rate refusal_rate;
	uint64_t overload_since_ms;
	uint64_t overload_until_ms;
	GArray *refused;
	guint next_refused;
	bool draining;
};

/** admission_slots() - slots that may be used now */
uint32_t admission_slots(const struct admission *a);

/** admission_in_slots() - requests that run */
uint32_t admission_in_slots(const struct admission *a);

/** admission_queued() - requests that wait */
uint32_t admission_queued(const struct admission *a);

/**
 * admission_share() - what a class of a priority keeps of a whole under
 * overload
 *
 * The shares of both classes add up to the whole.
 */
uint32_t admission_share(const struct admission *a, uint32_t priority,
    enum admission_class class, uint32_t whole);

/**
 * admission_run_us() - how long a request runs
 *
 * That of its class before one of its priority has, 0 before any has.  What
 * hasn't been timed lately counts less and less: were it believed, a kind
 * that was once slow would be refused for it, and never be timed again.
 */
uint64_t admission_run_us(
    const struct admission *a, uint32_t priority, enum admission_class class);

/** admission_priority_of() - its priority among those that are told apart */
uint32_t admission_priority_of(const struct admission_request *req);

/** admission_other() - the other class */
enum admission_class admission_other(enum admission_class class);

/** admission_rank_of() - by priority, and within one late after in time */
uint32_t admission_rank_of(const struct admission *a,
    const struct admission_request *req, uint64_t now_ms);

/** admission_overload_persists() - requests are refused for longer than a
 * transient overload lasts
 */
bool admission_overload_persists(const struct admission *a, uint64_t now_ms);

/** admission_queue_position() - requests of a queue that go before one of a
 * target */
uint32_t admission_queue_position(const GQueue *q, uint64_t target_ms);

/** admission_allowed_wait_ms() - longest wait that makes sense for a request */
uint64_t admission_allowed_wait_ms(const struct admission *a,
    const struct admission_request *req, uint64_t now_ms);

/** admission_starts_in_time() - whether it is expected to, if it waits */
bool admission_starts_in_time(const struct admission *a,
    const struct admission_request *req, uint64_t now_ms);

/** admission_count_refused() - one was refused, for the time to come back */
void admission_count_refused(struct admission *a, uint64_t now_ms);

/** admission_count_started() - one was started, for the time to come back */
void admission_count_started(struct admission *a, uint64_t now_ms);

/** admission_retry_after_ms() - in how long there is room for a request of a
 * rank */
uint64_t admission_retry_after_ms(const struct admission *a,
    const struct admission_request *req, uint32_t rank);

/** admission_start() - count a request as running and say so */
void admission_start(struct admission *a, const struct admission_request *req,
    uint64_t now_ms, struct admission_result *out);

/** admission_refuse() - refuse a request, with a time to come back */
void admission_refuse(struct admission *a, const struct admission_request *req,
    enum refusal refusal, uint64_t now_ms, struct admission_result *out);

/** admission_dequeue() - take a request out of a lane; the caller frees it */
struct waiting *admission_dequeue(struct lane *l, uint32_t rank, GList *link);

#endif
