/*
 * What a node holds of the configuration.
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
	c->services = g_ptr_array_new_with_free_func(service_unref);
	c->contents = contents_new();
	c->ring = g_ptr_array_new_with_free_func(ring_entry_free);
	c->memos = g_new0(struct patch_memo, PATCH_MEMOS);
	/* The table of no services has no crossing routes. */
	(void)route_table_new(c->services, &c->routes);
	return c;
}

static void
memos_free(struct patch_memo *memos)
{
	uint32_t i;

	for (i = 0; i < PATCH_MEMOS; i++)
		patch_free(memos[i].patch);
	g_free(memos);
}

void
catalog_free(struct catalog *c)
{
	if (c == NULL)
		return;
	memos_free(c->memos);
	g_ptr_array_unref(c->ring);
	contents_free(c->contents);
	route_table_unref(c->routes);
	g_ptr_array_unref(c->services);
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
	return c->services->len;
}

struct service_config *
catalog_service(const struct catalog *c, uint32_t i)
{
	return g_ptr_array_index(c->services, i);
}

struct service_config *
catalog_find(const struct catalog *c, const char *name)
{
	uint32_t low = 0, high = c->services->len, mid;
	struct service_config *sc;
	int order;

	while (low < high) {
		mid = low + (high - low) / 2;
		sc = g_ptr_array_index(c->services, mid);
		order = strcmp(sc->name, name);
		if (order == 0)
			return sc;
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return NULL;
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
		bytes += sizeof(*entry) + SLOT_BYTES +
		    entry->steps->len * sizeof(struct ring_step);
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

	list = g_array_sized_new(FALSE, TRUE, sizeof(ref), c->services->len);
	for (i = 0; i < c->services->len; i++) {
		sc = g_ptr_array_index(c->services, i);
		memset(&ref, 0, sizeof(ref));
		g_strlcpy(ref.service, sc->name, sizeof(ref.service));
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
