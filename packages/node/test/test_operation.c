/*
 * Operations on the platform's rows whose requests are answered late.
 */
#include <stdbool.h>
#include <string.h>

#include <check.h>
#include <glib.h>

#include "base/clock.h"
#include "node/operation.h"
#include "test_run.h"

#define DEADLINE_MS 50
/* Longer than an operation takes to end, however slow the machine is. */
#define WAIT_MS 10000
#define TURN_MS 5

/** struct late_store - a store that keeps the first read of the head row until
 * the test answers it
 * @store: with the vtable
 * @fn: its function, NULL while nothing is kept
 * @arg: argument of @fn
 */
struct late_store {
	struct store store;
	store_head_fn *fn;
	void *arg;
};

/** struct run - what the operation has called
 * @has_ended: the result was passed
 * @late_calls: number of calls after that
 */
struct run {
	bool has_ended;
	uint32_t late_calls;
};

static void
keep_read(struct store *s, uint64_t deadline_ms, store_head_fn *fn, void *arg)
{
	struct late_store *l = (struct late_store *)s;

	(void)deadline_ms;
	l->fn = fn;
	l->arg = arg;
}

static const struct store_ops late_ops = {.read_head = keep_read};

static void
on_known(uint64_t *seq, uint64_t *version, void *arg)
{
	struct run *r = arg;

	r->late_calls += r->has_ended;
	*seq = 0;
	*version = 0;
}

static void
on_end(const struct operation_end *end, void *arg)
{
	struct run *r = arg;

	(void)end;
	r->has_ended = true;
}

static void
run_until_ended(struct loop *loop, const struct run *r)
{
	uint64_t end_ms = clock_now_ms() + WAIT_MS;

	while (!r->has_ended && clock_now_ms() < end_ms)
		loop_run_once(loop, clock_now_ms() + TURN_MS);
}

/* Guards against a node that crashes when the store answers a request after its
 * operation has ended, by which its result's receiver is gone. */
START_TEST(late_answer_reaches_no_receiver_of_an_ended_operation)
{
	struct late_store l = {.store = {&late_ops}};
	struct loop *loop = loop_new();
	struct signoff_request req = {.kind = SIGNOFF_FIND, .op = "o1"};
	struct run r = {0};

	req.deadline_ms = clock_now_ms() + DEADLINE_MS;
	ck_assert_int_eq(
	    operation_start(loop, &l.store, &req, NULL, on_known, on_end, &r),
	    STATUS_OK);
	run_until_ended(loop, &r);
	ck_assert(r.has_ended);
	ck_assert_ptr_nonnull(l.fn);
	l.fn(STATUS_UNAVAILABLE, NULL, l.arg);
	ck_assert_uint_eq(r.late_calls, 0);
	loop_free(loop);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("operation");
	TCase *tc = tcase_create("operation");

	tcase_add_test(
	    tc, late_answer_reaches_no_receiver_of_an_ended_operation);
	suite_add_tcase(s, tc);
	return test_run(s);
}
