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
 * @keyless: requests need no customer's key
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
	bool keyless;
	int64_t numbers[BUNDLE_ROUTE_NUMBERS];
};

/**
 * struct bundle_customer - a customer as written in a bundle
 * @name: its name
 * @keys: its keys as callers send them
 * @n_keys: number of @keys
 * @rate_milli_per_s: thousandths of a request a second, 0 for no limit
 * @burst_milli: thousandths of a request beyond the rate
 * @priority: rank among the customers, or BUNDLE_NUMBER_OMITTED
 */
struct bundle_customer {
	const char *name;
	const char *const *keys;
	uint32_t n_keys;
	uint64_t rate_milli_per_s;
	uint64_t burst_milli;
	int64_t priority;
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

/** bundle_build_customers() - the bundle has a table of customers, so that
 * requests need a key, unless their route is keyless */
void bundle_build_customers(struct bundle_build *b);

/** bundle_build_customer() - add a customer to the table */
void bundle_build_customer(
    struct bundle_build *b, const struct bundle_customer *customer);

/**
 * bundle_build_end() - validate the bundle and split it into sections
 * @b: the build; afterwards it can only be freed
 * @bundle: as for bundle_parse()
 *
 * Return: as bundle_parse().
 */
enum status bundle_build_end(struct bundle_build *b, struct bundle **bundle);

#endif
