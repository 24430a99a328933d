/*
 * One call at the entry: from the caller's request to its one final answer.
 *
 * The shell feeds events and carries out the actions that call_next() gives.
 * Each SEND and each RESOLVE opens a stream with a new number; events name the
 * stream they belong to, and those of an earlier stream are ignored, so a late
 * answer is never taken for another.
 *
 * Rules: not_run is told only when it is certain.  A non-idempotent request is
 * sent again only after the earlier attempt is certain not to have run.
 * Final answers are given at once.
 */
#ifndef TRAFFIC_CALL_H
#define TRAFFIC_CALL_H

#include "traffic/fate.h"
#include "traffic/retry.h"

/**
 * struct call_config - policy of one call
 * @deadline_ms: monotonic deadline
 * @deadline_grace_ms: after the deadline, how long to wait for the guard's
 *	word whether a cancelled request had started
 * @resolve_limit_ms: how long to try to reach a guard for a resolve
 * @attempts: attempts altogether, 0 for what the budget says
 * @target_ms: when its answer is worth less to the caller; 0 when not told
 * @caller_gives_up_ms: when the caller itself gives up, which may be later than
 *	the deadline; DEADLINE_NEVER when not told
 * @idempotent: may be run more than once
 * @keyed: carries an idempotency key and goes to the key's home
 * @naive: the differential's version: retry thrice whatever happened
 */
struct call_config {
	uint64_t deadline_ms;
	uint32_t deadline_grace_ms;
	uint32_t resolve_limit_ms;
	uint32_t attempts;
	uint64_t target_ms;
	uint64_t caller_gives_up_ms;
	bool idempotent;
	bool keyed;
	bool naive;
};

/**
 * enum call_action_kind - what the shell is to do
 * @CALL_PLACE: choose an endpoint, leaving out call_tried(), then
 *	call_placed() or call_no_endpoint()
 * @CALL_SEND: send attempt @attempt to @endpoint as @stream; then call_sent()
 *	or call_connect_failed()
 * @CALL_RESOLVE: ask @endpoint over a NEW connection what became of @attempt,
 *	as @stream; drop the old connection if it was silent
 * @CALL_CANCEL: tell @endpoint that @attempt is not wanted any more; no
 *	answer is awaited but for the grace after a deadline
 * @CALL_DELIVER: give the caller the answer of @stream; final
 * @CALL_GIVE_UP: tell the caller @outcome and @retry_after_ms; final
 * @CALL_ABORT: the answer was partly given and can't be completed: cut the
 *	caller's connection, so that it isn't taken for whole; final
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

/**
 * struct call_action - one thing to do
 * @kind: what
 * @stream: number of the stream, for SEND, RESOLVE and DELIVER
 * @attempt: number of the attempt, from 1; part of the request id
 * @endpoint: the endpoint concerned
 * @incarnation: RESOLVE: the guard process that the attempt was sent to
 * @sent_ms: RESOLVE: own time at which the attempt was sent
 * @cancel: RESOLVE: the answer is not wanted, only whether it started
 * @outcome: GIVE_UP: what to tell the caller
 * @refusal: GIVE_UP: the last refusal, for the message
 * @retry_after_ms: GIVE_UP: when the caller should come back
 */
struct call_action {
	enum call_action_kind kind;
	uint32_t stream;
	uint16_t attempt;
	uint64_t endpoint;
	uint64_t incarnation;
	uint64_t sent_ms;
	bool cancel;
	enum outcome outcome;
	enum refusal refusal;
	uint64_t retry_after_ms;
};

struct call;

/**
 * call_new() - a call that has just come in
 * @cfg: policy; copied
 * @budget: retry budget of the service at this entry; borrowed
 * @seed: seed of the back-off
 *
 * Return: the call; call_start() sets it going.  Free with call_free().
 */
struct call *call_new(
    const struct call_config *cfg, struct retry_budget *budget, uint64_t seed);

/** call_free() - free the call */
void call_free(struct call *c);

/** call_start() - begin */
void call_start(struct call *c, uint64_t now_ms);

/** call_placed() - an endpoint was chosen */
void call_placed(struct call *c, uint64_t endpoint, uint64_t now_ms);

/** call_no_endpoint() - no endpoint can be chosen */
void call_no_endpoint(struct call *c, uint64_t retry_after_ms, uint64_t now_ms);

/** call_quarantined() - it is not to be run by anyone */
void call_quarantined(struct call *c, uint64_t retry_after_ms);

/**
 * call_sent() - the first byte of a SEND is being handed to the connection
 * @c: the call
 * @stream: the stream
 * @incarnation: guard process at the other end, from its hello
 * @now_ms: monotonic time, as put into the frame
 *
 * To be told BEFORE the first byte leaves: from here on it may run.
 */
void call_sent(
    struct call *c, uint32_t stream, uint64_t incarnation, uint64_t now_ms);

/** call_connect_failed() - no connection could be had; not a byte of it has
 * left */
void call_connect_failed(struct call *c, uint32_t stream, uint64_t now_ms);

/** call_body_discarded() - part of the request's body can't be sent again */
void call_body_discarded(struct call *c);

/**
 * call_committed() - the answer outgrew the buffer; its beginning is being
 * given to the caller
 */
void call_committed(struct call *c, uint32_t stream, uint64_t now_ms);

/** call_answered() - the whole answer is there */
void call_answered(struct call *c, uint32_t stream, uint64_t now_ms);

/**
 * call_refused() - the guard says that the attempt has not run and won't
 * @c: the call
 * @stream: the stream
 * @refusal: why
 * @retry_after_ms: when it is worth to come back
 * @now_ms: monotonic time
 */
void call_refused(struct call *c, uint32_t stream, enum refusal refusal,
    uint64_t retry_after_ms, uint64_t now_ms);

/** call_failed() - the guard says: started, and no answer will come */
void call_failed(struct call *c, uint32_t stream, uint64_t now_ms);

/** call_lost() - the stream's connection broke or is believed silent */
void call_lost(struct call *c, uint32_t stream, uint64_t now_ms);

/** call_resolved() - the guard answered a RESOLVE */
void call_resolved(
    struct call *c, uint32_t stream, enum resolution r, uint64_t now_ms);

/** call_resolve_failed() - the guard could not be reached for a RESOLVE */
void call_resolve_failed(struct call *c, uint32_t stream, uint64_t now_ms);

/**
 * call_caller_disconnected() - the caller hung up
 *
 * The call is over; CANCEL is given if an attempt is out, but no final action.
 */
void call_caller_disconnected(struct call *c, uint64_t now_ms);

/**
 * call_stopped() - the entry stops now and has no more time for the call
 *
 * What was not sent is told not_run.
 */
void call_stopped(struct call *c);

/** call_tick() - a time named by call_wake_ms() has come */
void call_tick(struct call *c, uint64_t now_ms);

/** call_wake_ms() - when call_tick() is wanted next; DEADLINE_NEVER */
uint64_t call_wake_ms(const struct call *c);

/** call_next() - the next action; false when there is none */
bool call_next(struct call *c, struct call_action *out);

/** call_is_finished() - the final action has been given, or the caller is gone
 */
bool call_is_finished(const struct call *c);

/** call_tried() - endpoints tried, for placement_query.tried */
const uint64_t *call_tried(const struct call *c, size_t *n);

/** call_may_have_run() - an earlier attempt got no answer */
bool call_may_have_run(const struct call *c);

/** call_attempts() - number of attempts so far */
uint16_t call_attempts(const struct call *c);

#endif
