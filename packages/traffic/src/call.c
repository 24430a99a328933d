/*
 * State machine of one call.
 *
 * may_have_run is set when an earlier attempt may have run.  Such a call is
 * never reported as not_run, whatever the result of its last attempt.  A call
 * with an idempotency key is reported as not_run only when the key's home
 * confirms that no request with the key ran.
 */
#include "traffic/call.h"

#include <glib.h>

#include "base/clock.h"
#include "base/hash.h"

#define NAIVE_ATTEMPTS 4
/*
 * Attempts that reached no upstream are not counted, up to this number: several
 * of an entry's endpoints may disappear at once, such as with a rack or at a
 * release of a service.
 */
#define FREE_ATTEMPTS_MAX 3
/*
 * Wait between two attempts to reach a guard for a resolve, doubled each time.
 * With a constant 20 ms, the calls that were lost to a partitioned data centre
 * made 7,000 attempts a second on 65 hosts with a tenth of a core.
 */
#define RESOLVE_BACKOFF_MS 20
#define RESOLVE_BACKOFF_SHIFT_MAX 4
/*
 * The calls that a run makes at the same time are refused at about the same
 * time.  A refused call waits for the others this many times as long as its own
 * refusal took, and a little longer.
 */
#define SETTLE_FACTOR 2
#define SETTLE_MIN_MS 2
/* Default Retry-After. */
#define RETRY_AFTER_MS 1000

/*
 * A caller whose retry would miss its target loses nothing by waiting longer,
 * and is more likely to find the overload over.  Its Retry-After is a third of
 * the time that it has left, which leaves time for one more retry.  Bursts,
 * cold starts and lost hosts last 2 to 8 s, and callers wait 1.5 to 3 s and
 * retry twice: with a Retry-After until the next free slot, 0.1 to 0.3 s, both
 * retries fall into the same overload.
 */
#define LATE_RETRY_DIVISOR 3

enum call_state {
	STATE_NEW = 0,
	STATE_BACKOFF,
	STATE_PLACING,
	STATE_SENDING,
	STATE_WAITING,
	STATE_COMMITTED,
	STATE_RESOLVING,
	STATE_RESOLVE_BACKOFF,
	STATE_FINISHED,
};

/**
 * struct call - see traffic/call.h
 * @cfg: policy
 * @budget: retry budget of the service
 * @seed: seed of the back-off
 * @state: see enum call_state
 * @may_have_run: an earlier attempt may have run
 * @body_discarded: part of the body can't be sent again
 * @deadline_passed: the deadline was handled; the grace time runs
 * @departed: the caller left while the fate of an attempt was queried; the call
 *	goes on only to end what runs
 * @not_run: the call is finished and has certainly not run
 * @rerouted: the current attempt follows a refusal for load
 * @was_refused: the call is counted as refused in its run
 * @charge_due: the retry is charged at the end of the wait
 * @refusal: refusal of the last attempt, while @charge_due
 * @retry_after_ms: when the refused caller should retry, while @charge_due
 * @attempt: number of the current attempt
 * @stream: number of the current stream
 * @endpoint: endpoint of the current attempt
 * @incarnation: guard process to which the attempt was sent
 * @sent_ms: monotonic time at which the attempt was sent
 * @wake_ms: monotonic time of the next call_tick()
 * @resolve_until_ms: monotonic time at which resolving is given up
 * @resolve_failures: resolves for which the guard could not be reached
 * @free_attempts: attempts that are not counted
 * @tried: endpoints of all attempts
 * @actions: struct call_action for call_next()
 * @next_action: index of the action that call_next() returns next
 */
struct call {
	struct call_config cfg;
	struct retry_budget *budget;
	uint64_t seed;
	enum call_state state;
	bool may_have_run;
	bool body_discarded;
	bool deadline_passed;
	bool departed;
	bool not_run;
	bool rerouted;
	bool was_refused;
	bool charge_due;
	enum refusal refusal;
	uint64_t retry_after_ms;
	uint16_t attempt;
	uint32_t stream;
	uint64_t endpoint;
	uint64_t incarnation;
	uint64_t sent_ms;
	uint64_t wake_ms;
	uint64_t resolve_until_ms;
	uint32_t resolve_failures;
	uint16_t free_attempts;
	GArray *tried;
	GArray *actions;
	guint next_action;
};

