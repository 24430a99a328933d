/*
 * Set of the newest order of each service.
 */
#include "rollout/orders.h"

#include <string.h>

#include <glib.h>

#include "base/hash.h"

/* Hash seed of the digest, different from those of other hashes. */
#define DIGEST_SEED 23

/**
 * struct rollout_orders - the known orders
 * @orders: struct rollout, sorted by service
 * @current: service to the version that served its requests last
 */
struct rollout_orders {
	GPtrArray *orders;
	GHashTable *current;
};

const char *
rollout_current(const struct rollout *r)
{
	if (r->phase == ROLLOUT_SWITCHING || r->phase == ROLLOUT_COMPLETED)
		return r->to;
	return r->from;
}

const char *
rollout_candidate(const struct rollout *r)
{
	return r->phase == ROLLOUT_RUNNING ? r->to : "";
}

static int
compare_u64(uint64_t a, uint64_t b)
{
	return (a > b) - (a < b);
}

int
rollout_version_compare(const char *a, const char *b)
{
	char *a_end, *b_end;
	int order;

	while (*a != '\0' && *b != '\0') {
		if (g_ascii_isdigit(*a) && g_ascii_isdigit(*b)) {
			order = compare_u64(g_ascii_strtoull(a, &a_end, 10),
			    g_ascii_strtoull(b, &b_end, 10));
			if (order != 0)
				return order;
			a = a_end;
			b = b_end;
			continue;
		}
		if (*a != *b)
			return (unsigned char)*a - (unsigned char)*b;
		a++;
		b++;
	}
	return (unsigned char)*a - (unsigned char)*b;
}

struct rollout_orders *
rollout_orders_new(void)
{
	struct rollout_orders *o = g_new0(struct rollout_orders, 1);

	o->orders = g_ptr_array_new_with_free_func(g_free);
	o->current =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return o;
}

void
rollout_orders_free(struct rollout_orders *o)
{
	if (o == NULL)
		return;
	g_ptr_array_unref(o->orders);
	g_hash_table_unref(o->current);
	g_free(o);
}

uint32_t
rollout_orders_count(const struct rollout_orders *o)
{
	return o->orders->len;
}

struct rollout *
rollout_orders_at(const struct rollout_orders *o, uint32_t i)
{
	return g_ptr_array_index(o->orders, i);
}

struct rollout *
rollout_orders_find(const struct rollout_orders *o, const char *service)
{
	struct rollout *r;
	guint i;

	for (i = 0; i < o->orders->len; i++) {
		r = rollout_orders_at(o, i);
		if (strcmp(r->service, service) == 0)
			return r;
	}
	return NULL;
}

static gint
by_service(gconstpointer a, gconstpointer b)
{
	const struct rollout *const *left = a, *const *right = b;

	return strcmp((*left)->service, (*right)->service);
}

static bool
supersedes(const struct rollout *held, const struct rollout *r)
{
	if (held->order != r->order)
		return r->order > held->order;
	if (held->phase != r->phase)
		return r->phase > held->phase;
	return (held->excluded[0] == '\0' && r->excluded[0] != '\0') ||
	    (held->share_milli == 0 && r->share_milli != 0);
}

/* Replaces an order; if the order and the phase are the same, an excluded host
 * or a share that is set already is kept. */
static void
merge(struct rollout *held, const struct rollout *r)
{
	struct rollout before = *held;

	*held = *r;
	if (before.order != r->order || before.phase != r->phase)
		return;
	if (before.excluded[0] != '\0')
		memcpy(held->excluded, before.excluded, sizeof(held->excluded));
	if (before.share_milli != 0)
		held->share_milli = before.share_milli;
}

struct rollout *
rollout_orders_merge(struct rollout_orders *o, const struct rollout *r)
{
	struct rollout *held = rollout_orders_find(o, r->service);

	if (held != NULL && !supersedes(held, r))
		return NULL;
	if (held == NULL) {
		held = g_new0(struct rollout, 1);
		g_ptr_array_add(o->orders, held);
	}
	merge(held, r);
	g_ptr_array_sort(o->orders, by_service);
	return held;
}

uint64_t
rollout_orders_digest(const struct rollout_orders *o)
{
	const struct rollout *r;
	uint64_t sum = 0, state[3];
	guint i;

	for (i = 0; i < o->orders->len; i++) {
		r = rollout_orders_at(o, i);
		state[0] = r->order;
		state[1] = r->phase;
		state[2] =
		    (r->excluded[0] != '\0') + 2U * (r->share_milli != 0);
		sum ^= hash64(r->service, strlen(r->service),
		    hash64(state, sizeof(state), DIGEST_SEED));
	}
	return sum;
}

static bool
contains(const char *const *versions, uint32_t n, const char *version)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		if (strcmp(versions[i], version) == 0)
			return true;
	return false;
}

/* Whether an order keeps a version from serving: the version is on trial, being
 * reverted, or rolled back. */
static bool
must_not_serve(const struct rollout *r, const char *version)
{
	return r != NULL && rollout_current(r) == r->from &&
	    strcmp(version, r->to) == 0;
}

static const char *
lowest_version(const struct rollout *r, const char *const *versions, uint32_t n)
{
	const char *lowest = NULL;
	uint32_t i;

	for (i = 0; i < n; i++) {
		if (must_not_serve(r, versions[i]))
			continue;
		if (lowest == NULL ||
		    rollout_version_compare(versions[i], lowest) < 0)
			lowest = versions[i];
	}
	return lowest;
}

const char *
rollout_orders_current(struct rollout_orders *o, const char *service,
    const char *const *versions, uint32_t n)
{
	const struct rollout *r = rollout_orders_find(o, service);
	const char *current, *lowest;

	if (r != NULL &&
	    (!rollout_is_over(r) || contains(versions, n, rollout_current(r))))
		return rollout_current(r);
	current = g_hash_table_lookup(o->current, service);
	if (current != NULL && contains(versions, n, current) &&
	    !must_not_serve(r, current))
		return current;
	lowest = lowest_version(r, versions, n);
	if (lowest == NULL)
		return r != NULL ? rollout_current(r) : current;
	g_hash_table_replace(o->current, g_strdup(service), g_strdup(lowest));
	return g_hash_table_lookup(o->current, service);
}
