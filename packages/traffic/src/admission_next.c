/*
 * What the slots of an endpoint are given to next, and who has waited too
 * long.
 */
#include "base/clock.h"

#include "admission_defs.h"

/* Each such start goes to the lowest rank that waits, so that none starves. */
#define LOWEST_EVERY 10

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
	struct waiting *w;
	uint32_t rank;
	GList *l;

	for (rank = 0; rank < RANKS; rank++) {
		l = find_expired(&lane->waiting[rank], now_ms);
		if (l == NULL)
			continue;
		w = admission_take_out(lane, rank, l);
		admission_refuse(a, &w->req,
		    w->req.deadline_ms <= now_ms ? REFUSAL_EXPIRED
						 : REFUSAL_WAIT,
		    now_ms, out);
		g_free(w);
		return true;
	}
	return false;
}

/* The rank that gets the free slot: the highest, at times the lowest. */
static uint32_t
next_rank(const struct admission *a)
{
	bool lowest = (a->starts + 1) % LOWEST_EVERY == 0;
	uint32_t i, rank;

	for (i = 0; i < RANKS; i++) {
		rank = lowest ? RANKS - 1 - i : i;
		if (a->lanes[ADMISSION_LOOKUP].waiting[rank].length +
			a->lanes[ADMISSION_BOOKING].waiting[rank].length >
		    0)
			return rank;
	}
	return 0;
}

/* Whether lookups (rather than bookings) of a rank get the free slot. */
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
	    admission_share(a, ADMISSION_BOOKING, PERCENT);
	bookings_use = (uint64_t)bookings->in_slots *
	    admission_share(a, ADMISSION_LOOKUP, PERCENT);
	return lookups_use <= bookings_use ? ADMISSION_LOOKUP
					   : ADMISSION_BOOKING;
}

static GList *
next_in_order(const struct admission *a, const GQueue *q, uint64_t now_ms)
{
	const struct waiting *oldest = q->head->data;

	if (a->cfg.newest_first && oldest->req.target_ms == 0 &&
	    now_ms - oldest->arrived_ms > a->cfg.queue_wait_ms / 2)
		return q->tail;
	return q->head;
}

static bool
next_started(struct admission *a, uint64_t now_ms, struct admission_result *out)
{
	uint32_t rank = next_rank(a);
	struct waiting *w;
	struct lane *lane;

	if (a->draining || admission_queued(a) == 0 ||
	    admission_in_slots(a) >= admission_slots(a))
		return false;
	lane = &a->lanes[next_class(a, rank)];
	w = admission_take_out(
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

uint64_t
admission_wake_ms(const struct admission *a)
{
	uint64_t wake = DEADLINE_NEVER, first;
	uint32_t rank;
	int i;

	for (i = 0; i < ADMISSION_CLASSES; i++) {
		for (rank = 0; rank < RANKS; rank++) {
			first = first_expiry_ms(&a->lanes[i].waiting[rank]);
			wake = MIN(wake, first);
		}
	}
	return wake;
}
