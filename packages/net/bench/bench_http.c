/*
 * Benchmark of the HTTP client: cost of a request on keep-alive connections and
 * on new connections (`once`), compared with plain blocking sockets against the
 * same server in the same run.
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "http_fake.h"
#include "net/http.h"
#include "raw_socket.h"

#define REQUESTS 5000
#define WARM_UP 200
#define AT_ONCE 32
#define ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
#define REQUEST                                   \
	"POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\n" \
	"Content-Length: 3\r\n\r\nabc"

/* How requests are sent. */
struct mode {
	const char *name;
	bool raw;
	bool once;
	uint32_t at_once;
};

static const struct mode modes[] = {
    {"plain, kept alive", true, false, 1},
    {"client, kept alive", false, false, 1},
    {"plain, fresh", true, true, 1},
    {"client, once", false, true, 1},
    {"client, kept alive, 32 at once", false, false, AT_ONCE},
    {"client, once, 32 at once", false, true, AT_ONCE},
};

struct bench {
	struct loop *loop;
	struct http_client *client;
	char *url;
	bool once;
	uint32_t left;
	uint32_t to_send;
};

struct server {
	struct loop *loop;
	struct fake *fake;
	pthread_t thread;
};

static bool
script(const struct fake_request *r, GString *out)
{
	(void)r;
	g_string_append(out, ANSWER);
	return false;
}

static void *
server_run(void *arg)
{
	struct server *s = arg;

	loop_run(s->loop);
	return NULL;
}

static void bench_send(struct bench *b);

static void
on_done(struct http_call *call, const struct http_result *r, void *arg)
{
	struct bench *b = arg;

	(void)call;
	if (r->status != STATUS_OK)
		g_error("%s", status_message());
	b->left--;
	bench_send(b);
	if (b->left == 0)
		loop_stop(b->loop);
}

static const struct http_handler handler = {.on_done = on_done};

static void
bench_send(struct bench *b)
{
	struct http_request r = {.method = "POST",
	    .url = b->url,
	    .body = (const uint8_t *)"abc",
	    .body_bytes = 3,
	    .once = b->once,
	    .deadline_ms = DEADLINE_NEVER};

	if (b->to_send == 0)
		return;
	b->to_send--;
	(void)http_call_start(b->client, &r, &handler, b);
}

static void
run_client(struct bench *b, const struct mode *m, uint32_t n)
{
	uint32_t i;

	b->once = m->once;
	b->left = b->to_send = n;
	for (i = 0; i < m->at_once; i++)
		bench_send(b);
	loop_run(b->loop);
}

static void
run_raw(struct net_addr at, bool fresh, uint32_t n)
{
	char answer[sizeof(ANSWER) - 1];
	int fd = raw_connect(at);
	uint32_t i;

	for (i = 0; i < n; i++) {
		if (fresh && i > 0) {
			(void)close(fd);
			fd = raw_connect(at);
		}
		raw_write_all(fd, REQUEST, strlen(REQUEST));
		(void)raw_read_all(fd, answer, sizeof(answer));
	}
	(void)close(fd);
}

static void
run_mode(struct bench *b, struct server *s, const struct mode *m, uint32_t n)
{
	if (m->raw)
		run_raw(fake_addr(s->fake), m->once, n);
	else
		run_client(b, m, n);
}

static void
measure(struct bench *b, struct server *s, const struct mode *m)
{
	uint64_t cpu_us, wall_us;

	run_mode(b, s, m, WARM_UP);
	cpu_us = raw_thread_cpu_us();
	wall_us = clock_now_us();
	run_mode(b, s, m, REQUESTS);
	cpu_us = raw_thread_cpu_us() - cpu_us;
	wall_us = clock_now_us() - wall_us;
	(void)printf("%-32s %7.1f us per request, %6.1f us of CPU time\n",
	    m->name, (double)wall_us / REQUESTS, (double)cpu_us / REQUESTS);
}

int
main(void)
{
	struct server s = {.loop = loop_new()};
	struct bench b = {.loop = loop_new()};
	size_t i;

	s.fake = fake_new(s.loop, script);
	b.client = http_client_new(b.loop, NULL);
	b.url =
	    g_strdup_printf("http://127.0.0.1:%u/x", fake_addr(s.fake).port);
	if (pthread_create(&s.thread, NULL, server_run, &s) != 0)
		g_error("The benchmark can't start a thread.");
	for (i = 0; i < G_N_ELEMENTS(modes); i++)
		measure(&b, &s, &modes[i]);
	http_client_free(b.client);
	loop_stop(s.loop);
	(void)pthread_join(s.thread, NULL);
	fake_free(s.fake);
	loop_free(s.loop);
	loop_free(b.loop);
	g_free(b.url);
	return 0;
}
