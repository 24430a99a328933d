/*
 * Incremental construction of a bundle, service by service and route by route,
 * so that a large bundle need not be in memory as one text or JSON tree.  The
 * rules are those of bundle_parse().
 */
#ifndef CONFIG_BUNDLE_BUILD_H
#define CONFIG_BUNDLE_BUILD_H

#include "config/bundle.h"

/** BUNDLE_NUMBER_OMITTED - value of a number that the bundle omits */
#define BUNDLE_NUMBER_OMITTED INT64_MIN

/** enum bundle_route_number - numbers of a route, in the order of
 * route_rules */
enum bundle_route_number {
	BUNDLE_WEIGHT = 0,
	BUNDLE_TIMEOUT_MS,
	BUNDLE_TARGET_MS,
	BUNDLE_PRIORITY,
	BUNDLE_ATTEMPTS,
	BUNDLE_ROUTE_NUMBERS,
};

/**
 * struct bundle_route - a route as written in a bundle, see docs/BUNDLES.md
 * @prefix: path prefix
 * @host: host of the request, NULL for any
 * @service: name of the service
 * @methods: set of METHOD_BIT()
 * @idempotent: whether requests may safely be sent more than once
 * @below: match only paths below the prefix, not the prefix itself
 * @numbers: indexed by enum bundle_route_number; BUNDLE_NUMBER_OMITTED stands
 * for the default
 */
struct bundle_route {
	const char *prefix;
	const char *host;
	const char *service;
	uint32_t methods;
	bool idempotent;
	bool below;
	int64_t numbers[BUNDLE_ROUTE_NUMBERS];
};

struct bundle_build;
struct json_t;

/** bundle_build_new() - start building a bundle; free it with
 * bundle_build_free() */
struct bundle_build *bundle_build_new(const char *name);

/** bundle_build_free() - free an unfinished or ended build; accepts NULL */
void bundle_build_free(struct bundle_build *b);

/** bundle_build_service() - add a service in the form of docs/BUNDLES.md */
void bundle_build_service(struct bundle_build *b, struct json_t *service);

/** bundle_build_route() - add a route to a service that was added before */
void
bundle_build_route(struct bundle_build *b, const struct bundle_route *route);

/**
 * bundle_build_end() - validate the bundle and split it into sections
 * @b: the build; afterwards it can only be freed
 * @bundle: as for bundle_parse()
 *
 * Return: as bundle_parse().
 */
enum status bundle_build_end(struct bundle_build *b, struct bundle **bundle);

#endif
