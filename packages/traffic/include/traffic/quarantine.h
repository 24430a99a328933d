/*
 * Quarantine of requests that crash the upstreams which run them.
 *
 * The inputs are the crashes on all hosts, each with the requests in flight
 * there, and exonerations: answers of upstreams and releases by operators.  All
 * nodes with the same input come to the same decision, in whatever order the
 * input arrived.  Events of the own host are returned for publication to all
 * nodes.
 *
 * A request is quarantined once QUARANTINE_CRASHES crashes implicate it:
 * - no upstream has answered the request since;
 * - no co-suspect was in flight in all of these crashes and unanswered since,
 *   else both requests are suspended for some seconds and run again;
 * - no quarantined request was in flight in the crash, as that request explains
 *   the crash;
 * - few other upstreams crashed about that time without the request: else a
 *   power loss, a kill or a release is the cause.
 *
 * Content that crashes upstreams for several callers is quarantined for all
 * callers.
 *
 * A quarantine lasts until an operator releases the request, or an upstream
 * answers it.
 */
#ifndef TRAFFIC_QUARANTINE_H
#define TRAFFIC_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "traffic/fingerprint.h"

/* Maximum number of requests that are recorded per crash. */
#define CRASH_RUNS_MAX 32

/* Number of crashes after which a request is quarantined. */
#define QUARANTINE_CRASHES 3

/*
 * Maximum lengths of the lists of crashes, quarantined and exonerated
 * requests. The least informative crash is dropped first.
 */
#define QUARANTINE_CRASHES_MAX 128
#define QUARANTINE_ENTRIES_MAX 128
#define QUARANTINE_EXONERATIONS_MAX 128

/* Crashes within this time may have a common cause. */
#define QUARANTINE_COINCIDENCE_MS 1000

/*
 * Crashes without a request may outnumber those with it by this factor, as up
 * to four requests may be crashing upstreams at the same time.
 */
#define QUARANTINE_COINCIDENCE_RATIO 3

/* Reports of simultaneous crashes arrive within this time. */
#define QUARANTINE_SETTLE_MS 300

/*
 * Longest delay of a success report.  A node whose upstream has answered a
 * request that was in flight in a peer's crash reports that answer after a
 * random delay, unless another node has reported one: a few of hundreds report.
 * Shorter than QUARANTINE_SETTLE_MS, so that the reports are part of the
 * decision.
 */
#define QUARANTINE_REPORT_MS 150

/*
 * Co-suspects are suspended for this time and up to as long again, varying by
 * node, so that few nodes run them again at the same time.
 */
#define QUARANTINE_SUSPEND_MS 4000

/*
 * Retry-After of an undecided request: more than QUARANTINE_SETTLE_MS, so that
 * the retry arrives after the decision.
 */
#define QUARANTINE_UNDECIDED_RETRY_MS 500

/* Retry-After of quarantined requests, which need an operator's attention. */
#define QUARANTINE_RETRY_AFTER_MS 60000

/**
 * struct crash - a crash of an upstream
 * @id: number of the crash, the same at all nodes
 * @at_ms: time of the crash in this node's monotonic time
 * @own: the upstream ran on the own host
 * @n_runs: number of @runs
 * @runs: requests in flight there, without exonerated ones
 */
struct crash {
	uint64_t id;
	uint64_t at_ms;
	bool own;
	uint32_t n_runs;
	struct fingerprint runs[CRASH_RUNS_MAX];
};

/**
 * struct quarantine_entry - a quarantined or suspended request
 * @print: fingerprint of the request; caller 0 stands for all callers
 * @since_ms: monotonic time at which the quarantine or suspension began
 * @crashes: number of known crashes that implicate the request, 0 when a peer
 *	reported the quarantine
 * @last_crash: id of the last of these crashes, 0 when a peer reported the
 *	quarantine
 * @own: the last crash was on the own host, which then publishes the decision
 * @until_ms: end of a suspension, DEADLINE_NEVER when quarantined
 * @expired: the suspension has expired
 * @asked: number of calls that this node refused
 */
struct quarantine_entry {
	struct fingerprint print;
	uint64_t since_ms;
	uint32_t crashes;
	uint64_t last_crash;
	bool own;
	uint64_t until_ms;
	bool expired;
	uint64_t asked;
};

/**
 * enum quarantine_event_kind - kinds of events
 * @QUARANTINE_EVENT_CRASHED: an upstream of the own host crashed
 * @QUARANTINE_EVENT_QUARANTINED: a request is quarantined
 * @QUARANTINE_EVENT_EXONERATED: a suspect was answered
 * @QUARANTINE_EVENT_SUSPENDED: a co-suspect is suspended; not published, as
 *	all nodes come to the same decision
 */
enum quarantine_event_kind {
	QUARANTINE_EVENT_CRASHED = 0,
	QUARANTINE_EVENT_QUARANTINED,
	QUARANTINE_EVENT_EXONERATED,
	QUARANTINE_EVENT_SUSPENDED,
};

