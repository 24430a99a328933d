/*
 * When a request that was routed by an older version is checked again.
 */
#include <check.h>

#include "traffic/superseded.h"

#include "test_run.h"

#define WITHIN_MS 2000

START_TEST(a_version_has_its_time_after_a_later_one)
{
	struct superseded s = {0};

	superseded_record(&s, 10, 1000);
	ck_assert(!superseded_is_expired(&s, 10, 9000, WITHIN_MS));
	superseded_record(&s, 14, 5000);
	ck_assert(!superseded_is_expired(&s, 10, 6999, WITHIN_MS));
	ck_assert(superseded_is_expired(&s, 10, 7000, WITHIN_MS));
	ck_assert(!superseded_is_expired(&s, 14, 90000, WITHIN_MS));
}
END_TEST

/* A still later version doesn't give it more time. */
START_TEST(the_first_later_version_counts)
{
	struct superseded s = {0};

	superseded_record(&s, 10, 1000);
	superseded_record(&s, 14, 5000);
	superseded_record(&s, 18, 6900);
	ck_assert(superseded_is_expired(&s, 10, 7000, WITHIN_MS));
	ck_assert(!superseded_is_expired(&s, 14, 7000, WITHIN_MS));
	ck_assert(superseded_is_expired(&s, 14, 8900, WITHIN_MS));
}
END_TEST

/* A node that has just started, and one that another node is ahead of. */
START_TEST(nothing_is_over_without_a_later_version)
{
	struct superseded s = {0};

	ck_assert(!superseded_is_expired(&s, 0, 1000, 0));
	ck_assert(!superseded_is_expired(&s, 10, 1000, 0));
	superseded_record(&s, 10, 1000);
	ck_assert(!superseded_is_expired(&s, 14, 90000, WITHIN_MS));
}
END_TEST

START_TEST(the_same_version_again_changes_nothing)
{
	struct superseded s = {0};

	superseded_record(&s, 10, 1000);
	superseded_record(&s, 10, 4000);
	ck_assert(superseded_is_expired(&s, 9, 3000, WITHIN_MS));
	superseded_record(&s, 0, 5000);
	ck_assert(superseded_is_expired(&s, 9, 5000, WITHIN_MS));
}
END_TEST

START_TEST(versions_that_are_forgotten_are_over_no_later)
{
	struct superseded s = {0};
	uint64_t v;

	for (v = 1; v <= 3 * SUPERSEDED_MAX; v++)
		superseded_record(&s, v, 1000 * v);
	v = 3 * SUPERSEDED_MAX;
	ck_assert(superseded_is_expired(&s, 1, 1000 * v, WITHIN_MS));
	ck_assert(superseded_is_expired(&s, v - 3, 1000 * v, WITHIN_MS));
	ck_assert(!superseded_is_expired(&s, v - 2, 1000 * v, WITHIN_MS));
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("superseded");
	TCase *tc = tcase_create("superseded");

	tcase_add_test(tc, a_version_has_its_time_after_a_later_one);
	tcase_add_test(tc, the_first_later_version_counts);
	tcase_add_test(tc, nothing_is_over_without_a_later_version);
	tcase_add_test(tc, the_same_version_again_changes_nothing);
	tcase_add_test(tc, versions_that_are_forgotten_are_over_no_later);
	suite_add_tcase(s, tc);
	return test_run(s);
}
