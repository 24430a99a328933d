/*
 * End-to-end test: platform, three data centres of two hosts each, sign-off and
 * watch by bramleyctl, calls through nodes of other data centres, three
 * versions that supersede one another under load, and a planned stop.
 */
#include <string.h>

#include <check.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "deployment.h"
#include "fetch.h"

#define TEST_TIMEOUT_S 120
#define ROLLOUT_TIMEOUT_MS 15000
#define ROLLOUTS 3
#define UPLOAD_BYTES 3000000
#define URL_BYTES 256

/* A call whose service has no endpoint in the data centre of its entry. */
struct remote_call {
	const char *method;
	const char *path;
	const char *service;
	uint32_t entry; /* index of the host whose node is called */
	uint32_t body_bytes;
};

static const struct remote_call remote_calls[] = {
    {"GET", "/search?name=x", "public-search", 5, 0},
    {"POST", "/bookings", "hearing-booking", 2, 200},
    {"POST", "/documents", "document-store", 0, UPLOAD_BYTES},
};

static const struct host *
host_named(const struct deployment *d, const char *name)
{
	uint32_t i;

	for (i = 0; i < d->hosts->len; i++)
		if (g_strcmp0(deployment_host(d, i)->name, name) == 0)
			return deployment_host(d, i);
	return NULL;
}

/* Parses the first line of a stand-in's answer. */
static json_t *
answer_line(const struct fetch_answer *a)
{
	const char *end = memchr(a->body->str, '\n', a->body->len);
	json_t *j;

	ck_assert_ptr_nonnull(end);
	j = json_loadb(a->body->str, (size_t)(end - a->body->str), 0, NULL);
	ck_assert_ptr_nonnull(j);
	return j;
}

static void
make_remote_call(const struct deployment *d, const struct remote_call *c)
{
	char url[URL_BYTES];
	char *body = g_malloc0(c->body_bytes + 1), *fate;
	const struct host *at, *entry = deployment_host(d, c->entry);
	struct fetch f = {c->method, url, NULL, c->body_bytes > 0 ? body : NULL,
	    c->body_bytes, 0};
	struct fetch_answer a;
	json_t *line;

	(void)g_snprintf(url, sizeof(url), "http://%s:%u%s", entry->address,
	    entry->caller_port, c->path);
	fetch_perform(&f, &a);
	ck_assert_msg(a.code == 200, "%s at %s: %d\n%s%s", c->path, entry->name,
	    a.code, a.headers->str, a.body->str);
	fate = fetch_header(&a, "Bramley-Fate");
	ck_assert_str_eq(fate, "done");
	line = answer_line(&a);
	at = host_named(d, json_string_value(json_object_get(line, "host")));
	ck_assert_ptr_nonnull(at);
	ck_assert_str_eq(at->service, c->service);
	ck_assert_uint_ne(at->data_centre, entry->data_centre);
	ck_assert_int_eq(json_number(line, "body_bytes"), c->body_bytes);
	json_decref(line);
	g_free(fate);
	fetch_answer_clear(&a);
	g_free(body);
}

/* Checks that nodes without a version refuse calls as not_run. */
static void
check_refused(const struct deployment *d)
{
	char url[URL_BYTES], *fate, *retry;
	const struct host *h;
	struct fetch f = {"POST", url, NULL, "x", 1, 0};
	struct fetch_answer a;
	uint32_t i;

	for (i = 0; i < d->hosts->len; i++) {
		h = deployment_host(d, i);
		(void)g_snprintf(url, sizeof(url), "http://%s:%u/bookings",
		    h->address, h->caller_port);
		fetch_perform(&f, &a);
		fate = fetch_header(&a, "Bramley-Fate");
		retry = fetch_header(&a, "Retry-After");
		ck_assert_msg(a.code == 503, "%s: status %d", h->name, a.code);
		ck_assert_str_eq(fate, "not_run");
		ck_assert_ptr_nonnull(retry);
		g_free(fate);
		g_free(retry);
		fetch_answer_clear(&a);
	}
}

static uint64_t
supersede(struct deployment *d, uint64_t version, uint32_t n)
{
	char old[32];
	char *path = deployment_bundle(n);
	const char *args[] = {
	    "--operator", "test", "supersede", old, path, NULL};
	json_t *j;
	uint64_t next;

	(void)g_snprintf(old, sizeof(old), "%" G_GUINT64_FORMAT, version);
	j = deployment_ctl(deployment_host(d, n % d->hosts->len), NULL, args);
	next = (uint64_t)json_number(j, "version");
	ck_assert_uint_gt(next, version);
	(void)deployment_wait_version(d, next, ROLLOUT_TIMEOUT_MS);
	json_decref(j);
	g_free(path);
	return next;
}

