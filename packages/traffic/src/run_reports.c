/*
 * Table of the runs that name a limit or leave, by endpoint.
 */
#include "traffic/run_reports.h"

#include <glib.h>

/* A run is forgotten this long after its last report. */
#define KEPT_MS 600000
/* Number of entries above which forgotten runs are removed. */
#define PURGE_MIN 256

/** struct known_run - an element of the table; @until_ms: monotonic time at
 * which it is forgotten */
struct known_run {
	uint64_t endpoint;
	struct run_report report;
	uint64_t until_ms;
};

/**
 * struct run_reports - see traffic/run_reports.h
 * @runs: endpoint id to struct known_run
 * @purge_ms: monotonic time of the next removal of forgotten runs
 */
struct run_reports {
	GHashTable *runs;
	uint64_t purge_ms;
};

struct run_reports *
run_reports_new(void)
{
	struct run_reports *t = g_new0(struct run_reports, 1);

	t->runs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return t;
}

void
run_reports_free(struct run_reports *t)
{
	if (t == NULL)
		return;
	g_hash_table_destroy(t->runs);
	g_free(t);
}

static gboolean
is_forgotten(gpointer key, gpointer value, gpointer now_ms)
{
	const struct known_run *k = value;

	(void)key;
	return k->until_ms <= *(uint64_t *)now_ms;
}

static void
purge(struct run_reports *t, uint64_t now_ms)
{
	if (now_ms < t->purge_ms || g_hash_table_size(t->runs) < PURGE_MIN)
		return;
	t->purge_ms = now_ms + KEPT_MS;
	(void)g_hash_table_foreach_remove(t->runs, is_forgotten, &now_ms);
}

static struct known_run *
find_or_add(struct run_reports *t, uint64_t endpoint, uint64_t now_ms)
{
	struct known_run *k = g_hash_table_lookup(t->runs, &endpoint);

	if (k != NULL)
		return k;
	purge(t, now_ms);
	k = g_new0(struct known_run, 1);
	k->endpoint = endpoint;
	g_hash_table_insert(t->runs, &k->endpoint, k);
	return k;
}

void
run_reports_update(struct run_reports *t, uint64_t endpoint,
    const struct run_report *r, uint64_t now_ms)
{
	struct known_run *k;
	bool leaving;

	if (r->run == 0)
		return;
	if (r->limit_milli_per_s == 0 && !r->leaving &&
	    run_reports_get(t, endpoint).run == 0)
		return;
	k = find_or_add(t, endpoint, now_ms);
	leaving = k->report.run == r->run && k->report.leaving;
	k->report = *r;
	k->report.leaving |= leaving;
	k->until_ms = now_ms + KEPT_MS;
	if (k->report.limit_milli_per_s == 0 && !k->report.leaving)
		(void)g_hash_table_remove(t->runs, &endpoint);
}

struct run_report
run_reports_get(const struct run_reports *t, uint64_t endpoint)
{
	const struct known_run *k = g_hash_table_lookup(t->runs, &endpoint);

	return k != NULL ? k->report : (struct run_report){0};
}
