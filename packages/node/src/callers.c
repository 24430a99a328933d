/*
 * The HTTP server for callers, its start, drain and stop.
 */
#include <string.h>
#include <sys/socket.h>

#include <glib.h>

#include "base/clock.h"
#include "proto/addr.h"

#define LOG_PART "callers"
#include "base/log.h"

#include "call_metrics.h"
#include "callers_priv.h"

/* A caller may not pause longer than this within a request. */
#define REQUEST_TIMEOUT_MS "10000"

/* Accepted connections that may wait for a worker. */
#define CONNECTION_QUEUE "256"
#define LISTEN_BACKLOG "1024"

#define OPTION_BYTES 32

/* Time in which connections that are being made get through. */
#define SETTLE_MS 50
#define POLL_US 2000
#define MESSAGE_BYTES 160

static int
on_connection(const struct mg_connection *conn, void **data)
{
	struct callers *c = mg_get_user_data(mg_get_context(conn));
	struct caller_conn *cc = g_new0(struct caller_conn, 1);

	cc->callers = c;
	cc->fd = -1;
	atomic_fetch_add(&c->connections, 1);
	metric_add(&metric_callers_connections, 1);
	*data = cc;
	return 0;
}

/* The last callback in which CivetWeb still holds the data. */
static void
on_connection_close(const struct mg_connection *conn)
{
	struct caller_conn *cc = mg_get_user_connection_data(conn);

	if (cc == NULL)
		return;
	atomic_fetch_sub(&cc->callers->connections, 1);
	metric_add(&metric_callers_connections, -1);
	g_free(cc);
}

static int
on_request(struct mg_connection *conn)
{
	struct callers *c = mg_get_user_data(mg_get_context(conn));

	atomic_fetch_add(&c->in_flight, 1);
	callers_call(c, conn);
	atomic_fetch_sub(&c->in_flight, 1);
	return 1;
}

static int
on_message(const struct mg_connection *conn, const char *message)
{
	(void)conn;
	log_debug("%s", message);
	return 1;
}

/* CivetWeb refuses what it can't read: too long, or not HTTP. */
static int
on_error(struct mg_connection *conn, int status, const char *message)
{
	struct callers *c = mg_get_user_data(mg_get_context(conn));
	char text[MESSAGE_BYTES];

	log_debug("request refused: %s", message);
	(void)g_snprintf(text, sizeof(text),
	    "the request can't be read; its first line and headers must be "
	    "well formed and take at most %u bytes.",
	    c->settings->header_max_bytes);
	callers_answer_refuse(conn, (uint32_t)status, "invalid", text);
	return 0;
}

struct callers *
callers_new(const struct settings *s, struct entry *e)
{
	struct callers *c = g_new0(struct callers, 1);

	call_metrics_register();
	c->settings = s;
	c->entry = e;
	c->listener = -1;
	return c;
}

static struct mg_context *
start(struct callers *c)
{
	char ip[ADDR_TEXT_BYTES], ports[ADDR_TEXT_BYTES + OPTION_BYTES];
	char threads[OPTION_BYTES], keep[OPTION_BYTES], head[OPTION_BYTES];
	const struct settings *s = c->settings;
	const char *keep_alive = s->keep_alive_ms > 0 ? "yes" : "no";
	const char *options[] = {"listening_ports", ports, "num_threads",
	    threads, "enable_keep_alive", keep_alive, "keep_alive_timeout_ms",
	    keep, "request_timeout_ms", REQUEST_TIMEOUT_MS, "max_request_size",
	    head, "connection_queue", CONNECTION_QUEUE, "listen_backlog",
	    LISTEN_BACKLOG, "tcp_nodelay", "1", "decode_url", "no", NULL};
	struct mg_callbacks callbacks;

	(void)addr_format_ip(s->address, ip);
	(void)g_snprintf(ports, sizeof(ports), "%s:%u", ip, s->caller_port);
	(void)g_snprintf(threads, sizeof(threads), "%u", s->caller_threads);
	(void)g_snprintf(keep, sizeof(keep), "%u", s->keep_alive_ms);
	(void)g_snprintf(head, sizeof(head), "%u", s->header_max_bytes);
	memset(&callbacks, 0, sizeof(callbacks));
	callbacks.begin_request = on_request;
	callbacks.init_connection = on_connection;
	callbacks.connection_close = on_connection_close;
	callbacks.log_message = on_message;
	callbacks.http_error = on_error;
	return mg_start(&callbacks, c, options);
}

enum status
callers_start(struct callers *c)
{
	struct mg_server_port port;

	c->watch = callers_watch_new();
	c->ctx = start(c);
	if (c->ctx == NULL)
		return status_set(STATUS_IO,
		    "can't listen on caller_port %u; choose a free port.",
		    c->settings->caller_port);
	c->port = c->settings->caller_port;
	if (mg_get_server_ports(c->ctx, 1, &port) == 1)
		c->port = (uint16_t)port.port;
	c->listener = callers_socket_listener(c->port);
	return STATUS_OK;
}

uint16_t
callers_port(const struct callers *c)
{
	return c->port;
}

void
callers_drain(struct callers *c, uint64_t deadline_ms)
{
	c->deadline_ms = deadline_ms;
	c->draining = true;
	entry_drain(c->entry, deadline_ms);
	log_info("draining, %u calls in flight", callers_in_flight(c));
}

uint32_t
callers_in_flight(const struct callers *c)
{
	return c->in_flight;
}

/*
 * After a drain the open connections end by themselves: each answer closes
 * its connection, and idle ones are closed after the keep-alive time.  What a
 * caller has sent by then is answered.
 */
static void
let_connections_end(struct callers *c)
{
	uint64_t least_ms = clock_now_ms() + SETTLE_MS;
	uint64_t now_ms;

	callers_socket_no_more(c->listener);
	do {
		g_usleep(POLL_US);
		now_ms = clock_now_ms();
	} while (now_ms < least_ms ||
	    (now_ms < c->deadline_ms &&
		(c->connections > 0 || callers_socket_waiting(c->listener))));
}

void
callers_stop(struct callers *c)
{
	if (c->ctx == NULL)
		return;
	if (c->draining)
		let_connections_end(c);
	/* Wakes the thread that accepts, which looks every 2 s only. */
	if (c->listener >= 0)
		(void)shutdown(c->listener, SHUT_RD);
	mg_stop(c->ctx);
	c->ctx = NULL;
}

void
callers_free(struct callers *c)
{
	if (c == NULL)
		return;
	callers_stop(c);
	callers_watch_free(c->watch);
	g_free(c);
}
