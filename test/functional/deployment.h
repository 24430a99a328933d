/*
 * Small deployment for tests: a stand-in platform and hosts in several data
 * centres, each with a node and a stand-in upstream.
 */
#ifndef FUNCTIONAL_DEPLOYMENT_H
#define FUNCTIONAL_DEPLOYMENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "harness.h"
#include "process.h"
#include "relay.h"

#define DEPLOYMENT_NAME_BYTES 32
#define DEPLOYMENT_START_MS 20000
#define DEPLOYMENT_STOP_MS 40000

/**
 * enum deployment_relays - relays between nodes and the platform
 * @RELAYED_NONE: nodes connect to the platform directly
 * @RELAYED_BY_DATA_CENTRE: one relay for each data centre
 * @RELAYED_BY_HOST: one relay for each host
 */
enum deployment_relays {
	RELAYED_NONE = 0,
	RELAYED_BY_DATA_CENTRE,
	RELAYED_BY_HOST,
};

/**
 * struct deployment_plan - what to start
 * @region: name of the region
 * @data_centres: names, terminated by NULL
 * @services: names, terminated by NULL; assigned to the hosts in turn
 * @profile: "registry" or "crew"
 * @hosts: number of hosts in each data centre
 * @slots: slots of each upstream
 * @work_ms_mean: mean processing time of a call at an upstream
 * @cold_start_ms: duration of the cold start of an upstream
 * @node_settings: JSON object of further settings of all nodes, or NULL
 * @node_descriptors: limit on the descriptors of each node; 0 for that of the
 *	test
 * @relayed: relays between nodes and the platform
 */
struct deployment_plan {
	const char *region;
	const char *const *data_centres;
	const char *const *services;
	const char *profile;
	uint32_t hosts;
	uint32_t slots;
	uint32_t work_ms_mean;
	uint32_t cold_start_ms;
	const char *node_settings;
	uint32_t node_descriptors;
	enum deployment_relays relayed;
};

/** deployment_registry - data centres and services of the registry, with 2
 * hosts in each data centre
 */
extern const struct deployment_plan deployment_registry;

/** deployment_crew - data centres and services of the crew transfer office,
 * with 3 hosts in each data centre
 */
extern const struct deployment_plan deployment_crew;

/**
 * struct host - a host of the deployment
 * @name: name of the host
 * @address: IPv4 address
 * @data_centre: index of the data centre
 * @service: service of the upstream
 * @caller_port: port of the node for callers
 * @peer_port: port of the node for its peers
 * @call_port: port of the node for calls of other nodes
 * @admin_port: port of the node's administration API
 * @upstream_port: port of the upstream
 * @node: running node, or NULL
 * @upstream: running upstream, or NULL
 * @journal: path of the upstream's journal of runs, which a restarted upstream
 *	continues
 * @starts: number of times that a node was started on the host
 */
struct host {
	char name[DEPLOYMENT_NAME_BYTES];
	char address[HARNESS_ADDRESS_BYTES];
	uint32_t data_centre;
	const char *service;
	uint16_t caller_port;
	uint16_t peer_port;
	uint16_t call_port;
	uint16_t admin_port;
	uint16_t upstream_port;
	struct process *node;
	struct process *upstream;
	char *journal;
	uint32_t starts;
};

/**
 * struct deployment - the platform, relays and hosts of a deployment
 * @plan: copy of the plan
 * @platform: the stand-in platform
 * @platform_address: IPv4 address of the platform
 * @platform_port: TCP port of the platform
 * @relays: struct relay to the platform, by data centre or by host, or empty
 * @hosts: struct host, ordered by data centre
 * @outcomes: paths of the outcome files of load runs
 */
struct deployment {
	struct deployment_plan plan;
	struct process *platform;
	char platform_address[HARNESS_ADDRESS_BYTES];
	uint16_t platform_port;
	GPtrArray *relays;
	GPtrArray *hosts;
	GPtrArray *outcomes;
};

/**
 * deployment_new() - choose addresses and ports, and start the platform
 * @plan: what to start; its strings must outlive the deployment
 */
struct deployment *deployment_new(const struct deployment_plan *plan);

/** deployment_start_node() - write a host's settings and start its node */
void deployment_start_node(struct deployment *d, struct host *h);

