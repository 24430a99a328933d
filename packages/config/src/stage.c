/*
 * Staging of a new version: needed and added contents.
 */
#include <string.h>

#include "parts.h"
#include "section_build.h"
#include "stage_defs.h"

static struct catalog_stage *
stage_new(const struct catalog *c, uint64_t version, const struct digest *root)
{
	struct catalog_stage *stage;

	stage = g_new0(struct catalog_stage, 1);
	stage->c = c;
	stage->version = version;
	stage->root = *root;
	stage->added = g_hash_table_new_full(
	    digest_hash, digest_equal, NULL, section_free);
	stage->names = g_hash_table_new(digest_hash, digest_equal);
	return stage;
}

void
catalog_stage_free(struct catalog_stage *stage)
{
	if (stage == NULL)
		return;
	if (stage->changes != NULL)
		g_array_unref(stage->changes);
	if (stage->list != NULL)
		g_array_unref(stage->list);
	if (stage->needed != NULL)
		g_array_unref(stage->needed);
	staged_version_free(stage->built);
	g_hash_table_unref(stage->names);
	g_hash_table_unref(stage->added);
	g_free(stage);
}

static enum status
version_check(const struct catalog *c, uint64_t version)
{
	if (version > c->version)
		return STATUS_OK;
	return status_set(STATUS_CONFLICT,
	    "Version %" G_GUINT64_FORMAT
	    " is not above version %" G_GUINT64_FORMAT
	    " that is held; there is nothing to do.",
	    version, c->version);
}

static enum status
root_check(const GArray *list, const struct digest *root)
{
	struct digest digest;
	GBytes *content;

	if (list->len > CONFIG_MAX_SECTIONS)
		return status_set(STATUS_TOO_LARGE,
		    "A version has %u sections, at most %d are taken; split "
		    "the bundle.",
		    list->len, CONFIG_MAX_SECTIONS);
	content = section_list_encode(list, &digest);
	g_bytes_unref(content);
	if (hash_digest_equal(&digest, root))
		return STATUS_OK;
	return status_set(STATUS_INVALID,
	    "The list of a version does not have the version's root; take "
	    "the full list from another node.");
}

GArray *
stage_target_list(const struct catalog_stage *stage)
{
	GArray *current, *list;

	if (stage->changes == NULL)
		return g_array_ref(stage->list);
	current = catalog_refs(stage->c);
	list = section_list_apply(current,
	    (const struct rec_section_change *)stage->changes->data,
	    stage->changes->len);
	g_array_unref(current);
	return list;
}

enum status
stage_check(const struct catalog_stage *stage, GArray **list)
{
	enum status st;

	*list = NULL;
	st = version_check(stage->c, stage->version);
	if (st != STATUS_OK)
		return st;
	*list = stage_target_list(stage);
	st = root_check(*list, &stage->root);
	if (st != STATUS_OK)
		g_clear_pointer(list, g_array_unref);
	return st;
}

/* List the sections that changes add or replace, by applying the changes to an
 * empty list. */
static GArray *
added_refs(const GArray *changes)
{
	GArray *empty, *out;

	empty = g_array_new(FALSE, TRUE, sizeof(struct rec_section_ref));
	out = section_list_apply(empty,
	    (const struct rec_section_change *)changes->data, changes->len);
	g_array_unref(empty);
	return out;
}

/* Collect the sections that the changes or the list name. */
static void
collect_needed(struct catalog_stage *stage)
{
	struct rec_section_ref *ref;
	uint32_t i;

	if (stage->changes != NULL)
		stage->needed = added_refs(stage->changes);
	else
		stage->needed = g_array_ref(stage->list);
	for (i = 0; i < stage->needed->len; i++) {
		ref = &g_array_index(stage->needed, struct rec_section_ref, i);
		g_hash_table_insert(stage->names, &ref->digest, ref->section);
	}
}

/* Check version and root, which needs no contents, and collect the needed
 * sections. */
static enum status
stage_begin(struct catalog_stage *stage, struct catalog_stage **out)
{
	enum status st;
	GArray *list;

	*out = NULL;
	st = stage_check(stage, &list);
	if (st != STATUS_OK) {
		catalog_stage_free(stage);
		return st;
	}
	g_array_unref(list);
	collect_needed(stage);
	*out = stage;
	return STATUS_OK;
}

enum status
catalog_stage_begin(const struct catalog *c, const struct catalog_delta *delta,
    struct catalog_stage **stage)
{
	const struct rec_section_change *changes;
	struct catalog_stage *s;
	enum status st;

	*stage = NULL;
	changes = (const struct rec_section_change *)delta->changes->data;
	if (delta->from_version > c->version)
		return status_set(STATUS_CONFLICT,
		    "Changes from version %" G_GUINT64_FORMAT
		    " do not apply to version %" G_GUINT64_FORMAT
		    "; ask for changes from there.",
		    delta->from_version, c->version);
	st = section_changes_valid(changes, delta->changes->len);
	if (st != STATUS_OK)
		return st;
	s = stage_new(c, delta->version, &delta->root);
	s->changes = g_array_copy(delta->changes);
	s->skips = delta->skips;
	return stage_begin(s, stage);
}

