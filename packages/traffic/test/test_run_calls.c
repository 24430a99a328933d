/*
 * Calls that upstreams make in pairs: each run makes two calls at once and
 * fails, and leaves the other, as soon as one of them is given up.  The called
 * upstreams refuse at random whatever runs there, or for want of room.
 */
#include <check.h>
#include <glib.h>

#include "base/hash.h"
#include "traffic/call.h"

#include "test_run.h"

#define SEED 11
#define RUN_EVERY_MS 25
#define CALLS 2
#define WORK_MS 90
#define REFUSED_MS_MAX 3
#define DEADLINE_MS 1000
#define LENGTH_MS 40000
#define RUNS (LENGTH_MS / RUN_EVERY_MS)
#define ENDPOINTS 30
#define SLOTS_MANY (18 * ENDPOINTS)
#define PERCENT 100
#define BUDGET_PERCENT 15
#define BURST 1
/* Retries that cost nothing until others are found to be full. */
#define FINDING_OUT 16

/**
 * struct load - what the called upstreams do
 * @refuse_percent: share of the attempts that is refused at random
 * @slots: requests that run at a time, more are refused; 0 for no bound
 * @full: refusal for want of a slot
 * @attempts: maximum number of attempts of a call
 */
struct load {
	uint32_t refuse_percent;
	uint32_t slots;
	enum refusal full;
	uint32_t attempts;
};

/**
 * struct result - what came of it
 * @runs: runs that have ended
 * @done: runs all of whose calls were answered
 * @calls: first attempts
 * @retries: further attempts
 * @ran: calls that ran to their end
 */
struct result {
	uint32_t runs;
	uint32_t done;
	uint32_t calls;
	uint32_t retries;
	uint32_t ran;
};

/**
 * struct run_call - one call of a run
 * @machine: its state machine, NULL when it has ended
 * @stream: current stream
 * @reply_ms: time of the reply to the current attempt, 0 for none
 * @refusal: the reply, REFUSAL_NONE for an answer
 */
struct run_call {
	struct call *machine;
	uint32_t stream;
	uint64_t reply_ms;
	enum refusal refusal;
};

/** struct run - one run and its calls */
struct run {
	struct run_calls shared;
	struct run_call calls[CALLS];
	uint32_t n_answered;
	bool has_failed;
};

/** struct world - the entry, its runs and the called upstreams */
struct world {
	struct load load;
	struct result result;
	struct retry_budget budget;
	struct run *runs;
	uint32_t n_running;
	uint64_t now_ms;
	uint64_t draws;
};

static uint32_t
draw(struct world *w, uint32_t below)
{
	w->draws++;
	return (uint32_t)(hash64(&w->draws, sizeof(w->draws), SEED) % below);
}

static enum refusal
choose_reply(struct world *w)
{
	if (w->load.slots != 0 && w->n_running >= w->load.slots)
		return w->load.full;
	if (draw(w, PERCENT) < w->load.refuse_percent)
		return REFUSAL_UPSTREAM;
	return REFUSAL_NONE;
}

static void
attempt_arrives(struct world *w, struct run_call *c, uint16_t attempt)
{
	w->result.calls += attempt == 1;
	w->result.retries += attempt > 1;
	c->refusal = choose_reply(w);
	if (c->refusal != REFUSAL_NONE) {
		c->reply_ms = w->now_ms + 1 + draw(w, REFUSED_MS_MAX);
		return;
	}
	c->reply_ms = w->now_ms + WORK_MS;
	w->n_running++;
}

static void
run_actions(struct world *w, struct run *r, struct run_call *c)
{
	struct call_action a;

	while (c->machine != NULL && call_next(c->machine, &a)) {
		if (a.kind == CALL_PLACE)
			call_placed(
			    c->machine, 1 + draw(w, ENDPOINTS), w->now_ms);
		if (a.kind == CALL_SEND) {
			c->stream = a.stream;
			call_sent(c->machine, a.stream, 1, w->now_ms);
			attempt_arrives(w, c, a.attempt);
		}
		r->has_failed |= a.kind == CALL_GIVE_UP;
		r->n_answered += a.kind == CALL_DELIVER;
	}
}

