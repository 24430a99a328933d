/*
 * A service and its routes as decoded from a section: immutable, reference
 * counted, and shared by the catalog and snapshots.  A service with many routes
 * has several sections, which differ only in their routes.
 */
#ifndef CONFIG_SERVICE_H
#define CONFIG_SERVICE_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/hash.h"
#include "base/service_name.h"
#include "base/status.h"
#include "config/customer.h"

/* Longest prefix and longest host; no request that a node takes has a longer
 * path or host. */
#define ROUTE_PREFIX_MAX_BYTES 65535
#define ROUTE_HOST_MAX_BYTES 65535

/* Longest name of a section, including the NUL: the name of a service and of a
 * part, which has up to 24 characters. */
#define SECTION_NAME_BYTES 64

/* Name of the sections that hold the table of customers; no service can have
 * it. */
#define CUSTOMERS_SECTION "/customers"

/* Most services of a bundle; its routes are bounded by CONFIG_MAX_BYTES. */
#define CONFIG_MAX_SERVICES 4096

/* Ranges of the numbers of services and routes. */
#define SERVICE_TIMEOUT_MIN_MS 1
#define SERVICE_TIMEOUT_MAX_MS 3600000
#define SERVICE_SLOTS_MAX 65535
#define SERVICE_QUEUE_MAX 65535
#define SERVICE_QUEUE_WAIT_MAX_MS 60000
#define SERVICE_REQUEST_MAX_BYTES (UINT64_C(1) << 40)
/* Stands for the limit in the settings of each node. */
#define SERVICE_REQUEST_NODE_SETTING SERVICE_REQUEST_MAX_BYTES
#define SERVICE_CALLER_CALLS_MAX 1000000
#define SERVICE_ATTEMPTS_MAX 10
#define SERVICE_BUDGET_MAX_PERCENT 100
#define SERVICE_HEAD_MAX_BYTES 65536
#define SERVICE_CALLER_MAX_MS 3600000
#define ROUTE_WEIGHT_MAX 1000000
#define ROUTE_PRIORITY_MAX 1000

/* Defaults of numbers that a bundle omits. */
#define SERVICE_TIMEOUT_DEFAULT_MS 2000
#define SERVICE_SLOTS_DEFAULT 12
#define SERVICE_QUEUE_DEFAULT 24
#define SERVICE_QUEUE_WAIT_DEFAULT_MS 200
#define SERVICE_REQUEST_DEFAULT_BYTES (UINT64_C(1) << 20)
#define SERVICE_CALLER_CALLS_DEFAULT 0
#define SERVICE_ATTEMPTS_DEFAULT 2
#define SERVICE_BUDGET_DEFAULT_PERCENT 10

/** enum http_method - methods that a route can name */
enum http_method {
	METHOD_GET = 0,
	METHOD_HEAD,
	METHOD_POST,
	METHOD_PUT,
	METHOD_PATCH,
	METHOD_DELETE,
	METHOD_OPTIONS,
	METHOD_COUNT,
};

/* A method as a bit in the method set of a route. */
#define METHOD_BIT(m) (UINT32_C(1) << (m))
#define METHOD_ALL (METHOD_BIT(METHOD_COUNT) - 1)
/* Any method, including those not in enum http_method; a route can't combine it
 * with others. */
#define METHOD_ANY (METHOD_ALL | METHOD_BIT(METHOD_COUNT))

/* Safe methods, which are idempotent whatever the upstream does. */
#define METHOD_SAFE                                         \
	(METHOD_BIT(METHOD_GET) | METHOD_BIT(METHOD_HEAD) | \
	    METHOD_BIT(METHOD_OPTIONS))

/* Methods that a route may declare idempotent only if it has no others. */
#define METHOD_NON_IDEMPOTENT \
	(METHOD_BIT(METHOD_POST) | METHOD_BIT(METHOD_PATCH))

/**
 * method_parse() - parse the name of a method
 * @name: first byte; "GET", "POST"...; case-sensitive
 * @len: number of bytes
 *
 * Return: the method, or METHOD_COUNT if the name is unknown.
 */
enum http_method method_parse(const char *name, size_t len);

