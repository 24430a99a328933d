/*
 * Upstream that holds requests or responds at once.
 *
 * Limits: requests must have no body, and a connection carries one request at a
 * time.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "holder.h"

#define BACKLOG 4096
#define READ_BYTES 4096
#define RESPONSE_BYTES 512

/* Connection; @pending if a request on it is held. */
struct holder_conn {
	struct holder *holder;
	struct loop_fd *watch;
	GString *input;
	int fd;
	int pending;
};

struct holder {
	struct loop *loop;
	struct loop_fd *watch;
	GHashTable *conns; /* struct holder_conn, a set */
	GString *response;
	uint16_t port;
	int fd;
	int hold;
	uint32_t n_held;
};

static void
holder_conn_free(gpointer p)
{
	struct holder_conn *c = p;

	loop_fd_remove(c->watch);
	(void)close(c->fd);
	c->holder->n_held -= c->pending != 0;
	g_string_free(c->input, TRUE);
	g_free(c);
}

static void
respond(struct holder_conn *c)
{
	const GString *a = c->holder->response;

	c->holder->n_held -= c->pending != 0;
	c->pending = 0;
	if (send(c->fd, a->str, a->len, MSG_NOSIGNAL) != (ssize_t)a->len)
		g_hash_table_remove(c->holder->conns, c);
}

static void
on_request(struct holder_conn *c)
{
	g_string_truncate(c->input, 0);
	if (!c->holder->hold) {
		respond(c);
		return;
	}
	c->pending = 1;
	c->holder->n_held++;
}

static void
on_readable(uint32_t ready, void *arg)
{
	char data[READ_BYTES];
	struct holder_conn *c = arg;
	ssize_t n;

	(void)ready;
	n = recv(c->fd, data, sizeof(data), MSG_DONTWAIT);
	if (n <= 0) {
		g_hash_table_remove(c->holder->conns, c);
		return;
	}
	g_string_append_len(c->input, data, n);
	if (g_str_has_suffix(c->input->str, "\r\n\r\n"))
		on_request(c);
}

static void
on_acceptable(uint32_t ready, void *arg)
{
	struct holder *h = arg;
	struct holder_conn *c;
	int fd;

	(void)ready;
	fd = accept4(h->fd, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
	if (fd < 0)
		return;
	c = g_new0(struct holder_conn, 1);
	c->holder = h;
	c->fd = fd;
	c->input = g_string_new(NULL);
	c->watch = loop_fd_add(h->loop, fd, LOOP_READ, on_readable, c);
	g_hash_table_add(h->conns, c);
}

static void
listen_on(struct holder *h, uint32_t ip)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);

	sin.sin_addr.s_addr = htonl(ip);
	h->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (bind(h->fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(h->fd, BACKLOG) != 0 ||
	    getsockname(h->fd, (struct sockaddr *)&sin, &len) != 0)
		g_error("The upstream can't listen.");
	h->port = ntohs(sin.sin_port);
	h->watch = loop_fd_add(h->loop, h->fd, LOOP_READ, on_acceptable, h);
}

struct holder *
holder_new(struct loop *loop, uint32_t ip)
{
	struct holder *h = g_new0(struct holder, 1);
	uint32_t i;

	h->loop = loop;
	h->conns = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, holder_conn_free, NULL);
	h->response = g_string_new(NULL);
	g_string_printf(h->response,
	    "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", RESPONSE_BYTES);
	for (i = 0; i < RESPONSE_BYTES; i++)
		g_string_append_c(h->response, 'x');
	listen_on(h, ip);
	return h;
}

void
holder_free(struct holder *h)
{
	g_hash_table_destroy(h->conns);
	loop_fd_remove(h->watch);
	(void)close(h->fd);
	g_string_free(h->response, TRUE);
	g_free(h);
}

uint16_t
holder_port(const struct holder *h)
{
	return h->port;
}

void
holder_hold(struct holder *h, int hold)
{
	h->hold = hold;
}

void
holder_release(struct holder *h)
{
	GList *all = g_hash_table_get_keys(h->conns), *l;
	struct holder_conn *c;

	for (l = all; l != NULL; l = l->next) {
		c = l->data;
		if (c->pending)
			respond(c);
	}
	g_list_free(all);
}

uint32_t
holder_held(const struct holder *h)
{
	return h->n_held;
}
