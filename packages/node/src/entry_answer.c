/*
 * Answers to callers: those of upstreams, and errors of the entry itself.
 */
#define LOG_PART "entry"
#include "base/log.h"

#include "call_metrics.h"
#include "entry_priv.h"

#define HTTP_UNAVAILABLE 503
#define HTTP_GATEWAY_TIMEOUT 504
#define HTTP_CONTENT_TOO_LARGE 413
#define HTTP_CONFLICT 409
#define HTTP_TOO_MANY_REQUESTS 429

/* Callers of a stopping node should retry at another node at once. */
#define STOPPING_RETRY_MS 1

/* Some rounds of confirmations (spread/freshness.h). */
#define UNCONFIRMED_RETRY_MS 1000

static const char unknown_message[] =
    "the request may or may not have run; query its effect, or send it "
    "again with the same Idempotency-Key if it had one.";

static const char quarantined_message[] =
    "the request was not run: the upstreams that ran it before have crashed. "
    "It is not run again until an operator has looked at it.";

static const char suspect_message[] =
    "the request was not run: upstreams that ran it before have crashed. Send "
    "it again after the time in Retry-After.";

static struct call_answer *
node_answer(enum outcome outcome, uint32_t status, const char *kind,
    const char *message)
{
	struct call_answer *a = call_answer_new(outcome, status);

	a->kind = kind;
	a->message = g_strdup(message);
	return a;
}

static void
answer_refused(struct call_exchange *x, uint32_t status, const char *kind,
    const char *message, uint64_t retry_after_ms)
{
	struct call_answer *a;

	a = node_answer(OUTCOME_NOT_RUN, status, kind, message);
	a->retry_after_ms = retry_after_ms;
	call_metrics_outcome(OUTCOME_NOT_RUN);
	call_exchange_begin_answer(x, a, NULL, EXCHANGE_COMPLETE);
}

void
entry_answer_stopping(struct call_exchange *x)
{
	answer_refused(x, HTTP_UNAVAILABLE, "draining",
	    "this node is stopping; call another one.", STOPPING_RETRY_MS);
}

void
entry_answer_starting(struct call_exchange *x)
{
	answer_refused(x, HTTP_UNAVAILABLE, "unavailable",
	    "no configuration is in force here yet; call another node or try "
	    "again later.",
	    ENTRY_STARTING_RETRY_MS);
}

void
entry_answer_unconfirmed(struct call_exchange *x)
{
	answer_refused(x, HTTP_UNAVAILABLE, "unconfirmed",
	    "this node can't confirm that its configuration is the newest; "
	    "call "
	    "another node or try again later.",
	    UNCONFIRMED_RETRY_MS);
}

static struct call_answer *
behind_answer(uint64_t version)
{
	struct call_answer *a;

	a = node_answer(OUTCOME_NOT_RUN, HTTP_UNAVAILABLE, "behind",
	    "a newer configuration than the one in force here may accept this "
	    "request; send it again after the time in Retry-After.");
	a->version = version;
	return a;
}

void
entry_answer_behind(
    struct call_exchange *x, uint64_t version, uint64_t retry_after_ms)
{
	struct call_answer *a = behind_answer(version);

	a->retry_after_ms = retry_after_ms;
	call_metrics_outcome(OUTCOME_NOT_RUN);
	call_exchange_begin_answer(x, a, NULL, EXCHANGE_COMPLETE);
}

void
entry_answer_refuse(struct call_exchange *x, uint32_t status, const char *kind,
    const char *message)
{
	answer_refused(x, status, kind, message, 0);
}

void
entry_answer_limited(struct call_exchange *x, uint64_t retry_after_ms)
{
	answer_refused(x, HTTP_TOO_MANY_REQUESTS, "limited",
	    "the customer's limit is used up; send the request again after the "
	    "time in Retry-After.",
	    retry_after_ms);
}

void
entry_answer_unanswered_limit(struct call_exchange *x, uint64_t retry_after_ms)
{
	answer_refused(x, HTTP_UNAVAILABLE, "unavailable",
	    "the customer's limit could not be checked in time; send the "
	    "request again after the time in Retry-After.",
	    retry_after_ms);
}

