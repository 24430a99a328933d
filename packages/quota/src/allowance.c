/*
 * Credit at an entry.
 */
#include "quota/allowance.h"

#include <math.h>

#include <glib.h>

#include "base/clock.h"
#include "base/hash.h"

/* A request without credit is reported after this time, together with those
 * that follow it. */
#define BATCH_MS 2

/* Interval of reports while credit is used up, and of reports that only show
 * that the entry is connected. */
#define REPORT_MS 100
#define LIFE_MS 400

/* Credit covers the demand of this time, which spans a report and a reply that
 * is late. */
#define AHEAD_S 0.3

/* While a customer is limited, credit is asked for the requests of this time.
 */
#define LIMITED_S 0.12

/* Credit lapses this long after the report that it answers. */
#define CREDIT_MS 400

/* Longest time for which requests are refused without another report. */
#define LIMITED_MS 250

/* A home that has tokens again within this time is asked again instead of
 * refusing the requests that wait. */
#define SHORT_WAIT_MS 40

/* Less credit than this is not asked in advance. */
#define AHEAD_MIN 0.7

/* Time constant of the demand. */
#define DEMAND_MS 1000.0

/* Accounts without arrivals for this time are dropped. */
#define IDLE_MS 10000

#define MS_PER_S 1000.0
#define LOTS 4

/**
 * struct lot - credit of one grant
 * @credit: requests that may be admitted
 * @expires_ms: monotonic time at which it lapses
 */
struct lot {
	uint32_t credit;
	uint64_t expires_ms;
};

/**
 * struct account - a customer at this entry
 * @customer: number of the customer
 * @limit: limit by which the credit was granted
 * @lots: credit, in the order in which it lapses
 * @n_lots: number of @lots
 * @waiting: requests that wait for credit
 * @demand: arrivals, decayed by DEMAND_MS
 * @demand_ms: monotonic time of @demand
 * @arrived: arrivals since the last report
 * @returned: credit to be returned in the next report
 * @limited_until_ms: requests without credit are refused until then
 * @wait_ms: time until credit is expected, by the last reply
 * @was_limited: the last reply granted less than was wanted
 * @refused: number of refusals, spreads the times to retry
 * @reported: the last report holds a demand of this customer
 */
struct account {
	uint64_t customer;
	struct quota_limit limit;
	struct lot lots[LOTS];
	uint32_t n_lots;
	uint32_t waiting;
	double demand;
	uint64_t demand_ms;
	uint32_t arrived;
	uint32_t returned;
	uint64_t limited_until_ms;
	uint32_t wait_ms;
	bool was_limited;
	uint64_t refused;
	bool reported;
};

/**
 * struct quota_allowance - see quota/allowance.h
 * @seed: seed of the spread
 * @accounts: customer to struct account
 * @sent_ms: monotonic time of the last report
 * @unanswered: the last report has no reply yet
 * @due_ms: monotonic time of the next report
 */
struct quota_allowance {
	uint64_t seed;
	GHashTable *accounts;
	uint64_t sent_ms;
	bool unanswered;
	uint64_t due_ms;
};

struct quota_allowance *
quota_allowance_new(uint64_t seed)
{
	struct quota_allowance *q = g_new0(struct quota_allowance, 1);

	q->seed = seed;
	q->accounts =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return q;
}

void
quota_allowance_free(struct quota_allowance *q)
{
	if (q == NULL)
		return;
	g_hash_table_destroy(q->accounts);
	g_free(q);
}

static struct account *
find(const struct quota_allowance *q, uint64_t customer)
{
	return g_hash_table_lookup(q->accounts, &customer);
}

static bool
same_limit(const struct quota_limit *a, const struct quota_limit *b)
{
	return a->rate_milli_per_s == b->rate_milli_per_s &&
	    a->burst_milli == b->burst_milli;
}

/* Credit of another limit lapses and isn't returned. */
static struct account *
account_of(struct quota_allowance *q, const struct quota_limit *l)
{
	struct account *a = find(q, l->customer);

	if (a == NULL) {
		a = g_new0(struct account, 1);
		a->customer = l->customer;
		a->limit = *l;
		g_hash_table_insert(q->accounts, &a->customer, a);
	}
	if (!same_limit(&a->limit, l)) {
		a->limit = *l;
		a->n_lots = 0;
		a->returned = 0;
		a->limited_until_ms = 0;
		a->was_limited = false;
		a->reported = false;
	}
	return a;
}

