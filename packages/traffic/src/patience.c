/*
 * Longest remaining time of any caller, by route.
 */
#include "traffic/patience.h"

#include <glib.h>

/* Maximum number of routes, some 50 bytes each; above it all are dropped. */
#define ROUTES_MAX 65536

/**
 * struct longest - record of a route
 * @route: number of the route
 * @ms: longest remaining time of any caller
 */
struct longest {
	uint64_t route;
	uint64_t ms;
};

/**
 * struct patience - see traffic/patience.h
 * @routes: route -> struct longest
 */
struct patience {
	GHashTable *routes;
};

struct patience *
patience_new(void)
{
	struct patience *p = g_new0(struct patience, 1);

	p->routes =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return p;
}

void
patience_free(struct patience *p)
{
	if (p == NULL)
		return;
	g_hash_table_destroy(p->routes);
	g_free(p);
}

uint64_t
patience_elapsed_ms(struct patience *p, uint64_t route, uint64_t left_ms)
{
	struct longest *l = g_hash_table_lookup(p->routes, &route);

	if (l == NULL) {
		if (g_hash_table_size(p->routes) >= ROUTES_MAX)
			g_hash_table_remove_all(p->routes);
		l = g_new(struct longest, 1);
		l->route = route;
		l->ms = left_ms;
		g_hash_table_insert(p->routes, &l->route, l);
	}
	l->ms = MAX(l->ms, left_ms);
	return l->ms - left_ms;
}
