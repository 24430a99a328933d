/*
 * A small deployment for tests: a stand-in platform and hosts over data
 * centres, each with a node and a stand-in upstream.
 */
#ifndef FUNCTIONAL_DEPLOYMENT_H
#define FUNCTIONAL_DEPLOYMENT_H

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
 * enum deployment_relays - whether nodes reach the platform through relays
 * @RELAYED_NONE: they don't
 * @RELAYED_BY_DATA_CENTRE: there is one for each data centre
 * @RELAYED_BY_HOST: there is one for each host
 */
enum deployment_relays {
	RELAYED_NONE = 0,
	RELAYED_BY_DATA_CENTRE,
	RELAYED_BY_HOST,
};

/**
 * struct deployment_plan - what to start
 * @region: name of the region
 * @data_centres: names, ended by NULL
 * @services: names, ended by NULL; handed out to the hosts in turn
 * @profile: "registry" or "crew"
 * @hosts: number of hosts in each data centre
 * @slots: slots of each upstream
 * @work_ms_mean: mean time of a call at an upstream
 * @cold_start_ms: cold start of an upstream
 * @node_settings: JSON object of further settings of all nodes, or NULL
 * @relayed: how nodes reach the platform
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
	enum deployment_relays relayed;
};

/** deployment_registry - the registry's places and services, 2 hosts each */
extern const struct deployment_plan deployment_registry;

/** deployment_crew - the crew transfer office's, 3 hosts each */
extern const struct deployment_plan deployment_crew;

/**
 * struct host - one host
 * @name: its name
 * @address: its IPv4 address
 * @data_centre: index of its data centre
 * @service: service of its upstream
 * @caller_port: of the node
 * @peer_port: of the node
 * @call_port: of the node
 * @admin_port: of the node
 * @upstream_port: of the upstream
 * @node: running node, or NULL
 * @upstream: running upstream, or NULL
 * @journal: file of the upstream's runs; goes on when it is started again
 * @starts: how often a node was started here
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
 * struct deployment - what was started; it frees all of it
 * @plan: what was asked
 * @platform: the stand-in platform
 * @platform_address: its address
 * @platform_port: its port
 * @relays: struct relay to the platform, by data centre or by host, or empty
 * @hosts: struct host, data centre by data centre
 * @outcomes: files written by load runs
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
 * deployment_new() - choose addresses and ports and start the platform
 * @plan: what to start; its strings must outlive the deployment
 */
struct deployment *deployment_new(const struct deployment_plan *plan);

/** deployment_start_node() - write a host's settings and start its node */
void deployment_start_node(struct deployment *d, struct host *h);

/** deployment_start_upstream() - start a host's upstream */
void deployment_start_upstream(struct deployment *d, struct host *h);

/** deployment_start_nodes() - start all nodes and wait until all are members
 */
void deployment_start_nodes(struct deployment *d);

/** deployment_start() - start all nodes, then all upstreams, and wait */
void deployment_start(struct deployment *d);

/** deployment_host() - the host with this index */
struct host *deployment_host(const struct deployment *d, uint32_t i);

/**
 * deployment_stop() - stop all upstreams and nodes by SIGTERM at once
 *
 * Return: the number of processes that did not end with code 0.
 */
int deployment_stop(struct deployment *d);

/** deployment_free() - kill what still runs, and free */
void deployment_free(struct deployment *d);

/** deployment_stop_node() - stop a node by SIGTERM; its exit code */
int deployment_stop_node(struct host *h);

/** deployment_stop_upstream() - stop an upstream by SIGTERM; its exit code */
int deployment_stop_upstream(struct host *h);

/** deployment_kill_node() - kill a node */
void deployment_kill_node(struct host *h);

/** deployment_kill_upstream() - kill an upstream */
void deployment_kill_upstream(struct host *h);

/** deployment_platform_knobs() - set knobs of the platform */
void deployment_platform_knobs(const struct deployment *d, const char *knobs);

/** deployment_platform_stats() - the platform's counts, a new reference */
json_t *deployment_platform_stats(const struct deployment *d);

/**
 * deployment_platform_row() - a row of the platform's table
 *
 * The platform must answer.  Return: a new reference, NULL if there is none.
 */
json_t *deployment_platform_row(const struct deployment *d, const char *key);

/** deployment_row_text() - an attribute of a row; NULL if there is none */
const char *deployment_row_text(const json_t *row, const char *name);

