/*
 * Routes of all services, for the longest-prefix match.
 *
 * Entries are sorted by prefix with '/' before every other character, so
 * that all extensions of a prefix by whole segments follow it at once.  Each
 * entry knows the longest prefix above its own; a match is a binary search
 * and a walk up from there.
 */
#ifndef CONFIG_ROUTE_TABLE_H
#define CONFIG_ROUTE_TABLE_H

#include <stdatomic.h>

#include <glib.h>

#include "config/service.h"

/* Parent of an entry that has none. */
#define ROUTE_NO_PARENT UINT32_MAX

/**
 * struct route_entry - one route
 * @text_offset: where its prefix starts in the table's text
 * @len: length of the prefix; that of "/" is 0
 * @parent: first entry with the longest prefix above this one
 * @service: index of the service
 * @section: index of the section among all
 * @route: index of the route in the section
 * @methods: set of METHOD_BIT()
 * @has_host: the text begins with a host
 * @weighted: several services share the route by weight
 */
struct route_entry {
	uint32_t text_offset;
	uint32_t len;
	uint32_t parent;
	uint32_t service;
	uint32_t section;
	uint32_t route;
	uint32_t methods;
	bool has_host;
	bool weighted;
};

/**
 * struct route_table - all routes; immutable
 * @refs: references
 * @n_entries: number of entries
 * @entries: entries, sorted
 * @text: prefixes with '/' mapped to ROUTE_SLASH
 * @text_bytes: their length
 */
struct route_table {
	_Atomic uint32_t refs;
	uint32_t n_entries;
	struct route_entry *entries;
	char *text;
	size_t text_bytes;
};

/* What '/' is mapped to, so that it sorts before all that prefixes hold. */
#define ROUTE_SLASH '\1'

/**
 * route_table_new() - compile the routes of some services
 * @sections: struct service_config, sorted by section
 * @table: where the table goes; the caller owns a reference
 *
 * Return: STATUS_OK, or STATUS_INVALID when two routes claim the same
 * requests.
 */
enum status
route_table_new(const GPtrArray *sections, struct route_table **table);

/** route_table_ref() - take a reference; any thread; Return: @t */
struct route_table *route_table_ref(struct route_table *t);

/** route_table_unref() - give a reference back; any thread; NULL is fine */
void route_table_unref(struct route_table *t);

/**
 * route_table_find() - the entry that a request matches
 * @t: table
 * @method: method
 * @host: host that the caller named, without its port; case is folded
 * @host_len: number of bytes, 0 for none
 * @path: first byte of the path
 * @path_len: number of bytes, without the query
 * @path_matched: set when a prefix matched, whatever its methods
 *
 * Return: the entry or NULL.
 */
const struct route_entry *route_table_find(const struct route_table *t,
    enum http_method method, const char *host, size_t host_len,
    const char *path, size_t path_len, bool *path_matched);

/**
 * route_table_shares() - the entries that share a route
 * @t: table
 * @entry: one of them
 * @shares: room for @max
 * @max: most that are wanted
 *
 * Return: their number, @entry included.
 */
uint32_t
route_table_shares(const struct route_table *t, const struct route_entry *entry,
    const struct route_entry **shares, uint32_t max);

/** route_table_bytes() - memory taken, near enough */
uint64_t route_table_bytes(const struct route_table *t);

#endif
