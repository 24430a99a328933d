/*
 * The ring of the last commits: deltas to newer versions, full lists of older
 * versions, and patches.
 */
#include <string.h>

#include "catalog_defs.h"
#include "parts.h"
#include "patch.h"

#define RING_CHANGE(entry, i) \
	(&g_array_index((entry)->changes, struct ring_change, (i)))

void
ring_entry_free(void *data)
{
	struct ring_entry *entry = data;

	g_array_unref(entry->changes);
	g_free(entry);
}

/* Set the change that reverts a change of a section, from the list before the
 * commit. */
static void
set_reverse(struct rec_section_change *reverse, const GArray *from,
    uint32_t *next, const char *section)
{
	const struct rec_section_ref *ref = NULL;
	int order = -1;

	memset(reverse, 0, sizeof(*reverse));
	(void)g_strlcpy(reverse->section, section, sizeof(reverse->section));
	while (*next < from->len && order < 0) {
		ref = &g_array_index(from, struct rec_section_ref, *next);
		order = strcmp(ref->section, section);
		if (order < 0)
			(*next)++;
	}
	if (order == 0)
		reverse->digest = ref->digest;
	else
		reverse->removed = true;
}

struct ring_entry *
ring_entry_new(const GArray *from, const struct rec_section_change *changes,
    uint32_t n_changes)
{
	struct ring_entry *entry;
	struct ring_change change;
	uint32_t i, next = 0;

	entry = g_new0(struct ring_entry, 1);
	entry->changes = g_array_sized_new(
	    FALSE, TRUE, sizeof(struct ring_change), n_changes);
	for (i = 0; i < n_changes; i++) {
		change.forward = changes[i];
		set_reverse(&change.reverse, from, &next, changes[i].section);
		g_array_append_val(entry->changes, change);
	}
	return entry;
}

static void
unref_change(struct catalog *c, const struct rec_section_change *change)
{
	if (!change->removed)
		contents_unref(c->contents, &change->digest);
}

static void
ring_drop_oldest(struct catalog *c)
{
	struct ring_entry *entry = g_ptr_array_index(c->ring, 0);
	uint32_t i;

	for (i = 0; i < entry->changes->len; i++) {
		unref_change(c, &RING_CHANGE(entry, i)->forward);
		unref_change(c, &RING_CHANGE(entry, i)->reverse);
	}
	g_ptr_array_remove_index(c->ring, 0);
}

static void
ref_change(struct catalog *c, const struct rec_section_change *change)
{
	if (!change->removed)
		contents_ref(c->contents, &change->digest, NULL);
}

void
ring_push(struct catalog *c, struct ring_entry *entry)
{
	uint32_t i;

	for (i = 0; i < entry->changes->len; i++) {
		ref_change(c, &RING_CHANGE(entry, i)->forward);
		ref_change(c, &RING_CHANGE(entry, i)->reverse);
	}
	g_ptr_array_add(c->ring, entry);
	if (c->ring->len > CATALOG_RING_ENTRIES)
		ring_drop_oldest(c);
}

void
ring_trim(struct catalog *c)
{
	uint64_t soft_max = MAX(CATALOG_SOFT_MAX_BYTES, c->config_bytes * 2);

	while (
	    c->ring->len > 0 && catalog_bytes(c) > MIN(c->max_bytes, soft_max))
		ring_drop_oldest(c);
}

/* Index of the first entry for changes from a version, or the ring's length if
 * these changes are not kept. */
static uint32_t
chain_start(const struct catalog *c, uint64_t have_version)
{
	const struct ring_entry *entry;
	uint32_t i;

	for (i = 0; i < c->ring->len; i++) {
		entry = g_ptr_array_index(c->ring, i);
		if (entry->to_version > have_version)
			break;
	}
	if (i == c->ring->len || entry->from_version > have_version)
		return c->ring->len;
	return i;
}

/* Merge the changes of an entry into earlier changes; the later change of a
 * section replaces the earlier one. */
