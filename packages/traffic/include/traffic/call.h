/*
 * State machine of one call at the entry: from the caller's request to the
 * final answer.
 *
 * The user of this module feeds events and carries out the actions that
 * call_next() returns.  Each SEND and each RESOLVE opens a stream with a new
 * number.  An event names its stream, and events of an earlier stream are
 * ignored, so that a late answer is never attributed to a later attempt.
 *
 * Rules:
 * - not_run is reported only when it is certain.
 * - A non-idempotent request is sent again only after the earlier attempt is
 *   certain not to have run.
 * - Final answers are reported without delay.
 */
#ifndef TRAFFIC_CALL_H
#define TRAFFIC_CALL_H

#include "traffic/fate.h"
#include "traffic/retry.h"
#include "traffic/run_calls.h"

/**
 * struct call_config - policy of one call
 * @deadline_ms: monotonic deadline
 * @deadline_grace_ms: how long after the deadline the entry waits for the
 *	guard to report whether a cancelled request had started
 * @resolve_limit_ms: how long the entry tries to reach a guard for a resolve
 * @attempts: maximum number of attempts, 0 for the retry budget's setting
 * @target_ms: monotonic time after which the answer is worth less to the
 *	caller; 0 when unknown
 * @caller_gives_up_ms: monotonic time at which the caller itself gives up,
 *	which may be later than the deadline; DEADLINE_NEVER when unknown
 * @run: calls of the run that makes this one, borrowed; NULL when no run does
 * @idempotent: the request may run more than once
 * @keyed: the request carries an idempotency key and goes to the key's home
 * @naive: baseline for differential tests: retry three times after any result
 */
struct call_config {
	uint64_t deadline_ms;
	uint32_t deadline_grace_ms;
	uint32_t resolve_limit_ms;
	uint32_t attempts;
	uint64_t target_ms;
	uint64_t caller_gives_up_ms;
	struct run_calls *run;
	bool idempotent;
	bool keyed;
	bool naive;
};

/**
 * enum call_action_kind - actions to carry out
 * @CALL_PLACE: choose an endpoint other than those of call_tried(), then call
 *	call_placed() or call_no_endpoint()
 * @CALL_SEND: send attempt @attempt to @endpoint as @stream, then call
 *	call_sent() or call_connect_failed()
 * @CALL_RESOLVE: resolve @attempt at @endpoint over a NEW connection, as
 *	@stream; close the old connection if it was silent
 * @CALL_CANCEL: notify @endpoint that @attempt is no longer wanted; the call
 *	waits for no answer except during the grace time after a deadline
 * @CALL_DELIVER: pass the answer of @stream to the caller; final
 * @CALL_GIVE_UP: report @outcome and @retry_after_ms to the caller; final
 * @CALL_ABORT: part of the answer was passed on and the rest is lost: close the
 *	caller's connection, so that the answer is not mistaken for complete;
 *	final
 */
enum call_action_kind {
	CALL_PLACE = 0,
	CALL_SEND,
	CALL_RESOLVE,
	CALL_CANCEL,
	CALL_DELIVER,
	CALL_GIVE_UP,
	CALL_ABORT,
};

/** call_action_name() - short name for logs */
const char *call_action_name(enum call_action_kind k);

/** call_stage_name() - short name for logs and metrics */
const char *call_stage_name(enum call_stage s);

/**
 * struct call_action - one action
 * @kind: the action
 * @stream: number of the stream, for SEND, RESOLVE and DELIVER
 * @attempt: number of the attempt, from 1; part of the request id
 * @endpoint: the endpoint concerned
 * @incarnation: RESOLVE: the guard process to which the attempt was sent
 * @sent_ms: RESOLVE: own time at which the attempt was sent
 * @cancel: RESOLVE: only whether the attempt started matters, not its answer
 * @abandoned: CANCEL: the caller has left, so no reply is awaited
 * @outcome: GIVE_UP: outcome to report
 * @refusal: GIVE_UP: the last refusal, for the message
 * @retry_after_ms: GIVE_UP: when the caller should retry
 */
struct call_action {
	enum call_action_kind kind;
	uint32_t stream;
	uint16_t attempt;
	uint64_t endpoint;
	uint64_t incarnation;
	uint64_t sent_ms;
	bool cancel;
	bool abandoned;
	enum outcome outcome;
	enum refusal refusal;
	uint64_t retry_after_ms;
};

struct call;

/**
 * call_new() - create a call for an arriving request
 * @cfg: policy; copied
 * @budget: retry budget of the service at this entry; borrowed
 * @seed: seed of the back-off
 *
 * Return: the call, to be started with call_start().  Free with call_free().
 */
