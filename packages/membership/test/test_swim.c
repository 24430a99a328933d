/*
 * Tests of failure detection, refutation, leaving, freezing and joining inside
 * a data centre, each over several seeds.
 */
#include <string.h>

#include <check.h>

#include "base/clock.h"

#include "cluster.h"
#include "fake_net.h"
#include "test_run.h"

#define SEEDS 5
#define JOIN_MS 30000

static struct fake_net *f;

/* Whether all other nodes that are up hold node @of in @state. */
static int
all_hold(uint32_t of, int state)
{
	uint32_t i;

	for (i = 0; i < f->n; i++)
		if (i != of && fake_up(f, i) && fake_state(f, i, of) != state)
			return 0;
	return 1;
}

static int
one_failed(struct fake_net *g)
{
	(void)g;
	return all_hold(1, MEMBER_FAILED);
}

static int
one_left(struct fake_net *g)
{
	(void)g;
	return all_hold(1, MEMBER_LEFT);
}

static int
one_unknown(struct fake_net *g)
{
	(void)g;
	return all_hold(1, -1);
}

static uint64_t
n_failures(void)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < f->n; i++)
		if (f->nodes[i].m != NULL)
			sum += membership_counters(f->nodes[i].m)->failed;
	return sum;
}

START_TEST(nobody_fails_while_messages_are_lost)
{
	static const uint32_t loss[] = {0, 5, 10, 20};
	uint32_t seed = (uint32_t)_i, i;

	for (i = 0; i < G_N_ELEMENTS(loss); i++) {
		f = cluster_begin(seed, 12, 1, JOIN_MS);
		f->loss_percent = loss[i];
		fake_run(f, 120000);
		ck_assert_msg(n_failures() == 0,
		    "seed %u: a live host failed at %u %% loss", seed, loss[i]);
		cluster_end(f, seed);
	}
}
END_TEST

START_TEST(a_killed_host_is_found_by_all)
{
	static const uint32_t sizes[] = {2, 3, 5, 20};
	uint32_t seed = (uint32_t)_i, i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		f = cluster_begin(seed, sizes[i], 1, JOIN_MS);
		f->loss_percent = 5;
		fake_run(f, 2000);
		fake_kill(f, 1);
		cluster_wait(
		    f, seed, 20000, one_failed, "killed host marked as failed");
		ck_assert_uint_le(n_failures(), sizes[i] - 1);
		cluster_end(f, seed);
	}
}
END_TEST

/*
 * Guards against synchronized probes: nodes that fetched the table from one
 * peer probed its hosts in the same order, all the same host at a time, and a
 * dead host was detected after up to 290 s (found by the bench).
 */
START_TEST(nodes_do_not_probe_in_step)
{
	static const uint32_t victims[] = {20, 50, 80, 95};
	uint32_t seed = (uint32_t)_i, i;
	uint64_t began;

	f = cluster_begin(seed, 100, 1, JOIN_MS);
	for (i = 0; i < G_N_ELEMENTS(victims); i++) {
		fake_kill(f, victims[i]);
		began = f->now_ms;
		while (f->now_ms < began + 20000)
			fake_run(f, 500);
		ck_assert_msg(all_hold(victims[i], MEMBER_FAILED),
		    "seed %u: h%u is not failed", seed, victims[i]);
	}
	cluster_end(f, seed);
}
END_TEST

START_TEST(a_one_way_cut_between_two_fails_nobody)
{
	uint32_t seed = (uint32_t)_i;

	f = cluster_begin(seed, 8, 1, JOIN_MS);
	fake_cut(f, 2, 5, 1);
	fake_run(f, 90000);
	ck_assert_uint_eq(n_failures(), 0);
	cluster_end(f, seed);
}
END_TEST

/*
 * A node that cannot receive, cannot send, or can do neither: the other nodes
 * do not mark each other as failed, and after the partition the node returns
 * without having marked the others.
 */
