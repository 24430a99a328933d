/*
 * HTTP server of the stand-ins, based on CivetWeb.
 */
#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <civetweb.h>
#include <glib.h>
#include <jansson.h>

#include "standins/web.h"

#define WEB_HEAD_BYTES 1024
#define WEB_READ_BYTES 65536

#define WEB_DESCRIPTORS 4096

/* User data of a connection: number of requests so far, and its socket, -1
 * until it is looked up. */
struct web_conn {
	uint32_t requests;
	int fd;
};

struct web_server {
	void (*handle)(struct mg_connection *conn, void *arg);
	void *arg;
	struct mg_context *ctx;
};

static int
web_init_connection(const struct mg_connection *conn, void **data)
{
	struct web_conn *wc = g_new0(struct web_conn, 1);

	(void)conn;
	wc->fd = -1;
	*data = wc;
	return 0;
}

/* Not connection_closed: CivetWeb clears the user data before that callback. */
static void
web_connection_close(const struct mg_connection *conn)
{
	g_free(mg_get_user_connection_data(conn));
}

static int
web_begin_request(struct mg_connection *conn)
{
	struct web_conn *wc = mg_get_user_connection_data(conn);
	struct web_server *w = mg_get_user_data(mg_get_context(conn));

	if (wc != NULL)
		wc->requests++;
	w->handle(conn, w->arg);
	return 200;
}

static int
web_log_message(const struct mg_connection *conn, const char *message)
{
	(void)conn;
	(void)message;
	return 1;
}

enum status
web_start(const struct web_options *o, struct web_server **out)
{
	char keep_alive_ms[16], ports[64], threads[16];
	const char *options[] = {"listening_ports", ports, "num_threads",
	    threads, "enable_keep_alive", "yes", "keep_alive_timeout_ms",
	    keep_alive_ms, "tcp_nodelay", "1", NULL};
	struct mg_callbacks cb;
	struct web_server *w;

	(void)snprintf(ports, sizeof(ports), "%s:%u", o->address, o->port);
	(void)snprintf(threads, sizeof(threads), "%d", o->threads);
	(void)snprintf(
	    keep_alive_ms, sizeof(keep_alive_ms), "%u", o->keep_alive_ms);
	memset(&cb, 0, sizeof(cb));
	cb.begin_request = web_begin_request;
	cb.init_connection = web_init_connection;
	cb.connection_close = web_connection_close;
	cb.log_message = web_log_message;
	w = g_new0(struct web_server, 1);
	w->handle = o->handle;
	w->arg = o->arg;
	w->ctx = mg_start(&cb, w, options);
	if (w->ctx == NULL) {
		g_free(w);
		return status_set(STATUS_IO,
		    "can't listen on %s; choose a free port.", ports);
	}
	*out = w;
	return STATUS_OK;
}

void
web_stop(struct web_server *w)
{
	if (w == NULL)
		return;
	mg_stop(w->ctx);
	g_free(w);
}

uint32_t
web_request_number(const struct mg_connection *conn)
{
	const struct web_conn *wc = mg_get_user_connection_data(conn);

	return wc == NULL ? 1 : wc->requests;
}

void
web_send_continue(struct mg_connection *conn)
{
	const char *v = mg_get_header(conn, "Expect");

	if (v != NULL && g_ascii_strcasecmp(v, "100-continue") == 0)
		(void)mg_printf(conn, "HTTP/1.1 100 Continue\r\n\r\n");
}

int
web_read(struct mg_connection *conn, void *buf, size_t cap)
{
	return mg_read(conn, buf, cap);
}

