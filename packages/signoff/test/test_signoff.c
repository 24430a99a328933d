/*
 * Sign-off, halt and supersede, one at a time, against a platform that loses
 * answers at each step, throttles, is down, and duplicates or delays writes.
 */
#include <check.h>
#include <string.h>

#include "base/clock.h"
#include "scenario.h"

static struct signoff_request
request_for_version(struct world *w, enum signoff_kind kind, const char *op,
    const char *operator_name, uint64_t version)
{
	struct signoff_request req = world_request(w, kind, op, operator_name);

	req.version = version;
	return req;
}

#define STEPS 12

/* Version of a restore after version 3. */
#define RESTORED (3 + SIGNOFF_RESTORE_GAP + 1)

/*
 * One operation of each kind, with each fault at each of its requests: it takes
 * effect once and is reported as done; a second start reports the same.
 */
START_TEST(fault_at_any_request_is_survived)
{
	const enum signoff_kind kind = (enum signoff_kind)(_i % 3);
	const enum fault fault = (enum fault)(1 + _i / 3 % (FAULT_COUNT - 1));
	const struct signoff_outcome *o;
	struct signoff_request req;
	struct world *w;
	uint32_t step;

	for (step = 1; step <= STEPS; step++) {
		w = world_new(step);
		sign_off_versions(w, 3);
		w->fault_at = w->n_requests + step;
		w->fault = fault;
		req = request_for_version(w, kind, "op", "anna", 3);
		o = world_run_operation(w, &req, 4);
		ck_assert_int_eq(o->result, SIGNOFF_DONE);
		ck_assert_uint_eq(o->version, kind == SIGNOFF_HALT ? 3 : 4);
		ck_assert_uint_eq(o->in_force, kind == SIGNOFF_HALT ? 2 : 4);
		ck_assert(!o->repeated);
		o = world_run_operation(w, &req, 4);
		ck_assert_int_eq(o->result, SIGNOFF_DONE);
		ck_assert(o->repeated);
		ck_assert_uint_eq(w->commits->len, 4);
		check_no_violation(w);
		world_free(w);
	}
}
END_TEST

/* The store has come back from an older copy: an operation built on its head
 * row would use numbers again. */
START_TEST(an_older_head_row_is_not_built_on)
{
	const enum signoff_kind kind = (enum signoff_kind)_i;
	const struct signoff_outcome *o;
	struct signoff_request req;
	struct world *w = world_new(1);

	sign_off_versions(w, 3);
	req = request_for_version(w, kind, "op", "anna", 3);
	req.known_seq = w->head.seq + 1;
	o = world_run_operation(w, &req, 4);
	ck_assert_int_eq(o->result, SIGNOFF_UNAVAILABLE);
	ck_assert_uint_eq(w->commits->len, 3);
	req = request_for_version(w, kind, "op", "anna", 3);
	req.known_seq = w->head.seq;
	o = world_run_operation(w, &req, 4);
	ck_assert_int_eq(o->result, SIGNOFF_DONE);
	check_no_violation(w);
	world_free(w);
}
END_TEST

/*
 * A newer head row becomes known after each step of an operation, and the store
 * doesn't have it: nothing is written once it is known.
 */
START_TEST(a_row_that_becomes_known_is_not_written_again)
{
	const enum signoff_kind kind = (enum signoff_kind)_i;
	struct signoff_request req;
	struct actor *actor;
	uint32_t i, step, n_refused = 0;
	struct world *w;

	for (step = 0; step <= 2 * STEPS; step++) {
		w = world_new(step);
		sign_off_versions(w, 3);
		req = request_for_version(w, kind, "op", "anna", 3);
		req.known_seq = w->head.seq;
		actor = world_start(w, &req, 4, false);
		for (i = 0; i < step; i++)
			(void)world_step(w);
		if (actor->sent_head.seq == 0) {
			signoff_known(
			    actor->r, w->head.seq + 1, w->head.version + 1);
			n_refused++;
			world_run(w);
			ck_assert_int_eq(
			    actor->outcome.result, SIGNOFF_UNAVAILABLE);
			ck_assert_uint_eq(w->commits->len, 3);
		}
		world_free(w);
	}
	ck_assert_uint_gt(n_refused, 2);
}
END_TEST

