/*
 * Sign-off, halt and supersede against a platform that loses answers at each
 * step, throttles, is down, and doubles or delays writes; racing operators;
 * and a naive blind retry that the checker must catch.
 */
#include <check.h>
#include <string.h>

#include "world.h"

#define SEEDS 400
#define RACERS 5
#define RACE_FAULT_PERCENT 12

/* The write of a sign-off comes after head, list, two sections, root. */
#define WRITE_REQUEST 6

static struct rollout_request
sign(struct world *w, const char *op)
{
	return world_request(w, ROLLOUT_SIGN_OFF, op, "anna");
}

static struct rollout_request
on_version(struct world *w, enum rollout_kind kind, const char *op,
    const char *who, uint64_t version)
{
	struct rollout_request req = world_request(w, kind, op, who);

	req.version = version;
	return req;
}

/* Sign versions off until there are @n. */
static void
sign_many(struct world *w, uint32_t n)
{
	struct rollout_request req;
	char op[STORE_OP_BYTES];
	uint32_t i;

	for (i = (uint32_t)w->rows->len + 1; i <= n; i++) {
		g_snprintf(op, sizeof(op), "base-%u", i);
		req = sign(w, op);
		req.fresh = true;
		ck_assert_int_eq(world_do(w, &req, i)->result, ROLLOUT_DONE);
	}
}

static void
check_truth(struct world *w)
{
	ck_assert_msg(world_check(w), "%s", w->violation);
}

#define STEPS 12

/*
 * One operation of each kind, with each fault at each of its requests: it is
 * done, once, and told so; started again it is told so again.
 */
START_TEST(test_each_step)
{
	const enum rollout_kind kind = (enum rollout_kind)(_i % 3);
	const enum fault fault = (enum fault)(1 + _i / 3 % (FAULT_COUNT - 1));
	const struct rollout_outcome *o;
	struct rollout_request req;
	struct world *w;
	uint32_t step;

	for (step = 1; step <= STEPS; step++) {
		w = world_new(step);
		sign_many(w, 3);
		w->fault_at = w->n_requests + step;
		w->fault = fault;
		req = on_version(w, kind, "op", "anna", 3);
		o = world_do(w, &req, 4);
		ck_assert_int_eq(o->result, ROLLOUT_DONE);
		ck_assert_uint_eq(o->version, kind == ROLLOUT_HALT ? 3 : 4);
		ck_assert_uint_eq(o->in_force, kind == ROLLOUT_HALT ? 2 : 4);
		ck_assert(!o->repeated);
		o = world_do(w, &req, 4);
		ck_assert_int_eq(o->result, ROLLOUT_DONE);
		ck_assert(o->repeated);
		ck_assert_uint_eq(w->deeds->len, 4);
		check_truth(w);
		world_free(w);
	}
}
END_TEST

/* What each request is told on a platform with three versions. */
static const struct {
	enum rollout_kind kind;
	const char *op;
	uint64_t version;
	int parent; /* -1 for none */
	uint32_t variant;
	enum rollout_result result;
	uint64_t winner_version;
	const char *winner_operator;
} told[] = {
    {ROLLOUT_SIGN_OFF, "op", 0, 3, 9, ROLLOUT_DONE, 0, ""},
    {ROLLOUT_SIGN_OFF, "op", 0, 2, 9, ROLLOUT_CONFLICT, 3, "anna"},
    {ROLLOUT_SIGN_OFF, "op", 0, 0, 9, ROLLOUT_CONFLICT, 1, "anna"},
    {ROLLOUT_SIGN_OFF, "op", 0, 4, 9, ROLLOUT_NOT_FOUND, 0, ""},
    {ROLLOUT_SIGN_OFF, "base-2", 0, 1, 2, ROLLOUT_DONE, 0, ""},
    {ROLLOUT_SIGN_OFF, "base-2", 0, -1, 2, ROLLOUT_DONE, 0, ""},
    {ROLLOUT_SIGN_OFF, "base-2", 0, -1, 9, ROLLOUT_INVALID, 0, ""},
    {ROLLOUT_SUPERSEDE, "op", 1, 3, 0, ROLLOUT_DONE, 0, ""},
    {ROLLOUT_SUPERSEDE, "op", 1, 2, 0, ROLLOUT_CONFLICT, 3, "anna"},
    {ROLLOUT_SUPERSEDE, "op", 4, -1, 0, ROLLOUT_NOT_FOUND, 0, ""},
    {ROLLOUT_SUPERSEDE, "base-1", 2, -1, 0, ROLLOUT_INVALID, 0, ""},
    {ROLLOUT_HALT, "op", 3, -1, 0, ROLLOUT_DONE, 0, ""},
    {ROLLOUT_HALT, "op", 1, -1, 0, ROLLOUT_CONFLICT, 2, "anna"},
    {ROLLOUT_HALT, "op", 4, -1, 0, ROLLOUT_NOT_FOUND, 0, ""},
    {ROLLOUT_HALT, "base-3", 3, -1, 0, ROLLOUT_INVALID, 0, ""},
    {ROLLOUT_FIND, "base-1", 0, -1, 0, ROLLOUT_DONE, 0, ""},
    {ROLLOUT_FIND, "op", 0, -1, 0, ROLLOUT_NOT_FOUND, 0, ""},
};

