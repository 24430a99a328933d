/*
 * The state machine of a call, step by step: actions of the entry when guard,
 * connection or upstream fails at each step, for idempotent and non-idempotent
 * requests.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "base/clock.h"
#include "traffic/call.h"

#include "test_run.h"

#define DEADLINE_MS 1000
#define GRACE_MS 50
#define RESOLVE_LIMIT_MS 200
#define STEPS_MAX 14
#define INCARNATION 77
/* A seed whose first back-off is not 0. */
#define SEED 6

/* Events; the number after an event is its argument. */
enum event {
	END = 0,
	/* Other endpoints are full. */
	FULL,
	/* First step only: the call has an idempotency key. */
	KEYED,
	PLACED,
	UNPLACED,
	SENT,
	UNSENT,
	BODY_GONE,
	COMMITTED,
	ANSWERED,
	REFUSED,
	FAILED,
	LOST,
	RESOLVED,
	UNRESOLVED,
	GONE,
	TICK,
	/* The same events on the stream before the current one. */
	LATE_ANSWERED,
	LATE_REFUSED,
	LATE_LOST,
};

struct step {
	enum event event;
	uint64_t arg;
	const char *actions;
};

struct scenario {
	const char *name;
	bool idempotent;
	bool no_budget;
	struct step steps[STEPS_MAX];
};

