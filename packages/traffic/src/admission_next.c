/*
 * Selection of the next request to start, and expiry of queued requests.
 */
#include "base/clock.h"

#include "admission_defs.h"

/*
 * This share of the slot time goes to the lowest waiting rank, so that no rank
 * starves.  A share of the starts would be more than that where the lowest
 * rank's requests are longer: with every tenth start, reads of 880 ms took
 * half of the slots from calls of 55 ms, of which a third were refused.
 */
#define LOWEST_RANK_PERCENT 10

/* Limit of the lowest rank's credit, in requests of that rank. */
#define LOWEST_CREDIT_MAX 2

/* Assumed run time until a request of the kind has run. */
#define RUN_DEFAULT_US 1000

static bool
next_refused(struct admission *a, struct admission_result *out)
{
	if (a->next_refused == a->refused->len) {
		g_array_set_size(a->refused, 0);
		a->next_refused = 0;
		return false;
	}
	*out =
	    g_array_index(a->refused, struct admission_result, a->next_refused);
	a->next_refused++;
	return true;
}

static GList *
find_expired(const GQueue *q, uint64_t now_ms)
{
	const struct waiting *w;
	GList *l;

	for (l = q->head; l != NULL; l = l->next) {
		w = l->data;
		if (w->expires_ms <= now_ms)
			return l;
	}
	return NULL;
}

static bool
next_expired(struct admission *a, struct lane *lane, uint64_t now_ms,
    struct admission_result *out)
{
	uint32_t rank, ranks = lane->ranks;
	struct waiting *w;
	GList *l;

	while (ranks != 0) {
		rank = admission_first_rank(ranks);
		ranks = admission_without_rank(ranks, rank);
		l = find_expired(&lane->waiting[rank], now_ms);
		if (l == NULL)
			continue;
		w = admission_dequeue(lane, rank, l);
		admission_refuse(a, &w->req,
		    w->req.deadline_ms <= now_ms ? REFUSAL_EXPIRED
						 : REFUSAL_WAIT,
		    now_ms, out);
		g_free(w);
		return true;
	}
	return false;
}

/* Return: the class of a rank that gets the free slot. */
static enum admission_class
next_class(const struct admission *a, uint32_t rank)
{
	const struct lane *lookups = &a->lanes[ADMISSION_LOOKUP];
	const struct lane *bookings = &a->lanes[ADMISSION_BOOKING];
	uint64_t lookups_use, bookings_use;

	if (bookings->waiting[rank].length == 0)
		return ADMISSION_LOOKUP;
	if (lookups->waiting[rank].length == 0)
		return ADMISSION_BOOKING;
	lookups_use = (uint64_t)lookups->in_slots *
	    admission_share(
		a, admission_rank_priority(rank), ADMISSION_BOOKING, PERCENT);
	bookings_use = (uint64_t)bookings->in_slots *
	    admission_share(
		a, admission_rank_priority(rank), ADMISSION_LOOKUP, PERCENT);
	return lookups_use <= bookings_use ? ADMISSION_LOOKUP
					   : ADMISSION_BOOKING;
}

/* Expected slot time of the next request of a rank. */
static uint64_t
next_run_us(const struct admission *a, uint32_t rank)
{
	return MAX(admission_run_us(
		       a, admission_rank_priority(rank), next_class(a, rank)),
	    RUN_DEFAULT_US);
}

/* Whether a request that waits at a rank may take a slot. */
static bool
may_start_rank(const struct admission *a, uint32_t rank)
{
	return admission_urgent_allows(
	    a, admission_rank_priority(rank), next_class(a, rank));
}

/*
 * Return: the rank that gets the free slot: the highest waiting one, or the
 * lowest if its credit suffices; RANKS if none may start.
 */
