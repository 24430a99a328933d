/*
 * Five operators run operations concurrently through different nodes.  Versions
 * must be numbered without gaps in a total order, and bramleyctl must report
 * correctly whether each operation succeeded and, if not, which operation won.
 */
#include <string.h>

#include <check.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "operators.h"
#include "version_watch.h"

#define TEST_TIMEOUT_S 120
#define START_BOUND_MS 20000
#define ROLLOUT_BOUND_MS 8000
#define OPERATORS 5
#define ROUNDS 4 /* of each scenario */
#define OP_BYTES 32
#define KEY_BYTES 64
#define ARGS_MAX 16

/* How the five operators start their operations. */
enum scenario {
	SCENARIO_PARENT,    /* all name the current version as parent */
	SCENARIO_NO_PARENT, /* none names a parent or retries */
	SCENARIO_RETRIES,   /* none names a parent, all retry */
	SCENARIO_MIXED,	    /* one halts, one supersedes, three sign off */
	SCENARIOS,
};

/* One operator's command in one round. */
struct contender {
	char op[OP_BYTES];
	char name[OP_BYTES];
	char *bundle;
	int halts;
	struct process *ctl;
	int code;
	json_t *result;
};

struct race {
	struct deployment *d;
	struct version_watch *watch;
	enum scenario scenario;
	struct platform_head before;
	char parent[OP_BYTES];
	struct contender contenders[OPERATORS];
};

static const char *const retries[SCENARIOS] = {[SCENARIO_NO_PARENT] = "0",
    [SCENARIO_RETRIES] = "20",
    [SCENARIO_MIXED] = "20"};

static void
append(const char **args, const char *arg)
{
	uint32_t n = 0;

	while (args[n] != NULL)
		n++;
	ck_assert_uint_lt(n + 1, ARGS_MAX);
	args[n] = arg;
}

static void
append_command(const struct race *r, uint32_t i, const char **args)
{
	const struct contender *c = &r->contenders[i];

	if (c->halts) {
		append(args, "halt");
		append(args, r->parent);
		return;
	}
	if (r->scenario == SCENARIO_PARENT) {
		append(args, "--parent");
		append(args, r->parent);
	} else {
		append(args, "--race-retries");
		append(args, retries[r->scenario]);
	}
	if (r->scenario == SCENARIO_MIXED && i == 1) {
		append(args, "supersede");
		append(args, "1");
	} else {
		append(args, "sign-off");
		append(args, c->bundle);
	}
}

static void
start_contender(struct race *r, uint32_t round, uint32_t i)
{
	struct contender *c = &r->contenders[i];
	const char *args[ARGS_MAX] = {"--operator", c->name, "--op", c->op};

	(void)g_snprintf(c->name, sizeof(c->name), "operator-%u", i);
	(void)g_snprintf(c->op, sizeof(c->op), "race-%u-%u", round, i);
	c->halts = r->scenario == SCENARIO_MIXED && i == 0;
	c->bundle = deployment_bundle(round * OPERATORS + i + 1);
	append_command(r, i, args);
	c->ctl = deployment_ctl_start(deployment_host(r->d, i), args);
}

static void
check_row(
    const struct race *r, uint64_t version, const char *op, const char *name)
{
	char key[KEY_BYTES];
	json_t *row;

	(void)g_snprintf(
	    key, sizeof(key), "version/%" G_GUINT64_FORMAT, version);
	row = deployment_platform_row(r->d, key);
	ck_assert_msg(row != NULL, "row %s does not exist", key);
	ck_assert_str_eq(deployment_row_text(row, "op"), op);
	ck_assert_str_eq(deployment_row_text(row, "operator"), name);
	json_decref(row);
}

static const struct contender *
find_contender(const struct race *r, const char *op)
{
	uint32_t i;

	for (i = 0; i < OPERATORS; i++)
		if (g_strcmp0(r->contenders[i].op, op) == 0)
			return &r->contenders[i];
	return NULL;
}

/* Checks the winner reported to a loser: a contender of this round that
 * succeeded, with a version newer than the one before the round. */
static void
check_loser(const struct race *r, const struct contender *c)
{
	json_t *result = json_object_get(c->result, "winner");
	const char *op = json_string_value(json_object_get(result, "op"));
	const char *name =
	    json_string_value(json_object_get(result, "operator"));
	const struct contender *winner = find_contender(r, op);
	uint64_t version = (uint64_t)json_number(result, "version");

	ck_assert_msg(winner != NULL && winner != c,
	    "%s reports that the winner is %s", c->op,
	    op == NULL ? "nobody" : op);
	ck_assert_int_eq(winner->code, CTL_DONE);
	ck_assert_str_eq(winner->name, name);
	ck_assert_int_eq(
	    json_is_true(json_object_get(result, "halted")), winner->halts);
	if (winner->halts)
		return;
	check_row(r, version, op, name);
	ck_assert_uint_gt(version, r->before.version);
	if (r->scenario == SCENARIO_PARENT)
		ck_assert_uint_eq(version, r->before.version + 1);
}

