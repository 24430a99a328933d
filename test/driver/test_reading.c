/*
 * Tests that an accepted version is in force on all hosts in time, whatever
 * happens to the readers, which read the platform for the other hosts.
 *
 * Failure guarded against: hosts without a fault served a removed route for
 * seconds after the change was acknowledged.  The platform had rejected some
 * hosts, the readers of all data centres among them; a reader kept its role as
 * long as its process ran, and no other host read.
 */
#include <stdio.h>
#include <stdlib.h>

#include "scenario.h"

/* Time limit that operators set for the smallest deployments, and the part of
 * it reserved for large versions on slow links and for compiling, which this
 * driver does not model. */
#define APPLY_LIMIT_MS 2000
#define APPLY_MARGIN_MS 500

/* Longest time from the fault to the change, and the step in which the tests
 * vary that time from 0 on. */
#define LEAD_MAX_MS 3000
#define LEAD_STEP_MS 250

#define FAULT_DURATION_MS 12000
#define OUTAGE_MAX_MS 20000
#define READERS 2

/* Number of changed services; more than a datagram holds. */
#define CHANGES 12
#define SEEDS 2

/* The settings of a node on the users' platform, as in settings.json.in. */
static void
configure(struct world_config *config, uint32_t data_centres, uint32_t nodes,
    uint64_t seed)
{
	world_config_init(config, seed);
	config->data_centres = data_centres;
	config->nodes = nodes;
	config->follow = 1;
	config->check = 0;
	config->probe_ms = 500;
	config->probe_timeout_ms = 150;
	config->suspicion_ms = 1500;
	config->profile.readers = READERS;
	config->profile.head_poll_ms = 100;
	config->profile.batch_ms = 100;
	config->profile.floor_wait_ms = 40;
	config->profile.floor_ask_ms = 200;
	config->profile.alone_poll_ms = 300;
}

/* Sizes of the users' deployments, and a single data centre, which receives no
 * versions from others. */
static const struct {
	uint32_t data_centres;
	uint32_t nodes;
} sizes[] = {{3, 4}, {1, 12}, {3, 25}};

/** enum reader_fault - fault of the readers */
enum reader_fault {
	FAULT_NONE = 0,
	FAULT_REJECTED,
	FAULT_NO_RESPONSE,
	FAULT_KILLED,
	FAULT_FROZEN,
	FAULT_STALLED,
};

static const char *const fault_names[] = {
    "no fault", "rejected", "no response", "killed", "frozen", "stalled"};

/* BRAMLEY_SEEDS sets the number of seeds of a manual run. */
static uint64_t
n_seeds(void)
{
	const char *text = getenv("BRAMLEY_SEEDS");

	return text != NULL ? strtoull(text, NULL, 10) : SEEDS;
}

static void
inject_fault(struct world *w, uint32_t node, enum reader_fault t)
{
	switch (t) {
	case FAULT_NONE:
		break;
	case FAULT_REJECTED:
		follow_set_access(w, node, FOLLOW_REJECTED);
		break;
	case FAULT_NO_RESPONSE:
		follow_set_access(w, node, FOLLOW_NO_RESPONSE);
		break;
	case FAULT_KILLED:
		world_kill(w, node);
		break;
	default:
		world_freeze(w, node, FAULT_DURATION_MS);
		break;
	}
}

static void
inject_reader_faults(struct world *w, enum reader_fault t)
{
	uint32_t i;

	/* All open connections stall; new ones work. */
	if (t == FAULT_STALLED) {
		follow_drop_pending(w);
		world_stall_connections(w);
		return;
	}

	for (i = 0; i < w->n_nodes; i++)
		if (spread_is_reader(w->nodes[i].spread))
			inject_fault(w, i, t);
}

static int
is_healthy(const struct world *w, const struct node *n)
{
	return n->up && n->frozen_us <= w->queue.now_us;
}

/* Time until all healthy hosts hold a version, at most FAULT_DURATION_MS. */
static uint64_t
time_to_apply_ms(struct world *w, uint64_t version)
{
	uint64_t ms;
	uint32_t i;

	for (ms = 0; ms < FAULT_DURATION_MS; ms += 10) {
		for (i = 0; i < w->n_nodes; i++)
			if (is_healthy(w, &w->nodes[i]) &&
			    w->nodes[i].version < version)
				break;
		if (i == w->n_nodes)
			break;
		world_run(w, 10);
	}
	return ms;
}