/* Restores a store with three versions from a copy with one. */
static void
restore_store(struct world *w)
{
	const struct signoff_outcome *o;
	struct signoff_request req;

	sign_off_versions(w, 1);
	world_back_up(w);
	sign_off_versions(w, 3);
	req = sign_off_request(w, "restore");
	req.fresh = true;
	req.restores = true;
	req.known_seq = w->head.seq;
	req.known_version = w->head.version;
	world_restore(w);
	o = world_run_operation(w, &req, 3);
	ck_assert_int_eq(o->result, SIGNOFF_DONE);
	ck_assert_uint_eq(o->version, RESTORED);
	check_no_violation(w);
}

/* Outcome of each request on a restored store. */
static const struct {
	enum signoff_kind kind;
	const char *op;
	uint64_t version;
	int parent; /* -1 for none */
	enum signoff_result result;
	uint64_t done;
	uint64_t winner_version;
} restored_cases[] = {
    {SIGNOFF_SIGN_OFF, "op", 0, -1, SIGNOFF_DONE, RESTORED + 1, 0},
    {SIGNOFF_SIGN_OFF, "op", 0, RESTORED, SIGNOFF_DONE, RESTORED + 1, 0},
    {SIGNOFF_SIGN_OFF, "op", 0, 1, SIGNOFF_CONFLICT, 0, RESTORED},
    {SIGNOFF_SUPERSEDE, "op", 1, -1, SIGNOFF_DONE, RESTORED + 1, 0},
    {SIGNOFF_SUPERSEDE, "op", 3, -1, SIGNOFF_NOT_FOUND, 0, 0},
    {SIGNOFF_HALT, "op", RESTORED, -1, SIGNOFF_DONE, RESTORED, 0},
    {SIGNOFF_HALT, "op", 1, -1, SIGNOFF_CONFLICT, 0, RESTORED},
    {SIGNOFF_FIND, "restore", 0, -1, SIGNOFF_DONE, RESTORED, 0},
    {SIGNOFF_FIND, "base-1", 0, -1, SIGNOFF_DONE, 1, 0},
    {SIGNOFF_FIND, "op", 0, -1, SIGNOFF_NOT_FOUND, 0, 0},
};

/*
 * Failure guarded against: a restore leaves numbers out, and an operation that
 * searched the version rows for its id counted the missing ones as not read and
 * ended as unavailable.
 */
START_TEST(operations_succeed_on_a_restored_store)
{
	struct world *w = world_new((uint32_t)_i);
	const struct signoff_outcome *o;
	struct signoff_request req;

	restore_store(w);
	req = world_request(w, restored_cases[_i].kind, restored_cases[_i].op,
	    restored_cases[_i].kind == SIGNOFF_FIND ? "" : "anna");
	req.version = restored_cases[_i].version;
	req.has_parent = restored_cases[_i].parent >= 0;
	if (req.has_parent)
		req.parent = (uint64_t)restored_cases[_i].parent;
	req.known_seq = w->head.seq;
	o = world_run_operation(w, &req, 4);
	ck_assert_int_eq(o->result, restored_cases[_i].result);
	ck_assert_uint_eq(o->version, restored_cases[_i].done);
	ck_assert_uint_eq(o->winner_version, restored_cases[_i].winner_version);
	check_no_violation(w);
	world_free(w);
}
END_TEST

/**
 * struct restore_case - a restore by a node that holds nothing
 * @kind: kind of the operation; a sign-off is an operator's
 * @n_stored: versions that the copy has
 * @n_known: versions that were signed off
 */
struct restore_case {
	enum signoff_kind kind;
	uint32_t n_stored;
	uint32_t n_known;
};

static const struct restore_case restore_cases[] = {
    {SIGNOFF_SUPERSEDE, 1, 3},
    {SIGNOFF_SIGN_OFF, 1, 3},
    {SIGNOFF_SIGN_OFF, 0, 3},
    {SIGNOFF_SIGN_OFF, 3, 3},
};

/* Starts the restore with a fault at one of its requests. */
static void
check_restore(const struct restore_case *rc, uint32_t step, enum fault fault)
{
	const bool is_behind = rc->n_stored < rc->n_known;
	struct world *w = world_new(step);
	const struct signoff_outcome *o;
	struct signoff_request req;

	sign_off_versions(w, rc->n_stored);
	world_back_up(w);
	sign_off_versions(w, rc->n_known);
	req = request_for_version(w, rc->kind, "restore", "anna", 1);
	req.restores = rc->kind == SIGNOFF_SUPERSEDE;
	req.may_restore = !req.restores;
	req.known_seq = w->head.seq;
	req.known_version = w->head.version;
	world_restore(w);
	w->fault_at = w->n_requests + step;
	w->fault = fault;
	o = world_run_operation(w, &req, 4);
	ck_assert_int_eq(o->result, SIGNOFF_DONE);
	ck_assert_uint_eq(o->version,
	    rc->n_known + (is_behind ? SIGNOFF_RESTORE_GAP : 0) + 1);
	ck_assert_uint_eq(o->in_force, o->version);
	ck_assert_uint_eq(w->commits->len, rc->n_stored + 1);
	ck_assert_uint_eq(w->n_whole, is_behind ? 1 : 0);
	check_no_violation(w);
	world_free(w);
}

