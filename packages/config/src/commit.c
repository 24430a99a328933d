/*
 * Commit of a stage: everything is built and checked beside the version held,
 * then swapped in at once.
 */
#include <string.h>

#include "stage_defs.h"

/**
 * struct next - the target version while it is built
 * @list: its list, struct rec_section_ref
 * @services: struct service_config, in the list's order
 * @routes: its routes
 * @content_bytes: sum of its contents
 * @config_bytes: memory of @services and @routes
 */
struct next {
	GArray *list;
	GPtrArray *services;
	struct route_table *routes;
	uint64_t content_bytes;
	uint64_t config_bytes;
};

static void
service_unref(void *data)
{
	service_config_unref(data);
}

static void
next_clear(struct next *n)
{
	if (n->list != NULL)
		g_array_unref(n->list);
	if (n->services != NULL)
		g_ptr_array_unref(n->services);
	route_table_unref(n->routes);
}

static GBytes *
find_content(const struct catalog_stage *stage, const struct digest *digest)
{
	const struct section *section;

	section = g_hash_table_lookup(stage->added, digest);
	if (section != NULL)
		return section->content;
	return contents_get(stage->c->contents, digest);
}

/* The service of a digest: held, or added, or decoded once more. */
static enum status
find_service(const struct catalog_stage *stage,
    const struct rec_section_ref *ref, GBytes *content,
    struct service_config **sc)
{
	const struct section *section;
	struct service_config *held;
	const uint8_t *data;
	size_t len;

	held = catalog_find(stage->c, ref->service);
	if (held != NULL && hash_digest_equal(&held->digest, &ref->digest)) {
		*sc = service_config_ref(held);
		return STATUS_OK;
	}
	section = g_hash_table_lookup(stage->added, &ref->digest);
	if (section != NULL) {
		*sc = service_config_ref(section->config);
		return STATUS_OK;
	}
	data = g_bytes_get_data(content, &len);
	return section_decode(data, len, sc);
}

static enum status
add_service(const struct catalog_stage *stage,
    const struct rec_section_ref *ref, struct next *n)
{
	struct service_config *sc;
	GBytes *content;
	enum status st;

	content = find_content(stage, &ref->digest);
	if (content == NULL)
		return status_set(STATUS_UNAVAILABLE,
		    "The section of service %s has not come yet; fetch it.",
		    ref->service);
	st = find_service(stage, ref, content, &sc);
	if (st != STATUS_OK)
		return st;
	g_ptr_array_add(n->services, sc);
	n->content_bytes += g_bytes_get_size(content);
	if (strcmp(sc->name, ref->service) == 0)
		return STATUS_OK;
	return status_set(STATUS_INVALID,
	    "The list calls the section of service %s %s; take the full list "
	    "from another node.",
	    sc->name, ref->service);
}

/* Whether two routes have the same entry in a table. */
static bool
same_place(const struct service_route *a, const struct service_route *b)
{
	return a->methods == b->methods && a->below == b->below &&
	    (a->weight > 0) == (b->weight > 0) &&
	    strcmp(a->host, b->host) == 0 && strcmp(a->prefix, b->prefix) == 0;
}

static bool
same_routes(const struct service_config *a, const struct service_config *b)
{
	uint32_t i;

	if (a == b)
		return true;
	if (a->n_routes != b->n_routes || strcmp(a->name, b->name) != 0)
		return false;
	for (i = 0; i < a->n_routes; i++) {
		if (!same_place(&a->routes[i], &b->routes[i]))
			return false;
	}
	return true;
}

/* A table holds indexes, so it fits while services and routes stay. */
static bool
table_fits(const GPtrArray *a, const GPtrArray *b)
{
	uint32_t i;

	if (a->len != b->len)
		return false;
	for (i = 0; i < a->len; i++) {
		if (!same_routes(
			g_ptr_array_index(a, i), g_ptr_array_index(b, i)))
			return false;
	}
	return true;
}