START_TEST(only_the_cut_off_node_is_marked_failed)
{
	uint32_t seed = (uint32_t)_i, how, i, j;

	for (how = 1; how <= 3; how++) {
		f = cluster_begin(seed, 10, 1, JOIN_MS);
		if (how & 1)
			fake_cut_in(f, 1, 1);
		if (how & 2)
			fake_cut_out(f, 1, 1);
		fake_run(f, 60000);
		ck_assert_msg(
		    one_failed(f), "seed %u, cut %u: not failed", seed, how);
		for (i = 0; i < f->n; i++)
			for (j = 0; j < f->n; j++)
				ck_assert(i == 1 || j == 1 ||
				    fake_state(f, i, j) < MEMBER_FAILED);
		fake_cut_in(f, 1, 0);
		fake_cut_out(f, 1, 0);
		cluster_wait(f, seed, 30000, fake_all_live, "healed");
		cluster_wait(
		    f, seed, 30000, fake_agreed, "agreed after the cut");
		cluster_end(f, seed);
	}
}
END_TEST

/*
 * Two partitions that marked each other as failed merge again, also after the
 * tombstones have expired.
 */
START_TEST(partitions_merge_after_tombstones_expire)
{
	uint32_t seed = (uint32_t)_i;
	struct membership_settings s;
	uint32_t i;

	f = fake_net_new(seed);
	f->seeds[0] = fake_settings(f, 0, 0).address;
	f->seeds[1] = fake_settings(f, 1, 0).address;
	f->n_seeds = 2;
	for (i = 0; i < 10; i++) {
		s = fake_settings(f, i, 0);
		s.forget_ms = 15000;
		(void)fake_start(f, i, &s, 0);
	}
	cluster_wait(f, seed, JOIN_MS, fake_agreed, "joined");
	fake_cut_dc(f, 0, 2, 1);
	fake_run(f, 80000);
	ck_assert_int_eq(fake_state(f, 0, 1), -1);
	ck_assert_int_lt(fake_state(f, 0, 2), MEMBER_FAILED);
	fake_cut_dc(f, 0, 2, 0);
	cluster_wait(f, seed, 40000, fake_all_live, "partitions merged");
	cluster_wait(f, seed, 40000, fake_agreed, "partitions agreed");
	cluster_end(f, seed);
}
END_TEST

START_TEST(a_leaving_host_is_known_by_all_and_stays_gone)
{
	uint32_t seed = (uint32_t)_i, i;

	f = fake_net_new(seed);
	f->seeds[0] = fake_settings(f, 0, 0).address;
	f->n_seeds = 1;
	for (i = 0; i < 16; i++) {
		struct membership_settings s = fake_settings(f, i, 0);

		s.forget_ms = 20000;
		(void)fake_start(f, i, &s, 0);
	}
	cluster_wait(f, seed, JOIN_MS, fake_agreed, "joined");
	(void)membership_announce(f->nodes[1].m, f->now_ms, "search", 80, 1,
	    ENDPOINT_READY, DEADLINE_NEVER, MEMBER_COLD_UNKNOWN, NULL);
	/*
	 * One node is frozen during the leave and until its tombstone has
	 * expired.
	 */
	fake_run(f, 5000);
	fake_freeze(f, 5);
	membership_leave(f->nodes[1].m, f->now_ms);
	cluster_wait(f, seed, 2000, one_left, "leave known");
	ck_assert_int_eq(
	    membership_find(f->nodes[2].m, "h1")->endpoints[0].state,
	    ENDPOINT_LEFT);
	fake_run(f, 1000);
	ck_assert_int_eq(membership_phase(f->nodes[1].m), MEMBERSHIP_LEFT);
	fake_kill(f, 1);
	fake_run(f, 30000);
	ck_assert(one_unknown(f));
	fake_thaw(f, 5);
	fake_run(f, 500);
	cluster_wait(
	    f, seed, 30000, one_unknown, "leave known to the frozen node");
	fake_run(f, 10000);
	ck_assert(one_unknown(f));
	cluster_end(f, seed);
}
END_TEST

