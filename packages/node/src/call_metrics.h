/*
 * Metrics of the call path; the help texts are in call_metrics.c.
 */
#ifndef CALL_METRICS_H
#define CALL_METRICS_H

#include "base/metrics.h"
#include "traffic/traffic_defs.h"
#include "traffic/upstream_status.h"

extern struct metric metric_calls_in_flight;
extern struct metric metric_requests_in_flight;
extern struct metric metric_retries;
extern struct metric metric_resolves;
extern struct metric metric_silent_connections;
extern struct metric metric_entry_us;
extern struct metric metric_guard_us;
extern struct metric metric_upstream_us;
extern struct metric metric_call_sent_bytes;
extern struct metric metric_call_received_bytes;
extern struct metric metric_behind_refusals;
extern struct metric metric_unconfirmed;
extern struct metric metric_early_returns;
extern struct metric metric_crashes;
extern struct metric metric_quarantined;
extern struct metric metric_upstream_limit;
extern struct metric metric_upstreams_leaving;
extern struct metric metric_limited;
extern struct metric metric_overlapping;
extern struct metric metric_answers_held;
extern struct metric metric_callers_refused;
extern struct metric metric_callers_evicted;
extern struct metric metric_departures_unread;
extern struct metric metric_departures_unsubmitted;
extern struct metric metric_departure_us;
extern struct metric metric_timers_late_us;
extern struct metric metric_quota_granted;
extern struct metric metric_quota_lent;
extern struct metric metric_quota_refused;
extern struct metric metric_quota_parked;
extern struct metric metric_quota_returned;
extern struct metric metric_quota_homes;
extern struct metric metric_quota_entries;

/** enum abandoned_state - where a request stood at its guard as its caller left
 */
enum abandoned_state {
	ABANDONED_WAITING = 0, /* for its body, its key or a slot */
	ABANDONED_RUNNING,
	ABANDONED_KEPT, /* it runs on, for its idempotency key */
	ABANDONED_STATES,
};

/** enum key_fault - why a request has no customer */
enum key_fault {
	KEY_MISSING = 0,
	KEY_UNKNOWN, /* no customer of the version in force holds it */
	KEY_SEVERAL, /* the request has more than one */
	KEY_FAULTS,
};

/** key_fault_name() - name of a fault for logs and metrics */
const char *key_fault_name(enum key_fault f);

/** call_metrics_register() - register all metrics; further calls have no
 * effect */
void call_metrics_register(void);

/** call_metrics_outcome() - count a call that was answered with outcome @o */
void call_metrics_outcome(enum outcome o);

/** call_metrics_departure() - count a caller that left while its call was at
 * stage @s */
void call_metrics_departure(enum call_stage s);

/** call_metrics_abandoned() - count a request whose caller left */
void call_metrics_abandoned(enum abandoned_state s);

/** call_metrics_unauthorized() - count a request refused for lack of a valid
 * customer key */
void call_metrics_unauthorized(enum key_fault f);

/** call_metrics_status_ignored() - count a report of an upstream that isn't
 * used */
void call_metrics_status_ignored(enum status_flaw f);

/** call_metrics_refusal() - count a refusal by a guard or an entry */
void call_metrics_refusal(enum refusal r);

#endif