static GArray *
merge_ring_entry(GArray *earlier, const struct ring_entry *entry)
{
	const struct rec_section_change *a, *b;
	uint32_t i = 0, j = 0;
	GArray *out;
	int order;

	out = g_array_sized_new(
	    FALSE, TRUE, sizeof(*a), earlier->len + entry->changes->len);
	while (i < earlier->len || j < entry->changes->len) {
		a = &g_array_index(earlier, struct rec_section_change, i);
		if (j == entry->changes->len)
			order = -1;
		else if (i == earlier->len)
			order = 1;
		else
			order = strcmp(
			    a->section, RING_CHANGE(entry, j)->forward.section);
		b = order < 0 ? a : &RING_CHANGE(entry, j)->forward;
		g_array_append_vals(out, b, 1);
		i += order <= 0;
		j += order >= 0;
	}
	g_array_unref(earlier);
	return out;
}

static enum status
delta_not_kept(uint64_t have_version, uint64_t want_version)
{
	return status_set(STATUS_NOT_FOUND,
	    "The changes from version %" G_GUINT64_FORMAT
	    " to %" G_GUINT64_FORMAT
	    " are no longer kept here; take the full list.",
	    have_version, want_version);
}

/* Merge entries from @i on up to the delta's version.  An incomplete entry may
 * be merged only at its own from_version. */
static enum status
merge_chain(const struct catalog *c, uint32_t i, struct catalog_delta *delta)
{
	const struct ring_entry *entry = NULL;
	uint64_t at = delta->from_version;

	while (i < c->ring->len && at < delta->version) {
		entry = g_ptr_array_index(c->ring, i++);
		if (!entry->complete && entry->from_version != at)
			break;
		delta->skips = delta->skips || !entry->complete;
		delta->changes = merge_ring_entry(delta->changes, entry);
		at = entry->to_version;
	}
	if (at != delta->version)
		return delta_not_kept(delta->from_version, delta->version);
	delta->root = entry->to_root;
	return STATUS_OK;
}

enum status
catalog_delta(const struct catalog *c, uint64_t have_version,
    uint64_t want_version, struct catalog_delta *delta)
{
	enum status st;
	uint32_t i;

	memset(delta, 0, sizeof(*delta));
	if (want_version == 0)
		want_version = c->version;
	if (want_version > c->version)
		return status_set(STATUS_UNAVAILABLE,
		    "Version %" G_GUINT64_FORMAT
		    " is not yet held here; ask again or ask another node.",
		    want_version);
	if (have_version >= want_version)
		return status_set(STATUS_INVALID,
		    "Version %" G_GUINT64_FORMAT
		    " is not above %" G_GUINT64_FORMAT
		    "; there are no changes to give.",
		    want_version, have_version);
	i = chain_start(c, have_version);
	if (i == c->ring->len)
		return delta_not_kept(have_version, want_version);
	delta->from_version = have_version;
	delta->version = want_version;
	delta->changes =
	    g_array_new(FALSE, TRUE, sizeof(struct rec_section_change));
	st = merge_chain(c, i, delta);
	if (st != STATUS_OK)
		catalog_delta_clear(delta);
	return st;
}

void
catalog_delta_clear(struct catalog_delta *delta)
{
	if (delta->changes != NULL)
		g_array_unref(delta->changes);
	memset(delta, 0, sizeof(*delta));
}

