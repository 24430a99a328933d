/*
 * Outlier ejection: leave out endpoints that fail, go silent or are far
 * slower than their siblings, for a growing but capped time, never more than
 * a share of a service; then let a few requests try them again.
 */
#ifndef TRAFFIC_EJECTION_H
#define TRAFFIC_EJECTION_H

#include "traffic/endpoints.h"

/**
 * struct ejection_config - when an endpoint is ejected and for how long
 * @failures: consecutive failures that eject
 * @failure_percent: share of failures in the recent window that ejects
 * @slow_factor: times the siblings' median that ejects; 0 turns it off
 * @slow_min_us: never eject for slowness below this time
 * @min_requests: results needed before a share or a time is believed
 * @base_ms: time of the first ejection
 * @cap_ms: longest ejection
 * @max_percent: at most this share of a service is ejected
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
 * @EJECTION_USABLE: yes
 * @EJECTION_PROBE: its time is over; one request may try it
 * @EJECTION_EJECTED: it is ejected, or its probe is under way
 */
enum ejection_verdict {
	EJECTION_USABLE = 0,
	EJECTION_PROBE,
	EJECTION_EJECTED,
};

struct ejection;

/** ejection_config_default() - the values that measurement argued for */
void ejection_config_default(struct ejection_config *cfg);

/**
 * ejection_new() - outlier ejection over a table of endpoints
 * @cfg: settings; copied
 * @endpoints: borrowed; from now on endpoints_ended() feeds the ejection
 */
struct ejection *
ejection_new(const struct ejection_config *cfg, struct endpoints *endpoints);

/** ejection_free() - free it; the endpoints stay */
void ejection_free(struct ejection *j);

/** ejection_verdict() - whether @endpoint may be used at @now_ms */
enum ejection_verdict
ejection_verdict(const struct ejection *j, uint64_t endpoint, uint64_t now_ms);

/** ejection_count() - endpoints of @service that are ejected at @now_ms */
size_t
ejection_count(const struct ejection *j, uint64_t service, uint64_t now_ms);

#endif
