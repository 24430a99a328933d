/*
 * Benchmark of the HTTP server: latency and processor time of a request on a
 * connection that is kept alive, alone and sent ahead, compared with a plain
 * blocking server in the same run.
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "net/http_server.h"
#include "raw_socket.h"

#define REQUESTS 20000
#define WARM_UP 500
#define ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
#define REQUEST "GET /x HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n"
#define AHEAD 8

static uint64_t server_cpu_us;

static void
on_request(
    struct http_incoming *q, const struct http_incoming_head *head, void *arg)
{
	(void)head;
	(void)arg;
	http_incoming_answer(q, 200, NULL, 0, 2, false);
	http_incoming_write(q, "ok", 2);
	http_incoming_end(q);
}

static void
ignore_body(struct http_incoming *q, const uint8_t *data, size_t len)
{
	(void)q;
	(void)data;
	(void)len;
}

static void
ignore(struct http_incoming *q)
{
	(void)q;
}

static void
on_bad(struct http_incoming *q, int code, void *arg)
{
	(void)arg;
	g_error("a request of the benchmark got %d", code);
	http_incoming_abort(q);
}

static const struct http_server_handler handler = {
    .on_request = on_request,
    .on_body = ignore_body,
    .on_body_end = ignore,
    .on_gone = ignore,
    .on_bad = on_bad,
};

static void *
run_loop(void *arg)
{
	loop_run(arg);
	server_cpu_us = raw_thread_cpu_us();
	return NULL;
}

/* Answers each request on one connection. */
static void *
run_plain(void *arg)
{
	char request[sizeof(REQUEST) - 1];
	int fd = accept(*(int *)arg, NULL, NULL);

	while (raw_read_all(fd, request, sizeof(request)) != 0)
		raw_write_all(fd, ANSWER, strlen(ANSWER));
	(void)close(fd);
	server_cpu_us = raw_thread_cpu_us();
	return NULL;
}

static GArray *
call(struct net_addr at, uint32_t ahead)
{
	GArray *us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	char answer[AHEAD * (sizeof(ANSWER) - 1)];
	GString *text = g_string_new(NULL);
	int fd = raw_connect(at);
	uint64_t began_us;
	uint32_t i;

	for (i = 0; i < ahead; i++)
		g_string_append(text, REQUEST);
	for (i = 0; i < (WARM_UP + REQUESTS) / ahead; i++) {
		began_us = clock_now_us();
		raw_write_all(fd, text->str, text->len);
		(void)raw_read_all(fd, answer, ahead * strlen(ANSWER));
		began_us = clock_now_us() - began_us;
		if (i >= WARM_UP / ahead)
			g_array_append_val(us, began_us);
	}
	(void)close(fd);
	g_string_free(text, TRUE);
	return us;
}

static void
print(const char *name, GArray *us, uint32_t ahead)
{
	(void)printf("%-16s p50 %5.1f p99 %6.1f us per request, %5.1f us of "
		     "the server's CPU time\n",
	    name, (double)raw_quantile(us, 0.5) / ahead,
	    (double)raw_quantile(us, 0.99) / ahead,
	    (double)server_cpu_us / (WARM_UP + REQUESTS));
	g_array_free(us, TRUE);
}

static void
measure_plain(void)
{
	struct net_addr at;
	pthread_t thread;
	int fd = raw_listen(&at);
	GArray *us;

	if (pthread_create(&thread, NULL, run_plain, &fd) != 0)
		g_error("The benchmark can't start a thread.");
	us = call(at, 1);
	(void)pthread_join(thread, NULL);
	(void)close(fd);
	print("plain", us, 1);
}

static void
measure_server(const char *name, uint32_t ahead)
{
	struct net_addr at = {INADDR_LOOPBACK, 0};
	struct loop *loop = loop_new();
	struct http_server *server;
	pthread_t thread;
	GArray *us;

	if (http_server_new(loop, at, NULL, &handler, NULL, &server) !=
	    STATUS_OK)
		g_error("%s", status_message());
	at = http_server_addr(server);
	if (pthread_create(&thread, NULL, run_loop, loop) != 0)
		g_error("The benchmark can't start a thread.");
	us = call(at, ahead);
	loop_stop(loop);
	(void)pthread_join(thread, NULL);
	http_server_free(server);
	loop_free(loop);
	print(name, us, ahead);
}

int
main(void)
{
	measure_plain();
	measure_server("server", 1);
	measure_server("server, 8 ahead", AHEAD);
	return 0;
}
