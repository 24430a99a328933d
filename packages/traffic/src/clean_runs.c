/*
 * Recently answered requests.
 */
#include "traffic/clean_runs.h"

static guint
print_hash(gconstpointer key)
{
	const struct fingerprint *f = key;

	return (guint)(f->content ^ f->caller);
}

static gboolean
print_equal(gconstpointer a, gconstpointer b)
{
	return fingerprint_equal(a, b);
}

static GHashTable *
set_new(void)
{
	return g_hash_table_new_full(print_hash, print_equal, g_free, NULL);
}

void
clean_runs_init(struct clean_runs *c, uint64_t now_ms)
{
	c->sets[0] = set_new();
	c->sets[1] = set_new();
	c->rotated_ms = now_ms;
}

void
clean_runs_clear(struct clean_runs *c)
{
	g_hash_table_destroy(c->sets[0]);
	g_hash_table_destroy(c->sets[1]);
}

static void
rotate(struct clean_runs *c, uint64_t now_ms)
{
	GHashTable *old = c->sets[1];

	c->sets[1] = c->sets[0];
	c->sets[0] = old;
	g_hash_table_remove_all(old);
	c->rotated_ms = now_ms;
}

/* Drop sets that are too old. */
static void
drop_old_sets(struct clean_runs *c, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - MIN(now_ms, c->rotated_ms);

	if (age_ms >= CLEAN_RUNS_KEEP_MS)
		rotate(c, now_ms);
	if (age_ms >= 2 * CLEAN_RUNS_KEEP_MS)
		g_hash_table_remove_all(c->sets[1]);
}

void
clean_runs_add(
    struct clean_runs *c, const struct fingerprint *f, uint64_t now_ms)
{
	struct fingerprint *key;

	drop_old_sets(c, now_ms);
	if (g_hash_table_contains(c->sets[0], f))
		return;
	if (g_hash_table_size(c->sets[0]) >= CLEAN_RUNS_MAX)
		rotate(c, now_ms);
	key = g_new(struct fingerprint, 1);
	*key = *f;
	g_hash_table_add(c->sets[0], key);
}

bool
clean_runs_has(
    struct clean_runs *c, const struct fingerprint *f, uint64_t now_ms)
{
	drop_old_sets(c, now_ms);
	return g_hash_table_contains(c->sets[0], f) ||
	    g_hash_table_contains(c->sets[1], f);
}

bool
clean_runs_take(
    struct clean_runs *c, const struct fingerprint *f, uint64_t now_ms)
{
	bool had = clean_runs_has(c, f, now_ms);

	(void)g_hash_table_remove(c->sets[0], f);
	(void)g_hash_table_remove(c->sets[1], f);
	return had;
}