static double
demand_at(const struct account *a, uint64_t now_ms)
{
	uint64_t passed_ms = now_ms - MIN(a->demand_ms, now_ms);

	return a->demand * exp(-(double)passed_ms / DEMAND_MS);
}

static void
count_arrival(struct account *a, uint64_t now_ms)
{
	a->demand = demand_at(a, now_ms) + 1;
	a->demand_ms = now_ms;
	a->arrived++;
}

/* Requests expected within @seconds. */
static double
expected(const struct account *a, double seconds, uint64_t now_ms)
{
	return demand_at(a, now_ms) * MS_PER_S / DEMAND_MS * seconds;
}

static uint32_t
held(const struct account *a)
{
	uint32_t i, credit = 0;

	for (i = 0; i < a->n_lots; i++)
		credit += a->lots[i].credit;
	return credit;
}

static void
drop_first_lot(struct account *a)
{
	uint32_t i;

	for (i = 1; i < a->n_lots; i++)
		a->lots[i - 1] = a->lots[i];
	a->n_lots--;
}

static void
expire(struct account *a, uint64_t now_ms)
{
	while (a->n_lots > 0 &&
	    (a->lots[0].expires_ms <= now_ms || a->lots[0].credit == 0)) {
		a->returned += a->lots[0].credit;
		drop_first_lot(a);
	}
}

static void
add_lot(struct account *a, uint32_t credit, uint64_t expires_ms)
{
	if (credit == 0)
		return;
	if (a->n_lots == LOTS) {
		a->lots[LOTS - 1].credit += credit;
		return;
	}
	a->lots[a->n_lots].credit = credit;
	a->lots[a->n_lots].expires_ms = expires_ms;
	a->n_lots++;
}

static bool
spend(struct account *a, uint64_t now_ms)
{
	expire(a, now_ms);
	if (a->n_lots == 0)
		return false;
	a->lots[0].credit--;
	expire(a, now_ms);
	return true;
}

static void
hasten(struct quota_allowance *q, uint64_t due_ms)
{
	q->due_ms = MIN(q->due_ms, due_ms);
}

/* Requests that are refused together don't come back together. */
static uint64_t
spread(struct quota_allowance *q, struct account *a, uint64_t now_ms)
{
	uint64_t wait_ms = MAX(a->wait_ms, 1);
	uint64_t random;

	a->refused++;
	random = hash64(&a->refused, sizeof(a->refused), q->seed ^ now_ms);
	return (wait_ms + 1) / 2 + random % (wait_ms + 1);
}

static enum quota_verdict
refuse(struct quota_allowance *q, struct account *a, uint64_t now_ms,
    uint64_t *retry_after_ms)
{
	*retry_after_ms = spread(q, a, now_ms);
	return QUOTA_REFUSE;
}

/* Credit is asked for again when half of it is used up. */
static void
plan_ahead(struct quota_allowance *q, struct account *a, uint64_t now_ms)
{
	double ahead = expected(a, AHEAD_S, now_ms);

	if (ahead >= AHEAD_MIN && held(a) < ahead / 2)
		hasten(q, MAX(q->sent_ms + REPORT_MS, now_ms));
}

enum quota_verdict
quota_allowance_take(struct quota_allowance *q, const struct quota_limit *l,
    uint64_t now_ms, uint64_t *retry_after_ms)
{
	struct account *a = account_of(q, l);

	count_arrival(a, now_ms);
	if (a->waiting == 0 && spend(a, now_ms)) {
		plan_ahead(q, a, now_ms);
		return QUOTA_ADMIT;
	}
	if (now_ms < a->limited_until_ms) {
		plan_ahead(q, a, now_ms);
		return refuse(q, a, now_ms, retry_after_ms);
	}
	a->waiting++;
	hasten(q, now_ms + BATCH_MS);
	return QUOTA_WAIT;
}

enum quota_verdict
quota_allowance_claim(struct quota_allowance *q, uint64_t customer,
    uint64_t now_ms, uint64_t *retry_after_ms)
{
	struct account *a = find(q, customer);

	if (a == NULL || a->waiting == 0)
		return QUOTA_WAIT;
	if (spend(a, now_ms)) {
		a->waiting--;
		return QUOTA_ADMIT;
	}
	if (now_ms < a->limited_until_ms) {
		a->waiting--;
		return refuse(q, a, now_ms, retry_after_ms);
	}
	return QUOTA_WAIT;
}

void
quota_allowance_leave(struct quota_allowance *q, uint64_t customer)
{
	struct account *a = find(q, customer);

	if (a != NULL && a->waiting > 0)
		a->waiting--;
}

