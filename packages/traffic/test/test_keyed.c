/*
 * Idempotency keys at a home: decisions from its own records, queries of
 * earlier homes, and refusals.
 */
#include <stdlib.h>
#include <string.h>

#include <check.h>
#include <glib.h>

#include "traffic/keyed.h"

#include "test_run.h"

#define WINDOW_MS 1000
#define PROPAGATION_MS 200
#define OLD_MS (10 * WINDOW_MS)
#define SELF 1
#define OTHER 2
#define THIRD 3
#define KEYS_MAX 5

static const uint64_t both[] = {SELF, OTHER};
static const uint64_t three[] = {SELF, OTHER, THIRD};

static struct keyed *
keys_new(uint64_t self, bool claim, uint64_t created_ms)
{
	struct keyed_config cfg = {WINDOW_MS, PROPAGATION_MS, KEYS_MAX, claim};

	return keyed_new(&cfg, self, created_ms);
}

/* The n-th key with the given home among the endpoints. */
static struct key_id
key_at(uint64_t home, const uint64_t *endpoints, size_t n, int nth)
{
	struct key_id key;
	int i;

	for (i = 0;; i++) {
		key_id_make(&key, 7, &i, sizeof(i));
		if (keyed_home(&key, endpoints, n) == home && nth-- == 0)
			return key;
	}
}

static struct request_id
id_of(uint64_t sequence)
{
	struct request_id id;

	request_id_make(&id, 5, sequence, 1);
	return id;
}

static struct keyed_decision
offer(struct keyed *k, const struct key_id *key, uint64_t sequence,
    uint64_t now_ms)
{
	struct request_id id = id_of(sequence);
	struct keyed_decision d;

	keyed_offer(k, key, 99, &id, now_ms, &d);
	return d;
}

START_TEST(test_second_follows_first)
{
	struct keyed *k = keys_new(SELF, false, 0);
	struct key_id key = key_at(SELF, both, 2, 0);
	struct request_id first = id_of(1);
	struct keyed_decision d;

	keyed_set_view(k, both, 2, 0);
	ck_assert_int_eq(offer(k, &key, 1, OLD_MS).verdict, KEYED_RUN);
	d = offer(k, &key, 2, OLD_MS + 900);
	ck_assert_int_eq(d.verdict, KEYED_FOLLOW);
	ck_assert(request_id_equal(&d.first, &first));
	keyed_offer(k, &key, 98, &first, OLD_MS, &d);
	ck_assert_int_eq(d.verdict, KEYED_BODY_MISMATCH);
	/*
	 * The first request was refused and has not run: the next one may run.
	 */
	keyed_release(k, &key, &first, OLD_MS);
	ck_assert_int_eq(offer(k, &key, 3, OLD_MS).verdict, KEYED_RUN);
	/* A release by a request that doesn't own the key has no effect. */
	keyed_release(k, &key, &first, OLD_MS);
	ck_assert_int_eq(offer(k, &key, 4, OLD_MS).verdict, KEYED_FOLLOW);
	keyed_free(k);
}
END_TEST

START_TEST(test_not_home_and_bounds)
{
	struct keyed *k = keys_new(SELF, false, 0);
	struct request_id id;
	struct key_id key;
	int i;

	keyed_set_view(k, both, 2, 0);
	key = key_at(OTHER, both, 2, 0);
	ck_assert_int_eq(offer(k, &key, 1, OLD_MS).verdict, KEYED_NOT_HOME);
	for (i = 0; i <= KEYS_MAX; i++) {
		key = key_at(SELF, both, 2, i);
		ck_assert_int_eq(offer(k, &key, (uint64_t)i, OLD_MS).verdict,
		    i < KEYS_MAX ? KEYED_RUN : KEYED_FULL);
	}
	/* Keys of running requests are kept, keys of ended requests expire. */
	keyed_expire(k, OLD_MS + 5 * WINDOW_MS);
	ck_assert_uint_eq(keyed_count(k), KEYS_MAX);
	for (i = 0; i < KEYS_MAX; i++) {
		key = key_at(SELF, both, 2, i);
		id = id_of((uint64_t)i);
		keyed_ended(k, &key, &id, OLD_MS + 5 * WINDOW_MS);
	}
	keyed_expire(k, OLD_MS + 6 * WINDOW_MS);
	ck_assert_uint_eq(keyed_count(k), KEYS_MAX);
	keyed_expire(k, OLD_MS + 6 * WINDOW_MS + 1);
	ck_assert_uint_eq(keyed_count(k), 0);
	keyed_free(k);
}
END_TEST

