/*
 * Metrics of the call path.
 */
#include <glib.h>

#include "traffic/call.h"

#include "call_metrics.h"

#define REFUSALS (REFUSAL_LAST + 1)
#define OUTCOMES (OUTCOME_UNKNOWN + 1)
#define LABEL_BYTES 48

struct metric metric_calls_in_flight = {.name = "bramley_calls_in_flight",
    .help = "Calls of callers that are not ended.",
    .kind = METRIC_GAUGE};
struct metric metric_requests_in_flight = {.name = "bramley_requests_in_flight",
    .help = "Requests at the guard that are not ended.",
    .kind = METRIC_GAUGE};
struct metric metric_retries = {.name = "bramley_retries_total",
    .help = "Attempts after the first.",
    .kind = METRIC_COUNTER};
struct metric metric_resolves = {.name = "bramley_resolves_total",
    .help = "Questions to guards about requests whose connection was lost.",
    .kind = METRIC_COUNTER};
struct metric metric_silent_connections = {
    .name = "bramley_silent_connections_total",
    .help = "Connections to guards that were dropped as silent.",
    .kind = METRIC_COUNTER};
struct metric metric_entry_us = {.name = "bramley_entry_seconds",
    .help = "Time from the call's arrival until it was sent to a guard.",
    .kind = METRIC_HISTOGRAM};
struct metric metric_guard_us = {.name = "bramley_guard_seconds",
    .help = "Time from a request's arrival until the upstream was called.",
    .kind = METRIC_HISTOGRAM};
struct metric metric_upstream_us = {.name = "bramley_upstream_seconds",
    .help = "Time from calling the upstream until its answer's head.",
    .kind = METRIC_HISTOGRAM};
struct metric metric_call_sent_bytes = {.name = "bramley_call_sent_bytes",
    .help = "Bytes written on connections between entries and guards.",
    .kind = METRIC_COUNTER};
struct metric metric_call_received_bytes = {
    .name = "bramley_call_received_bytes",
    .help = "Bytes read on connections between entries and guards.",
    .kind = METRIC_COUNTER};

struct metric metric_behind_refusals = {.name = "bramley_behind_total",
    .help = "Requests told to come back since a newer version is known.",
    .kind = METRIC_COUNTER};

struct metric metric_unconfirmed = {.name = "bramley_unconfirmed_total",
    .help = "Requests refused since the version was not confirmed recently.",
    .kind = METRIC_COUNTER};

struct metric metric_early_returns = {.name = "bramley_early_returns_total",
    .help = "Requests refused since their caller came back earlier than it was "
	    "asked to.",
    .kind = METRIC_COUNTER};

struct metric metric_crashes = {.name = "bramley_upstream_crashes_total",
    .help = "Upstreams of this host that ended under requests, unannounced.",
    .kind = METRIC_COUNTER};
struct metric metric_quarantined = {.name = "bramley_quarantined",
    .help = "Requests that are no longer run, since upstreams crash of them.",
    .kind = METRIC_GAUGE};

struct metric metric_upstream_limit = {
    .name = "bramley_upstream_limit_milli_per_s",
    .help = "Limits that this host's upstreams name, in thousandths of a "
	    "request a second; 0 for none.",
    .kind = METRIC_GAUGE};
struct metric metric_upstreams_leaving = {.name = "bramley_upstreams_leaving",
    .help = "Upstreams of this host that report in their answers that they "
	    "leave.",
    .kind = METRIC_GAUGE};
struct metric metric_limited = {.name = "bramley_limited_total",
    .help = "Requests refused since the limit that the upstream names was "
	    "used up.",
    .kind = METRIC_COUNTER};

struct metric metric_overlapping = {.name = "bramley_overlapping_total",
    .help = "Requests that began while an earlier one of their connection was "
	    "under way.",
    .kind = METRIC_COUNTER};
struct metric metric_answers_held = {.name = "bramley_answers_held_total",
    .help = "Answers that were complete before an earlier one of their "
	    "connection.",
    .kind = METRIC_COUNTER};

struct metric metric_callers_refused = {.name = "bramley_callers_refused_total",
    .help = "Requests refused because all connections of callers are in use.",
    .kind = METRIC_COUNTER};

struct metric metric_callers_evicted = {.name = "bramley_callers_evicted_total",
    .help = "Requests of callers that were ended because buffers were full.",
    .kind = METRIC_COUNTER};