static void
check_contender(struct race *r, const struct contender *c)
{
	uint64_t version = (uint64_t)json_number(c->result, "version");

	if (c->code != CTL_DONE && c->code != CTL_CONFLICT)
		ck_abort_msg("%s ended with %d", c->op, c->code);
	if (c->code == CTL_CONFLICT)
		check_loser(r, c);
	if (c->halts) {
		ck_assert_uint_eq(
		    operators_count_versions(r->d, c->op, NULL), 0);
		return;
	}
	(void)operators_check_result(
	    deployment_host(r->d, 0), r->d, c->op, c->code, version);
	if (c->code != CTL_DONE)
		return;
	check_row(r, version, c->op, c->name);
	version_watch_accept(r->watch, version, ROLLOUT_BOUND_MS);
}

static void
check_halt(struct race *r)
{
	if (r->scenario == SCENARIO_MIXED && r->contenders[0].code == CTL_DONE)
		version_watch_halted(r->watch, r->before.version);
}

/* Checks that each successful operation made one write, and the others none. */
static void
check_counts(const struct race *r)
{
	struct platform_head after = operators_head(r->d);
	uint32_t done = 0, halts = 0, i;

	for (i = 0; i < OPERATORS; i++) {
		if (r->contenders[i].code != CTL_DONE)
			continue;
		done++;
		halts += (uint32_t)r->contenders[i].halts;
	}
	ck_assert_uint_eq(after.seq, r->before.seq + done);
	ck_assert_uint_eq(after.version, r->before.version + done - halts);
	ck_assert_uint_eq(after.in_force, after.version);
	if (r->scenario == SCENARIO_PARENT)
		ck_assert_uint_eq(done, 1);
	if (r->scenario == SCENARIO_RETRIES)
		ck_assert_uint_eq(done, OPERATORS);
	ck_assert_uint_ge(done, 1);
}

static void
race(struct deployment *d, struct version_watch *w, enum scenario scenario,
    uint32_t round)
{
	struct contender *c;
	struct race r = {.d = d, .watch = w, .scenario = scenario};
	uint32_t i;

	r.before = operators_head(d);
	(void)g_snprintf(
	    r.parent, sizeof(r.parent), "%" G_GUINT64_FORMAT, r.before.version);
	/* Slow enough for the five operations to overlap. */
	deployment_platform_knobs(d, "{\"delay_ms\":20}");
	for (i = 0; i < OPERATORS; i++)
		start_contender(&r, round, i);
	for (i = 0; i < OPERATORS; i++) {
		c = &r.contenders[i];
		c->result = deployment_ctl_end(c->ctl, &c->code);
	}
	deployment_platform_knobs(d, "{\"delay_ms\":0}");
	check_halt(&r);
	for (i = 0; i < OPERATORS; i++)
		check_contender(&r, &r.contenders[i]);
	check_counts(&r);
	for (i = 0; i < OPERATORS; i++) {
		json_decref(r.contenders[i].result);
		g_free(r.contenders[i].bundle);
	}
}

START_TEST(five_operators_race)
{
	char *first = deployment_bundle(0);
	struct deployment *d = deployment_new(&deployment_registry);
	struct version_watch *w;
	uint32_t i;

	deployment_start_nodes(d);
	w = version_watch_start(d);
	ck_assert_uint_eq(deployment_sign_off(deployment_host(d, 0), first), 1);
	version_watch_accept(w, 1, START_BOUND_MS);
	(void)version_watch_wait(w, 1, START_BOUND_MS);
	for (i = 0; i < ROUNDS * SCENARIOS; i++)
		race(d, w, (enum scenario)(i % SCENARIOS), i);
	(void)version_watch_wait(
	    w, operators_head(d).in_force, ROLLOUT_BOUND_MS);
	(void)printf("%lu versions by %u operators\n",
	    (unsigned long)operators_head(d).version, OPERATORS);
	ck_assert_uint_eq(version_watch_end(w), 0);
	deployment_free(d);
	g_free(first);
	harness_cleanup();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("race");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, five_operators_race);
	return harness_run(tc, TEST_TIMEOUT_S);
}
