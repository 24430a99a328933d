/*
 * Tests that the checker detects each kind of violation and that the driver is
 * deterministic.
 */
#include <string.h>

#include "scenario.h"

static void
assert_violation(struct world *w, const char *what)
{
	ck_assert_msg(
	    checker_n_violations(w->checker) > 0, "no violation was detected");
	ck_assert_msg(strstr(checker_first_violation(w->checker), what) != NULL,
	    "%s", checker_first_violation(w->checker));
	world_free(w);
}

START_TEST(test_no_violation)
{
	struct world *w;

	w = scenario_new((uint64_t)_i + 1);
	scenario_roll(w, 3000, 500);
	scenario_finish(w);
}
END_TEST

START_TEST(test_version_decreases)
{
	struct world *w;

	w = scenario_new(1);
	world_sign(w, 0, 1);
	ck_assert(world_run_until_converged(w, 5000));
	checker_applied(w->checker, w->queue.now_us, "host-00-0001",
	    w->nodes[1].catalog, 1);
	assert_violation(w, "went from version");
}
END_TEST

START_TEST(test_version_decreases_after_restart)
{
	struct world *w;

	w = scenario_new(1);
	world_sign(w, 0, 1);
	ck_assert(world_run_until_converged(w, 5000));
	checker_started(w->checker, "host-00-0001");
	checker_ready(w->checker, "host-00-0001", 1);
	assert_violation(w, "after it held");
}
END_TEST

/* A node holds the number of one version with the content of another. */
START_TEST(test_partial_version)
{
	struct catalog_stage *stage;
	const struct ledger_version *v;
	const uint8_t *data;
	struct catalog *c;
	struct world *w;
	GArray *missing;
	GBytes *object;
	gsize len;
	uint32_t i;

	w = scenario_new(1);
	world_sign(w, 0, 1);
	v = ledger_version(w->ledger, 1);
	c = catalog_new(0);
	ck_assert_int_eq(
	    catalog_stage_begin_full(c, 2, &v->root, v->list, &stage), 0);
	missing = catalog_stage_missing(stage, 0);
	for (i = 0; i < missing->len; i++) {
		object = ledger_object(
		    w->ledger, &g_array_index(missing, struct digest, i));
		data = g_bytes_get_data(object, &len);
		ck_assert_int_eq(catalog_stage_add(stage, data, len), 0);
	}
	ck_assert_int_eq(catalog_commit(c, stage), 0);
	g_array_unref(missing);
	catalog_stage_free(stage);
	checker_content(w->checker, "host-00-0000", c);
	catalog_free(c);
	assert_violation(w, "holds incomplete content of version");
}
END_TEST

START_TEST(test_version_never_signed_off)
{
	struct world *w;

	w = scenario_new(1);
	g_ptr_array_set_size(w->ledger->versions, 0);
	checker_content(w->checker, "host-00-0000", w->nodes[0].catalog);
	assert_violation(w, "never signed off");
}
END_TEST

/* A snapshot routes to a service that the version lacks. */
START_TEST(test_route_without_service)
{
	struct snapshot *s;
	struct world *w;

	w = scenario_new(1);
	s = w->nodes[0].snapshot;
	ck_assert_uint_gt(s->n_services, 1);
	s->n_services--;
	checker_snapshot(w->checker, "host-00-0000", w->nodes[0].catalog, s);
	s->n_services++;
	ck_assert_uint_gt(checker_n_violations(w->checker), 0);
	world_free(w);
}
END_TEST

START_TEST(test_halted_version_applied)
{
	struct world *w;

	w = scenario_new(1);
	world_sign(w, 0, 1);
	ck_assert(world_run_until_converged(w, 5000));
	world_halt(w, 0);
	world_run(w, 10000);
	checker_applied(w->checker, w->queue.now_us, "another-host",
	    w->nodes[1].catalog, 1);
	assert_violation(w, "long after it was halted");
}
END_TEST

START_TEST(test_outdated_at_the_end)
{
	struct world *w;

	w = scenario_new(1);
	world_sign(w, WORLD_NO_NODE, 1);
	checker_final(w->checker, "host-00-0000", 1);
	assert_violation(w, "stayed at version");
}
END_TEST

START_TEST(test_not_in_force_at_the_end)
{
	struct world *w;

	w = scenario_new(1);
	checker_final(w->checker, "host-00-0000", 7);
	assert_violation(w, "not in force");
}
END_TEST

/* The same seed gives the same run. */
START_TEST(test_deterministic)
{
	uint64_t reads[2], sent[2];
	struct world *w;
	uint32_t i;

	for (i = 0; i < 2; i++) {
		w = scenario_new(5);
		scenario_roll(w, 5000, 300);
		reads[i] = w->platform.reads;
		sent[i] = w->nodes[3].bytes.sent[MEASURE_NOTICES];
		world_free(w);
	}
	ck_assert_uint_eq(reads[0], reads[1]);
	ck_assert_uint_eq(sent[0], sent[1]);
}
END_TEST

int
main(void)
{
	Suite *suite;
	TCase *tc;

	suite = suite_create("checker");
	tc = tcase_create("checker");
	tcase_add_loop_test(tc, test_no_violation, 0, SCENARIO_SEEDS);
	tcase_add_test(tc, test_version_decreases);
	tcase_add_test(tc, test_version_decreases_after_restart);
	tcase_add_test(tc, test_partial_version);
	tcase_add_test(tc, test_version_never_signed_off);
	tcase_add_test(tc, test_route_without_service);
	tcase_add_test(tc, test_halted_version_applied);
	tcase_add_test(tc, test_outdated_at_the_end);
	tcase_add_test(tc, test_not_in_force_at_the_end);
	tcase_add_test(tc, test_deterministic);
	suite_add_tcase(suite, tc);
	return scenario_main(suite);
}