/* The home moved to this endpoint: decision by the earlier home's answer. */
struct word_case {
	enum keyed_word word;
	enum keyed_verdict want;
	enum keyed_verdict next;
};

static const struct word_case word_cases[] = {
    {KEYED_WORD_FREE, KEYED_RUN, KEYED_FOLLOW},
    {KEYED_WORD_TAKEN, KEYED_UNSETTLED, KEYED_ASK_HOME},
    {KEYED_WORD_NONE, KEYED_UNSETTLED, KEYED_ASK_HOME},
};

START_TEST(test_home_moved)
{
	const struct word_case *wc = &word_cases[_i];
	struct keyed *k = keys_new(SELF, false, 0);
	struct key_id key = key_at(OTHER, both, 2, 0);
	struct request_id id = id_of(1);
	struct keyed_decision d;

	keyed_set_view(k, both, 2, 0);
	keyed_set_view(k, both, 1, OLD_MS);
	d = offer(k, &key, 1, OLD_MS + 500);
	ck_assert_int_eq(d.verdict, KEYED_ASK_HOME);
	ck_assert_uint_eq(d.ask, OTHER);
	ck_assert_int_eq(offer(k, &key, 2, OLD_MS + 500).verdict, KEYED_FOLLOW);
	keyed_home_answered(k, &key, &id, OTHER, wc->word, OLD_MS + 501, &d);
	ck_assert_int_eq(d.verdict, wc->want);
	ck_assert_int_eq(offer(k, &key, 3, OLD_MS + 502).verdict, wc->next);
	keyed_free(k);
}
END_TEST

/* After the window no earlier home is queried. */
START_TEST(test_home_moved_long_ago)
{
	struct keyed *k = keys_new(SELF, false, 0);
	struct key_id key = key_at(OTHER, both, 2, 0);

	keyed_set_view(k, both, 2, 0);
	keyed_set_view(k, both, 1, OLD_MS);
	ck_assert_int_eq(
	    offer(k, &key, 1, OLD_MS + WINDOW_MS + PROPAGATION_MS + 1).verdict,
	    KEYED_RUN);
	keyed_free(k);
}
END_TEST

/* A new process has no records from before its start. */
START_TEST(test_recently_started_home)
{
	struct keyed *k = keys_new(SELF, false, OLD_MS);
	struct key_id key = key_at(SELF, both, 2, 0);
	struct keyed_decision d;

	keyed_set_view(k, both, 1, OLD_MS);
	d = offer(k, &key, 1, OLD_MS + 1);
	ck_assert_int_eq(d.verdict, KEYED_UNSETTLED);
	keyed_set_view(k, both, 2, OLD_MS + 2);
	d = offer(k, &key, 2, OLD_MS + 3);
	ck_assert_int_eq(d.verdict, KEYED_ASK_HOME);
	ck_assert_uint_eq(d.ask, OTHER);
	d = offer(k, &key, 3, OLD_MS + WINDOW_MS + 1);
	ck_assert_int_eq(d.verdict, KEYED_FOLLOW);
	keyed_free(k);
}
END_TEST

/* Answer of an earlier home to the endpoint that is the home now. */
struct hand_over_case {
	const char *name;
	uint64_t created_ms;
	/* How long ago the view changes to {OTHER} alone; 0: never. */
	uint64_t moved_ms;
	uint64_t to_age_ms;
	bool ran;
	enum keyed_word want;
};

static const struct hand_over_case hand_over_cases[] = {
    {"key unknown, querying process is new", 0, 0, 100, false, KEYED_WORD_FREE},
    {"ran here", 0, 0, 100, true, KEYED_WORD_TAKEN},
    {"this process is younger than the window", OLD_MS - 500, 0, 100, false,
	KEYED_WORD_TAKEN},
    {"querying process was the home since", 0, 300, 400, false,
	KEYED_WORD_FREE},
    {"predecessor of the querying process was home", 0, 300, 200, false,
	KEYED_WORD_TAKEN},
};