/**
 * struct quarantine_event - an event to log or publish
 * @kind: kind of the event
 * @crash: the crash
 * @entry: the request; for an exonerated one only its fingerprint and time
 */
struct quarantine_event {
	enum quarantine_event_kind kind;
	struct crash crash;
	struct quarantine_entry entry;
};

struct quarantine;

/**
 * quarantine_new() - create an empty quarantine
 * @seed: seed of its random choices
 * @now_ms: monotonic time
 *
 * Return: the quarantine; free with quarantine_free().
 */
struct quarantine *quarantine_new(uint64_t seed, uint64_t now_ms);

/** quarantine_free() - free the quarantine; NULL is allowed */
void quarantine_free(struct quarantine *q);

/**
 * quarantine_answered() - an upstream of this host has answered a request
 *
 * Return: whether an event was emitted.
 */
bool quarantine_answered(
    struct quarantine *q, const struct fingerprint *f, uint64_t now_ms);

/**
 * quarantine_add_own_crash() - an upstream of this host crashed
 * @q: the quarantine
 * @c: the crash with all requests in flight; recently answered ones are not
 *	published
 * @now_ms: monotonic time
 */
void quarantine_add_own_crash(
    struct quarantine *q, const struct crash *c, uint64_t now_ms);

/**
 * quarantine_add_peer_crash() - a peer reports a crash
 * @q: the quarantine
 * @c: the crash; a known crash is ignored
 * @now_ms: monotonic time
 */
void quarantine_add_peer_crash(
    struct quarantine *q, const struct crash *c, uint64_t now_ms);

/**
 * quarantine_add() - a peer reports a quarantined request
 * @q: the quarantine
 * @f: the request
 * @since_ms: begin of the quarantine in this node's monotonic time
 *
 * Return: false if the quarantine was known, or if the request was exonerated
 * later.
 */
bool quarantine_add(
    struct quarantine *q, const struct fingerprint *f, uint64_t since_ms);

/**
 * quarantine_exonerate() - exonerate a request from crashes before @at_ms
 * @q: the quarantine
 * @f: the request; caller 0 for all callers
 * @at_ms: monotonic time at which the request was answered, or released by an
 *	operator
 *
 * Return: whether a quarantine of the request was ended.
 */
bool quarantine_exonerate(
    struct quarantine *q, const struct fingerprint *f, uint64_t at_ms);

/**
 * quarantine_check() - look up a request
 * @q: the quarantine
 * @f: the request
 *
 * Return: its entry, borrowed, or NULL if the request may run.
 */
const struct quarantine_entry *
quarantine_check(struct quarantine *q, const struct fingerprint *f);

/** quarantine_retry_after_ms() - Retry-After of a refused request, in ms */
uint64_t
quarantine_retry_after_ms(const struct quarantine_entry *e, uint64_t now_ms);

/**
 * enum suspicion - result of recent crashes for a request that may run
 * @SUSPICION_NONE: not suspect
 * @SUSPICION_SUSPECT: the request was in flight in a crash.  It is sent to the
 *	endpoint that ranks first for its content, which is the same at all
 *	entries, so that a request that crashes upstreams takes down one at a
 *	time.
 * @SUSPICION_UNDECIDED: the request was in flight in as many crashes as a
 *	quarantine needs, and the decision is pending; the request must not run
 *	until then
 */
enum suspicion {
	SUSPICION_NONE = 0,
	SUSPICION_SUSPECT,
	SUSPICION_UNDECIDED,
};

/**
 * quarantine_suspicion() - whether a request is suspect
 * @q: the quarantine
 * @f: the request
 * @now_ms: monotonic time
 */
enum suspicion quarantine_suspicion(
    struct quarantine *q, const struct fingerprint *f, uint64_t now_ms);

/**
 * quarantine_has_suspects() - false when no request is suspect, so that
 * quarantine_suspicion() need not be called
 */
bool quarantine_has_suspects(const struct quarantine *q, uint64_t now_ms);

/** quarantine_is_empty() - no request is quarantined or suspended */
bool quarantine_is_empty(const struct quarantine *q);

/**
 * quarantine_list() - append the struct quarantine_entry of all quarantined
 * requests to @out
 */
void quarantine_list(const struct quarantine *q, GArray *out);

/** quarantine_tick() - take decisions and end suspensions that are due */
void quarantine_tick(struct quarantine *q, uint64_t now_ms);

/**
 * quarantine_wake_ms() - monotonic time of the next quarantine_tick(), or
 * DEADLINE_NEVER
 */
uint64_t quarantine_wake_ms(const struct quarantine *q);

/**
 * quarantine_pop() - take the next event
 * @q: the quarantine
 * @out: the event
 *
 * Return: false when there is none.
 */
bool quarantine_pop(struct quarantine *q, struct quarantine_event *out);

#endif
