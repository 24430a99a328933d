/*
 * Tests of how old nodes' confirmations get, and that a confirmed node holds
 * each version that was accepted before (spread/freshness.h).
 */
#include <stdio.h>

#include "scenario.h"

/* Time in which operators want a revoked key to be refused everywhere. */
#define WITHIN_MS 5000
#define OBSERVED_MS 20000
#define STEP_MS 100
#define READERS 2

/* The settings of a node on the users' platform, as in settings.json.in. */
static struct world *
start(uint32_t data_centres, uint32_t nodes, uint64_t seed)
{
	struct world_config config;
	struct world *w;

	world_config_init(&config, seed);
	config.data_centres = data_centres;
	config.nodes = nodes;
	config.follow = 1;
	config.check = 0;
	config.probe_ms = 500;
	config.probe_timeout_ms = 150;
	config.suspicion_ms = 1500;
	config.profile.readers = READERS;
	config.profile.head_poll_ms = 100;
	config.profile.batch_ms = 100;
	config.profile.floor_wait_ms = 40;
	config.profile.floor_ask_ms = 200;
	config.profile.alone_poll_ms = 300;
	w = scenario_start(&config);
	world_run(w, WITHIN_MS);
	return w;
}

static void
confirm(struct world *w)
{
	uint32_t i;

	for (i = 0; i < w->n_nodes; i++)
		spread_set_confirm_within(w->nodes[i].spread, WITHIN_MS);
	world_run(w, WITHIN_MS);
}

static uint64_t
age_ms(const struct world *w, uint32_t node)
{
	return world_now_ms(w) - spread_confirmed_ms(w->nodes[node].spread);
}

static uint64_t
oldest_ms(const struct world *w)
{
	uint64_t oldest = 0;
	uint32_t i;

	for (i = 0; i < w->n_nodes; i++)
		oldest = MAX(oldest, age_ms(w, i));
	return oldest;
}

static uint64_t
observe(struct world *w)
{
	uint64_t ms, oldest = 0;

	for (ms = 0; ms < OBSERVED_MS; ms += STEP_MS) {
		world_run(w, STEP_MS);
		oldest = MAX(oldest, oldest_ms(w));
	}
	return oldest;
}

static const struct {
	uint32_t data_centres;
	uint32_t nodes;
} sizes[] = {{1, 10}, {3, 22}, {4, 75}};

/* Bytes that a node sends in a second, headers included. */
static uint32_t
bytes_per_s(struct world *w)
{
	uint64_t before = 0, after = 0;
	uint32_t i, c;

	for (i = 0; i < w->n_nodes; i++)
		for (c = 0; c < MEASURE_CLASSES; c++)
			before += w->nodes[i].bytes.sent[c];
	world_run(w, OBSERVED_MS);
	for (i = 0; i < w->n_nodes; i++)
		for (c = 0; c < MEASURE_CLASSES; c++)
			after += w->nodes[i].bytes.sent[c];
	return (uint32_t)((after - before) * 1000 / OBSERVED_MS /
	    MAX(w->n_nodes, 1));
}

/* Load: 10, 66 and 300 nodes, no changes; then the platform turns each third
 * node away. */
START_TEST(confirmations_stay_young)
{
	struct world *w =
	    start(sizes[_i].data_centres, sizes[_i].nodes, (uint64_t)_i + 1);
	uint64_t calm, turned_away;
	uint32_t i, off, on;

	off = bytes_per_s(w);
	confirm(w);
	on = bytes_per_s(w);
	calm = observe(w);
	for (i = 0; i < w->n_nodes; i += 3)
		follow_set_access(w, i, FOLLOW_REJECTED);
	turned_away = observe(w);
	printf("%u nodes: confirmations at most %u ms old, %u ms while each "
	       "third is rejected; %u bytes/s a node, %u without\n",
	    w->n_nodes, (unsigned int)calm, (unsigned int)turned_away, on, off);
	ck_assert_uint_lt(calm, WITHIN_MS);
	ck_assert_uint_lt(turned_away, WITHIN_MS);
	world_free(w);
}
END_TEST

static void
set_access(struct world *w, uint32_t data_centre, enum follow_access access)
{
	uint32_t i;

	for (i = 0; i < w->n_nodes; i++)
		if (w->nodes[i].data_centre == data_centre)
			follow_set_access(w, i, access);
}

/* A data centre that the platform doesn't answer is confirmed by others; cut
 * off from them as well it isn't, and never claims a version that it lacks. */
START_TEST(cut_data_centre_is_confirmed_by_others_only)
{
	struct world *w = start(3, 8, (uint64_t)_i + 1);
	uint64_t version, signed_ms, cut_ms;
	uint32_t i;

	confirm(w);
	set_access(w, 0, FOLLOW_REJECTED);
	world_run(w, WITHIN_MS);
	ck_assert_uint_lt(observe(w), WITHIN_MS);
	for (i = 1; i < w->config.data_centres; i++)
		world_partition_both(w, 0, i, 1);
	cut_ms = world_now_ms(w);
	world_run(w, WITHIN_MS / 2);
	signed_ms = world_now_ms(w);
	version = world_sign(w, WORLD_NO_NODE, 1);
	for (i = 0; i < OBSERVED_MS / STEP_MS; i++) {
		world_run(w, STEP_MS);
		ck_assert_uint_le(
		    spread_confirmed_ms(w->nodes[0].spread), cut_ms);
	}
	ck_assert_uint_gt(age_ms(w, 0), WITHIN_MS);
	set_access(w, 0, FOLLOW_SERVED);
	for (i = 1; i < w->config.data_centres; i++)
		world_partition_both(w, 0, i, 0);
	for (i = 0; i < OBSERVED_MS / STEP_MS; i++) {
		world_run(w, STEP_MS);
		if (spread_confirmed_ms(w->nodes[0].spread) > signed_ms)
			ck_assert_uint_ge(w->nodes[0].version, version);
	}
	ck_assert_uint_lt(oldest_ms(w), WITHIN_MS);
	world_free(w);
}
END_TEST

/* Versions in quick succession, a frozen node and lost datagrams: a node that
 * is confirmed as of a time holds each version accepted before it. */
START_TEST(confirmed_node_holds_what_was_accepted_before)
{
	struct world *w = start(3, 8, (uint64_t)_i + 1);
	uint64_t version, accepted_ms;
	uint32_t round, i, j;

	confirm(w);
	for (round = 0; round < 30; round++) {
		accepted_ms = world_now_ms(w);
		version = world_sign(w, WORLD_NO_NODE, 1);
		if (round % 10 == 3)
			world_freeze(w, round % w->n_nodes, 3000);
		for (j = 0; j < 4; j++) {
			world_run(w, STEP_MS);
			for (i = 0; i < w->n_nodes; i++)
				ck_assert_msg(
				    spread_confirmed_ms(w->nodes[i].spread) <=
					    accepted_ms ||
					w->nodes[i].version >= version,
				    "node %u lacks version %u", i,
				    (unsigned int)version);
		}
	}
	world_free(w);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("confirmed");
	TCase *tc = tcase_create("confirmed");

	tcase_set_timeout(tc, 300);
	tcase_add_loop_test(
	    tc, confirmations_stay_young, 0, G_N_ELEMENTS(sizes));
	tcase_add_loop_test(
	    tc, cut_data_centre_is_confirmed_by_others_only, 0, SCENARIO_SEEDS);
	tcase_add_loop_test(tc, confirmed_node_holds_what_was_accepted_before,
	    0, SCENARIO_SEEDS);
	suite_add_tcase(suite, tc);
	return scenario_main(suite);
}
