/*
 * A node's store of the configuration: the current version with all of its
 * sections, and the changes of the last commits, from which the node serves
 * nodes that have older versions.
 *
 * Versions only increase, and a version is committed as a whole or not at all;
 * see config/stage.h.  A catalog is owned by one thread.
 */
#ifndef CONFIG_CATALOG_H
#define CONFIG_CATALOG_H

#include <glib.h>

#include "config/section.h"

/* Commits whose changes are kept. */
#define CATALOG_RING_ENTRIES 64

/* Default memory limit of a catalog: 57,000 routes of usual length take 11 MiB,
 * and routes of the greatest length, as many as CONFIG_MAX_BYTES admits, take
 * less than 96 MiB; hosts have 160 MB and more. */
#define CATALOG_DEFAULT_BYTES (UINT64_C(96) << 20)

/* Old versions are dropped while the catalog takes more than this, or more than
 * twice its configuration if that is larger: patches from old versions justify
 * more memory only if the versions are large themselves. */
#define CATALOG_SOFT_MAX_BYTES (UINT64_C(24) << 20)

struct catalog;
struct rec_section_change;
struct rec_section_patch;

/**
 * struct catalog_delta - changes between two versions
 * @from_version: version that the changes apply to, 0 for an empty catalog
 * @version: resulting version
 * @root: root of @version
 * @changes: struct rec_section_change, sorted by section
 * @skips: sections that changed and changed back between the two versions may
 * be missing, so the changes apply only to a node at exactly @from_version
 */
struct catalog_delta {
	uint64_t from_version;
	uint64_t version;
	struct digest root;
	GArray *changes;
	bool skips;
};

/**
 * catalog_new() - create an empty catalog, at version 0
 * @max_bytes: memory limit in bytes, 0 for CATALOG_DEFAULT_BYTES; old versions
 * are dropped first (see also CATALOG_SOFT_MAX_BYTES), and a version that
 * exceeds the limit without them is refused
 */
struct catalog *catalog_new(uint64_t max_bytes);

/** catalog_free() - free a catalog; accepts NULL */
void catalog_free(struct catalog *c);

/** catalog_version() - current version; 0 if nothing was committed yet */
uint64_t catalog_version(const struct catalog *c);

/** catalog_root() - root of the current version */
const struct digest *catalog_root(const struct catalog *c);

/** catalog_n_services() - number of services in the current version */
uint32_t catalog_n_services(const struct catalog *c);

/** catalog_n_sections() - number of sections in the current version */
uint32_t catalog_n_sections(const struct catalog *c);

/**
 * catalog_section() - a section of the current version, in order of names
 * @c: catalog
 * @i: index below catalog_n_sections()
 *
 * Return: the decoded section, owned by the catalog.
 */
struct service_config *catalog_section(const struct catalog *c, uint32_t i);

/**
 * catalog_find() - find a service of the current version by name
 * @c: catalog
 * @name: name of the service
 *
 * Return: the first section of the service, owned by the catalog, or NULL.
 */
struct service_config *catalog_find(const struct catalog *c, const char *name);

/** catalog_bytes() - estimated memory use in bytes */
uint64_t catalog_bytes(const struct catalog *c);

/** catalog_oldest() - oldest version from which deltas without gaps are
 * kept */
uint64_t catalog_oldest(const struct catalog *c);

/**
 * catalog_delta() - merged changes between two versions
 * @c: catalog
 * @have_version: version of the requesting node
 * @want_version: version it requests; 0 for the current one
 * @delta: receives the changes; clear with catalog_delta_clear()
 *
 * The changes may name sections that the requesting node already has.
 *
 * Return: STATUS_OK; STATUS_NOT_FOUND if the changes are no longer kept and
 * the full list is needed; STATUS_UNAVAILABLE if @want_version is above the
 * current version; STATUS_INVALID if @have_version is not below @want_version.
 */
enum status catalog_delta(const struct catalog *c, uint64_t have_version,
    uint64_t want_version, struct catalog_delta *delta);

/** catalog_delta_clear() - free the contents of a delta */
void catalog_delta_clear(struct catalog_delta *delta);

/**
 * catalog_list() - full section list of a version
 * @c: catalog
 * @version: the version; 0 for the current one
 * @root: receives the root of the version; may be NULL
 * @list: receives a new array of struct rec_section_ref
 *
 * Return: STATUS_OK or STATUS_NOT_FOUND.
 */
enum status catalog_list(const struct catalog *c, uint64_t version,
    struct digest *root, GArray **list);

/**
 * catalog_content() - content of a section, by digest
 * @c: catalog
 * @digest: digest of the section
 *
 * Return: the content, owned by the catalog, or NULL if it is not stored.
 */
GBytes *catalog_content(const struct catalog *c, const struct digest *digest);

/**
 * catalog_patch() - patch of a section against its earlier content
 * @c: catalog
 * @have_version: version of the requesting node
 * @change: change of a section between that version and a later one
 * @patch: receives the patch; free it with catalog_patch_clear()
 *
 * Saves most of a section's bytes: one added route among 480 takes 0.2 of
 * 62 KB.  The base of a new part is the section that was split.  The last
 * patches are cached, since many nodes request the same ones.
 *
 * Return: false if one of the two contents is not stored here or they have
 * little in common.
 */
bool catalog_patch(const struct catalog *c, uint64_t have_version,
    const struct rec_section_change *change, struct rec_section_patch *patch);

/**
 * catalog_patch_from() - patch between two sections given by digest
 *
 * As catalog_patch(), from the section with digest @base to the section with
 * digest @target.
 */
bool catalog_patch_from(const struct catalog *c, const struct digest *base,
    const struct digest *target, struct rec_section_patch *patch);

/** catalog_patch_clear() - free the contents of a patch */
void catalog_patch_clear(struct rec_section_patch *patch);

/**
 * catalog_patch_apply() - apply a patch to a stored section
 * @c: catalog
 * @patch: the patch
 *
 * Return: the resulting content; NULL if the base is not stored here or the
 * patch does not fit it.
 */
GBytes *catalog_patch_apply(
    const struct catalog *c, const struct rec_section_patch *patch);

#endif
