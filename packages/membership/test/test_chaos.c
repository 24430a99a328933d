/*
 * Random faults over many seeds with the checker running, and injected errors
 * that the checker must find.
 */
#include <string.h>

#include <check.h>

#include "base/clock.h"

#include "checker.h"
#include "fake_net.h"
#include "test_run.h"

#define SEEDS 40
#define NODES 15
#define DCS 3
#define FAULTS 40
#define JOIN_MS 60000

static struct fake_net *f;

static uint32_t
pick(uint32_t n)
{
	return (uint32_t)g_rand_int_range(f->rand, 0, (gint32)n);
}

static void
restart(uint32_t i)
{
	struct membership_settings s = fake_settings(f, i, i % DCS);

	fake_kill(f, i);
	/* Wall clocks are wrong by up to a minute. */
	(void)fake_start(f, i, &s, (int64_t)pick(120000) - 60000);
}

static void
announce(uint32_t i)
{
	static const enum endpoint_state states[] = {
	    ENDPOINT_STARTING, ENDPOINT_READY, ENDPOINT_DRAINING};

	if (fake_up(f, i))
		(void)membership_announce(f->nodes[i].m, f->now_ms, "search",
		    (uint16_t)(80 + pick(2)), 12, states[pick(3)],
		    DEADLINE_NEVER, MEMBER_COLD_UNKNOWN, NULL);
}

static void
fault(uint32_t i, uint32_t j)
{
	switch (pick(10)) {
	case 0:
		fake_kill(f, i);
		break;
	case 1:
	case 2:
		if (!f->nodes[i].frozen)
			restart(i);
		break;
	case 3:
		if (f->nodes[i].m != NULL)
			fake_freeze(f, i);
		break;
	case 4:
		fake_thaw(f, i);
		break;
	case 5:
		if (fake_up(f, i))
			membership_leave(f->nodes[i].m, f->now_ms);
		break;
	case 6:
		fake_cut(f, i, j, (int)pick(2));
		break;
	case 7:
		fake_cut_dc(f, pick(DCS), DCS, (int)pick(2));
		break;
	default:
		announce(i);
		announce(j);
		break;
	}
}

static void
heal(void)
{
	uint32_t i;

	f->loss_percent = 0;
	for (i = 0; i < NODES; i++) {
		fake_thaw(f, i);
		fake_cut_in(f, i, 0);
		if (f->nodes[i].m == NULL ||
		    membership_phase(f->nodes[i].m) >= MEMBERSHIP_LEAVING)
			restart(i);
	}
}

/* Whether the endpoints in two records of a host are the same. */
static int
same_endpoints(const struct member *a, const struct member *b)
{
	uint32_t i;

	if (a->n_endpoints != b->n_endpoints)
		return 0;
	for (i = 0; i < a->n_endpoints; i++)
		if (a->endpoints[i].state != b->endpoints[i].state ||
		    a->endpoints[i].port != b->endpoints[i].port ||
		    a->endpoints[i].revision != b->endpoints[i].revision)
			return 0;
	return 1;
}

START_TEST(random_faults_end_with_the_same_tables)
{
	uint32_t seed = 1000 + (uint32_t)_i, i, j;
	const char *v;

	f = fake_net_new(seed);
	f->delay_ms = 1 + pick(50);
	f->duplicate_percent = pick(20);
	fake_start_all(f, NODES, DCS);
	ck_assert(fake_run_until(f, JOIN_MS, fake_agreed) != UINT64_MAX);
	for (i = 0; i < FAULTS; i++) {
		f->loss_percent = pick(4) == 0 ? pick(20) : 0;
		fault(pick(NODES), pick(NODES));
		fake_run(f, 100 + pick(4000));
	}
	heal();
	ck_assert_msg(fake_run_until(f, 60000, fake_all_live) != UINT64_MAX,
	    "seed %u: not all live after healing", seed);
	ck_assert_msg(fake_run_until(f, 60000, fake_agreed) != UINT64_MAX,
	    "seed %u: tables differ after healing", seed);
	for (i = 0; i < NODES; i++)
		for (j = 0; j < NODES; j++)
			ck_assert(same_endpoints(membership_self(f->nodes[i].m),
			    membership_find(
				f->nodes[j].m, f->nodes[i].settings.host)));
	v = checker_violation(f->checker);
	ck_assert_msg(v == NULL, "seed %u: %s", seed, v);
	fake_net_free(f);
}
END_TEST

/* Writes an error into node 0's table. */
static void
inject(uint32_t kind)
{
	struct member *mb =
	    (struct member *)(uintptr_t)membership_find(f->nodes[0].m, "h3");

	switch (kind) {
	case 0:
		mb->incarnation--;
		break;
	case 1:
		mb->state = MEMBER_ALIVE;
		break;
	case 2:
		mb->state = MEMBER_FAILED;
		break;
	default:
		mb->state = MEMBER_ALIVE;
		break;
	}
}

/* Preparation of h3, number of injections, and the violation expected. */
static const struct {
	int leave;
	int kill;
	uint32_t times;
	const char *violation;
} injections[] = {
    {0, 0, 1, "with a lower incarnation"},
    {1, 1, 1, "live after it left"},
    {0, 0, 60, "failed for too long"},
    {0, 1, 60, "live for too long"},
};

START_TEST(checker_reports_each_injected_violation)
{
	const char *v;
	uint32_t i;

	f = fake_net_new((uint32_t)_i);
	fake_start_all(f, 6, 1);
	ck_assert(fake_run_until(f, JOIN_MS, fake_agreed) != UINT64_MAX);
	fake_run(f, 2000);
	if (injections[_i].leave)
		membership_leave(f->nodes[3].m, f->now_ms);
	fake_run(f, 2000);
	if (injections[_i].kill)
		fake_kill(f, 3);
	fake_run(f, 2000);
	ck_assert_ptr_null(checker_violation(f->checker));
	/*
	 * Only the checker's clock advances, so that the nodes repair nothing.
	 */
	for (i = 0; i < injections[_i].times; i++) {
		inject((uint32_t)_i);
		checker_scan(f->checker, f);
		f->now_ms += 500;
	}
	v = checker_violation(f->checker);
	ck_assert_ptr_nonnull(v);
	ck_assert_msg(
	    strstr(v, injections[_i].violation) != NULL, "found: %s", v);
	fake_net_free(f);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("membership under random faults");
	TCase *tc = tcase_create("chaos");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(
	    tc, random_faults_end_with_the_same_tables, 0, SEEDS);
	/* A host that left starts while all seeds are down. */
	tcase_add_loop_test(
	    tc, random_faults_end_with_the_same_tables, 329, 330);
	/* Two processes of one host reach the same incarnation. */
	tcase_add_loop_test(
	    tc, random_faults_end_with_the_same_tables, 2266, 2267);
	tcase_add_loop_test(tc, checker_reports_each_injected_violation, 0,
	    (int)G_N_ELEMENTS(injections));
	suite_add_tcase(s, tc);
	return test_run(s);
}
