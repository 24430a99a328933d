/*
 * A customer's key is replaced while one node is cut off from the platform, and
 * again after the cut.  Each node must refuse the key that was taken away
 * within the bound, though the version arrives through peers, and serve the one
 * that was added.  No log and no answer of a node may show a key.  The usage of
 * the customer is summed over all nodes.
 */
#include <string.h>

#include <check.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "base/clock.h"
#include "deployment.h"
#include "fetch.h"
#include "operators.h"
#include "standins/runs.h"

#define TEST_TIMEOUT_S 120
#define START_BOUND_MS 20000
/* A key that was taken away is refused everywhere within this time. */
#define REVOKED_BOUND_MS 5000
#define CUT_HOST 5
/* Setting of the nodes, and that with time to ask all of them. */
#define CONFIRM_MS 4000
#define REFUSED_BOUND_MS 7000
/* Two periods of usage, and time to ask. */
#define USAGE_BOUND_MS 15000
#define CUSTOMER "court of appeal"
#define SECRET "secret-"
#define OLD_KEY SECRET "old"
#define NEW_KEY SECRET "new"
#define LAST_KEY SECRET "last"

/* The example's bundle, where the first customer has one key. */
static char *
write_bundle(const char *key)
{
	char *example = deployment_example("customers.json");
	json_t *first, *j = json_load_file(example, 0, NULL);
	char *path, *text;

	ck_assert_ptr_nonnull(j);
	first = json_array_get(json_object_get(j, "customers"), 0);
	ck_assert_str_eq(
	    json_string_value(json_object_get(first, "name")), CUSTOMER);
	json_object_set_new(first, "keys", json_pack("[s]", key));
	text = json_dumps(j, 0);
	path = harness_write("customers.json", text);
	free(text);
	json_decref(j);
	g_free(example);
	return path;
}

static uint64_t
sign_off(const struct deployment *d, const char *key)
{
	char *path = write_bundle(key);
	uint64_t version = deployment_sign_off(deployment_host(d, 0), path);

	g_free(path);
	return version;
}

/* Status of a call with a key, or without one. */
static int
call(const struct host *h, const char *path, const char *key)
{
	char url[128], holder[64], line[64];
	const char *headers[] = {holder, key != NULL ? line : NULL, NULL};
	struct fetch f = {.method = "GET", .url = url, .headers = headers};
	struct fetch_answer a;
	int code;

	(void)g_snprintf(url, sizeof(url), "http://%s:%u%s", h->address,
	    h->caller_port, path);
	(void)g_snprintf(holder, sizeof(holder), "X-Test-Holder: %s",
	    key != NULL ? CUSTOMER : "-");
	if (key != NULL)
		(void)g_snprintf(
		    line, sizeof(line), "Bramley-Customer-Key: %s", key);
	fetch_perform(&f, &a);
	code = a.code;
	ck_assert_ptr_null(strstr(a.headers->str, SECRET));
	fetch_answer_clear(&a);
	return code;
}

/**
 * struct revocation - an exchange of keys as it is observed
 * @d: the deployment
 * @gone: the key that was taken away
 * @added: the key that was added
 * @refused: hosts that refuse @gone
 */
struct revocation {
	const struct deployment *d;
	const char *gone;
	const char *added;
	bool refused[8];
};

/* A node that refuses the key that is gone never takes it again, and serves the
 * one that was added. */
static int
all_refuse(void *arg)
{
	struct revocation *r = arg;
	uint32_t i, n = 0;
	int gone, added;

	for (i = 0; i < r->d->hosts->len; i++) {
		gone = call(deployment_host(r->d, i), "/search/x", r->gone);
		ck_assert_msg(!r->refused[i] || gone == 401,
		    "host %u answers the old key with %d again", i, gone);
		r->refused[i] = gone == 401;
		n += r->refused[i];
		added = call(deployment_host(r->d, i), "/search/x", r->added);
		if (r->refused[i])
			ck_assert_msg(added == 200,
			    "host %u answers the new key with %d", i, added);
	}
	return n == r->d->hosts->len;
}

static void
replace_key(const struct deployment *d, const char *gone, const char *added)
{
	struct revocation r = {.d = d, .gone = gone, .added = added};
	uint64_t from_ms;

	(void)sign_off(d, added);
	from_ms = clock_now_ms();
	ck_assert_msg(harness_wait_until(all_refuse, &r, REVOKED_BOUND_MS),
	    "a key that was taken away is served after %d ms",
	    REVOKED_BOUND_MS);
	(void)printf("%s refused by all nodes %lu ms after the sign-off\n",
	    gone, (unsigned long)(clock_now_ms() - from_ms));
}

static void
check_no_key(const char *where, const char *text)
{
	ck_assert_msg(strstr(text, SECRET) == NULL, "%s shows a key", where);
}

