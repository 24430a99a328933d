/*
 * What a node holds of the configuration: the version in force here with all
 * its sections, and the changes of the last versions, so that it can serve
 * nodes that are behind.
 *
 * A catalog goes only forward, and a version gets in whole or not at all; see
 * config/stage.h.  One thread owns it.
 */
#ifndef CONFIG_CATALOG_H
#define CONFIG_CATALOG_H

#include <glib.h>

#include "config/section.h"

/* Versions whose changes are kept. */
#define CATALOG_RING_ENTRIES 64

/* Memory that a version may take when the caller names no other limit: 57,000
 * routes of usual length take 11 MiB, the longest that CONFIG_MAX_BYTES lets in
 * less than 96, on hosts of 160 MB and more. */
#define CATALOG_DEFAULT_BYTES (UINT64_C(96) << 20)

/* Memory up to which old versions are kept beside it: differences from them
 * are worth more than this only at versions that are larger themselves. */
#define CATALOG_SOFT_MAX_BYTES (UINT64_C(24) << 20)

struct catalog;
struct rec_section_change;
struct rec_section_patch;

/**
 * struct catalog_delta - changes between two versions
 * @from_version: version that the changes apply to, 0 for an empty one
 * @version: version that they lead to
 * @root: its root
 * @changes: struct rec_section_change, sorted by section
 * @skips: what changed and changed back between the two versions isn't named,
 * so that the changes are good for a node at @from_version only
 */
struct catalog_delta {
	uint64_t from_version;
	uint64_t version;
	struct digest root;
	GArray *changes;
	bool skips;
};

/**
 * catalog_new() - an empty catalog, at version 0
 * @max_bytes: memory that it may take (0 for CATALOG_DEFAULT_BYTES); old
 * versions go first, also beyond CATALOG_SOFT_MAX_BYTES, a version that does
 * not fit is refused
 */
struct catalog *catalog_new(uint64_t max_bytes);

/** catalog_free() - free a catalog; NULL is fine */
void catalog_free(struct catalog *c);

/** catalog_version() - version held; 0 while nothing is held */
uint64_t catalog_version(const struct catalog *c);

/** catalog_root() - root of the version held */
const struct digest *catalog_root(const struct catalog *c);

/** catalog_n_services() - number of services in the version held */
uint32_t catalog_n_services(const struct catalog *c);

/** catalog_n_sections() - number of sections in the version held */
uint32_t catalog_n_sections(const struct catalog *c);

/**
 * catalog_section() - a section of the version held, in order of names
 * @c: catalog
 * @i: index below catalog_n_sections()
 *
 * Return: what it says, owned by the catalog.
 */
struct service_config *catalog_section(const struct catalog *c, uint32_t i);

/**
 * catalog_find() - a service of the version held, by name
 * @c: catalog
 * @name: name of the service
 *
 * Return: the first of its sections, owned by the catalog, or NULL.
 */
struct service_config *catalog_find(const struct catalog *c, const char *name);

/** catalog_bytes() - memory taken, near enough, in bytes */
uint64_t catalog_bytes(const struct catalog *c);

/** catalog_oldest() - oldest version from which changes can be served */
uint64_t catalog_oldest(const struct catalog *c);

/**
 * catalog_delta() - changes from one version to another, merged into one
 * @c: catalog
 * @have_version: version that the asker holds
 * @want_version: version that it wants; 0 for the version held here
 * @delta: where the changes go; clear with catalog_delta_clear()
 *
 * The list may name sections that the asker holds already.
 *
 * Return: STATUS_OK; STATUS_NOT_FOUND when the changes are no longer kept, so
 * that a full list must do; STATUS_UNAVAILABLE when @want_version is not yet
 * held here; STATUS_INVALID when @have_version is not below it.
 */
enum status catalog_delta(const struct catalog *c, uint64_t have_version,
    uint64_t want_version, struct catalog_delta *delta);

/** catalog_delta_clear() - free what a delta holds */
void catalog_delta_clear(struct catalog_delta *delta);

/**
 * catalog_list() - the full list of a version
 * @c: catalog
 * @version: the version; 0 for the version held here
 * @root: where its root goes; NULL when not wanted
 * @list: where a new array of struct rec_section_ref goes
 *
 * Return: STATUS_OK or STATUS_NOT_FOUND.
 */
enum status catalog_list(const struct catalog *c, uint64_t version,
    struct digest *root, GArray **list);

/**
 * catalog_content() - content of a section
 * @c: catalog
 * @digest: digest of the section
 *
 * Return: the content, owned by the catalog, or NULL when it is not held.
 */
GBytes *catalog_content(const struct catalog *c, const struct digest *digest);

/**
 * catalog_patch() - a section as its difference from an earlier one
 * @c: catalog
 * @have_version: version that the asker holds
 * @change: change of a section between that version and a later one
 * @patch: where the difference goes; free it with catalog_patch_clear()
 *
 * Saves most of a section's bytes: one route more among 480 is 0.2 of 62 KB.
 * A part that is new is a difference from the section that was split.
 * Differences that were made last are kept, since many ask for the same.
 *
 * Return: whether there is one: not when one of the two sections is not held
 * here, or they have little in common.
 */
bool catalog_patch(const struct catalog *c, uint64_t have_version,
    const struct rec_section_change *change, struct rec_section_patch *patch);

/**
 * catalog_patch_from() - a section as its difference from a given one
 *
 * As catalog_patch(), from the section with the digest @base to @target's.
 */
bool catalog_patch_from(const struct catalog *c, const struct digest *base,
    const struct digest *target, struct rec_section_patch *patch);

/** catalog_patch_clear() - free what a difference holds */
void catalog_patch_clear(struct rec_section_patch *patch);

/**
 * catalog_patch_apply() - the section that a difference leads to
 * @c: catalog
 * @patch: the difference
 *
 * Return: the content, or NULL when its base is not held here or too short.
 */
GBytes *catalog_patch_apply(
    const struct catalog *c, const struct rec_section_patch *patch);

#endif
