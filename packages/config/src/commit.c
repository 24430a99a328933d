/*
 * Commit of a stage: the target version is built and checked beside the current
 * version, then replaces it in one step.
 */
#include <string.h>

#include "stage_defs.h"

/**
 * struct staged_version - the target version, built beside the current one
 * @base_version: current version when the target version was built
 * @list: section list, struct rec_section_ref
 * @sections: struct service_config, in the order of @list
 * @n_services: number of services in @sections
 * @routes: routes of all services
 * @customers: table of customers, or NULL
 * @content_bytes: total size of the contents in bytes
 * @config_bytes: memory of @sections and @routes in bytes
 */
struct staged_version {
	uint64_t base_version;
	GArray *list;
	GPtrArray *sections;
	uint32_t n_services;
	struct route_table *routes;
	struct customer_table *customers;
	uint64_t content_bytes;
	uint64_t config_bytes;
};

static void
service_unref(void *data)
{
	service_config_unref(data);
}

void
staged_version_free(struct staged_version *sv)
{
	if (sv == NULL)
		return;
	if (sv->list != NULL)
		g_array_unref(sv->list);
	if (sv->sections != NULL)
		g_ptr_array_unref(sv->sections);
	route_table_unref(sv->routes);
	customer_table_unref(sv->customers);
	g_free(sv);
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

/* Get a decoded section: from the current version, from the added contents, or
 * by decoding @content. */
static enum status
find_config(const struct catalog_stage *stage,
    const struct rec_section_ref *ref, GBytes *content,
    struct service_config **sc)
{
	const struct section *section;
	struct service_config *current;
	const uint8_t *data;
	size_t len;

	current = catalog_find_section(stage->c, ref->section);
	if (current != NULL &&
	    hash_digest_equal(&current->digest, &ref->digest)) {
		*sc = service_config_ref(current);
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
add_section(const struct catalog_stage *stage,
    const struct rec_section_ref *ref, struct staged_version *sv)
{
	struct service_config *sc;
	GBytes *content;
	enum status st;

	content = find_content(stage, &ref->digest);
	if (content == NULL)
		return status_set(STATUS_UNAVAILABLE,
		    "Section %s is missing; fetch it.", ref->section);
	st = find_config(stage, ref, content, &sc);
	if (st != STATUS_OK)
		return st;
	g_ptr_array_add(sv->sections, sc);
	sv->content_bytes += g_bytes_get_size(content);
	if (strcmp(sc->section, ref->section) == 0)
		return STATUS_OK;
	return status_set(STATUS_INVALID,
	    "The list calls section %s %s; take the full list from another "
	    "node.",
	    sc->section, ref->section);
}

static bool
same_limits(const struct service_limits *a, const struct service_limits *b)
{
	return a->slots_per_endpoint == b->slots_per_endpoint &&
	    a->queue_per_endpoint == b->queue_per_endpoint &&
	    a->queue_wait_ms == b->queue_wait_ms &&
	    a->caller_calls_per_s == b->caller_calls_per_s &&
	    a->request_max_bytes == b->request_max_bytes &&
	    a->head_max_bytes == b->head_max_bytes &&
	    a->head_ms == b->head_ms && a->idle_ms == b->idle_ms;
}

static bool
same_numbers(const struct service_config *a, const struct service_config *b)
{
	return a->timeout_ms == b->timeout_ms &&
	    a->retry.attempts == b->retry.attempts &&
	    a->retry.budget_percent == b->retry.budget_percent &&
	    same_limits(&a->limits, &b->limits);
}

/*
 * Check that parts of one service have the same numbers and that none covers
 * another.  Sections are sorted, so a section that covers others directly
 * precedes the first of them.
 */
static enum status
check_parts(struct staged_version *sv)
{
	const struct service_config *before = NULL, *sc;
	uint32_t i;

	sv->n_services = 0;
	for (i = 0; i < sv->sections->len; i++, before = sc) {
		sc = g_ptr_array_index(sv->sections, i);
		if (before == NULL || strcmp(before->name, sc->name) != 0) {
			sv->n_services += sc->holds_customers ? 0 : 1;
			continue;
		}
		if (same_numbers(before, sc) &&
		    !section_name_covers(before->section, sc->section))
			continue;
		return status_set(STATUS_INVALID,
		    "Sections %s and %s of one service contradict each other; "
		    "take the full list from another node.",
		    before->section, sc->section);
	}
	if (sv->n_services <= CONFIG_MAX_SERVICES)
		return STATUS_OK;
	return status_set(STATUS_TOO_LARGE,
	    "A version has %u services, at most %d are taken; split the "
	    "bundle.",
	    sv->n_services, CONFIG_MAX_SERVICES);
}

/* Whether two routes have equal entries in a route table. */
static bool
same_table_entry(const struct service_route *a, const struct service_route *b)
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
	if (a->n_routes != b->n_routes || strcmp(a->section, b->section) != 0)
		return false;
	for (i = 0; i < a->n_routes; i++) {
		if (!same_table_entry(&a->routes[i], &b->routes[i]))
			return false;
	}
	return true;
}

/* A route table contains only indexes and texts, so it can be reused while the
 * order of sections and the matching of their routes are unchanged. */
static bool
table_reusable(const GPtrArray *a, const GPtrArray *b)
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
staged_version_routes(const struct catalog *c, struct staged_version *sv)
{
	if (!table_reusable(c->sections, sv->sections))
		return route_table_new(sv->sections, &sv->routes);
	sv->routes = route_table_ref(c->routes);
	return STATUS_OK;
}

static enum status
staged_version_customers(const struct catalog *c, struct staged_version *sv)
{
	if (!customer_table_is_of(c->customers, sv->sections))
		return customer_table_new(sv->sections, &sv->customers);
	if (c->customers != NULL)
		sv->customers = customer_table_ref(c->customers);
	return STATUS_OK;
}

static void
sum_config_bytes(struct staged_version *sv)
{
	const struct service_config *sc;
	uint32_t i;

	sv->config_bytes =
	    route_table_bytes(sv->routes) + customer_table_bytes(sv->customers);
	for (i = 0; i < sv->sections->len; i++) {
		sc = g_ptr_array_index(sv->sections, i);
		sv->config_bytes += sc->size_bytes + ALLOC_OVERHEAD_BYTES;
	}
}

static enum status
size_check(const struct catalog *c, const struct staged_version *sv)
{
	uint64_t bytes = sv->content_bytes + sv->config_bytes;

	if (sv->content_bytes <= CONFIG_MAX_BYTES && bytes <= c->max_bytes)
		return STATUS_OK;
	return status_set(STATUS_TOO_LARGE,
	    "The version takes %" G_GUINT64_FORMAT
	    " bytes, its sections %" G_GUINT64_FORMAT
	    "; more than a node may hold. Split the bundle.",
	    bytes, sv->content_bytes);
}

static enum status
staged_version_build(
    const struct catalog_stage *stage, struct staged_version *sv)
{
	enum status st;
	uint32_t i;

	st = stage_check(stage, &sv->list);
	if (st != STATUS_OK)
		return st;
	sv->sections = g_ptr_array_new_with_free_func(service_unref);
	for (i = 0; i < sv->list->len && st == STATUS_OK; i++)
		st = add_section(stage,
		    &g_array_index(sv->list, struct rec_section_ref, i), sv);
	if (st == STATUS_OK)
		st = check_parts(sv);
	if (st == STATUS_OK)
		st = staged_version_routes(stage->c, sv);
	if (st == STATUS_OK)
		st = staged_version_customers(stage->c, sv);
	if (st != STATUS_OK)
		return st;
	sum_config_bytes(sv);
	return size_check(stage->c, sv);
}

/* Create the ring entry of a commit; the catalog must still have the version
 * before. */
static struct ring_entry *
ring_entry_of_stage(const struct catalog *c, const struct catalog_stage *stage,
    const struct staged_version *sv)
{
	struct ring_entry *entry;
	GArray *changes, *current;

	current = catalog_refs(c);
	changes = stage->changes != NULL ? g_array_ref(stage->changes)
					 : section_changes(current, sv->list);
	entry = ring_entry_new(current,
	    (const struct rec_section_change *)changes->data, changes->len);
	entry->from_version = c->version;
	entry->to_version = stage->version;
	entry->from_root = c->root;
	entry->to_root = stage->root;
	entry->complete = stage->changes != NULL && !stage->skips;
	g_array_unref(changes);
	g_array_unref(current);
	return entry;
}

static void
ref_contents(
    struct catalog *c, const struct catalog_stage *stage, const GArray *list)
{
	const struct rec_section_ref *ref;
	uint32_t i;

	for (i = 0; i < list->len; i++) {
		ref = &g_array_index(list, struct rec_section_ref, i);
		contents_ref(c->contents, &ref->digest,
		    find_content(stage, &ref->digest));
	}
}

static void
unref_contents(struct catalog *c, const GPtrArray *sections)
{
	const struct service_config *sc;
	uint32_t i;

	for (i = 0; i < sections->len; i++) {
		sc = g_ptr_array_index(sections, i);
		contents_unref(c->contents, &sc->digest);
	}
}

/* Replace the current version; must not fail, so that a commit is complete or
 * has no effect. */
static void
install(struct catalog *c, const struct catalog_stage *stage,
    struct staged_version *sv)
{
	struct ring_entry *entry;

	entry = ring_entry_of_stage(c, stage, sv);
	ref_contents(c, stage, sv->list);
	ring_push(c, entry);
	unref_contents(c, c->sections);
	g_ptr_array_unref(c->sections);
	c->sections = g_steal_pointer(&sv->sections);
	c->n_services = sv->n_services;
	route_table_unref(c->routes);
	c->routes = g_steal_pointer(&sv->routes);
	customer_table_unref(c->customers);
	c->customers = g_steal_pointer(&sv->customers);
	c->version = stage->version;
	c->root = stage->root;
	c->config_bytes = sv->config_bytes;
}

enum status
catalog_stage_check(struct catalog_stage *stage)
{
	struct staged_version *sv = stage->built;
	enum status st;

	if (sv != NULL && sv->base_version == stage->c->version)
		return STATUS_OK;
	g_clear_pointer(&stage->built, staged_version_free);
	sv = g_new0(struct staged_version, 1);
	sv->base_version = stage->c->version;
	st = staged_version_build(stage, sv);
	if (st == STATUS_OK)
		stage->built = sv;
	else
		staged_version_free(sv);
	return st;
}

enum status
catalog_commit(struct catalog *c, struct catalog_stage *stage)
{
	enum status st = catalog_stage_check(stage);

	if (st != STATUS_OK)
		return st;
	install(c, stage, stage->built);
	ring_trim(c);
	g_clear_pointer(&stage->built, staged_version_free);
	return STATUS_OK;
}
