/*
 * Tests of restarts: version floors, mass restarts, replaced hosts and frozen
 * processes.
 */
#include "catalog_defs.h"
#include "scenario.h"

/* Part of the platform's 2,000 reads a second that a mass restart may use. */
#define MASS_RESTART_READS_PER_S 500

static void
restart(struct world *w, uint32_t node, uint64_t down_ms)
{
	world_kill(w, node);
	world_run(w, down_ms);
	world_start(w, node);
}

/* Restarts the only host that held a version while no node can read the
 * platform; the host must not serve the previous version. */
static struct world *
restart_last_holder(uint64_t seed, uint32_t keepers)
{
	struct world_config config;
	struct world *w;

	world_config_init(&config, seed);
	config.profile.fanout = 0;
	config.profile.relay_fanout = 0;
	config.profile.keepers = keepers;
	config.probe_ms = 5000;
	w = scenario_start(&config);
	w->platform.outage = 1;
	world_sign(w, 0, 2);
	while (w->nodes[0].version < 2)
		world_run(w, 1);
	restart(w, 0, 20);
	world_run(w, 10000);
	return w;
}

START_TEST(test_floor)
{
	struct world *w;

	w = restart_last_holder((uint64_t)_i + 1, 3);
	ck_assert_int_eq(w->nodes[0].ready, 0);
	ck_assert_uint_eq(spread_floor(w->nodes[0].spread), 2);
	w->platform.outage = 0;
	scenario_finish(w);
}
END_TEST

/* Restarts the only host that held a version while no node can read the
 * platform and no host keeps the floor: there are no keepers in the host's data
 * centre, and there is no other data centre.  The checker reports that the host
 * went back. */
START_TEST(test_version_decreases_without_floor)
{
	struct world_config config;
	struct world *w;

	world_config_init(&config, (uint64_t)_i + 1);
	config.data_centres = 1;
	config.profile.fanout = 0;
	config.profile.keepers = 0;
	config.probe_ms = 5000;
	w = scenario_start(&config);
	w->platform.outage = 1;
	world_sign(w, 0, 2);
	while (w->nodes[0].version < 2)
		world_run(w, 1);
	restart(w, 0, 20);
	world_run(w, 10000);
	ck_assert_uint_gt(checker_n_violations(w->checker), 0);
	world_free(w);
}
END_TEST

static void
set_catalog_limits(struct world *w, uint64_t max_bytes)
{
	uint32_t i;

	for (i = 0; i < w->n_nodes; i++)
		w->nodes[i].catalog->max_bytes = max_bytes;
}

/* No host can assemble a version, because it exceeds the catalog limit, and no
 * node can read the platform: a restarted host serves the same version as the
 * others. */
START_TEST(test_refused_version_sets_no_floor)
{
	struct world *w;
	uint32_t i;

	w = scenario_new((uint64_t)_i + 1);
	set_catalog_limits(w, 1);
	world_sign(w, 0, 40);
	world_run(w, 10000);
	for (i = 0; i < w->n_nodes; i++)
		ck_assert_uint_eq(w->nodes[i].version, 1);
	w->platform.outage = 1;
	restart(w, 0, 20);
	world_run(w, 60000);
	ck_assert_uint_eq(spread_floor(w->nodes[0].spread), 1);
	ck_assert_int_eq(w->nodes[0].ready, 1);
	w->platform.outage = 0;
	set_catalog_limits(w, CATALOG_DEFAULT_BYTES);
	scenario_finish(w);
}
END_TEST

/* Random hosts are restarted while versions are rolled out. */
START_TEST(test_restart_during_roll)
{
	struct world *w;
	uint32_t i, node;

	w = scenario_new((uint64_t)_i + 1);
	for (i = 0; i < 30; i++) {
		world_sign(w, g_rand_int(w->rng) % w->n_nodes, 2);
		world_run(w, g_rand_int(w->rng) % 60);
		node = g_rand_int(w->rng) % w->n_nodes;
		restart(w, node, g_rand_int(w->rng) % 500);
		world_run(w, g_rand_int(w->rng) % 300);
	}
	scenario_finish(w);
}
END_TEST

/* Hosts are killed while a version is staged but incomplete. */
START_TEST(test_killed_in_staging)
{
	struct world_config config;
	struct world *w;
	uint32_t i;

	world_config_init(&config, (uint64_t)_i + 1);
	config.services = 300;
	config.profile.reply_bytes = 1024;
	w = scenario_start(&config);
	for (i = 0; i < 10; i++) {
		world_sign(w, 1, 200);
		world_run(w, 5 + (uint64_t)i);
		restart(w, 2 + i % 4, 10);
		world_run(w, 200);
	}
	scenario_finish(w);
}
END_TEST

