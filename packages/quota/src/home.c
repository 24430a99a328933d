/*
 * Buckets of a home.
 *
 * Buckets run on the home's share time, which advances as a part of real time:
 * that of the entries that report here among all that are known.
 */
#include "quota/home.h"

#include <math.h>

#include <glib.h>

#include "quota/bucket.h"

#define MILLI 1000
#define US_PER_MS 1000
#define MS_PER_S 1000.0

/* Time constant of demand and grants. */
#define DEMAND_MS 1000.0

/* A lender keeps tokens for the demand of this time; a borrower asks for as
 * much. */
#define RESERVE_S 0.3

/* Requests of a burst, over all data centres, below which parts are rounded up.
 */
#define BURST_LEAST 12

/* Longest wait that is reported, also while fewer than half of the entries
 * report here, which changes soon. */
#define WAIT_MAX_MS 10000
#define WAIT_PARTIAL_MAX_MS 1000

/* Interval in which silent entries and idle accounts are looked for. */
#define SWEEP_MS 100

/* Accounts without demand for this time are dropped once they are full. */
#define IDLE_MS 10000

/* Demand below this number of requests a second is none. */
#define DEMAND_MIN 0.01

/**
 * struct source - an entry that reports to this home
 * @id: number of the entry
 * @reported_ms: monotonic time of its last report
 */
struct source {
	uint64_t id;
	uint64_t reported_ms;
};

/**
 * struct account - a customer at this home
 * @customer: number of the customer
 * @limit: its limit over all nodes
 * @bucket: tokens of this data centre, on share time
 * @demand: arrivals at this data centre's entries, decayed by DEMAND_MS
 * @granted: requests that were granted, decayed likewise
 * @changed_ms: monotonic time of @demand and @granted
 */
struct account {
	uint64_t customer;
	struct quota_limit limit;
	struct quota_bucket bucket;
	double demand;
	double granted;
	uint64_t changed_ms;
};

/**
 * struct quota_home - see quota/home.h
 * @data_centres: number of data centres
 * @entries: entries that are known
 * @estimated: @entries was estimated
 * @sources: id to struct source
 * @accounts: customer to struct account
 * @advanced_ms: monotonic time up to which @share_us has advanced
 * @share_us: share time
 * @since_ms: share time at which the buckets were empty
 * @sweep_ms: monotonic time of the next sweep
 */
struct quota_home {
	uint32_t data_centres;
	uint32_t entries;
	bool estimated;
	GHashTable *sources;
	GHashTable *accounts;
	uint64_t advanced_ms;
	uint64_t share_us;
	uint64_t since_ms;
	uint64_t sweep_ms;
};

struct quota_home *
quota_home_new(uint32_t data_centres, uint64_t now_ms)
{
	struct quota_home *h = g_new0(struct quota_home, 1);

	h->data_centres = MAX(data_centres, 1);
	h->sources =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	h->accounts =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	h->advanced_ms = now_ms;
	return h;
}

void
quota_home_free(struct quota_home *h)
{
	if (h == NULL)
		return;
	g_hash_table_destroy(h->sources);
	g_hash_table_destroy(h->accounts);
	g_free(h);
}

/* Share time */

static uint32_t
n_sources(const struct quota_home *h)
{
	return g_hash_table_size(h->sources);
}

static uint32_t
known_entries(const struct quota_home *h)
{
	return MAX(h->entries, n_sources(h));
}

/* Thousandths of the data centre's entries that report here; 0 while the number
 * of entries is unknown. */
static uint64_t
share_milli(const struct quota_home *h)
{
	if (h->entries == 0)
		return 0;
	return (uint64_t)n_sources(h) * MILLI / known_entries(h);
}

static uint64_t
share_ms(const struct quota_home *h)
{
	return h->share_us / US_PER_MS;
}

static void
empty(struct quota_home *h)
{
	g_hash_table_remove_all(h->accounts);
	h->since_ms = share_ms(h);
}

static void
drop_silent(struct quota_home *h, uint64_t now_ms)
{
	GHashTableIter it;
	struct source *s;

	g_hash_table_iter_init(&it, h->sources);
	while (g_hash_table_iter_next(&it, NULL, (void **)&s))
		if (now_ms >= s->reported_ms + QUOTA_ENTRY_SILENT_MS)
			g_hash_table_iter_remove(&it);
}

/* A full bucket is created again as a full one. */
static void
drop_idle(struct quota_home *h, uint64_t now_ms)
{
	GHashTableIter it;
	struct account *a;

	g_hash_table_iter_init(&it, h->accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&a))
		if (now_ms >= a->changed_ms + IDLE_MS &&
		    a->bucket.milli >= a->bucket.burst_milli)
			g_hash_table_iter_remove(&it);
}

/* A time without any event that is longer than entries may be silent is one in
 * which this process was suspended or no entry reported. */
