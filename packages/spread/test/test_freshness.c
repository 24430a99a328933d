/*
 * Tests of confirmations that the configuration is the newest.
 */
#include <string.h>

#include <check.h>

#include "base/clock.h"
#include "membership/membership.h"
#include "spread/freshness.h"
#include "test_run.h"

static struct spread_env env;
static struct freshness f;

static void
start(void)
{
	memset(&env, 0, sizeof(env));
	env.out = outbox_new();
	freshness_init(&f, &env);
}

static void
stop(void)
{
	outbox_free(env.out);
}

static void
answer(uint32_t token, uint64_t seq, uint32_t age_ms)
{
	const struct msg_confirm_answer msg = {
	    .token = token, .seq = seq, .age_ms = age_ms};

	freshness_on_answer(&f, &msg);
}

/* A question that was sent at a time, without a table of peers. */
static void
asked(uint64_t at_ms)
{
	f.token++;
	f.asked_ms[f.token % FRESHNESS_ASKS] = at_ms;
}

START_TEST(read_confirms_what_was_accepted_before_it_began)
{
	freshness_set_held(&f, 3);
	ck_assert_uint_eq(f.confirmed_ms, 0);
	freshness_on_read(&f, 1000, 3);
	ck_assert_uint_eq(f.confirmed_ms, 1000);
	freshness_on_read(&f, 900, 3);
	ck_assert_uint_eq(f.confirmed_ms, 1000);
}
END_TEST

/* The newest version is known but not held: an earlier confirmation ages. */
START_TEST(known_version_confirms_once_it_is_held)
{
	freshness_set_held(&f, 3);
	freshness_on_read(&f, 1000, 3);
	freshness_on_read(&f, 2000, 4);
	ck_assert_uint_eq(f.confirmed_ms, 1000);
	freshness_set_held(&f, 4);
	ck_assert_uint_eq(f.confirmed_ms, 2000);
}
END_TEST

/* The answer may have waited while this node was frozen. */
START_TEST(late_answer_counts_from_its_question)
{
	freshness_set_held(&f, 3);
	asked(10000);
	answer(f.token, 3, 400);
	ck_assert_uint_eq(f.confirmed_ms, 9600);
	asked(90000);
	answer(f.token - 1, 3, 0);
	ck_assert_uint_eq(f.confirmed_ms, 10000);
}
END_TEST

START_TEST(answer_about_a_newer_head_confirms_nothing_yet)
{
	freshness_set_held(&f, 3);
	asked(10000);
	answer(f.token, 4, 0);
	ck_assert_uint_eq(f.confirmed_ms, 0);
	freshness_set_held(&f, 5);
	ck_assert_uint_eq(f.confirmed_ms, 10000);
}
END_TEST

START_TEST(answer_without_a_question_is_ignored)
{
	uint32_t i;

	freshness_set_held(&f, 3);
	answer(0, 3, 0);
	answer(1, 3, 0);
	answer(UINT32_MAX, 3, 0);
	ck_assert_uint_eq(f.confirmed_ms, 0);
	asked(5000);
	answer(f.token, 3, UINT32_MAX);
	answer(f.token, 0, 0);
	answer(f.token + 1, 3, 0);
	for (i = 0; i < FRESHNESS_ASKS; i++)
		asked(6000 + i);
	answer(f.token - FRESHNESS_ASKS, 3, 0);
	ck_assert_uint_eq(f.confirmed_ms, 0);
}
END_TEST

START_TEST(only_a_confirmed_node_answers)
{
	const struct msg_confirm_ask ask = {.token = 7};
	const struct net_addr from = {1, 1};
	struct msg_confirm_answer msg;
	struct outbox_item *item;

	freshness_set_held(&f, 3);
	freshness_on_ask(&f, 1000, &from, &ask);
	ck_assert_uint_eq(outbox_length(env.out), 0);
	freshness_on_read(&f, 800, 3);
	freshness_on_ask(&f, 1000, &from, &ask);
	item = outbox_pop(env.out);
	ck_assert_int_eq(
	    msg_confirm_answer_decode(item->body->data, item->body->len, &msg),
	    STATUS_OK);
	ck_assert_uint_eq(msg.token, 7);
	ck_assert_uint_eq(msg.seq, 3);
	ck_assert_uint_eq(msg.age_ms, 200);
	outbox_item_free(item);
}
END_TEST

START_TEST(nothing_is_asked_while_off)
{
	freshness_tick(&f, 1000000);
	ck_assert_uint_eq(freshness_next_ms(&f), DEADLINE_NEVER);
	freshness_set_within(&f, 5000);
	freshness_set_within(&f, 0);
	freshness_tick(&f, 1000000);
	ck_assert_uint_eq(f.token, 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("freshness");
	TCase *tc = tcase_create("freshness");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, read_confirms_what_was_accepted_before_it_began);
	tcase_add_test(tc, known_version_confirms_once_it_is_held);
	tcase_add_test(tc, late_answer_counts_from_its_question);
	tcase_add_test(tc, answer_about_a_newer_head_confirms_nothing_yet);
	tcase_add_test(tc, answer_without_a_question_is_ignored);
	tcase_add_test(tc, only_a_confirmed_node_answers);
	tcase_add_test(tc, nothing_is_asked_while_off);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