START_TEST(test_told)
{
	struct world *w = world_new(1);
	const struct rollout_outcome *o;
	struct rollout_request req;

	sign_many(w, 3);
	req = on_version(
	    w, told[_i].kind, told[_i].op, "bjorn", told[_i].version);
	req.has_parent = told[_i].parent >= 0;
	req.parent = req.has_parent ? (uint64_t)told[_i].parent : 0;
	o = world_do(w, &req, told[_i].variant);
	ck_assert_int_eq(o->result, told[_i].result);
	ck_assert_uint_eq(o->winner_version, told[_i].winner_version);
	ck_assert_str_eq(o->winner_operator, told[_i].winner_operator);
	ck_assert(o->message[0] != '\0');
	check_truth(w);
	world_free(w);
}
END_TEST

/* A halt is told who was first, is found after others went on, and skips
 * versions halted before. */
START_TEST(test_halts)
{
	struct world *w = world_new(1);
	const struct rollout_outcome *o;
	struct rollout_request req, first;

	sign_many(w, 2);
	first = on_version(w, ROLLOUT_HALT, "stop-2", "bjorn", 2);
	ck_assert_int_eq(world_do(w, &first, 0)->result, ROLLOUT_DONE);
	req = on_version(w, ROLLOUT_HALT, "late-2", "carl", 2);
	o = world_do(w, &req, 0);
	ck_assert_int_eq(o->result, ROLLOUT_ALREADY);
	ck_assert_str_eq(o->winner_operator, "bjorn");
	sign_many(w, 3);
	o = world_do(w, &req, 0);
	ck_assert_int_eq(o->result, ROLLOUT_ALREADY);
	ck_assert_str_eq(o->winner_operator, "bjorn");
	o = world_do(w, &first, 0);
	ck_assert_int_eq(o->result, ROLLOUT_DONE);
	ck_assert(o->repeated);
	req = on_version(w, ROLLOUT_HALT, "stop-3", "bjorn", 3);
	ck_assert_uint_eq(world_do(w, &req, 0)->in_force, 1);
	req = on_version(w, ROLLOUT_SUPERSEDE, "back", "carl", 1);
	o = world_do(w, &req, 0);
	ck_assert_uint_eq(o->version, 4);
	ck_assert_uint_eq(o->in_force, 4);
	check_truth(w);
	world_free(w);
	/* The only version halted: nothing is in force. */
	w = world_new(1);
	sign_many(w, 1);
	req = on_version(w, ROLLOUT_HALT, "stop", "carl", 1);
	ck_assert_uint_eq(world_do(w, &req, 0)->in_force, 0);
	sign_many(w, 2);
	check_truth(w);
	world_free(w);
}
END_TEST

/* Down from the start, nothing is done; down from the write on, it is not
 * known; asked again when the platform is back, it is. */
