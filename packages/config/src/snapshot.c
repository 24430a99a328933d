/*
 * Snapshots: compilation and look-ups.
 */
#include <string.h>

#include "catalog_defs.h"
#include "config/snapshot.h"

static struct endpoint_list *
ref_endpoints(const struct endpoint_set *endpoints, const char *service)
{
	struct endpoint_list *list = endpoint_set_list(endpoints, service);

	return list != NULL ? endpoint_list_ref(list) : NULL;
}

/* Add section @i to the last service, or to a new service if it has another
 * name. */
static void
add_section(
    struct snapshot *s, uint32_t i, const struct endpoint_set *endpoints)
{
	const struct service_config *sc = s->sections[i];
	struct snapshot_service *service;

	if (sc->holds_customers)
		return;
	if (i > 0 && strcmp(s->sections[i - 1]->name, sc->name) == 0) {
		s->services[s->n_services - 1].n_sections++;
		return;
	}
	service = &s->services[s->n_services++];
	service->config = sc;
	service->sections = &s->sections[i];
	service->n_sections = 1;
	service->endpoints = ref_endpoints(endpoints, sc->name);
	if (service->endpoints != NULL)
		s->n_endpoints += service->endpoints->n_endpoints;
}

struct snapshot *
snapshot_compile(const struct catalog *c, const struct endpoint_set *endpoints)
{
	struct snapshot *s;
	uint32_t i;

	s = g_new0(struct snapshot, 1);
	atomic_init(&s->refs, 1);
	s->version = c->version;
	s->root = c->root;
	s->n_sections = c->sections->len;
	s->sections = g_new0(struct service_config *, s->n_sections);
	s->services = g_new0(struct snapshot_service, c->n_services);
	s->routes = route_table_ref(c->routes);
	if (c->customers != NULL)
		s->customers = customer_table_ref(c->customers);
	for (i = 0; i < s->n_sections; i++) {
		s->sections[i] =
		    service_config_ref(g_ptr_array_index(c->sections, i));
		add_section(s, i, endpoints);
	}
	return s;
}

struct snapshot *
snapshot_ref(struct snapshot *s)
{
	atomic_fetch_add_explicit(&s->refs, 1, memory_order_relaxed);
	return s;
}

void
snapshot_unref(struct snapshot *s)
{
	uint32_t i;

	if (s == NULL ||
	    atomic_fetch_sub_explicit(&s->refs, 1, memory_order_acq_rel) != 1)
		return;
	for (i = 0; i < s->n_services; i++)
		endpoint_list_unref(s->services[i].endpoints);
	for (i = 0; i < s->n_sections; i++)
		service_config_unref(s->sections[i]);
	g_free(s->services);
	g_free(s->sections);
	route_table_unref(s->routes);
	customer_table_unref(s->customers);
	g_free(s);
}

const struct snapshot_service *
snapshot_service(const struct snapshot *s, const char *name)
{
	uint32_t low = 0, high = s->n_services, mid;
	int order;

	while (low < high) {
		mid = low + (high - low) / 2;
		order = strcmp(s->services[mid].config->name, name);
		if (order == 0)
			return &s->services[mid];
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return NULL;
}

static size_t
path_length(const char *path, size_t len)
{
	size_t i;

	for (i = 0; i < len && path[i] != '?' && path[i] != '#'; i++)
		;
	return i;
}

static void
set_match(const struct snapshot *s, const struct route_entry *entry,
    struct route_match *match)
{
	match->service = &s->services[entry->service];
	match->route = &s->sections[entry->section]->routes[entry->route];
}

/* Length of a host without its port. */
static size_t
host_length(const char *host)
{
	return host != NULL ? strcspn(host, ":") : 0;
}

enum route_result
snapshot_match(const struct snapshot *s, enum http_method method,
    const char *host, const char *path, size_t path_len,
    struct route_match *match)
{
	const struct route_entry *entry;
	bool path_matched;

	path_len = path_length(path, path_len);
	entry = route_table_find(s->routes, method, host, host_length(host),
	    path, path_len, &path_matched);
	if (entry == NULL)
		return path_matched ? ROUTE_NO_METHOD : ROUTE_NO_PATH;
	match->entry = entry;
	set_match(s, entry, match);
	return ROUTE_FOUND;
}

uint32_t
snapshot_shares(const struct snapshot *s, const struct route_match *match,
    struct route_match *shares)
{
	const struct route_entry *entries[SNAPSHOT_SHARES_MAX];
	uint32_t i, n;

	n = route_table_shares(
	    s->routes, match->entry, entries, SNAPSHOT_SHARES_MAX);
	for (i = 0; i < n; i++) {
		shares[i].entry = entries[i];
		set_match(s, entries[i], &shares[i]);
	}
	return n;
}
