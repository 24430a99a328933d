/*
 * Tests of the base package.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <check.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/name_id.h"
#include "base/service_name.h"
#include "base/status.h"

#include "test_run.h"

/* More lines than fit into the writer's queue and a pipe. */
#define MANY_LINES 20000

START_TEST(status_keeps_last_message)
{
	ck_assert_int_eq(
	    status_set(STATUS_CONFLICT, "lost to %d", 7), STATUS_CONFLICT);
	ck_assert_str_eq(status_message(), "lost to 7");
	ck_assert_str_eq(status_name(STATUS_CONFLICT), "conflict");
}
END_TEST

START_TEST(digest_round_trip)
{
	char hex[DIGEST_HEX_BYTES];
	struct digest a, b;

	hash_digest("abc", 3, &a);
	hash_digest_hex(&a, hex);
	ck_assert_str_eq(hex,
	    "ba7816bf8f01cfea414140de5dae2223"
	    "b00361a396177a9cb410ff61f20015ad");
	ck_assert(hash_digest_parse(hex, &b));
	ck_assert(hash_digest_equal(&a, &b));
	ck_assert(!hash_digest_parse("xyz", &b));
}
END_TEST

static const char *const odd_names[] = {"a b", "a/b", "a\nb", "\"",
    "caf\xc3\xa9 x", "nnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnn",
    "a-b-c-d-.0123456789abcdefghijkl"};

/* Guards against a name that is cut short, or two names with one identifier. */
START_TEST(identifiers_of_long_and_odd_names_are_valid_and_differ)
{
	GHashTable *seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	char id[NAME_ID_BYTES], again[NAME_ID_BYTES], *name;
	size_t i, len;

	for (i = 0; i < sizeof(odd_names) / sizeof(odd_names[0]); i++) {
		(void)name_id(NAME_OF_SERVICE, odd_names[i], id);
		ck_assert(service_name_valid(id, strlen(id)));
		ck_assert_str_ne(id, odd_names[i]);
		ck_assert(g_hash_table_add(seen, g_strdup(id)));
		/* An identifier taken for a name is another name. */
		ck_assert_str_ne(name_id(NAME_OF_SERVICE, id, again), id);
	}
	for (len = 1; len <= 512; len++) {
		name = g_strnfill(len, 'x');
		(void)name_id(NAME_OF_HOST, name, id);
		ck_assert(g_hash_table_add(seen, g_strdup(id)));
		ck_assert((strcmp(id, name) == 0) == (len < NAME_ID_BYTES));
		ck_assert(name_id_is_name(NAME_OF_HOST, name) ==
		    (len < NAME_ID_BYTES));
		g_free(name);
	}
	ck_assert_str_eq(name_id(NAME_OF_SERVICE, "", id), "");
	g_hash_table_unref(seen);
}
END_TEST

/* Guards against a name that forges a line of the log. */
START_TEST(control_characters_in_log_lines_are_replaced)
{
	int fds[2], saved = dup(STDERR_FILENO);
	char text[256] = "";

	ck_assert_int_eq(pipe(fds), 0);
	ck_assert_int_ge(dup2(fds[1], STDERR_FILENO), 0);
	log_write(LOG_LEVEL_ERROR, "t", "name=%s", "a\nerror t: b\x7f\x1b");
	(void)fflush(stderr);
	ck_assert_int_ge(dup2(saved, STDERR_FILENO), 0);
	ck_assert_int_gt(read(fds[0], text, sizeof(text) - 1), 0);
	ck_assert_str_eq(text, "error t: name=a?error t: b??\n");
	(void)close(fds[0]);
	(void)close(fds[1]);
	(void)close(saved);
}
END_TEST

START_TEST(rendezvous_moves_only_keys_of_the_removed_candidate)
{
	const char *names[] = {"a", "b", "c", "d"};
	char key[16];
	int best, best3, i, k;

	for (k = 0; k < 100; k++) {
		(void)snprintf(key, sizeof(key), "key%d", k);
		best = best3 = 0;
		for (i = 1; i < 4; i++)
			if (hash_rendezvous(key, names[i]) >
			    hash_rendezvous(key, names[best]))
				best = i;
		for (i = 1; i < 3; i++)
			if (hash_rendezvous(key, names[i]) >
			    hash_rendezvous(key, names[best3]))
				best3 = i;
		ck_assert(best == 3 || best == best3);
	}
}
END_TEST

