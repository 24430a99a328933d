/*
 * A node's store of the configuration: creation and look-ups.
 */
#include <string.h>

#include "catalog_defs.h"
#include "patch.h"

static void
service_unref(void *data)
{
	service_config_unref(data);
}

struct catalog *
catalog_new(uint64_t max_bytes)
{
	struct catalog *c;

	c = g_new0(struct catalog, 1);
	c->max_bytes = max_bytes != 0 ? max_bytes : CATALOG_DEFAULT_BYTES;
	c->sections = g_ptr_array_new_with_free_func(service_unref);
	c->contents = contents_new();
	c->ring = g_ptr_array_new_with_free_func(ring_entry_free);
	c->patch_cache = g_new0(struct patch_cache_entry, PATCH_CACHE_ENTRIES);
	/* Can't fail: a table without services has no overlapping routes. */
	(void)route_table_new(c->sections, &c->routes);
	return c;
}

static void
patch_cache_free(struct patch_cache_entry *patch_cache)
{
	uint32_t i;

	for (i = 0; i < PATCH_CACHE_ENTRIES; i++)
		patch_free(patch_cache[i].patch);
	g_free(patch_cache);
}

void
catalog_free(struct catalog *c)
{
	if (c == NULL)
		return;
	patch_cache_free(c->patch_cache);
	g_ptr_array_unref(c->ring);
	contents_free(c->contents);
	route_table_unref(c->routes);
	customer_table_unref(c->customers);
	g_ptr_array_unref(c->sections);
	g_free(c);
}

uint64_t
catalog_version(const struct catalog *c)
{
	return c->version;
}

const struct digest *
catalog_root(const struct catalog *c)
{
	return &c->root;
}

uint32_t
catalog_n_services(const struct catalog *c)
{
	return c->n_services;
}

uint32_t
catalog_n_sections(const struct catalog *c)
{
	return c->sections->len;
}

struct service_config *
catalog_section(const struct catalog *c, uint32_t i)
{
	return g_ptr_array_index(c->sections, i);
}

/* Find the first section whose name is not less than a name, or NULL. */
static struct service_config *
section_lower_bound(const struct catalog *c, const char *name)
{
	uint32_t low = 0, high = c->sections->len, mid;
	const struct service_config *sc;

	while (low < high) {
		mid = low + (high - low) / 2;
		sc = g_ptr_array_index(c->sections, mid);
		if (strcmp(sc->section, name) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low < c->sections->len ? g_ptr_array_index(c->sections, low)
				      : NULL;
}

/* The parts of a service sort directly after the service's own name, so the
 * lower bound is its only section or its first part. */
struct service_config *
catalog_find(const struct catalog *c, const char *name)
{
	struct service_config *sc = section_lower_bound(c, name);

	return sc != NULL && strcmp(sc->name, name) == 0 ? sc : NULL;
}

struct service_config *
catalog_find_section(const struct catalog *c, const char *section)
{
	struct service_config *sc = section_lower_bound(c, section);

	return sc != NULL && strcmp(sc->section, section) == 0 ? sc : NULL;
}

uint64_t
catalog_bytes(const struct catalog *c)
{
	const struct ring_entry *entry;
	uint64_t bytes;
	uint32_t i;

	bytes = c->config_bytes + contents_bytes(c->contents);
	for (i = 0; i < c->ring->len; i++) {
		entry = g_ptr_array_index(c->ring, i);
		bytes += sizeof(*entry) + ALLOC_OVERHEAD_BYTES +
		    entry->changes->len * sizeof(struct ring_change);
	}
	return bytes;
}

GArray *
catalog_refs(const struct catalog *c)
{
	const struct service_config *sc;
	struct rec_section_ref ref;
	GArray *list;
	uint32_t i;

	list = g_array_sized_new(FALSE, TRUE, sizeof(ref), c->sections->len);
	for (i = 0; i < c->sections->len; i++) {
		sc = g_ptr_array_index(c->sections, i);
		memset(&ref, 0, sizeof(ref));
		(void)g_strlcpy(ref.section, sc->section, sizeof(ref.section));
		ref.digest = sc->digest;
		g_array_append_val(list, ref);
	}
	return list;
}

GBytes *
catalog_content(const struct catalog *c, const struct digest *digest)
{
	return contents_get(c->contents, digest);
}
