/*
 * The platform executes a write and its answer is lost.  bramleyctl must report
 * the true result, or that the result is unknown and how to query it. Repeating
 * the same operation must not execute it twice.
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
#define ROLLOUT_BOUND_MS 15000
#define LOSE_TIMEOUT_MS 8000
#define KNOBS_BYTES 96
#define NUMBER_BYTES 24
#define ARGS_MAX 12

enum kind {
	SIGN_OFF,
	SUPERSEDE,
	HALT,
};

/*
 * An operation whose answers are lost.  A sign-off of a new section consists of
 * three writes: the section, the list and the head row; existing content isn't
 * written again.  A halt writes its note and the head row.
 */
struct lost_case {
	const char *op;
	enum kind kind;
	uint32_t bundle;
	uint32_t writes;
	int outage; /* the platform goes down before the result can be read */
};

static const struct lost_case cases[] = {
    {"lost-sign-off", SIGN_OFF, 1, 3, 0},
    {"lost-halt", HALT, 0, 2, 0},
    {"lost-supersede", SUPERSEDE, 0, 1, 0},
    {"unknown-sign-off", SIGN_OFF, 1, 1, 1},
    {"unknown-halt", HALT, 0, 2, 1},
    {"unknown-supersede", SUPERSEDE, 0, 1, 1},
};

/* State of the run of a case. */
struct case_run {
	struct deployment *d;
	struct version_watch *watch;
	const struct lost_case *lost_case;
	struct platform_head before;
	int64_t lost_before;
	char number[NUMBER_BYTES];
	char *bundle;
	const char *args[ARGS_MAX];
};

static int64_t
lost_answers(const struct deployment *d)
{
	int64_t n;
	json_t *j = deployment_platform_stats(d);

	n = json_number(j, "lost_answers");
	json_decref(j);
	return n;
}

static int
all_lost(void *arg)
{
	const struct case_run *p = arg;

	return lost_answers(p->d) - p->lost_before == p->lost_case->writes;
}

static void
append(struct case_run *p, const char *arg)
{
	uint32_t n = 0;

	while (p->args[n] != NULL)
		n++;
	ck_assert_uint_lt(n + 1, ARGS_MAX);
	p->args[n] = arg;
}

/* Builds the arguments of bramleyctl, with the id of the operation. */
static void
set_args(struct case_run *p)
{
	append(p, "--operator");
	append(p, "anna");
	append(p, "--op");
	append(p, p->lost_case->op);
	if (p->lost_case->outage) {
		append(p, "--timeout-ms");
		append(p, "4000");
	}
	switch (p->lost_case->kind) {
	case SIGN_OFF:
		append(p, "sign-off");
		append(p, p->bundle);
		break;
	case SUPERSEDE:
		append(p, "supersede");
		append(p, "1");
		break;
	case HALT:
		append(p, "halt");
		append(p, p->number);
		break;
	}
}

static void
set_knobs(const struct case_run *p)
{
	char knobs[KNOBS_BYTES];

	(void)g_snprintf(knobs, sizeof(knobs),
	    "{\"lose_answers\":%u,\"delay_ms\":%u}", p->lost_case->writes,
	    p->lost_case->outage ? 200 : 0);
	deployment_platform_knobs(p->d, knobs);
}

static void
reset_knobs(const struct case_run *p)
{
	deployment_platform_knobs(
	    p->d, "{\"lose_answers\":0,\"delay_ms\":0,\"outage\":false}");
}

/* Runs the operation, and takes the platform down before the node can read the
 * result. */
static int
run_into_outage(struct case_run *p)
{
	int code;
	struct process *ctl =
	    deployment_ctl_start(deployment_host(p->d, 0), p->args);

	ck_assert_msg(harness_wait_until(all_lost, p, LOSE_TIMEOUT_MS),
	    "%s: the platform didn't get the writes", p->lost_case->op);
	deployment_platform_knobs(p->d, "{\"outage\":true}");
	json_decref(deployment_ctl_end(ctl, &code));
	return code;
}