static uint64_t
run_change(
    const struct world_config *config, enum reader_fault t, uint64_t lead_ms)
{
	struct world *w = scenario_start(config);
	uint64_t ms;

	/* Changes before the fault, so that some readers are not those of the
	 * start. */
	world_run(w, 3000 + config->seed * 137);
	(void)world_sign(w, WORLD_NO_NODE, 1);
	world_run(w, 4000);
	inject_reader_faults(w, t);
	world_run(w, lead_ms);
	ms = time_to_apply_ms(w, world_sign(w, WORLD_NO_NODE, CHANGES));
	world_free(w);
	return ms;
}

/**
 * struct summary - times of the runs of a test
 * @limit_ms: time limit of a run
 * @runs: number of runs
 * @max_ms: longest time
 * @n_late: number of runs that exceeded @limit_ms
 */
struct summary {
	uint64_t limit_ms;
	uint32_t runs;
	uint64_t max_ms;
	uint32_t n_late;
};

static void
summary_add(struct summary *t, uint64_t ms)
{
	t->runs++;
	t->max_ms = MAX(t->max_ms, ms);
	t->n_late += ms > t->limit_ms ? 1 : 0;
}

static void
summary_check(const struct summary *t, const char *what, uint32_t hosts)
{
	printf("%s, %u hosts: %u runs, at most %u ms, %u over the limit\n",
	    what, hosts, t->runs, (unsigned int)t->max_ms, t->n_late);
	(void)fflush(stdout);
	ck_assert_uint_eq(t->n_late, 0);
}

static void
run_all(enum reader_fault t, uint32_t size)
{
	uint32_t data_centres = sizes[size].data_centres;
	uint32_t nodes = sizes[size].nodes;
	struct summary summary = {.limit_ms = APPLY_LIMIT_MS - APPLY_MARGIN_MS};
	struct world_config config;
	uint64_t seed, lead_ms;

	for (seed = 1; seed <= n_seeds(); seed++) {
		configure(&config, data_centres, nodes, seed);
		for (lead_ms = 0; lead_ms <= LEAD_MAX_MS;
		     lead_ms += LEAD_STEP_MS)
			summary_add(&summary, run_change(&config, t, lead_ms));
	}
	summary_check(&summary, fault_names[t], data_centres * nodes);
}

START_TEST(healthy_readers_apply_a_change_in_time)
{
	run_all(FAULT_NONE, (uint32_t)_i);
}
END_TEST

START_TEST(rejected_readers_are_replaced)
{
	run_all(FAULT_REJECTED, (uint32_t)_i);
}
END_TEST

START_TEST(readers_without_a_response_are_replaced)
{
	run_all(FAULT_NO_RESPONSE, (uint32_t)_i);
}
END_TEST

START_TEST(killed_readers_are_replaced)
{
	run_all(FAULT_KILLED, (uint32_t)_i);
}
END_TEST

START_TEST(stalled_connections_delay_no_change)
{
	run_all(FAULT_STALLED, (uint32_t)_i);
}
END_TEST

/* Serves only one or two random hosts of each data centre. */
static void
serve_few(struct world *w, const struct world_config *config,
    enum follow_access access)
{
	GRand *rng = g_rand_new_with_seed((guint32)config->seed);
	uint32_t i, base, n = config->nodes;

	for (i = 0; i < w->n_nodes; i++)
		follow_set_access(w, i, access);
	for (base = 0; base < w->n_nodes; base += n)
		for (i = 0; i < 2; i++)
			follow_set_access(w,
			    base +
				(uint32_t)g_rand_int_range(rng, 0, (gint32)n),
			    FOLLOW_SERVED);
	g_rand_free(rng);
}

static uint64_t
run_few_served(const struct world_config *config, enum follow_access access,
    uint64_t lead_ms)
{
	struct world *w = scenario_start(config);
	uint64_t ms;

	world_run(w, 5000);
	serve_few(w, config, access);
	world_run(w, lead_ms);
	ms = time_to_apply_ms(w, world_sign(w, WORLD_NO_NODE, CHANGES));
	world_free(w);
	return ms;
}

