/*
 * Announces the stand-in upstream to its node and renews the lease.
 */
#include <pthread.h>
#include <string.h>
#include <time.h>

#include <curl/curl.h>
#include <glib.h>

#include "base/clock.h"
#include "standins/announcer.h"

#define ANNOUNCER_TIMEOUT_MS 2000L
#define ANNOUNCER_RETRY_MS 200
#define ANNOUNCER_RENEWALS_PER_LEASE 3
#define HTTP_SUCCESS_MIN 200
#define HTTP_SUCCESS_MAX 299

struct announcer {
	pthread_t thread;
	pthread_mutex_t lock; /* protects @state to @stopping */
	pthread_cond_t changed;
	enum announce_state state;
	uint64_t state_seq; /* incremented with each change */
	uint64_t acked_seq; /* last state_seq that the node acked */
	int paused;
	int stopping;
	char *url;
	char *source;
	uint16_t port;
	uint32_t slots;
	uint32_t lease_ms;
};

const char *
announce_state_name(enum announce_state s)
{
	static const char *const names[] = {"starting", "ready", "draining"};

	return names[s];
}

static size_t
announcer_discard_body(char *data, size_t size, size_t n, void *arg)
{
	(void)data;
	(void)arg;
	return size * n;
}

/* Send a request to the node; returns whether it responded with 2xx. */
static int
announcer_send(const struct announcer *a, const char *method, const char *body)
{
	CURL *c = curl_easy_init();
	CURLcode rc;
	long code = 0;

	curl_easy_setopt(c, CURLOPT_URL, a->url);
	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(c, CURLOPT_INTERFACE, a->source);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, ANNOUNCER_TIMEOUT_MS);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, announcer_discard_body);
	if (body != NULL)
		curl_easy_setopt(c, CURLOPT_POSTFIELDS, body);
	rc = curl_easy_perform(c);
	curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &code);
	curl_easy_cleanup(c);
	return rc == CURLE_OK && code >= HTTP_SUCCESS_MIN &&
	    code <= HTTP_SUCCESS_MAX;
}

static int
announcer_put(const struct announcer *a, enum announce_state s)
{
	char body[256];

	(void)g_snprintf(body, sizeof(body),
	    "{\"port\":%u,\"slots\":%u,\"state\":\"%s\",\"lease_ms\":%u}",
	    a->port, a->slots, announce_state_name(s), a->lease_ms);
	return announcer_send(a, "PUT", body);
}

/* Wait for @changed or the timeout; call with the lock held. */
static void
announcer_wait(struct announcer *a, uint64_t wait_ms)
{
	struct timespec ts;
	uint64_t deadline_ms = clock_now_ms() + wait_ms;

	ts.tv_sec = (time_t)(deadline_ms / 1000);
	ts.tv_nsec = (long)(deadline_ms % 1000) * 1000000L;
	(void)pthread_cond_timedwait(&a->changed, &a->lock, &ts);
}

/*
 * Announce the state once.  Call with the lock held; it is released during the
 * request.  Returns the time until the next announcement in milliseconds.
 */
static uint64_t
announcer_announce(struct announcer *a)
{
	enum announce_state s = a->state;
	int acked;
	uint64_t seq = a->state_seq;

	if (a->paused)
		return a->lease_ms;
	pthread_mutex_unlock(&a->lock);
	acked = announcer_put(a, s);
	pthread_mutex_lock(&a->lock);
	if (!acked)
		return ANNOUNCER_RETRY_MS;
	a->acked_seq = seq;
	pthread_cond_broadcast(&a->changed);
	return a->lease_ms / ANNOUNCER_RENEWALS_PER_LEASE;
}

static void *
announcer_run(void *arg)
{
	struct announcer *a = arg;
	uint64_t seq, wait_ms;

	pthread_mutex_lock(&a->lock);
	while (!a->stopping) {
		seq = a->state_seq;
		wait_ms = announcer_announce(a);
		if (!a->stopping && seq == a->state_seq)
			announcer_wait(a, wait_ms);
	}
	pthread_mutex_unlock(&a->lock);
	return NULL;
}

struct announcer *
announcer_start(const struct announcer_options *o)
{
	pthread_condattr_t attr;
	struct announcer *a = g_new0(struct announcer, 1);

	a->url =
	    g_strdup_printf("http://%s/v1/upstreams/%s", o->node, o->service);
	a->source = g_strdup_printf("host!%s", o->address);
	a->port = o->port;
	a->slots = o->slots;
	a->lease_ms = o->lease_ms;
	a->state = ANNOUNCE_STARTING;
	a->state_seq = 1;
	pthread_mutex_init(&a->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&a->changed, &attr);
	pthread_condattr_destroy(&attr);
	pthread_create(&a->thread, NULL, announcer_run, a);
	return a;
}

enum status
announcer_set(struct announcer *a, enum announce_state s, uint32_t wait_ms)
{
	int acked;
	uint64_t seq, deadline_ms = clock_now_ms() + wait_ms;

	pthread_mutex_lock(&a->lock);
	a->state = s;
	seq = ++a->state_seq;
	pthread_cond_broadcast(&a->changed);
	while (a->acked_seq < seq && clock_now_ms() < deadline_ms)
		announcer_wait(a, clock_left_ms(deadline_ms, clock_now_ms()));
	acked = a->acked_seq >= seq;
	pthread_mutex_unlock(&a->lock);
	return acked ? STATUS_OK
		     : status_set(STATUS_TIMEOUT,
			   "the node has not acknowledged the state; "
			   "announcing continues.");
}

void
announcer_pause(struct announcer *a, int paused)
{
	pthread_mutex_lock(&a->lock);
	a->paused = paused;
	a->state_seq++;
	pthread_cond_broadcast(&a->changed);
	pthread_mutex_unlock(&a->lock);
}

void
announcer_withdraw(struct announcer *a)
{
	if (a == NULL)
		return;
	pthread_mutex_lock(&a->lock);
	a->stopping = 1;
	pthread_cond_broadcast(&a->changed);
	pthread_mutex_unlock(&a->lock);
	pthread_join(a->thread, NULL);
	(void)announcer_send(a, "DELETE", NULL);
	pthread_cond_destroy(&a->changed);
	pthread_mutex_destroy(&a->lock);
	g_free(a->url);
	g_free(a->source);
	g_free(a);
}
