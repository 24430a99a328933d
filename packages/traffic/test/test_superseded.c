/*
 * Tests of the time after which a request routed by an older version is
 * checked.
 */
#include <check.h>

#include "traffic/superseded.h"

#include "test_run.h"

#define GRACE_MS 2000

START_TEST(version_expires_after_its_grace_time)
{
	struct superseded s = {0};

	superseded_record(&s, 10, 1000);
	ck_assert(!superseded_is_expired(&s, 10, 9000, GRACE_MS));
	superseded_record(&s, 14, 5000);
	ck_assert(!superseded_is_expired(&s, 10, 6999, GRACE_MS));
	ck_assert(superseded_is_expired(&s, 10, 7000, GRACE_MS));
	ck_assert(!superseded_is_expired(&s, 14, 90000, GRACE_MS));
}
END_TEST

/* A further version doesn't extend the grace time. */
START_TEST(grace_time_starts_at_the_first_later_version)
{
	struct superseded s = {0};

	superseded_record(&s, 10, 1000);
	superseded_record(&s, 14, 5000);
	superseded_record(&s, 18, 6900);
	ck_assert(superseded_is_expired(&s, 10, 7000, GRACE_MS));
	ck_assert(!superseded_is_expired(&s, 14, 7000, GRACE_MS));
	ck_assert(superseded_is_expired(&s, 14, 8900, GRACE_MS));
}
END_TEST

/* A node that has just started, and a node that is behind another one. */
START_TEST(no_expiry_without_a_later_version)
{
	struct superseded s = {0};

	ck_assert(!superseded_is_expired(&s, 0, 1000, 0));
	ck_assert(!superseded_is_expired(&s, 10, 1000, 0));
	superseded_record(&s, 10, 1000);
	ck_assert(!superseded_is_expired(&s, 14, 90000, GRACE_MS));
}
END_TEST

START_TEST(repeated_version_is_ignored)
{
	struct superseded s = {0};

	superseded_record(&s, 10, 1000);
	superseded_record(&s, 10, 4000);
	ck_assert(superseded_is_expired(&s, 9, 3000, GRACE_MS));
	superseded_record(&s, 0, 5000);
	ck_assert(superseded_is_expired(&s, 9, 5000, GRACE_MS));
}
END_TEST

START_TEST(versions_outside_the_history_are_expired)
{
	struct superseded s = {0};
	uint64_t v;

	for (v = 1; v <= 3 * SUPERSEDED_MAX; v++)
		superseded_record(&s, v, 1000 * v);
	v = 3 * SUPERSEDED_MAX;
	ck_assert(superseded_is_expired(&s, 1, 1000 * v, GRACE_MS));
	ck_assert(superseded_is_expired(&s, v - 3, 1000 * v, GRACE_MS));
	ck_assert(!superseded_is_expired(&s, v - 2, 1000 * v, GRACE_MS));
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("superseded");
	TCase *tc = tcase_create("superseded");

	tcase_add_test(tc, version_expires_after_its_grace_time);
	tcase_add_test(tc, grace_time_starts_at_the_first_later_version);
	tcase_add_test(tc, no_expiry_without_a_later_version);
	tcase_add_test(tc, repeated_version_is_ignored);
	tcase_add_test(tc, versions_outside_the_history_are_expired);
	suite_add_tcase(s, tc);
	return test_run(s);
}
