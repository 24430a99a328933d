/*
 * Binary patches between sections.
 *
 * Blocks of the base are indexed by hash and looked up at every offset of the
 * new section.  A match is extended in both directions as far as the bytes are
 * equal.
 */
#include <string.h>

#include "base/hash.h"
#include "config/section.h"
#include "patch.h"

/* A route has 60 to 130 bytes: a changed one invalidates two or three
 * blocks. */
#define BLOCK_BYTES 32

/* Most hunks of the message. */
#define HUNKS_MAX 1024

#define BLOCK_HASH_SEED 17

/** struct byte_span - borrowed bytes */
struct byte_span {
	const uint8_t *data;
	size_t len;
};

/**
 * struct patch_builder - a patch under construction
 * @from: the base
 * @to: the new section
 * @blocks: maps the hash of a block of the base to its offset plus 1
 * @hunks: struct rec_patch_hunk
 * @data: new bytes of all hunks
 * @n_covered: bytes of @to that the hunks produce
 */
struct patch_builder {
	struct byte_span from;
	struct byte_span to;
	GHashTable *blocks;
	GArray *hunks;
	GByteArray *data;
	size_t n_covered;
};

static gpointer
block_key(const uint8_t *at)
{
	return GSIZE_TO_POINTER(
	    (gsize)hash64(at, BLOCK_BYTES, BLOCK_HASH_SEED));
}

static void
index_base(struct patch_builder *b)
{
	size_t at;

	b->blocks = g_hash_table_new(NULL, NULL);
	for (at = 0; at + BLOCK_BYTES <= b->from.len; at += BLOCK_BYTES)
		g_hash_table_insert(b->blocks, block_key(b->from.data + at),
		    GSIZE_TO_POINTER(at + 1));
}

/* Append new bytes to the last hunk, or to a first hunk without base bytes. */
static void
add_data(struct patch_builder *b, size_t until)
{
	struct rec_patch_hunk none = {0};
	size_t len = until - b->n_covered;

	if (len == 0)
		return;
	if (b->hunks->len == 0)
		g_array_append_val(b->hunks, none);
	g_array_index(b->hunks, struct rec_patch_hunk, b->hunks->len - 1)
	    .data_bytes += (uint32_t)len;
	g_byte_array_append(b->data, b->to.data + b->n_covered, (guint)len);
	b->n_covered = until;
}

/* Add a hunk for a block at @at of the new section that is at @from of the
 * base. */
static void
add_match(struct patch_builder *b, size_t at, size_t from)
{
	struct rec_patch_hunk hunk = {0};
	size_t len = BLOCK_BYTES;

	while (at > b->n_covered && from > 0 &&
	    b->to.data[at - 1] == b->from.data[from - 1]) {
		at--;
		from--;
		len++;
	}
	while (at + len < b->to.len && from + len < b->from.len &&
	    b->to.data[at + len] == b->from.data[from + len])
		len++;
	add_data(b, at);
	hunk.from = (uint32_t)from;
	hunk.base_bytes = (uint32_t)len;
	g_array_append_val(b->hunks, hunk);
	b->n_covered = at + len;
}

static bool
block_at(const struct patch_builder *b, size_t at, size_t *from)
{
	gpointer found;

	found = g_hash_table_lookup(b->blocks, block_key(b->to.data + at));
	if (found == NULL)
		return false;
	*from = GPOINTER_TO_SIZE(found) - 1;
	return memcmp(b->to.data + at, b->from.data + *from, BLOCK_BYTES) == 0;
}

static void
find_matches(struct patch_builder *b)
{
	size_t at = 0, from;

	while (at + BLOCK_BYTES <= b->to.len && b->hunks->len < HUNKS_MAX - 1) {
		if (block_at(b, at, &from)) {
			add_match(b, at, from);
			at = b->n_covered;
		} else {
			at++;
		}
	}
	add_data(b, b->to.len);
}

static struct rec_section_patch *
builder_finish(struct patch_builder *b)
{
	struct rec_section_patch *patch = g_new0(struct rec_section_patch, 1);

	patch->n_hunks = b->hunks->len;
	patch->hunks =
	    (struct rec_patch_hunk *)(void *)g_array_free(b->hunks, FALSE);
	patch->data_len = b->data->len;
	patch->data = g_byte_array_free(b->data, FALSE);
	return patch;
}

struct rec_section_patch *
patch_make(GBytes *from, GBytes *to)
{
	struct rec_section_patch *patch;
	struct patch_builder b = {0};

	b.from.data = g_bytes_get_data(from, &b.from.len);
	b.to.data = g_bytes_get_data(to, &b.to.len);
	b.hunks = g_array_new(FALSE, FALSE, sizeof(struct rec_patch_hunk));
	b.data = g_byte_array_new();
	index_base(&b);
	find_matches(&b);
	g_hash_table_unref(b.blocks);
	patch = builder_finish(&b);
	if (patch->data_len + patch->n_hunks * sizeof(*patch->hunks) <=
	    b.to.len / 2)
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

/* Append the bytes of a hunk; false if it exceeds the base, the data or the
 * largest section. */
static bool
append_hunk(GByteArray *result, const struct byte_span *base,
    const struct rec_section_patch *patch, const struct rec_patch_hunk *hunk,
    size_t *used)
{
	uint64_t len = (uint64_t)hunk->base_bytes + hunk->data_bytes;

	if ((uint64_t)hunk->from + hunk->base_bytes > base->len ||
	    *used + (uint64_t)hunk->data_bytes > patch->data_len ||
	    result->len + len > SECTION_DECODE_MAX_BYTES)
		return false;
	g_byte_array_append(result, base->data + hunk->from, hunk->base_bytes);
	g_byte_array_append(result, patch->data + *used, hunk->data_bytes);
	*used += hunk->data_bytes;
	return true;
}

GBytes *
patch_apply(GBytes *base, const struct rec_section_patch *patch)
{
	GByteArray *result = g_byte_array_new();
	struct byte_span from;
	size_t used = 0;
	uint32_t i;

	from.data = g_bytes_get_data(base, &from.len);
	for (i = 0; i < patch->n_hunks; i++) {
		if (!append_hunk(
			result, &from, patch, &patch->hunks[i], &used)) {
			g_byte_array_unref(result);
			return NULL;
		}
	}
	return g_byte_array_free_to_bytes(result);
}
