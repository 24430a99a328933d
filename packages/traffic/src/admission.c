/*
 * Slots and the queue of one endpoint.
 *
 * Requests wait by rank: by rank of the customer, then by priority, and within
 * a priority those that can still meet their target first.  Within a rank each
 * class has its own queue, whose slots customers share fairly.
 * A class below its share of the slots goes first.  Requests of a class that
 * exceeds its share of the queue are evicted when the other class needs the
 * space.
 */
#include <string.h>

#include "base/clock.h"

#include "admission_defs.h"

/* Late requests may use this many additional multiples of queue_max. */
#define LATE_QUEUE_FACTOR 3

void
admission_config_default(struct admission_config *cfg)
{
	cfg->slots = 12;
	cfg->queue_max = 24;
	cfg->queue_wait_ms = 200;
	cfg->booking_percent = 50;
	cfg->newest_first = true;
	cfg->refuse_early = true;
	cfg->adapt_slots = true;
}

struct admission *
admission_new(const struct admission_config *cfg)
{
	struct admission *a;

	a = g_new0(struct admission, 1);
	a->refused = g_array_new(FALSE, FALSE, sizeof(struct admission_result));
	a->running = g_array_new(FALSE, FALSE, sizeof(struct running));
	a->fair = admission_fair_new();
	a->limit = UINT64_MAX;
	upstream_limit_init(&a->upstream_limit);
	admission_configure(a, cfg);
	return a;
}

void
admission_free(struct admission *a)
{
	uint32_t rank;
	int i;

	if (a == NULL)
		return;
	for (i = 0; i < ADMISSION_CLASSES; i++)
		for (rank = 0; rank < RANKS; rank++)
			g_queue_clear_full(&a->lanes[i].waiting[rank], g_free);
	admission_fair_free(a->fair);
	g_array_free(a->refused, TRUE);
	g_array_free(a->running, TRUE);
	g_free(a);
}

void
admission_configure(struct admission *a, const struct admission_config *cfg)
{
	bool grown;

	grown = cfg->slots > a->cfg.slots;
	a->cfg = *cfg;
	a->cfg.slots = MAX(cfg->slots, 1);
	if (grown || a->limit > (uint64_t)a->cfg.slots * LIMIT_UNIT)
		a->limit = (uint64_t)a->cfg.slots * LIMIT_UNIT;
}

uint32_t
admission_slots(const struct admission *a)
{
	return (uint32_t)(a->limit / LIMIT_UNIT);
}

uint32_t
admission_in_slots(const struct admission *a)
{
	return a->lanes[ADMISSION_LOOKUP].in_slots +
	    a->lanes[ADMISSION_BOOKING].in_slots;
}

bool
admission_may_start(const struct admission *a, uint64_t now_ms)
{
	return admission_in_slots(a) < admission_slots(a) &&
	    upstream_limit_wait_ms(&a->upstream_limit, 0, now_ms) == 0;
}

struct upstream_limit *
admission_upstream_limit(struct admission *a)
{
	return &a->upstream_limit;
}

uint32_t
admission_rank_priority(uint32_t rank)
{
	return rank / 2 % ADMISSION_PRIORITIES;
}

uint32_t
admission_priority_of(const struct admission_request *req)
{
	return MIN(req->priority, ADMISSION_PRIORITIES - 1);
}

void
admission_refuse(struct admission *a, const struct admission_request *req,
    enum refusal refusal, uint64_t now_ms, struct admission_result *out)
{
	admission_count_refused(a, now_ms);
	out->verdict = ADMISSION_REFUSE;
	out->ticket = req->ticket;
	out->refusal = refusal;
	out->retry_after_ms =
	    admission_retry_after_ms(a, req, admission_rank_of(a, req, now_ms));
}

void
admission_start(struct admission *a, const struct admission_request *req,
    uint64_t now_ms, struct admission_result *out)
{
	const struct running run = {
	    req->ticket, now_ms, admission_priority_of(req), req->class};

	admission_count_started(a, now_ms);
	upstream_limit_take(&a->upstream_limit, now_ms);
	admission_fair_started(a->fair, req,
	    admission_run_us(a, admission_priority_of(req), req->class),
	    now_ms);
	g_array_append_val(a->running, run);
	a->lanes[req->class].in_slots++;
	out->verdict = ADMISSION_START;
	out->ticket = req->ticket;
	out->refusal = REFUSAL_NONE;
	out->retry_after_ms = 0;
}