const char *
call_action_name(enum call_action_kind k)
{
	static const char *const names[] = {"place", "send", "resolve",
	    "cancel", "deliver", "give_up", "abort"};

	return (size_t)k < G_N_ELEMENTS(names) ? names[k] : "?";
}

const char *
call_stage_name(enum call_stage s)
{
	static const char *const names[] = {
	    "unsent", "sent", "resolving", "answering", "ended"};

	return (size_t)s < G_N_ELEMENTS(names) ? names[s] : "?";
}

bool
call_has_not_run(const struct call *c)
{
	return c->not_run;
}

enum call_stage
call_stage(const struct call *c)
{
	switch (c->state) {
	case STATE_NEW:
	case STATE_BACKOFF:
	case STATE_PLACING:
		return CALL_STAGE_UNSENT;
	case STATE_SENDING:
	case STATE_WAITING:
		return CALL_STAGE_SENT;
	case STATE_RESOLVING:
	case STATE_RESOLVE_BACKOFF:
		return CALL_STAGE_RESOLVING;
	case STATE_COMMITTED:
		return CALL_STAGE_ANSWERING;
	case STATE_FINISHED:
		break;
	}
	return CALL_STAGE_ENDED;
}

struct call *
call_new(
    const struct call_config *cfg, struct retry_budget *budget, uint64_t seed)
{
	struct call *c;

	c = g_new0(struct call, 1);
	c->cfg = *cfg;
	c->budget = budget;
	c->seed = seed;
	c->wake_ms = DEADLINE_NEVER;
	c->tried = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	c->actions = g_array_new(FALSE, TRUE, sizeof(struct call_action));
	return c;
}

void
call_free(struct call *c)
{
	if (c == NULL)
		return;
	g_array_free(c->tried, TRUE);
	g_array_free(c->actions, TRUE);
	g_free(c);
}

static struct call_action *
add_action(struct call *c, enum call_action_kind kind)
{
	struct call_action a = {.kind = kind};

	a.stream = c->stream;
	a.attempt = c->attempt;
	a.endpoint = c->endpoint;
	a.incarnation = c->incarnation;
	a.sent_ms = c->sent_ms;
	g_array_append_val(c->actions, a);
	return &g_array_index(
	    c->actions, struct call_action, c->actions->len - 1);
}

static void
finish(struct call *c)
{
	c->state = STATE_FINISHED;
	c->wake_ms = DEADLINE_NEVER;
}

static void
give_up(struct call *c, enum outcome outcome, enum refusal refusal,
    uint64_t retry_after_ms)
{
	struct call_action *a;

	if (c->departed) {
		finish(c);
		return;
	}
	c->not_run = outcome == OUTCOME_NOT_RUN && !c->may_have_run;
	if (c->may_have_run || (c->cfg.keyed && !refusal_settles_key(refusal)))
		outcome = OUTCOME_UNKNOWN;
	a = add_action(c, CALL_GIVE_UP);
	a->outcome = outcome;
	a->refusal = refusal;
	a->retry_after_ms =
	    retry_after_ms != 0 ? retry_after_ms : RETRY_AFTER_MS;
	finish(c);
}

/* The deadline has passed, and whether the attempt started is unknown. */
static void
give_up_unknown(struct call *c)
{
	c->may_have_run = true;
	give_up(c, OUTCOME_UNKNOWN, REFUSAL_NONE, 0);
}

static void
place(struct call *c)
{
	c->state = STATE_PLACING;
	c->wake_ms = c->cfg.deadline_ms;
	(void)add_action(c, CALL_PLACE);
}

static void
resolve(struct call *c, bool cancel)
{
	c->stream++;
	c->state = STATE_RESOLVING;
	add_action(c, CALL_RESOLVE)->cancel = cancel;
}

