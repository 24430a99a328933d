/*
 * Counts of the answers of this host's upstreams during a rollout.
 */
#include <string.h>

#include "base/clock.h"
#include "guard_priv.h"

/* An answer with this status or a higher one counts as a failure. */
#define HTTP_SERVER_ERROR_MIN 500

void
guard_counts_set_rollout(struct guard_upstream *u)
{
	struct guard *g = u->guard;

	g_mutex_lock(&g->counts_lock);
	if (u->counts_order != u->info.order) {
		u->counts_order = u->info.order;
		memset(&u->counts, 0, sizeof(u->counts));
	}
	g_mutex_unlock(&g->counts_lock);
}

void
guard_counts_record(struct guard_request *r, bool failed)
{
	struct guard_upstream *u = r->upstream;
	uint64_t took_us = clock_now_us() - r->started_us;
	struct guard *g = r->guard;

	if (r->answer->has_head) {
		took_us = r->answer->upstream_us;
		failed |= r->answer->status >= HTTP_SERVER_ERROR_MIN;
	}
	g_mutex_lock(&g->counts_lock);
	if (u->counts_order != 0)
		rollout_counts_record(&u->counts, r->route, failed, took_us);
	g_mutex_unlock(&g->counts_lock);
}

bool
guard_counts(struct guard *g, const char *service, uint64_t order,
    struct rollout_counts *counts)
{
	struct guard_upstream *u;
	bool counted;

	g_mutex_lock(&g->counts_lock);
	u = g_hash_table_lookup(g->upstreams, service);
	counted = u != NULL && order != 0 && u->counts_order == order;
	if (counted)
		*counts = u->counts;
	g_mutex_unlock(&g->counts_lock);
	return counted;
}
