/*
 * Slots and the queue of one endpoint.
 *
 * Each class has its own queue.  A class below its share of the slots goes
 * first; a class that uses the other's share of the queue gives it back when
 * the other needs it.
 */
#include "traffic/admission.h"

#include <glib.h>

#include "base/clock.h"

#define PERCENT 100
#define US_PER_MS 1000
#define MEAN_SHIFT 3
#define RETRY_AFTER_LEAST_MS 50
/* The limit on slots is counted in this many parts of a slot. */
#define LIMIT_UNIT 1024

struct waiting {
	struct admission_request req;
	uint64_t arrived_ms;
	uint64_t expires_ms;
};

struct lane {
	GQueue waiting;
	uint32_t in_slots;
	uint64_t mean_us;
};

struct admission {
	struct admission_config cfg;
	struct lane lanes[ADMISSION_CLASSES];
	uint64_t limit;
	GArray *refused;
	guint next_refused;
	bool draining;
};

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
	int i;

	a = g_new0(struct admission, 1);
	for (i = 0; i < ADMISSION_CLASSES; i++)
		g_queue_init(&a->lanes[i].waiting);
	a->refused = g_array_new(FALSE, FALSE, sizeof(struct admission_result));
	a->limit = UINT64_MAX;
	admission_configure(a, cfg);
	return a;
}

