/*
 * Longest-prefix match over the routes of all services.
 *
 * Entries are sorted by prefix with '/' before every other character, so all
 * extensions of a prefix by whole segments directly follow it.  Each entry
 * stores the index of its parent: the longest other prefix in the table that
 * matches the paths of the entry.  A match is a binary search followed by a
 * walk along the parents.
 */
#ifndef CONFIG_ROUTE_TABLE_H
#define CONFIG_ROUTE_TABLE_H

#include <stdatomic.h>

#include <glib.h>

#include "config/service.h"

/* Parent index of an entry without a parent. */
#define ROUTE_NO_PARENT UINT32_MAX

/**
 * struct route_entry - one route
 * @text_offset: offset of host and prefix in the table's text
 * @len: length of host and prefix in bytes; the prefix "/" has length 0
 * @parent: index of the first entry with the parent's prefix, or
 *	ROUTE_NO_PARENT
 * @service: index of the service
 * @section: index of the section among all sections
 * @route: index of the route in the section
 * @methods: set of METHOD_BIT()
 * @has_host: the text begins with a host
 * @weighted: services share the route by weight
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
 * @text: hosts and prefixes, with '/' mapped to ROUTE_SLASH
 * @text_bytes: length of @text
 * @host_max: length of the longest host
 * @prefix_max: length of the longest prefix
 */
struct route_table {
	_Atomic uint32_t refs;
	uint32_t n_entries;
	struct route_entry *entries;
	char *text;
	size_t text_bytes;
	uint32_t host_max;
	uint32_t prefix_max;
};

/* Replaces '/', to sort before all other characters of prefixes. */
#define ROUTE_SLASH '\1'

/**
 * route_table_new() - compile the routes of all sections
 * @sections: struct service_config, sorted by section
 * @table: receives the table; the caller owns a reference
 *
 * Return: STATUS_OK, or STATUS_INVALID if two routes claim the same requests.
 */
enum status
route_table_new(const GPtrArray *sections, struct route_table **table);

/** route_table_ref() - take a reference; any thread; Return: @t */
struct route_table *route_table_ref(struct route_table *t);

/** route_table_unref() - drop a reference; any thread; accepts NULL */
void route_table_unref(struct route_table *t);

/**
 * route_table_find() - find the entry of a request
 * @t: table
 * @method: method
 * @host: host of the request without its port; matched case-insensitively
 * @host_len: number of bytes, 0 for none
 * @path: first byte of the path
 * @path_len: number of bytes, without the query
 * @path_matched: set to whether a prefix matched, regardless of the method
 *
 * Return: the entry or NULL.
 */
const struct route_entry *route_table_find(const struct route_table *t,
    enum http_method method, const char *host, size_t host_len,
    const char *path, size_t path_len, bool *path_matched);

/**
 * route_table_shares() - list the entries that share a route by weight
 * @t: table
 * @entry: one of the entries
 * @shares: receives up to @max entries
 * @max: size of @shares
 *
 * Return: number of entries, including @entry.
 */
uint32_t
route_table_shares(const struct route_table *t, const struct route_entry *entry,
    const struct route_entry **shares, uint32_t max);

/** route_table_bytes() - estimated memory use in bytes */
uint64_t route_table_bytes(const struct route_table *t);

#endif
