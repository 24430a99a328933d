/*
 * Staging of a new version for a catalog.
 *
 * A stage begins with a target version, its root, and either the changes from
 * the current version or a full list.  Missing contents are added one by one.
 * A commit validates the complete version and installs it, or leaves the
 * catalog unchanged.
 */
#ifndef CONFIG_STAGE_H
#define CONFIG_STAGE_H

#include "config/catalog.h"

struct catalog_stage;

/**
 * catalog_stage_begin() - begin a stage with changes
 * @c: catalog; must outlive the stage
 * @delta: changes; from_version must not be above the current version, and
 * version must be above it
 * @stage: receives the stage; free with catalog_stage_free()
 *
 * Return: STATUS_OK; STATUS_CONFLICT if the current version is as new as the
 * target or below from_version; STATUS_INVALID; STATUS_TOO_LARGE.
 */
enum status catalog_stage_begin(const struct catalog *c,
    const struct catalog_delta *delta, struct catalog_stage **stage);

/**
 * catalog_stage_begin_full() - begin a stage with a full list
 * @c: catalog; must outlive the stage
 * @version: target version
 * @root: root of @version; the list must have this digest
 * @list: struct rec_section_ref, sorted by name
 * @stage: receives the stage; free with catalog_stage_free()
 *
 * Return: as catalog_stage_begin().
 */
enum status catalog_stage_begin_full(const struct catalog *c, uint64_t version,
    const struct digest *root, const GArray *list,
    struct catalog_stage **stage);

/** catalog_stage_free() - discard a stage; accepts NULL */
void catalog_stage_free(struct catalog_stage *stage);

/** catalog_stage_version() - target version */
uint64_t catalog_stage_version(const struct catalog_stage *stage);

/** catalog_stage_root() - root of the target version */
const struct digest *catalog_stage_root(const struct catalog_stage *stage);

/**
 * catalog_stage_missing() - list the contents that are still missing
 * @stage: stage
 * @max: most digests to return; 0 for all
 *
 * Return: new array of struct digest, in order of sections; empty if no
 * content is missing.
 */
GArray *catalog_stage_missing(const struct catalog_stage *stage, uint32_t max);

/**
 * catalog_stage_wants() - list the contents to request from a peer
 * @stage: stage
 * @max: most entries to return; 0 for all
 *
 * Return: new array of struct rec_section_want: missing contents, each with the
 * base for a patch: the current section of the same name, or the one from which
 * it was split.
 */
GArray *catalog_stage_wants(const struct catalog_stage *stage, uint32_t max);

/** catalog_stage_n_missing() - number of contents that are still missing */
uint32_t catalog_stage_n_missing(const struct catalog_stage *stage);

/**
 * catalog_stage_add() - add the content of a section
 * @stage: stage
 * @data: first byte; copied
 * @len: number of bytes
 *
 * Return: STATUS_OK, also if the content was added before; STATUS_NOT_FOUND if
 * the version has no such section; STATUS_INVALID if the content is not a valid
 * section or has another name in the list; STATUS_TOO_LARGE.
 */
enum status
catalog_stage_add(struct catalog_stage *stage, const uint8_t *data, size_t len);

/**
 * catalog_stage_check() - whether the staged version can be committed
 * @stage: the stage
 *
 * Checks that no content is missing, that the complete list has the root, that
 * the parts of a service are consistent, that no two services claim the same
 * requests, that the version is within the limits, and that it is above the
 * current version.  The version built for the check is kept for the commit, so
 * a second check is free while the catalog is unchanged.
 *
 * Return: STATUS_OK; STATUS_UNAVAILABLE if contents are missing;
 * STATUS_CONFLICT if the current version is as new; STATUS_INVALID;
 * STATUS_TOO_LARGE.
 */
enum status catalog_stage_check(struct catalog_stage *stage);

/**
 * catalog_commit() - make the staged version the current one
 * @c: the catalog for which the stage was begun
 * @stage: the stage; the caller still frees it
 *
 * Runs catalog_stage_check() first, unless it succeeded against the current
 * version already.  On failure the catalog is unchanged.
 *
 * Return: as catalog_stage_check().
 */
enum status catalog_commit(struct catalog *c, struct catalog_stage *stage);

#endif
