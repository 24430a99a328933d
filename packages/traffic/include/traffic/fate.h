/*
 * Fate table of a guard: the state and the result of each request.
 *
 * An entry whose connection broke or fell silent resolves a request over
 * another connection.  The table also guarantees that a request never runs
 * after a guard has answered that it will not.
 */
#ifndef TRAFFIC_FATE_H
#define TRAFFIC_FATE_H

#include <stddef.h>

#include <glib.h>

#include "traffic/traffic_defs.h"

/**
 * enum fate_state - state of a request
 * @FATE_STATE_NEVER: refused, or resolved before it arrived: will never run
 * @FATE_STATE_QUEUED: accepted, not started
 * @FATE_STATE_RUNNING: passed to the upstream
 * @FATE_STATE_DONE: the upstream answered
 * @FATE_STATE_FAILED: started, and no answer will come
 * @FATE_STATE_FOLLOWS: shares the fate of an earlier request with the same
 *	idempotency key
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
 * enum fate_offer - how to handle a request frame
 * @FATE_OFFER_NEW: new, and now queued: offer the request to admission
 * @FATE_OFFER_DUPLICATE: the request arrived before: drop the frame
 * @FATE_OFFER_NOT_RUN: the request was resolved or refused: answer not_run
 * @FATE_OFFER_TOO_OLD: older than the window: answer not_run
 */
enum fate_offer {
	FATE_OFFER_NEW = 0,
	FATE_OFFER_DUPLICATE,
	FATE_OFFER_NOT_RUN,
	FATE_OFFER_TOO_OLD,
};

/**
 * enum resolution - a guard's answer to a resolve
 * @RESOLUTION_NOT_RUN: the request has not run and never will
 * @RESOLUTION_ATTACHED: queued or running; the answer follows on this stream
 * @RESOLUTION_ANSWER: done; the stored answer follows on this stream
 * @RESOLUTION_LOST: the request ran, but its answer is not stored (any more)
 * @RESOLUTION_UNKNOWN: sent to an earlier process, or too long ago
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
 * struct fate_config - limits of the table
 * @incarnation: number of this process, also sent in its hello
 * @window_ms: how long a fate is kept after its last change
 * @records_max: maximum number of fates; above it the fate that was settled
 *	first is removed, and each request sent no later than the removed one
 *	arrived counts as too old
 * @answers_max_bytes: maximum total size of the stored answers
 * @answer_max_bytes: maximum size of one stored answer
 */
struct fate_config {
	uint64_t incarnation;
	uint64_t window_ms;
	size_t records_max;
	size_t answers_max_bytes;
	size_t answer_max_bytes;
};

/**
 * struct fate_waiter - a stream that waits for an answer
 * @conn: number of the connection, assigned by the network layer
 * @stream: number of the stream on that connection, assigned by the entry
 */
struct fate_waiter {
	uint64_t conn;
	uint64_t stream;
};

/**
 * struct fate_query - a resolve of one request
 * @id: the request
 * @incarnation: the guard process to which the request was sent
 * @sent_ms: own time at which the request was sent: frame_age_sent_ms() minus
 *	the age that the entry reports
 * @cancel: the entry no longer wants the request: never start it if it has not
 *	started
 * @waiter: the stream on which the entry waits
 */
struct fate_query {
	struct request_id id;
	uint64_t incarnation;
	uint64_t sent_ms;
	bool cancel;
	struct fate_waiter waiter;
};

/**
 * struct fate_answer - result of a resolve
 * @resolution: the resolution to send to the entry
 * @answer: for RESOLUTION_ANSWER: the stored answer; the receiver owns a
 *	reference
 * @cancelled: the request was queued and must not run: remove it from
 *	admission
 */
struct fate_answer {
	enum resolution resolution;
	GBytes *answer;
	bool cancelled;
};

struct fate_table;

/** fate_table_new() - create an empty table; free with fate_table_free() */
struct fate_table *fate_table_new(const struct fate_config *cfg);

/** fate_table_free() - free the table and the stored answers */
void fate_table_free(struct fate_table *t);

/**
 * fate_offer() - handle an arriving request frame
 * @t: the table
 * @id: the request
 * @sent_ms: earliest own time at which the frame was sent, see frame_age
 * @waiter: the connection and stream on which the frame arrived
 * @now_ms: monotonic time
 */
enum fate_offer fate_offer(struct fate_table *t, const struct request_id *id,
    uint64_t sent_ms, const struct fate_waiter *waiter, uint64_t now_ms);

/**
 * fate_start() - record that a request is about to be passed to the upstream
 *
 * Return: true when the request may start; false when it was cancelled or is
 * not queued.
 */
bool
fate_start(struct fate_table *t, const struct request_id *id, uint64_t now_ms);

/**
 * fate_done() - record the upstream's complete answer
 * @t: the table
 * @id: the request
 * @answer: encoded answer to store, or NULL when it is too large; the table
 *	takes its own reference
 * @now_ms: monotonic time
 */
void fate_done(struct fate_table *t, const struct request_id *id,
    GBytes *answer, uint64_t now_ms);

/** fate_failed() - record that a request started and no answer will come */
void
fate_failed(struct fate_table *t, const struct request_id *id, uint64_t now_ms);

/**
 * fate_refused() - record that a request has not run and never will
 *
 * Used for refusals by admission, and for an upstream that reported not_run.
 */
void fate_refused(
    struct fate_table *t, const struct request_id *id, uint64_t now_ms);

/** fate_acknowledged() - the entry has the complete answer: free its bytes */
void fate_acknowledged(struct fate_table *t, const struct request_id *id);

/**
 * fate_waiters() - streams that wait for the answer or the refusal
 * @t: the table
 * @id: the request
 * @n: number of waiters
 *
 * Return: the waiters, latest last; valid until the next event.
 */
const struct fate_waiter *fate_waiters(
    const struct fate_table *t, const struct request_id *id, size_t *n);

/**
 * fate_connection_lost() - remove the waiters of a closed connection
 * @t: the table
 * @conn: the connection
 */
void fate_connection_lost(struct fate_table *t, uint64_t conn);

/**
 * fate_resolve() - resolve a request for an entry
 * @t: the table
 * @q: the request and the waiting stream
 * @now_ms: monotonic time
 * @out: the resolution, with the stored answer if there is one
 */
void fate_resolve(struct fate_table *t, const struct fate_query *q,
    uint64_t now_ms, struct fate_answer *out);

/**
 * fate_follow() - give a queued request the fate of an earlier one
 * @t: the table
 * @id: the request, just offered
 * @first: the request that owns the idempotency key
 * @now_ms: monotonic time
 * @out: the fate of @first: ATTACHED, ANSWER, LOST, or NOT_RUN
 *
 * The waiters of @id now wait for @first.  They sent a request, not a resolve,
 * so that the guard answers LOST as failed and NOT_RUN as refused.
 */
void fate_follow(struct fate_table *t, const struct request_id *id,
    const struct request_id *first, uint64_t now_ms, struct fate_answer *out);

/** fate_expire() - remove fates older than the window */
void fate_expire(struct fate_table *t, uint64_t now_ms);

/** fate_count() - number of fates in the table */
size_t fate_count(const struct fate_table *t);

/** fate_answers_bytes() - total size of the stored answers */
size_t fate_answers_bytes(const struct fate_table *t);

#endif
