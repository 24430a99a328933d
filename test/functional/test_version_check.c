/*
 * Tests of the check of versions: each violation, planted by hand, is found,
 * and only that.
 */
#include <check.h>
#include <glib.h>

#include "harness.h"
#include "version_check.h"

#define TEST_TIMEOUT_S 10
#define BOUND_MS 1000
#define STEPS_MAX 8

/* What the check is fed with. */
enum step_kind {
	STEP_END,
	STEP_SEE,
	STEP_PRESENT,
	STEP_ABSENT,
	STEP_ACCEPT,
	STEP_WITHDRAW,
	STEP_TICK,
	STEP_RECORD,
	STEP_RECORDED,
};

struct step {
	enum step_kind kind;
	const char *host;
	uint64_t version;
	const char *root;
	uint64_t now_ms;
};

struct planted {
	const char *name;
	struct step steps[STEPS_MAX];
	int found; /* enum version_rule, or -1 for none */
};

#define SEE(h, v, r)                 \
	{                            \
		STEP_SEE, h, v, r, 0 \
	}
#define PRESENT(h, t)                       \
	{                                   \
		STEP_PRESENT, h, 0, NULL, t \
	}
#define ABSENT(h)                          \
	{                                  \
		STEP_ABSENT, h, 0, NULL, 0 \
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
#define RECORDED                                \
	{                                       \
		STEP_RECORDED, NULL, 0, NULL, 0 \
	}

static const struct planted plants[] = {
    {"forward only", {SEE("a", 1, "x"), SEE("a", 1, "x"), SEE("a", 3, "z")},
	-1},
    {"back", {SEE("a", 2, "y"), SEE("a", 1, "x")}, VERSION_REGRESSION},
    {"back in a call", {SEE("a", 2, "y"), SEE("a", 1, NULL)},
	VERSION_REGRESSION},
    {"back across a restart",
	{SEE("a", 2, "y"), SEE("a", 0, NULL), SEE("a", 1, "x")},
	VERSION_REGRESSION},
    {"nothing served after a restart", {SEE("a", 2, "y"), SEE("a", 0, NULL)},
	-1},
    {"another host is older", {SEE("a", 2, "y"), SEE("b", 1, "x")}, -1},
    {"half of a version", {SEE("a", 2, "y"), SEE("b", 2, "x")},
	VERSION_ROOT_MISMATCH},
    {"half of a version after a call",
	{SEE("a", 2, NULL), SEE("a", 2, "y"), SEE("b", 2, "x")},
	VERSION_ROOT_MISMATCH},
    {"a root that changes", {SEE("a", 2, "y"), SEE("a", 2, "x")},
	VERSION_ROOT_MISMATCH},
    {"as recorded", {SEE("a", 1, "x"), RECORD(1, "x"), RECORDED}, -1},
    {"not as recorded", {SEE("a", 1, "x"), RECORD(1, "y"), RECORDED},
	VERSION_ROOT_MISMATCH},
    {"never accepted", {SEE("a", 2, "x"), RECORD(1, "x"), RECORDED},
	VERSION_NO_RECORD},
    {"never accepted, in a call", {SEE("a", 2, NULL), RECORDED},
	VERSION_NO_RECORD},
    {"in time",
	{PRESENT("a", 0), ACCEPT(1, 0), TICK(999), SEE("a", 1, "x"),
	    TICK(1000)},
	-1},
    {"late", {PRESENT("a", 0), ACCEPT(1, 0), TICK(1000), TICK(2000)},
	VERSION_LATE},
    {"late, and never seen at all",
	{PRESENT("a", 0), SEE("a", 0, NULL), ACCEPT(1, 0), TICK(1000)},
	VERSION_LATE},
    {"late with an older version",
	{PRESENT("a", 0), SEE("a", 1, "x"), ACCEPT(2, 0), TICK(1000)},
	VERSION_LATE},
    {"a later version will do",
	{PRESENT("a", 0), ACCEPT(1, 0), ACCEPT(2, 0), SEE("a", 2, "y"),
	    TICK(1000)},
	-1},
    {"absent", {PRESENT("a", 0), ACCEPT(1, 0), ABSENT("a"), TICK(1000)}, -1},
    {"the bound starts with the return",
	{PRESENT("a", 0), ACCEPT(1, 0), ABSENT("a"), PRESENT("a", 5000),
	    TICK(5999)},
	-1},
    {"late after the return",
	{ABSENT("a"), ACCEPT(1, 0), PRESENT("a", 5000), TICK(6000)},
	VERSION_LATE},
    {"halted", {PRESENT("a", 0), ACCEPT(1, 0), WITHDRAW(1), TICK(1000)}, -1},
};

static void
feed(struct version_check *c, const struct step *s)
{
	switch (s->kind) {
	case STEP_SEE:
		version_check_observe(c, s->host, s->version, s->root);
		break;
	case STEP_PRESENT:
		version_check_reachable(c, s->host, s->now_ms);
		break;
	case STEP_ABSENT:
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
	case STEP_RECORDED:
		version_check_compare_records(c);
		break;
	case STEP_END:
		break;
	}
}

START_TEST(planted_violations_are_found)
{
	const struct planted *p = &plants[_i];
	const GPtrArray *found;
	struct version_check *c = version_check_new();
	const struct version_violation *v;
	uint32_t i;

	for (i = 0; i < STEPS_MAX; i++)
		feed(c, &p->steps[i]);
	found = version_check_violations(c);
	ck_assert_msg(found->len == (p->found == -1 ? 0 : 1),
	    "%s: %u violations", p->name, found->len);
	if (p->found != -1) {
		v = g_ptr_array_index(found, 0);
		ck_assert_msg((int)v->rule == p->found, "%s: found \"%s\"",
		    p->name, version_rule_name(v->rule));
	}
	version_check_free(c);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("version_check");

	tcase_add_loop_test(
	    tc, planted_violations_are_found, 0, G_N_ELEMENTS(plants));
	return harness_run(tc, TEST_TIMEOUT_S);
}
