/*
 * Tests of version_check.h: each scenario yields exactly the violation that it
 * contains, or none.
 */
#include <check.h>
#include <glib.h>

#include "harness.h"
#include "version_check.h"

#define TEST_TIMEOUT_S 10
#define BOUND_MS 1000
#define STEPS_MAX 8

/* Calls to the check. */
enum step_kind {
	STEP_END,
	STEP_OBSERVE,
	STEP_REACHABLE,
	STEP_UNREACHABLE,
	STEP_ACCEPT,
	STEP_WITHDRAW,
	STEP_TICK,
	STEP_RECORD,
	STEP_COMPARE_RECORDS,
};

struct step {
	enum step_kind kind;
	const char *host;
	uint64_t version;
	const char *root;
	uint64_t now_ms;
};

struct scenario {
	const char *name;
	struct step steps[STEPS_MAX];
	int expected_rule; /* enum version_rule, or -1 for none */
};

#define OBSERVE(h, v, r)                 \
	{                                \
		STEP_OBSERVE, h, v, r, 0 \
	}
#define REACHABLE(h, t)                       \
	{                                     \
		STEP_REACHABLE, h, 0, NULL, t \
	}
#define UNREACHABLE(h)                          \
	{                                       \
		STEP_UNREACHABLE, h, 0, NULL, 0 \
	}
#define ACCEPT(v, t)                          \
	{                                     \
		STEP_ACCEPT, NULL, v, NULL, t \
	}
#define WITHDRAW(v)                             \
	{                                       \
		STEP_WITHDRAW, NULL, v, NULL, 0 \
	}
#define TICK(t)                             \
	{                                   \
		STEP_TICK, NULL, 0, NULL, t \
	}
#define RECORD(v, r)                       \
	{                                  \
		STEP_RECORD, NULL, v, r, 0 \
	}
#define COMPARE_RECORDS                                \
	{                                              \
		STEP_COMPARE_RECORDS, NULL, 0, NULL, 0 \
	}

static const struct scenario scenarios[] = {
    {"increasing versions",
	{OBSERVE("a", 1, "x"), OBSERVE("a", 1, "x"), OBSERVE("a", 3, "z")}, -1},
    {"regression", {OBSERVE("a", 2, "y"), OBSERVE("a", 1, "x")},
	VERSION_REGRESSION},
    {"regression in a call", {OBSERVE("a", 2, "y"), OBSERVE("a", 1, NULL)},
	VERSION_REGRESSION},
    {"regression across a restart",
	{OBSERVE("a", 2, "y"), OBSERVE("a", 0, NULL), OBSERVE("a", 1, "x")},
	VERSION_REGRESSION},
    {"nothing served after a restart",
	{OBSERVE("a", 2, "y"), OBSERVE("a", 0, NULL)}, -1},
    {"another host is older", {OBSERVE("a", 2, "y"), OBSERVE("b", 1, "x")}, -1},
    {"roots of two hosts differ", {OBSERVE("a", 2, "y"), OBSERVE("b", 2, "x")},
	VERSION_ROOT_MISMATCH},
    {"roots of two hosts differ after a call",
	{OBSERVE("a", 2, NULL), OBSERVE("a", 2, "y"), OBSERVE("b", 2, "x")},
	VERSION_ROOT_MISMATCH},
    {"root of one host changes", {OBSERVE("a", 2, "y"), OBSERVE("a", 2, "x")},
	VERSION_ROOT_MISMATCH},
    {"root as recorded",
	{OBSERVE("a", 1, "x"), RECORD(1, "x"), COMPARE_RECORDS}, -1},
    {"root not as recorded",
	{OBSERVE("a", 1, "x"), RECORD(1, "y"), COMPARE_RECORDS},
	VERSION_ROOT_MISMATCH},
    {"never accepted", {OBSERVE("a", 2, "x"), RECORD(1, "x"), COMPARE_RECORDS},
	VERSION_NO_RECORD},
    {"never accepted, in a call", {OBSERVE("a", 2, NULL), COMPARE_RECORDS},
	VERSION_NO_RECORD},
    {"in time",
	{REACHABLE("a", 0), ACCEPT(1, 0), TICK(999), OBSERVE("a", 1, "x"),
	    TICK(1000)},
	-1},
    {"late", {REACHABLE("a", 0), ACCEPT(1, 0), TICK(1000), TICK(2000)},
	VERSION_LATE},
    {"late, without any version",
	{REACHABLE("a", 0), OBSERVE("a", 0, NULL), ACCEPT(1, 0), TICK(1000)},
	VERSION_LATE},
    {"late with an older version",
	{REACHABLE("a", 0), OBSERVE("a", 1, "x"), ACCEPT(2, 0), TICK(1000)},
	VERSION_LATE},
    {"a later version is sufficient",
	{REACHABLE("a", 0), ACCEPT(1, 0), ACCEPT(2, 0), OBSERVE("a", 2, "y"),
	    TICK(1000)},
	-1},
    {"unreachable",
	{REACHABLE("a", 0), ACCEPT(1, 0), UNREACHABLE("a"), TICK(1000)}, -1},
    {"bound counts from reachability",
	{REACHABLE("a", 0), ACCEPT(1, 0), UNREACHABLE("a"),
	    REACHABLE("a", 5000), TICK(5999)},
	-1},
    {"late after becoming reachable",
	{UNREACHABLE("a"), ACCEPT(1, 0), REACHABLE("a", 5000), TICK(6000)},
	VERSION_LATE},
    {"halted", {REACHABLE("a", 0), ACCEPT(1, 0), WITHDRAW(1), TICK(1000)}, -1},
};

static void
apply_step(struct version_check *c, const struct step *s)
{
	switch (s->kind) {
	case STEP_OBSERVE:
		version_check_observe(c, s->host, s->version, s->root);
		break;
	case STEP_REACHABLE:
		version_check_reachable(c, s->host, s->now_ms);
		break;
	case STEP_UNREACHABLE:
		version_check_unreachable(c, s->host);
		break;
	case STEP_ACCEPT:
		version_check_accept(c, s->version, s->now_ms, BOUND_MS);
		break;
	case STEP_WITHDRAW:
		version_check_withdraw(c, s->version);
		break;
	case STEP_TICK:
		version_check_tick(c, s->now_ms);
		break;
	case STEP_RECORD:
		version_check_record(c, s->version, s->root);
		break;
	case STEP_COMPARE_RECORDS:
		version_check_compare_records(c);
		break;
	case STEP_END:
		break;
	}
}

START_TEST(scenario_violations_are_found)
{
	const struct scenario *p = &scenarios[_i];
	const GPtrArray *violations;
	struct version_check *c = version_check_new();
	const struct version_violation *v;
	uint32_t i;

	for (i = 0; i < STEPS_MAX; i++)
		apply_step(c, &p->steps[i]);
	violations = version_check_violations(c);
	ck_assert_msg(violations->len == (p->expected_rule == -1 ? 0 : 1),
	    "%s: %u violations", p->name, violations->len);
	if (p->expected_rule != -1) {
		v = g_ptr_array_index(violations, 0);
		ck_assert_msg((int)v->rule == p->expected_rule,
		    "%s: violation \"%s\"", p->name,
		    version_rule_name(v->rule));
	}
	version_check_free(c);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("version_check");

	tcase_add_loop_test(
	    tc, scenario_violations_are_found, 0, G_N_ELEMENTS(scenarios));
	return harness_run(tc, TEST_TIMEOUT_S);
}
