/*
 * Fair shares among customers within a rank: start-time fair queueing with the
 * expected slot time as the length of a request.  A customer far below the
 * share that all customers get goes first.
 *
 * Without customers the table is empty, and the order is that of the queue.
 */
#include "admission_defs.h"

/* Period after which counts of offered and started requests halve. */
#define HALVE_MS 2000
#define HALVINGS_MAX 31
/*
 * A customer of whose requests less than this part of the usual share starts
 * goes first.  No customer should get less than a quarter; the rest is for
 * requests that expire or are cancelled.
 */
#define SHARE_DIVISOR 3
/* Weight of a request in the counts, so that halving keeps fractions. */
#define COUNT_UNIT 1024
/* Maximum number of customers; above it all are dropped. */
#define CUSTOMERS_MAX 4096
/* Added to the key of a customer that isn't below its share. */
#define KEY_IN_TURN (UINT64_C(1) << 62)

/**
 * struct fair_counts - counts that halve each HALVE_MS
 * @period: period of the last halving
 * @offered: offered requests
 * @started: started requests
 */
struct fair_counts {
	uint64_t period;
	uint64_t offered;
	uint64_t started;
};

/**
 * struct fair_customer - a customer
 * @id: its number
 * @tag_us: virtual time at which its next request may start
 * @counts: its requests
 * @scan: number of the last scan of a queue that saw a request of it
 * @seen: requests seen in that scan
 */
struct fair_customer {
	uint64_t id;
	uint64_t tag_us;
	struct fair_counts counts;
	uint64_t scan;
	uint32_t seen;
};

/**
 * struct admission_fair - see admission_defs.h
 * @customers: id -> struct fair_customer
 * @virtual_us: virtual time: start tag of the last started request
 * @all: requests of all customers
 * @scan: number of the present scan of a queue
 */
struct admission_fair {
	GHashTable *customers;
	uint64_t virtual_us;
	struct fair_counts all;
	uint64_t scan;
};

struct admission_fair *
admission_fair_new(void)
{
	struct admission_fair *f = g_new0(struct admission_fair, 1);

	f->customers =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return f;
}

void
admission_fair_free(struct admission_fair *f)
{
	g_hash_table_destroy(f->customers);
	g_free(f);
}

static struct fair_customer *
find(const struct admission_fair *f, uint64_t customer)
{
	return g_hash_table_lookup(f->customers, &customer);
}

static void
halve(struct fair_counts *c, uint64_t now_ms)
{
	uint64_t period = now_ms / HALVE_MS;
	uint64_t halvings;

	if (period <= c->period)
		return;
	halvings = MIN(period - c->period, HALVINGS_MAX);
	c->offered >>= halvings;
	c->started >>= halvings;
	c->period = period;
}

void
admission_fair_offered(struct admission_fair *f,
    const struct admission_request *req, uint64_t now_ms)
{
	struct fair_customer *c;

	if (req->customer == 0)
		return;
	c = find(f, req->customer);
	if (c == NULL) {
		if (g_hash_table_size(f->customers) >= CUSTOMERS_MAX)
			g_hash_table_remove_all(f->customers);
		c = g_new0(struct fair_customer, 1);
		c->id = req->customer;
		g_hash_table_insert(f->customers, &c->id, c);
	}
	halve(&c->counts, now_ms);
	halve(&f->all, now_ms);
	c->counts.offered += COUNT_UNIT;
	f->all.offered += COUNT_UNIT;
}

/* Whether the customer is far below the share of all. */
static bool
is_below_share(const struct admission_fair *f, const struct fair_customer *c)
{
	return c->counts.started * SHARE_DIVISOR * f->all.offered <
	    c->counts.offered * f->all.started;
}

static uint64_t
start_tag(const struct admission_fair *f, const struct fair_customer *c)
{
	return MAX(c->tag_us, f->virtual_us);
}

