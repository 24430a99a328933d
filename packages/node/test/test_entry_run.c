/*
 * Which calls at the entry belong to the same run of an upstream.
 */
#include <check.h>
#include <glib.h>

#include "entry_run.h"
#include "test_run.h"

#define SEPARATOR '.'

/* Calls under the id of one request share its run, also one that is a call
 * itself; the run is forgotten with its last call. */
START_TEST(calls_of_one_request_share_a_run)
{
	GHashTable *t = entry_run_table();
	struct entry_run *a = entry_run_join(t, "65db.1", SEPARATOR);
	struct entry_run *b = entry_run_join(t, "65db.2", SEPARATOR);
	struct entry_run *nested = entry_run_join(t, "65db.1.7", SEPARATOR);

	ck_assert_ptr_nonnull(a);
	ck_assert_ptr_eq(a, b);
	ck_assert_ptr_ne(a, nested);
	entry_run_leave(a);
	run_calls_refused(&b->calls);
	ck_assert_ptr_eq(entry_run_join(t, "65db.3", SEPARATOR), b);
	ck_assert_uint_eq(b->calls.refused, 1);
	entry_run_leave(b);
	entry_run_leave(b);
	entry_run_leave(nested);
	ck_assert_uint_eq(g_hash_table_size(t), 0);
	g_hash_table_destroy(t);
}
END_TEST

START_TEST(id_without_separator_names_no_run)
{
	GHashTable *t = entry_run_table();

	ck_assert_ptr_null(entry_run_join(t, "65db", SEPARATOR));
	entry_run_leave(NULL);
	ck_assert_uint_eq(g_hash_table_size(t), 0);
	g_hash_table_destroy(t);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("entry_run");
	TCase *tc = tcase_create("entry_run");

	tcase_add_test(tc, calls_of_one_request_share_a_run);
	tcase_add_test(tc, id_without_separator_names_no_run);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
