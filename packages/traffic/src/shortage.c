/*
 * Shares of failed runs by route, counted in periods of half a second.
 */
#include "traffic/shortage.h"

#include <glib.h>

#define MILLI 1000
#define PERIOD_MS 500
/* Below this number of runs the share is not evaluated. */
#define RUNS_MIN 4
/* From this share of failed runs on, requests are refused. */
#define HOPELESS_MILLI 900
/* Share of the requests that is refused then. */
#define REFUSED_MILLI 900
/* Maximum number of routes; above it all are dropped. */
#define ROUTES_MAX 4096
/* A shortage is noticed and its end seen within two periods. */
#define RETRY_AFTER_MIN_MS 500
#define RETRY_AFTER_SPREAD_MS 500

/**
 * struct run_counts - runs of a route in this and the last period
 * @route: number of the route
 * @until_ms: end of the current period
 * @ended: runs that have ended
 * @failed: runs that failed for a refused call
 */
struct run_counts {
	uint64_t route;
	uint64_t until_ms;
	uint32_t ended[2];
	uint32_t failed[2];
};

/**
 * struct shortage - see traffic/shortage.h
 * @routes: route -> struct run_counts
 */
struct shortage {
	GHashTable *routes;
};

struct shortage *
shortage_new(void)
{
	struct shortage *s = g_new0(struct shortage, 1);

	s->routes =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return s;
}

void
shortage_free(struct shortage *s)
{
	if (s == NULL)
		return;
	g_hash_table_destroy(s->routes);
	g_free(s);
}

static struct run_counts *
get_route(struct shortage *s, uint64_t route)
{
	struct run_counts *c = g_hash_table_lookup(s->routes, &route);

	if (c != NULL)
		return c;
	if (g_hash_table_size(s->routes) >= ROUTES_MAX)
		g_hash_table_remove_all(s->routes);
	c = g_new0(struct run_counts, 1);
	c->route = route;
	g_hash_table_insert(s->routes, &c->route, c);
	return c;
}

static void
begin_period(struct run_counts *c, uint64_t now_ms)
{
	bool follows = now_ms < c->until_ms + PERIOD_MS;

	if (now_ms < c->until_ms)
		return;
	c->ended[1] = follows ? c->ended[0] : 0;
	c->failed[1] = follows ? c->failed[0] : 0;
	c->ended[0] = 0;
	c->failed[0] = 0;
	c->until_ms = now_ms + PERIOD_MS;
}

void
shortage_record(
    struct shortage *s, uint64_t route, bool failed, uint64_t now_ms)
{
	struct run_counts *c = get_route(s, route);

	begin_period(c, now_ms);
	c->ended[0]++;
	c->failed[0] += failed;
}

uint32_t
shortage_failed_milli(const struct shortage *s, uint64_t route, uint64_t now_ms)
{
	const struct run_counts *c = g_hash_table_lookup(s->routes, &route);
	uint32_t ended, failed;

	if (c == NULL || now_ms >= c->until_ms + PERIOD_MS)
		return 0;
	ended = c->ended[0];
	failed = c->failed[0];
	if (now_ms < c->until_ms) {
		ended += c->ended[1];
		failed += c->failed[1];
	}
	return ended >= RUNS_MIN ? failed * MILLI / ended : 0;
}

bool
shortage_refuses(
    const struct shortage *s, uint64_t route, uint64_t random, uint64_t now_ms)
{
	return random % MILLI < REFUSED_MILLI &&
	    shortage_failed_milli(s, route, now_ms) >= HOPELESS_MILLI;
}

uint64_t
shortage_retry_after_ms(uint64_t random)
{
	return RETRY_AFTER_MIN_MS + random % RETRY_AFTER_SPREAD_MS;
}
