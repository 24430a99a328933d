/*
 * Requests that another node routed by a version that was superseded too long
 * ago to be in force anywhere.
 */
#include <string.h>

#include "config/snapshot.h"

#include "guard_priv.h"

void
guard_version_update(struct guard *g)
{
	guard_keyed_refresh_snapshot(g);
	if (g->snapshot != NULL)
		superseded_record(
		    &g->superseded, g->snapshot->version, loop_now_ms(g->loop));
}

static const char *
find_host_header(const struct guard_request *r)
{
	const struct rec_header *h;
	uint32_t i;

	for (i = 0; i < call_headers_count(&r->headers); i++) {
		h = call_headers_at(&r->headers, i);
		if (g_ascii_strcasecmp(h->name, "Host") == 0)
			return h->value;
	}
	return NULL;
}

/* Whether the version in force on this host routes the request to @service. */
static bool
routes_to(const struct guard_request *r, const char *service)
{
	const struct snapshot *s = r->guard->snapshot;
	struct route_match match, shares[SNAPSHOT_SHARES_MAX];
	uint32_t i, n;

	if (snapshot_match(s, method_parse(r->method, strlen(r->method)),
		find_host_header(r), r->path, strlen(r->path),
		&match) != ROUTE_FOUND)
		return false;
	if (match.route->weight == 0)
		return strcmp(match.service->config->name, service) == 0;
	n = snapshot_shares(s, &match, shares);
	for (i = 0; i < n; i++)
		if (strcmp(shares[i].service->config->name, service) == 0)
			return true;
	return false;
}

bool
guard_version_accepts(
    const struct guard_request *r, const struct msg_call_open *m)
{
	const struct guard *g = r->guard;
	uint64_t within_ms =
	    superseded_grace_ms(g->settings->in_force_within_ms);

	if (g->snapshot == NULL || m->version >= g->snapshot->version ||
	    !superseded_is_expired(
		&g->superseded, m->version, loop_now_ms(g->loop), within_ms))
		return true;
	return routes_to(r, m->service);
}