/** deployment_upstream_knobs() - set knobs of an upstream */
void deployment_upstream_knobs(const struct host *h, const char *knobs);

/**
 * deployment_api() - a request to the administration API
 * @h: host whose node is asked
 * @method: HTTP method
 * @path: path and query, for instance "/v1/status"
 * @body: text or NULL
 * @code: where the HTTP status goes, or NULL
 *
 * Return: the JSON answer, a new reference, or NULL.
 */
json_t *deployment_api(const struct host *h, const char *method,
    const char *path, const char *body, int *code);

/** deployment_version() - version that a node runs, 0 for none or no answer */
uint64_t deployment_version(const struct host *h);

/**
 * deployment_wait_version() - wait until all running nodes run a version
 * @d: the deployment
 * @version: the version, or a later one
 * @timeout_ms: how long to wait
 *
 * Return: milliseconds until the last one did; the test fails after
 * @timeout_ms.
 */
uint64_t deployment_wait_version(
    struct deployment *d, uint64_t version, uint32_t timeout_ms);

/**
 * deployment_wait_serving() - wait until all running nodes serve calls
 * @d: the deployment
 * @timeout_ms: how long to wait; then the test fails
 *
 * A node that has just started can hold a version and not serve yet: its
 * floor may not be known.  GET /v1/health tells.
 */
void deployment_wait_serving(struct deployment *d, uint32_t timeout_ms);

/**
 * deployment_wait_endpoints() - wait until all running nodes know this many
 * @d: the deployment
 * @n: number of endpoints, all hosts together
 * @timeout_ms: how long to wait; then the test fails
 */
void deployment_wait_endpoints(
    struct deployment *d, uint32_t n, uint32_t timeout_ms);

/** deployment_wait_members() - the same for hosts that count as live */
void
deployment_wait_members(struct deployment *d, uint32_t n, uint32_t timeout_ms);

/**
 * deployment_ctl() - run bramleyctl
 * @h: host whose node is asked
 * @code: where the exit code goes, or NULL; then it must be 0
 * @args: arguments, ended by NULL
 *
 * Return: its JSON output, a new reference, or NULL.
 */
json_t *
deployment_ctl(const struct host *h, int *code, const char *const *args);

/** deployment_ctl_start() - start bramleyctl; arguments as above */
struct process *
deployment_ctl_start(const struct host *h, const char *const *args);

/** deployment_ctl_end() - wait for it and free it; result as above */
json_t *deployment_ctl_end(struct process *ctl, int *code);

/** deployment_example() - path of a file in examples/, a new string */
char *deployment_example(const char *name);

/**
 * deployment_bundle() - the registry's example with one service changed
 * @n: which change; different numbers give different bundles
 *
 * Return: its path, a new string.
 */
char *deployment_bundle(uint32_t n);

/**
 * deployment_bundle_services() - the same with more services
 * @n: which change
 * @more: number of services besides the example's
 */
char *deployment_bundle_services(uint32_t n, uint32_t more);

/**
 * deployment_bundle_routes() - the same with more routes of its first service
 * @n: which change
 * @routes: number of routes "/grown/NUMBER/x" besides the example's, from 0 on
 */
char *deployment_bundle_routes(uint32_t n, uint32_t routes);

/**
 * deployment_sign_off() - sign a bundle off with bramleyctl
 * @h: host whose node is asked
 * @bundle: path of the bundle
 *
 * Return: the version's number.
 */
uint64_t deployment_sign_off(const struct host *h, const char *bundle);

/**
 * deployment_load() - start load_gen in the background
 * @d: the deployment
 * @name: name of the run; different for each
 * @h: host whose node is called first; others follow when @spread is set
 * @spread: send to all nodes that run
 * @args: further arguments of load_gen, ended by NULL
 */
struct process *deployment_load(struct deployment *d, const char *name,
    const struct host *h, int spread, const char *const *args);

/** deployment_load_end() - wait for load_gen; its summary; frees @load */
json_t *deployment_load_end(struct process *load);

/**
 * deployment_check_runs() - hold all load runs against all journals
 *
 * Prints each violation.  Return: their number.
 */
uint32_t deployment_check_runs(const struct deployment *d);

/** json_number() - an integer of an object, 0 when it is absent */
int64_t json_number(const json_t *j, const char *name);

#endif
