/*
 * Inside of a stage, shared by stage.c and commit.c.
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
 * @root: its root
 * @changes: changes to apply, or NULL
 * @list: full list, or NULL
 * @needed: struct rec_section_ref that @changes add or @list names
 * @names: digest in @needed to name of its section; both borrowed
 * @added: digest to struct section: contents that came
 * @added_bytes: their sum
 * @skips: see struct catalog_delta
 * @built: the target version as it was checked, or NULL
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

/** staged_version_free() - free a version that was built; NULL is fine */
void staged_version_free(struct staged_version *n);

/** stage_target_list() - list of the target version over the version held now
 */
GArray *stage_target_list(const struct catalog_stage *stage);

/**
 * stage_check() - check version and root against the version held now
 * @stage: stage
 * @list: where the target's list goes
 *
 * Return: STATUS_OK, STATUS_CONFLICT, STATUS_INVALID or STATUS_TOO_LARGE.
 */
enum status stage_check(const struct catalog_stage *stage, GArray **list);

#endif
