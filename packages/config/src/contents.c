/*
 * Reference-counted store of section contents, by digest.
 */
#include <string.h>

#include "contents.h"

/* Memory of an entry without its content: allocations and hash table slot. */
#define ENTRY_BYTES 160

struct entry {
	struct digest digest;
	GBytes *content;
	uint32_t refs;
};

struct contents {
	GHashTable *entries;
	uint64_t bytes;
};

guint
digest_hash(gconstpointer key)
{
	const struct digest *d = key;
	guint h;

	/* The bytes of a digest are uniformly distributed. */
	memcpy(&h, d->bytes, sizeof(h));
	return h;
}

gboolean
digest_equal(gconstpointer a, gconstpointer b)
{
	return hash_digest_equal(a, b);
}

static void
entry_free(void *data)
{
	struct entry *e = data;

	g_bytes_unref(e->content);
	g_free(e);
}

struct contents *
contents_new(void)
{
	struct contents *cs;

	cs = g_new0(struct contents, 1);
	cs->entries =
	    g_hash_table_new_full(digest_hash, digest_equal, NULL, entry_free);
	return cs;
}

void
contents_free(struct contents *cs)
{
	g_hash_table_unref(cs->entries);
	g_free(cs);
}

GBytes *
contents_get(const struct contents *cs, const struct digest *digest)
{
	const struct entry *e = g_hash_table_lookup(cs->entries, digest);

	return e != NULL ? e->content : NULL;
}

static uint64_t
entry_bytes(const struct entry *e)
{
	return g_bytes_get_size(e->content) + ENTRY_BYTES;
}

void
contents_ref(struct contents *cs, const struct digest *digest, GBytes *content)
{
	struct entry *e;

	e = g_hash_table_lookup(cs->entries, digest);
	if (e == NULL) {
		e = g_new0(struct entry, 1);
		e->digest = *digest;
		e->content = g_bytes_ref(content);
		g_hash_table_insert(cs->entries, &e->digest, e);
		cs->bytes += entry_bytes(e);
	}
	e->refs++;
}

void
contents_unref(struct contents *cs, const struct digest *digest)
{
	struct entry *e;

	e = g_hash_table_lookup(cs->entries, digest);
	if (--e->refs > 0)
		return;
	cs->bytes -= entry_bytes(e);
	g_hash_table_remove(cs->entries, digest);
}

uint64_t
contents_bytes(const struct contents *cs)
{
	return cs->bytes;
}
