/*
 * Quarantine: which requests are no longer run, since each upstream that ran
 * them has crashed.
 *
 * It is fed with the crashes of all hosts, each with the requests that ran in
 * the process that ended, and with the requests that are known to be harmless:
 * answered by an upstream, or cleared by an operator.  All nodes that were fed
 * with the same decide alike, in whatever order it came.  What happened on the
 * own host it gives back, to be told to all.
 *
 * A request is held off once QUARANTINE_CRASHES upstreams have crashed under it
 * and nothing else explains that:
 *  - it was not answered since, by any upstream;
 *  - no other request ran in all of these crashes and was not answered since,
 *    else either may be the cause: both are put off for some seconds, and run
 *    again until one of them is told apart;
 *  - a crash at which a request ran that is held off is explained by that;
 *  - a crash doesn't count when many upstreams crashed about that time without
 *    it: power, a kill or a release ended them.
 * Content that crashes upstreams whoever sends it is held off for all callers.
 *
 * What is held off stays so, however long nobody asks for it: only an operator,
 * or an upstream's answer, ends it.
 */
#ifndef TRAFFIC_QUARANTINE_H
#define TRAFFIC_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "traffic/fingerprint.h"

/* Most requests that are remembered of one crash. */
#define CRASH_RUNS_MAX 32

/* Crashes from which on a request is held off. */
#define QUARANTINE_CRASHES 3

/* Most crashes, requests held off and clearances that are remembered; of
 * crashes the oldest goes first whose requests ran in no other one, and what is
 * held off loses nothing by it. */
#define QUARANTINE_CRASHES_MAX 128
#define QUARANTINE_HELD_MAX 128
#define QUARANTINE_CLEARED_MAX 128

/* Crashes so close together may have one cause. */
#define QUARANTINE_CROWD_MS 1000

/* Of the crashes about one, so many times those that a request ran in may be
 * without it: up to four such requests may be at work at once. */
#define QUARANTINE_CROWD_RATIO 3

/* News of what crashed at the same time comes within this. */
#define QUARANTINE_SETTLE_MS 300

/* A node that has seen an answer to what a peer's crash lists says so within
 * this, at a time of its own, unless another one did: so that of hundreds that
 * have, a few speak.  Shorter than QUARANTINE_SETTLE_MS, and heard within it.
 */
#define QUARANTINE_VOUCH_MS 150

/* Rivals are put off for so long and up to as long again, each node for a time
 * of its own: callers that tried both give up meanwhile, and when the crasher
 * comes again few nodes run it before all know. */
#define QUARANTINE_DOUBT_MS 4000

/* When the caller of an undecided request may come back: more than
 * QUARANTINE_SETTLE_MS, so that it finds it decided. */
#define QUARANTINE_UNDECIDED_RETRY_MS 500

/* When the caller of what is held off may come back: an operator has to look at
 * it first. */
#define QUARANTINE_RETRY_AFTER_MS 60000

/**
 * struct crash - an upstream ended, unannounced
 * @id: number of the crash, the same at all nodes
 * @at_ms: monotonic time, as this node reckons
 * @own: it was an upstream of the own host
 * @n_runs: number of @runs
 * @runs: requests that ran there and were not answered; those that are known to
 *	be harmless left out
 */
struct crash {
	uint64_t id;
	uint64_t at_ms;
	bool own;
	uint32_t n_runs;
	struct fingerprint runs[CRASH_RUNS_MAX];
};

/**
 * struct quarantine_entry - a request that is held off
 * @print: the request; caller 0 stands for all callers
 * @since_ms: monotonic time since when
 * @crashes: crashes that this node knows of, 0 when a peer told
 * @last_crash: number of the last of them, 0 when a peer told
 * @own: that one was of the own host, which tells the others: all decide alike,
 *	and one or a few speak
 * @until_ms: when it is run again by itself, DEADLINE_NEVER unless it is put
 *off only
 * @over: that time has come
 * @asked: how often it was asked for here since
 */