START_TEST(test_down)
{
	const bool written = _i != 0;
	const struct rollout_outcome *o;
	struct rollout_request req, find;
	struct world *w = world_new(1);
	uint64_t after_seq;

	sign_many(w, 1);
	w->down = true;
	req = sign(w, "op");
	req.fresh = true;
	o = world_do(w, &req, 5);
	ck_assert_int_eq(o->result, ROLLOUT_UNAVAILABLE);
	ck_assert_uint_ge(w->now_ms, req.deadline_ms);
	ck_assert_uint_eq(w->deeds->len, 1);
	/* The write's answer is lost, and nothing can be read after it. */
	w->down = false;
	w->fault_at = w->n_requests + WRITE_REQUEST;
	w->fault = written ? FAULT_LOST_ANSWER : FAULT_LOST_REQUEST;
	req = sign(w, "lost");
	req.fresh = true;
	req.deadline_ms = w->now_ms + ROLLOUT_STEP_MS;
	o = world_do(w, &req, 5);
	ck_assert_int_eq(o->result, ROLLOUT_UNKNOWN);
	ck_assert_uint_eq(w->deeds->len, written ? 2 : 1);
	after_seq = o->after_seq;
	ck_assert_uint_eq(after_seq, 1);
	find = world_request(w, ROLLOUT_FIND, "lost", "");
	find.after_seq = after_seq;
	o = world_do(w, &find, 0);
	ck_assert_int_eq(o->result, written ? ROLLOUT_DONE : ROLLOUT_UNKNOWN);
	/* Once somebody else has gone on, it is certain either way. */
	sign_many(w, written ? 3 : 2);
	find.deadline_ms = w->now_ms + ROLLOUT_STEP_MS;
	o = world_do(w, &find, 0);
	ck_assert_int_eq(o->result, written ? ROLLOUT_DONE : ROLLOUT_NOT_FOUND);
	check_truth(w);
	world_free(w);
}
END_TEST

/* A write that is still on its way when the platform goes down: that it was
 * not there when looked for does not mean that it is not done. */
START_TEST(test_late)
{
	const struct rollout_outcome *o;
	struct world *w = world_new(1);
	struct rollout_request req;

	sign_many(w, 1);
	w->fault_at = w->n_requests + WRITE_REQUEST;
	w->fault = FAULT_LATE;
	w->down_from = w->fault_at + 2;
	req = sign(w, "op");
	req.fresh = true;
	o = world_do(w, &req, 5);
	ck_assert_int_eq(o->result, ROLLOUT_UNKNOWN);
	ck_assert_uint_eq(w->deeds->len, 2);
	check_truth(w);
	world_free(w);
}
END_TEST

/* Two starts of one id at the same time do it once; both are told so. */
START_TEST(test_twins)
{
	struct world *w = world_new((uint32_t)_i);
	struct rollout_request req;
	char op[STORE_OP_BYTES];
	struct actor *a, *b;
	uint32_t i;

	sign_many(w, 1);
	req = sign(w, "op");
	req.race_retries = RACERS;
	a = world_start(w, &req, 5, false);
	b = world_start(w, &req, 5, false);
	for (i = 0; i < 3; i++) {
		g_snprintf(op, sizeof(op), "other-%u", i);
		req = sign(w, op);
		req.race_retries = RACERS;
		(void)world_start(w, &req, 6 + i, false);
	}
	world_run(w);
	ck_assert_int_eq(a->outcome.result, ROLLOUT_DONE);
	ck_assert_int_eq(b->outcome.result, ROLLOUT_DONE);
	check_truth(w);
	world_free(w);
}
END_TEST

static void
start_racer(struct world *w, uint32_t i, bool naive)
{
	struct rollout_request req;
	char op[STORE_OP_BYTES], who[STORE_OPERATOR_BYTES];
	uint64_t newest = w->rows->len;

	g_snprintf(op, sizeof(op), "op-%u-%u", (uint32_t)w->deeds->len, i);
	g_snprintf(who, sizeof(who), "operator-%u", i);
	req = world_request(w,
	    naive ? ROLLOUT_SIGN_OFF
		  : (enum rollout_kind)g_rand_int_range(w->rand, 0, 3),
	    op, who);
	req.version = newest;
	if (req.kind == ROLLOUT_SUPERSEDE)
		req.version = 1;
	req.has_parent = !naive && g_rand_boolean(w->rand);
	req.parent = newest;
	req.fresh = g_rand_boolean(w->rand);
	req.race_retries =
	    naive ? RACERS : (uint32_t)g_rand_int_range(w->rand, 0, 3);
	(void)world_start(w, &req, 10 + i, naive);
}

/* Start again what ended as unknown, until it is known. */
static void
settle_unknown(struct world *w)
{
	struct actor *actor;
	struct rollout_request req;
	uint32_t i, n = w->actors->len;

	w->fault_percent = 0;
	for (i = 0; i < n; i++) {
		actor = g_ptr_array_index(w->actors, i);
		if (actor->outcome.result != ROLLOUT_UNKNOWN)
			continue;
		req = actor->req;
		req.fresh = false;
		req.deadline_ms = w->now_ms + 2 * ROLLOUT_STEP_MS;
		actor = world_start(w, &req,
		    req.kind == ROLLOUT_SIGN_OFF
			? actor->bundle != NULL ? 10 + i % RACERS : 0
			: 0,
		    false);
		world_run(w);
		ck_assert_int_ne(actor->outcome.result, ROLLOUT_UNKNOWN);
	}
}

