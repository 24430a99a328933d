/*
 * A service and its routes as a section holds them: immutable and shared by
 * reference count between catalog and snapshots.  A service with many routes
 * has several sections, which differ in their routes only.
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

/* Longest prefix, zero included. */
#define ROUTE_PREFIX_BYTES 256

/* Longest name of a host that callers name, zero included. */
#define ROUTE_HOST_BYTES 128

/* Longest name of a section, zero included: a service's, and a part's of 24. */
#define SECTION_NAME_BYTES 64

/* What a bundle may hold at most; CONFIG_MAX_BYTES bounds its routes. */
#define CONFIG_MAX_SERVICES 4096

/* Ranges of a service's numbers. */
#define SERVICE_TIMEOUT_MIN_MS 1
#define SERVICE_TIMEOUT_MAX_MS 3600000
#define SERVICE_SLOTS_MAX 65535
#define SERVICE_QUEUE_MAX 65535
#define SERVICE_QUEUE_WAIT_MAX_MS 60000
#define SERVICE_REQUEST_MAX_BYTES (UINT64_C(1) << 40)
/* A configuration with this leaves it to each node's setting. */
#define SERVICE_REQUEST_NODE_SETTING SERVICE_REQUEST_MAX_BYTES
#define SERVICE_CALLER_CALLS_MAX 1000000
#define SERVICE_ATTEMPTS_MAX 10
#define SERVICE_BUDGET_MAX_PERCENT 100
#define SERVICE_HEAD_MAX_BYTES 65536
#define SERVICE_CALLER_MAX_MS 3600000
#define ROUTE_WEIGHT_MAX 1000000
#define ROUTE_PRIORITY_MAX 1000

/* What holds when a bundle leaves a number out. */
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

/* A method as a bit of a route's set of methods. */
#define METHOD_BIT(m) (UINT32_C(1) << (m))
#define METHOD_ALL (METHOD_BIT(METHOD_COUNT) - 1)
/* Any method, also one that has no name here; a route has it alone. */
#define METHOD_ANY (METHOD_ALL | METHOD_BIT(METHOD_COUNT))

/* Methods that are idempotent whatever the upstream does. */
#define METHOD_SAFE                                         \
	(METHOD_BIT(METHOD_GET) | METHOD_BIT(METHOD_HEAD) | \
	    METHOD_BIT(METHOD_OPTIONS))

/* Methods that count as idempotent only on a route of their own. */
#define METHOD_NON_IDEMPOTENT \
	(METHOD_BIT(METHOD_POST) | METHOD_BIT(METHOD_PATCH))

/**
 * method_parse() - a method from its name
 * @name: first byte; "GET", "POST"...; case counts
 * @len: number of bytes
 *
 * Return: the method, or METHOD_COUNT when the name is not known.
 */
enum http_method method_parse(const char *name, size_t len);

/** method_name() - a method's name, a static string */
const char *method_name(enum http_method m);

/**
 * struct service_limits - limits that the guard of each endpoint keeps
 * @slots_per_endpoint: requests that an endpoint may run at once
 * @queue_per_endpoint: requests that may wait for a slot
 * @queue_wait_ms: longest wait for a slot
 * @caller_calls_per_s: calls a second of one caller, 0 for no limit
 * @request_max_bytes: largest request body, or SERVICE_REQUEST_NODE_SETTING
 * @head_max_bytes: largest head of a request, 0 for the node's setting
 * @head_ms: longest time for sending it, 0 for the node's setting
 * @idle_ms: how long a caller's idle connection is kept, 0 for the setting
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
 * @attempts: attempts of a request, the first included
 * @budget_percent: retries allowed as a share of successes
 */
struct service_retry {
	uint32_t attempts;
	uint32_t budget_percent;
};

/**
 * struct service_route - a route to a service
 * @prefix: path prefix, zero-terminated; matched at segment boundaries
 * @prefix_len: its length in bytes
 * @methods: set of METHOD_BIT()
 * @idempotent: whether running a request twice does no harm
 * @below: only paths below the prefix match, not the prefix itself
 * @host: host that callers name, in lower case; empty for any
 * @host_len: its length in bytes
 * @weight: share of this service where several share the route, else 0
 * @timeout_ms: longest time that a request may take, 0 for the service's
 * @target_ms: time within which an answer is worth most, 0 when not told
 * @priority: rank, 0 is the highest
 * @attempts: attempts of a request, 0 for the service's
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
};

/**
 * struct service_config - a service with all or a part of its routes; immutable
 * @refs: references; use service_config_ref() and service_config_unref()
 * @name: name of the service
 * @section: name of the section that says this
 * @digest: digest of that section
 * @timeout_ms: time for a request when the caller names no deadline
 * @limits: limits kept by the guards
 * @retry: retry policy
 * @routes: routes, sorted by prefix, then methods
 * @n_routes: number of routes
 * @size_bytes: memory that this takes
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
	uint32_t size_bytes;
};

/** service_config_ref() - take a reference; any thread; Return: @sc */
struct service_config *service_config_ref(struct service_config *sc);

/** service_config_unref() - give a reference back; any thread; NULL is fine */
void service_config_unref(struct service_config *sc);

#endif
