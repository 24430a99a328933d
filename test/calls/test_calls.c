/*
 * Tests of entries, guards and upstreams under random faults: the checker finds
 * no violation, except with an injected defect or the naive reference.
 */
#include <stdio.h>
#include <stdlib.h>

#include <check.h>

#include "checker.h"
#include "test_run.h"

#define ALL_FAULTS ((1U << FAULT_COUNT) - 1)
#define ONLY(f) (1U << (f))
#define SEEDS 40
/* Seeds for a single kind of fault; the number of completed calls varies by a
 * tenth between samples of three seeds. */
#define FAULT_SEEDS 60

struct totals {
	uint64_t calls;
	uint64_t done;
	uint64_t not_run;
	uint64_t unknown;
	uint64_t no_outcome;
	uint64_t interrupted;
	uint64_t started_while_draining;
};

static void
count_outcomes(const struct world *w, struct totals *s)
{
	const struct client_call *c;
	guint i;

	for (i = 0; i < w->calls->len; i++) {
		c = g_ptr_array_index(w->calls, i);
		s->calls++;
		if (!c->has_outcome)
			s->no_outcome++;
		else if (c->outcome == OUTCOME_DONE)
			s->done++;
		else if (c->outcome == OUTCOME_NOT_RUN)
			s->not_run++;
		else
			s->unknown++;
	}
	s->interrupted += w->interrupted_by_drain;
	s->started_while_draining += w->started_while_draining;
}

static uint32_t
run(const struct world_config *cfg, struct totals *s, char *text, size_t size)
{
	struct violations v;
	struct world *w;

	w = world_new(cfg);
	world_run(w);
	checker_check(w, &v);
	checker_describe(&v, text, size);
	count_outcomes(w, s);
	world_free(w);
	return checker_total(&v);
}

/* Configures random faults of all kinds. */
static void
configure_all_faults(struct world_config *cfg, uint64_t seed)
{
	world_config_default(cfg);
	cfg->seed = seed;
	cfg->faults_per_s = 3;
	cfg->fault_mask = ALL_FAULTS;
	cfg->keyed_percent = 40;
	cfg->duplicated_percent = 5;
	cfg->disconnect_percent = 5;
	cfg->large_percent = 10;
}

static void
assert_no_violation(struct world_config *cfg, struct totals *s)
{
	char text[256];
	uint32_t found;

	found = run(cfg, s, text, sizeof(text));
	ck_assert_msg(
	    found == 0, "seed %lu: %s", (unsigned long)cfg->seed, text);
}

START_TEST(test_random_faults)
{
	struct world_config cfg;
	struct totals s = {0};
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		configure_all_faults(&cfg, seed + 1000 * (uint64_t)_i);
		cfg.claim = _i % 2 == 1;
		assert_no_violation(&cfg, &s);
	}
	/* Rejecting every call would violate no rule, so most calls must
	 * complete. */
	ck_assert_uint_gt(s.done, s.calls / 2);
}
END_TEST

/* Injects one kind of fault at a time, so that others do not mask its
 * effect. */
START_TEST(test_single_fault)
{
	struct world_config cfg;
	struct totals s = {0};
	uint64_t seed;

	for (seed = 1; seed <= FAULT_SEEDS; seed++) {
		configure_all_faults(&cfg, seed);
		cfg.fault_mask = ONLY(_i);
		cfg.faults_per_s = 0.7;
		assert_no_violation(&cfg, &s);
	}
	ck_assert_uint_gt(s.done, s.calls * 2 / 3);
	if (_i != FAULT_GUARD_DRAINED && _i != FAULT_ENTRY_DRAINED)
		return;
	ck_assert_uint_eq(s.interrupted, 0);
	ck_assert_uint_eq(s.started_while_draining, 0);
}
END_TEST

/* The checker must detect each injected defect and the naive reference. */
START_TEST(test_injected_defect)
{
	struct world_config cfg;
	struct totals s = {0};
	uint64_t seed;
	char text[256];

	for (seed = 1; seed <= 12 * SEEDS; seed++) {
		configure_all_faults(&cfg, seed);
		cfg.faults_per_s = (double)(3 + seed % 5 * 3);
		cfg.defect = (enum defect)_i;
		cfg.naive = _i == DEFECT_COUNT;
		if (run(&cfg, &s, text, sizeof(text)) > 0)
			return;
	}
	ck_abort_msg("the checker did not detect injected defect %d", _i);
}
END_TEST

int
main(void)
{
	Suite *suite;
	TCase *tc;

	suite = suite_create("calls");
	tc = tcase_create("calls");
	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, test_random_faults, 0, 4);
	tcase_add_loop_test(tc, test_single_fault, 0, FAULT_COUNT);
	tcase_add_loop_test(
	    tc, test_injected_defect, DEFECT_NONE + 1, DEFECT_COUNT + 1);
	suite_add_tcase(suite, tc);
	return test_run(suite);
}