/* Each TICK sets the time; other events occur at the time of the last TICK. */
static const struct scenario scenarios[] = {
    {"answered", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {ANSWERED, 0, "deliver"}}},
    {"no endpoint", false, false, {{UNPLACED, 0, "give_up:not_run"}}},
    {"guard unreachable: retried elsewhere without budget", false, true,
	{{PLACED, 1, "send1"}, {UNSENT, 0, "place"}, {PLACED, 2, "send2"},
	    {UNSENT, 0, "place"}, {PLACED, 3, "send3"}, {UNSENT, 0, "place"},
	    {PLACED, 4, "send4"}, {UNSENT, 0, "place"}, {PLACED, 5, "send5"},
	    {UNSENT, 0, "give_up:not_run"}}},
    {"connection lost before sending: certain", false, true,
	{{PLACED, 1, "send1"}, {LOST, 0, "place"}}},
    {"attempts that reached no upstream are not counted", false, false,
	{{PLACED, 1, "send1"}, {UNSENT, 0, "place"}, {PLACED, 2, "send2"},
	    {SENT, 0, ""}, {REFUSED, REFUSAL_UPSTREAM, "backoff"},
	    {TICK, 10, "place"}, {PLACED, 3, "send3"}, {SENT, 0, ""},
	    {REFUSED, REFUSAL_UPSTREAM, "give_up:not_run"}}},
    {"refused for load, others have room: retried at once", false, true,
	{{PLACED, 1, "send1"}, {SENT, 0, ""},
	    {REFUSED, REFUSAL_QUEUE_FULL, "place"}, {PLACED, 2, "send2"},
	    {SENT, 0, ""}, {REFUSED, REFUSAL_WAIT, "place"},
	    {PLACED, 3, "send3"}, {SENT, 0, ""}, {ANSWERED, 0, "deliver"}}},
    {"refused for load, others are full: retried", false, false,
	{{FULL, 0, ""}, {PLACED, 1, "send1"}, {SENT, 0, ""},
	    {REFUSED, REFUSAL_QUEUE_FULL, "backoff"}, {TICK, 10, "place"},
	    {PLACED, 2, "send2"}, {SENT, 0, ""}, {ANSWERED, 0, "deliver"}}},
    {"refused, others are full, budget used up: final at once", false, true,
	{{FULL, 0, ""}, {PLACED, 1, "send1"}, {SENT, 0, ""},
	    {REFUSED, REFUSAL_QUEUE_FULL, "give_up:not_run"}}},
    {"draining needs no budget", false, true,
	{{PLACED, 1, "send1"}, {SENT, 0, ""},
	    {REFUSED, REFUSAL_DRAINING, "place"}}},
    {"upstream absent: retried elsewhere without budget", false, true,
	{{PLACED, 1, "send1"}, {SENT, 0, ""},
	    {REFUSED, REFUSAL_NO_ENDPOINT, "place"}}},
    {"caller's rate limit: no retry", true, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""},
	    {REFUSED, REFUSAL_CALLER_LIMIT, "give_up:not_run"}}},
    {"key unsettled: unknown", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""},
	    {REFUSED, REFUSAL_KEY_UNSETTLED, "give_up:unknown"}}},
    {"keyed, refused by a home that settled the key", false, true,
	{{KEYED, 0, ""}, {PLACED, 1, "send1"}, {SENT, 0, ""},
	    {REFUSED, REFUSAL_QUEUE_FULL, "give_up:not_run"}}},
    {"keyed, never placed: an earlier request may have run", false, false,
	{{KEYED, 0, ""}, {UNPLACED, 0, "give_up:unknown"}}},
    {"keyed lookup lost: resolved, not run elsewhere", true, false,
	{{KEYED, 0, ""}, {PLACED, 1, "send1"}, {SENT, 0, ""},
	    {LOST, 0, "resolve"}}},
    {"body can't be sent again", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {BODY_GONE, 0, ""},
	    {REFUSED, REFUSAL_QUEUE_FULL, "give_up:not_run"}}},
    {"booking lost, never received: retried", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {LOST, 0, "resolve"},
	    {RESOLVED, RESOLUTION_NOT_RUN, "backoff"}, {TICK, 10, "place"}}},
    {"booking lost while it ran: answer over the new connection", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {LOST, 0, "resolve"},
	    {RESOLVED, RESOLUTION_ATTACHED, ""}, {ANSWERED, 0, "deliver"}}},
    {"booking lost, ran: stored answer", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {LOST, 0, "resolve"},
	    {RESOLVED, RESOLUTION_ANSWER, ""}, {ANSWERED, 0, "deliver"}}},
    {"booking lost, answer not stored: unknown, no retry", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {LOST, 0, "resolve"},
	    {RESOLVED, RESOLUTION_LOST, "give_up:unknown"}}},
    {"booking lost, guard replaced: unknown, no retry", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {LOST, 0, "resolve"},
	    {RESOLVED, RESOLUTION_UNKNOWN, "give_up:unknown"}}},
    {"booking lost, attached stream lost too: resolve again", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {LOST, 0, "resolve"},
	    {RESOLVED, RESOLUTION_ATTACHED, ""}, {LOST, 0, "resolve"},
	    {RESOLVED, RESOLUTION_ANSWER, ""}, {ANSWERED, 0, "deliver"}}},
    {"booking lost, guard unreachable: unknown within the limit", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {LOST, 0, "resolve"},
	    {UNRESOLVED, 0, ""}, {TICK, 20, "resolve"}, {UNRESOLVED, 0, ""},
	    {TICK, 100, "resolve"}, {TICK, 190, ""},
	    {LOST, 0, "give_up:unknown"}}},
    {"lookup lost: retried at once", true, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {LOST, 0, "backoff"},
	    {TICK, 10, "place"}, {PLACED, 2, "send2"}, {SENT, 0, ""},
	    {ANSWERED, 0, "deliver"}}},
    {"lookup lost, then refused: it may have run", true, false,
	{{FULL, 0, ""}, {PLACED, 1, "send1"}, {SENT, 0, ""},
	    {LOST, 0, "backoff"}, {TICK, 10, "place"}, {PLACED, 2, "send2"},
	    {SENT, 0, ""}, {REFUSED, REFUSAL_WAIT, "give_up:unknown"}}},
    {"lookup lost without budget: resolve", true, true,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {LOST, 0, "resolve"},
	    {RESOLVED, RESOLUTION_ATTACHED, ""}, {ANSWERED, 0, "deliver"}}},
    {"booking's upstream failed after the start: unknown", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {FAILED, 0, "give_up:unknown"}}},
    {"lookup's upstream failed: retried", true, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {FAILED, 0, "backoff"},
	    {TICK, 10, "place"}}},
    {"answer cut after its beginning was passed on: abort", true, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {COMMITTED, 0, ""},
	    {LOST, 0, "abort"}}},
    {"large answer outlives the deadline", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {COMMITTED, 0, ""},
	    {TICK, 5000, ""}, {ANSWERED, 0, "deliver"}}},
    {"deadline before sending", false, false,
	{{PLACED, 1, "send1"}, {TICK, 1000, "cancel give_up:not_run"},
	    {SENT, 0, ""}}},
    {"deadline, booking still queued: certain", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {TICK, 1000, "cancel"},
	    {REFUSED, REFUSAL_CANCELLED, "give_up:not_run"}}},
    {"deadline, booking runs: unknown after the grace", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {TICK, 1000, "cancel"},
	    {TICK, 1050, "give_up:unknown"}}},
    {"deadline, answer within the grace", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {TICK, 1000, "cancel"},
	    {ANSWERED, 0, "deliver"}}},
    {"deadline, lookup: unknown at once", true, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""},
	    {TICK, 1000, "cancel give_up:unknown"}}},
    {"deadline while resolving: cancelled once attached", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {TICK, 990, ""},
	    {LOST, 0, "resolve"}, {TICK, 1000, ""},
	    {RESOLVED, RESOLUTION_ATTACHED, "cancel"},
	    {TICK, 1050, "give_up:unknown"}}},
    {"deadline while resolving, never received", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {TICK, 990, ""},
	    {LOST, 0, "resolve"}, {TICK, 1000, ""},
	    {RESOLVED, RESOLUTION_NOT_RUN, "give_up:not_run"}}},
    {"entry resumed long after the deadline", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""},
	    {TICK, 9000, "cancel give_up:unknown"}, {ANSWERED, 0, ""}}},
    {"caller disconnected while queued", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {GONE, 0, "cancel"},
	    {ANSWERED, 0, ""}}},
    {"caller disconnected before sending", false, false,
	{{PLACED, 1, "send1"}, {GONE, 0, "cancel"}, {SENT, 0, ""}}},
    {"caller left while the fate of an attempt was queried", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {LOST, 0, "resolve"},
	    {GONE, 0, ""}, {RESOLVED, RESOLUTION_NOT_RUN, ""}}},
    {"caller left while the fate was queried: what runs is cancelled", false,
	false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {LOST, 0, "resolve"},
	    {GONE, 0, ""}, {RESOLVED, RESOLUTION_ATTACHED, "cancel"}}},
    {"caller left while the guard could not be reached", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {LOST, 0, "resolve"},
	    {UNRESOLVED, 0, ""}, {GONE, 0, ""}, {TICK, 20, "resolve"},
	    {RESOLVED, RESOLUTION_ATTACHED, "cancel"}}},
    {"caller left, and the guard is lost for good", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {LOST, 0, "resolve"},
	    {GONE, 0, ""}, {TICK, 1000, ""}, {TICK, 1050, ""},
	    {RESOLVED, RESOLUTION_ATTACHED, ""}}},
    {"caller left a lookup: it isn't sent again", true, true,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {LOST, 0, "resolve"},
	    {GONE, 0, ""}, {RESOLVED, RESOLUTION_LOST, ""}, {TICK, 30, ""}}},
    {"caller left between two attempts", true, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {FAILED, 0, "backoff"},
	    {GONE, 0, ""}, {TICK, 10, ""}}},
    {"late answer of an earlier attempt", true, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {LOST, 0, "backoff"},
	    {TICK, 10, "place"}, {PLACED, 2, "send2"}, {SENT, 0, ""},
	    {LATE_ANSWERED, 0, ""}, {LATE_LOST, 0, ""},
	    {ANSWERED, 0, "deliver"}}},
    {"late refusal after a resolve is ignored", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {LOST, 0, "resolve"},
	    {LATE_REFUSED, REFUSAL_RESOLVED, ""},
	    {RESOLVED, RESOLUTION_NOT_RUN, "backoff"}}},
    {"duplicate answer", false, false,
	{{PLACED, 1, "send1"}, {SENT, 0, ""}, {ANSWERED, 0, "deliver"},
	    {ANSWERED, 0, ""}, {LOST, 0, ""}}},
};