enum status
catalog_stage_begin_full(const struct catalog *c, uint64_t version,
    const struct digest *root, const GArray *list, struct catalog_stage **stage)
{
	struct catalog_stage *s;
	enum status st;

	*stage = NULL;
	st = section_list_valid(list);
	if (st != STATUS_OK)
		return st;
	s = stage_new(c, version, root);
	s->list = g_array_copy((GArray *)list);
	return stage_begin(s, stage);
}

uint64_t
catalog_stage_version(const struct catalog_stage *stage)
{
	return stage->version;
}

const struct digest *
catalog_stage_root(const struct catalog_stage *stage)
{
	return &stage->root;
}

static bool
is_missing(const struct catalog_stage *stage, const struct digest *digest)
{
	return !g_hash_table_contains(stage->added, digest) &&
	    contents_get(stage->c->contents, digest) == NULL;
}

GArray *
catalog_stage_missing(const struct catalog_stage *stage, uint32_t max)
{
	struct rec_section_ref *ref;
	GArray *out;
	uint32_t i;

	out = g_array_new(FALSE, FALSE, sizeof(struct digest));
	for (i = 0; i < stage->needed->len; i++) {
		if (max != 0 && out->len == max)
			break;
		ref = &g_array_index(stage->needed, struct rec_section_ref, i);
		if (is_missing(stage, &ref->digest))
			g_array_append_val(out, ref->digest);
	}
	return out;
}

/* Find the current section of a name, or the section from which it was
 * split. */
static const struct service_config *
find_base(const struct catalog *c, const char *name)
{
	char section[SECTION_NAME_BYTES];
	const struct service_config *current;

	(void)g_strlcpy(section, name, sizeof(section));
	do
		current = catalog_find_section(c, section);
	while (current == NULL && part_parent(section));
	return current;
}

GArray *
catalog_stage_wants(const struct catalog_stage *stage, uint32_t max)
{
	GArray *missing = catalog_stage_missing(stage, max), *wants;
	const struct service_config *current;
	struct rec_section_want want;
	uint32_t i;

	wants = g_array_new(FALSE, FALSE, sizeof(want));
	for (i = 0; i < missing->len; i++) {
		memset(&want, 0, sizeof(want));
		want.digest = g_array_index(missing, struct digest, i);
		current = find_base(
		    stage->c, g_hash_table_lookup(stage->names, &want.digest));
		if (current != NULL)
			want.base = current->digest;
		g_array_append_val(wants, want);
	}
	g_array_unref(missing);
	return wants;
}

uint32_t
catalog_stage_n_missing(const struct catalog_stage *stage)
{
	GArray *missing;
	uint32_t n;

	missing = catalog_stage_missing(stage, 0);
	n = missing->len;
	g_array_unref(missing);
	return n;
}

static enum status
add_section(struct catalog_stage *stage, const uint8_t *data, size_t len)
{
	struct service_config *sc;
	struct section *section;
	const char *name;
	enum status st;

	if (stage->added_bytes + len > CONFIG_MAX_BYTES)
		return status_set(STATUS_TOO_LARGE,
		    "The sections of a version have more than "
		    "%" G_GUINT64_FORMAT " bytes; split the bundle.",
		    CONFIG_MAX_BYTES);
	st = section_decode(data, len, &sc);
	if (st != STATUS_OK)
		return st;
	name = g_hash_table_lookup(stage->names, &sc->digest);
	if (g_strcmp0(name, sc->section) != 0) {
		st = status_set(STATUS_INVALID,
		    "Section %s stands under another name in the version; "
		    "take the full list from another node.",
		    sc->section);
		service_config_unref(sc);
		return st;
	}
	section = g_new0(struct section, 1);
	section->config = sc;
	section->content = g_bytes_new(data, len);
	g_hash_table_insert(stage->added, &sc->digest, section);
	stage->added_bytes += len;
	return STATUS_OK;
}

/* Whether a needed section is in the current version under the same name. */
static bool
is_current(const struct catalog_stage *stage, const struct digest *digest)
{
	const struct service_config *current;

	current = catalog_find_section(
	    stage->c, g_hash_table_lookup(stage->names, digest));
	return current != NULL && hash_digest_equal(&current->digest, digest);
}

enum status
catalog_stage_add(struct catalog_stage *stage, const uint8_t *data, size_t len)
{
	struct digest digest;

	hash_digest(data, len, &digest);
	if (!g_hash_table_contains(stage->names, &digest))
		return status_set(STATUS_NOT_FOUND,
		    "Version %" G_GUINT64_FORMAT
		    " has no section with this content; drop it.",
		    stage->version);
	if (g_hash_table_contains(stage->added, &digest) ||
	    is_current(stage, &digest))
		return STATUS_OK;
	return add_section(stage, data, len);
}
