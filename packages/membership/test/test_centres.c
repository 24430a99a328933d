/*
 * Tests across data centres: replication of records, partitions, and two hosts
 * with one name or address.
 */
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "base/clock.h"

#include "cluster.h"
#include "fake_net.h"
#include "test_run.h"

#define SEEDS 8
#define JOIN_MS 40000
#define DCS 3
#define NODES 18

static struct fake_net *f;

static void
announce(uint32_t i, enum endpoint_state state)
{
	(void)membership_announce(f->nodes[i].m, f->now_ms, "search", 80, 12,
	    state, DEADLINE_NEVER, MEMBER_COLD_UNKNOWN, NULL);
}

/* Whether all nodes that are up hold node 1's endpoint as draining. */
static int
drain_known(struct fake_net *g)
{
	const struct member *mb;
	uint32_t i;

	for (i = 0; i < g->n; i++) {
		if (!fake_up(g, i))
			continue;
		mb = membership_find(g->nodes[i].m, "h1");
		if (mb == NULL || mb->n_endpoints != 1 ||
		    mb->endpoints[0].state != ENDPOINT_DRAINING)
			return 0;
	}
	return 1;
}

START_TEST(a_drain_reaches_all_data_centres_within_two_seconds)
{
	uint32_t seed = (uint32_t)_i;

	f = cluster_begin(seed, 30, 5, JOIN_MS);
	announce(1, ENDPOINT_READY);
	cluster_wait(f, seed, 10000, fake_agreed, "endpoint known");
	announce(1, ENDPOINT_DRAINING);
	cluster_wait(f, seed, 2000, drain_known, "drain known");
	cluster_end(f, seed);
}
END_TEST

/* The relays die; other nodes take over. */
START_TEST(relays_are_replaced)
{
	const struct member *ranked[2];
	uint32_t seed = (uint32_t)_i, i, n;

	f = cluster_begin(seed, 30, 2, JOIN_MS);
	n = membership_rank(f->nodes[1].m, "d1", "relay:d0", ranked, 2);
	for (i = 0; i < n; i++)
		if (strcmp(ranked[i]->host, "h1") != 0)
			fake_kill(f,
			    (uint32_t)strtoul(ranked[i]->host + 1, NULL, 10));
	announce(1, ENDPOINT_DRAINING);
	cluster_wait(f, seed, 25000, drain_known, "drain known");
	cluster_end(f, seed);
}
END_TEST

static int
any_remote_not_live(uint32_t dc)
{
	uint32_t i, j;

	for (i = 0; i < f->n; i++)
		for (j = 0; fake_up(f, i) && j < f->n; j++)
			if ((i % DCS == dc) != (j % DCS == dc) &&
			    fake_up(f, j) &&
			    fake_state(f, i, j) >= MEMBER_FAILED)
				return 1;
	return 0;
}

/*
 * A data centre is cut off; hosts of both sides die, start and drain; the
 * partition heals.
 */
START_TEST(a_data_centre_that_is_cut_off_is_not_suspected_and_catches_up)
{
	uint32_t seed = (uint32_t)_i;
	struct membership_settings s;

	f = cluster_begin(seed, NODES, DCS, JOIN_MS);
	announce(1, ENDPOINT_READY);
	fake_run(f, 3000);
	fake_cut_dc(f, 1, DCS, 1);
	fake_run(f, 60000);
	ck_assert(!any_remote_not_live(1));
	announce(1, ENDPOINT_DRAINING);
	fake_kill(f, 7); /* in the cut-off data centre */
	fake_kill(f, 5); /* in another data centre */
	s = fake_settings(f, NODES, NODES % DCS);
	(void)fake_start(f, NODES, &s, 0);
	s = fake_settings(f, NODES + 1, (NODES + 1) % DCS);
	(void)fake_start(f, NODES + 1, &s, 0);
	fake_run(f, 60000);
	ck_assert(!any_remote_not_live(1));
	fake_cut_dc(f, 1, DCS, 0);
	cluster_wait(f, seed, 20000, drain_known, "drain known after healing");
	cluster_wait(f, seed, 20000, fake_all_live, "all live after healing");
	cluster_wait(f, seed, 20000, fake_agreed, "agreed after healing");
	ck_assert_int_ge(fake_state(f, 0, 7), MEMBER_FAILED);
	ck_assert_int_ge(fake_state(f, 1, 5), MEMBER_FAILED);
	cluster_end(f, seed);
}
END_TEST

