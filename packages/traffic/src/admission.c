/*
 * Slots and the queue of one endpoint.
 *
 * Requests wait by rank: by priority, and within one those that can still make
 * their target first.  Within a rank each class has its own queue: a class
 * below its share of the slots goes first; a class that uses the other's share
 * of the queue gives it back when the other needs it.
 */
#include "base/clock.h"

#include "admission_defs.h"

#define RETRY_AFTER_LEAST_MS 50
/* Wait that is allowed to any request, so that a short burst is smoothed. */
#define LEAST_WAIT_MS 30
/* Starts and refusals are counted over this time, for the time to come back. */
#define PRESSURE_MS 1000

/*
 * Who is late for its target may wait for the end of a rush, behind all that
 * is in time, up to its deadline: it has come back already, and refused it
 * would end unserved.  Bursts, cold starts and restarts last 2 to 5 s; what
 * lasts longer is a lack of upstreams, where waiting helps nobody.
 * Five days of the robot cells with three seeds each: in 100 requests 5.2
 * instead of 5.5 were refused, on the days without a lasting lack 3.1
 * instead of 3.5; where a service lost two of three upstreams for 35 s the
 * day was worth 0.365 without the bound, 0.390 with it.
 */
#define RUSH_MS 5000
/*
 * Where one class runs over twice as long as the other of its priority, it
 * keeps this share only.  The short ones are mostly calls that other upstreams
 * make while they run a request: 20 to 60 ms against bookings of 120 to 290,
 * and each that is refused wastes the run that made it.  A slot's time serves
 * five of them or one booking.
 */
#define LONGER_TIMES 2
#define LONGER_PERCENT 20
/* So many times the queue of those in time may wait late. */
#define LATE_QUEUES 3

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
	a->limit = UINT64_MAX;
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

uint32_t
admission_queued(const struct admission *a)
{
	return a->lanes[ADMISSION_LOOKUP].n_waiting +
	    a->lanes[ADMISSION_BOOKING].n_waiting;
}

uint32_t
admission_priority_of(const struct admission_request *req)
{
	return MIN(req->priority, ADMISSION_PRIORITIES - 1);
}

/*
 * How long a request runs, by what was timed of its kind.  Nothing is held
 * against one of a kind that never was: refused for the time that others of
 * its class take, it would never be.
 */
static uint64_t
run_ms_of(const struct admission *a, const struct admission_request *req)
{
	if (a->lanes[req->class].run_us[admission_priority_of(req)] == 0)
		return 0;
	return admission_run_us(a, admission_priority_of(req), req->class) /
	    US_PER_MS;
}

/* Whether it can no longer be answered by its target. */
static bool
is_late(const struct admission *a, const struct admission_request *req,
    uint64_t now_ms)
{
	uint64_t run_ms = run_ms_of(a, req);

	return req->target_ms != 0 && now_ms + run_ms > req->target_ms;
}

static uint32_t
rank_of(const struct admission *a, const struct admission_request *req,
    uint64_t now_ms)
{
	return 2 * admission_priority_of(req) +
	    (is_late(a, req, now_ms) ? 1 : 0);
}

/* Time in slots of what waits at a rank. */
static uint64_t
work_us(const struct admission *a, uint32_t rank)
{
	uint64_t us = 0;
	int i;

	for (i = 0; i < ADMISSION_CLASSES; i++)
		us += a->lanes[i].waiting[rank].length *
		    admission_run_us(a, rank / 2, (enum admission_class)i);
	return us;
}

static void
note_shortage(struct admission *a, uint64_t now_ms)
{
	if (now_ms >= a->short_until_ms)
		a->short_since_ms = now_ms;
	a->short_until_ms = now_ms + PRESSURE_MS;
}

/* Whether requests have been refused for longer than a rush lasts. */
static bool
lacks_room(const struct admission *a, uint64_t now_ms)
{
	return now_ms < a->short_until_ms &&
	    now_ms > a->short_since_ms + RUSH_MS;
}

static void
turn_pressure(struct admission *a, uint64_t now_ms)
{
	struct pressure *p = &a->pressure;

	if (now_ms < p->until_ms)
		return;
	p->started[1] = now_ms < p->until_ms + PRESSURE_MS ? p->started[0] : 0;
	p->refused[1] = now_ms < p->until_ms + PRESSURE_MS ? p->refused[0] : 0;
	p->started[0] = 0;
	p->refused[0] = 0;
	p->until_ms = now_ms + PRESSURE_MS;
}

/* Whether requests of a class run so much longer than the other's. */
static bool
runs_longer(const struct admission *a, uint32_t priority,
    enum admission_class class, enum admission_class than)
{
	return admission_run_us(a, priority, class) >
	    LONGER_TIMES * admission_run_us(a, priority, than) &&
	    admission_run_us(a, priority, than) > 0;
}