static uint64_t
grace_end_ms(const struct call *c)
{
	return c->cfg.deadline_ms + c->cfg.deadline_grace_ms;
}

static uint32_t
attempts_max(const struct call *c)
{
	uint32_t attempts = c->cfg.attempts;

	if (c->cfg.naive)
		return NAIVE_ATTEMPTS;
	if (attempts == 0)
		attempts = c->budget->cfg.attempts;
	return attempts + MIN(c->free_attempts, FREE_ATTEMPTS_MAX);
}

/* Whether another attempt may be sent at @at_ms. */
static bool
may_retry(const struct call *c, uint64_t at_ms)
{
	return !c->body_discarded && !c->deadline_passed &&
	    c->attempt < attempts_max(c) && at_ms < c->cfg.deadline_ms;
}

static bool
schedule_retry(struct call *c, bool charged, uint64_t now_ms)
{
	uint64_t wait, random;

	random = hash64(&c->attempt, sizeof(c->attempt), c->seed);
	wait = retry_backoff_ms(&c->budget->cfg, c->attempt, random);
	if (!charged || c->cfg.naive)
		wait = 0;
	if (!may_retry(c, now_ms + wait))
		return false;
	if (charged && !c->cfg.naive && !retry_budget_take(c->budget, now_ms))
		return false;
	if (wait == 0) {
		place(c);
		return true;
	}
	c->state = STATE_BACKOFF;
	c->wake_ms = now_ms + wait;
	return true;
}

static bool
is_overload(enum refusal refusal)
{
	return refusal == REFUSAL_WAIT || refusal == REFUSAL_QUEUE_FULL;
}

/* Retry-After of the caller; @after_ms is the time until a slot is free. */
static uint64_t
caller_retry_after_ms(const struct call *c, enum refusal refusal,
    uint64_t after_ms, uint64_t now_ms)
{
	uint64_t left_ms;

	if (!is_overload(refusal) || c->cfg.target_ms == 0 ||
	    c->cfg.caller_gives_up_ms == DEADLINE_NEVER ||
	    now_ms + after_ms <= c->cfg.target_ms)
		return after_ms;
	left_ms = clock_left_ms(c->cfg.caller_gives_up_ms, now_ms);
	return MAX(after_ms, left_ms / LATE_RETRY_DIVISOR);
}

/* Record the result of an attempt that followed a refusal for load. */
static void
record_reroute(struct call *c, bool refused)
{
	if (c->rerouted)
		retry_budget_record_reroute(c->budget, refused);
	c->rerouted = false;
}

/* Count the call as refused in its run. */
static void
record_refused(struct call *c)
{
	if (c->cfg.run != NULL && !c->was_refused)
		run_calls_refused(c->cfg.run);
	c->was_refused = true;
}

/* Wait until the other calls of the run would have been refused too; the retry
 * is charged then. */
static bool
await_run(struct call *c, uint64_t now_ms)
{
	uint64_t wait_ms =
	    SETTLE_MIN_MS + SETTLE_FACTOR * (now_ms - c->sent_ms);

	if (run_calls_need_many(c->cfg.run) || !may_retry(c, now_ms + wait_ms))
		return false;
	c->charge_due = true;
	c->state = STATE_BACKOFF;
	c->wake_ms = now_ms + wait_ms;
	return true;
}

static bool
retry_refused(struct call *c, bool charged, uint64_t now_ms)
{
	if (c->refusal == REFUSAL_UPSTREAM && c->cfg.run != NULL &&
	    retry_budget_is_scarce(c->budget, now_ms))
		return await_run(c, now_ms);
	return schedule_retry(c, charged, now_ms);
}

static void
end_backoff(struct call *c, uint64_t now_ms)
{
	bool charged = c->charge_due;

	c->charge_due = false;
	if (!charged ||
	    (!run_calls_need_many(c->cfg.run) &&
		retry_budget_take(c->budget, now_ms))) {
		place(c);
		return;
	}
	give_up(c, OUTCOME_NOT_RUN, c->refusal, c->retry_after_ms);
}

