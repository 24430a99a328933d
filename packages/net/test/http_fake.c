/*
 * A small HTTP server for tests.
 */
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_fake.h"

#define FAKE_BACKLOG 64
#define FAKE_LOOPBACK 0x7f000001U
#define FAKE_READ_BYTES 65536

struct fake {
	struct loop *loop;
	struct loop_fd *watch;
	int fd;
	fake_script_fn *script;
	GPtrArray *conns;
	uint32_t most;
};

struct fake_conn {
	struct fake *fake;
	struct loop_fd *watch;
	int fd;
	int requests;
	bool closing;
	GString *in;
	GString *out;
};

static void
conn_destroy(gpointer data)
{
	struct fake_conn *c = data;

	loop_fd_remove(c->watch);
	(void)close(c->fd);
	g_string_free(c->in, TRUE);
	g_string_free(c->out, TRUE);
	g_free(c);
}

static void
conn_free(struct fake_conn *c)
{
	(void)g_ptr_array_remove_fast(c->fake->conns, c);
}

/* Returns false when the connection was closed. */
static bool
conn_flush(struct fake_conn *c)
{
	ssize_t n = 0;

	while (c->out->len > 0 && n >= 0) {
		n = send(c->fd, c->out->str, c->out->len, MSG_NOSIGNAL);
		if (n > 0)
			g_string_erase(c->out, 0, n);
	}
	if ((n < 0 && errno != EAGAIN) || (c->out->len == 0 && c->closing)) {
		conn_free(c);
		return false;
	}
	loop_fd_set(
	    c->watch, c->out->len > 0 ? LOOP_READ | LOOP_WRITE : LOOP_READ);
	return true;
}

/* Decodes the chunks in @raw; returns the bytes used, 0 when incomplete. */
static size_t
cut_chunks(const char *raw, GString *body)
{
	const char *end, *p = raw;
	size_t len;

	for (;;) {
		end = strstr(p, "\r\n");
		if (end == NULL)
			return 0;
		len = strtoul(p, NULL, 16);
		p = end + 2;
		if (strlen(p) < len + 2)
			return 0;
		g_string_append_len(body, p, (gssize)len);
		p += len + 2;
		if (len == 0)
			return (size_t)(p - raw);
	}
}

static size_t
cut_body(const char *head, const char *raw, size_t have, GString *body)
{
	const char *field = strcasestr(head, "\ncontent-length:");
	size_t len = 0;

	if (strcasestr(head, "\ntransfer-encoding: chunked") != NULL)
		return cut_chunks(raw, body);
	if (field != NULL)
		len = strtoul(strchr(field, ':') + 1, NULL, 10);
	if (have < len)
		return SIZE_MAX;
	g_string_append_len(body, raw, (gssize)len);
	return len;
}

/* Serves the first request in the buffer; returns false if none is complete. */
static bool
conn_serve_one(struct fake_conn *c)
{
	char *end = strstr(c->in->str, "\r\n\r\n");
	struct fake_request r = {0};
	GString *body, *head;
	char **words;
	size_t used;

	if (end == NULL || c->closing)
		return false;
	head = g_string_new_len(c->in->str, end + 2 - c->in->str);
	body = g_string_new(NULL);
	used = cut_body(head->str, end + 4,
	    c->in->len - (size_t)(end + 4 - c->in->str), body);
	if (used != SIZE_MAX &&
	    (used != 0 || strcasestr(head->str, ": chunked") == NULL)) {
		g_string_erase(c->in, 0, end + 4 - c->in->str + (gssize)used);
		r.head = head->str;
		r.body = body->str;
		r.body_bytes = body->len;
		r.nth = ++c->requests;
		words = g_strsplit(head->str, " ", 3);
		r.path = words[0] != NULL ? words[1] : "";
		c->closing = c->fake->script(&r, c->out);
		g_strfreev(words);
	}
	g_string_free(head, TRUE);
	g_string_free(body, TRUE);
	return r.nth != 0;
}

static void
conn_on_ready(uint32_t ready, void *arg)
{
	char buf[FAKE_READ_BYTES];
	struct fake_conn *c = arg;
	ssize_t n;

	if (ready & LOOP_READ) {
		n = recv(c->fd, buf, sizeof(buf), MSG_DONTWAIT);
		if (n == 0 || (n < 0 && errno != EAGAIN)) {
			conn_free(c);
			return;
		}
		g_string_append_len(c->in, buf, n > 0 ? n : 0);
		while (conn_serve_one(c))
			continue;
	}
	(void)conn_flush(c);
}

static void
fake_on_ready(uint32_t ready, void *arg)
{
	struct fake *f = arg;
	struct fake_conn *c;
	int fd = accept4(f->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	(void)ready;
	if (fd < 0)
		return;
	c = g_new0(struct fake_conn, 1);
	c->fake = f;
	c->fd = fd;
	c->in = g_string_new(NULL);
	c->out = g_string_new(NULL);
	c->watch = loop_fd_add(f->loop, fd, LOOP_READ, conn_on_ready, c);
	g_ptr_array_add(f->conns, c);
	f->most = MAX(f->most, f->conns->len);
}

struct net_addr
fake_addr(const struct fake *f)
{
	struct net_addr a = {FAKE_LOOPBACK, 0};
	struct sockaddr_in sin = {0};
	socklen_t len = sizeof(sin);

	(void)getsockname(f->fd, (struct sockaddr *)&sin, &len);
	a.port = ntohs(sin.sin_port);
	return a;
}

uint32_t
fake_open(const struct fake *f)
{
	return f->conns->len;
}

uint32_t
fake_most_open(const struct fake *f)
{
	return f->most;
}

struct fake *
fake_new(struct loop *loop, fake_script_fn *script)
{
	struct fake *f = g_new0(struct fake, 1);
	struct sockaddr_in sin = {0};

	f->loop = loop;
	f->script = script;
	f->conns = g_ptr_array_new_with_free_func(conn_destroy);
	f->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(FAKE_LOOPBACK);
	if (bind(f->fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 ||
	    listen(f->fd, FAKE_BACKLOG) < 0)
		g_error("The fake HTTP server can't listen.");
	f->watch = loop_fd_add(loop, f->fd, LOOP_READ, fake_on_ready, f);
	return f;
}

void
fake_free(struct fake *f)
{
	g_ptr_array_unref(f->conns);
	loop_fd_remove(f->watch);
	(void)close(f->fd);
	g_free(f);
}
