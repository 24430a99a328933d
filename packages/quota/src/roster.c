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
 * @added_ms: monotonic time at which it was first listed
 * @seen_ms: monotonic time at which it was last listed
 */
struct host {
	uint64_t id;
	bool draining;
	uint64_t listed;
	uint64_t added_ms;
	uint64_t seen_ms;
};

/**
 * struct quota_roster - see quota/roster.h
 * @hosts: id to struct host
 * @generation: number of lists
 * @settled: the roster was complete once
 */
struct quota_roster {
	GHashTable *hosts;
	uint64_t generation;
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

static struct host *
host_of(struct quota_roster *r, uint64_t id, uint64_t now_ms)
{
	struct host *h = g_hash_table_lookup(r->hosts, &id);

	if (h != NULL)
		return h;
	h = g_new0(struct host, 1);
	h->id = id;
	h->added_ms = now_ms;
	h->seen_ms = now_ms;
	g_hash_table_insert(r->hosts, &h->id, h);
	return h;
}

void
quota_roster_add(
    struct quota_roster *r, uint64_t id, bool draining, uint64_t now_ms)
{
	struct host *h = host_of(r, id, now_ms);

	h->draining =
	    h->listed == r->generation ? h->draining && draining : draining;
	h->listed = r->generation;
	h->seen_ms = now_ms;
}

void
quota_roster_heard(struct quota_roster *r, uint64_t id, uint64_t now_ms)
{
	if (!r->settled)
		(void)host_of(r, id, now_ms);
}

/* Hosts that were listed long enough ago for a list that grows to have grown
 * since. */
static uint32_t
count_before(const struct quota_roster *r, uint64_t now_ms)
{
	GHashTableIter it;
	struct host *h;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, r->hosts);
	while (g_hash_table_iter_next(&it, NULL, (void **)&h))
		n += now_ms >= h->added_ms + QUOTA_ROSTER_SETTLE_MS;
	return n;
}

/* Hosts that compare lists each learn what the other knows: if a part @u of all
 * was unseen, its square remains.  So @before = N (1 - u) and @n = N (1 - u^2).
 */
static uint32_t
estimate(uint32_t n, uint32_t before)
{
	uint64_t most = (uint64_t)n * QUOTA_ROSTER_UNSEEN;

	if (2 * before <= n)
		return (uint32_t)most;
	return (uint32_t)MIN(
	    (uint64_t)before * before / (2 * before - n), most);
}

static void
drop_gone(struct quota_roster *r, uint64_t now_ms)
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
}

uint32_t
quota_roster_count(struct quota_roster *r, uint64_t now_ms)
{
	uint32_t n, before;

	drop_gone(r, now_ms);
	n = g_hash_table_size(r->hosts);
	if (r->generation == 0)
		return 0;
	if (r->settled || n == 0)
		return n;
	before = count_before(r, now_ms);
	r->settled = before == n;
	return estimate(n, before);
}

bool
quota_roster_settled(const struct quota_roster *r)
{
	return r->settled;
}
