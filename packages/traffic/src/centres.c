/*
 * Detection of partitioned data centres: see centres.h.
 */
#include "centres.h"

/* Hosts that fall silent within this time have a common cause. */
#define CORRELATION_MS 2000

/*
 * Interval of the idempotent calls that probe a partitioned data centre, so
 * that a data centre in which two hosts happened to end together is used again
 * with the first answer.  Silent hosts are redialled meanwhile, at least every
 * 1.6 s, and a host that answers ends the partition as well.
 */
#define PROBE_INTERVAL_MS 2000

GHashTable *
centres_new(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

static struct centre *
find_or_add(GHashTable *centres, uint64_t id)
{
	struct centre *c = g_hash_table_lookup(centres, &id);

	if (c != NULL)
		return c;
	c = g_new0(struct centre, 1);
	c->id = id;
	g_hash_table_insert(centres, &c->id, c);
	return c;
}

bool
centres_host_silent(
    GHashTable *centres, uint64_t centre, uint64_t host, uint64_t now_ms)
{
	struct centre *c = find_or_add(centres, centre);
	bool another = c->silent_host != 0 && c->silent_host != host &&
	    now_ms < c->silent_ms + CORRELATION_MS;

	c->silent_host = host;
	c->silent_ms = now_ms;
	if (!another || c->partitioned)
		return false;
	c->partitioned = true;
	c->probe_ms = now_ms + PROBE_INTERVAL_MS;
	return true;
}

void
centres_received(GHashTable *centres, uint64_t centre)
{
	struct centre *c = g_hash_table_lookup(centres, &centre);

	if (c == NULL)
		return;
	c->silent_host = 0;
	c->partitioned = false;
}

bool
centres_is_partitioned(GHashTable *centres, uint64_t centre)
{
	const struct centre *c = g_hash_table_lookup(centres, &centre);

	return c != NULL && c->partitioned;
}

bool
centres_probe_due(GHashTable *centres, uint64_t centre, uint64_t now_ms)
{
	const struct centre *c = g_hash_table_lookup(centres, &centre);

	return c != NULL && c->partitioned && now_ms >= c->probe_ms;
}

void
centres_probe_sent(GHashTable *centres, uint64_t centre, uint64_t now_ms)
{
	struct centre *c = g_hash_table_lookup(centres, &centre);

	if (c != NULL)
		c->probe_ms = now_ms + PROBE_INTERVAL_MS;
}
