/*
 * A node is suspended for longer than the suspicion timeout of its peers, and
 * resumed after newer versions have been rolled out.  It must catch up, and no
 * node may report any other node as failed.
 */
#include <signal.h>
#include <string.h>

#include <check.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "base/clock.h"
#include "fetch.h"
#include "operators.h"
#include "version_watch.h"

#define TEST_TIMEOUT_S 120
#define START_BOUND_MS 20000
#define ROLLOUT_BOUND_MS 8000
#define CALL_PAUSE_US 2000
#define SETTLE_US 2000000
#define SUSPENDED 1
#define URL_BYTES 128

static const char settings[] = "{\"probe_interval_ms\":200,"
			       "\"probe_timeout_ms\":80,\"suspicion_ms\":800}";

/* Checks that the running nodes report no member as failed except the suspended
 * one. */
static void
check_others_not_failed(struct deployment *d)
{
	const char *state;
	json_t *j, *members, *member;
	size_t k;
	uint32_t i;

	for (i = 0; i < d->hosts->len; i++) {
		if (i == SUSPENDED)
			continue;
		j = deployment_api(
		    deployment_host(d, i), "GET", "/v1/members", NULL, NULL);
		members = json_is_array(j) ? j : json_object_get(j, "members");
		ck_assert_uint_eq(json_array_size(members), d->hosts->len);
		json_array_foreach(members, k, member)
		{
			state =
			    json_string_value(json_object_get(member, "state"));
			if (g_strcmp0(json_string_value(
					  json_object_get(member, "host")),
				deployment_host(d, SUSPENDED)->name) != 0)
				ck_assert_str_ne(state, "failed");
		}
		json_decref(j);
	}
}

/* Number of times that a node reported another one as failed since its start.
 */
static uint64_t
count_failed_hosts(const struct host *h)
{
	static const char name[] = "\nbramley_failed_hosts_total ";
	char url[URL_BYTES];
	const char *at;
	struct fetch f = {"GET", url, NULL, NULL, 0, 0};
	struct fetch_answer a;
	uint64_t n;

	(void)g_snprintf(url, sizeof(url), "http://%s:%u/metrics", h->address,
	    h->admin_port);
	fetch_perform(&f, &a);
	at = strstr(a.body->str, name);
	ck_assert_msg(at != NULL, "%s has no metric %s", h->name, name);
	n = g_ascii_strtoull(at + strlen(name), NULL, 10);
	fetch_answer_clear(&a);
	return n;
}

/* Checks that only the suspended node was ever reported as failed, and at most
 * once by each node. */
static void
check_failures(const struct deployment *d)
{
	const struct host *h;
	uint32_t i;

	for (i = 0; i < d->hosts->len; i++) {
		h = deployment_host(d, i);
		ck_assert_msg(count_failed_hosts(h) <= (i != SUSPENDED),
		    "%s reported %lu hosts as failed", h->name,
		    (unsigned long)count_failed_hosts(h));
	}
}

struct wait_arg {
	struct deployment *d;
};

static int
others_exclude_suspended(void *arg)
{
	const struct wait_arg *l = arg;
	json_t *j;
	int64_t live;
	uint32_t i;

	for (i = 0; i < l->d->hosts->len; i++) {
		if (i == SUSPENDED)
			continue;
		j = deployment_api(
		    deployment_host(l->d, i), "GET", "/v1/status", NULL, NULL);
		live = json_number(j, "members_live");
		json_decref(j);
		if (live != (int64_t)l->d->hosts->len - 1)
			return 0;
	}
	return 1;
}

/* Version that served a call; 0 if the call wasn't answered. */
static uint64_t
call_version(const struct host *h)
{
	char url[URL_BYTES], *text;
	struct fetch f = {"GET", url, NULL, NULL, 0, 0};
	struct fetch_answer a;
	uint64_t version = 0;

	(void)g_snprintf(url, sizeof(url), "http://%s:%u/search?frozen",
	    h->address, h->caller_port);
	fetch_perform(&f, &a);
	text = fetch_header(&a, "Bramley-Version");
	if (a.code != 0 && text != NULL)
		version = g_ascii_strtoull(text, NULL, 10);
	g_free(text);
	fetch_answer_clear(&a);
	return version;
}

/* Resumes the suspended node; returns for how many milliseconds after that
 * calls were served by an older version. */
static uint64_t
resume(struct deployment *d, struct version_watch *w, uint64_t newest)
{
	const struct host *h = deployment_host(d, SUSPENDED);
	uint64_t last_old_ms, start_ms = clock_now_ms(), version;

	process_signal(h->node, SIGCONT);
	version_watch_set_reachable(w, h, 1);
	last_old_ms = start_ms;
	do {
		version = call_version(h);
		if (version != 0 && version < newest)
			last_old_ms = clock_now_ms();
		ck_assert_uint_lt(clock_now_ms() - start_ms, ROLLOUT_BOUND_MS);
		g_usleep(CALL_PAUSE_US);
	} while (version < newest);
	return last_old_ms - start_ms;
}

static uint64_t
sign_off(struct deployment *d, struct version_watch *w, uint32_t n,
    uint32_t bound_ms)
{
	char *path = deployment_bundle(n);
	uint64_t version = deployment_sign_off(deployment_host(d, 0), path);

	version_watch_accept(w, version, bound_ms);
	(void)version_watch_wait(w, version, bound_ms);
	g_free(path);
	return version;
}

START_TEST(suspended_node_catches_up)
{
	struct deployment_plan plan = deployment_registry;
	struct deployment *d;
	struct wait_arg l;
	struct version_watch *w;
	uint64_t old_ms, version;

	plan.node_settings = settings;
	d = deployment_new(&plan);
	l.d = d;
	deployment_start(d);
	w = version_watch_start(d);
	(void)sign_off(d, w, 1, START_BOUND_MS);
	version_watch_set_reachable(w, deployment_host(d, SUSPENDED), 0);
	process_signal(deployment_host(d, SUSPENDED)->node, SIGSTOP);
	ck_assert_msg(
	    harness_wait_until(others_exclude_suspended, &l, START_BOUND_MS),
	    "the suspended node was never reported as failed");
	check_others_not_failed(d);
	(void)sign_off(d, w, 2, ROLLOUT_BOUND_MS);
	version = sign_off(d, w, 3, ROLLOUT_BOUND_MS);
	old_ms = resume(d, w, version);
	(void)printf("calls at the resumed node got an older version for "
		     "%lu ms\n",
	    (unsigned long)old_ms);
	check_others_not_failed(d);
	deployment_wait_members(d, d->hosts->len, ROLLOUT_BOUND_MS);
	g_usleep(SETTLE_US);
	check_others_not_failed(d);
	deployment_wait_members(d, d->hosts->len, ROLLOUT_BOUND_MS);
	check_failures(d);
	ck_assert_uint_eq(version_watch_end(w), 0);
	deployment_free(d);
	harness_cleanup();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("frozen");

	curl_global_init(CURL_GLOBAL_DEFAULT);
	tcase_add_test(tc, suspended_node_catches_up);
	return harness_run(tc, TEST_TIMEOUT_S);
}