static void
watch(const struct deployment *d, uint64_t version)
{
	char text[32];
	const char *args[] = {"watch", text, "--timeout-ms", "15000", NULL};

	(void)g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, version);
	json_decref(deployment_ctl(deployment_host(d, 1), NULL, args));
}

/* After the watch the version is in force, so all nodes must serve. */
static void
check_in_force(const struct deployment *d)
{
	const struct host *h;
	int code;
	uint32_t i;

	for (i = 0; i < d->hosts->len; i++) {
		h = deployment_host(d, i);
		json_decref(
		    deployment_api(h, "GET", "/v1/health", NULL, &code));
		ck_assert_msg(code == 200,
		    "%s doesn't serve after the watch: status %d", h->name,
		    code);
	}
}

/* Above the range of a service's timeout, so that nodes use the upper limit. */
#define ABOVE_RANGE_MS 3600000

static void
check_one_warning(const json_t *j)
{
	const json_t *list = json_object_get(j, "warnings");

	ck_assert_uint_eq(json_array_size(list), 1);
	ck_assert_str_eq(
	    json_string_value(json_object_get(json_array_get(list, 0), "path")),
	    "services[0].timeout_ms");
}

/* Signs off a bundle with a warning, which bramleyctl must report. */
static void
sign_off_with_warning(struct deployment *d)
{
	char *bundle = deployment_bundle(ABOVE_RANGE_MS);
	const char *validate[] = {"validate", bundle, NULL};
	const char *sign_off[] = {
	    "--operator", "test", "sign-off", bundle, NULL};
	json_t *j = deployment_ctl(deployment_host(d, 0), NULL, validate);

	ck_assert(json_is_true(json_object_get(j, "valid")));
	check_one_warning(j);
	json_decref(j);
	j = deployment_ctl(deployment_host(d, 0), NULL, sign_off);
	check_one_warning(j);
	(void)deployment_wait_version(
	    d, (uint64_t)json_number(j, "version"), ROLLOUT_TIMEOUT_MS);
	json_decref(j);
	g_free(bundle);
}

/* Checks that a node's status has the sums of all nodes, without refusals. */
static void
check_fleet(const struct deployment *d)
{
	const char *status[] = {"status", NULL};
	json_t *j = deployment_ctl(deployment_host(d, 2), NULL, status);
	const json_t *fleet = json_object_get(j, "fleet");

	ck_assert_int_eq(json_number(fleet, "nodes"), d->hosts->len);
	ck_assert(json_is_null(json_object_get(fleet, "refused")));
	ck_assert(json_is_null(json_object_get(j, "refused")));
	json_decref(j);
}

START_TEST(calls_succeed_during_rollouts)
{
	static const char *const load_args[] = {
	    "--rate", "100", "--duration-s", "4", "--mix", "8:1:1", NULL};
	char *bundle = deployment_example("registry.json");
	json_t *sum;
	size_t i;
	struct deployment *d = deployment_new(&deployment_registry);
	struct process *load;
	uint64_t version;

	deployment_start(d);
	check_refused(d);
	version = deployment_sign_off(deployment_host(d, 0), bundle);
	watch(d, version);
	check_in_force(d);
	for (i = 0; i < G_N_ELEMENTS(remote_calls); i++)
		make_remote_call(d, &remote_calls[i]);
	load = deployment_load(d, "load", deployment_host(d, 0), 1, load_args);
	for (i = 0; i < ROLLOUTS; i++)
		version = supersede(d, version, (uint32_t)i + 1);
	sum = deployment_load_end(load);
	ck_assert_int_gt(json_number(sum, "sent"), 0);
	ck_assert_int_eq(json_number(sum, "done"), json_number(sum, "sent"));
	ck_assert_int_eq(json_number(sum, "wrong_answers"), 0);
	sign_off_with_warning(d);
	check_fleet(d);
	ck_assert_int_eq(deployment_stop(d), 0);
	ck_assert_uint_eq(deployment_check_runs(d), 0);
	json_decref(sum);
	deployment_free(d);
	g_free(bundle);
	harness_cleanup();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("path");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, calls_succeed_during_rollouts);
	return harness_run(tc, TEST_TIMEOUT_S);
}
