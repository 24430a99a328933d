/*
 * Inside of the catalog, shared by catalog.c, ring.c and stage.c.
 */
#ifndef CONFIG_CATALOG_DEFS_H
#define CONFIG_CATALOG_DEFS_H

#include "config/catalog.h"
#include "contents.h"
#include "proto/messages.h"
#include "route_table.h"

/* Memory of an array's slot and of an allocation's header. */
#define ALLOC_OVERHEAD_BYTES 32

/**
 * struct ring_change - what became of one section in a commit, both ways
 * @forward: change from the earlier to the later version
 * @reverse: change from the later to the earlier version
 */
struct ring_change {
	struct rec_section_change forward;
	struct rec_section_change reverse;
};

/**
 * struct ring_entry - one commit
 * @from_version: version before
 * @to_version: version after
 * @from_root: root before
 * @to_root: root after
 * @complete: whether the steps name all that changed at any version between,
 * so that they can be served to nodes that hold one of those
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

/* Differences that are kept: those of the last version's changes, as many as
 * 20,000 routes that are spread over one service have sections. */
#define PATCH_CACHE_ENTRIES 256

/**
 * struct patch_cache_entry - a difference that was made
 * @filled: whether the rest is
 * @base: section that it changes
 * @target: section that it leads to
 * @patch: the difference, or NULL when there is little in common
 */
struct patch_cache_entry {
	bool filled;
	struct digest base;
	struct digest target;
	struct rec_section_patch *patch;
};

/**
 * struct catalog - see config/catalog.h
 * @version: version held
 * @max_bytes: memory that contents and services may take
 * @config_bytes: memory of @sections and @routes
 * @root: its root
 * @sections: struct service_config, sorted by section; references are held
 * @n_services: number of services that they are of
 * @routes: routes of all services; a reference is held
 * @contents: contents of the version held and of the ring
 * @ring: struct ring_entry, oldest first
 * @patch_cache: differences made last
 */
struct catalog {
	uint64_t version;
	uint64_t max_bytes;
	uint64_t config_bytes;
	struct digest root;
	GPtrArray *sections;
	uint32_t n_services;
	struct route_table *routes;
	struct contents *contents;
	GPtrArray *ring;
	struct patch_cache_entry *patch_cache;
};

/** catalog_refs() - list of the version held, struct rec_section_ref */
GArray *catalog_refs(const struct catalog *c);

/** catalog_find_section() - a section of the version held, or NULL */
struct service_config *
catalog_find_section(const struct catalog *c, const char *section);

/** ring_entry_free() - free an entry; its contents must be released before */
void ring_entry_free(void *data);

/** ring_push() - add a commit; drops the oldest one beyond CATALOG_RING_ENTRIES
 */
void ring_push(struct catalog *c, struct ring_entry *entry);

/** ring_trim() - drop oldest commits while the catalog is over its limit */
void ring_trim(struct catalog *c);

/**
 * ring_entry_new() - steps between two lists
 * @from: list before, struct rec_section_ref
 * @changes: changes that lead to the list after
 * @n_changes: number of changes
 */
struct ring_entry *ring_entry_new(const GArray *from,
    const struct rec_section_change *changes, uint32_t n_changes);

#endif