static void
check_file(const char *path)
{
	char *text = NULL;

	ck_assert(g_file_get_contents(path, &text, NULL, NULL));
	check_no_key(path, text);
	g_free(text);
}

static void
check_ctl(const struct host *h, const char *command, const char *arg)
{
	const char *args[] = {command, arg, NULL};
	char *text;
	int code;
	json_t *j = deployment_ctl(h, &code, args);

	text = json_dumps(j, JSON_ENCODE_ANY);
	if (text != NULL)
		check_no_key(command, text);
	free(text);
	json_decref(j);
}

/* A bundle in which two customers have one key. */
static void
check_invalid_bundle(const struct host *h)
{
	char *path = harness_write("shared.json",
	    "{\"format\":1,\"name\":\"b\",\"services\":[{\"name\":\"s\"}],"
	    "\"routes\":[],\"customers\":["
	    "{\"name\":\"north\",\"keys\":[\"" SECRET "shared\"]},"
	    "{\"name\":\"south\",\"keys\":[\"" SECRET "shared\"]}]}");
	const char *args[] = {"sign-off", path, NULL};
	char *text;
	int code;
	json_t *j = deployment_ctl(h, &code, args);

	ck_assert_int_eq(code, CTL_INVALID);
	text = json_dumps(j, JSON_ENCODE_ANY);
	ck_assert_ptr_nonnull(text);
	ck_assert_msg(strstr(text, "customers[1].keys[0]") != NULL &&
		strstr(text, "north") != NULL,
	    "%s", text);
	check_no_key("sign-off", text);
	check_ctl(h, "validate", path);
	free(text);
	json_decref(j);
	g_free(path);
}

/* The table of customers is no service. */
static void
check_valid_bundle(const struct host *h)
{
	char *path = write_bundle(OLD_KEY);
	const char *args[] = {"validate", path, NULL};
	json_t *j = deployment_ctl(h, NULL, args);

	ck_assert_int_eq(json_number(j, "services"), 3);
	json_decref(j);
	g_free(path);
}

static void
check_keys_are_hidden(const struct deployment *d)
{
	static const char *const paths[] = {
	    "/v1/status", "/v1/versions", "/v1/upstreams", "/metrics"};
	const struct host *h = deployment_host(d, 0);
	struct fetch_answer a;
	struct fetch f = {.method = "GET"};
	char url[128];
	uint32_t i;

	check_invalid_bundle(h);
	check_valid_bundle(h);
	check_ctl(h, "status", NULL);
	check_ctl(h, "history", NULL);
	for (i = 0; i < G_N_ELEMENTS(paths); i++) {
		(void)g_snprintf(url, sizeof(url), "http://%s:%u%s", h->address,
		    h->admin_port, paths[i]);
		f.url = url;
		fetch_perform(&f, &a);
		check_no_key(paths[i], a.body->str);
		fetch_answer_clear(&a);
	}
	for (i = 0; i < d->hosts->len; i++)
		check_file(process_log_path(deployment_host(d, i)->node));
}

/* Each run of a request with a key was named for its holder. */
static void
check_names(const struct deployment *d)
{
	char *path, *text, **lines, **f;
	uint32_t i, j, n = 0;

	for (i = 0; i < d->hosts->len; i++) {
		path = g_strconcat(deployment_host(d, i)->journal,
		    RUNS_CUSTOMERS_SUFFIX, (char *)NULL);
		ck_assert(g_file_get_contents(path, &text, NULL, NULL));
		lines = g_strsplit(text, "\n", -1);
		for (j = 0; lines[j] != NULL && lines[j][0] != '\0'; j++, n++) {
			f = g_strsplit(lines[j], "\t", -1);
			ck_assert_str_eq(f[1], f[0]);
			g_strfreev(f);
		}
		g_strfreev(lines);
		g_free(text);
		g_free(path);
	}
	ck_assert_uint_gt(n, 0);
}

/* Calls at each host until the sum over the hosts shows them. */
struct usage_wait {
	const struct deployment *d;
	const char *const *args;
};

static int
usage_is_summed(void *arg)
{
	struct usage_wait *w = arg;
	json_t *j, *first;
	uint32_t i, n = w->d->hosts->len;
	int summed;

	for (i = 0; i < n; i++)
		ck_assert_int_eq(
		    call(deployment_host(w->d, i), "/search/x", LAST_KEY), 200);
	j = deployment_ctl(deployment_host(w->d, 0), NULL, w->args);
	ck_assert_int_eq(json_number(j, "answered"), n);
	first = json_array_get(json_object_get(j, "customers"), 0);
	summed = json_number(first, "requests") >= n;
	if (summed)
		ck_assert_str_eq(
		    json_string_value(json_object_get(first, "name")),
		    CUSTOMER);
	json_decref(j);
	return summed;
}

