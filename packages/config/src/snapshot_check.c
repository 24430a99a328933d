/*
 * Verification of the invariants of a snapshot, for tests and drivers.
 */
#include <string.h>

#include "config/snapshot.h"
#include "route_table.h"

static enum status
violation(const char *what, const char *where)
{
	return status_set(STATUS_INTERNAL,
	    "Snapshot check: %s (%s); report this as a defect.", what, where);
}

static enum status
check_endpoints(const struct snapshot_service *service)
{
	const struct endpoint_list *list = service->endpoints;
	const char *name = service->config->name;
	uint32_t i;

	if (list == NULL)
		return STATUS_OK;
	if (strcmp(list->service, name) != 0)
		return violation("endpoints of another service", name);
	for (i = 0; i < list->n_endpoints; i++) {
		if (strcmp(list->endpoints[i].service, name) != 0)
			return violation("endpoint of another service", name);
		if (i > 0 &&
		    strcmp(list->endpoints[i - 1].host,
			list->endpoints[i].host) >= 0)
			return violation("endpoints are not sorted", name);
	}
	return STATUS_OK;
}

static enum status
check_services(const struct snapshot *s)
{
	enum status st = STATUS_OK;
	uint32_t i, n = 0;

	for (i = 0; i < s->n_services && st == STATUS_OK; i++) {
		if (i > 0 &&
		    strcmp(s->services[i - 1].config->name,
			s->services[i].config->name) >= 0)
			return violation("services are not sorted",
			    s->services[i].config->name);
		st = check_endpoints(&s->services[i]);
		if (s->services[i].endpoints != NULL)
			n += s->services[i].endpoints->n_endpoints;
	}
	if (st == STATUS_OK && n != s->n_endpoints)
		return violation("wrong number of endpoints", "snapshot");
	return st;
}

/* Whether the mapped text of an entry is the host and prefix of its route. */
static bool
text_matches_route(const struct route_table *t, const struct route_entry *entry,
    const struct service_route *route)
{
	const char *text = t->text + entry->text_offset;
	uint32_t len = route->prefix_len == 1 ? 0 : route->prefix_len;
	bool below = route->below && len > 0;
	uint32_t i;

	if (entry->len != route->host_len + len + (below ? 1 : 0) ||
	    memcmp(text, route->host, route->host_len) != 0)
		return false;
	text += route->host_len;
	for (i = 0; i < len; i++) {
		if (text[i] !=
		    (route->prefix[i] == '/' ? ROUTE_SLASH : route->prefix[i]))
			return false;
	}
	return !below || text[len] == ROUTE_SLASH;
}

static enum status
check_entry(const struct snapshot *s, const struct route_entry *entry)
{
	const struct service_config *sc;
	const struct service_route *route;

	if (entry->service >= s->n_services || entry->section >= s->n_sections)
		return violation("route of an unknown service or section", "?");
	sc = s->sections[entry->section];
	if (strcmp(sc->name, s->services[entry->service].config->name) != 0)
		return violation("route of another service", sc->name);
	if (entry->route >= sc->n_routes)
		return violation("route index out of range", sc->name);
	route = &sc->routes[entry->route];
	if (entry->methods != route->methods ||
	    !text_matches_route(s->routes, entry, route))
		return violation("route differs from its service's", sc->name);
	return STATUS_OK;
}

static enum status
check_routes(const struct snapshot *s)
{
	enum status st = STATUS_OK;
	uint32_t i, n = 0;

	for (i = 0; i < s->routes->n_entries && st == STATUS_OK; i++)
		st = check_entry(s, &s->routes->entries[i]);
	for (i = 0; i < s->n_sections; i++)
		n += s->sections[i]->n_routes;
	if (st == STATUS_OK && n != s->routes->n_entries)
		return violation("wrong number of routes", "snapshot");
	return st;
}

/* Whether a request for a route's own prefix matches it, or a route that shares
 * the prefix by weight. */
static bool
route_is_found(const struct snapshot *s, const struct service_route *route)
{
	enum http_method m =
	    (enum http_method)g_bit_nth_lsf(route->methods, -1);
	const char *host = route->host_len > 0 ? route->host : NULL;
	char *path = g_strconcat(route->prefix, route->below ? "/" : "", NULL);
	struct route_match match, shares[SNAPSHOT_SHARES_MAX];
	bool found;
	uint32_t i, n;

	found = snapshot_match(s, m, host, path, strlen(path), &match) ==
	    ROUTE_FOUND;
	n = found && route->weight > 0 ? snapshot_shares(s, &match, shares) : 0;
	for (i = 0; i < n && match.route != route; i++)
		match = shares[i];
	g_free(path);
	return found && match.route == route;
}

/* Check that each route matches a request for its own prefix. */
static enum status
check_matches(const struct snapshot *s)
{
	const struct service_config *sc;
	const struct service_route *route;
	uint32_t i, j;

	for (i = 0; i < s->n_sections; i++) {
		sc = s->sections[i];
		for (j = 0; j < sc->n_routes; j++) {
			route = &sc->routes[j];
			if (!route_is_found(s, route))
				return violation(
				    "route is not found", route->prefix);
		}
	}
	return STATUS_OK;
}

enum status
snapshot_check(const struct snapshot *s)
{
	enum status st;

	st = check_services(s);
	if (st == STATUS_OK)
		st = check_routes(s);
	if (st == STATUS_OK)
		st = check_matches(s);
	return st;
}
