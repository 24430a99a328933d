/*
 * Tests of progress reports, concurrent joins, large versions and invalid
 * messages.
 */
#include <string.h>

#include "scenario.h"

/* Queries the progress from a node and sums it over the data centres. */
static void
query_progress(struct world *w, uint32_t node, uint32_t *nodes,
    uint32_t *holding, uint64_t *lowest)
{
	const struct spread_progress *p;
	uint32_t i, n;

	spread_progress_ask(w->nodes[node].spread, world_now_ms(w));
	world_dispatch(&w->nodes[node]);
	world_run(w, 100);
	*nodes = *holding = 0;
	*lowest = UINT64_MAX;
	p = spread_progress(w->nodes[node].spread, &n);
	for (i = 0; i < n; i++) {
		*nodes += p[i].nodes;
		*holding += p[i].holding;
		*lowest = MIN(*lowest, p[i].lowest);
	}
}

/* Any node can report how many nodes hold the newest version. */
START_TEST(test_progress)
{
	struct world_config config;
	struct world *w;
	uint32_t i, nodes, holding;
	uint64_t lowest, version;

	world_config_init(&config, (uint64_t)_i + 1);
	config.nodes = 40;
	config.check = 0;
	w = scenario_start(&config);
	version = world_sign(w, 0, 1);
	ck_assert(world_run_until_converged(w, 10000));
	world_run(w, 8000);
	for (i = 0; i < w->n_nodes; i += 17) {
		query_progress(w, i, &nodes, &holding, &lowest);
		ck_assert_uint_eq(nodes, w->n_nodes);
		ck_assert_uint_eq(holding, w->n_nodes);
		ck_assert_uint_eq(lowest, version);
	}
	scenario_finish(w);
}
END_TEST

/* Queries the refusals in the fleet from a node. */
static struct spread_refusal
query_refusals(struct world *w, uint32_t node)
{
	struct spread_refusal sum = {0};
	const struct spread_progress *p;
	uint32_t i, n, nodes, holding;
	uint64_t lowest;

	query_progress(w, node, &nodes, &holding, &lowest);
	p = spread_progress(w->nodes[node].spread, &n);
	for (i = 0; i < n; i++)
		spread_refusal_add(&sum, &p[i].refusal);
	return sum;
}

static void
set_refusal(struct world *w, uint32_t node, uint64_t version, uint64_t since_ms)
{
	struct spread_refusal r = {1, version, since_ms, ""};

	(void)g_snprintf(
	    r.reason, sizeof(r.reason), "why %u", (unsigned)version);
	spread_set_refusal(w->nodes[node].spread, world_now_ms(w), &r);
}

/* Any node can report how many nodes refuse a version, the highest version
 * refused, the earliest time and the reason; and that the refusals have
 * ended. */
START_TEST(test_progress_counts_refusals)
{
	const struct spread_refusal none = {0};
	struct world_config config;
	struct spread_refusal r;
	struct world *w;
	uint32_t i;

	world_config_init(&config, (uint64_t)_i + 1);
	config.nodes = 40;
	config.check = 0;
	w = scenario_start(&config);
	world_run(w, 8000);
	set_refusal(w, 3, 10, 5000);
	set_refusal(w, 5, 12, 4000);
	set_refusal(w, 39, 12, 6000);
	set_refusal(w, w->n_nodes - 1, 0, 7000);
	world_run(w, 8000);
	for (i = 0; i < w->n_nodes; i += 17) {
		r = query_refusals(w, i);
		ck_assert_uint_eq(r.nodes, 4);
		ck_assert_uint_eq(r.version, 12);
		ck_assert_uint_eq(r.since_wall_ms, 4000);
		ck_assert_str_eq(r.reason, "why 12");
	}
	spread_set_refusal(w->nodes[3].spread, world_now_ms(w), &none);
	spread_set_refusal(w->nodes[5].spread, world_now_ms(w), &none);
	spread_set_refusal(w->nodes[39].spread, world_now_ms(w), &none);
	spread_set_refusal(
	    w->nodes[w->n_nodes - 1].spread, world_now_ms(w), &none);
	world_run(w, 8000);
	r = query_refusals(w, 1);
	ck_assert_uint_eq(r.nodes, 0);
	ck_assert_uint_eq(r.since_wall_ms, 0);
	scenario_finish(w);
}
END_TEST