/* Two data centres are cut off from each other, and both reach the third. */
START_TEST(records_spread_through_a_third_data_centre)
{
	uint32_t seed = (uint32_t)_i, i, j;

	f = cluster_begin(seed, NODES, DCS, JOIN_MS);
	announce(1, ENDPOINT_READY);
	fake_run(f, 3000);
	for (i = 0; i < f->n; i++)
		for (j = 0; j < f->n; j++)
			if (i % DCS + j % DCS == 1)
				fake_cut(f, i, j, 1);
	announce(1, ENDPOINT_DRAINING);
	cluster_wait(f, seed, 20000, drain_known, "drain known around the cut");
	cluster_end(f, seed);
}
END_TEST

/*
 * A host leaves while a data centre is cut off for longer than tombstones are
 * kept.  The records of that data centre do not revive the host.
 */
START_TEST(a_host_that_left_during_a_partition_is_not_revived)
{
	uint32_t seed = (uint32_t)_i, i;
	struct membership_settings s;

	f = fake_net_new(seed);
	f->n_seeds = DCS;
	for (i = 0; i < DCS; i++)
		f->seeds[i] = fake_settings(f, i, 0).address;
	for (i = 0; i < NODES; i++) {
		s = fake_settings(f, i, i % DCS);
		s.forget_ms = 10000;
		(void)fake_start(f, i, &s, 0);
	}
	cluster_wait(f, seed, JOIN_MS, fake_agreed, "joined");
	fake_run(f, 40000);
	fake_cut_dc(f, 1, DCS, 1);
	membership_leave(f->nodes[3].m, f->now_ms);
	fake_run(f, 2000);
	fake_kill(f, 3);
	fake_run(f, 40000);
	ck_assert_int_eq(fake_state(f, 0, 3), -1);
	ck_assert_int_eq(fake_state(f, 1, 3), MEMBER_ALIVE);
	fake_cut_dc(f, 1, DCS, 0);
	cluster_wait(f, seed, 30000, fake_agreed, "agreed after healing");
	for (i = 0; i < f->n; i++)
		ck_assert(!fake_up(f, i) || fake_state(f, i, 3) < 0 ||
		    fake_state(f, i, 3) >= MEMBER_FAILED);
	cluster_end(f, seed);
}
END_TEST

static int
four_in_conflict(struct fake_net *g)
{
	return membership_phase(g->nodes[4].m) == MEMBERSHIP_CONFLICT;
}

static int
four_joined(struct fake_net *g)
{
	return fake_up(g, 4);
}

/*
 * Node 4 has the name of node 1.  It started later and stops serving; when node
 * 1 is dead, node 4 takes the name over.
 */
START_TEST(later_host_with_a_duplicate_name_stops_serving)
{
	uint32_t seed = (uint32_t)_i;
	struct membership_settings s;
	uint64_t incarnation;

	f = cluster_begin(seed, 4, 1, JOIN_MS);
	incarnation = membership_self(f->nodes[1].m)->incarnation;
	s = fake_settings(f, 4, seed % 2);
	(void)g_strlcpy(s.host, "h1", sizeof(s.host));
	(void)fake_start(f, 4, &s, seed % 3 == 0 ? -3600000 : 0);
	cluster_wait(f, seed, 8000, four_in_conflict, "conflict seen");
	ck_assert_uint_ge(f->nodes[4].warnings, 1);
	ck_assert_uint_ge(f->nodes[1].warnings, 1);
	ck_assert_ptr_nonnull(strstr(f->nodes[1].warning, "name h1"));
	fake_run(f, 60000);
	ck_assert(four_in_conflict(f));
	ck_assert(fake_up(f, 1));
	ck_assert_int_eq(fake_state(f, 2, 1), MEMBER_ALIVE);
	/* The incarnations do not race: a few refutations at most. */
	ck_assert_uint_le(
	    membership_self(f->nodes[1].m)->incarnation, incarnation + 3);
	fake_kill(f, 1);
	cluster_wait(f, seed, 30000, four_joined, "name taken over");
	cluster_end(f, seed);
}
END_TEST