static void
end_call(struct run_call *c)
{
	call_free(c->machine);
	c->machine = NULL;
	c->reply_ms = 0;
}

static void
reply(struct world *w, struct run_call *c)
{
	c->reply_ms = 0;
	if (c->refusal == REFUSAL_UPSTREAM)
		retry_budget_shed(&w->budget, w->n_running,
		    w->load.slots != 0 ? w->load.slots : SLOTS_MANY);
	if (c->refusal != REFUSAL_NONE) {
		call_refused(c->machine, c->stream, c->refusal, 0, w->now_ms);
		return;
	}
	w->n_running--;
	w->result.ran++;
	call_answered(c->machine, c->stream, w->now_ms);
}

static void
step_call(struct world *w, struct run *r, struct run_call *c)
{
	if (c->machine == NULL)
		return;
	if (c->reply_ms != 0 && w->now_ms >= c->reply_ms)
		reply(w, c);
	call_tick(c->machine, w->now_ms);
	run_actions(w, r, c);
	if (call_is_finished(c->machine))
		end_call(c);
}

/* The run ends: calls in flight are left, and upstreams stop at them. */
static void
leave_calls(struct world *w, struct run *r)
{
	struct run_call *c;
	uint32_t i;

	for (i = 0; i < CALLS; i++) {
		c = &r->calls[i];
		if (c->machine == NULL)
			continue;
		w->n_running -= c->reply_ms != 0 && c->refusal == REFUSAL_NONE;
		call_caller_disconnected(c->machine, w->now_ms);
		end_call(c);
	}
}

static void
step_run(struct world *w, struct run *r)
{
	bool was_running =
	    r->calls[0].machine != NULL || r->calls[1].machine != NULL;
	uint32_t i;

	if (!was_running)
		return;
	for (i = 0; i < CALLS; i++)
		step_call(w, r, &r->calls[i]);
	if (r->has_failed)
		leave_calls(w, r);
	w->result.runs += r->has_failed || r->n_answered == CALLS;
	w->result.done += !r->has_failed && r->n_answered == CALLS;
}

static void
begin_run(struct world *w, struct run *r)
{
	const struct call_config cfg = {.deadline_ms = w->now_ms + DEADLINE_MS,
	    .attempts = w->load.attempts,
	    .caller_gives_up_ms = w->now_ms + DEADLINE_MS,
	    .idempotent = true,
	    .run = &r->shared};
	uint32_t i;

	for (i = 0; i < CALLS; i++) {
		r->calls[i].machine = call_new(&cfg, &w->budget, w->draws + i);
		call_start(r->calls[i].machine, w->now_ms);
		run_actions(w, r, &r->calls[i]);
	}
}

static struct result
play(struct load load)
{
	struct world w = {.load = load};
	struct retry_config cfg;
	uint32_t i, begun = 0;

	retry_config_default(&cfg);
	cfg.budget_percent = BUDGET_PERCENT;
	cfg.burst = BURST;
	cfg.reserve_per_s = 0;
	w.now_ms = 1;
	retry_budget_init(&w.budget, &cfg, w.now_ms);
	w.runs = g_new0(struct run, RUNS);
	for (; begun < RUNS || w.result.runs < RUNS; w.now_ms++) {
		if (begun < RUNS && w.now_ms % RUN_EVERY_MS == 0)
			begin_run(&w, &w.runs[begun++]);
		for (i = 0; i < begun; i++)
			step_run(&w, &w.runs[i]);
	}
	g_free(w.runs);
	return w.result;
}

static uint32_t
budget_of(const struct result *r)
{
	return r->calls * BUDGET_PERCENT / PERCENT + BURST;
}

static struct result
play_random(uint32_t refuse_percent, uint32_t attempts)
{
	return play((struct load){
	    .refuse_percent = refuse_percent, .attempts = attempts});
}

/* Where 55 of 100 are refused at random, runs use the whole budget, and a retry
 * makes a run succeed nearly as often as an attempt is answered. */
START_TEST(retries_go_where_they_make_a_run_succeed)
{
	struct result without = play_random(55, 1);
	struct result with = play_random(55, 2);

	ck_assert_uint_le(with.retries, budget_of(&with));
	ck_assert_uint_ge(with.retries * 10, budget_of(&with) * 9);
	ck_assert_uint_ge((with.done - without.done) * 10, with.retries * 4);
}
END_TEST

