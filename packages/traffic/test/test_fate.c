/*
 * Fate table of a guard and the age of frames: a resolve at each state of a
 * request, and frames that arrive late, twice or after a restart.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "traffic/fate.h"
#include "traffic/frame_age.h"

#include "test_run.h"

#define WINDOW_MS 10000
#define INCARNATION 7
#define NOW_MS 50000

static const struct fate_waiter first_waiter = {1, 1};
static const struct fate_waiter second_waiter = {2, 9};

static struct fate_table *
table_new(size_t records_max, size_t answers_max)
{
	struct fate_config cfg = {.incarnation = INCARNATION,
	    .window_ms = WINDOW_MS,
	    .records_max = records_max,
	    .answers_max_bytes = answers_max,
	    .answer_max_bytes = 100};

	return fate_table_new(&cfg);
}

static struct request_id
id_of(uint64_t sequence)
{
	struct request_id id;

	request_id_make(&id, 0xabcdef, sequence, 1);
	return id;
}

/* State of the request before the resolve. */
enum step {
	NOTHING = 0,
	QUEUED,
	RUNNING,
	DONE,
	DONE_LARGE,
	FAILED,
	REFUSED,
	ACKNOWLEDGED,
};

static void
advance_to(struct fate_table *t, const struct request_id *id, enum step step)
{
	char large[101] = {0};
	GBytes *answer;

	if (step == NOTHING)
		return;
	ck_assert_int_eq(
	    fate_offer(t, id, NOW_MS, &first_waiter, NOW_MS), FATE_OFFER_NEW);
	if (step == REFUSED)
		fate_refused(t, id, NOW_MS);
	if (step == QUEUED || step == REFUSED)
		return;
	ck_assert(fate_start(t, id, NOW_MS));
	if (step == FAILED)
		fate_failed(t, id, NOW_MS);
	if (step == RUNNING || step == FAILED)
		return;
	answer = g_bytes_new(large, step == DONE_LARGE ? sizeof(large) : 5);
	fate_done(t, id, answer, NOW_MS);
	g_bytes_unref(answer);
	if (step == ACKNOWLEDGED)
		fate_acknowledged(t, id);
}

struct resolve_case {
	enum step step;
	bool cancel;
	uint64_t incarnation;
	enum resolution want;
	/*
	 * Expected afterwards: the result for the same frame, and whether the
	 * request may still start.
	 */
	enum fate_offer again;
	bool starts;
};

static const struct resolve_case resolve_cases[] = {
    {NOTHING, false, 7, RESOLUTION_NOT_RUN, FATE_OFFER_NOT_RUN, false},
    {NOTHING, true, 7, RESOLUTION_NOT_RUN, FATE_OFFER_NOT_RUN, false},
    {NOTHING, false, 6, RESOLUTION_UNKNOWN, FATE_OFFER_NEW, true},
    {QUEUED, false, 7, RESOLUTION_ATTACHED, FATE_OFFER_DUPLICATE, true},
    {QUEUED, true, 7, RESOLUTION_NOT_RUN, FATE_OFFER_NOT_RUN, false},
    {RUNNING, false, 7, RESOLUTION_ATTACHED, FATE_OFFER_DUPLICATE, false},
    {RUNNING, true, 7, RESOLUTION_ATTACHED, FATE_OFFER_DUPLICATE, false},
    {DONE, false, 7, RESOLUTION_ANSWER, FATE_OFFER_DUPLICATE, false},
    {DONE_LARGE, false, 7, RESOLUTION_LOST, FATE_OFFER_DUPLICATE, false},
    {FAILED, false, 7, RESOLUTION_LOST, FATE_OFFER_DUPLICATE, false},
    {REFUSED, false, 7, RESOLUTION_NOT_RUN, FATE_OFFER_NOT_RUN, false},
    {ACKNOWLEDGED, false, 7, RESOLUTION_LOST, FATE_OFFER_DUPLICATE, false},
};

START_TEST(test_resolve)
{
	const struct resolve_case *rc = &resolve_cases[_i];
	struct fate_table *t = table_new(10, 1000);
	struct request_id id = id_of(1);
	struct fate_query q = {.id = id,
	    .incarnation = rc->incarnation,
	    .sent_ms = NOW_MS,
	    .cancel = rc->cancel,
	    .waiter = second_waiter};
	struct fate_answer a;

	advance_to(t, &id, rc->step);
	fate_resolve(t, &q, NOW_MS + 1, &a);
	ck_assert_int_eq(a.resolution, rc->want);
	ck_assert(a.cancelled == (rc->step == QUEUED && rc->cancel));
	ck_assert((a.answer != NULL) == (rc->want == RESOLUTION_ANSWER));
	if (a.answer != NULL)
		g_bytes_unref(a.answer);
	ck_assert_int_eq(
	    fate_offer(t, &id, NOW_MS, &first_waiter, NOW_MS + 2), rc->again);
	ck_assert(fate_start(t, &id, NOW_MS + 2) == rc->starts);
	fate_table_free(t);
}
END_TEST