struct quarantine_entry {
	struct fingerprint print;
	uint64_t since_ms;
	uint32_t crashes;
	uint64_t last_crash;
	bool own;
	uint64_t until_ms;
	bool over;
	uint64_t asked;
};

/**
 * enum quarantine_tell - what all nodes are to be told
 * @TELL_CRASH: an upstream of the own host crashed
 * @TELL_HELD: a request is held off
 * @TELL_ANSWERED: a request that ran in a crash was answered
 * @TELL_DOUBT: a request is put off for a while; all nodes see that by
 * themselves
 */
enum quarantine_tell {
	TELL_CRASH = 0,
	TELL_HELD,
	TELL_ANSWERED,
	TELL_DOUBT,
};

/**
 * struct quarantine_event - one thing to be told
 * @tell: what it is
 * @crash: the crash
 * @entry: what is held or put off; of an answered request its print only
 */
struct quarantine_event {
	enum quarantine_tell tell;
	struct crash crash;
	struct quarantine_entry entry;
};

struct quarantine;

/**
 * quarantine_new() - nothing is held off
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
 * Return: whether that is worth telling: quarantine_pop() gives it.
 */
bool quarantine_answered(
    struct quarantine *q, const struct fingerprint *f, uint64_t now_ms);

/**
 * quarantine_crashed() - an upstream of this host crashed
 * @q: the quarantine
 * @c: the crash with all that ran there; what was answered lately is left out
 *	of what is told
 * @now_ms: monotonic time
 */
void quarantine_crashed(
    struct quarantine *q, const struct crash *c, uint64_t now_ms);

/**
 * quarantine_crash() - a peer tells of a crash
 * @q: the quarantine
 * @c: the crash; one that is known already is ignored
 * @now_ms: monotonic time
 */
void
quarantine_crash(struct quarantine *q, const struct crash *c, uint64_t now_ms);

/**
 * quarantine_hold() - a peer tells that a request is held off
 * @q: the quarantine
 * @f: the request
 * @since_ms: since when, as this node reckons
 *
 * Return: whether it was news; false also when it was cleared later than that.
 */
bool quarantine_hold(
    struct quarantine *q, const struct fingerprint *f, uint64_t since_ms);

/**
 * quarantine_clear() - a request is harmless, whatever it ran in before @at_ms
 * @q: the quarantine
 * @f: the request; caller 0 for all callers
 * @at_ms: when it was answered, or cleared by an operator
 *
 * Return: whether it was held off and no longer is.
 */
bool quarantine_clear(
    struct quarantine *q, const struct fingerprint *f, uint64_t at_ms);

/**
 * quarantine_check() - is a request held off?
 * @q: the quarantine
 * @f: the request
 *
 * Return: what is known of it, borrowed, or NULL: it may run.
 */
const struct quarantine_entry *
quarantine_check(struct quarantine *q, const struct fingerprint *f);

/** quarantine_retry_after_ms() - when the caller of a request that is held off
 * may come back */
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

/** quarantine_is_empty() - nothing is held off, no need to ask */
bool quarantine_is_empty(const struct quarantine *q);

/** quarantine_list() - append all struct quarantine_entry to @out */
void quarantine_list(const struct quarantine *q, GArray *out);

/** quarantine_tick() - decide on what has settled */
void quarantine_tick(struct quarantine *q, uint64_t now_ms);

/** quarantine_next_ms() - when quarantine_tick() is wanted; DEADLINE_NEVER */
uint64_t quarantine_next_ms(const struct quarantine *q);

/**
 * quarantine_pop() - the next thing that all nodes are to be told
 * @q: the quarantine
 * @out: where it goes
 *
 * Return: false when there is none.
 */
bool quarantine_pop(struct quarantine *q, struct quarantine_event *out);

#endif