START_TEST(metrics_show_help_and_buckets)
{
	static struct metric c = {
	    "t_calls_total", "Calls.", METRIC_COUNTER, NULL, 0, {0}};
	static struct metric h = {
	    "t_wait_seconds", "Wait.", METRIC_HISTOGRAM, NULL, 0, {0}};
	GString *out = g_string_new(NULL);

	metric_register(&c);
	metric_register(&h);
	metric_add(&c, 3);
	metric_observe_us(&h, 100);
	metrics_render(out);
	ck_assert_ptr_nonnull(strstr(out->str, "# HELP t_calls_total Calls."));
	ck_assert_ptr_nonnull(strstr(out->str, "t_calls_total 3\n"));
	ck_assert_ptr_nonnull(strstr(out->str, "t_wait_seconds_count{} 1\n"));
	ck_assert_uint_eq(metric_quantile_us(&h, 0.99), 128);
	g_string_free(out, TRUE);
}
END_TEST

START_TEST(histogram_sums_keep_microseconds)
{
	static struct metric h = {
	    "t_long_seconds", "Wait.", METRIC_HISTOGRAM, NULL, 0, {0}};
	GString *out = g_string_new(NULL);

	metric_register(&h);
	metric_observe_us(&h, 1234567890);
	metric_observe_us(&h, 1);
	metrics_render(out);
	ck_assert_ptr_nonnull(
	    strstr(out->str, "t_long_seconds_sum{} 1234.567891\n"));
	g_string_free(out, TRUE);
}
END_TEST

/* Queues lines faster than the writer takes them.  Standard error is a pipe
 * that is not read. */
START_TEST(log_drops_and_counts_lines_when_the_queue_is_full)
{
	GString *out = g_string_new(NULL);
	char want[64];
	int fds[2], i;
	int saved = dup(STDERR_FILENO);

	(void)signal(SIGPIPE, SIG_IGN);
	ck_assert_int_eq(pipe(fds), 0);
	(void)dup2(fds[1], STDERR_FILENO);
	log_start(LOG_LEVEL_INFO, "h");
	for (i = 0; i < MANY_LINES; i++)
		log_write(LOG_LEVEL_INFO, "test", "line %d", i);
	metrics_render(out);
	(void)snprintf(want, sizeof(want), "bramley_log_dropped_total %llu\n",
	    (unsigned long long)log_dropped());
	(void)close(fds[0]);
	log_stop();
	(void)dup2(saved, STDERR_FILENO);
	ck_assert_uint_gt(log_dropped(), 0);
	ck_assert_ptr_nonnull(strstr(out->str, want));
	g_string_free(out, TRUE);
}
END_TEST

START_TEST(log_level_names)
{
	enum log_level level;

	ck_assert_int_eq(log_level_from_name("warning", &level), STATUS_OK);
	ck_assert_int_eq(level, LOG_LEVEL_WARNING);
	ck_assert_int_eq(log_level_from_name("loud", &level), STATUS_INVALID);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("base");
	TCase *tc = tcase_create("base");

	tcase_add_test(tc, status_keeps_last_message);
	tcase_add_test(tc, digest_round_trip);
	tcase_add_test(
	    tc, identifiers_of_long_and_odd_names_are_valid_and_differ);
	tcase_add_test(tc, control_characters_in_log_lines_are_replaced);
	tcase_add_test(tc, rendezvous_moves_only_keys_of_the_removed_candidate);
	tcase_add_test(tc, metrics_show_help_and_buckets);
	tcase_add_test(tc, histogram_sums_keep_microseconds);
	tcase_add_test(tc, log_drops_and_counts_lines_when_the_queue_is_full);
	tcase_add_test(tc, log_level_names);
	suite_add_tcase(s, tc);
	return test_run(s);
}