/* The last attempt has certainly not run: retry or give up. */
static void
attempt_not_run(struct call *c, enum refusal refusal, uint64_t retry_after_ms,
    uint64_t now_ms)
{
	bool is_free = refusal_is_free(refusal);

	if (c->departed) {
		finish(c);
		return;
	}
	if (is_overload(refusal) && !c->cfg.naive && !c->cfg.keyed) {
		is_free = retry_budget_others_have_room(c->budget);
		record_reroute(c, true);
		c->rerouted = true;
	}
	c->free_attempts += is_free;
	if (!is_free)
		record_refused(c);
	c->refusal = refusal;
	c->retry_after_ms =
	    caller_retry_after_ms(c, refusal, retry_after_ms, now_ms);
	if (!refusal_is_final(refusal) && retry_refused(c, !is_free, now_ms))
		return;
	give_up(c, OUTCOME_NOT_RUN, refusal, c->retry_after_ms);
}

/*
 * Whether the last attempt ran can't be determined: retry if idempotent, else
 * give up.
 */
static void
attempt_unknown(struct call *c, uint64_t now_ms)
{
	c->may_have_run = true;
	if (!c->departed && (c->cfg.idempotent || c->cfg.naive) &&
	    schedule_retry(c, true, now_ms))
		return;
	give_up(c, OUTCOME_UNKNOWN, REFUSAL_NONE, 0);
}

static bool
is_current(const struct call *c, uint32_t stream)
{
	return c->state != STATE_FINISHED && stream == c->stream;
}

/* Whether an attempt or a resolve is in flight on @stream. */
static bool
expects_reply(const struct call *c, uint32_t stream)
{
	if (!is_current(c, stream))
		return false;
	return c->state == STATE_WAITING || c->state == STATE_RESOLVING;
}

void
call_start(struct call *c, uint64_t now_ms)
{
	if (c->state != STATE_NEW)
		return;
	retry_budget_call(c->budget, now_ms);
	if (now_ms >= c->cfg.deadline_ms) {
		give_up(c, OUTCOME_NOT_RUN, REFUSAL_EXPIRED, 0);
		return;
	}
	place(c);
}

void
call_placed(struct call *c, uint64_t endpoint, uint64_t now_ms)
{
	(void)now_ms;
	if (c->state != STATE_PLACING)
		return;
	c->endpoint = endpoint;
	c->attempt++;
	c->stream++;
	c->state = STATE_SENDING;
	g_array_append_val(c->tried, endpoint);
	(void)add_action(c, CALL_SEND);
}

void
call_no_endpoint(struct call *c, uint64_t retry_after_ms, uint64_t now_ms)
{
	(void)now_ms;
	if (c->state == STATE_PLACING)
		give_up(
		    c, OUTCOME_NOT_RUN, REFUSAL_NO_ENDPOINT, retry_after_ms);
}

void
call_quarantined(struct call *c, uint64_t retry_after_ms)
{
	if (c->state == STATE_PLACING)
		give_up(
		    c, OUTCOME_NOT_RUN, REFUSAL_QUARANTINED, retry_after_ms);
}

void
call_returned_early(struct call *c, uint64_t retry_after_ms)
{
	if (c->state == STATE_PLACING)
		give_up(c, OUTCOME_NOT_RUN, REFUSAL_WAIT, retry_after_ms);
}

void
call_sent(
    struct call *c, uint32_t stream, uint64_t incarnation, uint64_t now_ms)
{
	if (!is_current(c, stream) || c->state != STATE_SENDING)
		return;
	c->incarnation = incarnation;
	c->sent_ms = now_ms;
	c->state = STATE_WAITING;
}

void
call_connect_failed(struct call *c, uint32_t stream, uint64_t now_ms)
{
	if (is_current(c, stream) && c->state == STATE_SENDING)
		attempt_not_run(c, REFUSAL_UNREACHABLE, 0, now_ms);
}

void
call_body_discarded(struct call *c)
{
	c->body_discarded = true;
}