/* No node holds the version that was lost: the content that the copy has, or
 * what an operator signs off, comes into force above all known numbers. */
START_TEST(a_restore_needs_no_content_of_the_lost_version)
{
	const enum fault fault = (enum fault)(1 + _i % (FAULT_COUNT - 1));
	uint32_t step;

	for (step = 1; step <= STEPS; step++)
		check_restore(
		    &restore_cases[_i / (FAULT_COUNT - 1)], step, fault);
}
END_TEST

/* Outcome of each request on a platform with three versions. */
static const struct {
	enum signoff_kind kind;
	const char *op;
	uint64_t version;
	int parent; /* -1 for none */
	uint32_t variant;
	enum signoff_result result;
	uint64_t winner_version;
	const char *winner_operator;
} outcome_cases[] = {
    {SIGNOFF_SIGN_OFF, "op", 0, 3, 9, SIGNOFF_DONE, 0, ""},
    {SIGNOFF_SIGN_OFF, "op", 0, 2, 9, SIGNOFF_CONFLICT, 3, "anna"},
    {SIGNOFF_SIGN_OFF, "op", 0, 0, 9, SIGNOFF_CONFLICT, 1, "anna"},
    {SIGNOFF_SIGN_OFF, "op", 0, 4, 9, SIGNOFF_NOT_FOUND, 0, ""},
    {SIGNOFF_SIGN_OFF, "base-2", 0, 1, 2, SIGNOFF_DONE, 0, ""},
    {SIGNOFF_SIGN_OFF, "base-2", 0, -1, 2, SIGNOFF_DONE, 0, ""},
    {SIGNOFF_SIGN_OFF, "base-2", 0, -1, 9, SIGNOFF_INVALID, 0, ""},
    {SIGNOFF_SUPERSEDE, "op", 1, 3, 0, SIGNOFF_DONE, 0, ""},
    {SIGNOFF_SUPERSEDE, "op", 1, 2, 0, SIGNOFF_CONFLICT, 3, "anna"},
    {SIGNOFF_SUPERSEDE, "op", 4, -1, 0, SIGNOFF_NOT_FOUND, 0, ""},
    {SIGNOFF_SUPERSEDE, "base-1", 2, -1, 0, SIGNOFF_INVALID, 0, ""},
    {SIGNOFF_HALT, "op", 3, -1, 0, SIGNOFF_DONE, 0, ""},
    {SIGNOFF_HALT, "op", 1, -1, 0, SIGNOFF_CONFLICT, 2, "anna"},
    {SIGNOFF_HALT, "op", 4, -1, 0, SIGNOFF_NOT_FOUND, 0, ""},
    {SIGNOFF_HALT, "base-3", 3, -1, 0, SIGNOFF_INVALID, 0, ""},
    {SIGNOFF_FIND, "base-1", 0, -1, 0, SIGNOFF_DONE, 0, ""},
    {SIGNOFF_FIND, "op", 0, -1, 0, SIGNOFF_NOT_FOUND, 0, ""},
};

START_TEST(each_request_has_its_outcome)
{
	struct world *w = world_new(1);
	const struct signoff_outcome *o;
	struct signoff_request req;

	sign_off_versions(w, 3);
	req = request_for_version(w, outcome_cases[_i].kind,
	    outcome_cases[_i].op, "bjorn", outcome_cases[_i].version);
	req.has_parent = outcome_cases[_i].parent >= 0;
	req.parent = req.has_parent ? (uint64_t)outcome_cases[_i].parent : 0;
	o = world_run_operation(w, &req, outcome_cases[_i].variant);
	ck_assert_int_eq(o->result, outcome_cases[_i].result);
	ck_assert_uint_eq(o->winner_version, outcome_cases[_i].winner_version);
	ck_assert_str_eq(o->winner_operator, outcome_cases[_i].winner_operator);
	ck_assert(o->message[0] != '\0');
	check_no_violation(w);
	world_free(w);
}
END_TEST

/* A halt that is not the first reports the winner, also after newer versions; a
 * halt skips versions that were halted before. */