/* Find the change of a section in a commit, or NULL if it is unchanged. */
static const struct ring_change *
find_ring_change(const struct ring_entry *entry, const char *section)
{
	uint32_t low = 0, high = entry->changes->len, mid;
	int order;

	while (low < high) {
		mid = low + (high - low) / 2;
		order =
		    strcmp(RING_CHANGE(entry, mid)->forward.section, section);
		if (order == 0)
			return RING_CHANGE(entry, mid);
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return NULL;
}

/* Digest of a section at an older version, or NULL if the section did not exist
 * or has not changed since. */
static const struct digest *
section_digest_at(
    const struct catalog *c, uint64_t have_version, const char *section)
{
	const struct ring_change *change;
	uint32_t i;

	for (i = chain_start(c, have_version); i < c->ring->len; i++) {
		change =
		    find_ring_change(g_ptr_array_index(c->ring, i), section);
		if (change != NULL)
			return change->reverse.removed
			    ? NULL
			    : &change->reverse.digest;
	}
	return NULL;
}

/* Return the patch between two stored sections; replaces the cache entry if
 * that has another patch. */
static const struct rec_section_patch *
cached_patch(struct patch_cache_entry *cached, const struct digest *base,
    GBytes *from, const struct digest *target, GBytes *to)
{
	if (cached->filled && hash_digest_equal(&cached->base, base) &&
	    hash_digest_equal(&cached->target, target))
		return cached->patch;
	patch_free(cached->patch);
	cached->filled = true;
	cached->base = *base;
	cached->target = *target;
	cached->patch = patch_make(from, to);
	if (cached->patch != NULL)
		cached->patch->base = *base;
	return cached->patch;
}

bool
catalog_patch_from(const struct catalog *c, const struct digest *base,
    const struct digest *target, struct rec_section_patch *patch)
{
	const struct rec_section_patch *cached;
	GBytes *from, *to;
	uint32_t index;

	from = contents_get(c->contents, base);
	to = contents_get(c->contents, target);
	if (from == NULL || to == NULL)
		return false;
	index = (uint32_t)digest_hash(target) % PATCH_CACHE_ENTRIES;
	cached = cached_patch(&c->patch_cache[index], base, from, target, to);
	if (cached == NULL)
		return false;
	*patch = *cached;
	patch->hunks =
	    g_memdup2(cached->hunks, cached->n_hunks * sizeof(*cached->hunks));
	patch->data = g_memdup2(cached->data, cached->data_len);
	return true;
}

bool
catalog_patch(const struct catalog *c, uint64_t have_version,
    const struct rec_section_change *change, struct rec_section_patch *patch)
{
	char section[SECTION_NAME_BYTES];
	const struct digest *base;

	(void)g_strlcpy(section, change->section, sizeof(section));
	do
		base = section_digest_at(c, have_version, section);
	while (base == NULL && part_parent(section));
	return base != NULL &&
	    catalog_patch_from(c, base, &change->digest, patch);
}

void
catalog_patch_clear(struct rec_section_patch *patch)
{
	g_free(patch->hunks);
	g_free((void *)patch->data);
}

GBytes *
catalog_patch_apply(
    const struct catalog *c, const struct rec_section_patch *patch)
{
	GBytes *base = contents_get(c->contents, &patch->base);

	return base != NULL ? patch_apply(base, patch) : NULL;
}

/* Revert the changes of an entry in a list. */
static GArray *
undo_entry(GArray *list, const struct ring_entry *entry)
{
	GArray *reverse, *out;
	uint32_t i;

	reverse = g_array_new(FALSE, TRUE, sizeof(struct rec_section_change));
	for (i = 0; i < entry->changes->len; i++)
		g_array_append_val(reverse, RING_CHANGE(entry, i)->reverse);
	out = section_list_apply(list,
	    (const struct rec_section_change *)reverse->data, reverse->len);
	g_array_unref(reverse);
	g_array_unref(list);
	return out;
}

enum status
catalog_list(const struct catalog *c, uint64_t version, struct digest *root,
    GArray **list)
{
	const struct ring_entry *entry;
	struct digest at_root = c->root;
	uint64_t at = c->version;
	uint32_t i = c->ring->len;

	*list = catalog_refs(c);
	if (version == 0)
		version = c->version;
	while (at > version && i > 0) {
		entry = g_ptr_array_index(c->ring, --i);
		*list = undo_entry(*list, entry);
		at = entry->from_version;
		at_root = entry->from_root;
	}
	if (at != version || version == 0) {
		g_array_unref(*list);
		*list = NULL;
		return status_set(STATUS_NOT_FOUND,
		    "Version %" G_GUINT64_FORMAT
		    " is not kept here; ask another node or the platform.",
		    version);
	}
	if (root != NULL)
		*root = at_root;
	return STATUS_OK;
}

uint64_t
catalog_oldest(const struct catalog *c)
{
	const struct ring_entry *entry;
	uint64_t oldest = c->version;
	uint32_t i;

	for (i = c->ring->len; i > 0; i--) {
		entry = g_ptr_array_index(c->ring, i - 1);
		if (!entry->complete)
			break;
		oldest = entry->from_version;
	}
	return oldest;
}