static void
advance(struct quota_home *h, uint64_t now_ms)
{
	uint64_t passed_ms = now_ms - MIN(h->advanced_ms, now_ms);

	h->advanced_ms = MAX(h->advanced_ms, now_ms);
	if (passed_ms >= QUOTA_ENTRY_SILENT_MS) {
		g_hash_table_remove_all(h->sources);
		empty(h);
		return;
	}
	h->share_us += passed_ms * US_PER_MS * share_milli(h) / MILLI;
	if (now_ms < h->sweep_ms)
		return;
	h->sweep_ms = now_ms + SWEEP_MS;
	drop_silent(h, now_ms);
	drop_idle(h, now_ms);
	if (n_sources(h) == 0)
		empty(h);
}

static void
note_source(struct quota_home *h, uint64_t id, uint64_t now_ms)
{
	struct source *s = g_hash_table_lookup(h->sources, &id);

	if (s == NULL) {
		s = g_new0(struct source, 1);
		s->id = id;
		g_hash_table_insert(h->sources, &s->id, s);
	}
	s->reported_ms = now_ms;
}

uint32_t
quota_home_entries(const struct quota_home *h, uint64_t now_ms)
{
	if (now_ms >= h->advanced_ms + QUOTA_ENTRY_SILENT_MS)
		return 0;
	return n_sources(h);
}

/* Accounts */

static uint64_t
part(const struct quota_home *h, uint64_t whole)
{
	return whole / h->data_centres;
}

/* Parts of a small burst are rounded up to a few requests, without which tokens
 * of one data centre would be lost while requests come to another. */
static uint64_t
burst_of(const struct quota_home *h, const struct quota_limit *l)
{
	uint64_t least = MAX(BURST_LEAST / h->data_centres, 1) * MILLI;
	uint64_t burst = MAX(part(h, l->burst_milli), least);

	return MAX(burst * share_milli(h) / MILLI, MILLI);
}

static void
set_limit(struct quota_home *h, struct account *a, const struct quota_limit *l)
{
	a->limit = *l;
	quota_bucket_set(&a->bucket, part(h, l->rate_milli_per_s),
	    burst_of(h, l), share_ms(h));
}

static struct account *
account_of(struct quota_home *h, const struct quota_limit *l)
{
	struct account *a = g_hash_table_lookup(h->accounts, &l->customer);

	if (a == NULL) {
		a = g_new0(struct account, 1);
		a->customer = l->customer;
		quota_bucket_init(&a->bucket, part(h, l->rate_milli_per_s),
		    burst_of(h, l), h->since_ms);
		g_hash_table_insert(h->accounts, &a->customer, a);
	}
	set_limit(h, a, l);
	return a;
}

/* Number of entries */

/* Entries that were unknown have accrued tokens elsewhere; what accrued here
 * was too much. */
static void
take_back(struct quota_home *h, uint32_t before, uint32_t n)
{
	GHashTableIter it;
	struct account *a;

	g_hash_table_iter_init(&it, h->accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&a))
		a->bucket.milli = a->bucket.milli * before / n;
	h->since_ms = share_ms(h) - (share_ms(h) - h->since_ms) * before / n;
}

/* Entries that were counted and don't exist have accrued nothing elsewhere. The
 * bursts are raised first. */
static void
catch_up(struct quota_home *h, uint32_t before, uint32_t n)
{
	uint64_t accrued_us = h->share_us - h->since_ms * US_PER_MS;
	GHashTableIter it;
	struct account *a;

	g_hash_table_iter_init(&it, h->accounts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&a))
		set_limit(h, a, &a->limit);
	h->share_us += accrued_us * (before - n) / n;
}

static void
change_entries(struct quota_home *h, uint32_t n, uint64_t now_ms)
{
	uint32_t before;

	advance(h, now_ms);
	before = known_entries(h);
	h->entries = n;
	n = known_entries(h);
	if (n > before)
		take_back(h, before, n);
	else if (n > 0 && n < before && h->estimated)
		catch_up(h, before, n);
}

void
quota_home_set_entries(struct quota_home *h, uint32_t n, uint64_t now_ms)
{
	change_entries(h, n, now_ms);
	h->estimated = false;
}

void
quota_home_estimate_entries(struct quota_home *h, uint32_t n, uint64_t now_ms)
{
	change_entries(h, n, now_ms);
	h->estimated = true;
}

/* Demand */

static double
decayed(double value, uint64_t since_ms, uint64_t now_ms)
{
	uint64_t passed_ms = now_ms - MIN(since_ms, now_ms);

	return value * exp(-(double)passed_ms / DEMAND_MS);
}

static void
count(struct account *a, uint32_t arrived, uint32_t granted, uint64_t now_ms)
{
	a->demand = decayed(a->demand, a->changed_ms, now_ms) + arrived;
	a->granted = decayed(a->granted, a->changed_ms, now_ms) + granted;
	a->changed_ms = now_ms;
}

static double
demand_per_s(const struct account *a, uint64_t now_ms)
{
	return decayed(a->demand, a->changed_ms, now_ms) * MS_PER_S / DEMAND_MS;
}

/* Time until a request that is refused now may be admitted: those refused
 * shortly before it come back first. */