void
admission_fair_started(struct admission_fair *f,
    const struct admission_request *req, uint64_t run_us, uint64_t now_ms)
{
	struct fair_customer *c = find(f, req->customer);
	uint64_t tag;

	if (c == NULL)
		return;
	tag = start_tag(f, c);
	if (!is_below_share(f, c))
		f->virtual_us = tag;
	c->tag_us = tag + run_us;
	halve(&c->counts, now_ms);
	halve(&f->all, now_ms);
	c->counts.started += COUNT_UNIT;
	f->all.started += COUNT_UNIT;
}

/*
 * Key of a customer's request behind @n others of it; lower ones start first.
 * Requests without a customer are not charged, and have the key of one that has
 * used nothing.  Of a customer below its share only the first request goes
 * ahead of others.
 */
static uint64_t
key_of(const struct admission_fair *f, const struct fair_customer *c,
    uint32_t n, uint64_t run_us)
{
	if (c == NULL)
		return f->virtual_us + KEY_IN_TURN;
	if (n == 0 && is_below_share(f, c))
		return start_tag(f, c);
	return start_tag(f, c) + run_us * n + KEY_IN_TURN;
}

/* Key of the next request of @w's customer in the present scan. */
static uint64_t
next_key(
    const struct admission_fair *f, const struct waiting *w, uint64_t run_us)
{
	struct fair_customer *c = find(f, w->req.customer);

	if (c == NULL)
		return key_of(f, NULL, 0, run_us);
	if (c->scan != f->scan)
		c->seen = 0;
	c->scan = f->scan;
	return key_of(f, c, c->seen++, run_us);
}

static bool
goes_before(uint64_t target_ms, const struct admission_request *req)
{
	return req->target_ms == 0 || target_ms <= req->target_ms;
}

/* Number of requests of the same customer that go before @req. */
static uint32_t
own_before(const GQueue *q, const struct admission_request *req)
{
	const struct waiting *w;
	uint32_t n = 0;
	GList *l;

	for (l = q->head; l != NULL; l = l->next) {
		w = l->data;
		n += w->req.customer == req->customer &&
		    goes_before(w->req.target_ms, req);
	}
	return n;
}

bool
admission_fair_is_active(const struct admission_fair *f)
{
	return g_hash_table_size(f->customers) > 0;
}

uint32_t
admission_fair_position(struct admission_fair *f, const GQueue *q,
    const struct admission_request *req, uint64_t run_us)
{
	uint32_t n = own_before(q, req);
	uint64_t key, own = key_of(f, find(f, req->customer), n, run_us);
	const struct waiting *w;
	GList *l;

	f->scan++;
	for (l = q->head; l != NULL; l = l->next) {
		w = l->data;
		if (w->req.customer == req->customer)
			continue;
		key = next_key(f, w, run_us);
		n += key < own ||
		    (key == own && goes_before(w->req.target_ms, req));
	}
	return n;
}

GList *
admission_fair_first(const struct admission_fair *f, const GQueue *q)
{
	const struct waiting *w;
	uint64_t key, lowest = UINT64_MAX;
	GList *l, *first = NULL;

	for (l = q->head; l != NULL; l = l->next) {
		w = l->data;
		key = key_of(f, find(f, w->req.customer), 0, 0);
		if (key >= lowest)
			continue;
		lowest = key;
		first = l;
	}
	return first;
}

/* Return: the request in @q that starts last, after @key, or NULL. */
static GList *
last_after(
    struct admission_fair *f, const GQueue *q, uint64_t key, uint64_t run_us)
{
	uint64_t next;
	GList *l, *last = NULL;

	f->scan++;
	for (l = q->head; l != NULL; l = l->next) {
		next = next_key(f, l->data, run_us);
		if (next <= key)
			continue;
		key = next;
		last = l;
	}
	return last;
}

GList *
admission_fair_victim(struct admission_fair *f, const GQueue *q,
    const struct admission_request *req, uint64_t run_us)
{
	uint64_t key =
	    key_of(f, find(f, req->customer), own_before(q, req), run_us);

	return last_after(f, q, key, run_us);
}

GList *
admission_fair_last(struct admission_fair *f, const GQueue *q, uint64_t run_us)
{
	GList *last = last_after(f, q, 0, run_us);

	return last != NULL ? last : q->tail;
}
