/*
 * Records of endpoints, shared by endpoints.c, ejection.c and placement.c.
 */
#ifndef TRAFFIC_ENDPOINTS_DEFS_H
#define TRAFFIC_ENDPOINTS_DEFS_H

#include <glib.h>

#include "traffic/ejection.h"
#include "traffic/run_times.h"

/* Loads and slots are in thousandths of a request. */
#define MILLI 1000

/**
 * struct ejection_record - results of one endpoint for outlier ejection
 * @consecutive: failures since the last success
 * @successes: recent successes, decaying
 * @failures: recent failures, decaying
 * @halved_ms: monotonic time at which the counts were last halved
 * @took_us: moving average of the time to the head of the answer
 * @samples: number of measured times in the average
 * @ejections: number of successive ejections, for the growing duration
 * @until_ms: end of the ejection; 0 when not ejected
 * @probing: a probe is in flight
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
 * struct mean_load - mean load by other entries on a group of endpoints
 * @per_slot: load per slot, averaged over the last reports of the whole group
 * @reported_ms: monotonic time of the last report
 */
struct mean_load {
	double per_slot;
	uint64_t reported_ms;
};

/**
 * struct service - a service and its endpoints
 * @id: see service_id()
 * @generation: number of the snapshot from which the service was last set
 * @since_ms: monotonic time at which the service was first set
 * @listed: struct endpoint of all endpoints in the snapshot
 * @ejected: number of ejected endpoints
 * @local_mean: mean load of the endpoints in the own data centre
 * @remote_mean: mean load of the other endpoints
 * @kinds: mean run time of requests by kind, over all endpoints
 * @reports_pace: endpoints of the service report the pace of their machines
 * @size_us: mean size of the requests at work, over the last reports of all
 *	endpoints; 0 while none reported it
 */
struct service {
	uint64_t id;
	uint64_t generation;
	uint64_t since_ms;
	GPtrArray *listed;
	size_t ejected;
	struct mean_load local_mean;
	struct mean_load remote_mean;
	struct run_times kinds;
	bool reports_pace;
	double size_us;
};

/**
 * struct endpoint_pace - this entry's own rate towards an endpoint that names a
 * limit
 * @limit_milli_per_s: the limit, from the endpoint's last report; 0 for none
 * @milli_per_s: part of the limit that this entry uses, in thousandths of a
 *	request a second
 * @open_ms: monotonic time of the next request; until then the endpoint counts
 *	as saturated
 * @refused: the last request was refused for load
 */
struct endpoint_pace {
	uint64_t limit_milli_per_s;
	uint64_t milli_per_s;
	uint64_t open_ms;
	bool refused;
};

/**
 * struct endpoint_speed - how fast an endpoint runs requests
 * @excess: run time as a multiple of the service's mean for the same kind,
 *	less 1; 0 when unknown
 * @ran_ms: monotonic time of the last update of @excess
 * @mean_pace: mean pace that the endpoint reported, in percent; 0 when unknown
 * @pace: last reported pace, in percent
 * @pace_ms: monotonic time of that report
 * @size_us: mean run time of the requests under way there; 0 when unknown
 */
struct endpoint_speed {
	double excess;
	uint64_t ran_ms;
	double mean_pace;
	double pace;
	uint64_t pace_ms;
	double size_us;
};

/**
 * struct endpoint - state of one endpoint
 * @info: from the snapshot
 * @service: its service; NULL once no snapshot lists the endpoint
 * @in_flight: number of own requests in flight
 * @others_milli: load by other entries, from the endpoint's last report
 * @reported_ms: monotonic time of the last report
 * @delay_us: moving average of the time on the network and in the queue
 * @delay_updated_ms: monotonic time of the last update of @delay_us
 * @warm_from_ms: start of the slow start; 0 when the endpoint was always warm
 * @warm_until_ms: end of the slow start
 * @warm_percent: share of its slots with which the slow start begins
 * @excluded_until_ms: excluded until then, after a refusal as draining or a
 *	refused connection
 * @silent: nothing arrives from its host
 * @pace: rate of requests under the limit that it names
 * @speed: how fast it runs requests
 * @results: for outlier ejection
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
	struct endpoint_pace pace;
	struct endpoint_speed speed;
	struct ejection_record results;
};

/**
 * struct endpoints - the table
 * @cfg: settings
 * @services: service id -> struct service
 * @endpoints: endpoint id -> struct endpoint
 * @centres: data centre -> struct centre, see centres.h
 * @ejection: receives the results; NULL for none
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

/**
 * endpoints_is_partitioned() - whether the endpoint's data centre is
 * considered partitioned
 */