/* Where few are refused the retries suffice, and hardly a run fails. */
START_TEST(few_refusals_are_all_retried)
{
	struct result r = play_random(5, 2);

	ck_assert_uint_le(r.retries, budget_of(&r));
	ck_assert_uint_ge(r.done * 100, r.runs * 98);
}
END_TEST

static const enum refusal fulls[] = {
    REFUSAL_UPSTREAM, REFUSAL_QUEUE_FULL, REFUSAL_WAIT};

/* Where the called upstreams have half of the room that is wanted, and they or
 * their guards refuse the rest, no fewer runs succeed, and arrivals stay within
 * the budget, beside the few by which it is found that others are full too. */
START_TEST(want_of_room_is_not_amplified)
{
	static const uint32_t slots = CALLS * WORK_MS / RUN_EVERY_MS / 2;
	struct load load = {.slots = slots, .full = fulls[_i], .attempts = 1};
	struct result without = play(load);
	struct result with;

	load.attempts = 2;
	with = play(load);
	ck_assert_uint_le(with.retries, budget_of(&with) + FINDING_OUT);
	ck_assert_uint_ge(with.done, without.done);
}
END_TEST

/* Where nearly all are refused, only successes pay for retries. */
START_TEST(hardly_anything_is_retried_where_nothing_succeeds)
{
	struct result r = play_random(98, 2);

	ck_assert_uint_le(r.retries * 100, r.calls * 2);
}
END_TEST

/* One token a call, and none is left: retries are scarce. */
static void
use_up(struct retry_budget *b, uint64_t now_ms)
{
	struct retry_config cfg;

	retry_config_default(&cfg);
	cfg.burst = 1;
	cfg.reserve_per_s = 0;
	cfg.budget_percent = PERCENT;
	retry_budget_init(b, &cfg, now_ms);
	ck_assert(retry_budget_take(b, now_ms));
	ck_assert(!retry_budget_take(b, now_ms));
	ck_assert(retry_budget_is_scarce(b, now_ms));
}

/* Return: the first action after the call was refused at @now_ms and the wait
 * for the run's other calls is over. */
static enum call_action_kind
refuse_one_of_run(struct run_calls *run, uint64_t now_ms)
{
	const struct call_config cfg = {.deadline_ms = now_ms + DEADLINE_MS,
	    .idempotent = true,
	    .run = run};
	struct call_action a;
	struct retry_budget b;
	struct call *c;

	use_up(&b, now_ms);
	c = call_new(&cfg, &b, SEED);
	call_start(c, now_ms);
	ck_assert(call_next(c, &a) && a.kind == CALL_PLACE);
	call_placed(c, 1, now_ms);
	ck_assert(call_next(c, &a) && a.kind == CALL_SEND);
	call_sent(c, a.stream, 1, now_ms);
	call_refused(c, a.stream, REFUSAL_UPSTREAM, 0, now_ms + 1);
	if (!call_next(c, &a)) {
		ck_assert_uint_le(call_wake_ms(c), now_ms + 10);
		call_tick(c, call_wake_ms(c));
		ck_assert(call_next(c, &a));
	}
	call_free(c);
	return a.kind;
}

/* While retries are scarce, the only refused call of a run is sent again, and a
 * run that needs two retries gets none. */
START_TEST(scarce_retry_goes_to_run_that_needs_one)
{
	struct run_calls run = {0};

	ck_assert_int_eq(refuse_one_of_run(&run, 100), CALL_PLACE);
	ck_assert_uint_eq(run.refused, 1);
	ck_assert_int_eq(refuse_one_of_run(&run, 100), CALL_GIVE_UP);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("run_calls");
	TCase *tc = tcase_create("run_calls");

	tcase_add_test(tc, retries_go_where_they_make_a_run_succeed);
	tcase_add_test(tc, few_refusals_are_all_retried);
	tcase_add_loop_test(
	    tc, want_of_room_is_not_amplified, 0, (int)G_N_ELEMENTS(fulls));
	tcase_add_test(tc, hardly_anything_is_retried_where_nothing_succeeds);
	tcase_add_test(tc, scarce_retry_goes_to_run_that_needs_one);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
