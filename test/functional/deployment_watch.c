/*
 * Small deployment for tests: status of nodes, load, and the check of calls.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <check.h>
#include <glib.h>
#include <jansson.h>

#include "base/clock.h"
#include "deployment.h"
#include "fetch.h"
#include "standins/departures.h"
#include "standins/run_check.h"

#define LOAD_TIMEOUT_MS 300000
/* Time after which work for a caller that has left is a violation. */
#define DEPARTURE_LIMIT_MS 500
#define URL_BYTES 512
#define HTTP_OK 200

int64_t
json_number(const json_t *j, const char *name)
{
	return json_integer_value(json_object_get(j, name));
}

json_t *
deployment_api(const struct host *h, const char *method, const char *path,
    const char *body, int *code)
{
	char url[URL_BYTES];

	(void)g_snprintf(url, sizeof(url), "http://%s:%u%s", h->address,
	    h->admin_port, path);
	return fetch_json(method, url, body, code);
}

static int64_t
status_number(const struct host *h, const char *name)
{
	int64_t n;
	json_t *j = deployment_api(h, "GET", "/v1/status", NULL, NULL);

	n = json_number(j, name);
	json_decref(j);
	return n;
}

uint64_t
deployment_version(const struct host *h)
{
	return (uint64_t)status_number(h, "version");
}

/* Range of a number in the status of all running nodes. */
struct status_range {
	const struct deployment *d;
	const char *name;
	int64_t min;
	int64_t max;
};

static int
all_in_range(void *arg)
{
	const struct status_range *a = arg;
	const struct host *h;
	int64_t n;
	uint32_t i;

	for (i = 0; i < a->d->hosts->len; i++) {
		h = deployment_host(a->d, i);
		if (h->node == NULL)
			continue;
		n = status_number(h, a->name);
		if (n < a->min || n > a->max)
			return 0;
	}
	return 1;
}

static uint64_t
wait_for_status(struct status_range *a, uint32_t timeout_ms)
{
	uint64_t start_ms = clock_now_ms();

	ck_assert_msg(harness_wait_until(all_in_range, a, timeout_ms),
	    "not all nodes report %s %ld after %u ms; see %s", a->name,
	    (long)a->min, timeout_ms, harness_dir());
	return clock_now_ms() - start_ms;
}

uint64_t
deployment_wait_version(
    struct deployment *d, uint64_t version, uint32_t timeout_ms)
{
	struct status_range a = {d, "version", (int64_t)version, INT64_MAX};

	return wait_for_status(&a, timeout_ms);
}

static int
all_serving(void *arg)
{
	const struct deployment *d = arg;
	const struct host *h;
	int code;
	uint32_t i;

	for (i = 0; i < d->hosts->len; i++) {
		h = deployment_host(d, i);
		if (h->node == NULL)
			continue;
		json_decref(
		    deployment_api(h, "GET", "/v1/health", NULL, &code));
		if (code != HTTP_OK)
			return 0;
	}
	return 1;
}

void
deployment_wait_serving(struct deployment *d, uint32_t timeout_ms)
{
	ck_assert_msg(harness_wait_until(all_serving, d, timeout_ms),
	    "not all nodes serve after %u ms; see %s", timeout_ms,
	    harness_dir());
}

void
deployment_wait_members(struct deployment *d, uint32_t n, uint32_t timeout_ms)
{
	struct status_range a = {d, "members_live", n, n};

	(void)wait_for_status(&a, timeout_ms);
}

void
deployment_wait_endpoints(struct deployment *d, uint32_t n, uint32_t timeout_ms)
{
	struct status_range a = {d, "endpoints", n, n};

	(void)wait_for_status(&a, timeout_ms);
}

static void
append_node(GPtrArray *argv, GPtrArray *allocated, const struct host *h)
{
	char *node = g_strdup_printf("%s:%u", h->address, h->caller_port);

	g_ptr_array_add(allocated, node);
	g_ptr_array_add(argv, (gpointer) "--node");
	g_ptr_array_add(argv, node);
}

