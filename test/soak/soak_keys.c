/*
 * Requests with customers' keys in a soak run.
 */
#include "soak_keys.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include <check.h>
#include <glib.h>

#include "base/clock.h"
#include "fetch.h"
#include "standins/runs.h"

#define URL_BYTES 128
#define LINE_BYTES 96
#define SEND_TIMEOUT_MS 1000
#define PAUSE_US 15000
/* Keys of so many bundles are tried, of which the last aren't written yet. */
#define BUNDLES 8
#define CHECK_TIMEOUT_MS 20000
#define HTTP_OK 200
#define HTTP_UNAUTHORIZED 401

static const char *const customers[] = {"north", "south"};

/**
 * struct soak_keys - the requests
 * @d: the deployment
 * @thread: sends them
 * @stopping: the thread must end
 * @rand: random numbers of the thread
 * @sent: number of requests sent
 * @served: number of them that got an upstream's answer
 * @unauthorized: number of them that were answered with 401
 */
struct soak_keys {
	struct deployment *d;
	pthread_t thread;
	_Atomic bool stopping;
	GRand *rand;
	uint32_t sent;
	uint32_t served;
	uint32_t unauthorized;
};

/* Status of a request to the node of a host; @key is NULL for none. */
static int
send_request(const struct host *h, const char *holder, const char *key,
    const char *forged)
{
	char url[URL_BYTES], holder_line[LINE_BYTES], key_line[LINE_BYTES],
	    name_line[LINE_BYTES];
	const char *headers[4] = {holder_line, name_line, NULL, NULL};
	struct fetch f = {.method = "GET",
	    .url = url,
	    .headers = headers,
	    .timeout_ms = SEND_TIMEOUT_MS};
	struct fetch_answer a;
	int code;

	(void)g_snprintf(url, sizeof(url),
	    "http://%s:%u" DEPLOYMENT_KEYED_PREFIX "/x", h->address,
	    h->caller_port);
	(void)g_snprintf(
	    holder_line, sizeof(holder_line), "X-Test-Holder: %s", holder);
	(void)g_snprintf(
	    name_line, sizeof(name_line), "bramley-customer: %s", forged);
	(void)g_snprintf(
	    key_line, sizeof(key_line), "Bramley-Customer-Key: %s", key);
	if (key != NULL)
		headers[2] = key_line;
	fetch_perform(&f, &a);
	code = a.code;
	fetch_answer_clear(&a);
	return code;
}

static void
send_one(struct soak_keys *k)
{
	const struct host *h = deployment_host(k->d,
	    (uint32_t)g_rand_int_range(k->rand, 0, (gint32)k->d->hosts->len));
	gint32 holder = g_rand_int_range(k->rand, 0, 3);
	gint32 bundle = g_rand_int_range(k->rand, 1, BUNDLES + 1);
	const char *name = holder < 2 ? customers[holder] : "none";
	char key[LINE_BYTES];
	int code;

	k->sent++;
	(void)g_snprintf(key, sizeof(key), "%s-%d", name, bundle);
	code = send_request(h, name, holder < 2 || bundle % 2 == 0 ? key : NULL,
	    customers[bundle % 2]);
	k->served += code == HTTP_OK;
	k->unauthorized += code == HTTP_UNAUTHORIZED;
}

static void *
send_all(void *arg)
{
	struct soak_keys *k = arg;

	while (!k->stopping) {
		send_one(k);
		g_usleep(PAUSE_US);
	}
	return NULL;
}

struct soak_keys *
soak_keys_start(struct deployment *d, uint32_t seed)
{
	struct soak_keys *k = g_new0(struct soak_keys, 1);

	k->d = d;
	k->rand = g_rand_new_with_seed(seed);
	ck_assert_int_eq(pthread_create(&k->thread, NULL, send_all, k), 0);
	return k;
}

/* Checks the customers of one upstream's runs; returns the number of runs. */
static uint32_t
check_runs(const struct host *h)
{
	char *path =
	    g_strconcat(h->journal, RUNS_CUSTOMERS_SUFFIX, (char *)NULL);
	char *text, **f, **lines;
	uint32_t i, n = 0;

	ck_assert(g_file_get_contents(path, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	/* A kill may truncate the last line. */
	for (i = 0; lines[i] != NULL && lines[i + 1] != NULL; i++) {
		f = g_strsplit(lines[i], "\t", -1);
		if (g_strv_length(f) == 4 && strcmp(f[0], "-") != 0) {
			ck_assert_msg(strcmp(f[0], f[1]) == 0,
			    "%s ran a request with a key of %s for customer %s",
			    h->name, f[0], f[1]);
			n++;
		}
		g_strfreev(f);
	}
	g_strfreev(lines);
	g_free(text);
	g_free(path);
	return n;
}

/* Whether a node takes a bundle's keys; repeated while it answers neither. */
static bool
takes_key(const struct host *h, const char *customer, uint32_t bundle)
{
	uint64_t until_ms = clock_now_ms() + CHECK_TIMEOUT_MS;
	char key[LINE_BYTES];
	int code;

	(void)g_snprintf(key, sizeof(key), "%s-%u", customer, bundle);
	for (;;) {
		code = send_request(h, customer, key, "forged");
		if (code == HTTP_OK || code == HTTP_UNAUTHORIZED)
			return code == HTTP_OK;
		ck_assert_msg(clock_now_ms() < until_ms,
		    "%s answers a key with %d", h->name, code);
		g_usleep(PAUSE_US);
	}
}

/* The bundle whose keys a node takes: exactly one, with both keys. */
static uint32_t
valid_bundle(const struct host *h, uint32_t last)
{
	uint32_t bundle, valid = 0;
	bool north, south;

	for (bundle = 1; bundle <= last; bundle++) {
		north = takes_key(h, customers[0], bundle);
		south = takes_key(h, customers[1], bundle);
		ck_assert_msg(north == south, "%s mixes versions", h->name);
		if (!north)
			continue;
		ck_assert_msg(valid == 0, "%s takes keys of bundles %u and %u",
		    h->name, valid, bundle);
		valid = bundle;
	}
	return valid;
}

void
soak_keys_end(struct soak_keys *k, uint32_t last, bool in_force)
{
	uint32_t i, runs = 0, valid;

	k->stopping = true;
	(void)pthread_join(k->thread, NULL);
	for (i = 0; in_force && i < k->d->hosts->len; i++) {
		valid = valid_bundle(deployment_host(k->d, i), last);
		ck_assert_msg(valid == last,
		    "%s takes keys of bundle %u, not %u",
		    deployment_host(k->d, i)->name, valid, last);
	}
	for (i = 0; i < k->d->hosts->len; i++)
		runs += check_runs(deployment_host(k->d, i));
	(void)printf("keys: %u requests, %u served, %u unauthorized, %u runs\n",
	    k->sent, k->served, k->unauthorized, runs);
	ck_assert_uint_ge(runs, k->served);
	g_rand_free(k->rand);
	g_free(k);
}