/* The platform serves one or two hosts of each data centre, which are usually
 * neither readers nor standby readers. */
START_TEST(the_few_served_nodes_read_for_all)
{
	static const enum follow_access access[] = {
	    FOLLOW_REJECTED, FOLLOW_NO_RESPONSE};
	struct summary summary = {.limit_ms = APPLY_LIMIT_MS};
	struct world_config config;
	uint64_t seed, lead_ms;

	for (seed = 1; seed <= 4 * n_seeds(); seed++) {
		configure(&config, 3, 25, seed);
		for (lead_ms = 0; lead_ms <= LEAD_MAX_MS;
		     lead_ms += 2 * LEAD_STEP_MS)
			summary_add(&summary,
			    run_few_served(&config, access[_i], lead_ms));
	}
	summary_check(
	    &summary, _i == 0 ? "most rejected" : "most without response", 75);
}
END_TEST

/* The platform is unavailable to all hosts, and a change is accepted when the
 * outage ends. */
static uint64_t
run_outage_end(const struct world_config *config, enum follow_access access,
    uint64_t outage_ms)
{
	struct world *w = scenario_start(config);
	uint64_t ms;
	uint32_t i;

	world_run(w, 5000);
	for (i = 0; i < w->n_nodes; i++)
		follow_set_access(w, i, access);
	world_run(w, outage_ms);
	for (i = 0; i < w->n_nodes; i++)
		follow_set_access(w, i, FOLLOW_SERVED);
	ms = time_to_apply_ms(w, world_sign(w, WORLD_NO_NODE, 1));
	world_free(w);
	return ms;
}

START_TEST(a_change_at_the_end_of_an_outage_is_applied_in_time)
{
	static const enum follow_access access[] = {
	    FOLLOW_REJECTED, FOLLOW_NO_RESPONSE};
	struct summary summary = {.limit_ms = APPLY_LIMIT_MS - APPLY_MARGIN_MS};
	struct world_config config;
	uint64_t seed, outage_ms;

	for (seed = 1; seed <= 2 * n_seeds(); seed++) {
		configure(&config, 3, 4, seed);
		for (outage_ms = 1000; outage_ms <= OUTAGE_MAX_MS;
		     outage_ms += 1500)
			summary_add(&summary,
			    run_outage_end(&config, access[_i], outage_ms));
	}
	summary_check(
	    &summary, _i == 0 ? "outage, rejected" : "outage, no response", 12);
}
END_TEST

/* Versions that the store's copy lacks, and changes of others meanwhile. */
static void
make_newer_than_copy(struct world *w, GRand *rng)
{
	follow_back_up(w);
	follow_write_others(w, (uint32_t)g_rand_int_range(rng, 0, 60));
	(void)world_sign(w, WORLD_NO_NODE, 1);
	world_run(w, (uint64_t)g_rand_int_range(rng, 0, 3000));
}

/* The store comes back from the copy, and operators write their version
 * again. */
static void
restore(struct world *w, GRand *rng)
{
	follow_restore(w,
	    g_rand_boolean(rng) ? FOLLOW_PENDING_CLOSED : FOLLOW_PENDING_KEPT);
	world_run(w, (uint64_t)g_rand_int_range(rng, 0, 600));
	follow_changed(w);
}

static uint64_t
run_restore(
    const struct world_config *config, enum reader_fault t, uint64_t lead_ms)
{
	struct world *w = scenario_start(config);
	GRand *rng = g_rand_new_with_seed(
	    (guint32)(config->seed * LEAD_MAX_MS + lead_ms));
	uint64_t ms;

	world_run(w, 3000 + config->seed * 137);
	make_newer_than_copy(w, rng);
	inject_reader_faults(w, t);
	world_run(w, lead_ms);
	restore(w, rng);
	if (g_rand_boolean(rng)) {
		world_run(w, (uint64_t)g_rand_int_range(rng, 0, 1500));
		restore(w, rng);
	}
	follow_write_others(w, (uint32_t)g_rand_int_range(rng, 0, 120));
	world_run(w, (uint64_t)g_rand_int_range(rng, 0, 500));
	ms = time_to_apply_ms(w, world_sign(w, WORLD_NO_NODE, CHANGES));
	g_rand_free(rng);
	world_free(w);
	return ms;
}