static void
run_operation(struct case_run *p)
{
	int code;

	p->lost_before = lost_answers(p->d);
	set_knobs(p);
	if (p->lost_case->outage)
		code = run_into_outage(p);
	else
		json_decref(
		    deployment_ctl(deployment_host(p->d, 0), &code, p->args));
	ck_assert_msg(
	    all_lost(p), "%s: the answer was not lost", p->lost_case->op);
	reset_knobs(p);
	ck_assert_msg(code == (p->lost_case->outage ? CTL_UNKNOWN : CTL_DONE),
	    "%s ended with %d", p->lost_case->op, code);
}

/* Version that the operation creates or halts. */
static uint64_t
expected_version(const struct case_run *p)
{
	return p->before.version + (p->lost_case->kind == HALT ? 0 : 1);
}

/* Checks that another node reports the result of the operation. */
static void
check_query(const struct case_run *p)
{
	uint64_t version;

	ck_assert_int_eq(operators_query(deployment_host(p->d, 3),
			     p->lost_case->op, &version),
	    CTL_DONE);
	ck_assert_uint_eq(version, expected_version(p));
}

static void
check_repeated(const struct case_run *p, uint32_t host)
{
	int code;
	json_t *j = deployment_ctl(deployment_host(p->d, host), &code, p->args);

	ck_assert_msg(code == CTL_DONE, "repeated %s ended with %d",
	    p->lost_case->op, code);
	ck_assert(json_is_true(json_object_get(j, "repeated")));
	ck_assert_uint_eq(
	    (uint64_t)json_number(j, "version"), expected_version(p));
	json_decref(j);
}

/* Checks that the head row was written once, in spite of the repetitions. */
static void
check_executed_once(const struct case_run *p)
{
	struct platform_head head = operators_head(p->d);
	uint32_t created =
	    operators_count_versions(p->d, p->lost_case->op, NULL);

	ck_assert_uint_eq(head.seq, p->before.seq + 1);
	ck_assert_uint_eq(head.version, expected_version(p));
	ck_assert_uint_eq(created, p->lost_case->kind == HALT ? 0 : 1);
	if (p->lost_case->kind == HALT)
		ck_assert_uint_lt(head.in_force, head.version);
	else
		ck_assert_uint_eq(head.in_force, head.version);
}

static void
observe_outcome(const struct case_run *p)
{
	uint64_t version = expected_version(p);

	if (p->lost_case->kind == HALT) {
		version_watch_halted(p->watch, version);
		return;
	}
	version_watch_accept(p->watch, version, ROLLOUT_BOUND_MS);
	(void)version_watch_wait(p->watch, version, ROLLOUT_BOUND_MS);
}

static void
run_case(struct deployment *d, struct version_watch *w,
    const struct lost_case *lost_case)
{
	struct case_run p = {.d = d, .watch = w, .lost_case = lost_case};

	p.before = operators_head(d);
	p.bundle = deployment_bundle(lost_case->bundle);
	(void)g_snprintf(
	    p.number, sizeof(p.number), "%" G_GUINT64_FORMAT, p.before.version);
	set_args(&p);
	run_operation(&p);
	check_query(&p);
	check_repeated(&p, 0);
	check_repeated(&p, 4);
	check_executed_once(&p);
	observe_outcome(&p);
	g_free(p.bundle);
}

START_TEST(lost_answers_are_resolved)
{
	char *first = deployment_bundle(0);
	size_t i;
	struct deployment *d = deployment_new(&deployment_registry);
	struct version_watch *w;

	deployment_start_nodes(d);
	w = version_watch_start(d);
	ck_assert_uint_eq(deployment_sign_off(deployment_host(d, 0), first), 1);
	version_watch_accept(w, 1, START_BOUND_MS);
	(void)version_watch_wait(w, 1, START_BOUND_MS);
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		run_case(d, w, &cases[i]);
	ck_assert_uint_eq(version_watch_end(w), 0);
	deployment_free(d);
	g_free(first);
	harness_cleanup();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("lost_answers");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, lost_answers_are_resolved);
	return harness_run(tc, TEST_TIMEOUT_S);
}
