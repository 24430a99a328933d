/*
 * Internal definitions of a stage, shared by stage.c and commit.c.
 */
#ifndef CONFIG_STAGE_DEFS_H
#define CONFIG_STAGE_DEFS_H

#include "catalog_defs.h"
#include "config/stage.h"

struct staged_version;

/**
 * struct catalog_stage - see config/stage.h
 * @c: the catalog
 * @version: target version
 * @root: root of @version
 * @changes: changes to apply, or NULL if @list is set
 * @list: full list, or NULL if @changes is set
 * @needed: struct rec_section_ref that @changes add or @list names
 * @names: maps a digest in @needed to the name of its section; both borrowed
 * @added: maps a digest to a struct section: contents added so far
 * @added_bytes: total size of the contents in @added
 * @skips: see struct catalog_delta
 * @built: target version as built by the last successful check, or NULL
 */
struct catalog_stage {
	const struct catalog *c;
	uint64_t version;
	struct digest root;
	GArray *changes;
	GArray *list;
	GArray *needed;
	GHashTable *names;
	GHashTable *added;
	uint64_t added_bytes;
	bool skips;
	struct staged_version *built;
};

/** staged_version_free() - free a built version; accepts NULL */
void staged_version_free(struct staged_version *sv);

/** stage_target_list() - section list of the target version, from the current
 * version and the changes */
GArray *stage_target_list(const struct catalog_stage *stage);

/**
 * stage_check() - check version and root against the current version
 * @stage: stage
 * @list: receives the section list of the target version
 *
 * Return: STATUS_OK, STATUS_CONFLICT, STATUS_INVALID or STATUS_TOO_LARGE.
 */
enum status stage_check(const struct catalog_stage *stage, GArray **list);

#endif
