/*
 * Observes the versions that nodes serve.
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include <check.h>
#include <glib.h>
#include <jansson.h>

#include "base/clock.h"
#include "fetch.h"
#include "version_check.h"
#include "version_watch.h"

#define POLL_INTERVAL_US 30000
#define REQUEST_TIMEOUT_MS 1000
#define MIN_OBSERVATIONS 10
#define LAST_OBSERVATIONS_MS 5000
#define URL_BYTES 128
#define KEY_BYTES 64

/* A host and the thread that observes it. */
struct watcher {
	struct version_watch *watch;
	const struct host *host;
	pthread_t thread;
	int reachable;
};

struct version_watch {
	struct deployment *deployment;
	pthread_mutex_t lock; /* guards all below */
	struct version_check *check;
	GPtrArray *watchers;
	int stopping;
};

static void
observe(struct watcher *w, uint64_t version, const char *root)
{
	struct version_watch *all = w->watch;

	pthread_mutex_lock(&all->lock);
	version_check_observe(all->check, w->host->name, version, root);
	version_check_tick(all->check, clock_now_ms());
	pthread_mutex_unlock(&all->lock);
}

/* A node that has a version but isn't ready doesn't serve it. */
static void
poll_status(struct watcher *w)
{
	char url[URL_BYTES];
	int64_t version;
	json_t *j;
	struct fetch f = {"GET", url, NULL, NULL, 0, REQUEST_TIMEOUT_MS};
	struct fetch_answer a;

	(void)g_snprintf(url, sizeof(url), "http://%s:%u/v1/status",
	    w->host->address, w->host->admin_port);
	fetch_perform(&f, &a);
	j = json_loadb(a.body->str, a.body->len, 0, NULL);
	version = json_is_true(json_object_get(j, "ready"))
	    ? json_number(j, "version")
	    : 0;
	observe(w, (uint64_t)version,
	    json_string_value(json_object_get(j, "root")));
	json_decref(j);
	fetch_answer_clear(&a);
}

/* Every answer to a call has a header with the version that routed it. */
static void
poll_call(struct watcher *w)
{
	char url[URL_BYTES], *version;
	struct fetch f = {"GET", url, NULL, NULL, 0, REQUEST_TIMEOUT_MS};
	struct fetch_answer a;

	(void)g_snprintf(url, sizeof(url), "http://%s:%u/search?watch",
	    w->host->address, w->host->caller_port);
	fetch_perform(&f, &a);
	version = fetch_header(&a, "Bramley-Version");
	if (a.code != 0 && version != NULL)
		observe(w, g_ascii_strtoull(version, NULL, 10), NULL);
	g_free(version);
	fetch_answer_clear(&a);
}

static int
is_stopping(struct version_watch *w)
{
	int stopping;

	pthread_mutex_lock(&w->lock);
	stopping = w->stopping;
	pthread_mutex_unlock(&w->lock);
	return stopping;
}

static void *
watcher_run(void *arg)
{
	struct watcher *w = arg;

	while (!is_stopping(w->watch)) {
		poll_status(w);
		poll_call(w);
		g_usleep(POLL_INTERVAL_US);
	}
	return NULL;
}

struct version_watch *
version_watch_start(struct deployment *d)
{
	struct version_watch *w = g_new0(struct version_watch, 1);
	struct watcher *watcher;
	uint32_t i;

	w->deployment = d;
	w->check = version_check_new();
	w->watchers = g_ptr_array_new_with_free_func(g_free);
	pthread_mutex_init(&w->lock, NULL);
	for (i = 0; i < d->hosts->len; i++) {
		watcher = g_new0(struct watcher, 1);
		watcher->watch = w;
		watcher->host = deployment_host(d, i);
		g_ptr_array_add(w->watchers, watcher);
		version_watch_set_reachable(w, watcher->host, 1);
	}
	for (i = 0; i < d->hosts->len; i++) {
		watcher = g_ptr_array_index(w->watchers, i);
		pthread_create(&watcher->thread, NULL, watcher_run, watcher);
	}
	return w;
}

static struct watcher *
find_watcher(struct version_watch *w, const struct host *h)
{
	struct watcher *watcher;
	guint i;

	for (i = 0; i < w->watchers->len; i++) {
		watcher = g_ptr_array_index(w->watchers, i);
		if (watcher->host == h)
			return watcher;
	}
	return NULL;
}

void
version_watch_set_reachable(
    struct version_watch *w, const struct host *h, int reachable)
{
	pthread_mutex_lock(&w->lock);
	find_watcher(w, h)->reachable = reachable;
	if (reachable)
		version_check_reachable(w->check, h->name, clock_now_ms());
	else
		version_check_unreachable(w->check, h->name);
	pthread_mutex_unlock(&w->lock);
}

void
version_watch_accept(
    struct version_watch *w, uint64_t version, uint32_t bound_ms)
{
	pthread_mutex_lock(&w->lock);
	version_check_accept(w->check, version, clock_now_ms(), bound_ms);
	pthread_mutex_unlock(&w->lock);
}