struct world {
	struct retry_budget budget;
	struct call *call;
	uint32_t stream;
	uint64_t now_ms;
};

/* Record that recently rerouted calls were refused again. */
static void
fill_other_endpoints(struct retry_budget *b)
{
	int i;

	for (i = 0; i < 8; i++)
		retry_budget_record_reroute(b, true);
}

static void
dispatch(struct world *w, const struct step *s)
{
	struct call *c = w->call;
	uint64_t now = w->now_ms;

	switch (s->event) {
	case END:
	case KEYED:
		break;
	case FULL:
		fill_other_endpoints(&w->budget);
		break;
	case PLACED:
		call_placed(c, s->arg, now);
		break;
	case UNPLACED:
		call_no_endpoint(c, s->arg, now);
		break;
	case SENT:
		call_sent(c, w->stream, INCARNATION, now);
		break;
	case UNSENT:
		call_connect_failed(c, w->stream, now);
		break;
	case BODY_GONE:
		call_body_discarded(c);
		break;
	case COMMITTED:
		call_committed(c, w->stream, now);
		break;
	case ANSWERED:
		call_answered(c, w->stream, now);
		break;
	case REFUSED:
		call_refused(c, w->stream, (enum refusal)s->arg, 0, now);
		break;
	case FAILED:
		call_failed(c, w->stream, now);
		break;
	case LOST:
		call_lost(c, w->stream, now);
		break;
	case RESOLVED:
		call_resolved(c, w->stream, (enum resolution)s->arg, now);
		break;
	case UNRESOLVED:
		call_resolve_failed(c, w->stream, now);
		break;
	case GONE:
		call_caller_disconnected(c, now);
		break;
	case TICK:
		w->now_ms = s->arg;
		call_tick(c, s->arg);
		break;
	case LATE_ANSWERED:
		call_answered(c, w->stream - 1, now);
		break;
	case LATE_REFUSED:
		call_refused(c, w->stream - 1, (enum refusal)s->arg, 0, now);
		break;
	case LATE_LOST:
		call_lost(c, w->stream - 1, now);
		break;
	}
}

