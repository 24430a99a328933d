/*
 * Fake node, based on CivetWeb.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <civetweb.h>

#include "fake_node.h"

#define FAKE_HOST "127.0.0.1"
#define READ_BYTES 4096
#define ERROR_BYTES 256
#define SCRIPT_MAX 16
#define US_PER_MS 1000

struct fake_node {
	struct mg_context *web;
	const struct fake_response *script;
	int consumed[SCRIPT_MAX];
	int port;
	char address[32];
	/* Not GMutex: ThreadSanitizer does not instrument GLib. */
	pthread_mutex_t lock;
	GString *requests;
};

/* The first unused response for a request; if none is left, the last match. */
static const struct fake_response *
next_response(struct fake_node *f, const char *request)
{
	const struct fake_response *a, *last = NULL;
	int i;

	for (i = 0; f->script != NULL && f->script[i].request != NULL; i++) {
		a = &f->script[i];
		if (!g_str_has_prefix(request, a->request))
			continue;
		last = a;
		if (!f->consumed[i]) {
			f->consumed[i] = 1;
			break;
		}
	}
	return last;
}

static char *
request_line(struct mg_connection *conn)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	GString *line = g_string_new(NULL);

	g_string_printf(line, "%s %s", info->request_method, info->local_uri);
	if (info->query_string != NULL)
		g_string_append_printf(line, "?%s", info->query_string);
	return g_string_free(line, FALSE);
}

static void
read_body(struct mg_connection *conn, GString *body)
{
	char buf[READ_BYTES];
	int n;

	while ((n = mg_read(conn, buf, sizeof(buf))) > 0)
		g_string_append_len(body, buf, n);
}

static int
on_request(struct mg_connection *conn, void *arg)
{
	GString *body = g_string_new(NULL);
	struct fake_node *f = arg;
	const struct fake_response *a;
	char *line;

	line = request_line(conn);
	read_body(conn, body);
	(void)pthread_mutex_lock(&f->lock);
	a = next_response(f, line);
	g_string_append_printf(f->requests, "%s %s\n", line, body->str);
	(void)pthread_mutex_unlock(&f->lock);
	if (a != NULL && a->code < 0)
		g_usleep(FAKE_DELAY_MS * US_PER_MS);
	if (a == NULL)
		(void)mg_printf(conn,
		    "HTTP/1.1 500 Not in the script\r\n"
		    "Content-Length: 0\r\nConnection: close\r\n\r\n");
	else if (a->code != 0)
		(void)mg_printf(conn,
		    "HTTP/1.1 %d Scripted\r\nContent-Length: %zu\r\n"
		    "Connection: close\r\n\r\n%s",
		    abs(a->code), strlen(a->body), a->body);
	g_free(line);
	g_string_free(body, TRUE);
	/* For CivetWeb a value above 0 means that the request was handled. */
	return 200;
}

struct fake_node *
fake_node_new(void)
{
	static const char ports[] = FAKE_HOST ":0";
	/* With one thread, requests are handled in the order of arrival. */
	const char *const options[] = {"listening_ports", ports, "num_threads",
	    "1", "enable_keep_alive", "no", NULL};
	struct fake_node *f = g_new0(struct fake_node, 1);
	struct mg_server_port port;

	f->requests = g_string_new(NULL);
	(void)pthread_mutex_init(&f->lock, NULL);
	f->web = mg_start(NULL, f, (const char **)options);
	g_assert(f->web != NULL);
	mg_set_request_handler(f->web, "/", on_request, f);
	g_assert(mg_get_server_ports(f->web, 1, &port) == 1);
	f->port = port.port;
	(void)snprintf(
	    f->address, sizeof(f->address), FAKE_HOST ":%d", f->port);
	return f;
}

/* A request that its client has given up may still be on its way. */
static void
await_earlier_requests(const struct fake_node *f)
{
	char error[ERROR_BYTES];
	struct mg_connection *conn = mg_download(FAKE_HOST, f->port, 0, error,
	    sizeof(error), "GET / HTTP/1.0\r\n\r\n");

	g_assert(conn != NULL);
	mg_close_connection(conn);
}

void
fake_node_set_script(struct fake_node *f, const struct fake_response *script)
{
	await_earlier_requests(f);
	(void)pthread_mutex_lock(&f->lock);
	f->script = script;
	memset(f->consumed, 0, sizeof(f->consumed));
	(void)g_string_truncate(f->requests, 0);
	(void)pthread_mutex_unlock(&f->lock);
}

void
fake_node_free(struct fake_node *f)
{
	if (f == NULL)
		return;
	mg_stop(f->web);
	g_string_free(f->requests, TRUE);
	(void)pthread_mutex_destroy(&f->lock);
	g_free(f);
}

const char *
fake_node_address(const struct fake_node *f)
{
	return f->address;
}

char *
fake_node_requests(struct fake_node *f)
{
	char *text;

	(void)pthread_mutex_lock(&f->lock);
	text = g_strdup(f->requests->str);
	(void)pthread_mutex_unlock(&f->lock);
	return text;
}