/* A lost report does not hide a node's progress for long. */
START_TEST(test_progress_with_packet_loss)
{
	struct world_config config;
	struct world *w;
	uint32_t i, nodes, holding;
	uint64_t lowest;

	world_config_init(&config, (uint64_t)_i + 1);
	config.nodes = 20;
	config.check = 0;
	config.loss_rate = 0.05;
	w = scenario_start(&config);
	world_sign(w, 0, 1);
	ck_assert(world_run_until_converged(w, SCENARIO_CONVERGENCE_MS));
	world_run(w, 20000);
	/* The query and its answer can be lost, too. */
	for (i = 0, holding = 0; i < 20 && holding < w->n_nodes; i++)
		query_progress(w, 0, &nodes, &holding, &lowest);
	ck_assert_uint_eq(holding, w->n_nodes);
	scenario_finish(w);
}
END_TEST

/* A stalled roll is visible: the progress lacks the nodes of a partitioned data
 * centre. */
START_TEST(test_progress_of_a_stalled_roll)
{
	struct world_config config;
	struct world *w;
	uint32_t nodes, holding;
	uint64_t lowest;

	world_config_init(&config, (uint64_t)_i + 1);
	config.nodes = 20;
	config.check = 0;
	w = scenario_start(&config);
	world_run(w, 8000);
	world_partition(w, world_platform_index(w), 2, 1);
	world_partition(w, 0, 2, 1);
	world_partition(w, 1, 2, 1);
	world_sign(w, 0, 1);
	world_run(w, 10000);
	query_progress(w, 5, &nodes, &holding, &lowest);
	ck_assert_uint_ge(nodes, 40);
	ck_assert_uint_eq(holding, 40);
	world_partition(w, world_platform_index(w), 2, 0);
	world_partition(w, 0, 2, 0);
	world_partition(w, 1, 2, 0);
	scenario_finish(w);
}
END_TEST

/* Each node serves only one peer at a time whose pull needs several answers:
 * such pulls of other starting nodes are refused, and all nodes start
 * nevertheless. */
START_TEST(test_join_limit)
{
	struct world_config config;
	struct world *w;
	uint64_t n_refused;
	uint32_t i;

	world_config_init(&config, (uint64_t)_i + 1);
	config.nodes = 20;
	config.services = 200;
	config.check = 0;
	config.profile.join_limit = 1;
	config.profile.reply_bytes = 4096;
	w = scenario_start(&config);
	for (i = 20; i < 40; i++)
		world_kill(w, i);
	world_run(w, 2000);
	for (i = 20; i < 40; i++)
		world_start(w, i);
	ck_assert(world_run_until_converged(w, SCENARIO_CONVERGENCE_MS));
	n_refused = 0;
	for (i = 0; i < w->n_nodes; i++)
		n_refused += spread_stats(w->nodes[i].spread)->pulls_refused;
	ck_assert_uint_gt(n_refused, 0);
	scenario_finish(w);
}
END_TEST

/* More services than one page of changes holds change at once, for nodes that
 * have no version, an older version, or all but the newest. */
START_TEST(test_many_services)
{
	struct world_config config;
	struct world *w;

	world_config_init(&config, 1);
	config.data_centres = 2;
	config.nodes = 3;
	config.services = 1500;
	w = scenario_start(&config);
	world_sign(w, 0, 4000);
	world_run(w, 5000);
	world_kill(w, 4);
	world_sign(w, 1, 1);
	world_start(w, 4);
	scenario_finish(w);
}
END_TEST

/* Endpoints start, drain and leave continuously during a roll; each snapshot
 * compiled meanwhile is checked. */
