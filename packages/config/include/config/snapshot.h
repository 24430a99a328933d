/*
 * Snapshots: configuration and endpoints compiled into one immutable
 * structure, which the traffic threads read without locks.
 *
 * A snapshot holds its own services and routes, so that a route can only
 * lead to a service of the same snapshot, and endpoints only of services
 * that it has.  Parts that did not change are shared between snapshots.  The
 * pointer to the current one is published by package node.
 */
#ifndef CONFIG_SNAPSHOT_H
#define CONFIG_SNAPSHOT_H

#include <stdatomic.h>

#include "config/catalog.h"
#include "config/endpoints.h"

/**
 * struct service_versions - which endpoints of a service get requests
 * @chosen: whether they are chosen by version; else all get requests
 * @current: the version that gets them
 * @candidate: the version that is tried with a small share, or empty
 * @excluded: host whose endpoint of that version gets nothing, or empty
 * @share_milli: its share in 1,000, 0 for the usual one
 * @order: number of the order by which it is tried, 0 for none
 */
struct service_versions {
	bool chosen;
	char current[ENDPOINT_VERSION_BYTES];
	char candidate[ENDPOINT_VERSION_BYTES];
	char excluded[HOST_NAME_BYTES];
	uint32_t share_milli;
	uint64_t order;
};

/**
 * struct snapshot_service - a service with its endpoints
 * @config: limits and retry policy, the same in all of its sections, and the
 * routes of the first of them
 * @sections: the first of its sections in those of the snapshot
 * @n_sections: number of its sections
 * @endpoints: its endpoints; a reference is held; NULL when it has none
 * @versions: which of them get requests; set before the snapshot is published
 */
struct snapshot_service {
	const struct service_config *config;
	struct service_config *const *sections;
	uint32_t n_sections;
	struct endpoint_list *endpoints;
	struct service_versions versions;
};

struct route_entry;
struct route_table;

/**
 * struct snapshot - configuration and endpoints at one moment; immutable
 * @refs: references; use snapshot_ref() and snapshot_unref()
 * @version: version of the configuration, 0 for none
 * @root: its root
 * @services: services, sorted by name
 * @n_services: number of services
 * @sections: what their sections say, in order; references are held
 * @n_sections: number of sections
 * @n_endpoints: number of endpoints of all services
 * @n_nodes: live nodes of the whole system, 0 when not known
 * @routes: routes of all services, as indexes into @services
 */
struct snapshot {
	_Atomic uint32_t refs;
	uint64_t version;
	struct digest root;
	struct snapshot_service *services;
	uint32_t n_services;
	struct service_config **sections;
	uint32_t n_sections;
	uint32_t n_endpoints;
	uint32_t n_nodes;
	struct route_table *routes;
};

/** enum route_result - outcome of a match */
enum route_result {
	ROUTE_FOUND = 0,
	ROUTE_NO_PATH,	 /* no route has a prefix of the path */
	ROUTE_NO_METHOD, /* some have, but none takes the method */
};

/**
 * struct route_match - where a request goes
 * @service: the service; lives as long as the snapshot
 * @route: the route; lives as long as the snapshot
 * @entry: its place in the snapshot's table
 */
struct route_match {
	const struct snapshot_service *service;
	const struct service_route *route;
	const struct route_entry *entry;
};

/* Most services that share a route by weight; a bundle with more is refused.
 * Many times what one route was seen to split over. */
#define SNAPSHOT_SHARES_MAX 256

/**
 * snapshot_compile() - compile a snapshot
 * @c: the configuration
 * @endpoints: the endpoints; those of services that @c lacks are left out
 *
 * The snapshot shares services, routes and lists of endpoints with @c and
 * @endpoints, so that it costs little after a change of few of them.
 *
 * Return: a new snapshot with one reference, which the caller owns.
 */
struct snapshot *
snapshot_compile(const struct catalog *c, const struct endpoint_set *endpoints);

/** snapshot_ref() - take a reference; any thread; Return: @s */
struct snapshot *snapshot_ref(struct snapshot *s);

/** snapshot_unref() - give a reference back; any thread; NULL is fine */
void snapshot_unref(struct snapshot *s);

/**
 * snapshot_service() - a service by name
 * @s: snapshot
 * @name: name of the service
 *
 * Return: the service, or NULL; lives as long as the snapshot.
 */
const struct snapshot_service *
snapshot_service(const struct snapshot *s, const char *name);

/**
 * snapshot_match() - the route of a request
 * @s: snapshot
 * @method: the request's method
 * @host: host that the caller named, with or without a port; may be NULL
 * @path: first byte of the path; a query is not looked at
 * @path_len: number of bytes
 * @match: where the match goes; untouched unless one is found
 *
 * Routes of the host go before those of any host.  The longest prefix wins
 * among the routes that take the method.  A prefix
 * matches whole segments only: "/search" matches "/search", "/search/x" and
 * "/search?x", not "/searching".
 *
 * Return: whether a route was found.
 */
enum route_result snapshot_match(const struct snapshot *s,
    enum http_method method, const char *host, const char *path,
    size_t path_len, struct route_match *match);

/**
 * snapshot_shares() - the services that share a route by weight
 * @s: snapshot
 * @match: what was found in it, a route with a weight
 * @shares: room for SNAPSHOT_SHARES_MAX
 *
 * Return: their number, @match included.
 */
uint32_t snapshot_shares(const struct snapshot *s,
    const struct route_match *match, struct route_match *shares);

/**
 * snapshot_check() - verify that a snapshot is sound
 * @s: snapshot
 *
 * Each route leads to a service of this snapshot that owns it, each route of
 * each service is there, endpoints are of their service only, and names are
 * sorted and unique.  For tests and drivers: it walks everything.
 *
 * Return: STATUS_OK, or STATUS_INTERNAL with the first violation.
 */
enum status snapshot_check(const struct snapshot *s);

#endif