/** method_name() - name of a method, a static string */
const char *method_name(enum http_method m);

/**
 * struct service_limits - limits enforced by the guard of each endpoint
 * @slots_per_endpoint: concurrent requests of an endpoint
 * @queue_per_endpoint: requests that may wait for a slot
 * @queue_wait_ms: longest wait for a slot
 * @caller_calls_per_s: calls per second of one caller, 0 for no limit
 * @request_max_bytes: largest request body, or SERVICE_REQUEST_NODE_SETTING
 * @head_max_bytes: largest request head, 0 for the node's setting
 * @head_ms: longest time to receive the head, 0 for the node's setting
 * @idle_ms: longest idle time of a caller's connection, 0 for the node's
 *	setting
 */
struct service_limits {
	uint32_t slots_per_endpoint;
	uint32_t queue_per_endpoint;
	uint32_t queue_wait_ms;
	uint32_t caller_calls_per_s;
	uint64_t request_max_bytes;
	uint32_t head_max_bytes;
	uint32_t head_ms;
	uint32_t idle_ms;
};

/**
 * struct service_retry - retry policy
 * @attempts: attempts per request, including the first
 * @budget_percent: retry budget in percent of successes
 */
struct service_retry {
	uint32_t attempts;
	uint32_t budget_percent;
};

/**
 * struct service_route - a route to a service
 * @prefix: path prefix, NUL-terminated; matched at segment boundaries
 * @prefix_len: length of @prefix in bytes
 * @methods: set of METHOD_BIT()
 * @idempotent: whether requests may safely be sent more than once
 * @below: match only paths below the prefix, not the prefix itself
 * @host: host of the request in lower case; empty for any
 * @host_len: length of @host in bytes
 * @weight: weight of this service if several share the route, else 0
 * @timeout_ms: longest time of a request, 0 for the service's
 * @target_ms: target time of an answer, within which the answer has its full
 *	value; 0 if not set
 * @priority: 0 is the highest
 * @attempts: attempts per request, 0 for the service's
 * @keyless: requests need no customer's key
 */
struct service_route {
	const char *prefix;
	uint32_t prefix_len;
	uint32_t methods;
	bool idempotent;
	bool below;
	const char *host;
	uint32_t host_len;
	uint32_t weight;
	uint32_t timeout_ms;
	uint32_t target_ms;
	uint32_t priority;
	uint32_t attempts;
	bool keyless;
};

/**
 * struct customer_config - a customer as decoded from a section
 * @info: its name, rank and limit
 * @keys: digests of its keys, sorted
 * @n_keys: number of @keys
 */
struct customer_config {
	struct customer info;
	const struct customer_key *keys;
	uint32_t n_keys;
};

/**
 * struct service_config - a service with all or a part of its routes, or a part
 * of the table of customers; immutable
 * @refs: references; use service_config_ref() and service_config_unref()
 * @name: name of the service
 * @section: name of the section from which it was decoded
 * @digest: digest of that section
 * @timeout_ms: longest time of a request without a deadline from the caller
 * @limits: limits enforced by the guards
 * @retry: retry policy
 * @routes: routes, sorted by host, prefix, @below, then methods
 * @n_routes: number of routes
 * @holds_customers: the section is a part of the table of customers and has no
 *	routes
 * @customers: customers, sorted by name
 * @n_customers: number of customers
 * @size_bytes: size of the allocation, including routes, customers and texts
 */
struct service_config {
	_Atomic uint32_t refs;
	char name[SERVICE_NAME_BYTES];
	char section[SECTION_NAME_BYTES];
	struct digest digest;
	uint32_t timeout_ms;
	struct service_limits limits;
	struct service_retry retry;
	struct service_route *routes;
	uint32_t n_routes;
	bool holds_customers;
	struct customer_config *customers;
	uint32_t n_customers;
	uint32_t size_bytes;
};

/** service_config_ref() - take a reference; any thread; Return: @sc */
struct service_config *service_config_ref(struct service_config *sc);

/** service_config_unref() - drop a reference; any thread; accepts NULL */
void service_config_unref(struct service_config *sc);

#endif