START_TEST(later_halt_reports_the_winner)
{
	struct world *w = world_new(1);
	const struct signoff_outcome *o;
	struct signoff_request req, first;

	sign_off_versions(w, 2);
	first = request_for_version(w, SIGNOFF_HALT, "stop-2", "bjorn", 2);
	ck_assert_int_eq(
	    world_run_operation(w, &first, 0)->result, SIGNOFF_DONE);
	req = request_for_version(w, SIGNOFF_HALT, "late-2", "carl", 2);
	o = world_run_operation(w, &req, 0);
	ck_assert_int_eq(o->result, SIGNOFF_ALREADY_HALTED);
	ck_assert_str_eq(o->winner_operator, "bjorn");
	sign_off_versions(w, 3);
	o = world_run_operation(w, &req, 0);
	ck_assert_int_eq(o->result, SIGNOFF_ALREADY_HALTED);
	ck_assert_str_eq(o->winner_operator, "bjorn");
	o = world_run_operation(w, &first, 0);
	ck_assert_int_eq(o->result, SIGNOFF_DONE);
	ck_assert(o->repeated);
	req = request_for_version(w, SIGNOFF_HALT, "stop-3", "bjorn", 3);
	ck_assert_uint_eq(world_run_operation(w, &req, 0)->in_force, 1);
	req = request_for_version(w, SIGNOFF_SUPERSEDE, "back", "carl", 1);
	o = world_run_operation(w, &req, 0);
	ck_assert_uint_eq(o->version, 4);
	ck_assert_uint_eq(o->in_force, 4);
	check_no_violation(w);
	world_free(w);
	/* The only version is halted: none is in force. */
	w = world_new(1);
	sign_off_versions(w, 1);
	req = request_for_version(w, SIGNOFF_HALT, "stop", "carl", 1);
	ck_assert_uint_eq(world_run_operation(w, &req, 0)->in_force, 0);
	sign_off_versions(w, 2);
	check_no_violation(w);
	world_free(w);
}
END_TEST

/* While the platform is down from the start, nothing is written. If it goes
 * down with the write, the outcome is unknown; once the platform is back and
 * another write has followed, SIGNOFF_FIND settles the outcome. */
START_TEST(unknown_outcome_is_settled_later)
{
	const bool written = _i % 2 != 0;
	const struct signoff_outcome *o;
	struct signoff_request req, find;
	struct world *w = world_new((uint32_t)_i);
	uint64_t after_seq;

	sign_off_versions(w, 1);
	w->down = true;
	req = sign_off_request(w, "op");
	req.fresh = true;
	o = world_run_operation(w, &req, 5);
	ck_assert_int_eq(o->result, SIGNOFF_UNAVAILABLE);
	ck_assert_uint_ge(w->now_ms, req.deadline_ms);
	ck_assert_uint_eq(w->commits->len, 1);
	/* The write's answer is lost, and no read succeeds after it. */
	w->down = false;
	w->fault_at = w->n_requests + WRITE_REQUEST;
	w->fault = written ? FAULT_LOST_ANSWER : FAULT_LOST_REQUEST;
	req = sign_off_request(w, "lost");
	req.fresh = true;
	req.deadline_ms = w->now_ms + SIGNOFF_REQUEST_TIMEOUT_MS;
	o = world_run_operation(w, &req, 5);
	ck_assert_int_eq(o->result, SIGNOFF_UNKNOWN);
	ck_assert_uint_eq(w->commits->len, written ? 2 : 1);
	after_seq = o->after_seq;
	ck_assert_uint_eq(after_seq, 1);
	find = world_request(w, SIGNOFF_FIND, "lost", "");
	find.after_seq = after_seq;
	o = world_run_operation(w, &find, 0);
	ck_assert_int_eq(o->result, written ? SIGNOFF_DONE : SIGNOFF_UNKNOWN);
	/* After another operation's write the outcome is certain either way. */
	sign_off_versions(w, written ? 3 : 2);
	find.deadline_ms = w->now_ms + SIGNOFF_REQUEST_TIMEOUT_MS;
	o = world_run_operation(w, &find, 0);
	ck_assert_int_eq(o->result, written ? SIGNOFF_DONE : SIGNOFF_NOT_FOUND);
	check_no_violation(w);
	world_free(w);
}
END_TEST

/* A write that the platform rejects as too large is reported at once. */
START_TEST(rejected_write_is_reported_at_once)
{
	struct world *w = world_new(1);
	const struct signoff_outcome *o;
	struct signoff_request req;

	sign_off_versions(w, 1);
	w->rejection = STATUS_TOO_LARGE;
	w->rejected_kind = _i == 0 ? SIGNOFF_PUT_OBJECT : SIGNOFF_TRANSACT;
	req = sign_off_request(w, "op");
	o = world_run_operation(w, &req, 5);
	ck_assert_int_eq(o->result, SIGNOFF_INVALID);
	ck_assert_uint_lt(w->now_ms, req.deadline_ms);
	check_no_violation(w);
	world_free(w);
}
END_TEST

