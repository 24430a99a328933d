/*
 * Tests of the checker, which must find each violation in a set of calls and
 * runs and nothing else; of the files that it reads; and of the response check.
 */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <check.h>
#include <glib.h>
#include <glib/gstdio.h>

#include "standins/outcomes.h"
#include "standins/pattern.h"
#include "standins/reply.h"
#include "standins/departures.h"
#include "standins/run_check.h"
#include "standins/runs.h"

#include "test_run.h"

#define RULE_NONE RULE_COUNT
#define CASE_CALLS 2

/* Up to two calls a and b, the number of runs of each, and the violation. */
struct check_case {
	const char *label;
	enum call_kind kind;
	const char *key;
	enum reported_fate reported[CASE_CALLS];
	int n_calls;
	int runs[CASE_CALLS];
	enum response_check check;
	enum run_rule found;
};

static const char *const ids[CASE_CALLS] = {"a", "b"};

static const struct check_case check_cases[] = {
    {"done, ran once", CALL_BOOKING, "", {REPORTED_DONE}, 1, {1}, RESPONSE_OK,
	RULE_NONE},
    {"unknown, ran", CALL_BOOKING, "", {REPORTED_UNKNOWN}, 1, {1},
	RESPONSE_NONE, RULE_NONE},
    {"unknown, not run", CALL_UPLOAD, "", {REPORTED_UNKNOWN}, 1, {0},
	RESPONSE_CUT, RULE_NONE},
    {"not run", CALL_BOOKING, "", {REPORTED_NOT_RUN}, 1, {0}, RESPONSE_NONE,
	RULE_NONE},
    {"lookup ran twice", CALL_LOOKUP, "", {REPORTED_DONE}, 1, {2}, RESPONSE_OK,
	RULE_NONE},
    {"not_run but ran", CALL_BOOKING, "", {REPORTED_NOT_RUN}, 1, {1},
	RESPONSE_NONE, RULE_NOT_RUN_BUT_RAN},
    {"lookup too", CALL_LOOKUP, "", {REPORTED_NOT_RUN}, 1, {1}, RESPONSE_NONE,
	RULE_NOT_RUN_BUT_RAN},
    {"never sent but ran", CALL_BOOKING, "", {REPORTED_NOT_SENT}, 1, {1},
	RESPONSE_NONE, RULE_NOT_RUN_BUT_RAN},
    {"done but no run", CALL_LOOKUP, "", {REPORTED_DONE}, 1, {0}, RESPONSE_OK,
	RULE_DONE_BUT_NOT_RUN},
    {"done, ran twice", CALL_BOOKING, "", {REPORTED_DONE}, 1, {2}, RESPONSE_OK,
	RULE_RAN_TWICE},
    {"unknown, ran twice", CALL_UPLOAD, "", {REPORTED_UNKNOWN}, 1, {2},
	RESPONSE_NONE, RULE_RAN_TWICE},
    {"response to another call", CALL_LOOKUP, "", {REPORTED_DONE}, 1, {1},
	RESPONSE_NOT_OWN, RULE_BAD_RESPONSE},
    {"part of a response", CALL_LOOKUP, "", {REPORTED_DONE}, 1, {1},
	RESPONSE_NOT_WHOLE, RULE_BAD_RESPONSE},
    {"no fate reported", CALL_BOOKING, "", {REPORTED_UNKNOWN}, 1, {0},
	RESPONSE_NO_FATE, RULE_BAD_RESPONSE},
    {"run without a call", CALL_BOOKING, "", {REPORTED_DONE}, 1, {1, 1},
	RESPONSE_OK, RULE_RUN_WITHOUT_CALL},
    {"key: repeat gets the first response", CALL_BOOKING, "k",
	{REPORTED_DONE, REPORTED_DONE}, 2, {1, 0}, RESPONSE_OK, RULE_NONE},
    {"key: unknown, then done", CALL_BOOKING, "k",
	{REPORTED_UNKNOWN, REPORTED_DONE}, 2, {0, 1}, RESPONSE_NONE, RULE_NONE},
    {"key: both ran", CALL_BOOKING, "k", {REPORTED_UNKNOWN, REPORTED_DONE}, 2,
	{1, 1}, RESPONSE_NONE, RULE_KEY_RAN_TWICE},
    {"key: done, none ran", CALL_BOOKING, "k", {REPORTED_DONE, REPORTED_DONE},
	2, {0, 0}, RESPONSE_NONE, RULE_DONE_BUT_NOT_RUN},
    {"key: not_run, then done", CALL_BOOKING, "k",
	{REPORTED_NOT_RUN, REPORTED_DONE}, 2, {0, 1}, RESPONSE_NONE, RULE_NONE},
};

