/*
 * Held connections and newcomers in a soak run.
 */
#include "soak_holders.h"

#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>
#include <glib.h>

#include "base/clock.h"
#include "fetch.h"

#define HELD_PER_HOST 700
#define DIALS_PER_ROUND 25
#define ROUND_US 20000
#define ASK_US 5000
#define ASK_TIMEOUT_MS 500
/* A node that is ready throughout may answer nobody for this long, while this
 * many try. */
#define SHUT_MS 3000
#define SHUT_TRIES 7
#define URL_BYTES 128
#define HTTP_OK 200

/* What a held connection sends: nothing, or the beginning of a request. */
static const char partial[] = "GET /search HT";

/**
 * struct door - a host as newcomers and holders see it
 * @host: the host
 * @fds: held connections, used as a ring
 * @next: place of the oldest
 * @shut_since_ms: monotonic time of the first newcomer without an answer since
 *	the last that had one, or since readiness was refused; 0 for none
 * @tries: newcomers without an answer since then
 */
struct door {
	const struct host *host;
	int fds[HELD_PER_HOST];
	uint32_t next;
	uint64_t shut_since_ms;
	uint32_t tries;
};

/**
 * struct soak_holders - see soak_holders.h
 * @doors: struct door, by host
 * @n: number of @doors
 * @holder: thread that opens connections
 * @newcomer: thread that asks
 * @hold_rand: random numbers of @holder
 * @ask_rand: random numbers of @newcomer
 * @stopping: the threads must end
 * @asked: newcomers
 * @answered: newcomers with an answer
 * @shut: times at which a ready node answered nobody for too long
 */
struct soak_holders {
	struct door *doors;
	uint32_t n;
	pthread_t holder;
	pthread_t newcomer;
	GRand *hold_rand;
	GRand *ask_rand;
	_Atomic bool stopping;
	uint32_t asked;
	uint32_t answered;
	uint32_t shut;
};

static struct door *
any_door(struct soak_holders *h, GRand *rand)
{
	return &h->doors[g_rand_int_range(rand, 0, (gint32)h->n)];
}

/* Most connections are held to the port for callers. */
static uint16_t
any_port(const struct host *host, GRand *rand)
{
	switch (g_rand_int_range(rand, 0, 8)) {
	case 0:
		return host->peer_port;
	case 1:
		return host->call_port;
	default:
		return host->caller_port;
	}
}

static int
dial(const struct host *host, GRand *rand)
{
	struct sockaddr_in at;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	harness_sockaddr(&at, host->address, any_port(host, rand));
	(void)connect(fd, (struct sockaddr *)&at, sizeof(at));
	return fd;
}

/* Replaces the oldest held connection; one in two begins a request first. */
static void
replace(struct door *d, GRand *rand)
{
	int *fd = &d->fds[d->next];

	if (*fd >= 0)
		(void)close(*fd);
	*fd = dial(d->host, rand);
	d->next = (d->next + 1) % HELD_PER_HOST;
	fd = &d->fds[(d->next + HELD_PER_HOST / 2) % HELD_PER_HOST];
	if (*fd >= 0)
		(void)send(*fd, partial, sizeof(partial) - 1,
		    MSG_NOSIGNAL | MSG_DONTWAIT);
}

static void *
hold_all(void *arg)
{
	struct soak_holders *h = arg;
	struct door *d;
	int i;

	while (!h->stopping) {
		d = any_door(h, h->hold_rand);
		for (i = 0; i < DIALS_PER_ROUND; i++)
			replace(d, h->hold_rand);
		g_usleep(ROUND_US);
	}
	return NULL;
}

static int
get(const struct host *host, uint16_t port, const char *path)
{
	char url[URL_BYTES];
	struct fetch f = {"GET", url, NULL, NULL, 0, ASK_TIMEOUT_MS};
	struct fetch_answer a;

	(void)g_snprintf(
	    url, sizeof(url), "http://%s:%u%s", host->address, port, path);
	fetch_perform(&f, &a);
	fetch_answer_clear(&a);
	return a.code;
}

static bool
is_ready(const struct host *host)
{
	return get(host, host->admin_port, "/v1/health") == HTTP_OK;
}

static void
note_unanswered(struct soak_holders *h, struct door *d)
{
	uint64_t now_ms = clock_now_ms();

	if (d->shut_since_ms == 0)
		d->shut_since_ms = now_ms;
	d->tries++;
	if (now_ms < d->shut_since_ms + SHUT_MS || d->tries < SHUT_TRIES)
		return;
	(void)printf("holders: %s is ready and answered none of %u newcomers "
		     "in %" G_GUINT64_FORMAT " ms\n",
	    d->host->name, d->tries, now_ms - d->shut_since_ms);
	h->shut++;
	d->shut_since_ms = 0;
	d->tries = 0;
}

static void
ask(struct soak_holders *h, struct door *d)
{
	bool answered = get(d->host, d->host->caller_port, "/search") != 0;

	h->asked++;
	h->answered += answered;
	if (!answered && is_ready(d->host)) {
		note_unanswered(h, d);
		return;
	}
	d->shut_since_ms = 0;
	d->tries = 0;
}

static void *
ask_all(void *arg)
{
	struct soak_holders *h = arg;

	while (!h->stopping) {
		ask(h, any_door(h, h->ask_rand));
		g_usleep(ASK_US);
	}
	return NULL;
}

struct soak_holders *
soak_holders_start(struct deployment *d, uint32_t seed)
{
	struct soak_holders *h = g_new0(struct soak_holders, 1);
	uint32_t i, k;

	h->n = d->hosts->len;
	h->doors = g_new0(struct door, h->n);
	for (i = 0; i < h->n; i++) {
		h->doors[i].host = deployment_host(d, i);
		for (k = 0; k < HELD_PER_HOST; k++)
			h->doors[i].fds[k] = -1;
	}
	h->hold_rand = g_rand_new_with_seed(seed);
	h->ask_rand = g_rand_new_with_seed(seed + 1);
	ck_assert_int_eq(pthread_create(&h->holder, NULL, hold_all, h), 0);
	ck_assert_int_eq(pthread_create(&h->newcomer, NULL, ask_all, h), 0);
	return h;
}

void
soak_holders_end(struct soak_holders *h)
{
	uint32_t i, k, shut;

	h->stopping = true;
	(void)pthread_join(h->holder, NULL);
	(void)pthread_join(h->newcomer, NULL);
	for (i = 0; i < h->n; i++)
		for (k = 0; k < HELD_PER_HOST; k++)
			if (h->doors[i].fds[k] >= 0)
				(void)close(h->doors[i].fds[k]);
	(void)printf(
	    "holders: %u newcomers, %u answered\n", h->asked, h->answered);
	shut = h->shut;
	g_rand_free(h->hold_rand);
	g_rand_free(h->ask_rand);
	g_free(h->doors);
	g_free(h);
	ck_assert_uint_eq(shut, 0);
}
