/*
 * Fates at the guard: what became of each request, so that an entry whose
 * connection broke or fell silent can ask over another one, and so that no
 * request runs after somebody was told that it never will.
 */
#ifndef TRAFFIC_FATE_H
#define TRAFFIC_FATE_H

#include <stddef.h>

#include <glib.h>

#include "traffic/traffic_defs.h"

/**
 * enum fate_state - where a request is
 * @FATE_STATE_NEVER: resolved before it was seen, or refused: it will never run
 * @FATE_STATE_QUEUED: accepted, not started
 * @FATE_STATE_RUNNING: handed to the upstream
 * @FATE_STATE_DONE: the upstream answered
 * @FATE_STATE_FAILED: it started, and no answer will come
 * @FATE_STATE_FOLLOWS: it has the fate of an earlier request with its key
 */
enum fate_state {
	FATE_STATE_NEVER = 0,
	FATE_STATE_QUEUED,
	FATE_STATE_RUNNING,
	FATE_STATE_DONE,
	FATE_STATE_FAILED,
	FATE_STATE_FOLLOWS,
};

/**
 * enum fate_offer - what to do with a request frame
 * @FATE_OFFER_NEW: it is new and now queued: offer it to admission
 * @FATE_OFFER_DUPLICATE: the same request came before: drop the frame
 * @FATE_OFFER_NOT_RUN: it was resolved or refused: answer not_run
 * @FATE_OFFER_TOO_OLD: older than the window: answer not_run
 */
enum fate_offer {
	FATE_OFFER_NEW = 0,
	FATE_OFFER_DUPLICATE,
	FATE_OFFER_NOT_RUN,
	FATE_OFFER_TOO_OLD,
};

/**
 * enum resolution - a guard's answer to resolve(request)
 * @RESOLUTION_NOT_RUN: it has not run and never will
 * @RESOLUTION_ATTACHED: queued or running; the answer follows here
 * @RESOLUTION_ANSWER: done; the kept answer follows here
 * @RESOLUTION_LOST: it ran, but the answer is not there (any more)
 * @RESOLUTION_UNKNOWN: sent to an earlier process or too long ago
 */
enum resolution {
	RESOLUTION_NOT_RUN = 0,
	RESOLUTION_ATTACHED,
	RESOLUTION_ANSWER,
	RESOLUTION_LOST,
	RESOLUTION_UNKNOWN,
};

/** resolution_name() - short name for logs */
const char *resolution_name(enum resolution r);

/**
 * struct fate_config - bounds of the table
 * @incarnation: number of this process, also sent in its hello
 * @window_ms: how long a fate is kept after its last change
 * @records_max: most fates kept; when there are more the oldest finished one
 *	goes, and everything sent before it counts as too old
 * @answers_max_bytes: all kept answers together
 * @answer_max_bytes: largest answer that is kept
 */
struct fate_config {
	uint64_t incarnation;
	uint64_t window_ms;
	size_t records_max;
	size_t answers_max_bytes;
	size_t answer_max_bytes;
};

/**
 * struct fate_waiter - who is to get the answer
 * @conn: the shell's number of the connection
 * @stream: the entry's number of its question on that connection
 */
struct fate_waiter {
	uint64_t conn;
	uint64_t stream;
};

/**
 * struct fate_query - resolve(request)
 * @id: the request
 * @incarnation: the guard process that it was sent to
 * @sent_ms: own time at which it was sent, from frame_age_sent_ms() less the
 *	age that the entry names
 * @cancel: the entry does not want it any more: if it has not started it
 *	never will
 * @waiter: who asks
 */
struct fate_query {
	struct request_id id;
	uint64_t incarnation;
	uint64_t sent_ms;
	bool cancel;
	struct fate_waiter waiter;
};

/**
 * struct fate_answer - a resolve's result
 * @resolution: what to tell
 * @answer: with RESOLUTION_ANSWER: the answer; the receiver owns a reference
 * @cancelled: it was queued and is not to run: take it out of admission
 */
struct fate_answer {
	enum resolution resolution;
	GBytes *answer;
	bool cancelled;
};

struct fate_table;

/** fate_table_new() - an empty table; free with fate_table_free() */
struct fate_table *fate_table_new(const struct fate_config *cfg);

/** fate_table_free() - free the table and the kept answers */
void fate_table_free(struct fate_table *t);

/**
 * fate_offer() - a request frame came
 * @t: the table
 * @id: the request
 * @sent_ms: own time at which it was sent at the earliest, see frame_age
 * @waiter: the connection and stream that it came on
 * @now_ms: monotonic time
 */
enum fate_offer fate_offer(struct fate_table *t, const struct request_id *id,
    uint64_t sent_ms, const struct fate_waiter *waiter, uint64_t now_ms);

/**
 * fate_start() - the request is about to be handed to the upstream
 *
 * Return: true when it may; false when it was cancelled or is not queued.
 */
bool
fate_start(struct fate_table *t, const struct request_id *id, uint64_t now_ms);

/**
 * fate_done() - the upstream's whole answer is there
 * @t: the table
 * @id: the request
 * @answer: encoded answer to keep, or NULL when it is too large; the table
 *	takes its own reference
 * @now_ms: monotonic time
 */
void fate_done(struct fate_table *t, const struct request_id *id,
    GBytes *answer, uint64_t now_ms);

/** fate_failed() - the request started and no answer will come */
void
fate_failed(struct fate_table *t, const struct request_id *id, uint64_t now_ms);

/**
 * fate_refused() - the request certainly has not run and will not
 *
 * For refusals by admission, and for an upstream that said not_run.
 */
void fate_refused(
    struct fate_table *t, const struct request_id *id, uint64_t now_ms);

/** fate_acknowledged() - the entry has the whole answer: forget its bytes */
void fate_acknowledged(struct fate_table *t, const struct request_id *id);

/**
 * fate_waiters() - who is to get the answer or the refusal
 * @t: the table
 * @id: the request
 * @n: number of waiters
 *
 * Return: the waiters, latest last; valid until the next event.
 */
const struct fate_waiter *fate_waiters(
    const struct fate_table *t, const struct request_id *id, size_t *n);

/**
 * fate_connection_lost() - a connection is gone; nobody waits there any more
 * @t: the table
 * @conn: the connection
 */
void fate_connection_lost(struct fate_table *t, uint64_t conn);

/**
 * fate_resolve() - an entry asks what became of a request
 * @t: the table
 * @q: the question
 * @now_ms: monotonic time
 * @out: the answer
 */
void fate_resolve(struct fate_table *t, const struct fate_query *q,
    uint64_t now_ms, struct fate_answer *out);

/**
 * fate_follow() - a queued request gets the fate of an earlier one
 * @t: the table
 * @id: the request, just offered
 * @first: the request that has the idempotency key
 * @now_ms: monotonic time
 * @out: the fate of @first: ATTACHED, ANSWER, LOST, or NOT_RUN
 *
 * Its waiters now wait for @first.  They asked to run it, not for its fate:
 * LOST is told them as failed, and NOT_RUN as refused.
 */
void fate_follow(struct fate_table *t, const struct request_id *id,
    const struct request_id *first, uint64_t now_ms, struct fate_answer *out);

/** fate_expire() - forget what is older than the window */
void fate_expire(struct fate_table *t, uint64_t now_ms);

/** fate_count() - number of fates kept */
size_t fate_count(const struct fate_table *t);

/** fate_answers_bytes() - bytes of kept answers */
size_t fate_answers_bytes(const struct fate_table *t);

#endif
