/*
 * Tests of the usage of customers: counts by period, bounded memory.
 */
#include <check.h>

#include "quota/usage.h"

#include "test_run.h"

#define CUSTOMER 7
#define PERIOD QUOTA_USAGE_PERIOD_MS

static void
count(struct quota_usage *u, uint64_t customer, uint32_t requests,
    uint32_t limited, uint64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < requests; i++)
		quota_usage_request(u, customer, now_ms);
	for (i = 0; i < limited; i++)
		quota_usage_limited(u, customer, now_ms);
}

static void
assert_use(
    struct quota_usage *u, uint64_t now_ms, uint32_t requests, uint32_t limited)
{
	struct quota_use use = quota_usage_read(u, CUSTOMER, now_ms);

	ck_assert_uint_eq(use.requests, requests);
	ck_assert_uint_eq(use.limited, limited);
}

START_TEST(use_of_the_last_complete_period_is_read)
{
	struct quota_usage *u = quota_usage_new();

	assert_use(u, 0, 0, 0);
	count(u, CUSTOMER, 9, 4, PERIOD);
	count(u, CUSTOMER + 1, 1, 1, PERIOD);
	assert_use(u, 2 * PERIOD - 1, 0, 0);
	assert_use(u, 2 * PERIOD, 9, 4);
	count(u, CUSTOMER, 2, 0, 2 * PERIOD);
	assert_use(u, 3 * PERIOD - 1, 9, 4);
	assert_use(u, 3 * PERIOD, 2, 0);
	assert_use(u, 4 * PERIOD, 0, 0);
	quota_usage_free(u);
}
END_TEST

START_TEST(a_period_without_requests_counts_as_none)
{
	struct quota_usage *u = quota_usage_new();

	count(u, CUSTOMER, 9, 4, PERIOD);
	count(u, CUSTOMER, 1, 0, 3 * PERIOD);
	assert_use(u, 3 * PERIOD, 0, 0);
	assert_use(u, 4 * PERIOD, 1, 0);
	quota_usage_free(u);
}
END_TEST

/* 20,000 customers once each, then one that stays. */
START_TEST(customers_without_requests_are_forgotten)
{
	struct quota_usage *u = quota_usage_new();
	uint64_t i;

	for (i = 0; i < 20000; i++)
		quota_usage_request(u, i, PERIOD);
	ck_assert_uint_eq(quota_usage_size(u), 20000);
	quota_usage_request(u, CUSTOMER, 2 * PERIOD);
	ck_assert_uint_eq(quota_usage_size(u), 20000);
	quota_usage_request(u, CUSTOMER, 3 * PERIOD);
	ck_assert_uint_eq(quota_usage_size(u), 1);
	quota_usage_free(u);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("usage");
	TCase *tc = tcase_create("usage");

	tcase_add_test(tc, use_of_the_last_complete_period_is_read);
	tcase_add_test(tc, a_period_without_requests_counts_as_none);
	tcase_add_test(tc, customers_without_requests_are_forgotten);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
