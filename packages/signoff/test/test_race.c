/*
 * Concurrent operators: versions get one order and every outcome is true; the
 * checker detects a naive blind retry.
 */
#include <check.h>
#include <string.h>

#include "scenario.h"

#define SEEDS 400
#define RACERS 5
#define RACE_FAULT_PERCENT 12

/* Longest timeout of a racer; some run into it. */
#define RACE_TIMEOUT_MAX_MS 6000

/* Two concurrent sign-offs without parent: the loser is retried on top of the
 * winner only if that was requested. */
START_TEST(loser_is_retried_only_if_requested)
{
	struct world *w = world_new((uint32_t)_i);
	struct signoff_request req;
	struct actor *a, *b;

	sign_off_versions(w, 1);
	req = sign_off_request(w, "one");
	req.race_retries = (uint32_t)_i % 2;
	a = world_start(w, &req, 5, false);
	req = world_request(w, SIGNOFF_SIGN_OFF, "two", "bjorn");
	req.race_retries = (uint32_t)_i % 2;
	b = world_start(w, &req, 6, false);
	world_run(w);
	ck_assert_int_eq((a->outcome.result == SIGNOFF_DONE) +
		(b->outcome.result == SIGNOFF_DONE),
	    1 + _i % 2);
	ck_assert_uint_eq(w->rows->len, 2 + (uint32_t)_i % 2);
	check_no_violation(w);
	world_free(w);
}
END_TEST

/* Two concurrent starts of one id take effect once; both are reported as done.
 */
START_TEST(two_starts_of_one_id_take_effect_once)
{
	struct world *w = world_new((uint32_t)_i);
	struct signoff_request req;
	char op[STORE_OP_BYTES];
	struct actor *a, *b;
	uint32_t i;

	sign_off_versions(w, 1);
	req = sign_off_request(w, "op");
	req.race_retries = RACERS;
	a = world_start(w, &req, 5, false);
	b = world_start(w, &req, 5, false);
	for (i = 0; i < 3; i++) {
		g_snprintf(op, sizeof(op), "other-%u", i);
		req = sign_off_request(w, op);
		req.race_retries = RACERS;
		(void)world_start(w, &req, 6 + i, false);
	}
	world_run(w);
	ck_assert_int_eq(a->outcome.result, SIGNOFF_DONE);
	ck_assert_int_eq(b->outcome.result, SIGNOFF_DONE);
	check_no_violation(w);
	world_free(w);
}
END_TEST

static void
run_until_done(struct world *w, const char *op, uint32_t variant)
{
	struct signoff_request req = sign_off_request(w, op);
	struct actor *actor;

	req.race_retries = 1;
	actor = world_start(w, &req, variant, false);
	while (signoff_outcome(actor->r) == NULL)
		ck_assert(world_step(w));
	ck_assert_int_eq(actor->outcome.result, SIGNOFF_DONE);
}

/* The write of a start is lost; then a rival is first, another start of the
 * same id is retried on top of the rival, and a third operation follows on top
 * of both. The id is then neither in the head row nor in the row that the lost
 * write would have made, and has to be found in between. */
START_TEST(id_is_found_between_head_and_lost_write)
{
	struct world *w = world_new(1);
	struct signoff_request req;
	struct actor *actor;

	sign_off_versions(w, 1);
	/* The search for the operation's own id is one request more. */
	w->fault_at = w->n_requests + WRITE_REQUEST + 1;
	w->fault = FAULT_LOST_REQUEST;
	req = sign_off_request(w, "op");
	req.race_retries = 1;
	actor = world_start(w, &req, 5, false);
	while (w->n_requests < w->fault_at)
		ck_assert(world_step(w));
	run_until_done(w, "rival", 6);
	run_until_done(w, "op", 5);
	run_until_done(w, "third", 7);
	world_run(w);
	ck_assert_int_eq(actor->outcome.result, SIGNOFF_DONE);
	ck_assert(actor->outcome.repeated);
	ck_assert_uint_eq(actor->outcome.version, 3);
	check_no_violation(w);
	world_free(w);
}
END_TEST

