/*
 * A version on its way into a catalog.
 *
 * A stage is begun with a target version, its root and either the changes
 * from the version held or a full list; the contents that are missing are
 * added one by one; commit checks the whole and swaps it in, or leaves the
 * catalog as it was.
 */
#ifndef CONFIG_STAGE_H
#define CONFIG_STAGE_H

#include "config/catalog.h"

struct catalog_stage;

/**
 * catalog_stage_begin() - begin with changes
 * @c: catalog; must outlive the stage
 * @delta: changes; its from_version must not be above the version held and
 * its version must be above it
 * @stage: where the stage goes; free with catalog_stage_free()
 *
 * Return: STATUS_OK; STATUS_CONFLICT when the version held is already as new
 * or the changes apply to a newer one; STATUS_INVALID.
 */
enum status catalog_stage_begin(const struct catalog *c,
    const struct catalog_delta *delta, struct catalog_stage **stage);

/**
 * catalog_stage_begin_full() - begin with a full list
 * @c: catalog; must outlive the stage
 * @version: target version
 * @root: its root; the list must have this digest
 * @list: struct rec_section_ref, sorted by name
 * @stage: where the stage goes; free with catalog_stage_free()
 *
 * Return: as catalog_stage_begin().
 */
enum status catalog_stage_begin_full(const struct catalog *c, uint64_t version,
    const struct digest *root, const GArray *list,
    struct catalog_stage **stage);

/** catalog_stage_free() - give a stage up; NULL is fine */
void catalog_stage_free(struct catalog_stage *stage);

/** catalog_stage_version() - target version */
uint64_t catalog_stage_version(const struct catalog_stage *stage);

/** catalog_stage_root() - root of the target version */
const struct digest *catalog_stage_root(const struct catalog_stage *stage);

/**
 * catalog_stage_missing() - contents that are still needed
 * @stage: stage
 * @max: most that are wanted; 0 for all
 *
 * Return: new array of struct digest, in order of sections; empty when the
 * stage can be committed.
 */
GArray *catalog_stage_missing(const struct catalog_stage *stage, uint32_t max);

/**
 * catalog_stage_wants() - what to ask a peer for
 * @stage: stage
 * @max: most that are wanted
 *
 * Return: new array of struct rec_section_want: contents that are needed, with
 * the section that is held under the same name, or that it was split from.
 */
GArray *catalog_stage_wants(const struct catalog_stage *stage, uint32_t max);

/** catalog_stage_n_missing() - number of contents that are still needed */
uint32_t catalog_stage_n_missing(const struct catalog_stage *stage);

/**
 * catalog_stage_add() - add the content of a section
 * @stage: stage
 * @data: first byte; copied
 * @len: number of bytes
 *
 * Return: STATUS_OK, also when it was there already; STATUS_NOT_FOUND when
 * the version has no such section; STATUS_INVALID when it is not a good
 * section under the name that the list gives it; STATUS_TOO_LARGE.
 */
enum status
catalog_stage_add(struct catalog_stage *stage, const uint8_t *data, size_t len);

/**
 * catalog_stage_check() - whether the staged version can be committed
 * @stage: the stage
 *
 * Checks that nothing is missing, that the whole list has the root, that parts
 * of a service agree, that no two services claim one route, that it fits the
 * limits, and that the version is above the version held.  What is built for
 * that is kept for the commit, so that a second check costs nothing while the
 * catalog stays as it is.
 *
 * Return: STATUS_OK; STATUS_UNAVAILABLE when contents are missing;
 * STATUS_CONFLICT when the version held is as new; STATUS_INVALID;
 * STATUS_TOO_LARGE.
 */
enum status catalog_stage_check(struct catalog_stage *stage);

/**
 * catalog_commit() - swap the staged version in
 * @c: the catalog that the stage was begun for
 * @stage: the stage; the caller still frees it
 *
 * Checks it first, unless that has been done over the version held.  On
 * failure the catalog is unchanged.
 *
 * Return: as catalog_stage_check().
 */
enum status catalog_commit(struct catalog *c, struct catalog_stage *stage);

#endif
