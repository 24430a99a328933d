/*
 * Quarantine of requests that crash the upstreams which run them.
 *
 * Its input are the crashes of all hosts, each with the requests in flight
 * there, and exonerations: answers of upstreams and releases by operators.  All
 * nodes with the same input decide alike, in whatever order it came.  Events of
 * the own host are returned for publication to all nodes.
 *
 * A request is quarantined once QUARANTINE_CRASHES crashes implicate it:
 *  - no upstream has answered it since;
 *  - no co-suspect was in flight in all of these crashes and unanswered since,
 *    else both are suspended for some seconds and run again;
 *  - no quarantined request was in flight in the crash, as that explains it;
 *  - few other upstreams crashed about that time without it: else a power loss,
 *    a kill or a release is the cause.
 * Content that crashes upstreams for several callers is quarantined for all.
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

/* Most requests that are remembered of one crash. */
#define CRASH_RUNS_MAX 32

/* Crashes after which a request is quarantined. */
#define QUARANTINE_CRASHES 3

/* Bounds of the lists of crashes, quarantined and exonerated requests.  The
 * least informative crash is dropped first. */
#define QUARANTINE_CRASHES_MAX 128
#define QUARANTINE_ENTRIES_MAX 128
#define QUARANTINE_CLEARED_MAX 128

/* Crashes within this time may have one cause. */
#define QUARANTINE_COINCIDENCE_MS 1000

/* Crashes without a request may outnumber those with it by this factor, as up
 * to four requests may be crashing upstreams at once. */
#define QUARANTINE_COINCIDENCE_RATIO 3

/* Reports of simultaneous crashes arrive within this time. */
#define QUARANTINE_SETTLE_MS 300

/* Nodes that have answered a request of a peer's crash report it after a random
 * delay up to this, unless another node has: a few of hundreds report.  Shorter
 * than QUARANTINE_SETTLE_MS, so that reports count in the decision. */
#define QUARANTINE_REPORT_MS 150

/* Co-suspects are suspended for this and up to as long again, by node, so that
 * few nodes run them again at the same time. */
#define QUARANTINE_SUSPEND_MS 4000

/* When the caller of an undecided request may come back: more than
 * QUARANTINE_SETTLE_MS, so that it finds it decided. */
#define QUARANTINE_UNDECIDED_RETRY_MS 500

/* Retry-After of quarantined requests, which need an operator's attention. */
#define QUARANTINE_RETRY_AFTER_MS 60000

/**
 * struct crash - an upstream crashed
 * @id: number of the crash, the same at all nodes
 * @at_ms: monotonic time, as this node reckons
 * @own: it was an upstream of the own host
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
 * @print: the request; caller 0 stands for all callers
 * @since_ms: monotonic time since when
 * @crashes: crashes that this node knows of, 0 when a peer reported it
 * @last_crash: number of the last of them, 0 when a peer reported it
 * @own: that one was of the own host, which then publishes the decision
 * @until_ms: end of a suspension, DEADLINE_NEVER when quarantined
 * @expired: the suspension has expired
 * @asked: rejected calls on this node
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
 * enum quarantine_event_kind - what happened
 * @QUARANTINE_EVENT_CRASHED: an upstream of the own host crashed
 * @QUARANTINE_EVENT_QUARANTINED: a request is quarantined
 * @QUARANTINE_EVENT_EXONERATED: a suspect was answered
 * @QUARANTINE_EVENT_SUSPENDED: a co-suspect is suspended; not published, as all
 *	nodes decide it alike
 */
enum quarantine_event_kind {
	QUARANTINE_EVENT_CRASHED = 0,
	QUARANTINE_EVENT_QUARANTINED,
	QUARANTINE_EVENT_EXONERATED,
	QUARANTINE_EVENT_SUSPENDED,
};

/**
 * struct quarantine_event - something to log or publish
 * @kind: what it is
 * @crash: the crash
 * @entry: the request; of an exonerated one its print only
 */
struct quarantine_event {
	enum quarantine_event_kind kind;
	struct crash crash;
	struct quarantine_entry entry;
};

struct quarantine;

/**
 * quarantine_new() - an empty quarantine
 * @seed: seed of its random choices
 * @now_ms: monotonic time
 *
 * Return: the quarantine; free with quarantine_free().
 */
struct quarantine *quarantine_new(uint64_t seed, uint64_t now_ms);

/** quarantine_free() - free it; NULL is allowed */
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
 * @c: the crash; one that is known already is ignored
 * @now_ms: monotonic time
 */
void quarantine_add_peer_crash(
    struct quarantine *q, const struct crash *c, uint64_t now_ms);

/**
 * quarantine_add() - a peer reports a quarantined request
 * @q: the quarantine
 * @f: the request
 * @since_ms: since when, as this node reckons
 *
 * Return: false if that was known, or if it was exonerated later.
 */
bool quarantine_add(
    struct quarantine *q, const struct fingerprint *f, uint64_t since_ms);

/**
 * quarantine_exonerate() - exonerate a request of crashes before @at_ms
 * @q: the quarantine
 * @f: the request; caller 0 for all callers
 * @at_ms: when it was answered, or cleared by an operator
 *
 * Return: whether this ended its quarantine.
 */
bool quarantine_exonerate(
    struct quarantine *q, const struct fingerprint *f, uint64_t at_ms);

/**
 * quarantine_check() - look a request up
 * @q: the quarantine
 * @f: the request
 *
 * Return: its entry, borrowed, or NULL if it may run.
 */
const struct quarantine_entry *
quarantine_check(struct quarantine *q, const struct fingerprint *f);

/** quarantine_retry_after_ms() - Retry-After of a rejected request */
uint64_t
quarantine_retry_after_ms(const struct quarantine_entry *e, uint64_t now_ms);

/**
 * enum suspicion - what recent crashes say of a request that may run
 * @SUSPICION_NONE: nothing
 * @SUSPICION_SUSPECT: it ran in one; it is sent to the upstream that its
 *content ranks first, the same for all entries, so that one that crashes
 *upstreams takes down one at a time
 * @SUSPICION_UNDECIDED: it ran in as many as are needed to quarantine it, and
 *	that is about to be decided; it must not run meanwhile
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

/** quarantine_has_suspects() - false when no request is suspect, no need to ask
 */
bool quarantine_has_suspects(const struct quarantine *q, uint64_t now_ms);

/** quarantine_is_empty() - no request is quarantined or suspended */
bool quarantine_is_empty(const struct quarantine *q);

/** quarantine_list() - append all struct quarantine_entry to @out */
void quarantine_list(const struct quarantine *q, GArray *out);

/** quarantine_tick() - run what is due */
void quarantine_tick(struct quarantine *q, uint64_t now_ms);

/** quarantine_wake_ms() - when quarantine_tick() is wanted; DEADLINE_NEVER */
uint64_t quarantine_wake_ms(const struct quarantine *q);

/**
 * quarantine_pop() - take the next event
 * @q: the quarantine
 * @out: where it goes
 *
 * Return: false when there is none.
 */
bool quarantine_pop(struct quarantine *q, struct quarantine_event *out);

#endif
