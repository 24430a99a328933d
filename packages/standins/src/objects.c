/*
 * In-memory object store of the stand-in platform.
 */
#include <glib.h>

#include "standins/objects.h"

struct objects {
	GHashTable *by_key;
	uint64_t bytes;
};

struct objects *
objects_new(void)
{
	struct objects *o = g_new0(struct objects, 1);

	o->by_key = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	return o;
}

struct objects *
objects_copy(const struct objects *o)
{
	struct objects *copy = objects_new();
	GHashTableIter it;
	gpointer key, data;

	g_hash_table_iter_init(&it, o->by_key);
	while (g_hash_table_iter_next(&it, &key, &data))
		g_hash_table_insert(
		    copy->by_key, g_strdup(key), g_bytes_ref(data));
	copy->bytes = o->bytes;
	return copy;
}

void
objects_free(struct objects *o)
{
	if (o == NULL)
		return;
	g_hash_table_destroy(o->by_key);
	g_free(o);
}

size_t
objects_count(const struct objects *o)
{
	return g_hash_table_size(o->by_key);
}

uint64_t
objects_bytes(const struct objects *o)
{
	return o->bytes;
}

enum objects_result
objects_put(struct objects *o, const char *key, GBytes *data, int if_none_match)
{
	GBytes *old = g_hash_table_lookup(o->by_key, key);

	if (old != NULL && if_none_match)
		return OBJECTS_EXISTS;
	if (old != NULL)
		o->bytes -= g_bytes_get_size(old);
	o->bytes += g_bytes_get_size(data);
	g_hash_table_replace(o->by_key, g_strdup(key), g_bytes_ref(data));
	return OBJECTS_OK;
}

enum objects_result
objects_get(const struct objects *o, const char *key, GBytes **data)
{
	GBytes *found = g_hash_table_lookup(o->by_key, key);

	if (found == NULL)
		return OBJECTS_NO_KEY;
	*data = g_bytes_ref(found);
	return OBJECTS_OK;
}