struct call *call_new(
    const struct call_config *cfg, struct retry_budget *budget, uint64_t seed);

/** call_free() - free the call */
void call_free(struct call *c);

/** call_start() - start the call */
void call_start(struct call *c, uint64_t now_ms);

/** call_placed() - an endpoint was chosen */
void call_placed(struct call *c, uint64_t endpoint, uint64_t now_ms);

/** call_no_endpoint() - no endpoint is usable */
void call_no_endpoint(struct call *c, uint64_t retry_after_ms, uint64_t now_ms);

/** call_quarantined() - the request is quarantined: no endpoint may run it */
void call_quarantined(struct call *c, uint64_t retry_after_ms);

/** call_returned_early() - the caller came back earlier than it was asked to,
 * and is refused for load without an attempt */
void call_returned_early(struct call *c, uint64_t retry_after_ms);

/**
 * call_sent() - the first byte of a SEND is being passed to the connection
 * @c: the call
 * @stream: the stream
 * @incarnation: guard process at the other end, from its hello
 * @now_ms: monotonic time, as put into the frame
 *
 * Must be called BEFORE the first byte leaves: from then on the request may
 * run.
 */
void call_sent(
    struct call *c, uint32_t stream, uint64_t incarnation, uint64_t now_ms);

/**
 * call_connect_failed() - no connection is available; no byte of the request
 * was sent
 */
void call_connect_failed(struct call *c, uint32_t stream, uint64_t now_ms);

/**
 * call_body_discarded() - part of the request's body is no longer buffered, so
 * that the request can't be sent again
 */
void call_body_discarded(struct call *c);

/**
 * call_committed() - the answer exceeds the buffer; its beginning is being
 * passed to the caller
 */
void call_committed(struct call *c, uint32_t stream, uint64_t now_ms);

/** call_answered() - the complete answer has arrived */
void call_answered(struct call *c, uint32_t stream, uint64_t now_ms);

/**
 * call_refused() - the guard refused the attempt, which has not run and never
 * will
 * @c: the call
 * @stream: the stream
 * @refusal: why
 * @retry_after_ms: when a retry is worthwhile
 * @now_ms: monotonic time
 */
void call_refused(struct call *c, uint32_t stream, enum refusal refusal,
    uint64_t retry_after_ms, uint64_t now_ms);

/**
 * call_failed() - the guard reports that the attempt started and no answer will
 * come
 */
void call_failed(struct call *c, uint32_t stream, uint64_t now_ms);

/** call_lost() - the stream's connection broke or is considered silent */
void call_lost(struct call *c, uint32_t stream, uint64_t now_ms);

/** call_resolved() - the guard answered a RESOLVE */
void call_resolved(
    struct call *c, uint32_t stream, enum resolution r, uint64_t now_ms);

/** call_resolve_failed() - the guard could not be reached for a RESOLVE */
void call_resolve_failed(struct call *c, uint32_t stream, uint64_t now_ms);

/**
 * call_caller_disconnected() - the caller closed its connection
 *
 * Ends the call.  CANCEL is returned if an attempt is in flight, but no final
 * action.
 */
void call_caller_disconnected(struct call *c, uint64_t now_ms);

/**
 * call_stopped() - the entry is stopping and ends the call now
 *
 * An attempt that was not sent is reported as not_run.
 */
void call_stopped(struct call *c);

/** call_tick() - the time that call_wake_ms() returned has come */
void call_tick(struct call *c, uint64_t now_ms);

/**
 * call_wake_ms() - monotonic time of the next call_tick(), or DEADLINE_NEVER
 */
uint64_t call_wake_ms(const struct call *c);

/** call_next() - take the next action; false when there is none */
bool call_next(struct call *c, struct call_action *out);

/**
 * call_is_finished() - whether the final action was returned or the caller has
 * disconnected
 */
bool call_is_finished(const struct call *c);

/** call_tried() - endpoints tried by this call, for placement_query.tried */
const uint64_t *call_tried(const struct call *c, size_t *n);

/** call_may_have_run() - whether an earlier attempt may have run unanswered */
bool call_may_have_run(const struct call *c);

/** call_has_not_run() - whether a finished call has certainly not run at any
 * upstream */
bool call_has_not_run(const struct call *c);

/** call_stage() - how far the call has come */
enum call_stage call_stage(const struct call *c);

/** call_attempts() - number of attempts so far */
uint16_t call_attempts(const struct call *c);

#endif