static uint32_t
booking_percent(const struct admission *a, uint32_t priority)
{
	uint32_t percent = MIN(a->cfg.booking_percent, PERCENT);

	if (runs_longer(a, priority, ADMISSION_BOOKING, ADMISSION_LOOKUP))
		return MIN(percent, LONGER_PERCENT);
	if (runs_longer(a, priority, ADMISSION_LOOKUP, ADMISSION_BOOKING))
		return MAX(percent, PERCENT - LONGER_PERCENT);
	return percent;
}

/* Both shares add up to the whole. */
uint32_t
admission_share(const struct admission *a, uint32_t priority,
    enum admission_class class, uint32_t whole)
{
	uint32_t bookings;

	bookings = whole * booking_percent(a, priority) / PERCENT;
	return class == ADMISSION_BOOKING ? bookings : whole - bookings;
}

static enum admission_class other(enum admission_class class)
{
	return class == ADMISSION_LOOKUP ? ADMISSION_BOOKING : ADMISSION_LOOKUP;
}

/* Slots that the class gets while the other's demand is as it is now. */
static uint32_t
slots_within_reach(
    const struct admission *a, uint32_t priority, enum admission_class class)
{
	const struct lane *o = &a->lanes[other(class)];
	uint32_t taken, kept;

	taken = MIN(o->in_slots + o->n_waiting,
	    admission_share(a, priority, other(class), admission_slots(a)));
	kept = admission_slots(a) - taken;
	return MAX(kept, 1);
}

/* Requests of a queue that go before one with a target. */
static uint32_t
ahead_of(const GQueue *q, uint64_t target_ms)
{
	const struct waiting *w;
	uint32_t n = 0;
	GList *l;

	for (l = q->head; l != NULL; l = l->next, n++) {
		w = l->data;
		if (target_ms != 0 && w->req.target_ms > target_ms)
			break;
	}
	return n;
}

static uint64_t
expected_wait_ms(const struct admission *a, const struct admission_request *req,
    uint32_t rank)
{
	const GQueue *q = &a->lanes[req->class].waiting[rank];
	uint64_t us = 0;
	uint32_t r;

	for (r = 0; r < rank; r++)
		us += work_us(a, r);
	us += (ahead_of(q, req->target_ms) + UINT64_C(1)) *
	    admission_run_us(a, rank / 2, req->class);
	return us / slots_within_reach(a, rank / 2, req->class) / US_PER_MS;
}

/*
 * When there is room: once those ahead have run, and for as many more rounds
 * as others were refused for each that was started, since they return too.
 */
uint64_t
admission_room_ms(const struct admission *a,
    const struct admission_request *req, uint32_t rank)
{
	const struct pressure *p = &a->pressure;
	uint64_t started = p->started[0] + p->started[1];
	uint64_t refused = p->refused[0] + p->refused[1];
	uint64_t wait = expected_wait_ms(a, req, rank);

	if (started > 0)
		wait += wait * refused / started;
	return MAX(wait, RETRY_AFTER_LEAST_MS);
}

void
admission_refuse(struct admission *a, const struct admission_request *req,
    enum refusal refusal, uint64_t now_ms, struct admission_result *out)
{
	turn_pressure(a, now_ms);
	note_shortage(a, now_ms);
	a->pressure.refused[0]++;
	out->verdict = ADMISSION_REFUSE;
	out->ticket = req->ticket;
	out->refusal = refusal;
	out->retry_after_ms =
	    admission_room_ms(a, req, rank_of(a, req, now_ms));
}

void
admission_start(struct admission *a, const struct admission_request *req,
    uint64_t now_ms, struct admission_result *out)
{
	const struct running run = {req->ticket, now_ms};

	turn_pressure(a, now_ms);
	a->pressure.started[0]++;
	g_array_append_val(a->running, run);
	a->lanes[req->class].in_slots++;
	out->verdict = ADMISSION_START;
	out->ticket = req->ticket;
	out->refusal = REFUSAL_NONE;
	out->retry_after_ms = 0;
}

struct waiting *
admission_take_out(struct lane *l, uint32_t rank, GList *link)
{
	struct waiting *w = link->data;

	g_queue_delete_link(&l->waiting[rank], link);
	l->n_waiting--;
	return w;
}

/* The newest of the lowest rank below @rank; NULL when there is none. */
static struct waiting *
take_lowest(struct admission *a, uint32_t rank)
{
	uint32_t r;
	int i;

	for (r = RANKS - 1; r > rank; r--)
		for (i = 0; i < ADMISSION_CLASSES; i++)
			if (a->lanes[i].waiting[r].tail != NULL)
				return admission_take_out(&a->lanes[i], r,
				    a->lanes[i].waiting[r].tail);
	return NULL;
}

