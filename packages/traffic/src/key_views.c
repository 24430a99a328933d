/*
 * History of a node's views of the endpoints of a service.
 */
#include "key_views.h"

#include <string.h>

#include "base/hash.h"

#define RANK_SEED 13

/* The service's ready endpoints from from_ms until until_ms. */
struct view {
	uint64_t from_ms;
	uint64_t until_ms;
	GArray *endpoints;
};

uint64_t
keyed_home(const struct key_id *key, const uint64_t *endpoints, size_t n)
{
	uint64_t best = 0, home = 0, score, seed;
	size_t i;

	seed = key->high ^ key->low ^ RANK_SEED;
	for (i = 0; i < n; i++) {
		score = hash64(&endpoints[i], sizeof(endpoints[i]), seed);
		if (home != 0 && score < best)
			continue;
		if (home != 0 && score == best && endpoints[i] < home)
			continue;
		best = score;
		home = endpoints[i];
	}
	return home;
}

static void
view_free(gpointer data)
{
	struct view *w = data;

	g_array_free(w->endpoints, TRUE);
	g_free(w);
}

void
key_views_init(struct key_views *v, uint64_t self, uint64_t window_ms)
{
	g_queue_init(&v->views);
	v->self = self;
	v->window_ms = window_ms;
}

void
key_views_clear(struct key_views *v)
{
	g_queue_clear_full(&v->views, view_free);
}

static bool
is_same(const struct view *w, const uint64_t *endpoints, size_t n)
{
	if (w == NULL || w->endpoints->len != n)
		return false;
	return n == 0 ||
	    memcmp(w->endpoints->data, endpoints, n * sizeof(*endpoints)) == 0;
}

void
key_views_set(
    struct key_views *v, const uint64_t *endpoints, size_t n, uint64_t now_ms)
{
	struct view *w;

	w = g_queue_peek_tail(&v->views);
	if (is_same(w, endpoints, n))
		return;
	if (w != NULL)
		w->until_ms = now_ms;
	w = g_new0(struct view, 1);
	w->from_ms = now_ms;
	w->until_ms = UINT64_MAX;
	w->endpoints = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_vals(w->endpoints, endpoints, (guint)n);
	g_queue_push_tail(&v->views, w);
	key_views_expire(v, now_ms);
}

static uint64_t
home_among(const GArray *endpoints, const struct key_id *key)
{
	return keyed_home(key, (const uint64_t *)(const void *)endpoints->data,
	    endpoints->len);
}

uint64_t
key_views_home_now(const struct key_views *v, const struct key_id *key)
{
	const struct view *w;

	if (v->views.tail == NULL)
		return 0;
	w = v->views.tail->data;
	return home_among(w->endpoints, key);
}

uint64_t
key_views_home_before(const struct key_views *v, const struct key_id *key)
{
	const struct view *w;
	uint64_t home, endpoint;
	GArray *others;
	guint i;

	if (v->views.tail == NULL)
		return 0;
	w = v->views.tail->data;
	others = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (i = 0; i < w->endpoints->len; i++) {
		endpoint = g_array_index(w->endpoints, uint64_t, i);
		if (endpoint != v->self)
			g_array_append_val(others, endpoint);
	}
	home = home_among(others, key);
	g_array_free(others, TRUE);
	return home;
}

bool
key_views_home(const struct key_views *v, size_t i, const struct key_id *key,
    uint64_t *home)
{
	const struct view *w;

	if (i >= v->views.length)
		return false;
	w = g_queue_peek_nth((GQueue *)&v->views, (guint)i);
	*home = home_among(w->endpoints, key);
	return true;
}

bool
key_views_excludes_others(const struct key_views *v, const struct key_id *key,
    uint64_t to, uint64_t to_age_ms, uint64_t now_ms)
{
	const struct view *w;
	uint64_t home;
	GList *l;

	for (l = v->views.head; l != NULL; l = l->next) {
		w = l->data;
		home = home_among(w->endpoints, key);
		if (home == v->self || home == 0)
			continue;
		if (home != to || now_ms - w->from_ms > to_age_ms)
			return false;
	}
	return true;
}

void
key_views_expire(struct key_views *v, uint64_t now_ms)
{
	struct view *w;

	for (;;) {
		w = g_queue_peek_head(&v->views);
		if (w == NULL || w->until_ms == UINT64_MAX)
			return;
		if (w->until_ms + v->window_ms >= now_ms)
			return;
		view_free(g_queue_pop_head(&v->views));
	}
}
