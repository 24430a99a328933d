/*
 * Entries of a data centre.
 */
#include "quota/roster.h"

#include <glib.h>

/**
 * struct host - an entry
 * @id: number of the host
 * @draining: the host was leaving when it was last listed
 * @listed: generation in which it was last listed
 * @seen_ms: monotonic time at which it was last listed
 */
struct host {
	uint64_t id;
	bool draining;
	uint64_t listed;
	uint64_t seen_ms;
};

/**
 * struct quota_roster - see quota/roster.h
 * @hosts: id to struct host
 * @generation: number of lists
 * @grown_ms: monotonic time at which a host was added
 * @settled: the roster was complete once
 */
struct quota_roster {
	GHashTable *hosts;
	uint64_t generation;
	uint64_t grown_ms;
	bool settled;
};

struct quota_roster *
quota_roster_new(void)
{
	struct quota_roster *r = g_new0(struct quota_roster, 1);

	r->hosts =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return r;
}

void
quota_roster_free(struct quota_roster *r)
{
	if (r == NULL)
		return;
	g_hash_table_destroy(r->hosts);
	g_free(r);
}

void
quota_roster_begin(struct quota_roster *r)
{
	r->generation++;
}

void
quota_roster_add(
    struct quota_roster *r, uint64_t id, bool draining, uint64_t now_ms)
{
	struct host *h = g_hash_table_lookup(r->hosts, &id);

	if (h == NULL) {
		h = g_new0(struct host, 1);
		h->id = id;
		g_hash_table_insert(r->hosts, &h->id, h);
		r->grown_ms = now_ms;
	}
	h->draining =
	    h->listed == r->generation ? h->draining && draining : draining;
	h->listed = r->generation;
	h->seen_ms = now_ms;
}

uint32_t
quota_roster_count(struct quota_roster *r, uint64_t now_ms)
{
	GHashTableIter it;
	struct host *h;

	g_hash_table_iter_init(&it, r->hosts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&h)) {
		if (h->listed == r->generation)
			h->seen_ms = now_ms;
		else if (h->draining ||
		    now_ms >= h->seen_ms + QUOTA_ROSTER_KEEP_MS)
			g_hash_table_iter_remove(&it);
	}
	r->settled |= now_ms >= r->grown_ms + QUOTA_ROSTER_SETTLE_MS;
	return g_hash_table_size(r->hosts) *
	    (r->settled ? 1 : QUOTA_ROSTER_UNSEEN);
}
