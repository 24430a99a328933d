/*
 * Helpers shared by the tests of operations.
 */
#ifndef SIGNOFF_TEST_SCENARIO_H
#define SIGNOFF_TEST_SCENARIO_H

#include <check.h>

#include "world.h"

/* Number of a sign-off's write among its requests: it follows the reads of head
 * and list and the puts of two sections and the root. */
#define WRITE_REQUEST 6

static inline struct signoff_request
sign_off_request(struct world *w, const char *op)
{
	return world_request(w, SIGNOFF_SIGN_OFF, op, "anna");
}

/* Signs off versions until there are @n. */
static inline void
sign_off_versions(struct world *w, uint32_t n)
{
	struct signoff_request req;
	char op[STORE_OP_BYTES];
	uint32_t i;

	for (i = (uint32_t)w->rows->len + 1; i <= n; i++) {
		g_snprintf(op, sizeof(op), "base-%u", i);
		req = sign_off_request(w, op);
		req.fresh = true;
		ck_assert_int_eq(
		    world_run_operation(w, &req, i)->result, SIGNOFF_DONE);
	}
}

static inline void
check_no_violation(struct world *w)
{
	ck_assert_msg(world_check(w), "%s", w->violation);
}

static inline int
scenario_run(Suite *suite)
{
	SRunner *runner = srunner_create(suite);
	int n_failed;

	srunner_run_all(runner, CK_NORMAL);
	n_failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return n_failed == 0 ? 0 : 1;
}

#endif