static enum status
next_routes(const struct catalog *c, struct next *n)
{
	if (!table_fits(c->services, n->services))
		return route_table_new(n->services, &n->routes);
	n->routes = route_table_ref(c->routes);
	return STATUS_OK;
}

static void
sum_config(struct next *n)
{
	const struct service_config *sc;
	uint32_t i;

	n->config_bytes = route_table_bytes(n->routes);
	for (i = 0; i < n->services->len; i++) {
		sc = g_ptr_array_index(n->services, i);
		n->config_bytes += sc->size_bytes + SLOT_BYTES;
	}
}

static enum status
size_check(const struct catalog *c, const struct next *n)
{
	uint64_t bytes = n->content_bytes + n->config_bytes;

	if (n->content_bytes <= CONFIG_MAX_BYTES && bytes <= c->max_bytes)
		return STATUS_OK;
	return status_set(STATUS_TOO_LARGE,
	    "The version takes %" G_GUINT64_FORMAT
	    " bytes, its sections %" G_GUINT64_FORMAT
	    "; more than a node may hold. Split the bundle.",
	    bytes, n->content_bytes);
}

static enum status
next_build(const struct catalog_stage *stage, struct next *n)
{
	enum status st;
	uint32_t i;

	st = stage_check(stage, &n->list);
	if (st != STATUS_OK)
		return st;
	n->services = g_ptr_array_new_with_free_func(service_unref);
	for (i = 0; i < n->list->len && st == STATUS_OK; i++)
		st = add_service(stage,
		    &g_array_index(n->list, struct rec_section_ref, i), n);
	if (st == STATUS_OK)
		st = next_routes(stage->c, n);
	if (st != STATUS_OK)
		return st;
	sum_config(n);
	return size_check(stage->c, n);
}

/* The commit as a ring entry, made while the version before is in place. */
static struct ring_entry *
entry_new(const struct catalog *c, const struct catalog_stage *stage,
    const struct next *n)
{
	struct ring_entry *entry;
	GArray *changes, *held;

	held = catalog_refs(c);
	changes = stage->changes != NULL ? g_array_ref(stage->changes)
					 : section_changes(held, n->list);
	entry = ring_entry_new(held,
	    (const struct rec_section_change *)changes->data, changes->len);
	entry->from_version = c->version;
	entry->to_version = stage->version;
	entry->from_root = c->root;
	entry->to_root = stage->root;
	entry->complete = stage->changes != NULL && !stage->skips;
	g_array_unref(changes);
	g_array_unref(held);
	return entry;
}

static void
hold_contents(
    struct catalog *c, const struct catalog_stage *stage, const GArray *list)
{
	const struct rec_section_ref *ref;
	uint32_t i;

	for (i = 0; i < list->len; i++) {
		ref = &g_array_index(list, struct rec_section_ref, i);
		contents_hold(c->contents, &ref->digest,
		    find_content(stage, &ref->digest));
	}
}

static void
release_contents(struct catalog *c, const GPtrArray *services)
{
	const struct service_config *sc;
	uint32_t i;

	for (i = 0; i < services->len; i++) {
		sc = g_ptr_array_index(services, i);
		contents_release(c->contents, &sc->digest);
	}
}

/* Nothing below can fail. */
static void
swap_in(struct catalog *c, const struct catalog_stage *stage, struct next *n)
{
	struct ring_entry *entry;

	entry = entry_new(c, stage, n);
	hold_contents(c, stage, n->list);
	ring_push(c, entry);
	release_contents(c, c->services);
	g_ptr_array_unref(c->services);
	c->services = g_steal_pointer(&n->services);
	route_table_unref(c->routes);
	c->routes = g_steal_pointer(&n->routes);
	c->version = stage->version;
	c->root = stage->root;
	c->config_bytes = n->config_bytes;
}

enum status
catalog_commit(struct catalog *c, struct catalog_stage *stage)
{
	struct next n;
	enum status st;

	memset(&n, 0, sizeof(n));
	st = next_build(stage, &n);
	if (st == STATUS_OK) {
		swap_in(c, stage, &n);
		ring_trim(c);
	}
	next_clear(&n);
	return st;
}