void
quota_allowance_give_back(
    struct quota_allowance *q, uint64_t customer, uint64_t now_ms)
{
	struct account *a = find(q, customer);

	if (a == NULL)
		return;
	a->returned++;
	hasten(q, MAX(q->sent_ms + REPORT_MS, now_ms));
}

static uint32_t
missing(double expected_requests, uint32_t credit)
{
	uint32_t want = (uint32_t)ceil(expected_requests);

	return want > credit ? want - credit : 0;
}

static void
fill_demand(struct account *a, struct quota_demand *d, uint64_t now_ms)
{
	double ahead = expected(a, AHEAD_S, now_ms);
	double soon = expected(a, LIMITED_S, now_ms);
	uint32_t credit = held(a);

	d->customer = a->customer;
	d->arrived = a->arrived;
	d->returned = a->returned;
	d->wanted = a->waiting;
	d->ahead = 0;
	if (a->was_limited && soon >= AHEAD_MIN)
		d->wanted = MAX(d->wanted, missing(soon, credit));
	else if (!a->was_limited && ahead >= AHEAD_MIN)
		d->ahead = missing(ahead, credit);
}

static bool
is_idle(const struct account *a, uint64_t now_ms)
{
	return a->waiting == 0 && a->n_lots == 0 && a->returned == 0 &&
	    now_ms - MIN(a->demand_ms, now_ms) > IDLE_MS;
}

uint32_t
quota_allowance_report(struct quota_allowance *q, struct quota_demand *demands,
    uint32_t max, uint64_t now_ms)
{
	GHashTableIter it;
	struct account *a;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, q->accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&a)) {
		a->reported = false;
		expire(a, now_ms);
		if (is_idle(a, now_ms)) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		if (n == max)
			continue;
		fill_demand(a, &demands[n], now_ms);
		if (demands[n].wanted + demands[n].ahead + a->returned +
			a->arrived ==
		    0)
			continue;
		a->reported = true;
		a->arrived = 0;
		a->returned = 0;
		n++;
	}
	q->sent_ms = now_ms;
	q->unanswered = true;
	q->due_ms = now_ms + LIFE_MS;
	return n;
}

static void
apply(struct quota_allowance *q, struct account *a,
    const struct quota_credit *c, uint64_t now_ms)
{
	a->reported = false;
	a->was_limited = c->wait_ms > 0;
	a->wait_ms = c->wait_ms;
	add_lot(a, c->granted, q->sent_ms + CREDIT_MS);
	if (c->wait_ms == 0) {
		a->limited_until_ms = 0;
		return;
	}
	if (c->wait_ms <= SHORT_WAIT_MS)
		return;
	a->limited_until_ms = now_ms + MIN(c->wait_ms, LIMITED_MS);
	if (expected(a, LIMITED_S, now_ms) >= AHEAD_MIN)
		hasten(q, q->sent_ms + REPORT_MS);
}

/* Requests still wait after the reply: those that came after the report, and
 * those for which tokens accrue shortly. */
static void
plan_waiting(struct quota_allowance *q, uint64_t now_ms)
{
	GHashTableIter it;
	struct account *a;
	uint32_t wait_ms;

	g_hash_table_iter_init(&it, q->accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&a)) {
		if (a->waiting <= held(a) || now_ms < a->limited_until_ms)
			continue;
		wait_ms = a->was_limited ? MAX(a->wait_ms, BATCH_MS) : 0;
		hasten(q, now_ms + wait_ms);
	}
}

void
quota_allowance_granted(struct quota_allowance *q,
    const struct quota_credit *credits, uint32_t n, uint64_t now_ms)
{
	struct account *a;
	uint32_t i;

	q->unanswered = false;
	for (i = 0; i < n; i++) {
		a = find(q, credits[i].customer);
		if (a != NULL && a->reported)
			apply(q, a, &credits[i], now_ms);
	}
	plan_waiting(q, now_ms);
}

void
quota_allowance_lost(struct quota_allowance *q)
{
	GHashTableIter it;
	struct account *a;

	q->unanswered = false;
	q->due_ms = 0;
	g_hash_table_iter_init(&it, q->accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&a))
		a->reported = false;
}

uint64_t
quota_allowance_due_ms(const struct quota_allowance *q)
{
	return q->unanswered ? DEADLINE_NEVER : q->due_ms;
}

bool
quota_allowance_is_limited(
    const struct quota_allowance *q, uint64_t customer, uint64_t now_ms)
{
	const struct account *a = find(q, customer);

	return a != NULL && now_ms < a->limited_until_ms;
}
