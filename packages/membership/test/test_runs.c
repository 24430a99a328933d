/*
 * Reports of upstream processes that leave: peers keep them for a host whose
 * node is started again.
 */
#include <string.h>

#include <check.h>

#include "cluster.h"
#include "test_run.h"

#define SEEDS 12
#define NODES 12
#define CENTRES 3
#define JOIN_MS 20000
/* More than a report may wait for, and than a recall takes. */
#define HOLD_MS 1000
#define RETENTION_MS 60000
/* The node whose upstream leaves. */
#define HOST 4

static struct fake_net *f;

static struct rec_run
report(enum endpoint_state state, uint64_t seq)
{
	struct rec_run r = {
	    .key = 77, .started_ms = 1000, .seq = seq, .state = state};

	return r;
}

static void
begin(uint32_t seed)
{
	uint32_t i;

	f = cluster_begin(seed, NODES, CENTRES, JOIN_MS);
	for (i = 0; i < NODES; i++)
		fake_recall_runs(f, i);
	fake_run(f, HOLD_MS);
}

static void
restart(uint32_t i)
{
	struct membership_settings s = fake_settings(f, i, i % CENTRES);

	fake_kill(f, i);
	(void)fake_start(f, i, &s, 0);
	while (!fake_up(f, i))
		fake_run(f, 10);
	fake_recall_runs(f, i);
	fake_run(f, HOLD_MS);
}

/* State of the report that a node holds of its own run; -1 for none. */
static int
own_state(uint32_t i)
{
	struct rec_run runs[MSG_RUNS_RUNS_MAX];

	return membership_own_runs(f->nodes[i].m, runs) == 1
	    ? (int)runs[0].state
	    : -1;
}

static enum membership_hold
hold(void)
{
	return membership_run_hold(f->nodes[HOST].m, 77);
}

/* Guards against an upstream that left and comes back, since the only node that
 * knew of it was killed as soon as it had acknowledged the report. */
START_TEST(confirmed_report_survives_a_kill)
{
	struct rec_run left = report(ENDPOINT_LEFT, UINT64_MAX);
	uint32_t ms;

	begin((uint32_t)_i);
	f->loss_percent = 10;
	fake_report_run(f, HOST, &left);
	for (ms = 0; ms < HOLD_MS && hold() == MEMBERSHIP_HOLD_PENDING; ms++)
		fake_run(f, 1);
	ck_assert_int_eq(hold(), MEMBERSHIP_HOLD_CONFIRMED);
	f->loss_percent = 0;
	restart(HOST);
	ck_assert_int_eq(own_state(HOST), ENDPOINT_LEFT);
	restart(HOST);
	ck_assert_int_eq(own_state(HOST), ENDPOINT_LEFT);
	cluster_end(f, (uint32_t)_i);
}
END_TEST

/* The peers that keep a report may be lost one after the other. */
START_TEST(report_survives_restarts_of_all_other_nodes)
{
	struct rec_run left = report(ENDPOINT_LEFT, UINT64_MAX);
	uint32_t i;

	begin((uint32_t)_i);
	fake_report_run(f, HOST, &left);
	fake_run(f, HOLD_MS);
	for (i = 0; i < NODES; i++) {
		if (i == HOST)
			continue;
		restart(i);
		fake_run(f, 2 * HOLD_MS);
	}
	restart(HOST);
	ck_assert_int_eq(own_state(HOST), ENDPOINT_LEFT);
	cluster_end(f, (uint32_t)_i);
}
END_TEST

START_TEST(report_without_peers_fails)
{
	struct rec_run left = report(ENDPOINT_LEFT, UINT64_MAX);
	uint32_t i;

	begin((uint32_t)_i);
	fake_cut_out(f, HOST, 1);
	fake_report_run(f, HOST, &left);
	fake_run(f, HOLD_MS);
	ck_assert_int_eq(hold(), MEMBERSHIP_HOLD_FAILED);
	for (i = 0; i < NODES; i++)
		fake_cut(f, HOST, i, 0);
	fake_report_run(f, HOST, &left);
	fake_run(f, HOLD_MS);
	ck_assert_int_eq(hold(), MEMBERSHIP_HOLD_CONFIRMED);
	cluster_end(f, (uint32_t)_i);
}
END_TEST

START_TEST(later_reports_override_earlier_ones)
{
	struct rec_run drains = report(ENDPOINT_DRAINING, 5);
	struct rec_run ready = report(ENDPOINT_READY, 6);
	struct rec_run left = report(ENDPOINT_LEFT, UINT64_MAX);

	begin((uint32_t)_i);
	fake_report_run(f, HOST, &ready);
	ck_assert_int_eq(own_state(HOST), -1);
	fake_report_run(f, HOST, &drains);
	fake_run(f, HOLD_MS);
	restart(HOST);
	ck_assert_int_eq(own_state(HOST), ENDPOINT_DRAINING);
	fake_report_run(f, HOST, &ready);
	fake_run(f, HOLD_MS);
	restart(HOST);
	ck_assert_int_eq(own_state(HOST), ENDPOINT_READY);
	fake_report_run(f, HOST, &left);
	fake_report_run(f, HOST, &drains);
	fake_run(f, HOLD_MS);
	restart(HOST);
	ck_assert_int_eq(own_state(HOST), ENDPOINT_LEFT);
	cluster_end(f, (uint32_t)_i);
}
END_TEST

/* Reports are forgotten, and repeating them does not renew them. */
START_TEST(reports_expire_everywhere)
{
	struct rec_run left = report(ENDPOINT_LEFT, UINT64_MAX);

	begin((uint32_t)_i);
	fake_report_run(f, HOST, &left);
	fake_run(f, RETENTION_MS / 2);
	restart(HOST);
	ck_assert_int_eq(own_state(HOST), ENDPOINT_LEFT);
	fake_run(f, RETENTION_MS / 2 + HOLD_MS);
	ck_assert_int_eq(own_state(HOST), -1);
	restart(HOST);
	ck_assert_int_eq(own_state(HOST), -1);
	cluster_end(f, (uint32_t)_i);
}
END_TEST

/* A node without peers that answer uses heartbeats after a bounded time. */
START_TEST(recall_without_answers_ends)
{
	begin((uint32_t)_i);
	fake_kill(f, HOST);
	fake_run(f, HOLD_MS);
	restart(HOST);
	ck_assert(membership_runs_recalled(f->nodes[HOST].m));
	cluster_end(f, (uint32_t)_i);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("membership: runs");
	TCase *tc = tcase_create("runs");

	tcase_add_loop_test(tc, confirmed_report_survives_a_kill, 0, SEEDS);
	tcase_add_loop_test(
	    tc, report_survives_restarts_of_all_other_nodes, 0, SEEDS);
	tcase_add_loop_test(tc, report_without_peers_fails, 0, SEEDS);
	tcase_add_loop_test(tc, later_reports_override_earlier_ones, 0, SEEDS);
	tcase_add_loop_test(tc, reports_expire_everywhere, 0, SEEDS);
	tcase_add_loop_test(tc, recall_without_answers_ends, 0, SEEDS);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
