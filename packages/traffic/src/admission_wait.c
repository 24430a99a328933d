/*
 * Expectations for a request: when it could start, whether that is in time,
 * how long it may wait, and when there is room for a refused request.
 */
#include "base/clock.h"

#include "admission_defs.h"

#define RETRY_AFTER_MIN_MS 50
/* Wait that is allowed to any request, so that short bursts are smoothed. */
#define WAIT_MIN_MS 30
/* Period over which starts and refusals are counted for the Retry-After. */
#define REFUSAL_RATE_PERIOD_MS 1000

/*
 * A request that is late for its target may wait for the end of a transient
 * overload, behind all requests in time, up to its deadline: its caller has
 * already retried, and a refused request would end unserved.  Bursts, cold
 * starts and restarts last 2 to 5 s; a longer overload is a lack of upstreams,
 * where waiting doesn't help.  On five days of the robot cells with three
 * seeds each, 5.2 instead of 5.5 of 100 requests were refused, on the days
 * without a lasting lack 3.1 instead of 3.5.  Where a service lost two of
 * three upstreams for 35 s, 31.3 of 100 requests were not served without this
 * limit, 29.7 with it.
 */
#define TRANSIENT_OVERLOAD_MS 5000

/*
 * Expected run time of a request from measurements of its own kind.  0 for a
 * kind that was never measured: with the mean of its class such a request
 * could be refused, and the kind would never be measured.
 */
uint64_t
admission_expected_run_ms(
    const struct admission *a, const struct admission_request *req)
{
	if (a->lanes[req->class].run_us[admission_priority_of(req)] == 0)
		return 0;
	return admission_run_us(a, admission_priority_of(req), req->class) /
	    US_PER_MS;
}

/* Whether the request can no longer be answered by its target. */
static bool
is_late(const struct admission *a, const struct admission_request *req,
    uint64_t now_ms)
{
	uint64_t run_ms = admission_expected_run_ms(a, req);

	return req->target_ms != 0 && now_ms + run_ms > req->target_ms;
}

/* Requests without a customer's rank wait for none. */
static uint32_t
customer_rank(const struct admission_request *req)
{
	return MIN(MAX(req->customer_priority, 1), CUSTOMER_RANKS) - 1;
}

uint32_t
admission_rank_of(const struct admission *a,
    const struct admission_request *req, uint64_t now_ms)
{
	return 2 * ADMISSION_PRIORITIES * customer_rank(req) +
	    2 * admission_priority_of(req) + (is_late(a, req, now_ms) ? 1 : 0);
}

/* Total expected run time of the requests of a class that wait at a rank. */
static uint64_t
rank_work_us(
    const struct admission *a, enum admission_class class, uint32_t rank)
{
	return a->lanes[class].waiting[rank].length *
	    admission_run_us(a, admission_rank_priority(rank), class);
}

/* Total expected run time of the requests of a class that run or wait. */
static uint64_t
lane_work_us(const struct admission *a, enum admission_class class)
{
	const struct lane *l = &a->lanes[class];
	uint64_t us = l->in_slots * l->mean_us;
	uint32_t p;

	if (l->n_waiting == 0)
		return us;
	for (p = 0; p < ADMISSION_PRIORITIES; p++)
		us += l->n_by_priority[p] * admission_run_us(a, p, class);
	return us;
}

uint64_t
admission_work_ms(const struct admission *a)
{
	uint64_t us = lane_work_us(a, ADMISSION_LOOKUP) +
	    lane_work_us(a, ADMISSION_BOOKING);

	return us / US_PER_MS;
}

/* Total expected run time of the requests at the ranks ahead of @rank. */
static uint64_t
work_ahead_us(const struct admission *a, uint32_t rank)
{
	uint32_t r, ranks = admission_ranks_ahead(admission_ranks(a), rank);
	uint64_t us = 0;

	while (ranks != 0) {
		r = admission_first_rank(ranks);
		ranks = admission_without_rank(ranks, r);
		us += rank_work_us(a, ADMISSION_LOOKUP, r);
		us += rank_work_us(a, ADMISSION_BOOKING, r);
	}
	return us;
}

/* Number of requests at the ranks ahead of @rank. */
static uint64_t
queued_at_ranks_ahead(const struct admission *a, uint32_t rank)
{
	uint32_t r, ranks = admission_ranks_ahead(admission_ranks(a), rank);
	uint64_t n = 0;

	while (ranks != 0) {
		r = admission_first_rank(ranks);
		ranks = admission_without_rank(ranks, r);
		n += a->lanes[ADMISSION_LOOKUP].waiting[r].length;
		n += a->lanes[ADMISSION_BOOKING].waiting[r].length;
	}
	return n;
}

static void
extend_overload(struct admission *a, uint64_t now_ms)
{
	if (now_ms >= a->overload_until_ms)
		a->overload_since_ms = now_ms;
	a->overload_until_ms = now_ms + REFUSAL_RATE_PERIOD_MS;
}

bool
admission_overload_persists(const struct admission *a, uint64_t now_ms)
{
	return now_ms < a->overload_until_ms &&
	    now_ms > a->overload_since_ms + TRANSIENT_OVERLOAD_MS;
}

static void
rotate_refusal_rate(struct admission *a, uint64_t now_ms)
{
	struct refusal_rate *rate = &a->refusal_rate;

	if (now_ms < rate->until_ms)
		return;
	rate->started[1] = now_ms < rate->until_ms + REFUSAL_RATE_PERIOD_MS
	    ? rate->started[0]
	    : 0;
	rate->refused[1] = now_ms < rate->until_ms + REFUSAL_RATE_PERIOD_MS
	    ? rate->refused[0]
	    : 0;
	rate->started[0] = 0;
	rate->refused[0] = 0;
	rate->until_ms = now_ms + REFUSAL_RATE_PERIOD_MS;
}