START_TEST(a_frozen_host_fails_nobody_and_comes_back)
{
	static const uint64_t freeze_ms[] = {3500, 8000, 60000};
	uint32_t seed = (uint32_t)_i, i;

	for (i = 0; i < G_N_ELEMENTS(freeze_ms); i++) {
		f = cluster_begin(seed, 10, 1, JOIN_MS);
		(void)membership_announce(f->nodes[1].m, f->now_ms, "search",
		    80, 1, ENDPOINT_READY, f->now_ms + 2000,
		    MEMBER_COLD_UNKNOWN, NULL);
		fake_run(f, 1000);
		fake_freeze(f, 1);
		fake_run(f, freeze_ms[i]);
		fake_thaw(f, 1);
		/*
		 * Its upstreams could not renew their leases during the freeze.
		 */
		ck_assert_int_eq(
		    membership_self(f->nodes[1].m)->endpoints[0].state,
		    ENDPOINT_READY);
		cluster_wait(
		    f, seed, 5000, fake_all_live, "thawed host is live");
		cluster_wait(
		    f, seed, 5000, fake_agreed, "agreed after the thaw");
		ck_assert_uint_eq(
		    membership_counters(f->nodes[1].m)->failed, 0);
		cluster_end(f, seed);
	}
}
END_TEST

/* The wall clock of the new process is an hour behind. */
START_TEST(a_restarted_host_exceeds_its_previous_incarnation)
{
	uint32_t seed = (uint32_t)_i;
	struct membership_settings s;
	uint64_t was;

	f = cluster_begin(seed, 8, 1, JOIN_MS);
	(void)membership_announce(f->nodes[1].m, f->now_ms, "search", 80, 1,
	    ENDPOINT_READY, DEADLINE_NEVER, MEMBER_COLD_UNKNOWN, NULL);
	fake_run(f, 2000);
	was = membership_find(f->nodes[3].m, "h1")->incarnation;
	fake_kill(f, 1);
	fake_run(f, seed % 2 == 0 ? 500 : 20000);
	s = fake_settings(f, 1, 0);
	(void)fake_start(f, 1, &s, -3600000);
	cluster_wait(f, seed, 10000, fake_all_live, "restarted host is live");
	cluster_wait(f, seed, 10000, fake_agreed, "agreed after the restart");
	ck_assert_uint_gt(
	    membership_find(f->nodes[3].m, "h1")->incarnation, was);
	ck_assert_uint_eq(membership_find(f->nodes[3].m, "h1")->n_endpoints, 0);
	cluster_end(f, seed);
}
END_TEST

/* Time within which a host that restarts without seeds joins. */
#define REJOIN_MS 1500

/*
 * A host stops as planned and restarts while the directory is unavailable, so
 * it has no seeds; its peers ping hosts that left.  Unless the host joins
 * through the first ping, it waits 3 s for seeds with its upstream idle.
 */
START_TEST(host_without_seeds_joins_through_a_received_ping)
{
	uint32_t seed = (uint32_t)_i;
	struct membership_settings s;

	f = cluster_begin(seed, 8, 1, JOIN_MS);
	fake_run(f, 60000);
	membership_leave(f->nodes[1].m, f->now_ms);
	fake_run(f, 3000);
	fake_kill(f, 1);
	fake_run(f, 500);
	s = fake_settings(f, 1, 0);
	s.seeds = NULL;
	s.n_seeds = 0;
	s.await_seeds_ms = 3000;
	(void)fake_start(f, 1, &s, 0);
	cluster_wait(
	    f, seed, REJOIN_MS, fake_all_live, "joined through a ping");
	cluster_end(f, seed);
}
END_TEST

/*
 * The last change of a host that died reached a single peer; its new process
 * learns its incarnation from another peer.  (Found by test_chaos, seed 1350:
 * both processes reached the same incarnation, and the peer kept the old
 * endpoints.)
 */
START_TEST(a_restarted_host_overrides_a_change_known_to_one_peer)
{
	uint32_t seed = (uint32_t)_i, i;
	struct membership_settings s;

	f = cluster_begin(seed, 4, 1, JOIN_MS);
	fake_run(f, 2000);
	for (i = 2; i < 4; i++) {
		fake_cut(f, 0, i, 1);
		fake_cut(f, 1, i, 1);
	}
	(void)membership_announce(f->nodes[1].m, f->now_ms, "search", 80, 1,
	    ENDPOINT_READY, DEADLINE_NEVER, MEMBER_COLD_UNKNOWN, NULL);
	fake_run(f, 1000);
	fake_kill(f, 1);
	s = fake_settings(f, 1, 0);
	s.seeds = &f->nodes[2].addr;
	s.n_seeds = 1;
	(void)fake_start(f, 1, &s, -3600000);
	fake_run(f, 200);
	fake_cut_out(f, 0, 0);
	fake_cut_out(f, 1, 0);
	cluster_wait(f, seed, 30000, fake_agreed, "agreed after the restart");
	for (i = 0; i < 4; i++)
		ck_assert_uint_eq(
		    membership_find(f->nodes[i].m, "h1")->n_endpoints, 0);
	cluster_end(f, seed);
}
END_TEST

