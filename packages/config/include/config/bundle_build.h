/*
 * Bundles that are put together service by service and route by route, so that
 * a large one need not lie in memory as one text or tree.  The rules are those
 * of bundle_parse().
 */
#ifndef CONFIG_BUNDLE_BUILD_H
#define CONFIG_BUNDLE_BUILD_H

#include "config/bundle.h"

/** BUNDLE_NUMBER_OMITTED - a number that is not told */
#define BUNDLE_NUMBER_OMITTED INT64_MIN

/** enum bundle_route_number - numbers of a route, in the order of their rules
 */
enum bundle_route_number {
	BUNDLE_WEIGHT = 0,
	BUNDLE_TIMEOUT_MS,
	BUNDLE_TARGET_MS,
	BUNDLE_PRIORITY,
	BUNDLE_ATTEMPTS,
	BUNDLE_ROUTE_NUMBERS,
};

/**
 * struct bundle_route - a route as it is told, docs/BUNDLES.md
 * @prefix: prefix of paths
 * @host: host that callers name, NULL for any
 * @service: name of its service
 * @methods: set of METHOD_BIT()
 * @idempotent: whether running a request twice does no harm
 * @below: only paths below the prefix match
 * @numbers: its numbers, by enum bundle_route_number; BUNDLE_NUMBER_OMITTED
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

/** bundle_build_new() - begin a bundle of a name; free it with
 * bundle_build_free() */
struct bundle_build *bundle_build_new(const char *name);

/** bundle_build_free() - free what was begun; NULL is fine */
void bundle_build_free(struct bundle_build *b);

/** bundle_build_service() - add a service, as docs/BUNDLES.md shows one */
void bundle_build_service(struct bundle_build *b, struct json_t *service);

/** bundle_build_route() - add a route; its service was added before */
void
bundle_build_route(struct bundle_build *b, const struct bundle_route *route);

/**
 * bundle_build_end() - check the whole and cut it in sections
 * @b: what was begun; nothing more can be done with it than to free it
 * @bundle: as for bundle_parse()
 *
 * Return: as bundle_parse().
 */
enum status bundle_build_end(struct bundle_build *b, struct bundle **bundle);

#endif
