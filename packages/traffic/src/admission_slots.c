/*
 * Estimates from running requests: how long each kind runs, how many requests
 * the upstream runs concurrently, and whether it refuses for load.
 */
#include "admission_defs.h"

#define MEAN_SHIFT 3
/*
 * Retry-After when an upstream refused with slots free: it accepts the next
 * request at once, so about one round trip to a caller.
 */
#define RETRY_SOON_MS 20
/* A refusal is for load only if at least this share of the slots was in use. */
#define OVERLOAD_MIN_PERCENT 75
/*
 * An upstream refuses for load at once: a request that has run this long was
 * accepted.
 */
#define ACCEPTED_AFTER_MS 10
/* Period of the observed concurrency. */
#define CONCURRENCY_PERIOD_MS 1000
/* Half-life of a measured run time, and the maximum number of halvings. */
#define RUN_HALF_LIFE_MS 500
#define RUN_HALVINGS_MAX 3

uint64_t
admission_run_us(
    const struct admission *a, uint32_t priority, enum admission_class class)
{
	const struct lane *l = &a->lanes[class];
	uint64_t halvings;

	if (l->run_us[priority] == 0)
		return l->mean_us;
	halvings = (a->now_ms - MIN(l->run_ms[priority], a->now_ms)) /
	    RUN_HALF_LIFE_MS;
	return l->run_us[priority] >> MIN(halvings, RUN_HALVINGS_MAX);
}

static void
update_mean(uint64_t *mean, uint64_t us)
{
	if (*mean == 0)
		*mean = us;
	else
		*mean += (us >> MEAN_SHIFT) - (*mean >> MEAN_SHIFT);
}

void
admission_record_run(struct admission *a, const struct admission_request *req,
    uint64_t ran_ms, uint64_t now_ms)
{
	struct lane *l = &a->lanes[req->class];

	a->now_ms = MAX(a->now_ms, now_ms);
	update_mean(&l->run_us[admission_priority_of(req)], ran_ms * US_PER_MS);
	l->run_ms[admission_priority_of(req)] = now_ms;
}

uint64_t
admission_mean_run_ms(
    const struct admission *a, const struct admission_request *req)
{
	const struct lane *l = &a->lanes[req->class];

	return l->run_us[admission_priority_of(req)] / US_PER_MS;
}

static void
release_slot(struct admission *a, uint64_t ticket, enum admission_class class)
{
	struct lane *l = &a->lanes[class];
	guint i;

	if (l->in_slots > 0)
		l->in_slots--;
	for (i = 0; i < a->running->len; i++)
		if (g_array_index(a->running, struct running, i).ticket ==
		    ticket)
			break;
	if (i < a->running->len)
		g_array_remove_index(a->running, i);
}

/* Number of requests that the upstream has evidently accepted. */
uint32_t
admission_accepted(const struct admission *a, uint64_t now_ms)
{
	guint n = a->running->len;

	while (n > 0 &&
	    g_array_index(a->running, struct running, n - 1).started_ms +
		    ACCEPTED_AFTER_MS >
		now_ms)
		n--;
	return n;
}

static void
record_concurrency(struct admission *a, uint32_t n, uint64_t now_ms)
{
	struct concurrency *c = &a->concurrency;

	if (now_ms >= c->until_ms) {
		c->peak[1] = now_ms < c->until_ms + CONCURRENCY_PERIOD_MS
		    ? c->peak[0]
		    : 0;
		c->peak[0] = 0;
		c->until_ms = now_ms + CONCURRENCY_PERIOD_MS;
	}
	c->peak[0] = MAX(c->peak[0], n);
}

void
admission_finished(struct admission *a, uint64_t ticket,
    enum admission_class class, uint64_t ran_ms, uint64_t now_ms)
{
	struct lane *l = &a->lanes[class];

	record_concurrency(a, admission_accepted(a, now_ms), now_ms);
	release_slot(a, ticket, class);
	update_mean(&l->mean_us, ran_ms * US_PER_MS);
	a->limit += (uint64_t)LIMIT_UNIT * LIMIT_UNIT / a->limit;
	a->limit = MIN(a->limit, (uint64_t)a->cfg.slots * LIMIT_UNIT);
}

/* Whether the upstream refuses because of its load. */
static bool
is_overloaded(const struct admission *a, uint32_t accepted)
{
	const struct concurrency *c = &a->concurrency;

	return admission_in_slots(a) * PERCENT >=
	    admission_slots(a) * (uint64_t)OVERLOAD_MIN_PERCENT &&
	    accepted >= MAX(c->peak[0], c->peak[1]);
}

uint64_t
admission_shed(struct admission *a, uint64_t ticket, enum admission_class class,
    uint64_t now_ms)
{
	const struct admission_request any = {.class = class};
	uint32_t accepted = admission_accepted(a, now_ms);
	uint64_t left;
	bool overloaded;

	record_concurrency(a, accepted, now_ms);
	overloaded = is_overloaded(a, accepted);
	release_slot(a, ticket, class);
	if (!overloaded)
		return RETRY_SOON_MS;
	left = MAX(admission_in_slots(a), 1);
	if (a->cfg.adapt_slots)
		a->limit = MIN(a->limit, left * LIMIT_UNIT);
	return admission_retry_after_ms(a, &any, 0);
}
