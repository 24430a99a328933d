/*
 * A section as its difference from another one.
 *
 * Blocks of the base are found again in the new section by their hash at any
 * place, and matches grow in both directions as far as the bytes agree.
 */
#include <string.h>

#include "base/hash.h"
#include "config/section.h"
#include "patch.h"

/* A route has 60 to 130 bytes: one that changes spoils two blocks or three. */
#define BLOCK_BYTES 32

/* As many as the message takes. */
#define HUNKS_MAX 1024

#define BLOCK_SEED 17

/** struct text - bytes that are compared */
struct text {
	const uint8_t *data;
	size_t len;
};

/**
 * struct making - a difference on its way
 * @from: the base
 * @to: the new section
 * @blocks: hash of a block of the base to its place, plus 1
 * @hunks: struct rec_patch_hunk
 * @data: new bytes of all hunks
 * @done: bytes of @to that the hunks lead to
 */
struct making {
	struct text from;
	struct text to;
	GHashTable *blocks;
	GArray *hunks;
	GByteArray *data;
	size_t done;
};

static gpointer
block_key(const uint8_t *at)
{
	return GSIZE_TO_POINTER((gsize)hash64(at, BLOCK_BYTES, BLOCK_SEED));
}

static void
index_base(struct making *m)
{
	size_t at;

	m->blocks = g_hash_table_new(NULL, NULL);
	for (at = 0; at + BLOCK_BYTES <= m->from.len; at += BLOCK_BYTES)
		g_hash_table_insert(m->blocks, block_key(m->from.data + at),
		    GSIZE_TO_POINTER(at + 1));
}

/* New bytes go behind the hunk before, or make one without base bytes. */
static void
add_data(struct making *m, size_t until)
{
	struct rec_patch_hunk none = {0};
	size_t len = until - m->done;

	if (len == 0)
		return;
	if (m->hunks->len == 0)
		g_array_append_val(m->hunks, none);
	g_array_index(m->hunks, struct rec_patch_hunk, m->hunks->len - 1)
	    .data_bytes += (uint32_t)len;
	g_byte_array_append(m->data, m->to.data + m->done, (guint)len);
	m->done = until;
}

/* The bytes at @at of the new section are those at @from of the base. */
static void
add_match(struct making *m, size_t at, size_t from)
{
	struct rec_patch_hunk hunk = {0};
	size_t len = BLOCK_BYTES;

	while (at > m->done && from > 0 &&
	    m->to.data[at - 1] == m->from.data[from - 1]) {
		at--;
		from--;
		len++;
	}
	while (at + len < m->to.len && from + len < m->from.len &&
	    m->to.data[at + len] == m->from.data[from + len])
		len++;
	add_data(m, at);
	hunk.from = (uint32_t)from;
	hunk.base_bytes = (uint32_t)len;
	g_array_append_val(m->hunks, hunk);
	m->done = at + len;
}

static bool
block_at(const struct making *m, size_t at, size_t *from)
{
	gpointer place;

	place = g_hash_table_lookup(m->blocks, block_key(m->to.data + at));
	if (place == NULL)
		return false;
	*from = GPOINTER_TO_SIZE(place) - 1;
	return memcmp(m->to.data + at, m->from.data + *from, BLOCK_BYTES) == 0;
}

static void
find_matches(struct making *m)
{
	size_t at = 0, from;

	while (at + BLOCK_BYTES <= m->to.len && m->hunks->len < HUNKS_MAX - 1) {
		if (block_at(m, at, &from)) {
			add_match(m, at, from);
			at = m->done;
		} else {
			at++;
		}
	}
	add_data(m, m->to.len);
}

static struct rec_section_patch *
patch_of(struct making *m)
{
	struct rec_section_patch *patch = g_new0(struct rec_section_patch, 1);

	patch->n_hunks = m->hunks->len;
	patch->hunks =
	    (struct rec_patch_hunk *)(void *)g_array_free(m->hunks, FALSE);
	patch->data_len = m->data->len;
	patch->data = g_byte_array_free(m->data, FALSE);
	return patch;
}

struct rec_section_patch *
patch_make(GBytes *from, GBytes *to)
{
	struct rec_section_patch *patch;
	struct making m = {0};

	m.from.data = g_bytes_get_data(from, &m.from.len);
	m.to.data = g_bytes_get_data(to, &m.to.len);
	m.hunks = g_array_new(FALSE, FALSE, sizeof(struct rec_patch_hunk));
	m.data = g_byte_array_new();
	index_base(&m);
	find_matches(&m);
	g_hash_table_unref(m.blocks);
	patch = patch_of(&m);
	if (patch->data_len + patch->n_hunks * sizeof(*patch->hunks) <=
	    m.to.len / 2)
		return patch;
	patch_free(patch);
	return NULL;
}

void
patch_free(struct rec_section_patch *patch)
{
	if (patch == NULL)
		return;
	g_free(patch->hunks);
	g_free((void *)patch->data);
	g_free(patch);
}

/* Appends a hunk; false when it leads out of the base, data or limits. */
static bool
append_hunk(GByteArray *made, const struct text *base,
    const struct rec_section_patch *patch, const struct rec_patch_hunk *hunk,
    size_t *used)
{
	uint64_t len = (uint64_t)hunk->base_bytes + hunk->data_bytes;

	if ((uint64_t)hunk->from + hunk->base_bytes > base->len ||
	    *used + (uint64_t)hunk->data_bytes > patch->data_len ||
	    made->len + len > SECTION_MAX_BYTES)
		return false;
	g_byte_array_append(made, base->data + hunk->from, hunk->base_bytes);
	g_byte_array_append(made, patch->data + *used, hunk->data_bytes);
	*used += hunk->data_bytes;
	return true;
}

GBytes *
patch_apply(GBytes *base, const struct rec_section_patch *patch)
{
	GByteArray *made = g_byte_array_new();
	struct text from;
	size_t used = 0;
	uint32_t i;

	from.data = g_bytes_get_data(base, &from.len);
	for (i = 0; i < patch->n_hunks; i++) {
		if (!append_hunk(made, &from, patch, &patch->hunks[i], &used)) {
			g_byte_array_unref(made);
			return NULL;
		}
	}
	return g_byte_array_free_to_bytes(made);
}
