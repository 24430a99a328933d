/*
 * Snapshots: configuration and endpoints compiled into one immutable
 * structure, which the traffic threads read without locks.
 *
 * A snapshot contains its own services and routes, so a route always refers to
 * a service of the same snapshot, and there are endpoints only for services of
 * the snapshot.  Unchanged parts are shared between snapshots.  Package node
 * publishes the pointer to the current snapshot.
 */
#ifndef CONFIG_SNAPSHOT_H
#define CONFIG_SNAPSHOT_H

#include <stdatomic.h>

#include "config/catalog.h"
#include "config/customer.h"
#include "config/endpoints.h"

/**
 * struct service_versions - selection of a service's endpoints by version
 * @chosen: whether endpoints are selected by version; if not, all receive
 *	requests
 * @current: version whose endpoints receive requests
 * @candidate: version that is rolled out with a small share, or empty
 * @excluded: host whose endpoint of @candidate receives no requests, or empty
 * @share_milli: share of @candidate in thousandths, 0 for the default
 * @order: number of the rollout order for @candidate, 0 for none
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
 * @config: first section of the service; limits and retry policy are the same
 *	in all sections of the service
 * @sections: sections of the service, within those of the snapshot
 * @n_sections: number of sections
 * @endpoints: endpoints; a reference is held; NULL if there are none
 * @versions: selection of endpoints; set before the snapshot is published
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
 * struct snapshot - configuration and endpoints at one time; immutable
 * @refs: references; use snapshot_ref() and snapshot_unref()
 * @version: version of the configuration, 0 for none
 * @root: root of @version
 * @services: services, sorted by name
 * @n_services: number of services
 * @sections: decoded sections of all services, sorted by name; references are
 *	held
 * @n_sections: number of sections
 * @n_endpoints: number of endpoints of all services
 * @n_nodes: live nodes of the whole system, 0 if unknown
 * @routes: routes of all services, as indexes into @services and @sections
 * @customers: customers; a reference is held; NULL if the configuration has
 *	none, so that no request needs a key
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
	struct customer_table *customers;
};

/** enum route_result - outcome of a match */
enum route_result {
	ROUTE_FOUND = 0,
	ROUTE_NO_PATH,	 /* no route has a prefix of the path */
	ROUTE_NO_METHOD, /* a prefix matches, but no route has the method */
};

/**
 * struct route_match - the route that matches a request
 * @service: the service; valid as long as the snapshot
 * @route: the route; valid as long as the snapshot
 * @entry: entry of @route in the snapshot's table
 */
struct route_match {
	const struct snapshot_service *service;
	const struct service_route *route;
	const struct route_entry *entry;
};

/* Most services that share a route by weight; a bundle with more is rejected.
 * Operators split a route over far fewer services. */
#define SNAPSHOT_SHARES_MAX 256

/**
 * snapshot_compile() - compile a snapshot
 * @c: the configuration
 * @endpoints: the endpoints; those of services that @c lacks are skipped
 *
 * The snapshot shares services, routes and lists of endpoints with @c and
 * @endpoints, so compiling it after a small change is cheap.
 *
 * Return: a new snapshot with one reference, which the caller owns.
 */
struct snapshot *
snapshot_compile(const struct catalog *c, const struct endpoint_set *endpoints);

/** snapshot_ref() - take a reference; any thread; Return: @s */
struct snapshot *snapshot_ref(struct snapshot *s);

/** snapshot_unref() - drop a reference; any thread; accepts NULL */
void snapshot_unref(struct snapshot *s);

/**
 * snapshot_service() - find a service by name
 * @s: snapshot
 * @name: name of the service
 *
 * Return: the service, or NULL; valid as long as the snapshot.
 */
const struct snapshot_service *
snapshot_service(const struct snapshot *s, const char *name);

/**
 * snapshot_match() - find the route of a request
 * @s: snapshot
 * @method: the request's method
 * @host: host of the request, with or without a port; may be NULL
 * @path: first byte of the path; a query is ignored
 * @path_len: number of bytes
 * @match: receives the match; unchanged if none is found
 *
 * Routes with the request's host take precedence over routes of any host.
 * Among the routes that accept the method the longest prefix wins.  A prefix
 * matches whole segments only: "/search" matches "/search", "/search/x" and
 * "/search?x", not "/searching".
 *
 * Return: ROUTE_FOUND, or the reason why no route matches.
 */
enum route_result snapshot_match(const struct snapshot *s,
    enum http_method method, const char *host, const char *path,
    size_t path_len, struct route_match *match);

/**
 * snapshot_shares() - list the services that share a route by weight
 * @s: snapshot
 * @match: match from this snapshot whose route has a weight
 * @shares: receives up to SNAPSHOT_SHARES_MAX matches
 *
 * Return: number of @shares, including @match.
 */
uint32_t snapshot_shares(const struct snapshot *s,
    const struct route_match *match, struct route_match *shares);

/**
 * snapshot_check() - verify the invariants of a snapshot
 * @s: snapshot
 *
 * Each route refers to the service of this snapshot that owns it, the table
 * contains each route of each service, the endpoints of a service belong to
 * it, and names are sorted and unique.  Visits every route and endpoint;
 * meant for tests and drivers.
 *
 * Return: STATUS_OK, or STATUS_INTERNAL with the first violation.
 */
enum status snapshot_check(const struct snapshot *s);

#endif
