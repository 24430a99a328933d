/*
 * Requests of a customer beyond its limit in a soak run.
 */
#include "soak_limit.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include <check.h>
#include <glib.h>

#include "fetch.h"
#include "standins/runs.h"

#define URL_BYTES 128
#define SEND_TIMEOUT_MS 1000
#define PAUSE_US 10000
#define SENDERS 2
#define WINDOW_MS 5000
/* A run may begin as late as its caller waits, so that runs of a window were
 * admitted in the window or within SEND_TIMEOUT_MS before it.  A tenth more
 * than rate and burst may run, and a few requests that run twice: a lookup
 * whose first answer was lost is sent again. */
#define OVERAGE_PERCENT 10
#define SLACK 20
#define PERCENT 100
#define MS_PER_S 1000
#define HTTP_OK 200
#define HTTP_TOO_MANY_REQUESTS 429

struct soak_limit;

/**
 * struct sender - a thread that sends requests
 * @limit: the requests
 * @thread: the thread
 * @rand: its random numbers
 * @sent: number of requests sent
 * @served: number of them that got an upstream's answer
 * @limited: number of them that were answered with 429
 */
struct sender {
	struct soak_limit *limit;
	pthread_t thread;
	GRand *rand;
	uint32_t sent;
	uint32_t served;
	uint32_t limited;
};

/**
 * struct soak_limit - see soak_limit.h
 * @d: the deployment
 * @stopping: the senders must end
 * @senders: the senders
 */
struct soak_limit {
	struct deployment *d;
	_Atomic bool stopping;
	struct sender senders[SENDERS];
};

static int
send_request(const struct host *h)
{
	static const char *const headers[] = {
	    "X-Test-Holder: " DEPLOYMENT_LIMITED,
	    "Bramley-Customer-Key: " DEPLOYMENT_LIMITED, NULL};
	char url[URL_BYTES];
	struct fetch f = {.method = "GET",
	    .url = url,
	    .headers = headers,
	    .timeout_ms = SEND_TIMEOUT_MS};
	struct fetch_answer a;
	int code;

	(void)g_snprintf(url, sizeof(url),
	    "http://%s:%u" DEPLOYMENT_KEYED_PREFIX "/x", h->address,
	    h->caller_port);
	fetch_perform(&f, &a);
	code = a.code;
	fetch_answer_clear(&a);
	return code;
}

static void *
send_all(void *arg)
{
	struct sender *s = arg;
	struct deployment *d = s->limit->d;
	gint32 host;
	int code;

	while (!s->limit->stopping) {
		host = g_rand_int_range(s->rand, 0, (gint32)d->hosts->len);
		code = send_request(deployment_host(d, (uint32_t)host));
		s->sent++;
		s->served += code == HTTP_OK;
		s->limited += code == HTTP_TOO_MANY_REQUESTS;
		g_usleep(PAUSE_US);
	}
	return NULL;
}

struct soak_limit *
soak_limit_start(struct deployment *d, uint32_t seed)
{
	struct soak_limit *l = g_new0(struct soak_limit, 1);
	struct sender *s;
	uint32_t i;

	l->d = d;
	for (i = 0; i < SENDERS; i++) {
		s = &l->senders[i];
		s->limit = l;
		s->rand = g_rand_new_with_seed(seed + i);
		ck_assert_int_eq(
		    pthread_create(&s->thread, NULL, send_all, s), 0);
	}
	return l;
}

/* Appends the beginnings of the customer's runs at a host, monotonic
 * milliseconds. */
static void
append_runs(const struct host *h, GArray *begun)
{
	char *path =
	    g_strconcat(h->journal, RUNS_CUSTOMERS_SUFFIX, (char *)NULL);
	char *text, **f, **lines;
	uint64_t at_ms;
	uint32_t i;

	ck_assert(g_file_get_contents(path, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	/* A kill may truncate the last line. */
	for (i = 0; lines[i] != NULL && lines[i + 1] != NULL; i++) {
		f = g_strsplit(lines[i], "\t", -1);
		if (g_strv_length(f) == 4 &&
		    strcmp(f[1], DEPLOYMENT_LIMITED) == 0) {
			at_ms = g_ascii_strtoull(f[3], NULL, 10);
			g_array_append_val(begun, at_ms);
		}
		g_strfreev(f);
	}
	g_strfreev(lines);
	g_free(text);
	g_free(path);
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/* Most runs in any window. */
static uint32_t
most_in_window(const GArray *begun)
{
	uint32_t i, first = 0, most = 0;

	for (i = 0; i < begun->len; i++) {
		while (g_array_index(begun, uint64_t, i) -
			g_array_index(begun, uint64_t, first) >=
		    WINDOW_MS)
			first++;
		most = MAX(most, i - first + 1);
	}
	return most;
}

static void
check_windows(const struct soak_limit *l)
{
	uint32_t allowed = DEPLOYMENT_LIMITED_PER_S *
		(WINDOW_MS + SEND_TIMEOUT_MS) / MS_PER_S +
	    DEPLOYMENT_LIMITED_PER_S;
	GArray *begun = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint32_t i, most;

	allowed += allowed * OVERAGE_PERCENT / PERCENT + SLACK;
	for (i = 0; i < l->d->hosts->len; i++)
		append_runs(deployment_host(l->d, i), begun);
	g_array_sort(begun, compare_times);
	most = most_in_window(begun);
	(void)printf("limit: %u runs, at most %u in %d ms, allowed %u\n",
	    begun->len, most, WINDOW_MS, allowed);
	ck_assert_uint_le(most, allowed);
	g_array_unref(begun);
}

void
soak_limit_end(struct soak_limit *l)
{
	uint32_t i, sent = 0, served = 0, limited = 0;
	struct sender *s;

	l->stopping = true;
	for (i = 0; i < SENDERS; i++) {
		s = &l->senders[i];
		(void)pthread_join(s->thread, NULL);
		g_rand_free(s->rand);
		sent += s->sent;
		served += s->served;
		limited += s->limited;
	}
	(void)printf("limit: %u requests, %u served, %u limited\n", sent,
	    served, limited);
	check_windows(l);
	g_free(l);
}
