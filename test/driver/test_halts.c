/*
 * Tests of halting and superseding a version during its roll.
 */
#include "scenario.h"

static uint32_t
count_holding(const struct world *w, uint64_t version)
{
	uint32_t i, n;

	n = 0;
	for (i = 0; i < w->n_nodes; i++)
		n += w->nodes[i].version == version;
	return n;
}

/* A version is halted some milliseconds into its roll.  Once the halt has
 * reached all nodes no other node applies the version, no node that holds it
 * goes back, and the next version reaches all. */
START_TEST(test_halt_during_roll)
{
	struct world_config config;
	struct world *w;
	uint64_t bad, seed;
	uint32_t before;

	for (seed = 1; seed <= SCENARIO_SEEDS; seed++) {
		world_config_init(&config, seed);
		config.local_delay_us = 5000;
		config.remote_delay_us = 20000;
		w = scenario_start(&config);
		bad = world_sign(w, 0, 2);
		world_run(w, (uint64_t)_i * 7);
		world_halt(w, 7);
		world_run(w, 5000);
		before = count_holding(w, bad);
		ck_assert_uint_eq(
		    before + count_holding(w, bad - 1), w->n_nodes);
		world_run(w, 60000);
		ck_assert_uint_eq(count_holding(w, bad), before);
		world_supersede(w, 9, bad - 1);
		scenario_finish(w);
	}
}
END_TEST

/* A host that holds a halted version is restarted and must hold that version
 * again. */
START_TEST(test_restart_after_halt)
{
	struct world *w;
	uint64_t bad;

	w = scenario_new((uint64_t)_i + 1);
	bad = world_sign(w, 0, 2);
	ck_assert(world_run_until_converged(w, 5000));
	world_halt(w, 3);
	world_run(w, 2000);
	world_kill(w, 5);
	world_run(w, 1000);
	world_start(w, 5);
	ck_assert(world_run_until_converged(w, 20000));
	ck_assert_uint_eq(w->nodes[5].version, bad);
	world_sign(w, 2, 1);
	scenario_finish(w);
}
END_TEST

/* After a halt, each host of a data centre is restarted in turn, including the
 * readers of the platform, and must hold the halted version again although the
 * version in force is an older one. */
START_TEST(test_restart_of_a_data_centre_after_halt)
{
	struct world *w;
	uint64_t bad;
	uint32_t i;

	w = scenario_new((uint64_t)_i + 1);
	bad = world_sign(w, 0, 2);
	ck_assert(world_run_until_converged(w, 5000));
	world_halt(w, 3);
	world_run(w, 2000);
	for (i = 0; i < w->config.nodes; i++) {
		world_kill(w, i);
		world_run(w, 3000);
		world_start(w, i);
		ck_assert(world_run_until_converged(w, 20000));
		ck_assert_msg(w->nodes[i].version == bad,
		    "seed %d: %s came back with %" G_GUINT64_FORMAT, _i + 1,
		    w->nodes[i].host, w->nodes[i].version);
	}
	scenario_finish(w);
}
END_TEST

/* Random sequence of sign-offs, halts and supersedes, a quarter of which no
 * node announces. */
START_TEST(test_mixed_operations)
{
	struct world *w;
	uint64_t head;
	uint32_t i, node, operation;

	w = scenario_new((uint64_t)_i + 1);
	for (i = 0; i < 40; i++) {
		node = g_rand_int(w->rng) % w->n_nodes;
		if (g_rand_int(w->rng) % 4 == 0)
			node = WORLD_NO_NODE;
		operation = g_rand_int(w->rng) % 5;
		head = w->ledger->head.version;
		if (operation == 0 && w->ledger->head.state == HEAD_ROLLING &&
		    head > 1)
			world_halt(w, node);
		else if (operation == 1 && head > 3)
			world_supersede(w, node, head - 2);
		else
			world_sign(w, node, 1 + operation);
		world_run(w, g_rand_int(w->rng) % 800);
	}
	scenario_finish(w);
}
END_TEST

int
main(void)
{
	Suite *suite;
	TCase *tc;

	suite = suite_create("halts");
	tc = tcase_create("halts");
	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, test_halt_during_roll, 0, 8);
	tcase_add_loop_test(tc, test_restart_after_halt, 0, SCENARIO_SEEDS);
	tcase_add_loop_test(tc, test_restart_of_a_data_centre_after_halt, 0,
	    2 * SCENARIO_SEEDS);
	tcase_add_loop_test(tc, test_mixed_operations, 0, 2 * SCENARIO_SEEDS);
	suite_add_tcase(suite, tc);
	return scenario_main(suite);
}
