/*
 * Internal definitions of the catalog, shared by its source files.
 */
#ifndef CONFIG_CATALOG_DEFS_H
#define CONFIG_CATALOG_DEFS_H

#include "config/catalog.h"
#include "contents.h"
#include "customer_table.h"
#include "proto/messages.h"
#include "route_table.h"

/* Memory of an array element and the header of an allocation. */
#define ALLOC_OVERHEAD_BYTES 32

/**
 * struct ring_change - change of one section in a commit, in both directions
 * @forward: change from the earlier to the later version
 * @reverse: change from the later to the earlier version
 */
struct ring_change {
	struct rec_section_change forward;
	struct rec_section_change reverse;
};

/**
 * struct ring_entry - one commit in the ring of the last commits
 * @from_version: version before the commit
 * @to_version: version after the commit
 * @from_root: root of @from_version
 * @to_root: root of @to_version
 * @complete: whether @changes name every section that changed at any version
 * between the two, so they can be served to nodes at one of those versions
 * @changes: struct ring_change, sorted by section
 */
struct ring_entry {
	uint64_t from_version;
	uint64_t to_version;
	struct digest from_root;
	struct digest to_root;
	bool complete;
	GArray *changes;
};

/* Cached patches: enough for the changes of the last version if these are all
 * sections of one service with 20,000 routes. */
#define PATCH_CACHE_ENTRIES 256

/**
 * struct patch_cache_entry - a cached patch
 * @filled: whether the entry is in use
 * @base: digest of the base section
 * @target: digest of the resulting section
 * @patch: the patch, or NULL if the sections have little in common
 */
struct patch_cache_entry {
	bool filled;
	struct digest base;
	struct digest target;
	struct rec_section_patch *patch;
};

/**
 * struct catalog - see config/catalog.h
 * @version: current version
 * @max_bytes: memory limit in bytes
 * @config_bytes: memory of @sections and @routes in bytes
 * @root: root of @version
 * @sections: struct service_config, sorted by section; references are held
 * @n_services: number of services in @sections
 * @routes: routes of all services; a reference is held
 * @customers: table of customers; a reference is held; NULL for none
 * @contents: contents of the current version and of the changes in @ring
 * @ring: struct ring_entry of the last commits, oldest first
 * @patch_cache: PATCH_CACHE_ENTRIES entries, indexed by the target's hash
 */
struct catalog {
	uint64_t version;
	uint64_t max_bytes;
	uint64_t config_bytes;
	struct digest root;
	GPtrArray *sections;
	uint32_t n_services;
	struct route_table *routes;
	struct customer_table *customers;
	struct contents *contents;
	GPtrArray *ring;
	struct patch_cache_entry *patch_cache;
};

/** catalog_refs() - section list of the current version, struct
 * rec_section_ref */
GArray *catalog_refs(const struct catalog *c);

/** catalog_find_section() - a section of the current version by name, or
 * NULL */
struct service_config *
catalog_find_section(const struct catalog *c, const char *section);

/** ring_entry_free() - free an entry whose references to contents were
 * dropped */
void ring_entry_free(void *data);

/** ring_push() - add a commit; drops the oldest above CATALOG_RING_ENTRIES */
void ring_push(struct catalog *c, struct ring_entry *entry);

/** ring_trim() - drop the oldest commits while the catalog exceeds its
 * limits */
void ring_trim(struct catalog *c);

/**
 * ring_entry_new() - record the changes of a commit in both directions
 * @from: list before, struct rec_section_ref
 * @changes: changes from @from to the list after
 * @n_changes: number of changes
 */
struct ring_entry *ring_entry_new(const GArray *from,
    const struct rec_section_change *changes, uint32_t n_changes);

#endif