/* Both hosts are running when a partition heals and their records meet. */
START_TEST(duplicate_names_after_a_partition_leave_one_host)
{
	uint32_t seed = (uint32_t)_i, i;
	struct membership_settings s;

	f = cluster_begin(seed, 8, 2, JOIN_MS);
	fake_run(f, 40000);
	fake_cut_dc(f, 1, 2, 1);
	s = fake_settings(f, 9, 1);
	(void)g_strlcpy(s.host, "h2", sizeof(s.host));
	f->n = 10;
	for (i = 0; i < 10; i += 2) {
		fake_cut(f, 9, i, 1);
		fake_cut(f, i, 9, 1);
	}
	(void)fake_start(f, 9, &s, 0);
	fake_run(f, 15000);
	ck_assert(fake_up(f, 9) && fake_up(f, 2));
	for (i = 0; i < 10; i++) {
		fake_cut_in(f, i, 0);
		fake_cut_out(f, i, 0);
	}
	fake_run(f, 20000);
	ck_assert_msg(membership_phase(f->nodes[9].m) == MEMBERSHIP_CONFLICT,
	    "seed %u: the later host is %s", seed,
	    membership_phase_name(membership_phase(f->nodes[9].m)));
	ck_assert(fake_up(f, 2));
	for (i = 0; i < 8; i++)
		ck_assert_uint_eq(
		    membership_find(f->nodes[i].m, "h2")->address.ip,
		    f->nodes[2].addr.ip);
	fake_net_free(f);
}
END_TEST

/* Node 4 has the address of node 1, which holds the address. */
START_TEST(host_with_a_duplicate_address_stops_serving)
{
	uint32_t seed = (uint32_t)_i;
	struct membership_settings s;

	f = cluster_begin(seed, 4, 1, JOIN_MS);
	s = fake_settings(f, 4, 0);
	s.address = f->nodes[1].addr;
	(void)fake_start(f, 4, &s, 0);
	cluster_wait(f, seed, 8000, four_in_conflict, "conflict seen");
	ck_assert_ptr_nonnull(strstr(f->nodes[4].warning, "address"));
	ck_assert_ptr_nonnull(strstr(f->nodes[1].warning, "h4"));
	fake_run(f, 30000);
	ck_assert(four_in_conflict(f));
	ck_assert_int_eq(fake_state(f, 2, 1), MEMBER_ALIVE);
	ck_assert_uint_eq(membership_live(f->nodes[2].m), 4);
	cluster_end(f, seed);
}
END_TEST

/*
 * A host is replaced under another name at the same address.  That is a planned
 * change, and operators get no warning.
 */
START_TEST(a_replaced_host_with_the_old_address_joins)
{
	uint32_t seed = (uint32_t)_i, i;
	struct membership_settings s;

	f = cluster_begin(seed, 6, 1, JOIN_MS);
	fake_kill(f, 4);
	s = fake_settings(f, 4, 0);
	(void)g_strlcpy(s.host, "new-host", sizeof(s.host));
	(void)fake_start(f, 4, &s, 0);
	cluster_wait(f, seed, 10000, four_joined, "replacement joined");
	cluster_wait(f, seed, 30000, fake_agreed, "agreed");
	ck_assert_ptr_nonnull(membership_find(f->nodes[2].m, "new-host"));
	for (i = 0; i < f->n; i++)
		ck_assert_msg(f->nodes[i].warnings == 0, "node %u: %s", i,
		    f->nodes[i].warning);
	cluster_end(f, seed);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("membership across data centres");
	TCase *tc = tcase_create("centres");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(
	    tc, a_drain_reaches_all_data_centres_within_two_seconds, 0, SEEDS);
	tcase_add_loop_test(tc, relays_are_replaced, 0, SEEDS);
	tcase_add_loop_test(tc,
	    a_data_centre_that_is_cut_off_is_not_suspected_and_catches_up, 0,
	    SEEDS);
	tcase_add_loop_test(
	    tc, records_spread_through_a_third_data_centre, 0, SEEDS);
	tcase_add_loop_test(
	    tc, a_host_that_left_during_a_partition_is_not_revived, 0, SEEDS);
	tcase_add_loop_test(
	    tc, later_host_with_a_duplicate_name_stops_serving, 0, SEEDS);
	tcase_add_loop_test(
	    tc, duplicate_names_after_a_partition_leave_one_host, 0, SEEDS);
	tcase_add_loop_test(
	    tc, host_with_a_duplicate_address_stops_serving, 0, SEEDS);
	tcase_add_loop_test(
	    tc, a_replaced_host_with_the_old_address_joins, 0, SEEDS);
	suite_add_tcase(s, tc);
	return test_run(s);
}
