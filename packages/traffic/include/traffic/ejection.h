/*
 * Outlier ejection: excludes endpoints that fail, fall silent or are much
 * slower than the others of their service.
 *
 * The duration of repeated ejections grows up to a limit, and only a share of a
 * service's endpoints is ejected at a time.  After the ejection one request at
 * a time probes the endpoint.
 */
#ifndef TRAFFIC_EJECTION_H
#define TRAFFIC_EJECTION_H

#include "traffic/endpoints.h"

/**
 * struct ejection_config - settings of outlier ejection
 * @failures: number of consecutive failures that ejects
 * @failure_percent: share of failures among recent results that ejects
 * @slow_factor: multiple of the median time of the service's other endpoints
 *	that ejects; 0 turns this check off
 * @slow_min_us: never eject for a time below this
 * @min_requests: number of results before shares and times are evaluated
 * @base_ms: duration of the first ejection
 * @cap_ms: longest duration of an ejection
 * @max_percent: largest share of a service's endpoints that may be ejected
 */
struct ejection_config {
	uint32_t failures;
	uint32_t failure_percent;
	uint32_t slow_factor;
	uint32_t slow_min_us;
	uint32_t min_requests;
	uint32_t base_ms;
	uint32_t cap_ms;
	uint32_t max_percent;
};

/**
 * enum ejection_verdict - whether an endpoint may be used
 * @EJECTION_USABLE: the endpoint is not ejected
 * @EJECTION_PROBE: the ejection is over; one request may probe the endpoint
 * @EJECTION_EJECTED: the endpoint is ejected, or a probe is in flight
 */
enum ejection_verdict {
	EJECTION_USABLE = 0,
	EJECTION_PROBE,
	EJECTION_EJECTED,
};

struct ejection;

/** ejection_config_default() - fill in the default settings */
void ejection_config_default(struct ejection_config *cfg);

/**
 * ejection_new() - create outlier ejection for a table of endpoints
 * @cfg: settings; copied
 * @endpoints: borrowed; endpoints_ended() reports results to the ejection from
 *	now on
 */
struct ejection *
ejection_new(const struct ejection_config *cfg, struct endpoints *endpoints);

/** ejection_free() - free the ejection; the endpoints are not freed */
void ejection_free(struct ejection *j);

/** ejection_verdict() - whether @endpoint may be used at @now_ms */
enum ejection_verdict
ejection_verdict(const struct ejection *j, uint64_t endpoint, uint64_t now_ms);

/**
 * ejection_count() - number of endpoints of @service that are ejected at
 * @now_ms
 */
size_t
ejection_count(const struct ejection *j, uint64_t service, uint64_t now_ms);

#endif