/* Endpoint changes with messages that are reordered, duplicated and lost. */
START_TEST(reordered_duplicated_and_lost_messages_end_with_the_same_tables)
{
	static const enum endpoint_state states[] = {
	    ENDPOINT_STARTING, ENDPOINT_READY, ENDPOINT_DRAINING};
	uint32_t seed = (uint32_t)_i, i;

	f = cluster_begin(seed, 12, 1, JOIN_MS);
	f->delay_ms = 250;
	f->duplicate_percent = 30;
	f->loss_percent = 10;
	for (i = 0; i < 120; i++) {
		(void)membership_announce(f->nodes[i % 12].m, f->now_ms,
		    "search", (uint16_t)(80 + i % 3), 1,
		    states[g_rand_int_range(f->rand, 0, 3)], DEADLINE_NEVER,
		    MEMBER_COLD_UNKNOWN, NULL);
		fake_run(f, (uint64_t)g_rand_int_range(f->rand, 0, 300));
	}
	f->loss_percent = 0;
	cluster_wait(f, seed, 20000, fake_agreed, "same tables");
	cluster_end(f, seed);
}
END_TEST

START_TEST(sixty_hosts_that_join_at_once_agree)
{
	uint32_t seed = (uint32_t)_i;

	f = fake_net_new(seed);
	fake_start_all(f, 60, 1);
	cluster_wait(f, seed, 20000, fake_agreed, "herd of 60 joined");
	cluster_end(f, seed);
}
END_TEST

/* A whole data centre restarts at the same addresses, while the others run. */
START_TEST(a_data_centre_restarts_at_once)
{
	uint32_t seed = (uint32_t)_i, i;
	struct membership_settings s;

	f = cluster_begin(seed, 60, 3, JOIN_MS);
	for (i = 0; i < 60; i += 3)
		fake_kill(f, i);
	fake_run(f, 3000);
	for (i = 0; i < 60; i += 3) {
		s = fake_settings(f, i, 0);
		(void)fake_start(f, i, &s, 0);
	}
	cluster_wait(f, seed, 20000, fake_all_live, "all live again");
	cluster_wait(f, seed, 20000, fake_agreed, "agreed again");
	cluster_end(f, seed);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("membership inside a data centre");
	TCase *tc = tcase_create("swim");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, nobody_fails_while_messages_are_lost, 0, SEEDS);
	tcase_add_loop_test(tc, a_killed_host_is_found_by_all, 0, SEEDS);
	tcase_add_loop_test(tc, nodes_do_not_probe_in_step, 0, 2);
	tcase_add_loop_test(
	    tc, a_one_way_cut_between_two_fails_nobody, 0, SEEDS);
	tcase_add_loop_test(
	    tc, only_the_cut_off_node_is_marked_failed, 0, SEEDS);
	tcase_add_loop_test(
	    tc, partitions_merge_after_tombstones_expire, 0, SEEDS);
	tcase_add_loop_test(
	    tc, a_leaving_host_is_known_by_all_and_stays_gone, 0, SEEDS);
	tcase_add_loop_test(
	    tc, a_frozen_host_fails_nobody_and_comes_back, 0, SEEDS);
	tcase_add_loop_test(
	    tc, a_restarted_host_exceeds_its_previous_incarnation, 0, SEEDS);
	tcase_add_loop_test(tc,
	    a_restarted_host_overrides_a_change_known_to_one_peer, 0, SEEDS);
	tcase_add_loop_test(
	    tc, host_without_seeds_joins_through_a_received_ping, 0, SEEDS);
	tcase_add_loop_test(tc,
	    reordered_duplicated_and_lost_messages_end_with_the_same_tables, 0,
	    SEEDS);
	tcase_add_loop_test(tc, sixty_hosts_that_join_at_once_agree, 0, SEEDS);
	tcase_add_loop_test(tc, a_data_centre_restarts_at_once, 0, SEEDS);
	suite_add_tcase(s, tc);
	return test_run(s);
}
