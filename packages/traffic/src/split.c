/*
 * Smooth weighted round robin for each route.
 */
#include "traffic/split.h"

#include <stdbool.h>

#include <glib.h>

#include "base/hash.h"

/*
 * Maximum number of routes, some 100 bytes each with two services; above it
 * all are dropped and begin again.
 */
#define ROUTES_MAX 65536

/**
 * struct share - a service of a route and its progress in the round
 * @part: the service and its weight
 * @credit: requests that the service lacks for its share, times the sum of
 *	weights
 */
struct share {
	struct split_part part;
	int64_t credit;
};

/**
 * struct split - round of one route
 * @route: number of the route
 * @n: number of services
 * @shares: one element for each service
 */
struct split {
	uint64_t route;
	uint32_t n;
	struct share shares[];
};

/**
 * struct split_table - see traffic/split.h
 * @seed: varies the start points of the rounds
 * @rounds: number of rounds that were begun
 * @splits: route -> struct split
 */
struct split_table {
	uint64_t seed;
	uint64_t rounds;
	GHashTable *splits;
};

struct split_table *
split_table_new(uint64_t seed)
{
	struct split_table *t = g_new0(struct split_table, 1);

	t->seed = seed;
	t->splits =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return t;
}

void
split_table_free(struct split_table *t)
{
	if (t == NULL)
		return;
	g_hash_table_destroy(t->splits);
	g_free(t);
}

static bool
is_same(const struct split *s, const struct split_part *parts, uint32_t n)
{
	uint32_t i;

	if (s->n != n)
		return false;
	for (i = 0; i < n; i++)
		if (s->shares[i].part.service != parts[i].service ||
		    s->shares[i].part.weight != parts[i].weight)
			return false;
	return true;
}

static uint32_t
next(struct split *s)
{
	int64_t total = 0;
	uint32_t i, best = 0;

	for (i = 0; i < s->n; i++) {
		s->shares[i].credit += s->shares[i].part.weight;
		total += s->shares[i].part.weight;
		if (s->shares[i].credit > s->shares[best].credit)
			best = i;
	}
	s->shares[best].credit -= total;
	return best;
}

/*
 * Begin a route's round at a start point that differs each time, so that a
 * route that is dropped repeatedly keeps its shares on average.
 */
static struct split *
begin(struct split_table *t, uint64_t route, const struct split_part *parts,
    uint32_t n)
{
	struct split *s = g_malloc0(sizeof(*s) + n * sizeof(s->shares[0]));
	uint64_t total = 0, skip = 0;
	uint32_t i;

	s->route = route;
	s->n = n;
	for (i = 0; i < n; i++) {
		s->shares[i].part = parts[i];
		total += parts[i].weight;
	}
	if (total > 0)
		skip = hash64(&route, sizeof(route), t->seed + t->rounds++) %
		    MIN(total, 1000);
	while (skip-- > 0)
		(void)next(s);
	return s;
}

uint32_t
split_choose(struct split_table *t, uint64_t route,
    const struct split_part *parts, uint32_t n)
{
	struct split *s = g_hash_table_lookup(t->splits, &route);

	if (s != NULL && is_same(s, parts, n))
		return next(s);
	if (s == NULL && g_hash_table_size(t->splits) >= ROUTES_MAX)
		g_hash_table_remove_all(t->splits);
	s = begin(t, route, parts, n);
	g_hash_table_replace(t->splits, &s->route, s);
	return next(s);
}