static void
check_case_fill(const struct check_case *p, GArray *calls, struct runs *r)
{
	int i, n;
	struct outcome o;
	struct run_ids names = {NULL, "r", NULL};

	for (i = 0; i < p->n_calls && i < CASE_CALLS; i++) {
		memset(&o, 0, sizeof(o));
		g_strlcpy(o.test_id, ids[i], sizeof(o.test_id));
		g_strlcpy(o.key, p->key, sizeof(o.key));
		o.kind = p->kind;
		o.reported = p->reported[i];
		o.check = p->check;
		g_array_append_val(calls, o);
	}
	for (i = 0; i < CASE_CALLS; i++) {
		names.test_id = ids[i];
		names.key = p->key;
		for (n = 0; n < p->runs[i]; n++)
			(void)runs_add(r, &names, 0);
	}
}

START_TEST(checker_finds_only_the_violation)
{
	const struct check_case *p = &check_cases[_i];
	GArray *calls = g_array_new(FALSE, FALSE, sizeof(struct outcome));
	GArray *found;
	struct runs *r;

	ck_assert_int_eq(runs_new("h", NULL, &r), STATUS_OK);
	check_case_fill(p, calls, r);
	found = run_check(calls, r);
	if (p->found == RULE_NONE) {
		ck_assert_msg(found->len == 0, "%s: %s", p->label,
		    run_rule_name(
			g_array_index(found, struct violation, 0).rule));
	} else {
		ck_assert_msg(found->len == 1, "%s: %u", p->label, found->len);
		ck_assert_msg(
		    g_array_index(found, struct violation, 0).rule == p->found,
		    "%s", p->label);
	}
	g_array_unref(found);
	g_array_unref(calls);
	runs_free(r);
}
END_TEST

START_TEST(checker_finds_a_call_listed_twice)
{
	GArray *calls = g_array_new(FALSE, FALSE, sizeof(struct outcome));
	GArray *found;
	struct outcome o;
	struct runs *r;

	ck_assert_int_eq(runs_new("h", NULL, &r), STATUS_OK);
	check_case_fill(&check_cases[0], calls, r);
	o = g_array_index(calls, struct outcome, 0);
	g_array_append_val(calls, o);
	found = run_check(calls, r);
	ck_assert_uint_eq(found->len, 1);
	ck_assert_int_eq(g_array_index(found, struct violation, 0).rule,
	    RULE_DUPLICATE_CALL);
	g_array_unref(found);
	g_array_unref(calls);
	runs_free(r);
}
END_TEST

#define LIMIT_MS 500

/* Runs of callers that left at 1000 ms: late begin, late end, in time, with a
 * key, and of a caller that stayed. */
static const char begins[] = "late\t-\t-\th1\t1600\n"
			     "long\t-\t-\th1\t900\n"
			     "intime\t-\t-\th1\t1400\n"
			     "keyed\t-\tk\th1\t1700\n"
			     "stayed\t-\t-\th1\t900\n"
			     "late\t-\t-\th1\t1";
static const char ends[] = "long\th1\t1501\n"
			   "intime\th1\t1500\n"
			   "keyed\th1\t3000\n"
			   "stayed\th1\t5000\n";

static void
add_departed(
    GArray *calls, const char *test_id, const char *key, uint64_t left_ms)
{
	struct outcome o = {.kind = CALL_BOOKING, .left_ms = left_ms};

	(void)g_strlcpy(o.test_id, test_id, sizeof(o.test_id));
	(void)g_strlcpy(o.key, key, sizeof(o.key));
	g_array_append_val(calls, o);
}