/** deployment_start_upstream() - start a host's upstream */
void deployment_start_upstream(struct deployment *d, struct host *h);

/** deployment_start_nodes() - start all nodes and wait until all are live
 * members
 */
void deployment_start_nodes(struct deployment *d);

/** deployment_start() - start all nodes, then all upstreams, and wait until all
 * nodes know all endpoints
 */
void deployment_start(struct deployment *d);

/** deployment_host() - host with an index */
struct host *deployment_host(const struct deployment *d, uint32_t i);

/**
 * deployment_stop() - stop all upstreams by SIGTERM at once, then all nodes
 *
 * Return: number of processes that didn't exit with code 0.
 */
int deployment_stop(struct deployment *d);

/** deployment_free() - kill all processes that still run, and free */
void deployment_free(struct deployment *d);

/** deployment_stop_node() - stop a node by SIGTERM; returns its exit code */
int deployment_stop_node(struct host *h);

/** deployment_stop_upstream() - stop an upstream by SIGTERM; returns its exit
 * code
 */
int deployment_stop_upstream(struct host *h);

/** deployment_kill_node() - kill a node by SIGKILL */
void deployment_kill_node(struct host *h);

/** deployment_kill_upstream() - kill an upstream by SIGKILL */
void deployment_kill_upstream(struct host *h);

/** deployment_platform_knobs() - set knobs of the stand-in platform, as JSON */
void deployment_platform_knobs(const struct deployment *d, const char *knobs);

/**
 * deployment_platform_restore() - the platform comes back from its last copy,
 * made by the knob "back_up"
 * @d: the deployment
 *
 * Return: object with the array `lost` of the rows that the copy lacks; free
 * with json_decref().
 */
json_t *deployment_platform_restore(const struct deployment *d);

/** deployment_platform_stats() - counters of the platform, a new reference */
json_t *deployment_platform_stats(const struct deployment *d);

/**
 * deployment_platform_row() - read a row of the platform's table, even
 *	during an outage
 * @d: the deployment
 * @key: key of the row
 *
 * Return: a new reference, or NULL if the row doesn't exist.
 */
json_t *deployment_platform_row(const struct deployment *d, const char *key);

/** deployment_row_text() - attribute of a row, or NULL if the row lacks it */
const char *deployment_row_text(const json_t *row, const char *name);

/** deployment_upstream_knobs() - set knobs of a stand-in upstream, as JSON */
void deployment_upstream_knobs(const struct host *h, const char *knobs);

/**
 * deployment_api() - send a request to the administration API of a node
 * @h: host of the node
 * @method: HTTP method
 * @path: path and query, for instance "/v1/status"
 * @body: text or NULL
 * @code: receives the HTTP status; may be NULL
 *
 * Return: the answer as JSON, a new reference, or NULL.
 */
json_t *deployment_api(const struct host *h, const char *method,
    const char *path, const char *body, int *code);

/** deployment_version() - version that a node runs; 0 for none or no answer */
uint64_t deployment_version(const struct host *h);

/**
 * deployment_wait_version() - wait until all running nodes run a version
 * @d: the deployment
 * @version: the lowest accepted version
 * @timeout_ms: how long to wait; then the test fails
 *
 * Return: milliseconds until the last node ran the version.
 */
uint64_t deployment_wait_version(
    struct deployment *d, uint64_t version, uint32_t timeout_ms);

/**
 * deployment_wait_serving() - wait until all running nodes serve calls
 * @d: the deployment
 * @timeout_ms: how long to wait; then the test fails
 *
 * A node that has just started can have a version without serving calls, as
 * long as it doesn't know its floor.  GET /v1/health reports whether it serves.
 */
void deployment_wait_serving(struct deployment *d, uint32_t timeout_ms);

/**
 * deployment_wait_endpoints() - wait until all running nodes know @n endpoints
 * @d: the deployment
 * @n: number of endpoints of all hosts together
 * @timeout_ms: how long to wait; then the test fails
 */
void deployment_wait_endpoints(
    struct deployment *d, uint32_t n, uint32_t timeout_ms);

/** deployment_wait_members() - wait until all running nodes count @n live
 * members
 */
void
deployment_wait_members(struct deployment *d, uint32_t n, uint32_t timeout_ms);