void
call_committed(struct call *c, uint32_t stream, uint64_t now_ms)
{
	(void)now_ms;
	if (!expects_reply(c, stream))
		return;
	c->state = STATE_COMMITTED;
	c->wake_ms = DEADLINE_NEVER;
}

void
call_answered(struct call *c, uint32_t stream, uint64_t now_ms)
{
	(void)now_ms;
	if (!expects_reply(c, stream) &&
	    !(is_current(c, stream) && c->state == STATE_COMMITTED))
		return;
	retry_budget_success(c->budget);
	if (c->cfg.run != NULL && c->was_refused)
		run_calls_answered(c->cfg.run);
	record_reroute(c, false);
	add_action(c, CALL_DELIVER)->outcome = OUTCOME_DONE;
	finish(c);
}

void
call_refused(struct call *c, uint32_t stream, enum refusal refusal,
    uint64_t retry_after_ms, uint64_t now_ms)
{
	if (!expects_reply(c, stream))
		return;
	if (refusal == REFUSAL_KEY_UNSETTLED)
		c->may_have_run = true;
	attempt_not_run(c, refusal, retry_after_ms, now_ms);
}

void
call_failed(struct call *c, uint32_t stream, uint64_t now_ms)
{
	if (expects_reply(c, stream))
		attempt_unknown(c, now_ms);
}

static void
connection_lost(struct call *c, uint64_t now_ms)
{
	if (c->cfg.naive) {
		attempt_unknown(c, now_ms);
		return;
	}
	if (c->cfg.idempotent && !c->cfg.keyed) {
		c->may_have_run = true;
		if (schedule_retry(c, true, now_ms))
			return;
	}
	c->resolve_until_ms = now_ms + c->cfg.resolve_limit_ms;
	resolve(c, c->deadline_passed);
}

void
call_lost(struct call *c, uint32_t stream, uint64_t now_ms)
{
	if (!is_current(c, stream))
		return;
	switch (c->state) {
	case STATE_SENDING:
		attempt_not_run(c, REFUSAL_UNREACHABLE, 0, now_ms);
		return;
	case STATE_WAITING:
		connection_lost(c, now_ms);
		return;
	case STATE_RESOLVING:
		call_resolve_failed(c, stream, now_ms);
		return;
	case STATE_COMMITTED:
		(void)add_action(c, CALL_ABORT);
		finish(c);
		return;
	default:
		return;
	}
}

static void
cancel_for_departed(struct call *c)
{
	add_action(c, CALL_CANCEL)->abandoned = true;
	finish(c);
}

void
call_resolved(
    struct call *c, uint32_t stream, enum resolution r, uint64_t now_ms)
{
	if (!is_current(c, stream) || c->state != STATE_RESOLVING)
		return;
	switch (r) {
	case RESOLUTION_NOT_RUN:
		attempt_not_run(c, REFUSAL_RESOLVED, 0, now_ms);
		return;
	case RESOLUTION_ATTACHED:
	case RESOLUTION_ANSWER:
		c->state = STATE_WAITING;
		if (c->departed)
			cancel_for_departed(c);
		else if (c->deadline_passed)
			(void)add_action(c, CALL_CANCEL);
		return;
	case RESOLUTION_LOST:
	case RESOLUTION_UNKNOWN:
		attempt_unknown(c, now_ms);
		return;
	}
}

void
call_resolve_failed(struct call *c, uint32_t stream, uint64_t now_ms)
{
	uint64_t until, backoff_ms;

	if (!is_current(c, stream) || c->state != STATE_RESOLVING)
		return;
	backoff_ms = (uint64_t)RESOLVE_BACKOFF_MS
	    << MIN(c->resolve_failures, RESOLVE_BACKOFF_SHIFT_MAX);
	c->resolve_failures++;
	until = MIN(c->resolve_until_ms, grace_end_ms(c));
	if (now_ms + backoff_ms >= until) {
		attempt_unknown(c, now_ms);
		return;
	}
	c->state = STATE_RESOLVE_BACKOFF;
	c->wake_ms = MIN(now_ms + backoff_ms, c->wake_ms);
}

