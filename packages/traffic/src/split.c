/*
 * Smooth weighted round robin for each route.
 */
#include "traffic/split.h"

#include <stdbool.h>

#include <glib.h>

#include "base/hash.h"

/* Routes remembered; beyond, all are forgotten and begin anew, elsewhere in
 * their rounds: begun at the same place each time, a route would always take
 * the same part. */
#define ROUTES_MAX 4096

/**
 * struct split_share - a part of a route
 * @part: service and weight
 * @credit: by how much it is behind its share
 */
struct split_share {
	struct split_part part;
	int64_t credit;
};

/**
 * struct split - rounds of one route
 * @route: number of the route
 * @n: number of parts
 * @parts: its parts
 */
struct split {
	uint64_t route;
	uint32_t n;
	struct split_share parts[];
};

struct split_table {
	uint64_t seed;
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
		if (s->parts[i].part.service != parts[i].service ||
		    s->parts[i].part.weight != parts[i].weight)
			return false;
	return true;
}

static uint32_t
next(struct split *s)
{
	int64_t total = 0;
	uint32_t i, best = 0;

	for (i = 0; i < s->n; i++) {
		s->parts[i].credit += s->parts[i].part.weight;
		total += s->parts[i].part.weight;
		if (s->parts[i].credit > s->parts[best].credit)
			best = i;
	}
	s->parts[best].credit -= total;
	return best;
}

/* Begins anew, some way into a round. */
static struct split *
begin(struct split_table *t, uint64_t route, const struct split_part *parts,
    uint32_t n)
{
	struct split *s = g_malloc0(sizeof(*s) + n * sizeof(s->parts[0]));
	uint32_t total = 0, i;
	uint64_t skip;

	s->route = route;
	s->n = n;
	for (i = 0; i < n; i++) {
		s->parts[i].part = parts[i];
		total += parts[i].weight;
	}
	skip = total > 0
	    ? hash64(&s->route, sizeof(s->route), t->seed) % MIN(total, 1000)
	    : 0;
	while (skip-- > 0)
		(void)next(s);
	/* The key is part of the value, so both are replaced. */
	g_hash_table_replace(t->splits, &s->route, s);
	return s;
}

uint32_t
split_choose(struct split_table *t, uint64_t route,
    const struct split_part *parts, uint32_t n)
{
	struct split *s = g_hash_table_lookup(t->splits, &route);

	if (s == NULL && g_hash_table_size(t->splits) >= ROUTES_MAX) {
		g_hash_table_remove_all(t->splits);
		t->seed++;
	}
	if (s == NULL || !is_same(s, parts, n))
		s = begin(t, route, parts, n);
	return next(s);
}