struct process *
deployment_load(struct deployment *d, const char *name, const struct host *h,
    int spread, const char *const *args)
{
	char *file = g_strdup_printf("%s.outcomes", name);
	char *path = harness_path(file);
	const struct host *other;
	GPtrArray *argv = g_ptr_array_new();
	GPtrArray *allocated = g_ptr_array_new_with_free_func(g_free);
	struct process *p;
	uint32_t i;

	g_ptr_array_add(d->outcomes, path);
	g_ptr_array_add(argv, (gpointer)LOAD_GEN_PATH);
	append_node(argv, allocated, h);
	for (i = 0; spread && i < d->hosts->len; i++) {
		other = deployment_host(d, i);
		if (other != h && other->node != NULL)
			append_node(argv, allocated, other);
	}
	g_ptr_array_add(argv, (gpointer) "--json");
	g_ptr_array_add(argv, (gpointer) "--run-id");
	g_ptr_array_add(argv, (gpointer)name);
	g_ptr_array_add(argv, (gpointer) "--outcomes");
	g_ptr_array_add(argv, path);
	process_append_args(argv, args);
	p = process_start(
	    name, harness_dir(), (const char *const *)argv->pdata);
	g_ptr_array_unref(argv);
	g_ptr_array_unref(allocated);
	g_free(file);
	return p;
}

json_t *
deployment_load_end(struct process *load)
{
	int code = process_wait(load, LOAD_TIMEOUT_MS);
	json_t *j;

	ck_assert_msg(code == 0, "load_gen ended with %d; see %s", code,
	    process_log_path(load));
	j = process_json(load);
	ck_assert_ptr_nonnull(j);
	process_free(load);
	return j;
}

static void
print_violation(const struct violation *v)
{
	(void)printf("violation %s: %s reported %s, %lu runs\n",
	    run_rule_name(v->rule), v->id, reported_fate_name(v->reported),
	    (unsigned long)v->runs);
}

/* struct outcome of all load runs. */
static GArray *
read_outcomes(const struct deployment *d)
{
	GArray *calls = g_array_new(FALSE, FALSE, sizeof(struct outcome));
	guint i;

	for (i = 0; i < d->outcomes->len; i++)
		ck_assert_int_eq(
		    outcomes_read(g_ptr_array_index(d->outcomes, i), calls),
		    STATUS_OK);
	return calls;
}

uint32_t
deployment_check_runs(const struct deployment *d)
{
	GArray *calls = read_outcomes(d);
	GArray *violations;
	guint i;
	struct runs *r;
	uint32_t n;

	ck_assert_int_eq(runs_new("", NULL, &r), STATUS_OK);
	for (i = 0; i < d->hosts->len; i++)
		ck_assert_int_eq(
		    runs_read_journal(r, deployment_host(d, i)->journal),
		    STATUS_OK);
	violations = run_check(calls, r);
	for (i = 0; i < violations->len; i++)
		print_violation(
		    &g_array_index(violations, struct violation, i));
	n = violations->len;
	g_array_unref(violations);
	g_array_unref(calls);
	runs_free(r);
	return n;
}

static bool
is_excused(const struct deployment_excuse *excuse, const struct late_work *w)
{
	return excuse->fn != NULL &&
	    excuse->fn(w->node, w->host, w->left_ms, w->until_ms, excuse->arg);
}

uint32_t
deployment_check_departures(const struct deployment *d,
    const struct deployment_excuse *excuse, uint32_t *departed)
{
	GArray *calls = read_outcomes(d);
	GArray *late = g_array_new(FALSE, FALSE, sizeof(struct late_work));
	const struct late_work *w;
	uint32_t n = 0;
	guint i;

	*departed = 0;
	for (i = 0; i < calls->len; i++)
		*departed +=
		    g_array_index(calls, struct outcome, i).left_ms != 0;
	for (i = 0; i < d->hosts->len; i++)
		ck_assert_int_eq(
		    departures_check(calls, deployment_host(d, i)->journal,
			DEPARTURE_LIMIT_MS, late),
		    STATUS_OK);
	for (i = 0; i < late->len; i++) {
		w = &g_array_index(late, struct late_work, i);
		if (is_excused(excuse, w))
			continue;
		(void)printf("departed: %s of node %u %s at %s %" PRIu64
			     " ms after its caller left at %" PRIu64 "\n",
		    w->test_id, w->node, w->began ? "began" : "ended", w->host,
		    w->until_ms - w->left_ms, w->left_ms);
		n++;
	}
	g_array_unref(late);
	g_array_unref(calls);
	return n;
}