void
admission_free(struct admission *a)
{
	int i;

	if (a == NULL)
		return;
	for (i = 0; i < ADMISSION_CLASSES; i++)
		g_queue_clear_full(&a->lanes[i].waiting, g_free);
	g_array_free(a->refused, TRUE);
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

static uint32_t
slots(const struct admission *a)
{
	return (uint32_t)(a->limit / LIMIT_UNIT);
}

static uint32_t
in_slots(const struct admission *a)
{
	return a->lanes[ADMISSION_LOOKUP].in_slots +
	    a->lanes[ADMISSION_BOOKING].in_slots;
}

static uint32_t
queued(const struct admission *a)
{
	return a->lanes[ADMISSION_LOOKUP].waiting.length +
	    a->lanes[ADMISSION_BOOKING].waiting.length;
}

/* What a class keeps of a whole under overload; both shares add up to it. */
static uint32_t
share(const struct admission *a, enum admission_class class, uint32_t whole)
{
	uint32_t bookings;

	bookings = whole * MIN(a->cfg.booking_percent, PERCENT) / PERCENT;
	return class == ADMISSION_BOOKING ? bookings : whole - bookings;
}

static enum admission_class other(enum admission_class class)
{
	return class == ADMISSION_LOOKUP ? ADMISSION_BOOKING : ADMISSION_LOOKUP;
}

/* Slots that the class gets while the other's demand is as it is now. */
static uint32_t
slots_within_reach(const struct admission *a, enum admission_class class)
{
	const struct lane *o = &a->lanes[other(class)];
	uint32_t taken, kept;

	taken = MIN(
	    o->in_slots + o->waiting.length, share(a, other(class), slots(a)));
	kept = slots(a) - taken;
	return MAX(kept, 1);
}

static uint64_t
expected_wait_ms(const struct admission *a, enum admission_class class)
{
	const struct lane *l = &a->lanes[class];
	uint64_t ahead;

	ahead = l->waiting.length + 1;
	return ahead * l->mean_us / slots_within_reach(a, class) / US_PER_MS;
}

static void
refuse(const struct admission *a, const struct admission_request *req,
    enum refusal refusal, struct admission_result *out)
{
	uint64_t wait;

	wait = expected_wait_ms(a, req->class);
	out->verdict = ADMISSION_REFUSE;
	out->ticket = req->ticket;
	out->refusal = refusal;
	out->retry_after_ms = MAX(wait, RETRY_AFTER_LEAST_MS);
}

static void
start(struct admission *a, const struct admission_request *req,
    struct admission_result *out)
{
	a->lanes[req->class].in_slots++;
	out->verdict = ADMISSION_START;
	out->ticket = req->ticket;
	out->refusal = REFUSAL_NONE;
	out->retry_after_ms = 0;
}

/* Put out the newest of the class that uses more than its share. */
static bool
make_room(struct admission *a, enum admission_class class)
{
	struct admission_result gone;
	struct waiting *w;

	if (queued(a) < a->cfg.queue_max)
		return true;
	if (a->lanes[class].waiting.length >= share(a, class, a->cfg.queue_max))
		return false;
	w = g_queue_pop_tail(&a->lanes[other(class)].waiting);
	if (w == NULL)
		return false;
	refuse(a, &w->req, REFUSAL_QUEUE_FULL, &gone);
	g_array_append_val(a->refused, gone);
	g_free(w);
	return true;
}

static bool
starts_in_time(const struct admission *a, const struct admission_request *req,
    uint64_t now_ms)
{
	uint64_t wait, run;

	if (!a->cfg.refuse_early)
		return true;
	wait = expected_wait_ms(a, req->class);
	run = a->lanes[req->class].mean_us / US_PER_MS;
	return wait <= a->cfg.queue_wait_ms &&
	    wait + run <= clock_left_ms(req->deadline_ms, now_ms);
}

static void
enqueue(struct admission *a, const struct admission_request *req,
    uint64_t now_ms, struct admission_result *out)
{
	struct waiting *w;

	w = g_new(struct waiting, 1);
	w->req = *req;
	w->arrived_ms = now_ms;
	w->expires_ms = MIN(req->deadline_ms, now_ms + a->cfg.queue_wait_ms);
	g_queue_push_tail(&a->lanes[req->class].waiting, w);
	out->verdict = ADMISSION_QUEUE;
	out->ticket = req->ticket;
	out->refusal = REFUSAL_NONE;
	out->retry_after_ms = 0;
}

void
admission_offer(struct admission *a, const struct admission_request *req,
    uint64_t now_ms, struct admission_result *out)
{
	if (a->draining)
		refuse(a, req, REFUSAL_DRAINING, out);
	else if (now_ms >= req->deadline_ms)
		refuse(a, req, REFUSAL_EXPIRED, out);
	else if (in_slots(a) < slots(a) && queued(a) == 0)
		start(a, req, out);
	else if (!starts_in_time(a, req, now_ms))
		refuse(a, req, REFUSAL_WAIT, out);
	else if (!make_room(a, req->class))
		refuse(a, req, REFUSAL_QUEUE_FULL, out);
	else
		enqueue(a, req, now_ms, out);
}

static void
leave_slot(struct lane *l)
{
	if (l->in_slots > 0)
		l->in_slots--;
}

void
admission_finished(struct admission *a, enum admission_class class,
    uint64_t ran_ms, uint64_t now_ms)
{
	struct lane *l = &a->lanes[class];
	uint64_t us = ran_ms * US_PER_MS;

	(void)now_ms;
	leave_slot(l);
	if (l->mean_us == 0)
		l->mean_us = us;
	else
		l->mean_us += (us >> MEAN_SHIFT) - (l->mean_us >> MEAN_SHIFT);
	a->limit += (uint64_t)LIMIT_UNIT * LIMIT_UNIT / a->limit;
	a->limit = MIN(a->limit, (uint64_t)a->cfg.slots * LIMIT_UNIT);
}

void
admission_shed(struct admission *a, enum admission_class class, uint64_t now_ms)
{
	uint64_t taken;

	(void)now_ms;
	leave_slot(&a->lanes[class]);
	if (!a->cfg.adapt_slots)
		return;
	taken = MAX(in_slots(a), 1);
	a->limit = MIN(a->limit, taken * LIMIT_UNIT);
}

bool
admission_cancel(struct admission *a, uint64_t ticket)
{
	struct waiting *w;
	GList *l;
	int i;

	for (i = 0; i < ADMISSION_CLASSES; i++) {
		for (l = a->lanes[i].waiting.head; l != NULL; l = l->next) {
			w = l->data;
			if (w->req.ticket != ticket)
				continue;
			g_queue_delete_link(&a->lanes[i].waiting, l);
			g_free(w);
			return true;
		}
	}
	return false;
}

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

static bool
next_expired(struct admission *a, struct lane *lane, uint64_t now_ms,
    struct admission_result *out)
{
	struct waiting *w;
	GList *l;

	for (l = lane->waiting.head; l != NULL; l = l->next) {
		w = l->data;
		if (w->expires_ms > now_ms)
			continue;
		g_queue_delete_link(&lane->waiting, l);
		refuse(a, &w->req,
		    w->req.deadline_ms <= now_ms ? REFUSAL_EXPIRED
						 : REFUSAL_WAIT,
		    out);
		g_free(w);
		return true;
	}
	return false;
}

/* Whether lookups (rather than bookings) get the free slot. */
static enum admission_class
next_class(const struct admission *a)
{
	const struct lane *lookups = &a->lanes[ADMISSION_LOOKUP];
	const struct lane *bookings = &a->lanes[ADMISSION_BOOKING];
	uint64_t lookups_use, bookings_use;

	if (bookings->waiting.length == 0)
		return ADMISSION_LOOKUP;
	if (lookups->waiting.length == 0)
		return ADMISSION_BOOKING;
	lookups_use =
	    (uint64_t)lookups->in_slots * share(a, ADMISSION_BOOKING, PERCENT);
	bookings_use =
	    (uint64_t)bookings->in_slots * share(a, ADMISSION_LOOKUP, PERCENT);
	return lookups_use <= bookings_use ? ADMISSION_LOOKUP
					   : ADMISSION_BOOKING;
}

static GList *
next_in_order(const struct admission *a, const GQueue *q, uint64_t now_ms)
{
	const struct waiting *oldest = q->head->data;

	if (a->cfg.newest_first &&
	    now_ms - oldest->arrived_ms > a->cfg.queue_wait_ms / 2)
		return q->tail;
	return q->head;
}

static bool
next_started(struct admission *a, uint64_t now_ms, struct admission_result *out)
{
	struct waiting *w;
	GQueue *q;
	GList *l;

	if (a->draining || queued(a) == 0 || in_slots(a) >= slots(a))
		return false;
	q = &a->lanes[next_class(a)].waiting;
	l = next_in_order(a, q, now_ms);
	w = l->data;
	g_queue_delete_link(q, l);
	start(a, &w->req, out);
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

uint64_t
admission_wake_ms(const struct admission *a)
{
	const struct waiting *w;
	uint64_t wake = DEADLINE_NEVER;
	GList *l;
	int i;

	for (i = 0; i < ADMISSION_CLASSES; i++) {
		for (l = a->lanes[i].waiting.head; l != NULL; l = l->next) {
			w = l->data;
			wake = MIN(wake, w->expires_ms);
		}
	}
	return wake;
}

void
admission_drain(struct admission *a)
{
	struct admission_result gone;
	struct waiting *w;
	int i;

	a->draining = true;
	for (i = 0; i < ADMISSION_CLASSES; i++) {
		while ((w = g_queue_pop_head(&a->lanes[i].waiting)) != NULL) {
			refuse(a, &w->req, REFUSAL_DRAINING, &gone);
			g_array_append_val(a->refused, gone);
			g_free(w);
		}
	}
}

void
admission_undrain(struct admission *a)
{
	a->draining = false;
}

void
admission_load(const struct admission *a, struct load_report *out)
{
	out->in_flight = in_slots(a);
	out->queued = queued(a);
	out->slots = slots(a);
}