/*
 * Remove the newest request of the lowest rank below @rank; NULL if there is
 * none.
 */
static struct waiting *
evict_lowest(struct admission *a, uint32_t rank)
{
	uint32_t lowest = admission_last_rank(admission_ranks(a));
	struct lane *l = &a->lanes[ADMISSION_LOOKUP];

	if (lowest == RANKS || lowest <= rank)
		return NULL;
	if (l->waiting[lowest].length == 0)
		l = &a->lanes[ADMISSION_BOOKING];
	return admission_dequeue(l, lowest, l->waiting[lowest].tail);
}

/* The waiting request of a class and rank that starts last, or NULL. */
static GList *
last_waiting(
    const struct admission *a, enum admission_class class, uint32_t rank)
{
	const GQueue *q = &a->lanes[class].waiting[rank];

	if (!admission_fair_is_active(a->fair))
		return q->tail;
	return admission_fair_last(a->fair, q,
	    admission_run_us(a, admission_rank_priority(rank), class));
}

/*
 * Remove the newest request of the other class at the same rank, if @class uses
 * less than its share of the queue; NULL if there is none.
 */
static struct waiting *
evict_from_other_class(
    struct admission *a, enum admission_class class, uint32_t rank)
{
	struct lane *o = &a->lanes[admission_other(class)];

	if (a->lanes[class].n_waiting >= admission_share(a,
					     admission_rank_priority(rank),
					     class, a->cfg.queue_max) ||
	    o->waiting[rank].tail == NULL)
		return NULL;
	return admission_dequeue(
	    o, rank, last_waiting(a, admission_other(class), rank));
}

/*
 * Remove a request of the same rank that starts later than @req since its
 * customer has used more; NULL if there is none.
 */
static struct waiting *
evict_from_customer(
    struct admission *a, const struct admission_request *req, uint32_t rank)
{
	const enum admission_class classes[] = {
	    req->class, admission_other(req->class)};
	struct lane *l;
	GList *victim;
	size_t i;

	if (!admission_fair_is_active(a->fair))
		return NULL;
	for (i = 0; i < G_N_ELEMENTS(classes); i++) {
		l = &a->lanes[classes[i]];
		victim = admission_fair_victim(a->fair, &l->waiting[rank], req,
		    admission_run_us(
			a, admission_priority_of(req), req->class));
		if (victim != NULL)
			return admission_dequeue(l, rank, victim);
	}
	return NULL;
}

/*
 * Queue limit for a rank.  Late requests may use more of the queue, and are
 * evicted when a request in time needs the space.
 */
static uint32_t
queue_max(const struct admission *a, uint32_t rank, uint64_t now_ms)
{
	bool late = rank % 2 == 1;

	if (late && !admission_overload_persists(a, now_ms))
		return a->cfg.queue_max * (1 + LATE_QUEUE_FACTOR);
	return a->cfg.queue_max;
}

/* Make room in the queue by evicting a request that ranks lower. */
static bool
make_room(
    struct admission *a, const struct admission_request *req, uint64_t now_ms)
{
	uint32_t rank = admission_rank_of(a, req, now_ms);
	struct admission_result evicted;
	struct waiting *w;

	if (admission_queued(a) < queue_max(a, rank, now_ms))
		return true;
	w = evict_lowest(a, rank);
	if (w == NULL)
		w = evict_from_customer(a, req, rank);
	if (w == NULL)
		w = evict_from_other_class(a, req->class, rank);
	if (w == NULL)
		return false;
	admission_refuse(a, &w->req, REFUSAL_QUEUE_FULL, now_ms, &evicted);
	g_array_append_val(a->refused, evicted);
	g_free(w);
	return true;
}

