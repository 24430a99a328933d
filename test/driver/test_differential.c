/*
 * The naive version, in which each node polls the whole bundle, beside the
 * spread on the same events: the same final state, with other reads.
 */
#include "scenario.h"

/* Something that happens, by its number in a list made from the seed. */
enum happening {
	HAPPENS_SIGN = 0,
	HAPPENS_HALT,
	HAPPENS_SUPERSEDE,
	HAPPENS_KILL,
	HAPPENS_START,
	HAPPENS_OUTAGE,
	HAPPENS_BACK,
	HAPPENS_COUNT,
};

#define HAPPENINGS 40
#define GAP_MS 700

static void
happen(struct world *w, enum happening what, uint32_t node)
{
	const struct rec_head *head;

	head = &w->ledger->head;
	switch (what) {
	case HAPPENS_HALT:
		if (head->state == HEAD_ROLLING && head->version > 2)
			world_halt(w, node);
		break;
	case HAPPENS_SUPERSEDE:
		world_supersede(w, node, 1 + head->version / 2);
		break;
	case HAPPENS_KILL:
		world_kill(w, node);
		break;
	case HAPPENS_START:
		world_start(w, node);
		break;
	case HAPPENS_OUTAGE:
	case HAPPENS_BACK:
		w->platform.outage = what == HAPPENS_OUTAGE;
		break;
	default:
		world_sign(w, node, 1 + node % 3);
		break;
	}
}

static struct world *
run(uint64_t seed, enum world_kind kind)
{
	struct world_config config;
	struct world *w;
	GRand *rng;
	uint32_t i;

	world_config_init(&config, seed);
	config.kind = kind;
	w = scenario_up(&config);
	rng = g_rand_new_with_seed((guint32)seed);
	for (i = 0; i < HAPPENINGS; i++) {
		happen(w, g_rand_int(rng) % HAPPENS_COUNT,
		    g_rand_int(rng) % w->n_nodes);
		world_run(w, GAP_MS);
	}
	g_rand_free(rng);
	w->platform.outage = 0;
	for (i = 0; i < w->n_nodes; i++)
		world_start(w, i);
	world_sign(w, 0, 1);
	ck_assert(world_run_until_even(w, SCENARIO_EVEN_MS));
	return w;
}

START_TEST(test_same_state)
{
	struct world *spread, *naive;
	uint32_t i;

	spread = run((uint64_t)_i + 1, WORLD_SPREAD);
	naive = run((uint64_t)_i + 1, WORLD_NAIVE);
	for (i = 0; i < spread->n_nodes; i++) {
		ck_assert_uint_eq(
		    spread->nodes[i].version, naive->nodes[i].version);
		ck_assert(hash_digest_equal(catalog_root(spread->nodes[i].c),
		    catalog_root(naive->nodes[i].c)));
	}
	scenario_end(spread);
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
	tcase_add_loop_test(tc, test_same_state, 0, 2 * SCENARIO_SEEDS);
	suite_add_tcase(suite, tc);
	return scenario_main(suite);
}