/* The newest of the class that uses more than its share, of the same rank. */
static struct waiting *
take_from_other(struct admission *a, enum admission_class class, uint32_t rank)
{
	struct lane *o = &a->lanes[other(class)];

	if (a->lanes[class].n_waiting >=
		admission_share(a, rank / 2, class, a->cfg.queue_max) ||
	    o->waiting[rank].tail == NULL)
		return NULL;
	return admission_take_out(o, rank, o->waiting[rank].tail);
}

/* Places in the queue for a rank.  Those that are late may use more of them,
 * and give them back when somebody in time wants one. */
static uint32_t
queue_max(const struct admission *a, uint32_t rank, uint64_t now_ms)
{
	bool late = rank % 2 == 1;

	if (late && !lacks_room(a, now_ms))
		return a->cfg.queue_max * (1 + LATE_QUEUES);
	return a->cfg.queue_max;
}

/* Puts out somebody whose place this one may have. */
static bool
make_room(
    struct admission *a, const struct admission_request *req, uint64_t now_ms)
{
	uint32_t rank = rank_of(a, req, now_ms);
	struct admission_result gone;
	struct waiting *w;

	if (admission_queued(a) < queue_max(a, rank, now_ms))
		return true;
	w = take_lowest(a, rank);
	if (w == NULL)
		w = take_from_other(a, req->class, rank);
	if (w == NULL)
		return false;
	admission_refuse(a, &w->req, REFUSAL_QUEUE_FULL, now_ms, &gone);
	g_array_append_val(a->refused, gone);
	g_free(w);
	return true;
}

/* Longest wait that makes sense: until the target, less the time to run; of
 * one that is late for it, until its deadline. */
static uint64_t
allowed_wait_ms(const struct admission *a, const struct admission_request *req,
    uint64_t now_ms)
{
	uint64_t run_ms = run_ms_of(a, req);
	uint64_t wait_ms, left_ms;

	if (req->target_ms == 0)
		return a->cfg.queue_wait_ms;
	if (!is_late(a, req, now_ms)) {
		wait_ms = req->target_ms - now_ms - run_ms;
		return MAX(wait_ms, LEAST_WAIT_MS);
	}
	if (lacks_room(a, now_ms))
		return a->cfg.queue_wait_ms;
	left_ms = clock_left_ms(req->deadline_ms, now_ms);
	return left_ms - MIN(run_ms, left_ms);
}

static bool
starts_in_time(const struct admission *a, const struct admission_request *req,
    uint64_t now_ms)
{
	uint64_t wait, run;

	if (!a->cfg.refuse_early)
		return true;
	wait = expected_wait_ms(a, req, rank_of(a, req, now_ms));
	run = run_ms_of(a, req);
	return wait <= allowed_wait_ms(a, req, now_ms) &&
	    wait + run <= clock_left_ms(req->deadline_ms, now_ms);
}

static void
enqueue(struct admission *a, const struct admission_request *req,
    uint64_t now_ms, struct admission_result *out)
{
	struct waiting *w;
	GQueue *q;

	w = g_new(struct waiting, 1);
	w->req = *req;
	w->arrived_ms = now_ms;
	w->expires_ms =
	    MIN(req->deadline_ms, now_ms + allowed_wait_ms(a, req, now_ms));
	q = &a->lanes[req->class].waiting[rank_of(a, req, now_ms)];
	g_queue_push_nth(q, w, (gint)ahead_of(q, req->target_ms));
	a->lanes[req->class].n_waiting++;
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
	if (a->draining)
		admission_refuse(a, req, REFUSAL_DRAINING, now_ms, out);
	else if (now_ms >= req->deadline_ms)
		admission_refuse(a, req, REFUSAL_EXPIRED, now_ms, out);
	else if (admission_in_slots(a) < admission_slots(a) &&
	    admission_queued(a) == 0)
		admission_start(a, req, now_ms, out);
	else if (!starts_in_time(a, req, now_ms))
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

bool
admission_cancel(struct admission *a, uint64_t ticket)
{
	uint32_t rank;
	GList *l;
	int i;

	for (i = 0; i < ADMISSION_CLASSES; i++) {
		for (rank = 0; rank < RANKS; rank++) {
			l = find_waiting(&a->lanes[i].waiting[rank], ticket);
			if (l == NULL)
				continue;
			g_free(admission_take_out(&a->lanes[i], rank, l));
			return true;
		}
	}
	return false;
}

static void
drain_lane(struct admission *a, struct lane *lane, uint32_t rank)
{
	struct admission_result gone;
	struct waiting *w;

	while (lane->waiting[rank].head != NULL) {
		w = admission_take_out(lane, rank, lane->waiting[rank].head);
		admission_refuse(
		    a, &w->req, REFUSAL_DRAINING, w->arrived_ms, &gone);
		g_array_append_val(a->refused, gone);
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
	out->in_flight = admission_in_slots(a);
	out->queued = admission_queued(a);
	out->slots = admission_slots(a);
}
