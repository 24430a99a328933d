/*
 * What an entry knows of the endpoints it may call: state from the snapshot,
 * its own requests in flight, the load carried by answers, and results.
 * Placement and ejection decide on it.  The record of an endpoint survives
 * changes of the snapshot.
 */
#ifndef TRAFFIC_ENDPOINTS_H
#define TRAFFIC_ENDPOINTS_H

#include <stddef.h>

#include "traffic/traffic_defs.h"

struct endpoints;

/** enum endpoint_state - what the snapshot says of an endpoint */
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
 *	its results so far are forgotten, and unless it says that it is warm
 *	it starts slowly
 * @slots: announced number of slots; at least 1 is assumed
 * @cold_ms: how long it was still slow after its start when it was announced;
 *	UINT32_MAX when it didn't say
 * @host: its host, by any number that hosts differ in
 * @centre: its data centre, likewise; 0 when it has none
 * @state: state announced
 * @local: in this node's data centre
 * @own: on this node's own host
 * @canary: its place among the endpoints of a version that is tried, from 1
 *	on; 0 for one of the current version
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
 * enum endpoint_result - how a request at an endpoint ended
 * @ENDPOINT_OK: the whole answer came and is no server error
 * @ENDPOINT_FAILED: a server error, a broken upstream or a cut answer
 * @ENDPOINT_SILENT: no answer within the deadline, or connection silent
 * @ENDPOINT_UNREACHABLE: the guard could not be reached
 * @ENDPOINT_REFUSED: the guard refused for load; no sign of illness
 * @ENDPOINT_DRAINS: the guard refused because the endpoint drains
 * @ENDPOINT_ABSENT: its guard is there and it is not: nothing was sent to it
 * @ENDPOINT_CANCELLED: this side gave up; says nothing about the endpoint
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
 * struct endpoints_config - how measurements age
 * @slow_start_ms: time over which an endpoint's share grows to its full size
 *	when it didn't say how long it is slow; 0 turns slow start off
 * @load_half_life_ms: a reported load counts half after this time
 * @delay_half_life_ms: a delay on the way counts half after this time, so that
 *	one that was slow to reach is tried again
 * @drain_hold_ms: an endpoint that refused as draining is left out this
 *	long, until the snapshot tells the same
 * @absent_hold_ms: so is one that takes no connections; it may start again at
 *	any time, and who tries it too early loses a way to its guard
 */
struct endpoints_config {
	uint32_t slow_start_ms;
	uint32_t load_half_life_ms;
	uint32_t delay_half_life_ms;
	uint32_t drain_hold_ms;
	uint32_t absent_hold_ms;
};

/** endpoints_config_default() - the values that measurement argued for */
void endpoints_config_default(struct endpoints_config *cfg);

/**
 * endpoints_new() - an empty table
 * @cfg: settings; copied
 *
 * Return: the table; free with endpoints_free().
 */
struct endpoints *endpoints_new(const struct endpoints_config *cfg);

/** endpoints_free() - free the table and all records */
void endpoints_free(struct endpoints *e);

/**
 * endpoints_set_service() - tell a service's endpoints
 * @e: the table
 * @service: see service_id()
 * @generation: number of the snapshot, see endpoints_generation()
 * @infos: all endpoints of the service in the snapshot
 * @n: number of @infos; 0 removes the service
 * @now_ms: monotonic time
 *
 * Endpoints no longer named take no new requests; their record goes once
 * nothing is in flight.
 */
void endpoints_set_service(struct endpoints *e, uint64_t service,
    uint64_t generation, const struct endpoint_info *infos, size_t n,
    uint64_t now_ms);

/**
 * endpoints_generation() - the snapshot a service was last told from
 *
 * So that the shell may tell services lazily, when a call for one comes.
 *
 * Return: the generation, 0 when the service has never been told.
 */
uint64_t endpoints_generation(const struct endpoints *e, uint64_t service);

/** endpoints_began() - a request was sent to @endpoint */
void endpoints_began(struct endpoints *e, uint64_t endpoint, uint64_t now_ms);

/**
 * endpoints_ended() - a request begun with endpoints_began() is over
 * @e: the table
 * @endpoint: the endpoint
 * @result: how it ended
 * @took_us: time from sending to the head of the answer; used when OK
 * @now_ms: monotonic time
 */
void endpoints_ended(struct endpoints *e, uint64_t endpoint,
    enum endpoint_result result, uint64_t took_us, uint64_t now_ms);

/**
 * endpoints_record_delay() - what a request took besides the upstream's work
 * @e: the table
 * @endpoint: endpoint id
 * @took_us: time from its sending to the answer's head, or so far when no
 *	answer came
 * @upstream_us: the upstream's part; 0 when no answer came, then as much as
 *	its requests usually take is left out
 * @now_ms: monotonic time
 *
 * Only requests without a body tell: the transfer of one takes its time on
 * any way.
 */
void endpoints_record_delay(struct endpoints *e, uint64_t endpoint,
    uint64_t took_us, uint64_t upstream_us, uint64_t now_ms);

/**
 * endpoints_set_silent() - whether the way to an endpoint is in doubt
 * @e: the table
 * @endpoint: the endpoint
 * @doubt: nothing is heard from its host; it is left out while others are
 *	usable.  When the doubt is over its results so far are forgotten, since
 *	they told of the way and not of the endpoint.
 * @now_ms: monotonic time
 *
 * Return: whether its data centre, another than the own one, is taken for cut
 * off from now on: two of its hosts fell silent within 2 s, with nothing heard
 * from there between.  Its endpoints are left out then until something is
 * heard, but for one call each 2 s that may run twice.
 */
bool endpoints_set_silent(
    struct endpoints *e, uint64_t endpoint, bool silent, uint64_t now_ms);

/** endpoints_listed() - whether the snapshot in force has the endpoint */
bool endpoints_listed(const struct endpoints *e, uint64_t endpoint);

/**
 * endpoints_report() - an answer or refusal of @endpoint carried @load
 *
 * To be told after endpoints_ended() of the request it came with.
 */
void endpoints_report(struct endpoints *e, uint64_t endpoint,
    const struct load_report *load, uint64_t now_ms);

/**
 * endpoints_hint() - what the endpoint's health check claims
 *
 * A hint only: it brings the next probe of an ejected endpoint forward
 * (healthy) and never ejects one by itself, since health checks may lie.
 */
void endpoints_hint(
    struct endpoints *e, uint64_t endpoint, bool healthy, uint64_t now_ms);

/** endpoints_in_flight() - own requests in flight at @endpoint */
uint32_t endpoints_in_flight(const struct endpoints *e, uint64_t endpoint);

#endif
