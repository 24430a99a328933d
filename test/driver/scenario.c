/*
 * Helpers shared by the tests of the driver.
 */
#include "scenario.h"
#include "test_run.h"

#include <stdlib.h>

struct world *
scenario_start(const struct world_config *config)
{
	struct world *w;

	w = world_new(config);
	ck_assert_msg(world_start_all(w, SCENARIO_START_MS),
	    "seed %" G_GUINT64_FORMAT ": not all nodes are ready in time",
	    config->seed);
	return w;
}

struct world *
scenario_new(uint64_t seed)
{
	struct world_config config;

	world_config_init(&config, seed);
	return scenario_start(&config);
}

static const struct node *
find_lagging_node(const struct world *w)
{
	const struct node *n;
	uint32_t i;

	for (i = 0; i < w->n_nodes; i++) {
		n = &w->nodes[i];
		if (n->up &&
		    (!n->ready || n->version < w->ledger->head.in_force))
			return n;
	}
	return NULL;
}

void
scenario_finish(struct world *w)
{
	const struct node *lagging;
	uint32_t i;

	if (!world_run_until_converged(w, SCENARIO_CONVERGENCE_MS)) {
		lagging = find_lagging_node(w);
		ck_abort_msg("seed %" G_GUINT64_FORMAT
			     ": not converged: %s holds %" G_GUINT64_FORMAT
			     ", floor %" G_GUINT64_FORMAT
			     ", ready %d, in force %" G_GUINT64_FORMAT,
		    w->config.seed, lagging->host, lagging->version,
		    lagging->spread != NULL ? spread_floor(lagging->spread) : 0,
		    lagging->ready, w->ledger->head.in_force);
	}
	for (i = 0; i < w->n_nodes; i++)
		if (w->nodes[i].up)
			checker_final(
			    w->checker, w->nodes[i].host, w->nodes[i].version);
	ck_assert_msg(checker_n_violations(w->checker) == 0,
	    "seed %" G_GUINT64_FORMAT ": %u violations: %s", w->config.seed,
	    checker_n_violations(w->checker),
	    checker_first_violation(w->checker));
	world_free(w);
}

void
scenario_roll(struct world *w, uint64_t ms, uint64_t every_ms)
{
	uint32_t node;
	uint64_t t;

	for (t = 0; t < ms; t += every_ms) {
		node = g_rand_int(w->rng) % w->n_nodes;
		world_sign(w, node, 1 + g_rand_int(w->rng) % 3);
		world_run(w, every_ms);
	}
}

int
scenario_main(Suite *suite)
{

	return test_run(suite);
}
