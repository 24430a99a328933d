/*
 * The ring of the last commits: deltas forward, full lists back.
 */
#include <string.h>

#include "catalog_defs.h"
#include "parts.h"
#include "patch.h"

#define STEP(entry, i) (&g_array_index((entry)->steps, struct ring_step, (i)))

void
ring_entry_free(void *data)
{
	struct ring_entry *entry = data;

	g_array_unref(entry->steps);
	g_free(entry);
}

/* The change that undoes a change of a section on the list before. */
static void
set_back(struct rec_section_change *back, const GArray *from, uint32_t *next,
    const char *section)
{
	const struct rec_section_ref *ref = NULL;
	int order = -1;

	memset(back, 0, sizeof(*back));
	(void)g_strlcpy(back->section, section, sizeof(back->section));
	while (*next < from->len && order < 0) {
		ref = &g_array_index(from, struct rec_section_ref, *next);
		order = strcmp(ref->section, section);
		if (order < 0)
			(*next)++;
	}
	if (order == 0)
		back->digest = ref->digest;
	else
		back->removed = true;
}

struct ring_entry *
ring_entry_new(const GArray *from, const struct rec_section_change *changes,
    uint32_t n_changes)
{
	struct ring_entry *entry;
	struct ring_step step;
	uint32_t i, next = 0;

	entry = g_new0(struct ring_entry, 1);
	entry->steps =
	    g_array_sized_new(FALSE, TRUE, sizeof(struct ring_step), n_changes);
	for (i = 0; i < n_changes; i++) {
		step.forward = changes[i];
		set_back(&step.back, from, &next, changes[i].section);
		g_array_append_val(entry->steps, step);
	}
	return entry;
}

static void
release_change(struct catalog *c, const struct rec_section_change *change)
{
	if (!change->removed)
		contents_release(c->contents, &change->digest);
}

static void
ring_drop_oldest(struct catalog *c)
{
	struct ring_entry *entry = g_ptr_array_index(c->ring, 0);
	uint32_t i;

	for (i = 0; i < entry->steps->len; i++) {
		release_change(c, &STEP(entry, i)->forward);
		release_change(c, &STEP(entry, i)->back);
	}
	g_ptr_array_remove_index(c->ring, 0);
}

static void
hold_change(struct catalog *c, const struct rec_section_change *change)
{
	if (!change->removed)
		contents_hold(c->contents, &change->digest, NULL);
}

void
ring_push(struct catalog *c, struct ring_entry *entry)
{
	uint32_t i;

	for (i = 0; i < entry->steps->len; i++) {
		hold_change(c, &STEP(entry, i)->forward);
		hold_change(c, &STEP(entry, i)->back);
	}
	g_ptr_array_add(c->ring, entry);
	if (c->ring->len > CATALOG_RING)
		ring_drop_oldest(c);
}

void
ring_trim(struct catalog *c)
{
	uint64_t kept = MAX(CATALOG_KEPT_BYTES, c->config_bytes * 2);

	while (c->ring->len > 0 && catalog_bytes(c) > MIN(c->max_bytes, kept))
		ring_drop_oldest(c);
}

/* Index of the first entry of a chain from one version on, or the length. */
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

/* Merge an entry's changes into those of earlier ones; the later count. */
static GArray *
merge_steps(GArray *earlier, const struct ring_entry *entry)
{
	const struct rec_section_change *a, *b;
	uint32_t i = 0, j = 0;
	GArray *out;
	int order;

	out = g_array_sized_new(
	    FALSE, TRUE, sizeof(*a), earlier->len + entry->steps->len);
	while (i < earlier->len || j < entry->steps->len) {
		a = &g_array_index(earlier, struct rec_section_change, i);
		if (j == entry->steps->len)
			order = -1;
		else if (i == earlier->len)
			order = 1;
		else
			order =
			    strcmp(a->section, STEP(entry, j)->forward.section);
		b = order < 0 ? a : &STEP(entry, j)->forward;
		g_array_append_vals(out, b, 1);
		i += order <= 0;
		j += order >= 0;
	}
	g_array_unref(earlier);
	return out;
}

static enum status
not_kept(uint64_t have_version, uint64_t want_version)
{
	return status_set(STATUS_NOT_FOUND,
	    "The changes from version %" G_GUINT64_FORMAT
	    " to %" G_GUINT64_FORMAT
	    " are no longer kept here; take the full list.",
	    have_version, want_version);
}

/* Merge entries from @i on until a version is reached. */
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
		delta->changes = merge_steps(delta->changes, entry);
		at = entry->to_version;
	}
	if (at != delta->version)
		return not_kept(delta->from_version, delta->version);
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
		return not_kept(have_version, want_version);
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

/* What a commit made of a section, or NULL when it left it as it was. */
static const struct ring_step *
step_of(const struct ring_entry *entry, const char *section)
{
	uint32_t low = 0, high = entry->steps->len, mid;
	int order;

	while (low < high) {
		mid = low + (high - low) / 2;
		order = strcmp(STEP(entry, mid)->forward.section, section);
		if (order == 0)
			return STEP(entry, mid);
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return NULL;
}

/* Digest of a section at a version that is not the newest. */
static const struct digest *
section_before(
    const struct catalog *c, uint64_t have_version, const char *section)
{
	const struct ring_step *step;
	uint32_t i;

	for (i = chain_start(c, have_version); i < c->ring->len; i++) {
		step = step_of(g_ptr_array_index(c->ring, i), section);
		if (step != NULL)
			return step->back.removed ? NULL : &step->back.digest;
	}
	return NULL;
}

/* Keeps the difference of two sections that are held here. */
static const struct rec_section_patch *
made_patch(struct patch_memo *memo, const struct digest *base, GBytes *from,
    const struct digest *target, GBytes *to)
{
	if (memo->filled && hash_digest_equal(&memo->base, base) &&
	    hash_digest_equal(&memo->target, target))
		return memo->patch;
	patch_free(memo->patch);
	memo->filled = true;
	memo->base = *base;
	memo->target = *target;
	memo->patch = patch_make(from, to);
	if (memo->patch != NULL)
		memo->patch->base = *base;
	return memo->patch;
}

bool
catalog_patch_from(const struct catalog *c, const struct digest *base,
    const struct digest *target, struct rec_section_patch *patch)
{
	const struct rec_section_patch *made;
	GBytes *from, *to;
	uint32_t slot;

	from = contents_get(c->contents, base);
	to = contents_get(c->contents, target);
	if (from == NULL || to == NULL)
		return false;
	slot = (uint32_t)digest_hash(target) % PATCH_MEMOS;
	made = made_patch(&c->memos[slot], base, from, target, to);
	if (made == NULL)
		return false;
	*patch = *made;
	patch->hunks =
	    g_memdup2(made->hunks, made->n_hunks * sizeof(*made->hunks));
	patch->data = g_memdup2(made->data, made->data_len);
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
		base = section_before(c, have_version, section);
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

/* A list with an entry's steps taken back. */
static GArray *
undo_entry(GArray *list, const struct ring_entry *entry)
{
	GArray *back, *out;
	uint32_t i;

	back = g_array_new(FALSE, TRUE, sizeof(struct rec_section_change));
	for (i = 0; i < entry->steps->len; i++)
		g_array_append_val(back, STEP(entry, i)->back);
	out = section_list_apply(
	    list, (const struct rec_section_change *)back->data, back->len);
	g_array_unref(back);
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
