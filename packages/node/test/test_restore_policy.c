/*
 * Tests of the choice of the content that restores the product's own store.
 *
 * Failure guarded against: a version that no node held was lost with the store,
 * and all nodes waited for it and refused operations.
 */
#include <check.h>
#include <glib.h>

#include "restore_policy.h"
#include "test_run.h"

#define KNOWN_SEQ 7
#define KNOWN 3
#define STORED 2

/* Findings within which a store is restored whatever nodes hold. */
#define FINDINGS_MAX 10

/* Number of findings until the choice, 0 if there is none. */
static uint32_t
findings_until(enum restore_choice choice, uint64_t held, uint64_t stored)
{
	struct restore_finding f = {KNOWN_SEQ, KNOWN, held, stored};
	struct restore_policy p = {0};
	uint32_t n;

	for (n = 1; n <= FINDINGS_MAX; n++)
		if (restore_policy_choose(&p, &f) == choice)
			return n;
	return 0;
}

START_TEST(the_version_in_force_is_signed_off_at_once)
{
	ck_assert_uint_eq(findings_until(RESTORE_HELD, KNOWN, STORED), 1);
}
END_TEST

/* Nodes that hold less wait longer. */
START_TEST(a_version_that_no_node_holds_is_replaced)
{
	uint32_t held = findings_until(RESTORE_HELD, STORED, STORED);
	uint32_t stored = findings_until(RESTORE_STORED, 0, STORED);

	ck_assert_uint_gt(held, 1);
	ck_assert_uint_gt(stored, held);
	ck_assert_uint_eq(findings_until(RESTORE_STORED, STORED, STORED), 0);
}
END_TEST

/* With another head row the wait starts again. */
START_TEST(a_newer_head_row_restarts_the_wait)
{
	struct restore_finding f = {KNOWN_SEQ, KNOWN, 0, STORED};
	struct restore_policy p = {0};
	uint32_t i, n = findings_until(RESTORE_STORED, 0, STORED);

	for (i = 1; i < n; i++)
		ck_assert_int_eq(restore_policy_choose(&p, &f), RESTORE_WAIT);
	f.known_seq++;
	for (i = 1; i < n; i++)
		ck_assert_int_eq(restore_policy_choose(&p, &f), RESTORE_WAIT);
	ck_assert_int_eq(restore_policy_choose(&p, &f), RESTORE_STORED);
}
END_TEST

/* Where nothing is left, only an operator can bring a version. */
START_TEST(a_store_without_versions_waits_for_a_sign_off)
{
	ck_assert_uint_eq(findings_until(RESTORE_STORED, 0, 0), 0);
	ck_assert_uint_eq(findings_until(RESTORE_HELD, 0, 0), 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("restore_policy");
	TCase *tc = tcase_create("restore_policy");

	tcase_add_test(tc, the_version_in_force_is_signed_off_at_once);
	tcase_add_test(tc, a_version_that_no_node_holds_is_replaced);
	tcase_add_test(tc, a_newer_head_row_restarts_the_wait);
	tcase_add_test(tc, a_store_without_versions_waits_for_a_sign_off);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
