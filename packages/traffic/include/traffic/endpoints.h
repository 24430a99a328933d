/*
 * Table of the endpoints that an entry may call: state from the snapshot, own
 * requests in flight, load reports and results.
 *
 * Placement and ejection are based on this table.  The record of an endpoint
 * persists across changes of the snapshot.
 */
#ifndef TRAFFIC_ENDPOINTS_H
#define TRAFFIC_ENDPOINTS_H

#include <stddef.h>

#include "traffic/traffic_defs.h"

struct endpoints;

/**
 * enum endpoint_state - state of an endpoint in the snapshot
 * @ENDPOINT_STARTING: not ready yet
 * @ENDPOINT_READY: accepts requests
 * @ENDPOINT_DRAINING: finishes its requests and accepts no new ones
 * @ENDPOINT_LEFT: no longer part of the service
 */
enum endpoint_state {
	ENDPOINT_STARTING = 0,
	ENDPOINT_READY,
	ENDPOINT_DRAINING,
	ENDPOINT_LEFT,
};

/**
 * struct endpoint_info - one endpoint of a service in the snapshot
 * @id: see endpoint_id()
 * @incarnation: changes when the upstream is replaced under the same name;
 *	earlier results are then dropped, and the endpoint begins with a slow
 *	start unless it announces that it is warm
 * @slots: announced number of slots; at least 1 is assumed
 * @cold_ms: announced time for which the upstream is still slow after its
 *	start; UINT32_MAX when not announced
 * @host: number of its host, unique per host
 * @centre: number of its data centre, unique per data centre; 0 when unknown
 * @state: announced state
 * @local: in this node's data centre
 * @own: on this node's own host
 * @canary: position among the endpoints of the version on trial, from 1; 0 for
 *	an endpoint of the current version
 */
struct endpoint_info {
	uint64_t id;
	uint64_t incarnation;
	uint32_t slots;
	uint32_t cold_ms;
	uint64_t host;
	uint64_t centre;
	enum endpoint_state state;
	bool local;
	bool own;
	uint32_t canary;
};

/**
 * enum endpoint_result - result of a request at an endpoint
 * @ENDPOINT_OK: the complete answer arrived and is no server error
 * @ENDPOINT_FAILED: a server error, a broken upstream or a truncated answer
 * @ENDPOINT_SILENT: no answer within the deadline, or connection silent
 * @ENDPOINT_UNREACHABLE: the guard could not be reached
 * @ENDPOINT_REFUSED: the guard refused for load; not counted as a failure
 * @ENDPOINT_DRAINS: the guard refused because the endpoint is draining
 * @ENDPOINT_ABSENT: the guard is reachable and the upstream is not; nothing
 *	was sent to it
 * @ENDPOINT_CANCELLED: this side gave up; not counted for the endpoint
 */
enum endpoint_result {
	ENDPOINT_OK = 0,
	ENDPOINT_FAILED,
	ENDPOINT_SILENT,
	ENDPOINT_UNREACHABLE,
	ENDPOINT_REFUSED,
	ENDPOINT_DRAINS,
	ENDPOINT_ABSENT,
	ENDPOINT_CANCELLED,
};

/**
 * struct endpoints_config - settings for the ageing of measurements
 * @slow_start_ms: duration of a slow start when the endpoint has not announced
 *	how long it is cold; 0 turns slow start off
 * @load_half_life_ms: half-life of a reported load
 * @delay_half_life_ms: half-life of a measured delay, so that an endpoint that
 *	was slow to reach is tried again
 * @drain_hold_ms: how long an endpoint that refused as draining is excluded,
 *	unless the snapshot reports earlier that the endpoint is ready again
 * @absent_hold_ms: how long an endpoint that accepts no connections is
 *	excluded; the upstream may start again at any time, and an attempt that
 *	comes too early costs a connection to its guard
 */
struct endpoints_config {
	uint32_t slow_start_ms;
	uint32_t load_half_life_ms;
	uint32_t delay_half_life_ms;
	uint32_t drain_hold_ms;
	uint32_t absent_hold_ms;
};

/** endpoints_config_default() - fill in the default settings */
void endpoints_config_default(struct endpoints_config *cfg);

/**
 * endpoints_new() - create an empty table
 * @cfg: settings; copied
 *
 * Return: the table; free with endpoints_free().
 */
struct endpoints *endpoints_new(const struct endpoints_config *cfg);

/** endpoints_free() - free the table and all records */
void endpoints_free(struct endpoints *e);

/**
 * endpoints_set_service() - set the endpoints of a service
 * @e: the table
 * @service: see service_id()
 * @generation: number of the snapshot, see endpoints_generation()
 * @infos: all endpoints of the service in the snapshot
 * @n: number of @infos; 0 removes the service
 * @now_ms: monotonic time
 *
 * Endpoints that are missing from @infos receive no new requests; their record
 * is removed once nothing is in flight.
 */