struct metric metric_departures_unread = {.name = "bramley_departures_total",
    .help = "Callers that left before their answer, by how far the call was.",
    .kind = METRIC_COUNTER,
    .labels = "stage=\"unread\""};
struct metric metric_departures_unsubmitted = {
    .name = "bramley_departures_total",
    .help = "Callers that left before their answer, by how far the call was.",
    .kind = METRIC_COUNTER,
    .labels = "stage=\"body\""};
struct metric metric_departure_us = {.name = "bramley_departure_seconds",
    .help = "Time from a caller's departure, as the entry saw it, until the "
	    "guard ended its request.",
    .kind = METRIC_HISTOGRAM};
struct metric metric_timers_late_us = {.name = "bramley_timers_late_seconds",
    .help = "Time by which timers of the traffic thread fired late.",
    .kind = METRIC_HISTOGRAM};

struct metric metric_quota_granted = {.name = "bramley_quota_granted_total",
    .help = "Requests for which homes on this host granted credit.",
    .kind = METRIC_COUNTER};
struct metric metric_quota_lent = {.name = "bramley_quota_lent_total",
    .help = "Requests for which homes on this host lent credit to other data "
	    "centres.",
    .kind = METRIC_COUNTER};
struct metric metric_quota_refused = {.name = "bramley_quota_refused_total",
    .help = "Requests refused here since their customer's limit was used up.",
    .kind = METRIC_COUNTER};
struct metric metric_quota_parked = {.name = "bramley_quota_parked_total",
    .help = "Requests that waited for credit.",
    .kind = METRIC_COUNTER};
struct metric metric_quota_returned = {.name = "bramley_quota_returned_total",
    .help = "Requests that were admitted and have not run, so that their "
	    "credit was returned.",
    .kind = METRIC_COUNTER};
struct metric metric_quota_homes = {.name = "bramley_quota_homes",
    .help = "Homes of customers' limits on this host that entries report to.",
    .kind = METRIC_GAUGE};
struct metric metric_quota_entries = {.name = "bramley_quota_entries",
    .help = "Entries that report to homes on this host, summed over the homes.",
    .kind = METRIC_GAUGE};

static struct metric status_ignored[STATUS_FLAWS];
static char status_labels[STATUS_FLAWS][LABEL_BYTES];
static struct metric departures[CALL_STAGES];
static struct metric abandoned[ABANDONED_STATES];
static char departure_labels[CALL_STAGES][LABEL_BYTES];
static char abandoned_labels[ABANDONED_STATES][LABEL_BYTES];
static const char *const abandoned_names[ABANDONED_STATES] = {
    "waiting", "running", "kept"};

static struct metric unauthorized[KEY_FAULTS];
static char unauthorized_labels[KEY_FAULTS][LABEL_BYTES];
static const char *const key_fault_names[KEY_FAULTS] = {
    "missing", "unknown", "several"};

static struct metric outcomes[OUTCOMES];
static struct metric refusals[REFUSALS];
static char outcome_labels[OUTCOMES][LABEL_BYTES];
static char refusal_labels[REFUSALS][LABEL_BYTES];

static void
register_outcomes(void)
{
	int i;

	for (i = 0; i < OUTCOMES; i++) {
		(void)g_snprintf(outcome_labels[i], LABEL_BYTES, "fate=\"%s\"",
		    outcome_name((enum outcome)i));
		outcomes[i].name = "bramley_calls_total";
		outcomes[i].help = "Calls by what the caller was told.";
		outcomes[i].kind = METRIC_COUNTER;
		outcomes[i].labels = outcome_labels[i];
		metric_register(&outcomes[i]);
	}
}

static void
register_refusals(void)
{
	int i;

	for (i = 0; i < REFUSALS; i++) {
		(void)g_snprintf(refusal_labels[i], LABEL_BYTES,
		    "reason=\"%s\"", refusal_name((enum refusal)i));
		refusals[i].name = "bramley_refusals_total";
		refusals[i].help = "Requests refused unrun, by reason.";
		refusals[i].kind = METRIC_COUNTER;
		refusals[i].labels = refusal_labels[i];
		metric_register(&refusals[i]);
	}
}

static void
register_status_ignored(void)
{
	int i;

	for (i = STATUS_FLAW_NONE + 1; i < STATUS_FLAWS; i++) {
		(void)g_snprintf(status_labels[i], LABEL_BYTES, "flaw=\"%s\"",
		    status_flaw_name((enum status_flaw)i));
		status_ignored[i].name =
		    "bramley_upstream_status_ignored_total";
		status_ignored[i].help =
		    "Reports of upstreams on their load that were not used.";
		status_ignored[i].kind = METRIC_COUNTER;
		status_ignored[i].labels = status_labels[i];
		metric_register(&status_ignored[i]);
	}
}