bool
endpoints_is_partitioned(const struct endpoints *e, const struct endpoint *ep);

/** endpoints_begin_slow_start() - begin a slow start of the default duration */
void endpoints_begin_slow_start(
    const struct endpoints *e, struct endpoint *ep, uint64_t now_ms);

/**
 * endpoints_load_milli() - estimated load of an endpoint; the load by other
 * entries decays to 0 as its report grows old
 */
uint64_t endpoints_load_milli(
    const struct endpoints *e, const struct endpoint *ep, uint64_t now_ms);

/**
 * endpoints_expected_milli() - estimated load of an endpoint; the load by other
 * entries decays to the mean of its group as its report grows old
 */
uint64_t endpoints_expected_milli(
    const struct endpoints *e, const struct endpoint *ep, uint64_t now_ms);

/** endpoints_limit_wait_us() - time until the endpoint's limit leaves room for
 * a request of this entry; 0 if there is room or no limit */
uint64_t endpoints_limit_wait_us(const struct endpoint *ep, uint64_t now_ms);

/** endpoint_pace_sent() - a request was sent */
void endpoint_pace_sent(struct endpoint_pace *p, uint64_t now_ms);

/** endpoint_pace_report() - the report of an answer or refusal arrived;
 * @refused is set before */
void endpoint_pace_report(
    struct endpoint_pace *p, const struct load_report *load, uint64_t now_ms);

/**
 * endpoint_speed_ran() - record a run time
 * @s: the speed
 * @factor: run time as a multiple of the service's mean for the same kind
 * @is_mean: a mean over recent requests at the endpoint, not a single one
 * @now_ms: monotonic time
 */
void endpoint_speed_ran(
    struct endpoint_speed *s, double factor, bool is_mean, uint64_t now_ms);

/** endpoint_speed_factor() - expected run time as a multiple of the service's
 * mean */
double endpoint_speed_factor(const struct endpoint_speed *s, uint64_t now_ms);

/** endpoint_speed_report() - the report of an answer or refusal arrived */
void endpoint_speed_report(
    struct endpoint_speed *s, const struct load_report *load, uint64_t now_ms);

/** endpoint_speed_spell_us() - time by which a request of @run_us is expected
 * to run longer because of the present pace; less than 0 for shorter */
double endpoint_speed_spell_us(
    const struct endpoint_speed *s, double run_us, uint64_t now_ms);

/** endpoints_delay_us() - expected time on the network and in the queue */
uint64_t endpoints_delay_us(
    const struct endpoints *e, const struct endpoint *ep, uint64_t now_ms);

/** endpoints_others_milli() - load by other entries, which nears the mean of
 * its group as its report grows old */
uint64_t endpoints_others_milli(
    const struct endpoint *ep, uint32_t half_life_ms, uint64_t now_ms);

/**
 * endpoints_expected_us() - expected time until an endpoint answers
 * @e: the table
 * @ep: the endpoint
 * @kind_us: the service's mean run time of requests of this kind
 * @now_ms: monotonic time
 */
uint64_t endpoints_expected_us(const struct endpoints *e,
    const struct endpoint *ep, uint64_t kind_us, uint64_t now_ms);

/** endpoints_slots_milli() - slots of an endpoint, reduced during slow start */
uint64_t endpoints_slots_milli(
    const struct endpoints *e, const struct endpoint *ep, uint64_t now_ms);

/** ejection_add_result() - record the result of a request */
void ejection_add_result(struct ejection *j, struct endpoint *ep,
    enum endpoint_result result, uint64_t took_us, uint64_t now_ms);

/**
 * ejection_verdict_for() - verdict on an endpoint for an idempotent or a
 * non-idempotent request
 */
enum ejection_verdict ejection_verdict_for(const struct ejection *j,
    const struct endpoint *ep, bool idempotent, uint64_t now_ms);

/** ejection_begin_probe() - record that a request is sent as a probe */
void ejection_begin_probe(struct ejection *j, struct endpoint *ep);

/**
 * ejection_reset() - drop the results of an endpoint that was replaced or is
 * no longer listed
 */
void ejection_reset(struct endpoint *ep);

#endif