START_TEST(test_hand_over)
{
	const struct hand_over_case *hc = &hand_over_cases[_i];
	struct keyed *k = keys_new(SELF, false, hc->created_ms);
	struct key_id key = key_at(SELF, both, 2, 0);
	enum keyed_word word;

	keyed_set_view(k, both, 2, hc->created_ms);
	if (hc->ran)
		(void)offer(k, &key, 1, OLD_MS - 10);
	if (hc->moved_ms != 0)
		keyed_set_view(k, &both[1], 1, OLD_MS - hc->moved_ms);
	word = keyed_hand_over(k, &key, OTHER, hc->to_age_ms, OLD_MS);
	ck_assert_msg(word == hc->want, "%s", hc->name);
	if (word != KEYED_WORD_FREE) {
		keyed_free(k);
		return;
	}
	/*
	 * The key is handed over: a request here requires a query of the new
	 * owner, and no other endpoint gets the key.
	 */
	keyed_set_view(k, both, 2, OLD_MS + 1);
	ck_assert_int_eq(offer(k, &key, 2, OLD_MS + 2).verdict, KEYED_ASK_HOME);
	ck_assert_int_eq(
	    keyed_hand_over(k, &key, THIRD, 100, OLD_MS + 3), KEYED_WORD_TAKEN);
	keyed_free(k);
}
END_TEST

START_TEST(test_hand_over_repeated)
{
	struct keyed *k = keys_new(SELF, false, 0);
	struct key_id key = key_at(SELF, three, 3, 0);

	keyed_set_view(k, three, 3, 0);
	ck_assert_int_eq(
	    keyed_hand_over(k, &key, OTHER, 100, OLD_MS), KEYED_WORD_FREE);
	ck_assert_int_eq(
	    keyed_hand_over(k, &key, OTHER, 100, OLD_MS + 1), KEYED_WORD_FREE);
	ck_assert_int_eq(
	    keyed_hand_over(k, &key, THIRD, 100, OLD_MS + 2), KEYED_WORD_TAKEN);
	/*
	 * A new process of the same endpoint: its predecessor may have run a
	 * request.
	 */
	ck_assert_int_eq(keyed_hand_over(k, &key, OTHER, 100, OLD_MS + 101),
	    KEYED_WORD_TAKEN);
	keyed_free(k);
}
END_TEST

START_TEST(test_claim)
{
	static const enum keyed_word words[] = {
	    KEYED_WORD_FREE, KEYED_WORD_TAKEN, KEYED_WORD_NONE};
	struct keyed *k = keys_new(SELF, true, OLD_MS);
	struct request_id id = id_of(1), stranger = id_of(2);
	struct keyed_decision d;
	struct key_id key;
	int i;

	keyed_set_view(k, both, 2, OLD_MS);
	for (i = 0; i < 3; i++) {
		key = key_at(SELF, both, 2, i);
		ck_assert_int_eq(
		    offer(k, &key, 1, OLD_MS + 1).verdict, KEYED_CLAIM);
		keyed_claimed(
		    k, &key, &stranger, KEYED_WORD_FREE, OLD_MS + 2, &d);
		ck_assert_int_eq(d.verdict, KEYED_UNSETTLED);
		keyed_claimed(k, &key, &id, words[i], OLD_MS + 2, &d);
		ck_assert_int_eq(
		    d.verdict, i == 0 ? KEYED_RUN : KEYED_UNSETTLED);
	}
	keyed_free(k);
}
END_TEST

int
main(void)
{
	Suite *suite;
	TCase *tc;

	suite = suite_create("keyed");
	tc = tcase_create("keyed");
	tcase_add_test(tc, test_second_follows_first);
	tcase_add_test(tc, test_not_home_and_bounds);
	tcase_add_loop_test(
	    tc, test_home_moved, 0, (int)G_N_ELEMENTS(word_cases));
	tcase_add_test(tc, test_home_moved_long_ago);
	tcase_add_test(tc, test_recently_started_home);
	tcase_add_loop_test(
	    tc, test_hand_over, 0, (int)G_N_ELEMENTS(hand_over_cases));
	tcase_add_test(tc, test_hand_over_repeated);
	tcase_add_test(tc, test_claim);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
