/*
 * Poison request of a soak run.
 */
#include "soak_crasher.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <check.h>

#include "base/clock.h"
#include "fetch.h"

#define PATH "/search?crash=1"
#define URL_BYTES 128
/* Short, since the caller also has to begin and end faults on time. */
#define SEND_TIMEOUT_MS 200
/* Crashes after which nodes quarantine the request, and time for the
 * quarantine to reach all nodes. */
#define QUARANTINE_CRASHES 3
#define PROPAGATION_MS 3000
#define POLL_MS 50
#define CHECK_TIMEOUT_MS 30000

bool
soak_crasher_send(struct soak_crasher *c, const struct host *h)
{
	char url[URL_BYTES];
	struct fetch f = {
	    .method = "GET", .url = url, .timeout_ms = SEND_TIMEOUT_MS};
	uint64_t start_ms = clock_now_ms();
	struct fetch_answer a;
	bool quarantined;

	(void)g_snprintf(
	    url, sizeof(url), "http://%s:%u" PATH, h->address, h->caller_port);
	fetch_perform(&f, &a);
	c->last_code = a.code;
	c->last_took_ms = clock_now_ms() - start_ms;
	quarantined = strstr(a.body->str, "quarantined") != NULL;
	fetch_answer_clear(&a);
	c->sent++;
	c->quarantined += quarantined;
	return quarantined;
}

void
soak_crasher_restart(struct soak_crasher *c, struct host *h)
{
	if (h->upstream == NULL || !process_has_exited(h->upstream))
		return;
	if (process_wait(h->upstream, 0) == SOAK_CRASH_CODE)
		c->crashes++;
	process_free(h->upstream);
	h->upstream = NULL;
	deployment_start_upstream(c->d, h);
}

static void
restart_crashed(struct soak_crasher *c)
{
	uint32_t i;

	for (i = 0; i < c->d->hosts->len; i++)
		soak_crasher_restart(c, deployment_host(c->d, i));
}

static void
restart_for(struct soak_crasher *c, uint32_t ms)
{
	uint64_t until_ms = clock_now_ms() + ms;

	while (clock_now_ms() < until_ms) {
		g_usleep(POLL_MS * G_TIME_SPAN_MILLISECOND);
		restart_crashed(c);
	}
}

/*
 * Repeats the request until a node reports it as quarantined, which must happen
 * within PROPAGATION_MS of the third crash counted here.  Nodes may have
 * recorded fewer crashes than happened: a killed guard loses its records, and a
 * guard counts two exits on its host within 100 ms as one crash.
 */
static void
send_until_quarantined(struct soak_crasher *c)
{
	uint64_t until_ms = clock_now_ms() + CHECK_TIMEOUT_MS;
	uint32_t before = c->crashes, i = 0;
	bool threshold_reached = false;

	while (!soak_crasher_send(
	    c, deployment_host(c->d, i++ % c->d->hosts->len))) {
		restart_for(c, POLL_MS);
		if (!threshold_reached &&
		    c->crashes >= before + QUARANTINE_CRASHES) {
			threshold_reached = true;
			until_ms = clock_now_ms() + PROPAGATION_MS;
		}
		ck_assert_uint_lt(clock_now_ms(), until_ms);
	}
}

static json_t *
quarantined_requests(const struct host *h)
{
	json_t *answer = deployment_api(h, "GET", "/v1/quarantine", NULL, NULL);
	json_t *list;

	ck_assert_ptr_nonnull(answer);
	list = json_incref(json_object_get(answer, "requests"));
	json_decref(answer);
	return list;
}

static size_t
count_quarantined(const struct host *h)
{
	json_t *list = quarantined_requests(h);
	size_t n = json_array_size(list);

	json_decref(list);
	return n;
}

/* Releases the request, which must be the only quarantined one.  The end of the
 * run checks that no request is quarantined. */
static void
release(const struct soak_crasher *c)
{
	const struct host *h = deployment_host(c->d, 0);
	const char *args[] = {"release", NULL, NULL};
	uint64_t until_ms = clock_now_ms() + CHECK_TIMEOUT_MS;
	json_t *list = quarantined_requests(h);
	uint32_t i;

	ck_assert_uint_eq(json_array_size(list), 1);
	args[1] = json_string_value(
	    json_object_get(json_array_get(list, 0), "request"));
	json_decref(deployment_ctl(h, NULL, args));
	json_decref(list);
	for (i = 0; i < c->d->hosts->len; i++)
		while (count_quarantined(deployment_host(c->d, i)) > 0) {
			ck_assert_uint_lt(clock_now_ms(), until_ms);
			g_usleep(POLL_MS * G_TIME_SPAN_MILLISECOND);
		}
}

void
soak_crasher_check(struct soak_crasher *c)
{
	uint32_t before, i;

	if (!c->enabled)
		return;
	send_until_quarantined(c);
	restart_for(c, PROPAGATION_MS);
	before = c->crashes;
	for (i = 0; i < c->d->hosts->len; i++)
		ck_assert_msg(soak_crasher_send(c, deployment_host(c->d, i)),
		    "%s doesn't quarantine a request that crashed %u "
		    "upstreams: %d after %" PRIu64 " ms",
		    deployment_host(c->d, i)->name, before, c->last_code,
		    c->last_took_ms);
	restart_for(c, POLL_MS);
	ck_assert_uint_eq(c->crashes, before);
	(void)printf("poison request: %u crashes since the last power loss, "
		     "sent %u times, quarantined %u times\n",
	    c->crashes, c->sent, c->quarantined);
	release(c);
}