START_TEST(test_answer_goes_to_the_last_waiter)
{
	struct fate_table *t = table_new(10, 1000);
	struct request_id id = id_of(1);
	struct fate_query q = {.id = id,
	    .incarnation = INCARNATION,
	    .sent_ms = NOW_MS,
	    .waiter = second_waiter};
	const struct fate_waiter *w;
	struct fate_answer a;
	size_t n;

	advance_to(t, &id, RUNNING);
	fate_resolve(t, &q, NOW_MS, &a);
	fate_resolve(t, &q, NOW_MS, &a);
	fate_connection_lost(t, first_waiter.conn);
	fate_done(t, &id, NULL, NOW_MS);
	w = fate_waiters(t, &id, &n);
	ck_assert_uint_eq(n, 1);
	ck_assert_uint_eq(w[0].conn, second_waiter.conn);
	ck_assert_uint_eq(w[0].stream, second_waiter.stream);
	fate_table_free(t);
}
END_TEST

/*
 * With a repeated idempotency key the second request shares the fate of the
 * first.
 */
START_TEST(test_follow)
{
	struct fate_table *t = table_new(10, 1000);
	struct request_id first = id_of(1), second = id_of(2);
	struct fate_query q = {.id = second,
	    .incarnation = INCARNATION,
	    .sent_ms = NOW_MS,
	    .cancel = true,
	    .waiter = {3, 3}};
	struct fate_answer a;
	size_t n;

	advance_to(t, &first, QUEUED);
	ck_assert_int_eq(fate_offer(t, &second, NOW_MS, &second_waiter, NOW_MS),
	    FATE_OFFER_NEW);
	fate_follow(t, &second, &first, NOW_MS, &a);
	ck_assert_int_eq(a.resolution, RESOLUTION_ATTACHED);
	ck_assert(!fate_start(t, &second, NOW_MS));
	/* A cancelled follower doesn't cancel the first request. */
	fate_resolve(t, &q, NOW_MS, &a);
	ck_assert_int_eq(a.resolution, RESOLUTION_ATTACHED);
	(void)fate_waiters(t, &first, &n);
	ck_assert_uint_eq(n, 3);
	fate_refused(t, &first, NOW_MS);
	fate_resolve(t, &q, NOW_MS, &a);
	ck_assert_int_eq(a.resolution, RESOLUTION_NOT_RUN);
	fate_table_free(t);
}
END_TEST

/* A frame that arrives after the removal of its record is too old to run. */
START_TEST(test_request_without_record_is_too_old)
{
	struct fate_table *t = table_new(10, 1000);
	struct request_id ids[2] = {id_of(1), id_of(2)};
	struct fate_query q = {
	    .id = ids[0], .incarnation = INCARNATION, .sent_ms = NOW_MS};
	uint64_t later = NOW_MS + 2 * WINDOW_MS;
	struct fate_answer a;
	int i;

	fate_resolve(t, &q, NOW_MS, &a);
	advance_to(t, &ids[1], DONE);
	fate_expire(t, later);
	ck_assert_uint_eq(fate_count(t), 0);
	for (i = 0; i < 2; i++) {
		ck_assert_int_eq(
		    fate_offer(t, &ids[i], NOW_MS, &first_waiter, later),
		    FATE_OFFER_TOO_OLD);
		q.id = ids[i];
		fate_resolve(t, &q, later, &a);
		ck_assert_int_eq(a.resolution, RESOLUTION_UNKNOWN);
	}
	fate_table_free(t);
}
END_TEST

/* The same when a full table removes a record before the end of the window. */
START_TEST(test_full_table_refuses_older_requests)
{
	struct fate_table *t = table_new(3, 1000);
	struct request_id id = id_of(0), other;
	uint64_t i;

	advance_to(t, &id, DONE);
	for (i = 1; i < 4; i++) {
		other = id_of(i);
		ck_assert_int_eq(fate_offer(t, &other, NOW_MS + i,
				     &first_waiter, NOW_MS + i),
		    FATE_OFFER_NEW);
		ck_assert(fate_start(t, &other, NOW_MS + i));
		fate_done(t, &other, NULL, NOW_MS + i);
	}
	ck_assert_uint_eq(fate_count(t), 3);
	ck_assert_int_eq(fate_offer(t, &id, NOW_MS, &first_waiter, NOW_MS + 9),
	    FATE_OFFER_TOO_OLD);
	ck_assert_int_eq(
	    fate_offer(t, &id, NOW_MS + 8, &first_waiter, NOW_MS + 9),
	    FATE_OFFER_NEW);
	fate_table_free(t);
}
END_TEST