static void
describe(const struct call_action *a, char *out, size_t size)
{
	size_t used;

	used = strlen(out);
	if (used > 0)
		used += (size_t)snprintf(out + used, size - used, " ");
	used += (size_t)snprintf(
	    out + used, size - used, "%s", call_action_name(a->kind));
	if (a->kind == CALL_SEND)
		(void)snprintf(out + used, size - used, "%u", a->attempt);
	if (a->kind == CALL_GIVE_UP)
		(void)snprintf(
		    out + used, size - used, ":%s", outcome_name(a->outcome));
}

static void
collect(struct world *w, char *out, size_t size)
{
	struct call_action a;

	out[0] = '\0';
	while (call_next(w->call, &a)) {
		describe(&a, out, size);
		if (a.kind == CALL_SEND || a.kind == CALL_RESOLVE)
			w->stream = a.stream;
		if (a.kind == CALL_RESOLVE)
			ck_assert_uint_eq(a.incarnation, INCARNATION);
	}
}

static void
world_init(struct world *w, const struct scenario *s)
{
	struct call_config cfg = {.deadline_ms = DEADLINE_MS,
	    .deadline_grace_ms = GRACE_MS,
	    .resolve_limit_ms = RESOLVE_LIMIT_MS,
	    .idempotent = s->idempotent,
	    .keyed = s->steps[0].event == KEYED};
	struct retry_config retry = {.attempts = 2,
	    .budget_percent = 10,
	    .burst = s->no_budget ? 0 : 10,
	    .backoff_ms = 4,
	    .backoff_cap_ms = 4};

	w->now_ms = 0;
	w->stream = 0;
	retry_budget_init(&w->budget, &retry, 0);
	w->call = call_new(&cfg, &w->budget, SEED);
	call_start(w->call, 0);
}

/* "backoff" stands for: no action yet, but a tick is due soon. */
static void
check_step(struct world *w, const struct scenario *s, const struct step *st)
{
	char got[128];

	dispatch(w, st);
	collect(w, got, sizeof(got));
	if (strcmp(st->actions, "backoff") != 0) {
		ck_assert_msg(strcmp(got, st->actions) == 0,
		    "%s: step %ld: got '%s', want '%s'", s->name,
		    (long)(st - s->steps), got, st->actions);
		return;
	}
	ck_assert_msg(
	    strcmp(got, "place") == 0 || got[0] == '\0', "%s", s->name);
	if (got[0] == '\0')
		ck_assert_uint_le(call_wake_ms(w->call), w->now_ms + 4);
}

START_TEST(test_scenario)
{
	const struct scenario *s = &scenarios[_i];
	struct world w;
	char got[128];
	int i;

	world_init(&w, s);
	collect(&w, got, sizeof(got));
	ck_assert_str_eq(got, "place");
	for (i = 0; i < STEPS_MAX && s->steps[i].event != END; i++)
		check_step(&w, s, &s->steps[i]);
	call_free(w.call);
}
END_TEST

static int
count_finals(struct world *w)
{
	struct call_action a;
	int finals = 0;

	while (call_next(w->call, &a)) {
		if (a.kind == CALL_SEND || a.kind == CALL_RESOLVE)
			w->stream = a.stream;
		if (a.kind == CALL_DELIVER || a.kind == CALL_GIVE_UP ||
		    a.kind == CALL_ABORT)
			finals++;
	}
	return finals;
}

/*
 * Random events in random order lead to exactly one final action, at the latest
 * at the end of the grace time (or when the connection is lost, if the answer
 * has begun).
 */
