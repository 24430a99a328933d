/*
 * Differential test: the spread and the reference implementation, in which each
 * node polls the whole bundle, reach the same final state after the same
 * events.
 */
#include "scenario.h"

/* Event, by its number in the list generated from the seed. */
enum event_kind {
	EVENT_SIGN = 0,
	EVENT_HALT,
	EVENT_SUPERSEDE,
	EVENT_KILL,
	EVENT_START,
	EVENT_OUTAGE_BEGINS,
	EVENT_OUTAGE_ENDS,
	EVENT_COUNT,
};

#define N_EVENTS 40
#define EVENT_INTERVAL_MS 700

static void
apply_event(struct world *w, enum event_kind kind, uint32_t node)
{
	const struct rec_head *head;

	head = &w->ledger->head;
	switch (kind) {
	case EVENT_HALT:
		if (head->state == HEAD_ROLLING && head->version > 2)
			world_halt(w, node);
		break;
	case EVENT_SUPERSEDE:
		world_supersede(w, node, 1 + head->version / 2);
		break;
	case EVENT_KILL:
		world_kill(w, node);
		break;
	case EVENT_START:
		world_start(w, node);
		break;
	case EVENT_OUTAGE_BEGINS:
	case EVENT_OUTAGE_ENDS:
		w->platform.outage = kind == EVENT_OUTAGE_BEGINS;
		break;
	default:
		world_sign(w, node, 1 + node % 3);
		break;
	}
}

static struct world *
run_events(uint64_t seed, enum world_kind kind)
{
	struct world_config config;
	struct world *w;
	GRand *rng;
	uint32_t i;

	world_config_init(&config, seed);
	config.kind = kind;
	w = scenario_start(&config);
	rng = g_rand_new_with_seed((guint32)seed);
	for (i = 0; i < N_EVENTS; i++) {
		apply_event(w, g_rand_int(rng) % EVENT_COUNT,
		    g_rand_int(rng) % w->n_nodes);
		world_run(w, EVENT_INTERVAL_MS);
	}
	g_rand_free(rng);
	w->platform.outage = 0;
	for (i = 0; i < w->n_nodes; i++)
		world_start(w, i);
	world_sign(w, 0, 1);
	ck_assert(world_run_until_converged(w, SCENARIO_CONVERGENCE_MS));
	return w;
}

START_TEST(test_same_final_state)
{
	struct world *spread, *naive;
	uint32_t i;

	spread = run_events((uint64_t)_i + 1, WORLD_SPREAD);
	naive = run_events((uint64_t)_i + 1, WORLD_NAIVE);
	for (i = 0; i < spread->n_nodes; i++) {
		ck_assert_uint_eq(
		    spread->nodes[i].version, naive->nodes[i].version);
		ck_assert(
		    hash_digest_equal(catalog_root(spread->nodes[i].catalog),
			catalog_root(naive->nodes[i].catalog)));
	}
	scenario_finish(spread);
	world_free(naive);
}
END_TEST

int
main(void)
{
	Suite *suite;
	TCase *tc;

	suite = suite_create("differential");
	tc = tcase_create("differential");
	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, test_same_final_state, 0, 2 * SCENARIO_SEEDS);
	suite_add_tcase(suite, tc);
	return scenario_main(suite);
}