START_TEST(work_for_callers_that_left_is_found)
{
	char *dir = g_dir_make_tmp("bramley-XXXXXX", NULL);
	char *journal = g_build_filename(dir, "j", NULL);
	char *ends_path = g_strconcat(journal, RUNS_ENDS_SUFFIX, (char *)NULL);
	GArray *calls = g_array_new(FALSE, FALSE, sizeof(struct outcome));
	GArray *late = g_array_new(FALSE, FALSE, sizeof(struct late_work));
	const struct late_work *w;

	ck_assert(g_file_set_contents(journal, begins, -1, NULL));
	ck_assert(g_file_set_contents(ends_path, ends, -1, NULL));
	add_departed(calls, "late", "", 1000);
	add_departed(calls, "long", "", 1000);
	add_departed(calls, "intime", "", 1000);
	add_departed(calls, "keyed", "k", 1000);
	add_departed(calls, "stayed", "", 0);
	ck_assert_int_eq(
	    departures_check(calls, journal, LIMIT_MS, late), STATUS_OK);
	ck_assert_uint_eq(late->len, 2);
	w = &g_array_index(late, struct late_work, 0);
	ck_assert_str_eq(w->test_id, "late");
	ck_assert(w->began);
	w = &g_array_index(late, struct late_work, 1);
	ck_assert_str_eq(w->test_id, "long");
	ck_assert(!w->began);
	(void)remove(journal);
	(void)remove(ends_path);
	(void)remove(dir);
	g_array_unref(late);
	g_array_unref(calls);
	g_free(ends_path);
	g_free(journal);
	g_free(dir);
}
END_TEST

static char *
temp_file(void)
{
	char *path = g_strdup_printf("%s/bramley-XXXXXX", g_get_tmp_dir());
	int fd = g_mkstemp(path);

	ck_assert_int_ne(fd, -1);
	(void)close(fd);
	return path;
}

START_TEST(outcomes_survive_a_file_round_trip)
{
	char *path = temp_file();
	FILE *f = fopen(path, "w");
	GArray *copy = g_array_new(FALSE, FALSE, sizeof(struct outcome));
	struct outcome o = {"t1", "k1", CALL_UPLOAD, REPORTED_UNKNOWN,
	    RESPONSE_CUT, 504, 123, 456, 2, 789};

	outcomes_write(f, &o);
	o.key[0] = '\0';
	outcomes_write(f, &o);
	(void)fclose(f);
	ck_assert_int_eq(outcomes_read(path, copy), STATUS_OK);
	ck_assert_uint_eq(copy->len, 2);
	ck_assert_uint_eq(g_array_index(copy, struct outcome, 0).node, 2);
	ck_assert_uint_eq(g_array_index(copy, struct outcome, 0).left_ms, 789);
	ck_assert_mem_eq(
	    &g_array_index(copy, struct outcome, 1), &o, sizeof(o.test_id));
	ck_assert_int_eq(
	    g_array_index(copy, struct outcome, 0).reported, REPORTED_UNKNOWN);
	ck_assert_str_eq(g_array_index(copy, struct outcome, 0).key, "k1");
	ck_assert_str_eq(g_array_index(copy, struct outcome, 1).key, "");
	ck_assert(
	    g_file_set_contents(path, "t1\tlookup\t-\tmaybe\n", -1, NULL));
	ck_assert_int_eq(outcomes_read(path, copy), STATUS_INVALID);
	(void)g_unlink(path);
	g_free(path);
	g_array_unref(copy);
}
END_TEST

START_TEST(truncated_journal_is_read)
{
	char *path = temp_file();
	struct run_ids names = {"t1", "r1", "k1"};
	struct runs *r, *copy;
	FILE *f;

	ck_assert_int_eq(runs_new("h", path, &r), STATUS_OK);
	(void)runs_add(r, &names, 7);
	names.key = NULL;
	(void)runs_add(r, &names, 8);
	runs_free(r);
	f = fopen(path, "a");
	(void)fputs("t2\tr", f); /* truncated by a kill */
	(void)fclose(f);
	ck_assert_int_eq(runs_new("h", NULL, &copy), STATUS_OK);
	ck_assert_int_eq(runs_read_journal(copy, path), STATUS_OK);
	ck_assert_uint_eq(runs_of_test_id(copy, "t1"), 2);
	ck_assert_uint_eq(runs_of_key(copy, "k1"), 1);
	ck_assert_uint_eq(runs_of_test_id(copy, "t2"), 1);
	runs_free(copy);
	(void)g_unlink(path);
	g_free(path);
}
END_TEST