START_TEST(test_endpoint_churn)
{
	char service[MEMBER_NAME_BYTES];
	struct world *w;
	struct node *n;
	uint32_t i;

	w = scenario_new((uint64_t)_i + 1);
	for (i = 0; i < 400; i++) {
		n = &w->nodes[g_rand_int(w->rng) % w->n_nodes];
		g_snprintf(service, sizeof(service), "service-%04u",
		    g_rand_int(w->rng) % (w->config.services + 2));
		if (i % 3 == 0)
			(void)membership_withdraw(
			    n->membership, world_now_ms(w), service, 8080);
		else
			(void)membership_announce(n->membership,
			    world_now_ms(w), service, 8080, 12,
			    (enum endpoint_state)(i % 3),
			    world_now_ms(w) + 5000, MEMBER_COLD_UNKNOWN, NULL);
		world_dispatch(n);
		if (i % 10 == 0)
			world_sign(w, g_rand_int(w->rng) % w->n_nodes, 3);
		world_run(w, 50);
	}
	ck_assert_uint_gt(endpoint_set_size(w->nodes[0].endpoints), 0);
	scenario_finish(w);
}
END_TEST

/* Malformed and invalid messages are ignored. */
START_TEST(test_malformed_messages)
{
	uint8_t garbage[64];
	struct world *w;
	struct node *n;
	uint32_t i, j;

	w = scenario_new((uint64_t)_i + 1);
	n = &w->nodes[4];
	for (i = 0; i < 20000; i++) {
		for (j = 0; j < sizeof(garbage); j++)
			garbage[j] = (uint8_t)g_rand_int(w->rng);
		garbage[0] = 0x90 | (garbage[0] & 7);
		spread_on_datagram(n->spread, world_now_ms(w),
		    &w->nodes[5].addr, (uint8_t)(MSG_NOTICE + i % 12), garbage,
		    i % sizeof(garbage));
		spread_on_frame(n->spread, world_now_ms(w), &w->nodes[5].addr,
		    99, (uint8_t)(MSG_NOTICE + i % 12), garbage,
		    i % sizeof(garbage));
		world_dispatch(n);
	}
	scenario_roll(w, 3000, 300);
	scenario_finish(w);
}
END_TEST

/* Heads that were never signed off, with a version in force that the node
 * already holds, so that no content is fetched that would prove them wrong. */
static const struct rec_head_tag unsigned_heads[] = {
    {.seq = 114, .version = 46, .in_force = 0, .state = HEAD_ROLLING},
    {.seq = 114, .version = 46, .in_force = 1, .state = HEAD_ROLLING, .tag = 7},
    {.seq = 114, .version = 46, .in_force = 1, .state = HEAD_HALTED, .tag = 7},
    {.seq = 114, .version = 46, .in_force = 1, .state = HEAD_HALTED},
    {.seq = 114, .version = 1, .in_force = 1, .state = HEAD_ROLLING, .tag = 7},
};

START_TEST(test_unsigned_head)
{
	struct msg_notice msg = {.head = unsigned_heads[_i]};
	GByteArray *body;
	struct world *w;
	struct node *n;

	w = scenario_new((uint64_t)_i + 1);
	n = &w->nodes[4];
	body = g_byte_array_new();
	msg_notice_encode(&msg, body);
	spread_on_datagram(n->spread, world_now_ms(w), &w->nodes[5].addr,
	    MSG_NOTICE, body->data, body->len);
	g_byte_array_unref(body);
	world_dispatch(n);
	scenario_roll(w, 3000, 300);
	scenario_finish(w);
}
END_TEST

int
main(void)
{
	Suite *suite;
	TCase *tc;

	suite = suite_create("roll");
	tc = tcase_create("roll");
	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, test_progress, 0, SCENARIO_SEEDS);
	tcase_add_loop_test(
	    tc, test_progress_counts_refusals, 0, SCENARIO_SEEDS);
	tcase_add_loop_test(
	    tc, test_progress_with_packet_loss, 0, SCENARIO_SEEDS);
	tcase_add_loop_test(
	    tc, test_progress_of_a_stalled_roll, 0, SCENARIO_SEEDS);
	tcase_add_loop_test(tc, test_join_limit, 0, 3);
	tcase_add_test(tc, test_many_services);
	tcase_add_loop_test(tc, test_endpoint_churn, 0, SCENARIO_SEEDS);
	tcase_add_loop_test(tc, test_malformed_messages, 12, 24);
	tcase_add_loop_test(
	    tc, test_unsigned_head, 0, (int)G_N_ELEMENTS(unsigned_heads));
	suite_add_tcase(suite, tc);
	return scenario_main(suite);
}