/* A request that is only suspected may be retried. */
static struct call_answer *
quarantine_answer(uint64_t retry_after_ms)
{
	bool suspect = retry_after_ms < QUARANTINE_RETRY_AFTER_MS;

	return node_answer(OUTCOME_NOT_RUN, HTTP_UNAVAILABLE,
	    suspect ? "suspected" : "quarantined",
	    suspect ? suspect_message : quarantined_message);
}

static char *
not_run_message(const struct call_action *action)
{
	return g_strdup_printf(
	    "the request was not run (%s); send it again after the time in "
	    "Retry-After.",
	    refusal_name(action->refusal));
}

void
entry_answer_failed(struct entry_call *c, const struct call_action *action)
{
	struct call_answer *a;

	if (action->refusal == REFUSAL_SUPERSEDED &&
	    action->outcome == OUTCOME_NOT_RUN) {
		a = behind_answer(c->snapshot->version);
	} else if (action->refusal == REFUSAL_KEY_REUSED) {
		a = node_answer(action->outcome, HTTP_CONFLICT, "conflict",
		    "the Idempotency-Key belongs to another request; use a "
		    "new key.");
	} else if (action->outcome == OUTCOME_NOT_RUN &&
	    action->refusal == REFUSAL_QUARANTINED) {
		a = quarantine_answer(action->retry_after_ms);
	} else if (action->outcome == OUTCOME_NOT_RUN) {
		a = node_answer(
		    OUTCOME_NOT_RUN, HTTP_UNAVAILABLE, "not_run", NULL);
		a->message = not_run_message(action);
	} else {
		a = node_answer(OUTCOME_UNKNOWN, HTTP_GATEWAY_TIMEOUT,
		    "unknown", unknown_message);
	}
	a->retry_after_ms = action->retry_after_ms;
	if (action->refusal == REFUSAL_SUPERSEDED)
		a->retry_after_ms = BEHIND_RETRY_MIN_MS;
	a->version = c->snapshot->version;
	call_exchange_begin_answer(c->exchange, a, NULL, EXCHANGE_COMPLETE);
}

void
entry_answer_too_large(struct entry_call *c, enum outcome o)
{
	struct call_answer *a;

	call_metrics_outcome(o);
	a = node_answer(o, HTTP_CONTENT_TOO_LARGE, "too_large",
	    "the body exceeds the service's limit; send a smaller one.");
	call_exchange_begin_answer(c->exchange, a, NULL, EXCHANGE_COMPLETE);
}

void
entry_answer_unknown(struct entry_call *c)
{
	struct call_answer *a;

	call_metrics_outcome(OUTCOME_UNKNOWN);
	a = node_answer(
	    OUTCOME_UNKNOWN, HTTP_GATEWAY_TIMEOUT, "unknown", unknown_message);
	a->version = c->snapshot->version;
	call_exchange_begin_answer(c->exchange, a, NULL, EXCHANGE_COMPLETE);
}

void
entry_answer_commit(struct entry_attempt *a)
{
	struct entry_call *c = a->call;

	a->committed = true;
	call_committed(
	    c->machine, a->action.stream, loop_now_ms(c->entry->loop));
	call_exchange_begin_answer(
	    c->exchange, a->answer, &a->answer_body, EXCHANGE_OPEN);
	a->answer = NULL;
	entry_body_update_held(c);
	entry_call_run(c);
}

void
entry_answer_deliver(struct entry_attempt *a)
{
	struct entry_call *c = a->call;

	if (a->committed) {
		call_exchange_end_answer(c->exchange, EXCHANGE_COMPLETE);
		return;
	}
	a->answer->body_bytes = (int64_t)a->answer_bytes;
	call_exchange_begin_answer(
	    c->exchange, a->answer, &a->answer_body, EXCHANGE_COMPLETE);
	a->answer = NULL;
	entry_body_update_held(c);
}