static uint32_t
restart_at_once(struct world *w, uint32_t first, uint32_t n, uint32_t step)
{
	uint32_t i;

	platform_reset(&w->platform);
	for (i = 0; i < n; i += step)
		world_kill(w, first + i);
	world_run(w, 3000);
	for (i = 0; i < n; i += step)
		world_start(w, first + i);
	ck_assert_msg(world_run_until_converged(w, SCENARIO_CONVERGENCE_MS),
	    "not all nodes converged after the mass restart");
	return (uint32_t)w->platform.peak_reads_per_s;
}

static struct world *
new_large_world(uint64_t seed)
{
	struct world_config config;

	world_config_init(&config, seed);
	config.data_centres = 4;
	config.nodes = 40;
	config.services = 60;
	config.check = 0;
	return scenario_start(&config);
}

/* A data centre, then a third of all hosts, then all hosts restart at once. */
START_TEST(test_mass_restarts)
{
	struct world *w;

	w = new_large_world((uint64_t)_i + 1);
	ck_assert_uint_lt(
	    restart_at_once(w, 40, 40, 1), MASS_RESTART_READS_PER_S);
	ck_assert_uint_lt(
	    restart_at_once(w, 0, w->n_nodes, 3), MASS_RESTART_READS_PER_S);
	ck_assert_uint_lt(
	    restart_at_once(w, 0, w->n_nodes, 1), MASS_RESTART_READS_PER_S);
	scenario_finish(w);
}
END_TEST

/* All hosts restart at once, with a bundle too large for one read. */
START_TEST(test_mass_restart_with_many_services)
{
	struct world_config config;
	struct world *w;
	uint32_t peak_reads_per_s;

	world_config_init(&config, (uint64_t)_i + 1);
	config.data_centres = 4;
	config.nodes = 10;
	config.services = 1200;
	config.check = 0;
	w = scenario_start(&config);
	peak_reads_per_s = restart_at_once(w, 0, w->n_nodes, 1);
	ck_assert_msg(peak_reads_per_s < MASS_RESTART_READS_PER_S,
	    "%u reads in a second, %" G_GUINT64_FORMAT " in total",
	    peak_reads_per_s, w->platform.reads);
	scenario_finish(w);
}
END_TEST

/* A data centre that restarts at once while the platform is unavailable starts
 * from its peers. */
START_TEST(test_mass_restart_without_platform)
{
	struct world *w;

	w = new_large_world((uint64_t)_i + 1);
	w->platform.outage = 1;
	ck_assert_uint_lt(
	    restart_at_once(w, 40, 40, 1), MASS_RESTART_READS_PER_S);
	w->platform.outage = 0;
	scenario_finish(w);
}
END_TEST

/* Processes are frozen for a minute while versions are rolled out, then
 * resumed. */
START_TEST(test_frozen_processes)
{
	struct world *w;
	uint64_t before;

	w = scenario_new((uint64_t)_i + 1);
	world_sign(w, 1, 2);
	world_run(w, 2);
	world_freeze(w, 3, 60000);
	world_freeze(w, 10, 60000);
	before = w->nodes[3].version;
	scenario_roll(w, 58000, 2000);
	ck_assert_uint_eq(w->nodes[3].version, before);
	world_run(w, 2000);
	ck_assert(world_run_until_converged(w, 10000));
	scenario_finish(w);
}
END_TEST

/* Hosts are replaced by others with the same address. */
START_TEST(test_replaced_hosts)
{
	struct world *w;
	uint32_t i;
	char host[MEMBER_NAME_BYTES];

	w = scenario_new((uint64_t)_i + 1);
	for (i = 0; i < 6; i++) {
		world_kill(w, 3 * i);
		g_snprintf(host, sizeof(host), "new-host-%u", i);
		world_replace(w, 3 * i, host);
		world_run(w, 100);
		world_start(w, 3 * i);
		world_sign(w, 3 * i + 1, 2);
		world_run(w, 500);
	}
	scenario_finish(w);
}
END_TEST

int
main(void)
{
	Suite *suite;
	TCase *tc;

	suite = suite_create("restarts");
	tc = tcase_create("restarts");
	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, test_floor, 0, SCENARIO_SEEDS);
	tcase_add_loop_test(tc, test_version_decreases_without_floor, 0, 2);
	tcase_add_loop_test(
	    tc, test_refused_version_sets_no_floor, 0, SCENARIO_SEEDS);
	tcase_add_loop_test(tc, test_restart_during_roll, 0, SCENARIO_SEEDS);
	tcase_add_loop_test(tc, test_killed_in_staging, 0, SCENARIO_SEEDS);
	tcase_add_loop_test(tc, test_mass_restarts, 0, 2);
	tcase_add_loop_test(tc, test_mass_restart_with_many_services, 0, 3);
	tcase_add_loop_test(tc, test_mass_restart_without_platform, 0, 2);
	tcase_add_loop_test(tc, test_frozen_processes, 0, SCENARIO_SEEDS);
	tcase_add_loop_test(tc, test_replaced_hosts, 0, SCENARIO_SEEDS);
	suite_add_tcase(suite, tc);
	return scenario_main(suite);
}