START_TEST(runs_survive_a_json_round_trip)
{
	json_t *j;
	struct run_ids names = {"t1", "r1", "k1"};
	struct runs *r, *copy;

	ck_assert_int_eq(runs_new("h", NULL, &r), STATUS_OK);
	(void)runs_add(r, &names, 7);
	j = runs_json(r);
	ck_assert_int_eq(runs_new("h", NULL, &copy), STATUS_OK);
	ck_assert_int_eq(runs_read_json(copy, j), STATUS_OK);
	ck_assert_int_eq(runs_read_json(copy, j), STATUS_OK);
	ck_assert_uint_eq(runs_of_test_id(copy, "t1"), 2);
	ck_assert_uint_eq(runs_of_key(copy, "k1"), 2);
	json_decref(j);
	j = json_array();
	ck_assert_int_eq(runs_read_json(copy, j), STATUS_INVALID);
	json_decref(j);
	runs_free(r);
	runs_free(copy);
}
END_TEST

/* Damage done to a valid response, and the result that the check must give. */
enum {
	DAMAGE_NONE,
	DAMAGE_OTHER_ID,
	DAMAGE_OTHER_ID_SAME_KEY,
	DAMAGE_TRUNCATED,
	DAMAGE_SWAPPED,
	DAMAGE_BODY_HASH,
	DAMAGE_KINDS,
};

static const enum response_check damage_results[DAMAGE_KINDS] = {RESPONSE_OK,
    RESPONSE_NOT_OWN, RESPONSE_OK, RESPONSE_NOT_WHOLE, RESPONSE_NOT_WHOLE,
    RESPONSE_NOT_WHOLE};

#define DAMAGE_PAD_BYTES 1000
#define DAMAGE_BLOCK_BYTES 64

START_TEST(response_check_detects_damage)
{
	char pad[DAMAGE_PAD_BYTES], swap[DAMAGE_BLOCK_BYTES];
	GString *line;
	size_t pad_len = sizeof(pad);
	struct pattern p = {pattern_seed("t1"), 0};
	struct reply r = {"h", "t1", "k1", 1, 5, 99, DAMAGE_PAD_BYTES};
	struct reply_reader rd;
	struct reply_expected w = {"t1", "", 5, 99, DAMAGE_PAD_BYTES};

	pattern_fill(&p, pad, sizeof(pad));
	if (_i == DAMAGE_OTHER_ID || _i == DAMAGE_OTHER_ID_SAME_KEY)
		w.test_id = "t2";
	if (_i == DAMAGE_OTHER_ID_SAME_KEY)
		w.key = "k1";
	if (_i == DAMAGE_TRUNCATED)
		pad_len -= 1;
	if (_i == DAMAGE_SWAPPED) {
		memcpy(swap, pad, sizeof(swap));
		memcpy(pad, pad + sizeof(swap), sizeof(swap));
		memcpy(pad + sizeof(swap), swap, sizeof(swap));
	}
	if (_i == DAMAGE_BODY_HASH)
		w.body_hash = 98;
	line = reply_line(&r);
	reply_reader_init(&rd);
	reply_reader_feed(&rd, line->str, 3);
	reply_reader_feed(&rd, line->str + 3, line->len - 3);
	reply_reader_feed(&rd, pad, pad_len);
	ck_assert_int_eq(reply_reader_check(&rd, &w), damage_results[_i]);
	reply_reader_clear(&rd);
	g_string_free(line, TRUE);
}
END_TEST

START_TEST(pattern_does_not_depend_on_chunks)
{
	struct pattern a = {42, 0}, b = {42, 0};
	uint8_t whole[100], parts[100];

	pattern_fill(&a, whole, sizeof(whole));
	pattern_fill(&b, parts, 3);
	pattern_fill(&b, parts + 3, 60);
	pattern_fill(&b, parts + 63, 37);
	ck_assert_mem_eq(whole, parts, sizeof(whole));
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("run_check");
	TCase *tc = tcase_create("run_check");

	tcase_add_loop_test(
	    tc, checker_finds_only_the_violation, 0, G_N_ELEMENTS(check_cases));
	tcase_add_test(tc, checker_finds_a_call_listed_twice);
	tcase_add_test(tc, outcomes_survive_a_file_round_trip);
	tcase_add_test(tc, work_for_callers_that_left_is_found);
	tcase_add_test(tc, truncated_journal_is_read);
	tcase_add_test(tc, runs_survive_a_json_round_trip);
	tcase_add_loop_test(tc, response_check_detects_damage, 0, DAMAGE_KINDS);
	tcase_add_test(tc, pattern_does_not_depend_on_chunks);
	suite_add_tcase(s, tc);
	return test_run(s);
}
