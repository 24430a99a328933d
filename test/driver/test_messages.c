/*
 * Tests that versions reach all nodes although messages are lost, duplicated,
 * reordered or corrupted.
 */
#include "scenario.h"

/* Link faults, one row each. */
static const struct {
	double loss_rate;
	double duplicate_rate;
	double delayed_rate;
	uint64_t extra_delay_us;
	uint64_t jitter_us;
} links[] = {
    {0, 0, 0, 0, 200},
    {0.3, 0, 0, 0, 200},
    {0, 0.5, 0, 0, 200},
    {0, 0, 0.3, 2000000, 200},
    {0.1, 0.2, 0.2, 500000, 50000},
};

START_TEST(test_bad_links)
{
	struct world_config config;
	struct world *w;
	uint64_t seed;

	for (seed = 1; seed <= SCENARIO_SEEDS; seed++) {
		world_config_init(&config, seed);
		config.loss_rate = links[_i].loss_rate;
		config.duplicate_rate = links[_i].duplicate_rate;
		config.delayed_rate = links[_i].delayed_rate;
		config.extra_delay_us = links[_i].extra_delay_us;
		config.jitter_us = links[_i].jitter_us;
		w = scenario_start(&config);
		scenario_roll(w, 10000, 300);
		scenario_finish(w);
	}
}
END_TEST

/* Content of a faulty peer is never applied, the peer is blamed, and the
 * versions come from other peers.  The blame is not asserted for truncated
 * frames. */
START_TEST(test_tampered_content)
{
	struct world *w;
	uint64_t seed, n_blamed;
	uint32_t i;

	n_blamed = 0;
	for (seed = 1; seed <= SCENARIO_SEEDS; seed++) {
		w = scenario_new(seed);
		for (i = 0; i < w->config.nodes; i++)
			w->nodes[world_node_index(w, 0, i)].tamper =
			    (enum world_tamper)_i;
		scenario_roll(w, 8000, 500);
		for (i = 0; i < w->n_nodes; i++)
			n_blamed +=
			    spread_stats(w->nodes[i].spread)->peers_blamed;
		scenario_finish(w);
	}
	if (_i != TAMPER_TRUNCATE)
		ck_assert_uint_gt(n_blamed, 0);
}
END_TEST

/* All connections stall for good in the middle of transfers, while new ones
 * work. */
START_TEST(test_stalled_connections)
{
	struct world_config config;
	struct world *w;
	uint64_t timed_out;
	uint32_t i, round;

	world_config_init(&config, (uint64_t)_i + 1);
	config.services = 200;
	config.profile.reply_bytes = 2048;
	w = scenario_start(&config);
	timed_out = 0;
	for (round = 0; round < 5; round++) {
		world_sign(w, g_rand_int(w->rng) % w->n_nodes, 100);
		world_run(w, 4);
		world_stall_connections(w);
		world_run(w, 3000);
		ck_assert(world_converged(w));
	}
	for (i = 0; i < w->n_nodes; i++)
		timed_out += spread_stats(w->nodes[i].spread)->pulls_timed_out;
	ck_assert_uint_gt(timed_out, 0);
	scenario_finish(w);
}
END_TEST

int
main(void)
{
	Suite *suite;
	TCase *tc;

	suite = suite_create("messages");
	tc = tcase_create("messages");
	tcase_add_loop_test(tc, test_bad_links, 0, G_N_ELEMENTS(links));
	tcase_add_loop_test(
	    tc, test_tampered_content, TAMPER_NONE + 1, TAMPER_COUNT);
	tcase_add_loop_test(tc, test_stalled_connections, 0, SCENARIO_SEEDS);
	suite_add_tcase(suite, tc);
	return scenario_main(suite);
}