START_TEST(test_answers_are_bounded)
{
	struct fate_table *t = table_new(100, 250);
	struct request_id id;
	GBytes *answer;
	uint64_t i;

	answer = g_bytes_new("0123456789012345678901234567890123456789", 40);
	for (i = 0; i < 50; i++) {
		id = id_of(i);
		advance_to(t, &id, RUNNING);
		fate_done(t, &id, answer, NOW_MS);
		ck_assert_uint_le(fate_answers_bytes(t), 250);
	}
	ck_assert_uint_eq(fate_answers_bytes(t), 240);
	fate_acknowledged(t, &id);
	ck_assert_uint_eq(fate_answers_bytes(t), 200);
	g_bytes_unref(answer);
	fate_table_free(t);
}
END_TEST

/*
 * A process that was paused reads frames late, and their age must include the
 * pause.
 */
struct age_case {
	const char *name;
	/*
	 * Real times at which the hello was stamped, the echo stamped, the
	 * echo read, the frame sent and the frame read.  The peer's clock is
	 * ahead by 900,000 ms.
	 */
	uint64_t hello_ms, echo_ms, read_ms, sent_ms, now_ms;
	uint64_t least_ms, most_ms;
};

static const struct age_case age_cases[] = {
    {"quick", 100, 101, 102, 200, 201, 1, 2},
    {"receiver paused before reading", 100, 101, 102, 200, 9200, 9000, 9001},
    {"receiver paused before reading the echo", 100, 101, 7000, 200, 7000, 6800,
	6801},
    {"sender paused before the echo", 100, 5101, 5102, 5200, 5201, 1, 5002},
    {"first frame with the echo", 100, 101, 4000, 101, 4000, 3899, 3900},
};

START_TEST(test_frame_age)
{
	const struct age_case *ac = &age_cases[_i];
	const uint64_t ahead = 900000;
	struct frame_age f;
	uint64_t age;

	frame_age_init(&f);
	ck_assert_uint_eq(frame_age_sent_ms(&f, 5, 10), 0);
	frame_age_echo(&f, ac->hello_ms, ac->echo_ms + ahead, ac->read_ms);
	age =
	    ac->now_ms - frame_age_sent_ms(&f, ac->sent_ms + ahead, ac->now_ms);
	ck_assert_msg(age >= ac->least_ms && age <= ac->most_ms, "%s: %lu",
	    ac->name, (unsigned long)age);
	ck_assert_uint_eq(
	    frame_age_deadline_ms(&f, ac->sent_ms + ahead, 50, ac->now_ms),
	    ac->now_ms - age + 50);
}
END_TEST

/* With drifting clocks, old offsets must not make frames look younger. */
START_TEST(test_frame_age_drift)
{
	struct frame_age f;
	uint64_t now, peer, sent;

	frame_age_init(&f);
	for (now = 1000; now < 5000000; now += 10000) {
		peer = now - now / 10000;
		frame_age_echo(&f, now - 2, peer, now);
		sent = frame_age_sent_ms(&f, peer, now);
		ck_assert_uint_le(sent, now);
		ck_assert_uint_ge(sent, now - 20);
	}
}
END_TEST

/* Frames that keep echoing an old hello don't make the others look older. */
START_TEST(test_frame_age_old_echo)
{
	struct frame_age f;
	uint64_t now;

	frame_age_init(&f);
	for (now = 1000; now < 500000; now += 1000)
		frame_age_echo(&f, 1000, now, now);
	ck_assert_uint_eq(frame_age_sent_ms(&f, now, now), now);
}
END_TEST

int
main(void)
{
	Suite *suite;
	TCase *tc;

	suite = suite_create("fate");
	tc = tcase_create("fate");
	tcase_add_loop_test(
	    tc, test_resolve, 0, (int)G_N_ELEMENTS(resolve_cases));
	tcase_add_test(tc, test_answer_goes_to_the_last_waiter);
	tcase_add_test(tc, test_follow);
	tcase_add_test(tc, test_request_without_record_is_too_old);
	tcase_add_test(tc, test_full_table_refuses_older_requests);
	tcase_add_test(tc, test_answers_are_bounded);
	tcase_add_loop_test(
	    tc, test_frame_age, 0, (int)G_N_ELEMENTS(age_cases));
	tcase_add_test(tc, test_frame_age_drift);
	tcase_add_test(tc, test_frame_age_old_echo);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