START_TEST(test_random_events)
{
	static const struct step last[] = {{TICK, DEADLINE_MS, ""},
	    {TICK, DEADLINE_MS + GRACE_MS, ""}, {LOST, 0, ""}};
	struct step s;
	struct world w;
	unsigned int seed = 1;
	int run, i, finals;
	bool gone;

	for (run = 0; run < 20000; run++) {
		world_init(&w, &scenarios[0]);
		finals = 0;
		gone = false;
		for (i = 0; i < 12; i++) {
			s.event = (enum event)(
			    PLACED + rand_r(&seed) % (LATE_LOST - PLACED + 1));
			s.arg = (uint64_t)(rand_r(&seed) % 5);
			if (s.event == TICK)
				s.arg += w.now_ms + s.arg * 50;
			gone |= s.event == GONE;
			dispatch(&w, &s);
			finals += count_finals(&w);
		}
		for (i = 0; i < 3; i++) {
			dispatch(&w, &last[i]);
			finals += count_finals(&w);
		}
		ck_assert(call_is_finished(w.call));
		ck_assert_int_le(finals, 1);
		ck_assert(gone || finals == 1);
		call_free(w.call);
	}
}
END_TEST

/* Resolves at an unreachable guard back off until the limit. */
START_TEST(test_resolve_backoff)
{
	const struct call_config cfg = {
	    .deadline_ms = 10000, .resolve_limit_ms = 2000};
	struct retry_config rc;
	struct call_action a;
	struct retry_budget b;
	uint32_t asked = 0;
	uint64_t now_ms;
	struct call *c;

	retry_config_default(&rc);
	retry_budget_init(&b, &rc, 0);
	c = call_new(&cfg, &b, 1);
	call_start(c, 0);
	ck_assert(call_next(c, &a) && a.kind == CALL_PLACE);
	call_placed(c, 1, 0);
	ck_assert(call_next(c, &a) && a.kind == CALL_SEND);
	call_sent(c, a.stream, 1, 0);
	call_lost(c, a.stream, 0);
	for (now_ms = 0; now_ms < 3000 && !call_is_finished(c); now_ms++) {
		call_tick(c, now_ms);
		while (call_next(c, &a)) {
			asked += a.kind == CALL_RESOLVE;
			if (a.kind == CALL_RESOLVE)
				call_resolve_failed(c, a.stream, now_ms);
		}
	}
	ck_assert(call_is_finished(c));
	ck_assert_uint_ge(asked, 6);
	ck_assert_uint_le(asked, 12);
	call_free(c);
}
END_TEST

/* State of a call when its entry stops. */
enum stop_at { STOP_NEW, STOP_PLACING, STOP_SENDING, STOP_WAITING, STOP_ENDS };

static void
advance_to(struct call *c, enum stop_at at)
{
	struct call_action a;

	if (at >= STOP_PLACING)
		call_start(c, 0);
	if (at >= STOP_SENDING)
		call_placed(c, 1, 0);
	while (call_next(c, &a))
		if (a.kind == CALL_SEND && at >= STOP_WAITING)
			call_sent(c, a.stream, 1, 0);
}

START_TEST(stopped_call_is_not_run_unless_sent)
{
	const struct call_config cfg = {
	    .deadline_ms = 10000, .resolve_limit_ms = 2000};
	struct call_action a = {.kind = CALL_PLACE};
	struct retry_config rc;
	struct retry_budget b;
	struct call *c;

	retry_config_default(&rc);
	retry_budget_init(&b, &rc, 0);
	c = call_new(&cfg, &b, 1);
	advance_to(c, (enum stop_at)_i);
	call_stopped(c);
	ck_assert(call_is_finished(c));
	while (a.kind != CALL_GIVE_UP)
		ck_assert(call_next(c, &a));
	if (_i == STOP_WAITING) {
		ck_assert_int_eq(a.outcome, OUTCOME_UNKNOWN);
	} else {
		ck_assert_int_eq(a.outcome, OUTCOME_NOT_RUN);
		ck_assert_int_eq(a.refusal, REFUSAL_STOPPING);
	}
	call_stopped(c);
	ck_assert(!call_next(c, &a));
	call_free(c);
}
END_TEST

/* How a call that was sent ends. */
enum sent_end { SENT_REFUSED, SENT_ANSWERED, SENT_FAILED, SENT_ENDS };

