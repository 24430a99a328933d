/*
 * Helpers of process-level tests of calls.
 */
#include <stdio.h>
#include <stdlib.h>

#include <check.h>
#include <glib.h>
#include <jansson.h>

#include "calls.h"
#include "standins/summary.h"

#define READY_TIMEOUT_MS 20000
#define BODY_MAX_BYTES 2147483647

/* A guard settles idempotency keys after the key window and PROPAGATION_MS. */
#define SUSPICION_MS 500
#define PROPAGATION_MS (2 * SUSPICION_MS)
#define SETTINGS_BYTES 256
#define DRAIN_MS 30000

/* Node settings; the deployment keeps a pointer to them. */
static char settings[SETTINGS_BYTES];

static void
settings_write(const struct calls_limits *l)
{
	(void)g_snprintf(settings, sizeof(settings),
	    "{\"fate_window_ms\":%u,\"suspicion_ms\":%u,\"drain_ms\":%u,"
	    "\"grace_ms\":%u,\"drain_notice_ms\":%u,"
	    "\"probe_interval_ms\":500,\"probe_timeout_ms\":200}",
	    l->key_window_ms, SUSPICION_MS,
	    l->drain_ms != 0 ? l->drain_ms : DRAIN_MS, l->grace_ms,
	    l->notice_ms);
}

static json_t *
service_json(const char *name, const struct calls_limits *l)
{
	return json_pack("{s:s,s:i,s:{s:i,s:i,s:i,s:i,s:i},s:{s:i,s:i}}",
	    "name", name, "timeout_ms", (int)l->timeout_ms, "limits",
	    "slots_per_endpoint", (int)l->slots, "queue_per_endpoint",
	    (int)l->queue, "queue_wait_ms", (int)l->queue_wait_ms,
	    "request_max_bytes", BODY_MAX_BYTES, "caller_calls_per_s", 0,
	    "retry", "attempts", 2, "budget_percent", 10);
}

/* Writes the registry's example with other limits. */
static char *
bundle_write(const struct calls_limits *l)
{
	char *example = deployment_example("registry.json");
	char *path, *text;
	json_t *j = json_load_file(example, 0, NULL), *name;
	json_t *services = json_object_get(j, "services");
	size_t i;

	for (i = 0; i < json_array_size(services); i++) {
		name = json_object_get(json_array_get(services, i), "name");
		json_array_set_new(
		    services, i, service_json(json_string_value(name), l));
	}
	text = json_dumps(j, 0);
	path = harness_write("calls.json", text);
	json_decref(j);
	free(text);
	g_free(example);
	return path;
}

void
calls_wait_ready(struct deployment *d)
{
	uint32_t i, upstreams = 0;

	for (i = 0; i < d->hosts->len; i++)
		upstreams += deployment_host(d, i)->upstream != NULL;
	deployment_wait_endpoints(d, upstreams, READY_TIMEOUT_MS);
	deployment_wait_serving(d, READY_TIMEOUT_MS);
}

struct deployment *
calls_start(
    const struct deployment_plan *plan, const struct calls_limits *limits)
{
	char *bundle = bundle_write(limits);
	struct deployment_plan p = *plan;
	struct deployment *d;

	settings_write(limits);
	p.node_settings = settings;
	d = deployment_new(&p);
	deployment_start(d);
	(void)deployment_wait_version(d,
	    deployment_sign_off(deployment_host(d, 0), bundle),
	    READY_TIMEOUT_MS);
	calls_wait_ready(d);
	g_usleep((gulong)(limits->key_window_ms + PROPAGATION_MS) *
	    G_TIME_SPAN_MILLISECOND);
	g_free(bundle);
	return d;
}

static void
count(struct calls_counts *c, const struct outcome *o)
{
	c->sent++;
	c->done += o->reported == REPORTED_DONE;
	c->done_of_kind[o->kind] += o->reported == REPORTED_DONE;
	c->not_run += o->reported == REPORTED_NOT_RUN;
	c->not_sent += o->reported == REPORTED_NOT_SENT;
	c->unknown += o->reported == REPORTED_UNKNOWN && o->key[0] == '\0';
	c->keyed_unknown +=
	    o->reported == REPORTED_UNKNOWN && o->key[0] != '\0';
	c->no_answer += o->reported == REPORTED_UNKNOWN && o->status == 0;
	c->cut += o->check == RESPONSE_CUT;
	c->bad_answers += o->check == RESPONSE_NOT_OWN ||
	    o->check == RESPONSE_NOT_WHOLE || o->check == RESPONSE_NO_FATE;
}

static uint64_t
refused_p99_us(const GArray *calls)
{
	const struct outcome *o;
	GArray *latencies_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	guint i;
	struct latency l;

	for (i = 0; i < calls->len; i++) {
		o = &g_array_index(calls, struct outcome, i);
		if (o->reported == REPORTED_NOT_RUN)
			g_array_append_val(latencies_us, o->latency_us);
	}
	summary_latency(latencies_us, &l);
	g_array_unref(latencies_us);
	return l.p99_us;
}

void
calls_load_end(
    struct process *load, const char *name, struct calls_counts *total)
{
	char *file = g_strdup_printf("%s.outcomes", name);
	char *path = harness_path(file);
	GArray *calls = g_array_new(FALSE, FALSE, sizeof(struct outcome));
	guint i;
	json_t *j = deployment_load_end(load);

	ck_assert_int_eq(outcomes_read(path, calls), STATUS_OK);
	for (i = 0; i < calls->len; i++)
		count(total, &g_array_index(calls, struct outcome, i));
	total->refused_p99_us = refused_p99_us(calls);
	total->bad_answers += (uint32_t)json_number(j, "no_retry_after");
	json_decref(j);
	g_array_unref(calls);
	g_free(path);
	g_free(file);
}

void
calls_print(const char *what, const struct calls_counts *c)
{
	(void)printf("%s: %u sent, %u done, %u not_run, %u not sent, "
		     "%u unknown, %u with a key unknown, %u without an "
		     "answer, %u cut, %u bad answers\n",
	    what, c->sent, c->done, c->not_run, c->not_sent, c->unknown,
	    c->keyed_unknown, c->no_answer, c->cut, c->bad_answers);
	(void)fflush(stdout);
}

/* Requests that ran while an upstream exited for another reason must not be
 * quarantined. */
static void
check_nothing_quarantined(struct deployment *d)
{
	const struct host *h;
	json_t *answer;
	uint32_t i;

	for (i = 0; i < d->hosts->len; i++) {
		h = deployment_host(d, i);
		if (h->node == NULL)
			continue;
		answer = deployment_api(h, "GET", "/v1/quarantine", NULL, NULL);
		ck_assert_ptr_nonnull(answer);
		ck_assert_msg(
		    json_array_size(json_object_get(answer, "requests")) == 0,
		    "%s quarantines requests; see %s", h->name, harness_dir());
		json_decref(answer);
	}
}

void
calls_stop(struct deployment *d)
{
	check_nothing_quarantined(d);
	ck_assert_int_eq(deployment_stop(d), 0);
	ck_assert_msg(deployment_check_runs(d) == 0,
	    "outcomes contradict the journals; see %s", harness_dir());
	deployment_free(d);
	harness_cleanup();
}