void
version_watch_halted(struct version_watch *w, uint64_t version)
{
	pthread_mutex_lock(&w->lock);
	version_check_withdraw(w->check, version);
	pthread_mutex_unlock(&w->lock);
}

uint64_t
version_watch_highest(struct version_watch *w, const struct host *h)
{
	uint64_t version;

	pthread_mutex_lock(&w->lock);
	version = version_check_highest(w->check, h->name);
	pthread_mutex_unlock(&w->lock);
	return version;
}

struct version_goal {
	struct version_watch *watch;
	uint64_t version;
};

static int
all_serve_version(void *arg)
{
	const struct version_goal *a = arg;
	const struct watcher *watcher;
	guint i;

	for (i = 0; i < a->watch->watchers->len; i++) {
		watcher = g_ptr_array_index(a->watch->watchers, i);
		if (watcher->reachable &&
		    version_watch_highest(a->watch, watcher->host) < a->version)
			return 0;
	}
	return 1;
}

uint64_t
version_watch_wait(
    struct version_watch *w, uint64_t version, uint32_t timeout_ms)
{
	struct version_goal a = {w, version};
	uint64_t start_ms = clock_now_ms();

	ck_assert_msg(harness_wait_until(all_serve_version, &a, timeout_ms),
	    "not all nodes serve version %" G_GUINT64_FORMAT
	    " after %u ms; see %s",
	    version, timeout_ms, harness_dir());
	return clock_now_ms() - start_ms;
}

static uint64_t
row_version(const json_t *row)
{
	const char *text = deployment_row_text(row, "version");

	return text != NULL ? g_ascii_strtoull(text, NULL, 10) : 0;
}

void
version_watch_add_records(struct version_watch *w, const json_t *rows)
{
	const char *key;
	json_t *row;
	size_t i;

	pthread_mutex_lock(&w->lock);
	json_array_foreach((json_t *)rows, i, row)
	{
		key = deployment_row_text(row, "pk");
		if (key != NULL && g_str_has_prefix(key, "version/"))
			version_check_record(w->check, row_version(row),
			    deployment_row_text(row, "root"));
	}
	pthread_mutex_unlock(&w->lock);
}

/* Adds all version rows of the platform to the check.  A restore of the
 * platform leaves numbers out. */
static void
read_records(struct version_watch *w)
{
	json_t *row, *head = deployment_platform_row(w->deployment, "head");
	uint64_t version, newest = row_version(head);
	char key[KEY_BYTES];

	for (version = 1; version <= newest; version++) {
		(void)g_snprintf(
		    key, sizeof(key), "version/%" G_GUINT64_FORMAT, version);
		row = deployment_platform_row(w->deployment, key);
		if (row == NULL)
			continue;
		version_check_record(
		    w->check, version, deployment_row_text(row, "root"));
		json_decref(row);
	}
	json_decref(head);
	version_check_compare_records(w->check);
}

static uint32_t
print_violations(const struct version_watch *w)
{
	const GPtrArray *violations = version_check_violations(w->check);
	guint i;
	const struct version_violation *v;

	for (i = 0; i < violations->len; i++) {
		v = g_ptr_array_index(violations, i);
		(void)printf("%s: version %" G_GUINT64_FORMAT
			     " at %s, which had served %" G_GUINT64_FORMAT "\n",
		    version_rule_name(v->rule), v->version, v->host, v->before);
	}
	(void)fflush(stdout);
	return violations->len;
}

static int
all_are_observed(void *arg)
{
	struct version_watch *w = arg;
	const struct watcher *watcher;
	int result = 1;
	guint i;

	pthread_mutex_lock(&w->lock);
	for (i = 0; i < w->watchers->len; i++) {
		watcher = g_ptr_array_index(w->watchers, i);
		if (version_check_observations(w->check, watcher->host->name) <
		    MIN_OBSERVATIONS)
			result = 0;
	}
	pthread_mutex_unlock(&w->lock);
	return result;
}

uint32_t
version_watch_end(struct version_watch *w)
{
	guint i;
	struct watcher *watcher;
	uint32_t n;

	/* A host that was down for most of the test has served for a short
	 * time only, however fast it came back. */
	(void)harness_wait_until(all_are_observed, w, LAST_OBSERVATIONS_MS);
	pthread_mutex_lock(&w->lock);
	w->stopping = 1;
	pthread_mutex_unlock(&w->lock);
	for (i = 0; i < w->watchers->len; i++) {
		watcher = g_ptr_array_index(w->watchers, i);
		pthread_join(watcher->thread, NULL);
		n = version_check_observations(w->check, watcher->host->name);
		ck_assert_msg(n >= MIN_OBSERVATIONS,
		    "%s was observed serving only %u times",
		    watcher->host->name, n);
	}
	version_check_tick(w->check, clock_now_ms());
	read_records(w);
	n = print_violations(w);
	version_check_free(w->check);
	g_ptr_array_unref(w->watchers);
	pthread_mutex_destroy(&w->lock);
	g_free(w);
	return n;
}
