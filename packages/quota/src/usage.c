/*
 * Usage of customers at this node.
 */
#include "quota/usage.h"

#include <pthread.h>

#include <glib.h>

/**
 * struct counted - one customer
 * @customer: number of the customer
 * @period: number of the period that @now counts
 * @now: requests in that period
 * @before: requests in the period before it
 */
struct counted {
	uint64_t customer;
	uint64_t period;
	struct quota_use now;
	struct quota_use before;
};

/**
 * struct quota_usage - see usage.h
 * @lock: protects the fields below
 * @customers: number of a customer to struct counted
 * @swept: period in which customers without requests were last removed
 */
struct quota_usage {
	pthread_mutex_t lock;
	GHashTable *customers;
	uint64_t swept;
};

struct quota_usage *
quota_usage_new(void)
{
	struct quota_usage *u = g_new0(struct quota_usage, 1);

	(void)pthread_mutex_init(&u->lock, NULL);
	u->customers =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return u;
}

void
quota_usage_free(struct quota_usage *u)
{
	if (u == NULL)
		return;
	g_hash_table_destroy(u->customers);
	(void)pthread_mutex_destroy(&u->lock);
	g_free(u);
}

static uint64_t
period_of(uint64_t now_ms)
{
	return now_ms / QUOTA_USAGE_PERIOD_MS;
}

static void
advance(struct counted *c, uint64_t period)
{
	static const struct quota_use none;

	if (period <= c->period)
		return;
	c->before = period == c->period + 1 ? c->now : none;
	c->now = none;
	c->period = period;
}

static gboolean
is_unused(gpointer key, gpointer value, gpointer period)
{
	const struct counted *c = value;

	(void)key;
	return c->period + 1 < *(const uint64_t *)period;
}

static void
sweep(struct quota_usage *u, uint64_t period)
{
	if (period <= u->swept)
		return;
	u->swept = period;
	g_hash_table_foreach_remove(u->customers, is_unused, &period);
}

static struct counted *
counted_at(struct quota_usage *u, uint64_t customer, uint64_t period)
{
	struct counted *c;

	sweep(u, period);
	c = g_hash_table_lookup(u->customers, &customer);
	if (c == NULL) {
		c = g_new0(struct counted, 1);
		c->customer = customer;
		c->period = period;
		g_hash_table_insert(u->customers, &c->customer, c);
	}
	advance(c, period);
	return c;
}

void
quota_usage_request(struct quota_usage *u, uint64_t customer, uint64_t now_ms)
{
	(void)pthread_mutex_lock(&u->lock);
	counted_at(u, customer, period_of(now_ms))->now.requests++;
	(void)pthread_mutex_unlock(&u->lock);
}

void
quota_usage_limited(struct quota_usage *u, uint64_t customer, uint64_t now_ms)
{
	(void)pthread_mutex_lock(&u->lock);
	counted_at(u, customer, period_of(now_ms))->now.limited++;
	(void)pthread_mutex_unlock(&u->lock);
}

struct quota_use
quota_usage_read(struct quota_usage *u, uint64_t customer, uint64_t now_ms)
{
	struct quota_use use = {0};
	struct counted *c;

	(void)pthread_mutex_lock(&u->lock);
	c = g_hash_table_lookup(u->customers, &customer);
	if (c != NULL) {
		advance(c, period_of(now_ms));
		use = c->before;
	}
	(void)pthread_mutex_unlock(&u->lock);
	return use;
}

uint32_t
quota_usage_size(struct quota_usage *u)
{
	uint32_t n;

	(void)pthread_mutex_lock(&u->lock);
	n = g_hash_table_size(u->customers);
	(void)pthread_mutex_unlock(&u->lock);
	return n;
}