void
call_caller_disconnected(struct call *c, uint64_t now_ms)
{
	enum call_state state = c->state;

	(void)now_ms;
	if (state == STATE_RESOLVING || state == STATE_RESOLVE_BACKOFF) {
		c->departed = true;
		c->resolve_until_ms = DEADLINE_NEVER;
		return;
	}
	c->not_run = !c->may_have_run &&
	    (state == STATE_NEW || state == STATE_BACKOFF ||
		state == STATE_PLACING || state == STATE_SENDING);
	if (state == STATE_WAITING || state == STATE_COMMITTED)
		retry_budget_left(c->budget);
	switch (state) {
	case STATE_SENDING:
	case STATE_WAITING:
	case STATE_COMMITTED:
		add_action(c, CALL_CANCEL)->abandoned = true;
		break;
	default:
		break;
	}
	finish(c);
}

/* Handle the deadline: a started attempt is awaited for the grace time only. */
static void
pass_deadline(struct call *c, uint64_t now_ms)
{
	c->deadline_passed = true;
	c->wake_ms = grace_end_ms(c);
	switch (c->state) {
	case STATE_BACKOFF:
	case STATE_PLACING:
		give_up(c, OUTCOME_NOT_RUN, REFUSAL_EXPIRED, 0);
		return;
	case STATE_SENDING:
		(void)add_action(c, CALL_CANCEL);
		give_up(c, OUTCOME_NOT_RUN, REFUSAL_EXPIRED, 0);
		return;
	case STATE_WAITING:
		(void)add_action(c, CALL_CANCEL);
		break;
	default:
		break;
	}
	if (c->cfg.idempotent || c->cfg.naive || now_ms >= grace_end_ms(c))
		give_up_unknown(c);
}

void
call_stopped(struct call *c)
{
	switch (c->state) {
	case STATE_FINISHED:
		return;
	case STATE_COMMITTED:
		(void)add_action(c, CALL_ABORT);
		finish(c);
		return;
	case STATE_NEW:
	case STATE_BACKOFF:
	case STATE_PLACING:
		give_up(c, OUTCOME_NOT_RUN, REFUSAL_STOPPING, 0);
		return;
	case STATE_SENDING:
		(void)add_action(c, CALL_CANCEL);
		give_up(c, OUTCOME_NOT_RUN, REFUSAL_STOPPING, 0);
		return;
	default:
		give_up_unknown(c);
		return;
	}
}

void
call_tick(struct call *c, uint64_t now_ms)
{
	if (c->state == STATE_FINISHED || now_ms < c->wake_ms)
		return;
	if (!c->deadline_passed && now_ms >= c->cfg.deadline_ms) {
		pass_deadline(c, now_ms);
		return;
	}
	if (c->deadline_passed && now_ms >= grace_end_ms(c)) {
		give_up_unknown(c);
		return;
	}
	if (c->state == STATE_BACKOFF)
		end_backoff(c, now_ms);
	if (c->state == STATE_RESOLVE_BACKOFF) {
		c->wake_ms =
		    c->deadline_passed ? grace_end_ms(c) : c->cfg.deadline_ms;
		resolve(c, c->deadline_passed);
	}
}

uint64_t
call_wake_ms(const struct call *c)
{
	return c->wake_ms;
}

bool
call_next(struct call *c, struct call_action *out)
{
	if (c->next_action == c->actions->len) {
		g_array_set_size(c->actions, 0);
		c->next_action = 0;
		return false;
	}
	*out = g_array_index(c->actions, struct call_action, c->next_action);
	c->next_action++;
	return true;
}

bool
call_is_finished(const struct call *c)
{
	return c->state == STATE_FINISHED;
}

const uint64_t *
call_tried(const struct call *c, size_t *n)
{
	*n = c->tried->len;
	return (const void *)c->tried->data;
}

bool
call_may_have_run(const struct call *c)
{
	return c->may_have_run;
}

uint16_t
call_attempts(const struct call *c)
{
	return c->attempt;
}