static void
start_racer(struct world *w, uint32_t i, bool naive)
{
	struct signoff_request req;
	char op[STORE_OP_BYTES], operator_name[STORE_OPERATOR_BYTES];
	uint64_t newest = w->rows->len;

	g_snprintf(op, sizeof(op), "op-%u-%u", (uint32_t)w->commits->len, i);
	g_snprintf(operator_name, sizeof(operator_name), "operator-%u", i);
	req = world_request(w,
	    naive ? SIGNOFF_SIGN_OFF
		  : (enum signoff_kind)g_rand_int_range(w->rand, 0, 3),
	    op, operator_name);
	req.version = newest;
	if (req.kind == SIGNOFF_SUPERSEDE)
		req.version = 1;
	req.has_parent = !naive && g_rand_boolean(w->rand);
	req.parent = newest;
	req.fresh = g_rand_boolean(w->rand);
	if (!naive)
		req.deadline_ms = w->now_ms +
		    (uint64_t)g_rand_int_range(w->rand, 1, RACE_TIMEOUT_MAX_MS);
	req.race_retries =
	    naive ? RACERS : (uint32_t)g_rand_int_range(w->rand, 0, 3);
	(void)world_start(w, &req, 10 + i, naive);
}

/* Restarts operations with an unknown outcome until the outcome is known. */
static void
settle_unknown(struct world *w)
{
	struct actor *actor;
	struct signoff_request req;
	uint32_t i, n = w->actors->len;

	w->fault_percent = 0;
	for (i = 0; i < n; i++) {
		actor = g_ptr_array_index(w->actors, i);
		if (actor->outcome.result != SIGNOFF_UNKNOWN)
			continue;
		req = actor->req;
		req.fresh = false;
		req.deadline_ms = w->now_ms + 2 * SIGNOFF_REQUEST_TIMEOUT_MS;
		actor = world_start(w, &req, actor->variant, false);
		world_run(w);
		ck_assert(actor->outcome.result == SIGNOFF_DONE ||
		    actor->outcome.result == SIGNOFF_CONFLICT ||
		    actor->outcome.result == SIGNOFF_ALREADY_HALTED);
	}
}

/* Runs concurrent operators on a faulty platform; sets the violation, or an
 * empty text. */
static void
race(uint32_t seed, bool naive, char *violation, uint32_t *n_results)
{
	struct world *w = world_new(seed);
	const struct actor *actor;
	uint32_t i, round;

	sign_off_versions(w, 1);
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
	ck_assert_uint_eq(w->n_whole, 0);
	g_strlcpy(violation, w->violation, WORLD_VIOLATION_BYTES);
	world_free(w);
}

START_TEST(concurrent_operators_get_one_order)
{
	uint32_t seed, n_results[SIGNOFF_UNKNOWN + 1] = {0};
	char violation[WORLD_VIOLATION_BYTES];

	for (seed = 1; seed <= SEEDS; seed++) {
		race(seed, false, violation, n_results);
		ck_assert_msg(
		    violation[0] == '\0', "seed %u: %s", seed, violation);
	}
	/* The runs cover all results: operators won, lost, halted, ran out of
	 * time. */
	ck_assert_uint_gt(n_results[SIGNOFF_DONE], SEEDS);
	ck_assert_uint_gt(n_results[SIGNOFF_CONFLICT], SEEDS);
	ck_assert_uint_gt(n_results[SIGNOFF_ALREADY_HALTED], SEEDS / 2);
	ck_assert_uint_gt(n_results[SIGNOFF_UNAVAILABLE], SEEDS / 8);
	ck_assert_uint_gt(n_results[SIGNOFF_UNKNOWN], SEEDS / 8);
}
END_TEST

/* A blind retry writes twice, and the checker detects that. */
START_TEST(blind_retry_is_detected)
{
	uint32_t seed, n_detected = 0, n_results[SIGNOFF_UNKNOWN + 1] = {0};
	char violation[WORLD_VIOLATION_BYTES];

	for (seed = 1; seed <= SEEDS; seed++) {
		race(seed, true, violation, n_results);
		n_detected += strstr(violation, "takes effect twice") != NULL;
	}
	ck_assert_uint_gt(n_detected, SEEDS / 8);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("race");
	TCase *tc = tcase_create("race");

	tcase_add_loop_test(tc, loser_is_retried_only_if_requested, 0, 20);
	tcase_add_loop_test(tc, two_starts_of_one_id_take_effect_once, 0, 60);
	tcase_add_test(tc, id_is_found_between_head_and_lost_write);
	tcase_add_test(tc, concurrent_operators_get_one_order);
	tcase_add_test(tc, blind_retry_is_detected);
	tcase_set_timeout(tc, 60);
	suite_add_tcase(suite, tc);
	return scenario_run(suite);
}