/* Racing operators on a bad platform; the violation, or an empty text. */
static void
race(uint32_t seed, bool naive, char *violation, uint32_t *n_results)
{
	struct world *w = world_new(seed);
	const struct actor *actor;
	uint32_t i, round;

	sign_many(w, 1);
	w->fault_percent = RACE_FAULT_PERCENT;
	for (round = 0; round < 2; round++) {
		for (i = 0; i < RACERS; i++)
			start_racer(w, i, naive);
		world_run(w);
	}
	for (i = 1; i < w->actors->len; i++) {
		actor = g_ptr_array_index(w->actors, i);
		n_results[actor->outcome.result]++;
	}
	if (!naive)
		settle_unknown(w);
	(void)world_check(w);
	g_strlcpy(violation, w->violation, WORLD_VIOLATION_BYTES);
	world_free(w);
}

START_TEST(test_race)
{
	uint32_t seed, n_results[ROLLOUT_UNKNOWN + 1] = {0};
	char violation[WORLD_VIOLATION_BYTES];

	for (seed = 1; seed <= SEEDS; seed++) {
		race(seed, false, violation, n_results);
		ck_assert_msg(
		    violation[0] == '\0', "seed %u: %s", seed, violation);
	}
	/* The runs were of use: operators won, lost and halted. */
	ck_assert_uint_gt(n_results[ROLLOUT_DONE], SEEDS);
	ck_assert_uint_gt(n_results[ROLLOUT_CONFLICT], SEEDS);
	ck_assert_uint_gt(n_results[ROLLOUT_ALREADY], 0);
}
END_TEST

/* The blind retry does things twice, and the checker sees it. */
START_TEST(test_naive_is_caught)
{
	uint32_t seed, n_caught = 0, n_results[ROLLOUT_UNKNOWN + 1] = {0};
	char violation[WORLD_VIOLATION_BYTES];

	for (seed = 1; seed <= SEEDS / 4; seed++) {
		race(seed, true, violation, n_results);
		n_caught += strstr(violation, "done twice") != NULL;
	}
	ck_assert_uint_gt(n_caught, SEEDS / 16);
}
END_TEST

/* Requests that make no sense are refused before anything is asked. */
START_TEST(test_refused)
{
	struct world *w = world_new(1);
	struct rollout_request req;
	struct rollout *r;

	req = world_request(w, ROLLOUT_HALT, "", "anna");
	req.version = 1;
	ck_assert_int_eq(rollout_new(&req, &r), STATUS_INVALID);
	req = world_request(w, ROLLOUT_HALT, "a/b", "anna");
	req.version = 1;
	ck_assert_int_eq(rollout_new(&req, &r), STATUS_INVALID);
	req = world_request(w, ROLLOUT_HALT, "op", "");
	req.version = 1;
	ck_assert_int_eq(rollout_new(&req, &r), STATUS_INVALID);
	req = world_request(w, ROLLOUT_HALT, "op", "anna");
	ck_assert_int_eq(rollout_new(&req, &r), STATUS_INVALID);
	req = world_request(w, ROLLOUT_SIGN_OFF, "op", "anna");
	ck_assert_int_eq(rollout_new(&req, &r), STATUS_INVALID);
	world_free(w);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("rollout");
	TCase *tc = tcase_create("rollout");
	SRunner *runner;
	int n_failed;

	tcase_add_loop_test(tc, test_each_step, 0, 3 * (FAULT_COUNT - 1));
	tcase_add_loop_test(tc, test_told, 0, (int)G_N_ELEMENTS(told));
	tcase_add_test(tc, test_halts);
	tcase_add_loop_test(tc, test_down, 0, 2);
	tcase_add_test(tc, test_late);
	tcase_add_loop_test(tc, test_twins, 0, 60);
	tcase_add_test(tc, test_race);
	tcase_add_test(tc, test_naive_is_caught);
	tcase_add_test(tc, test_refused);
	tcase_set_timeout(tc, 60);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	n_failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return n_failed == 0 ? 0 : 1;
}
