/*
 * Rendezvous ranks of hosts for the shards of customers.
 */
#include "entry_quota_hosts.h"

#include <string.h>

#include "base/hash.h"

#include "guard_quota.h"

static const char *const shard_keys[] = {
    "quota-0", "quota-1", "quota-2", "quota-3"};

_Static_assert(sizeof(shard_keys) / sizeof(shard_keys[0]) == QUOTA_SHARDS,
    "each shard has a key");

static struct quota_ranks *
ranks_of(GArray *all, const char *data_centre)
{
	struct quota_ranks *r, added;
	guint i;

	for (i = 0; i < all->len; i++) {
		r = &g_array_index(all, struct quota_ranks, i);
		if (strcmp(r->data_centre, data_centre) == 0)
			return r;
	}
	memset(&added, 0, sizeof(added));
	(void)g_strlcpy(
	    added.data_centre, data_centre, sizeof(added.data_centre));
	g_array_append_val(all, added);
	return &g_array_index(all, struct quota_ranks, all->len - 1);
}

static void
insert(struct quota_ranks *r, uint32_t shard, const struct quota_host *host,
    uint64_t score)
{
	uint32_t i, at = 0;

	while (at < r->n[shard] && r->scores[shard][at] >= score)
		at++;
	if (at == QUOTA_CANDIDATES)
		return;
	r->n[shard] = MIN(r->n[shard] + 1, QUOTA_CANDIDATES);
	for (i = r->n[shard] - 1; i > at; i--) {
		r->hosts[shard][i] = r->hosts[shard][i - 1];
		r->scores[shard][i] = r->scores[shard][i - 1];
	}
	r->hosts[shard][at] = *host;
	r->scores[shard][at] = score;
}

static void
add_host(GArray *all, const struct endpoint *ep, uint64_t id)
{
	struct quota_ranks *r = ranks_of(all, ep->data_centre);
	struct quota_host host = {.id = id, .address = ep->address};
	uint32_t shard;

	for (shard = 0; shard < QUOTA_SHARDS; shard++)
		insert(r, shard, &host,
		    hash_rendezvous(shard_keys[shard], ep->host));
}

GArray *
quota_hosts_rank(const struct snapshot *s, const char *own,
    struct quota_roster *roster, uint64_t now_ms)
{
	GArray *all = g_array_new(FALSE, TRUE, sizeof(struct quota_ranks));
	GHashTable *added = g_hash_table_new(g_int64_hash, g_int64_equal);
	const struct endpoint_list *list;
	const struct endpoint *ep;
	uint64_t *ids;
	uint32_t i, j, n = 0;

	ids = g_new(uint64_t, s->n_endpoints);
	quota_roster_begin(roster);
	for (i = 0; i < s->n_services; i++) {
		list = s->services[i].endpoints;
		for (j = 0; list != NULL && j < list->n_endpoints; j++) {
			ep = &list->endpoints[j];
			ids[n] = guard_quota_id(ep->host);
			if (strcmp(ep->data_centre, own) == 0)
				quota_roster_add(roster, ids[n],
				    ep->state == SERVING_DRAINING, now_ms);
			if (ep->state == SERVING_DRAINING ||
			    g_hash_table_contains(added, &ids[n]))
				continue;
			add_host(all, ep, ids[n]);
			g_hash_table_add(added, &ids[n]);
			n++;
		}
	}
	g_hash_table_destroy(added);
	g_free(ids);
	return all;
}