static void
check_usage(const struct deployment *d)
{
	GPtrArray *args = g_ptr_array_new_with_free_func(g_free);
	struct usage_wait w = {.d = d};
	const struct host *h;
	uint32_t i;

	g_ptr_array_add(args, g_strdup("customers"));
	g_ptr_array_add(args, g_strdup(CUSTOMER));
	for (i = 1; i < d->hosts->len; i++) {
		h = deployment_host(d, i);
		g_ptr_array_add(args, g_strdup("--node"));
		g_ptr_array_add(
		    args, g_strdup_printf("%s:%u", h->address, h->admin_port));
	}
	g_ptr_array_add(args, NULL);
	w.args = (const char *const *)args->pdata;
	ck_assert_msg(harness_wait_until(usage_is_summed, &w, USAGE_BOUND_MS),
	    "no sum of a customer's requests after %d ms", USAGE_BOUND_MS);
	g_ptr_array_unref(args);
}

START_TEST(key_taken_away_is_refused_beside_a_cut)
{
	struct deployment_plan plan = deployment_registry;
	struct deployment *d;
	uint32_t i;

	plan.relayed = RELAYED_BY_HOST;
	d = deployment_new(&plan);
	deployment_start(d);
	deployment_wait_version(d, sign_off(d, OLD_KEY), START_BOUND_MS);
	for (i = 0; i < d->hosts->len; i++) {
		ck_assert_int_eq(
		    call(deployment_host(d, i), "/search/x", OLD_KEY), 200);
		ck_assert_int_eq(
		    call(deployment_host(d, i), "/search/x", NULL), 401);
		ck_assert_int_eq(
		    call(deployment_host(d, i), "/search/help", NULL), 200);
	}
	relay_set(g_ptr_array_index(d->relays, CUT_HOST), RELAY_SILENT);
	replace_key(d, OLD_KEY, NEW_KEY);
	relay_set(g_ptr_array_index(d->relays, CUT_HOST), RELAY_PASS);
	replace_key(d, NEW_KEY, LAST_KEY);
	check_usage(d);
	check_keys_are_hidden(d);
	check_names(d);
	deployment_free(d);
	harness_cleanup();
}
END_TEST

/* Whether all nodes answer a key with a status. */
struct answers {
	const struct deployment *d;
	int code;
};

static int
all_answer(void *arg)
{
	const struct answers *a = arg;
	uint32_t i;

	for (i = 0; i < a->d->hosts->len; i++)
		if (call(deployment_host(a->d, i), "/search/x", OLD_KEY) !=
		    a->code)
			return 0;
	return 1;
}

static void
set_relays(const struct deployment *d, enum relay_mode mode)
{
	uint32_t i;

	for (i = 0; i < d->relays->len; i++)
		relay_set(g_ptr_array_index(d->relays, i), mode);
}

/* A node that peers confirm serves keys through a cut of its own; cut off from
 * the platform all nodes refuse them, and serve what needs none. */
START_TEST(unconfirmed_nodes_refuse_keys)
{
	struct deployment_plan plan = deployment_registry;
	struct answers served = {.code = 200}, refused = {.code = 503};
	struct deployment *d;
	uint64_t until_ms;
	uint32_t i;

	plan.relayed = RELAYED_BY_HOST;
	plan.node_settings =
	    "{\"revoke_confirm_ms\":" G_STRINGIFY(CONFIRM_MS) "}";
	d = deployment_new(&plan);
	served.d = refused.d = d;
	deployment_start(d);
	(void)sign_off(d, OLD_KEY);
	ck_assert(harness_wait_until(all_answer, &served, START_BOUND_MS));
	relay_set(g_ptr_array_index(d->relays, CUT_HOST), RELAY_SILENT);
	until_ms = clock_now_ms() + 2 * CONFIRM_MS;
	while (clock_now_ms() < until_ms)
		ck_assert(all_answer(&served));
	set_relays(d, RELAY_CUT);
	ck_assert(harness_wait_until(all_answer, &refused, REFUSED_BOUND_MS));
	for (i = 0; i < d->hosts->len; i++)
		ck_assert_int_eq(
		    call(deployment_host(d, i), "/search/help", NULL), 200);
	set_relays(d, RELAY_PASS);
	ck_assert(harness_wait_until(all_answer, &served, START_BOUND_MS));
	deployment_free(d);
	harness_cleanup();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("key_revoked");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, key_taken_away_is_refused_beside_a_cut);
	tcase_add_test(tc, unconfirmed_nodes_refuse_keys);
	return harness_run(tc, TEST_TIMEOUT_S);
}