/* Changes are not listed in the row if they are too many for it, or if the list
 * that they refer to is lost on the platform; then all sections are written. */
START_TEST(all_sections_are_written_without_a_list)
{
	struct world *w = world_new(1);
	struct signoff_request req;

	sign_off_versions(w, 1);
	ck_assert_uint_eq(w->n_whole, 0);
	if (_i == 0)
		g_hash_table_remove_all(w->objects);
	req = sign_off_request(w, "op");
	req.deadline_ms = DEADLINE_NEVER;
	ck_assert_int_eq(
	    world_run_operation(w, &req, _i == 0 ? 5 : WORLD_BUNDLE_MAX)
		->result,
	    SIGNOFF_DONE);
	ck_assert_uint_eq(w->n_whole, 1);
	check_no_violation(w);
	world_free(w);
}
END_TEST

/* A write is still in transit when the platform goes down: that a read did not
 * find it does not prove that it has no effect. */
START_TEST(write_in_transit_is_unknown)
{
	const struct signoff_outcome *o;
	struct world *w = world_new(1);
	struct signoff_request req;

	sign_off_versions(w, 1);
	w->fault_at = w->n_requests + WRITE_REQUEST;
	w->fault = FAULT_LATE;
	w->down_from = w->fault_at + 2;
	req = sign_off_request(w, "op");
	req.fresh = true;
	o = world_run_operation(w, &req, 5);
	ck_assert_int_eq(o->result, SIGNOFF_UNKNOWN);
	ck_assert_uint_eq(w->commits->len, 2);
	check_no_violation(w);
	world_free(w);
}
END_TEST

/* Invalid requests are rejected before anything is sent. */
START_TEST(invalid_requests_are_rejected)
{
	struct world *w = world_new(1);
	struct signoff_request req;
	struct signoff *r;

	req = world_request(w, SIGNOFF_HALT, "", "anna");
	req.version = 1;
	ck_assert_int_eq(signoff_new(&req, &r), STATUS_INVALID);
	req = world_request(w, SIGNOFF_HALT, "a/b", "anna");
	req.version = 1;
	ck_assert_int_eq(signoff_new(&req, &r), STATUS_INVALID);
	req = world_request(w, SIGNOFF_HALT, "op", "");
	req.version = 1;
	ck_assert_int_eq(signoff_new(&req, &r), STATUS_INVALID);
	req = world_request(w, SIGNOFF_HALT, "op", "anna");
	ck_assert_int_eq(signoff_new(&req, &r), STATUS_INVALID);
	req = world_request(w, SIGNOFF_SIGN_OFF, "op", "anna");
	ck_assert_int_eq(signoff_new(&req, &r), STATUS_INVALID);
	world_free(w);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("signoff");
	TCase *tc = tcase_create("signoff");

	tcase_add_loop_test(tc, an_older_head_row_is_not_built_on, 0, 3);
	tcase_add_loop_test(
	    tc, a_row_that_becomes_known_is_not_written_again, 0, 3);
	tcase_add_loop_test(tc, a_restore_needs_no_content_of_the_lost_version,
	    0, (int)G_N_ELEMENTS(restore_cases) * (FAULT_COUNT - 1));
	tcase_add_loop_test(tc, operations_succeed_on_a_restored_store, 0,
	    (int)G_N_ELEMENTS(restored_cases));
	tcase_add_loop_test(
	    tc, fault_at_any_request_is_survived, 0, 3 * (FAULT_COUNT - 1));
	tcase_add_loop_test(tc, each_request_has_its_outcome, 0,
	    (int)G_N_ELEMENTS(outcome_cases));
	tcase_add_test(tc, later_halt_reports_the_winner);
	tcase_add_loop_test(tc, unknown_outcome_is_settled_later, 0, 20);
	tcase_add_loop_test(tc, rejected_write_is_reported_at_once, 0, 2);
	tcase_add_loop_test(tc, all_sections_are_written_without_a_list, 0, 2);
	tcase_add_test(tc, write_in_transit_is_unknown);
	tcase_add_test(tc, invalid_requests_are_rejected);
	tcase_set_timeout(tc, 60);
	suite_add_tcase(suite, tc);
	return scenario_run(suite);
}