static void
register_departures(void)
{
	int i;

	metric_register(&metric_overlapping);
	metric_register(&metric_answers_held);
	metric_register(&metric_callers_refused);
	metric_register(&metric_callers_evicted);
	metric_register(&metric_departures_unread);
	metric_register(&metric_departures_unsubmitted);
	for (i = 0; i < CALL_STAGES; i++) {
		(void)g_snprintf(departure_labels[i], LABEL_BYTES,
		    "stage=\"%s\"", call_stage_name((enum call_stage)i));
		departures[i].name = metric_departures_unread.name;
		departures[i].help = metric_departures_unread.help;
		departures[i].kind = METRIC_COUNTER;
		departures[i].labels = departure_labels[i];
		metric_register(&departures[i]);
	}
}

static void
register_abandoned(void)
{
	int i;

	for (i = 0; i < ABANDONED_STATES; i++) {
		(void)g_snprintf(abandoned_labels[i], LABEL_BYTES,
		    "state=\"%s\"", abandoned_names[i]);
		abandoned[i].name = "bramley_abandoned_total";
		abandoned[i].help =
		    "Requests at the guard whose caller left, by what they "
		    "did.";
		abandoned[i].kind = METRIC_COUNTER;
		abandoned[i].labels = abandoned_labels[i];
		metric_register(&abandoned[i]);
	}
}

static void
register_unauthorized(void)
{
	int i;

	for (i = 0; i < KEY_FAULTS; i++) {
		(void)g_snprintf(unauthorized_labels[i], LABEL_BYTES,
		    "reason=\"%s\"", key_fault_names[i]);
		unauthorized[i].name = "bramley_unauthorized_total";
		unauthorized[i].help =
		    "Requests refused for lack of a valid customer key.";
		unauthorized[i].kind = METRIC_COUNTER;
		unauthorized[i].labels = unauthorized_labels[i];
		metric_register(&unauthorized[i]);
	}
}

static void
register_all(void)
{
	static struct metric *const all[] = {&metric_calls_in_flight,
	    &metric_requests_in_flight, &metric_retries, &metric_resolves,
	    &metric_silent_connections, &metric_entry_us, &metric_guard_us,
	    &metric_upstream_us, &metric_call_sent_bytes,
	    &metric_call_received_bytes, &metric_behind_refusals,
	    &metric_unconfirmed, &metric_early_returns, &metric_crashes,
	    &metric_quarantined, &metric_upstream_limit,
	    &metric_upstreams_leaving, &metric_limited, &metric_departure_us,
	    &metric_timers_late_us, &metric_quota_granted, &metric_quota_lent,
	    &metric_quota_refused, &metric_quota_parked, &metric_quota_returned,
	    &metric_quota_homes, &metric_quota_entries};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(all); i++)
		metric_register(all[i]);
	register_departures();
	register_abandoned();
	register_outcomes();
	register_refusals();
	register_unauthorized();
	register_status_ignored();
}

void
call_metrics_register(void)
{
	static gsize once;

	if (g_once_init_enter(&once)) {
		register_all();
		g_once_init_leave(&once, 1);
	}
}

void
call_metrics_outcome(enum outcome o)
{
	if ((size_t)o < OUTCOMES)
		metric_add(&outcomes[o], 1);
}

const char *
key_fault_name(enum key_fault f)
{
	return (size_t)f < KEY_FAULTS ? key_fault_names[f] : "?";
}

void
call_metrics_unauthorized(enum key_fault f)
{
	if ((size_t)f < KEY_FAULTS)
		metric_add(&unauthorized[f], 1);
}

void
call_metrics_refusal(enum refusal r)
{
	if ((size_t)r < REFUSALS)
		metric_add(&refusals[r], 1);
}

void
call_metrics_status_ignored(enum status_flaw f)
{
	if (f > STATUS_FLAW_NONE && f < STATUS_FLAWS)
		metric_add(&status_ignored[f], 1);
}

void
call_metrics_departure(enum call_stage s)
{
	if ((size_t)s < CALL_STAGES)
		metric_add(&departures[s], 1);
}

void
call_metrics_abandoned(enum abandoned_state s)
{
	if ((size_t)s < ABANDONED_STATES)
		metric_add(&abandoned[s], 1);
}