/*
 * Failure guarded against: after the store came back from an older copy, no
 * host applied accepted versions until the store's numbers had passed those
 * known from before.
 */
START_TEST(a_change_after_the_store_is_restored_is_applied_in_time)
{
	struct summary summary = {.limit_ms = APPLY_LIMIT_MS - APPLY_MARGIN_MS};
	uint32_t size = (uint32_t)_i % (uint32_t)G_N_ELEMENTS(sizes);
	enum reader_fault t =
	    (enum reader_fault)((uint32_t)_i / G_N_ELEMENTS(sizes));
	struct world_config config;
	uint64_t seed, lead_ms;
	char what[64];

	for (seed = 1; seed <= n_seeds(); seed++) {
		configure(
		    &config, sizes[size].data_centres, sizes[size].nodes, seed);
		for (lead_ms = 0; lead_ms <= LEAD_MAX_MS;
		     lead_ms += 2 * LEAD_STEP_MS)
			summary_add(&summary, run_restore(&config, t, lead_ms));
	}
	(void)g_snprintf(what, sizeof(what), "restore, %s", fault_names[t]);
	summary_check(
	    &summary, what, sizes[size].data_centres * sizes[size].nodes);
}
END_TEST

/* Hosts restart while the store still has the older version of its copy, before
 * operators write their version again. */
static void
run_restarts_before_rewrite(const struct world_config *config, uint32_t n)
{
	struct world *w = scenario_start(config);
	GRand *rng = g_rand_new_with_seed((guint32)config->seed);
	uint32_t i, node;

	world_run(w, 3000 + config->seed * 137);
	make_newer_than_copy(w, rng);
	world_run(w, 2000);
	follow_restore(w, FOLLOW_PENDING_CLOSED);
	for (i = 0; i < n; i++) {
		node = (uint32_t)g_rand_int_range(rng, 0, (gint32)w->n_nodes);
		world_kill(w, node);
		world_run(w, (uint64_t)g_rand_int_range(rng, 0, 100));
		world_start(w, node);
		/* As a holder of the first places does at its start. */
		if (g_rand_boolean(rng)) {
			world_run(w, 10);
			spread_read_now(w->nodes[node].spread, world_now_ms(w));
			world_dispatch(&w->nodes[node]);
		}
	}
	world_run(w, 3000);
	follow_changed(w);
	g_rand_free(rng);
	scenario_finish(w);
}

/* The checker reports a host that serves less than it has held. */
START_TEST(hosts_that_start_before_the_rewrite_serve_no_older_version)
{
	struct world_config config;
	uint64_t seed;

	for (seed = 1; seed <= 8 * n_seeds(); seed++) {
		configure(
		    &config, sizes[_i].data_centres, sizes[_i].nodes, seed);
		run_restarts_before_rewrite(&config, 1 + (uint32_t)seed % 4);
	}
}
END_TEST

START_TEST(frozen_readers_are_replaced)
{
	run_all(FAULT_FROZEN, (uint32_t)_i);
}
END_TEST

int
main(void)
{
	const TTest *const tests[] = {healthy_readers_apply_a_change_in_time,
	    rejected_readers_are_replaced,
	    readers_without_a_response_are_replaced,
	    killed_readers_are_replaced, frozen_readers_are_replaced,
	    stalled_connections_delay_no_change};
	Suite *s = suite_create("reading");
	TCase *tc = tcase_create("reading");
	int i;

	tcase_set_timeout(tc, 60);
	for (i = 0; i < (int)G_N_ELEMENTS(tests); i++)
		tcase_add_loop_test(tc, tests[i], 0, (int)G_N_ELEMENTS(sizes));
	tcase_add_loop_test(
	    tc, a_change_at_the_end_of_an_outage_is_applied_in_time, 0, 2);
	tcase_add_loop_test(tc, the_few_served_nodes_read_for_all, 0, 2);
	tcase_add_loop_test(tc,
	    hosts_that_start_before_the_rewrite_serve_no_older_version, 0,
	    (int)G_N_ELEMENTS(sizes));
	tcase_add_loop_test(tc,
	    a_change_after_the_store_is_restored_is_applied_in_time, 0,
	    (FAULT_STALLED + 1) * (int)G_N_ELEMENTS(sizes));
	suite_add_tcase(s, tc);
	return scenario_main(s);
}