/* Whether credit for the request was used. */
START_TEST(a_departed_call_has_not_run_unless_sent)
{
	const struct call_config cfg = {
	    .deadline_ms = 10000, .resolve_limit_ms = 2000};
	struct retry_config rc;
	struct retry_budget b;
	struct call *c;

	retry_config_default(&rc);
	retry_budget_init(&b, &rc, 0);
	c = call_new(&cfg, &b, 1);
	advance_to(c, (enum stop_at)_i);
	call_caller_disconnected(c, 0);
	ck_assert_int_eq(call_has_not_run(c), _i != STOP_WAITING);
	call_free(c);
}
END_TEST

START_TEST(a_sent_call_has_not_run_if_it_was_refused)
{
	const struct call_config cfg = {
	    .deadline_ms = 10000, .resolve_limit_ms = 2000};
	struct retry_config rc;
	struct retry_budget b;
	struct call *c;

	retry_config_default(&rc);
	retry_budget_init(&b, &rc, 0);
	c = call_new(&cfg, &b, 1);
	advance_to(c, STOP_WAITING);
	if (_i == SENT_REFUSED)
		call_refused(c, 1, REFUSAL_SERVICE_LIMIT, 0, 0);
	else if (_i == SENT_ANSWERED)
		call_answered(c, 1, 0);
	else
		call_failed(c, 1, 0);
	ck_assert(call_is_finished(c));
	ck_assert_int_eq(call_has_not_run(c), _i == SENT_REFUSED);
	call_free(c);
}
END_TEST

#define GIVES_UP_MS 2400

/* Retry-After of a caller that is refused for @refusal at @now_ms. */
static uint64_t
retry_after_of(enum refusal refusal, uint64_t now_ms, uint64_t after_ms)
{
	const struct call_config cfg = {.deadline_ms = 1200,
	    .target_ms = 400,
	    .caller_gives_up_ms = GIVES_UP_MS};
	struct retry_config rc = {.attempts = 1};
	struct retry_budget b;
	struct call_action a;
	struct call *c;

	retry_budget_init(&b, &rc, now_ms);
	fill_other_endpoints(&b);
	c = call_new(&cfg, &b, 1);
	call_start(c, now_ms);
	ck_assert(call_next(c, &a) && a.kind == CALL_PLACE);
	call_placed(c, 1, now_ms);
	ck_assert(call_next(c, &a) && a.kind == CALL_SEND);
	call_sent(c, a.stream, 1, now_ms);
	call_refused(c, a.stream, refusal, after_ms, now_ms);
	ck_assert(call_next(c, &a) && a.kind == CALL_GIVE_UP);
	ck_assert_int_eq(a.outcome, OUTCOME_NOT_RUN);
	call_free(c);
	return a.retry_after_ms;
}

/*
 * A burst or a cold start lasts 2 to 8 s, and callers give up after 2.4 s.  A
 * caller that can still meet its target gets the time until a slot is free as
 * Retry-After; any other caller gets a part of its remaining time, so that the
 * overload may pass.
 */
START_TEST(test_late_callers_get_a_longer_retry_after)
{
	ck_assert_uint_eq(retry_after_of(REFUSAL_WAIT, 0, 200), 200);
	ck_assert_uint_eq(retry_after_of(REFUSAL_WAIT, 300, 200), 700);
	ck_assert_uint_eq(retry_after_of(REFUSAL_QUEUE_FULL, 900, 200), 500);
	ck_assert_uint_eq(retry_after_of(REFUSAL_WAIT, 900, 1100), 1100);
	/* A random refusal by the upstream is no overload. */
	ck_assert_uint_eq(retry_after_of(REFUSAL_UPSTREAM, 900, 20), 20);
}
END_TEST

int
main(void)
{
	Suite *suite;
	TCase *tc;

	suite = suite_create("call");
	tc = tcase_create("call");
	tcase_add_test(tc, test_resolve_backoff);
	tcase_add_loop_test(
	    tc, stopped_call_is_not_run_unless_sent, 0, STOP_ENDS);
	tcase_add_loop_test(
	    tc, a_departed_call_has_not_run_unless_sent, 0, STOP_ENDS);
	tcase_add_loop_test(
	    tc, a_sent_call_has_not_run_if_it_was_refused, 0, SENT_ENDS);
	tcase_add_loop_test(tc, test_scenario, 0,
	    (int)(sizeof(scenarios) / sizeof(scenarios[0])));
	tcase_add_test(tc, test_random_events);
	tcase_add_test(tc, test_late_callers_get_a_longer_retry_after);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