void endpoints_set_service(struct endpoints *e, uint64_t service,
    uint64_t generation, const struct endpoint_info *infos, size_t n,
    uint64_t now_ms);

/**
 * endpoints_generation() - snapshot from which a service was last set
 *
 * Allows a service to be set only when a call for it arrives.
 *
 * Return: the generation, 0 when the service has never been set.
 */
uint64_t endpoints_generation(const struct endpoints *e, uint64_t service);

/** endpoints_began() - a request was sent to @endpoint */
void endpoints_began(struct endpoints *e, uint64_t endpoint, uint64_t now_ms);

/**
 * endpoints_ended() - a request begun with endpoints_began() has ended
 * @e: the table
 * @endpoint: the endpoint
 * @result: result of the request
 * @took_us: time from sending to the head of the answer; used for ENDPOINT_OK
 * @now_ms: monotonic time
 */
void endpoints_ended(struct endpoints *e, uint64_t endpoint,
    enum endpoint_result result, uint64_t took_us, uint64_t now_ms);

/**
 * endpoints_record_delay() - record the time of a request beyond the
 * upstream's processing time
 * @e: the table
 * @endpoint: endpoint id
 * @took_us: time from sending to the head of the answer, or until now when no
 *	answer arrived
 * @upstream_us: processing time of the upstream; 0 when no answer arrived, then
 *	the usual time of its requests is subtracted
 * @now_ms: monotonic time
 *
 * Call only for requests without a body, as the transfer of a body takes time
 * on any path.
 */
void endpoints_record_delay(struct endpoints *e, uint64_t endpoint,
    uint64_t took_us, uint64_t upstream_us, uint64_t now_ms);

/**
 * endpoints_set_silent() - set whether the host of an endpoint is silent
 * @e: the table
 * @endpoint: the endpoint
 * @silent: nothing arrives from the host; the endpoint is excluded while
 *	others are usable.  At the end of the silence earlier results are
 *	dropped, since they reflect the network path and not the endpoint.
 * @now_ms: monotonic time
 *
 * Return: whether the endpoint's data centre, if not the own one, is
 * considered partitioned from now on: two of its hosts fell silent within 2 s,
 * with nothing received from there in between.  All its endpoints are then
 * excluded until something is received, except for one idempotent call every 2
 * s.
 */
bool endpoints_set_silent(
    struct endpoints *e, uint64_t endpoint, bool silent, uint64_t now_ms);

/** endpoints_listed() - whether the snapshot in force contains the endpoint */
bool endpoints_listed(const struct endpoints *e, uint64_t endpoint);

/**
 * endpoints_report() - an answer or refusal of @endpoint carried @load
 *
 * Call after endpoints_ended() of the same request.
 */
void endpoints_report(struct endpoints *e, uint64_t endpoint,
    const struct load_report *load, uint64_t now_ms);

/**
 * endpoints_ran() - record how long an endpoint ran a request
 * @e: the table
 * @endpoint: the endpoint
 * @kind: number of the kind of request, such as a hash of its route
 * @took_us: run time of the request
 * @mean_us: mean run time of such requests at the endpoint lately, as reported
 *	by its guard; 0 when unknown
 * @now_ms: monotonic time
 */
void endpoints_ran(struct endpoints *e, uint64_t endpoint, uint64_t kind,
    uint64_t took_us, uint64_t mean_us, uint64_t now_ms);

/**
 * endpoints_comparable_us() - a run time as if the request were of the mean
 * kind of its service
 * @e: the table
 * @endpoint: the endpoint
 * @kind: number of the kind of request
 * @took_us: run time of the request
 *
 * Return: the run time that outlier ejection can compare with those of other
 * kinds; @took_us while the kind is unknown.
 */
uint64_t endpoints_comparable_us(const struct endpoints *e, uint64_t endpoint,
    uint64_t kind, uint64_t took_us);

/**
 * endpoints_leaving() - an answer reported that the endpoint leaves
 *
 * The endpoint gets no new requests for drain_hold_ms.  After that, its guard
 * decides on each request.
 */
void endpoints_leaving(struct endpoints *e, uint64_t endpoint, uint64_t now_ms);

/**
 * endpoints_hint() - result of the endpoint's own health check
 *
 * Used as a hint only: a healthy result brings the next probe of an ejected
 * endpoint forward, and no result ejects an endpoint, since health checks may
 * be wrong.
 */
void endpoints_hint(
    struct endpoints *e, uint64_t endpoint, bool healthy, uint64_t now_ms);

/** endpoints_in_flight() - number of own requests in flight at @endpoint */
uint32_t endpoints_in_flight(const struct endpoints *e, uint64_t endpoint);

#endif
