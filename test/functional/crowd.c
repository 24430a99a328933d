/*
 * A crowd of clients that send a part of a message and keep their connections
 * open.
 */
#include <errno.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>

#include "base/clock.h"
#include "crowd.h"
#include "harness.h"

/* The crowd is in place when no client could send for so long. */
#define SETTLED_MS 1500
#define ROUND_US 2000
#define SEND_BYTES 65536
#define CLOSED (-1)

/**
 * struct client - a client of a crowd
 * @fd: its connection, CLOSED once the other side has closed it
 * @sent: bytes sent
 */
struct client {
	int fd;
	size_t sent;
};

/**
 * struct crowd - clients
 * @plan: what they send
 * @bytes: the same as bytes
 * @clients: struct client
 */
struct crowd {
	const struct crowd_plan *plan;
	GByteArray *bytes;
	GArray *clients;
};

struct crowd *
crowd_new(const struct crowd_plan *plan)
{
	struct crowd *c = g_new0(struct crowd, 1);
	uint32_t i;

	c->plan = plan;
	c->bytes = g_byte_array_new();
	c->clients = g_array_new(FALSE, FALSE, sizeof(struct client));
	g_byte_array_append(
	    c->bytes, (const guint8 *)plan->head, (guint)plan->head_bytes);
	for (i = 0; i < plan->units; i++)
		g_byte_array_append(c->bytes, (const guint8 *)plan->unit,
		    (guint)plan->unit_bytes);
	return c;
}

void
crowd_join(struct crowd *c, const char *address, uint16_t port)
{
	struct client client = {.sent = 0};
	struct sockaddr_in at;
	uint32_t i;

	harness_sockaddr(&at, address, port);
	for (i = 0; i < c->plan->connections; i++) {
		client.fd = socket(
		    AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		ck_assert_int_ge(client.fd, 0);
		if (connect(client.fd, (struct sockaddr *)&at, sizeof(at)) != 0)
			ck_assert_int_eq(errno, EINPROGRESS);
		g_array_append_val(c->clients, client);
	}
}

static void
client_close(struct client *client)
{
	if (client->fd != CLOSED)
		(void)close(client->fd);
	client->fd = CLOSED;
}

/* Return: whether the client could send. */
static bool
client_send(const struct crowd *c, struct client *client)
{
	size_t left = c->bytes->len - client->sent;
	ssize_t n;

	if (client->fd == CLOSED || left == 0)
		return false;
	n = send(client->fd, c->bytes->data + client->sent,
	    MIN(left, SEND_BYTES), MSG_NOSIGNAL);
	if (n > 0) {
		client->sent += (size_t)n;
		return true;
	}
	if (errno != EAGAIN && errno != ENOTCONN)
		client_close(client);
	return false;
}

static struct client *
client_at(const struct crowd *c, guint i)
{
	return &g_array_index(c->clients, struct client, i);
}

void
crowd_send(struct crowd *c)
{
	uint64_t settled_ms = clock_now_ms() + SETTLED_MS;
	bool sent;
	guint i;

	while (clock_now_ms() < settled_ms) {
		sent = false;
		for (i = 0; i < c->clients->len; i++)
			sent |= client_send(c, client_at(c, i));
		if (sent)
			settled_ms = clock_now_ms() + SETTLED_MS;
		else
			g_usleep(ROUND_US);
	}
}

/* An answer may precede the end of the connection. */
static bool
is_open(int fd)
{
	char buf[SEND_BYTES];
	ssize_t n;

	do
		n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
	while (n > 0);
	return n < 0 && errno == EAGAIN;
}

uint32_t
crowd_open(const struct crowd *c)
{
	struct client *client;
	uint32_t open = 0;
	guint i;

	for (i = 0; i < c->clients->len; i++) {
		client = client_at(c, i);
		open += client->fd != CLOSED && is_open(client->fd);
	}
	return open;
}

void
crowd_leave(struct crowd *c)
{
	guint i;

	for (i = 0; i < c->clients->len; i++)
		client_close(client_at(c, i));
}

void
crowd_free(struct crowd *c)
{
	if (c == NULL)
		return;
	crowd_leave(c);
	g_array_free(c->clients, TRUE);
	g_byte_array_free(c->bytes, TRUE);
	g_free(c);
}
