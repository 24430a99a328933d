/*
 * Tests of network partitions and of a failing platform: each node keeps
 * serving the version that it holds, and catches up afterwards.
 */
#include "scenario.h"

/* Partitions of data centre 0, one row each. */
static const struct {
	int platform_out; /* requests to the platform are lost */
	int platform_in;  /* answers of the platform are lost */
	int peers_out;	  /* messages to the other data centres are lost */
	int peers_in;	  /* messages from the other data centres are lost */
	int converges;	  /* data centre 0 still receives new versions */
} partitions[] = {
    {1, 1, 0, 0, 1},
    {0, 1, 0, 0, 1},
    {0, 0, 1, 1, 1},
    {0, 0, 1, 0, 1},
    {0, 0, 0, 1, 1},
    {1, 1, 1, 1, 0},
    {1, 1, 0, 1, 0},
    {1, 1, 1, 0, 0},
};

static void
set_partition(struct world *w, int i, int enabled)
{
	uint32_t p, dc;

	p = world_platform_index(w);
	world_partition(w, 0, p, enabled && partitions[i].platform_out);
	world_partition(w, p, 0, enabled && partitions[i].platform_in);
	for (dc = 1; dc < w->config.data_centres; dc++) {
		world_partition(w, 0, dc, enabled && partitions[i].peers_out);
		world_partition(w, dc, 0, enabled && partitions[i].peers_in);
	}
}

static uint64_t
lowest_version(const struct world *w, uint32_t data_centre)
{
	uint64_t version;
	uint32_t i;

	version = UINT64_MAX;
	for (i = 0; i < w->config.nodes; i++)
		version = MIN(version,
		    w->nodes[world_node_index(w, data_centre, i)].version);
	return version;
}

START_TEST(test_partition)
{
	struct world *w;
	uint64_t seed, last;
	uint32_t i;

	for (seed = 1; seed <= SCENARIO_SEEDS; seed++) {
		w = scenario_new(seed);
		set_partition(w, _i, 1);
		world_run(w, 5000);
		last = 0;
		for (i = 0; i < 20; i++) {
			last = world_sign(w, world_node_index(w, 1, i % 6), 1);
			world_run(w, 1000);
		}
		world_run(w, 15000);
		ck_assert_uint_eq(lowest_version(w, 1), last);
		ck_assert_uint_eq(lowest_version(w, 2), last);
		if (partitions[_i].converges)
			ck_assert_msg(lowest_version(w, 0) == last,
			    "seed %" G_GUINT64_FORMAT
			    ": stayed at %" G_GUINT64_FORMAT
			    " of %" G_GUINT64_FORMAT,
			    seed, lowest_version(w, 0), last);
		ck_assert(w->nodes[0].ready);
		set_partition(w, _i, 0);
		scenario_finish(w);
	}
}
END_TEST

/* The platform is unavailable, slow or throttling for a long time while
 * versions are rolled out.  A version that was accepted must still reach all
 * nodes. */
static const struct {
	int outage;
	uint32_t delay_ms;
	uint32_t reads_per_s;
} faults[] = {
    {1, 5, 2000},
    {0, 1900, 2000},
    {0, 5, 2},
};

START_TEST(test_platform_faults)
{
	struct world *w;
	uint64_t seed;
	uint32_t i, node;

	for (seed = 1; seed <= SCENARIO_SEEDS; seed++) {
		w = scenario_new(seed);
		scenario_roll(w, 2000, 500);
		for (i = 0; i < 20; i++) {
			w->platform.outage = 0;
			node = g_rand_int(w->rng) % w->n_nodes;
			world_sign(w, node, 2);
			w->platform.outage = faults[_i].outage;
			w->platform.delay_ms = faults[_i].delay_ms;
			platform_set_limit(&w->platform, world_now_ms(w),
			    faults[_i].reads_per_s);
			world_run(w, 6000);
			ck_assert_msg(world_converged(w),
			    "seed %" G_GUINT64_FORMAT " step %u", seed, i);
		}
		scenario_finish(w);
	}
}
END_TEST

/* No node announces the versions, as when the signing node dies at once;
 * readers find the versions when the platform is available again. */
START_TEST(test_signing_node_stops)
{
	struct world *w;
	uint32_t i;

	w = scenario_new((uint64_t)_i + 1);
	w->platform.outage = 1;
	for (i = 0; i < 5; i++)
		world_sign(w, WORLD_NO_NODE, 2);
	world_run(w, 60000);
	ck_assert_uint_eq(w->nodes[0].version, 1);
	w->platform.outage = 0;
	ck_assert(world_run_until_converged(w, 15000));
	scenario_finish(w);
}
END_TEST

/* More versions are signed off during a partition than any node keeps the
 * changes of. */
START_TEST(test_changes_no_longer_kept)
{
	struct world *w;
	uint32_t i;

	w = scenario_new((uint64_t)_i + 1);
	set_partition(w, 5, 1);
	for (i = 0; i < 200; i++) {
		world_sign(w, world_node_index(w, 1, 0), 2);
		world_run(w, 400);
	}
	ck_assert_uint_eq(w->nodes[0].version, 1);
	set_partition(w, 5, 0);
	ck_assert(world_run_until_converged(w, 20000));
	scenario_finish(w);
}
END_TEST

int
main(void)
{
	Suite *suite;
	TCase *tc;

	suite = suite_create("cuts");
	tc = tcase_create("cuts");
	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, test_partition, 0, G_N_ELEMENTS(partitions));
	tcase_add_loop_test(tc, test_platform_faults, 0, G_N_ELEMENTS(faults));
	tcase_add_loop_test(tc, test_signing_node_stops, 0, SCENARIO_SEEDS);
	tcase_add_loop_test(tc, test_changes_no_longer_kept, 0, 3);
	suite_add_tcase(suite, tc);
	return scenario_main(suite);
}
