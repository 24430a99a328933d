/*
 * Records of endpoints, shared by endpoints.c, ejection.c and placement.c.
 */
#ifndef TRAFFIC_ENDPOINTS_DEFS_H
#define TRAFFIC_ENDPOINTS_DEFS_H

#include <glib.h>

#include "traffic/ejection.h"

/* Loads and slots are counted in thousandths of a request. */
#define MILLI 1000

/**
 * struct ejection_record - results of one endpoint, for the ejection
 * @consecutive: failures without a success between
 * @successes: recent successes, decaying
 * @failures: recent failures, decaying
 * @halved_ms: when the counts were last halved
 * @took_us: moving average of the time to the answer's head
 * @samples: number of times in the average
 * @ejections: ejections that followed each other, for the growing time
 * @until_ms: end of the ejection; 0 when it is not ejected
 * @probing: a probe is under way
 */
struct ejection_record {
	uint32_t consecutive;
	uint32_t successes;
	uint32_t failures;
	uint64_t halved_ms;
	uint64_t took_us;
	uint32_t samples;
	uint32_t ejections;
	uint64_t until_ms;
	bool probing;
};

/**
 * struct mean_load - load that others put on endpoints, on average
 * @per_slot: of one slot, by the last reports of all of them
 * @reported_ms: when the last one came
 */
struct mean_load {
	double per_slot;
	uint64_t reported_ms;
};

/**
 * struct service - one service and its endpoints
 * @id: see service_id()
 * @generation: snapshot it was told from
 * @since_ms: when it was first told
 * @listed: struct endpoint of all endpoints in the snapshot
 * @ejected: how many of them are ejected
 * @local_mean: mean load of those of the own data centre
 * @remote_mean: mean load of the others
 */
struct service {
	uint64_t id;
	uint64_t generation;
	uint64_t since_ms;
	GPtrArray *listed;
	size_t ejected;
	struct mean_load local_mean;
	struct mean_load remote_mean;
};

/**
 * struct endpoint - what is known of one endpoint
 * @info: from the snapshot
 * @service: its service; NULL once no snapshot lists it
 * @in_flight: own requests
 * @others_milli: load that others put on it, by its last report
 * @reported_ms: when the report came
 * @delay_us: time on the way to it and in its queue, averaged
 * @delay_updated_ms: when that was averaged
 * @warm_from_ms: start of the slow start; 0 when it was always warm
 * @warm_until_ms: end of the slow start
 * @warm_percent: share of its slots with which the slow start begins
 * @excluded_until_ms: it refused as draining, or took no connection; left out
 *	until then
 * @silent: nothing is heard from its host
 * @results: for the ejection
 */
struct endpoint {
	struct endpoint_info info;
	struct service *service;
	uint32_t in_flight;
	uint64_t others_milli;
	uint64_t reported_ms;
	uint64_t delay_us;
	uint64_t delay_updated_ms;
	uint64_t warm_from_ms;
	uint64_t warm_until_ms;
	uint32_t warm_percent;
	uint64_t excluded_until_ms;
	bool silent;
	struct ejection_record results;
};

/**
 * struct endpoints - the table
 * @cfg: settings
 * @services: service id -> struct service
 * @endpoints: endpoint id -> struct endpoint
 * @centres: data centre -> struct centre, see centres.h
 * @ejection: told of results; NULL for none
 */
struct endpoints {
	struct endpoints_config cfg;
	GHashTable *services;
	GHashTable *endpoints;
	GHashTable *centres;
	struct ejection *ejection;
};

/** endpoints_find() - record of an endpoint, or NULL */
struct endpoint *endpoints_find(const struct endpoints *e, uint64_t id);

/** endpoints_service() - record of a service, or NULL */
struct service *endpoints_service(const struct endpoints *e, uint64_t id);

/** endpoints_is_partitioned() - whether its data centre is taken for cut off */
bool
endpoints_is_partitioned(const struct endpoints *e, const struct endpoint *ep);

/** endpoints_begin_slow_start() - it may be cold, and doesn't say for how long
 */
void endpoints_begin_slow_start(
    const struct endpoints *e, struct endpoint *ep, uint64_t now_ms);

/** endpoints_load_milli() - estimated load of an endpoint */
uint64_t endpoints_load_milli(
    const struct endpoints *e, const struct endpoint *ep, uint64_t now_ms);

/** endpoints_expected_milli() - the same, old reports taken for the mean */
uint64_t endpoints_expected_milli(
    const struct endpoints *e, const struct endpoint *ep, uint64_t now_ms);

/** endpoints_delay_us() - expected time on the way to an endpoint */
uint64_t endpoints_delay_us(
    const struct endpoints *e, const struct endpoint *ep, uint64_t now_ms);

/** endpoints_slots_milli() - slots, fewer during slow start */
uint64_t endpoints_slots_milli(
    const struct endpoints *e, const struct endpoint *ep, uint64_t now_ms);

/** ejection_add_result() - a result came in */
void ejection_add_result(struct ejection *j, struct endpoint *ep,
    enum endpoint_result result, uint64_t took_us, uint64_t now_ms);

/** ejection_verdict_for() - verdict on an endpoint for a kind of request */
enum ejection_verdict ejection_verdict_for(const struct ejection *j,
    const struct endpoint *ep, bool idempotent, uint64_t now_ms);

/** ejection_begin_probe() - a request is sent to try the endpoint again */
void ejection_begin_probe(struct ejection *j, struct endpoint *ep);

/** ejection_reset() - the endpoint was replaced or is listed no more */
void ejection_reset(struct endpoint *ep);

#endif