static uint32_t
next_rank(const struct admission *a)
{
	uint32_t first, last, ranks = admission_ranks(a);

	first = admission_first_rank(ranks);
	while (first < RANKS && !may_start_rank(a, first)) {
		ranks = admission_without_rank(ranks, first);
		first = admission_first_rank(ranks);
	}
	if (first == RANKS)
		return RANKS;
	last = admission_last_rank(ranks);
	while (last > first && !may_start_rank(a, last)) {
		ranks = admission_without_rank(ranks, last);
		last = admission_last_rank(ranks);
	}
	return a->lowest_credit_us >= next_run_us(a, last) ? last : first;
}

/*
 * Charge a start of the lowest waiting rank to its credit, or add to the
 * credit for a start of a higher rank.
 */
static void
account_start(struct admission *a, uint32_t rank)
{
	uint64_t us = next_run_us(a, rank);
	uint32_t last = admission_last_rank(admission_ranks(a));

	if (last == rank)
		a->lowest_credit_us -= MIN(us, a->lowest_credit_us);
	else
		a->lowest_credit_us = MIN(
		    a->lowest_credit_us + us * LOWEST_RANK_PERCENT / PERCENT,
		    LOWEST_CREDIT_MAX * next_run_us(a, last));
}

static GList *
next_in_order(const struct admission *a, const GQueue *q, uint64_t now_ms)
{
	const struct waiting *oldest = q->head->data;

	if (admission_fair_is_active(a->fair))
		return admission_fair_first(a->fair, q);

	if (a->cfg.newest_first && oldest->req.target_ms == 0 &&
	    now_ms - oldest->arrived_ms > a->cfg.queue_wait_ms / 2)
		return q->tail;
	return q->head;
}

static bool
next_started(struct admission *a, uint64_t now_ms, struct admission_result *out)
{
	struct waiting *w;
	struct lane *lane;
	uint32_t rank;

	if (a->draining || admission_queued(a) == 0 ||
	    !admission_may_start(a, now_ms))
		return false;
	rank = next_rank(a);
	if (rank == RANKS)
		return false;
	account_start(a, rank);
	lane = &a->lanes[next_class(a, rank)];
	w = admission_dequeue(
	    lane, rank, next_in_order(a, &lane->waiting[rank], now_ms));
	admission_start(a, &w->req, now_ms, out);
	g_free(w);
	return true;
}

bool
admission_next(
    struct admission *a, uint64_t now_ms, struct admission_result *out)
{
	int i;

	a->now_ms = MAX(a->now_ms, now_ms);
	if (next_refused(a, out))
		return true;
	for (i = 0; i < ADMISSION_CLASSES; i++) {
		if (next_expired(a, &a->lanes[i], now_ms, out))
			return true;
	}
	return next_started(a, now_ms, out);
}

static uint64_t
first_expiry_ms(const GQueue *q)
{
	const struct waiting *w;
	uint64_t first = DEADLINE_NEVER;
	GList *l;

	for (l = q->head; l != NULL; l = l->next) {
		w = l->data;
		first = MIN(first, w->expires_ms);
	}
	return first;
}

static uint64_t
first_expiry_in_ms(const struct lane *lane)
{
	uint64_t first = DEADLINE_NEVER, expiry;
	uint32_t rank, ranks = lane->ranks;

	while (ranks != 0) {
		rank = admission_first_rank(ranks);
		ranks = admission_without_rank(ranks, rank);
		expiry = first_expiry_ms(&lane->waiting[rank]);
		first = MIN(first, expiry);
	}
	return first;
}

/* When the limit that the upstream names lets the next queued request start. */
static uint64_t
next_token_ms(const struct admission *a)
{
	uint64_t wait_ms =
	    upstream_limit_wait_ms(&a->upstream_limit, 0, a->now_ms);

	if (wait_ms == 0 || admission_queued(a) == 0)
		return DEADLINE_NEVER;
	return a->now_ms + wait_ms;
}

uint64_t
admission_wake_ms(const struct admission *a)
{
	uint64_t wake = next_token_ms(a), first;
	int i;

	for (i = 0; i < ADMISSION_CLASSES; i++) {
		first = first_expiry_in_ms(&a->lanes[i]);
		wake = MIN(wake, first);
	}
	return wake;
}