/* Slots available to the class at the other class's present demand. */
static uint32_t
available_slots(
    const struct admission *a, uint32_t priority, enum admission_class class)
{
	const struct lane *o = &a->lanes[admission_other(class)];
	uint32_t reserved, kept;

	reserved = MIN(o->in_slots + o->n_waiting,
	    admission_share(
		a, priority, admission_other(class), admission_slots(a)));
	reserved += admission_urgent_kept(a, priority, class);
	kept = admission_slots(a) - MIN(reserved, admission_slots(a));
	return MAX(kept, 1);
}

/* Number of requests queued in @q that start before @req. */
static uint32_t
position_in(const struct admission *a, const GQueue *q,
    const struct admission_request *req)
{
	if (!admission_fair_is_active(a->fair))
		return admission_queue_index(q, req->target_ms);
	return admission_fair_position(a->fair, q, req,
	    admission_run_us(a, admission_priority_of(req), req->class));
}

/* Number of queued requests that start before a request of a rank. */
static uint64_t
queued_ahead(const struct admission *a, const struct admission_request *req,
    uint32_t rank)
{
	const GQueue *q = &a->lanes[req->class].waiting[rank];
	const GQueue *other =
	    &a->lanes[admission_other(req->class)].waiting[rank];

	return queued_at_ranks_ahead(a, rank) + position_in(a, q, req) +
	    position_in(a, other, req);
}

/* Expected wait for the limit that the upstream names. */
static uint64_t
limit_wait_ms(const struct admission *a, const struct admission_request *req,
    uint32_t rank)
{
	/* Saves a scan of the queue. */
	if (a->upstream_limit.milli_per_s == UPSTREAM_LIMIT_NONE)
		return 0;
	return upstream_limit_wait_ms(
	    &a->upstream_limit, queued_ahead(a, req, rank), a->now_ms);
}

/* Expected wait for a slot. */
static uint64_t
slot_wait_ms(const struct admission *a, const struct admission_request *req,
    uint32_t rank)
{
	const GQueue *q = &a->lanes[req->class].waiting[rank];
	uint64_t us = work_ahead_us(a, rank);

	us += (position_in(a, q, req) + UINT64_C(1)) *
	    admission_run_us(a, admission_rank_priority(rank), req->class);
	return us /
	    available_slots(a, admission_rank_priority(rank), req->class) /
	    US_PER_MS;
}

static uint64_t
expected_wait_ms(const struct admission *a, const struct admission_request *req,
    uint32_t rank)
{
	return MAX(slot_wait_ms(a, req, rank), limit_wait_ms(a, req, rank));
}

/*
 * There is room once the requests ahead have run, plus as many rounds as
 * requests were refused per started one, since those are retried too.
 */
uint64_t
admission_retry_after_ms(const struct admission *a,
    const struct admission_request *req, uint32_t rank)
{
	const struct refusal_rate *rate = &a->refusal_rate;
	uint64_t started = rate->started[0] + rate->started[1];
	uint64_t refused = rate->refused[0] + rate->refused[1];
	uint64_t wait = expected_wait_ms(a, req, rank);

	if (started > 0)
		wait += wait * refused / started;
	return MAX(wait, RETRY_AFTER_MIN_MS);
}

/*
 * The longest useful wait ends at the target or the deadline, whichever is
 * earlier, minus the run time, or for a request that is late for its target, at
 * its deadline minus the run time.
 */
uint64_t
admission_allowed_wait_ms(const struct admission *a,
    const struct admission_request *req, uint64_t now_ms)
{
	uint64_t run_ms = admission_expected_run_ms(a, req);
	uint64_t left_ms = clock_left_ms(req->deadline_ms, now_ms);
	uint64_t wait_ms;

	if (req->target_ms == 0)
		return a->cfg.queue_wait_ms;
	if (!is_late(a, req, now_ms)) {
		wait_ms = MIN(req->target_ms - now_ms, left_ms);
		wait_ms -= MIN(run_ms, wait_ms);
		return MAX(wait_ms, WAIT_MIN_MS);
	}
	if (admission_overload_persists(a, now_ms))
		return a->cfg.queue_wait_ms;
	return left_ms - MIN(run_ms, left_ms);
}

bool
admission_starts_in_time(const struct admission *a,
    const struct admission_request *req, uint64_t now_ms)
{
	uint32_t rank = admission_rank_of(a, req, now_ms);
	uint64_t wait, run;

	if (!a->cfg.refuse_early)
		return true;
	/* A request that the upstream's limit holds back is served sooner by
	 * another upstream than by a long queue here. */
	if (limit_wait_ms(a, req, rank) > a->cfg.queue_wait_ms)
		return false;
	wait = expected_wait_ms(a, req, rank);
	run = admission_expected_run_ms(a, req);
	return wait <= admission_allowed_wait_ms(a, req, now_ms) &&
	    wait + run <= clock_left_ms(req->deadline_ms, now_ms);
}

void
admission_count_refused(struct admission *a, uint64_t now_ms)
{
	rotate_refusal_rate(a, now_ms);
	extend_overload(a, now_ms);
	a->refusal_rate.refused[0]++;
}

void
admission_count_started(struct admission *a, uint64_t now_ms)
{
	rotate_refusal_rate(a, now_ms);
	a->refusal_rate.started[0]++;
}