static void
enqueue(struct admission *a, const struct admission_request *req,
    uint64_t now_ms, struct admission_result *out)
{
	struct waiting *w;

	w = g_new(struct waiting, 1);
	w->req = *req;
	w->arrived_ms = now_ms;
	w->expires_ms = MIN(req->deadline_ms,
	    now_ms + admission_allowed_wait_ms(a, req, now_ms));
	admission_enqueue(
	    &a->lanes[req->class], admission_rank_of(a, req, now_ms), w);
	out->verdict = ADMISSION_QUEUE;
	out->ticket = req->ticket;
	out->refusal = REFUSAL_NONE;
	out->retry_after_ms = 0;
}

void
admission_offer(struct admission *a, const struct admission_request *req,
    uint64_t now_ms, struct admission_result *out)
{
	a->now_ms = MAX(a->now_ms, now_ms);
	admission_fair_offered(a->fair, req, now_ms);
	admission_urgent_offered(
	    a, req, admission_expected_run_ms(a, req), now_ms);
	if (a->draining)
		admission_refuse(a, req, REFUSAL_DRAINING, now_ms, out);
	else if (now_ms >= req->deadline_ms)
		admission_refuse(a, req, REFUSAL_EXPIRED, now_ms, out);
	else if (admission_may_start(a, now_ms) && admission_queued(a) == 0 &&
	    admission_urgent_allows(a, admission_priority_of(req), req->class))
		admission_start(a, req, now_ms, out);
	else if (!admission_starts_in_time(a, req, now_ms))
		admission_refuse(a, req, REFUSAL_WAIT, now_ms, out);
	else if (!make_room(a, req, now_ms))
		admission_refuse(a, req, REFUSAL_QUEUE_FULL, now_ms, out);
	else
		enqueue(a, req, now_ms, out);
}

static GList *
find_waiting(const GQueue *q, uint64_t ticket)
{
	const struct waiting *w;
	GList *l;

	for (l = q->head; l != NULL; l = l->next) {
		w = l->data;
		if (w->req.ticket == ticket)
			return l;
	}
	return NULL;
}

static bool
cancel_in(struct lane *lane, uint64_t ticket)
{
	uint32_t rank, ranks = lane->ranks;
	GList *l;

	while (ranks != 0) {
		rank = admission_first_rank(ranks);
		ranks = admission_without_rank(ranks, rank);
		l = find_waiting(&lane->waiting[rank], ticket);
		if (l == NULL)
			continue;
		g_free(admission_dequeue(lane, rank, l));
		return true;
	}
	return false;
}

bool
admission_cancel(struct admission *a, uint64_t ticket)
{
	return cancel_in(&a->lanes[ADMISSION_LOOKUP], ticket) ||
	    cancel_in(&a->lanes[ADMISSION_BOOKING], ticket);
}

static void
drain_lane(struct admission *a, struct lane *lane, uint32_t rank)
{
	struct admission_result evicted;
	struct waiting *w;

	while (lane->waiting[rank].head != NULL) {
		w = admission_dequeue(lane, rank, lane->waiting[rank].head);
		admission_refuse(
		    a, &w->req, REFUSAL_DRAINING, w->arrived_ms, &evicted);
		g_array_append_val(a->refused, evicted);
		g_free(w);
	}
}

void
admission_drain(struct admission *a)
{
	uint32_t rank;
	int i;

	a->draining = true;
	for (i = 0; i < ADMISSION_CLASSES; i++)
		for (rank = 0; rank < RANKS; rank++)
			drain_lane(a, &a->lanes[i], rank);
}

void
admission_undrain(struct admission *a)
{
	a->draining = false;
}

void
admission_load(const struct admission *a, struct load_report *out)
{
	const struct upstream_limit *l = &a->upstream_limit;

	memset(out, 0, sizeof(*out));
	out->in_flight = admission_in_slots(a);
	out->queued = admission_queued(a);
	out->slots = admission_slots(a);
	out->work_ms = (uint32_t)MIN(admission_work_ms(a), UINT32_MAX);
	out->limit_milli_per_s = l->milli_per_s;
	out->limit_wait_ms =
	    upstream_limit_wait_ms(l, admission_queued(a), a->now_ms);
}