enum status
web_read_body(struct mg_connection *conn, size_t max_bytes, GByteArray *out)
{
	uint8_t buf[WEB_READ_BYTES];
	int n;
	long long len = mg_get_request_info(conn)->content_length;

	g_byte_array_set_size(out, 0);
	if (len > 0 && (unsigned long long)len > max_bytes)
		return status_set(STATUS_TOO_LARGE,
		    "a body of %lld bytes is too large; send at most %zu.", len,
		    max_bytes);
	web_send_continue(conn);
	while ((n = web_read(conn, buf, sizeof(buf))) > 0) {
		if (out->len + (size_t)n > max_bytes)
			return status_set(STATUS_TOO_LARGE,
			    "the body is too large; send at most %zu bytes.",
			    max_bytes);
		g_byte_array_append(out, buf, (guint)n);
	}
	if (n < 0 || (len >= 0 && out->len != (unsigned long long)len))
		return status_set(STATUS_IO,
		    "the connection broke before the end of the body; send the "
		    "request again.");
	return STATUS_OK;
}

void
web_respond(struct mg_connection *conn, int code, const char *type,
    const char *headers, const void *data, size_t len)
{
	GString *s = g_string_sized_new(len + WEB_HEAD_BYTES);

	g_string_printf(s,
	    "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
	    "Content-Length: %zu\r\n%s\r\n",
	    code, mg_get_response_code_text(conn, code), type, len,
	    headers == NULL ? "" : headers);
	if (len > 0)
		g_string_append_len(s, data, (gssize)len);
	(void)mg_write(conn, s->str, s->len);
	g_string_free(s, TRUE);
}

void
web_respond_head(struct mg_connection *conn, const char *type,
    const char *headers, uint64_t len, const void *data, size_t data_len)
{
	GString *s = g_string_sized_new(data_len + WEB_HEAD_BYTES);

	g_string_printf(s,
	    "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n%s"
	    "Content-Length: %" G_GUINT64_FORMAT "\r\n\r\n",
	    type, headers, len);
	g_string_append_len(s, data, (gssize)data_len);
	(void)mg_write(conn, s->str, s->len);
	g_string_free(s, TRUE);
}

void
web_respond_json(
    struct mg_connection *conn, int code, const char *headers, json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);

	web_respond(conn, code, "application/json", headers,
	    text == NULL ? "{}" : text, text == NULL ? 2 : strlen(text));
	free(text);
	json_decref(j);
}

void
web_json_u32(const json_t *j, const char *name, uint32_t *out)
{
	const json_t *v = json_object_get(j, name);

	if (json_is_integer(v))
		*out = (uint32_t)json_integer_value(v);
}

static bool
is_peer(int fd, const struct mg_request_info *info)
{
	struct sockaddr_in sin = {0};
	socklen_t len = sizeof(sin);
	char ip[INET_ADDRSTRLEN];

	return getpeername(fd, (struct sockaddr *)&sin, &len) == 0 &&
	    sin.sin_family == AF_INET &&
	    ntohs(sin.sin_port) == info->remote_port &&
	    inet_ntop(AF_INET, &sin.sin_addr, ip, sizeof(ip)) != NULL &&
	    strcmp(ip, info->remote_addr) == 0;
}

static int
find_socket(struct mg_connection *conn)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	int fd;

	for (fd = 0; fd < WEB_DESCRIPTORS; fd++)
		if (is_peer(fd, info))
			return fd;
	return -1;
}

bool
web_peer_closed(struct mg_connection *conn)
{
	struct web_conn *wc = mg_get_user_connection_data(conn);
	struct pollfd p = {.events = POLLRDHUP};

	if (wc == NULL)
		return false;
	if (wc->fd < 0)
		wc->fd = find_socket(conn);
	/* A socket that was reset has no peer any more. */
	if (wc->fd < 0)
		return true;
	p.fd = wc->fd;
	return poll(&p, 1, 0) == 1;
}

void
web_drop_connection(struct mg_connection *conn)
{
	mg_disable_connection_keep_alive(conn);
}

uint64_t
web_query_u64(
    const struct mg_connection *conn, const char *name, uint64_t fallback)
{
	const char *q = mg_get_request_info(conn)->query_string;
	char text[32];
	char *end;
	uint64_t v;

	if (q == NULL ||
	    mg_get_var(q, strlen(q), name, text, sizeof(text)) <= 0)
		return fallback;
	v = g_ascii_strtoull(text, &end, 10);
	return *end == '\0' ? v : fallback;
}