static uint32_t
wait_ms(const struct quota_home *h, const struct account *a, uint64_t now_ms)
{
	double per_ms = (double)a->bucket.rate_milli_per_s / MILLI / MS_PER_S *
	    (double)share_milli(h) / MILLI;
	double refused = MAX(a->demand - a->granted, 0);
	double missing = decayed(refused, a->changed_ms, now_ms);
	double most =
	    share_milli(h) < MILLI / 2 ? WAIT_PARTIAL_MAX_MS : WAIT_MAX_MS;
	double wait;

	if (per_ms <= 0)
		return (uint32_t)most;
	missing += 1 - (double)a->bucket.milli / MILLI;
	wait = ceil(missing / per_ms);
	return (uint32_t)CLAMP(wait, 1, most);
}

/* Grants */

/* Credit in advance leaves half of the burst to requests that need it now. */
static uint32_t
take_ahead(struct quota_home *h, struct account *a, uint32_t ahead)
{
	uint64_t spare, keep = a->bucket.burst_milli / 2;

	if (a->bucket.milli <= keep)
		return 0;
	spare = (a->bucket.milli - keep) / MILLI;
	return quota_bucket_take(
	    &a->bucket, (uint32_t)MIN(spare, ahead), share_ms(h));
}

static void
grant(struct quota_home *h, struct account *a, const struct quota_demand *d,
    struct quota_credit *c, uint64_t now_ms)
{
	uint32_t granted;

	if (d->returned > 0)
		quota_bucket_give(&a->bucket, d->returned, share_ms(h));
	granted = quota_bucket_take(&a->bucket, d->wanted, share_ms(h));
	count(a, d->arrived, granted, now_ms);
	if (granted < d->wanted)
		c->wait_ms = wait_ms(h, a, now_ms);
	else
		granted += take_ahead(h, a, d->ahead);
	c->granted = granted;
}

static void
lend(struct quota_home *h, struct account *a, const struct quota_demand *d,
    struct quota_credit *c, uint64_t now_ms)
{
	uint64_t keep = (uint64_t)(demand_per_s(a, now_ms) * RESERVE_S * MILLI);
	uint64_t spare;

	if (a->bucket.milli <= keep)
		return;
	spare = (a->bucket.milli - keep) / MILLI;
	c->granted = quota_bucket_take(
	    &a->bucket, (uint32_t)MIN(spare, d->wanted), share_ms(h));
}

void
quota_home_report(struct quota_home *h, const struct quota_source *from,
    const struct quota_demand *demands, const struct quota_limit *limits,
    uint32_t n, struct quota_credit *credits, uint64_t now_ms)
{
	const struct quota_demand *d;
	struct account *a;
	uint32_t i;

	advance(h, now_ms);
	if (!from->borrower)
		note_source(h, from->id, now_ms);
	for (i = 0; i < n; i++) {
		d = &demands[i];
		credits[i].customer = d->customer;
		credits[i].granted = d->wanted;
		credits[i].wait_ms = 0;
		if (limits[i].rate_milli_per_s == 0)
			continue;
		credits[i].granted = 0;
		a = account_of(h, &limits[i]);
		if (from->borrower)
			lend(h, a, d, &credits[i], now_ms);
		else
			grant(h, a, d, &credits[i], now_ms);
	}
}

/* Loans */

/* A home borrows what its demand needs beyond its own part, or a request when
 * it holds none. */
static uint32_t
needed(struct quota_home *h, struct account *a, uint64_t now_ms)
{
	double per_s = demand_per_s(a, now_ms);
	double own_per_s = (double)a->bucket.rate_milli_per_s / MILLI *
	    (double)share_milli(h) / MILLI;
	double beyond = per_s - own_per_s;
	double need;

	if (per_s < DEMAND_MIN)
		return 0;
	set_limit(h, a, &a->limit);
	need = beyond > 0 ? MAX(per_s * RESERVE_S, 1) : 1;
	need -= (double)a->bucket.milli / MILLI;
	return need > 0 ? (uint32_t)ceil(need) : 0;
}

uint32_t
quota_home_borrow(struct quota_home *h, struct quota_demand *demands,
    uint32_t max, uint64_t now_ms)
{
	GHashTableIter it;
	struct account *a;
	uint32_t n = 0, wanted;

	advance(h, now_ms);
	if (h->data_centres == 1 || n_sources(h) == 0)
		return 0;
	g_hash_table_iter_init(&it, h->accounts);
	while (n < max && g_hash_table_iter_next(&it, NULL, (void **)&a)) {
		wanted = needed(h, a, now_ms);
		if (wanted == 0)
			continue;
		demands[n].customer = a->customer;
		demands[n].arrived = 0;
		demands[n].wanted = wanted;
		demands[n].ahead = 0;
		demands[n].returned = 0;
		n++;
	}
	return n;
}

void
quota_home_lent(struct quota_home *h, const struct quota_credit *credits,
    uint32_t n, uint64_t now_ms)
{
	struct account *a;
	uint32_t i;

	advance(h, now_ms);
	for (i = 0; i < n; i++) {
		a = g_hash_table_lookup(h->accounts, &credits[i].customer);
		if (a != NULL && credits[i].granted > 0)
			quota_bucket_give(
			    &a->bucket, credits[i].granted, share_ms(h));
	}
}