/**
 * deployment_ctl() - run bramleyctl
 * @h: host whose node bramleyctl uses
 * @code: receives the exit code; if it is NULL, the exit code must be 0
 * @args: arguments, terminated by NULL
 *
 * Return: JSON output of bramleyctl, a new reference, or NULL.
 */
json_t *
deployment_ctl(const struct host *h, int *code, const char *const *args);

/** deployment_ctl_start() - start bramleyctl; see deployment_ctl() */
struct process *
deployment_ctl_start(const struct host *h, const char *const *args);

/** deployment_ctl_end() - wait for bramleyctl and free it; see deployment_ctl()
 */
json_t *deployment_ctl_end(struct process *ctl, int *code);

/** deployment_example() - path of a file in examples/, a new string */
char *deployment_example(const char *name);

/**
 * deployment_bundle() - write the registry's example with one service changed
 * @n: number of the change; different numbers give different bundles
 *
 * Return: path of the bundle, a new string.
 */
char *deployment_bundle(uint32_t n);

/**
 * deployment_bundle_services() - like deployment_bundle(), with more services
 * @n: number of the change
 * @more: number of additional services
 */
char *deployment_bundle_services(uint32_t n, uint32_t more);

/* Prefix of the route of deployment_bundle_customers() that needs a key. */
#define DEPLOYMENT_KEYED_PREFIX "/keyed"

/* Customer of deployment_bundle_customers() with a limit, and its only key; its
 * rate, which is also its burst. */
#define DEPLOYMENT_LIMITED "limited"
#define DEPLOYMENT_LIMITED_PER_S 20

/**
 * deployment_bundle_customers() - like deployment_bundle_routes(), with the
 * customers "north", "south" and DEPLOYMENT_LIMITED
 * @n: number of the change; the keys of the first two are "north-N" and
 *	"south-N"
 * @routes: number of additional routes
 */
char *deployment_bundle_customers(uint32_t n, uint32_t routes);

/**
 * deployment_bundle_routes() - like deployment_bundle(), with more routes of
 * the first service
 * @n: number of the change
 * @routes: number of additional routes, with the prefixes "/grown/0",
 *	"/grown/1" and so on
 */
char *deployment_bundle_routes(uint32_t n, uint32_t routes);

/**
 * deployment_sign_off() - sign a bundle off with bramleyctl
 * @h: host whose node bramleyctl uses
 * @bundle: path of the bundle
 *
 * Return: number of the version.
 */
uint64_t deployment_sign_off(const struct host *h, const char *bundle);

/**
 * deployment_load() - start load_gen in the background
 * @d: the deployment
 * @name: name of the run, unique in the deployment
 * @h: host whose node comes first in the list of nodes
 * @spread: whether to list all other running nodes too
 * @args: further arguments of load_gen, terminated by NULL
 */
struct process *deployment_load(struct deployment *d, const char *name,
    const struct host *h, int spread, const char *const *args);

/** deployment_load_end() - wait for load_gen, free it and return its summary */
json_t *deployment_load_end(struct process *load);

/**
 * struct deployment_excuse - decides which work for departed callers is allowed
 * @fn: whether a fault at the call's node or the run's host excuses work from
 *	@from_ms to @until_ms, monotonic times; NULL excuses nothing
 * @arg: passed to @fn
 */
struct deployment_excuse {
	bool (*fn)(uint32_t node, const char *host, uint64_t from_ms,
	    uint64_t until_ms, void *arg);
	void *arg;
};

/**
 * deployment_check_departures() - check that no upstream began to work for a
 * caller, or went on, later than half a second after the caller left
 * @d: the deployment
 * @excuse: what is allowed
 * @departed: receives the number of callers that left
 *
 * Return: number of violations, which are printed.
 */
uint32_t deployment_check_departures(const struct deployment *d,
    const struct deployment_excuse *excuse, uint32_t *departed);

/**
 * deployment_check_runs() - check the outcomes of all load runs against the
 * journals of all upstreams
 *
 * Prints each violation.
 *
 * Return: number of violations.
 */
uint32_t deployment_check_runs(const struct deployment *d);

/** json_number() - integer member of a JSON object, 0 if it is absent */
int64_t json_number(const json_t *j, const char *name);

#endif
