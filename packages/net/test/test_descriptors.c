/*
 * Tests of the shares of descriptors.
 */
#include "net/descriptors.h"

#include "support.h"

#define LIMIT 4100

static struct descriptor_shares shares;

static uint32_t
take_all(enum descriptor_use use)
{
	uint32_t n = 0;

	while (descriptor_shares_take(&shares, use))
		n++;
	return n;
}

/* Guards against one use that takes what others need. */
START_TEST(no_use_can_take_what_is_reserved_for_another)
{
	int greedy, other;

	for (greedy = 1; greedy < DESCRIPTOR_USES; greedy++) {
		descriptor_shares_init(&shares, LIMIT);
		ck_assert_uint_gt(
		    take_all((enum descriptor_use)greedy), LIMIT / 4);
		for (other = 1; other < DESCRIPTOR_USES; other++)
			if (other != greedy)
				ck_assert_uint_ge(
				    take_all((enum descriptor_use)other), 48);
	}
}
END_TEST

/* Guards against shares that add up to more than the process has. */
START_TEST(all_uses_together_stay_below_the_limit)
{
	static const uint32_t limits[] = {
	    0, 16, 64, 256, 512, 1024, LIMIT, 20000};
	uint32_t i, n;
	int use;

	for (i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
		descriptor_shares_init(&shares, limits[i]);
		n = 0;
		for (use = 1; use < DESCRIPTOR_USES; use++)
			n += take_all((enum descriptor_use)use);
		ck_assert_uint_le(n, limits[i]);
	}
}
END_TEST

/* Guards against descriptors that are not given back. */
START_TEST(what_is_given_back_can_be_taken_by_others)
{
	uint32_t n, left;

	descriptor_shares_init(&shares, LIMIT);
	left = descriptor_shares_left(&shares, DESCRIPTORS_CALLS);
	n = take_all(DESCRIPTORS_CALLERS);
	ck_assert_uint_lt(
	    descriptor_shares_left(&shares, DESCRIPTORS_CALLS), left);
	while (n-- > 0)
		descriptor_shares_release(&shares, DESCRIPTORS_CALLERS);
	ck_assert_uint_eq(
	    descriptor_shares_left(&shares, DESCRIPTORS_CALLS), left);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("descriptors");

	tcase_add_test(tc, no_use_can_take_what_is_reserved_for_another);
	tcase_add_test(tc, all_uses_together_stay_below_the_limit);
	tcase_add_test(tc, what_is_given_back_can_be_taken_by_others);
	return support_run("descriptors", tc);
}
