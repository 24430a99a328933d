/*
 * Upstreams that call one another.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "nested.h"

#define BACKLOG 256
#define BUFFER_BYTES 8192
#define REQUEST_BYTES 256
#define RESPONSE_OK "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
#define RESPONSE_ERROR "HTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\nno"
#define STATUS_OFFSET 9

struct nested {
	struct nested_config config;
	struct net_addr *nodes;
	struct net_addr at;
	int fd;
};

/* Connection accepted from a node, or from the previous upstream. */
struct nested_conn {
	struct nested *nested;
	int fd;
	int next; /* connection for calls of the next service, or -1 */
	int next_direct;
};

static int
connect_to(struct net_addr to)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	sin.sin_addr.s_addr = htonl(to.ip);
	sin.sin_port = htons(to.port);
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	(void)close(fd);
	return -1;
}

/* Reads until the end of a head; returns the head's length, or 0 on failure. */
static size_t
read_head(int fd, char *data, size_t *len)
{
	char *end;
	ssize_t n;

	*len = 0;
	while (*len < BUFFER_BYTES - 1) {
		n = recv(fd, data + *len, BUFFER_BYTES - 1 - *len, 0);
		if (n <= 0)
			return 0;
		*len += (size_t)n;
		data[*len] = '\0';
		end = strstr(data, "\r\n\r\n");
		if (end != NULL)
			return (size_t)(end - data) + strlen("\r\n\r\n");
	}
	return 0;
}

/* Reads a response; returns its status and whether the connection stays
 * open. */
static int
read_response(int fd, int *keep_alive)
{
	char data[BUFFER_BYTES];
	size_t head, len, body;
	const char *at;
	ssize_t n;

	head = read_head(fd, data, &len);
	if (head <= STATUS_OFFSET)
		return 0;
	at = strcasestr(data, "\r\ncontent-length:");
	body = at == NULL
	    ? 0
	    : strtoul(at + strlen("\r\ncontent-length:"), NULL, 10);
	*keep_alive = strcasestr(data, "\r\nconnection: close") == NULL;
	while (len < head + body) {
		n = recv(fd, data, MIN(sizeof(data), head + body - len), 0);
		if (n <= 0)
			return 0;
		len += (size_t)n;
	}
	return (int)strtol(data + STATUS_OFFSET, NULL, 10);
}

static struct net_addr
address_of(const struct nested *n, uint32_t service, int direct)
{
	return direct ? n->at : n->nodes[service];
}

/* Calls a service over a connection that is kept. */
static int
call_service(
    int *fd, struct net_addr to, uint32_t service, uint32_t depth, int direct)
{
	char request[REQUEST_BYTES];
	int keep_alive = 0, status = 0, len;

	if (*fd < 0)
		*fd = connect_to(to);
	if (*fd < 0)
		return 0;
	len = g_snprintf(request, sizeof(request),
	    "GET /service-%04u/part-0?depth=%u&direct=%d HTTP/1.1\r\n"
	    "Host: bench\r\n\r\n",
	    service, depth, direct);
	if (send(*fd, request, (size_t)len, MSG_NOSIGNAL) == len)
		status = read_response(*fd, &keep_alive);
	if (!keep_alive) {
		(void)close(*fd);
		*fd = -1;
	}
	return status == 200;
}

/* Returns the number that follows @name in a request, or 0. */
static uint32_t
parse_number(const char *request, const char *name)
{
	const char *at = strstr(request, name);

	return at == NULL ? 0 : (uint32_t)strtoul(at + strlen(name), NULL, 10);
}

/* Calls the next service unless the depth is reached. */
static int
handle_request(struct nested_conn *s, const char *request)
{
	uint32_t service = parse_number(request, "/service-");
	uint32_t depth = parse_number(request, "depth=");
	int direct = parse_number(request, "direct=") != 0;

	if (service + 1 >= depth || service + 1 >= s->nested->config.services)
		return 1;
	if (s->next >= 0 && s->next_direct != direct) {
		(void)close(s->next);
		s->next = -1;
	}
	s->next_direct = direct;
	return call_service(&s->next, address_of(s->nested, service, direct),
	    service + 1, depth, direct);
}

static void *
conn_main(void *arg)
{
	static const char ok[] = RESPONSE_OK, bad[] = RESPONSE_ERROR;
	char request[BUFFER_BYTES];
	struct nested_conn *s = arg;
	const char *response;
	size_t len;

	while (read_head(s->fd, request, &len) > 0) {
		response = handle_request(s, request) ? ok : bad;
		if (send(s->fd, response, strlen(response), MSG_NOSIGNAL) < 0)
			break;
	}
	(void)close(s->fd);
	if (s->next >= 0)
		(void)close(s->next);
	g_free(s);
	return NULL;
}

static void *
accept_main(void *arg)
{
	struct nested *n = arg;
	struct nested_conn *s;
	pthread_t thread;
	int fd, on = 1;

	while ((fd = accept4(n->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		s = g_new0(struct nested_conn, 1);
		s->nested = n;
		s->fd = fd;
		s->next = -1;
		if (pthread_create(&thread, NULL, conn_main, s) != 0)
			abort();
		(void)pthread_detach(thread);
	}
	return NULL;
}

struct nested *
nested_start(const struct nested_config *config)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	struct nested *n = g_new0(struct nested, 1);
	socklen_t len = sizeof(sin);
	pthread_t thread;

	n->config = *config;
	n->nodes = g_memdup2(
	    config->nodes, config->services * sizeof(config->nodes[0]));
	sin.sin_addr.s_addr = htonl(config->ip);
	n->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(n->fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(n->fd, BACKLOG) != 0 ||
	    getsockname(n->fd, (struct sockaddr *)&sin, &len) != 0)
		g_error("The upstreams can't listen.");
	n->at = (struct net_addr){config->ip, ntohs(sin.sin_port)};
	if (pthread_create(&thread, NULL, accept_main, n) != 0)
		abort();
	(void)pthread_detach(thread);
	return n;
}

uint16_t
nested_port(const struct nested *n)
{
	return n->at.port;
}

int
nested_call(struct nested *n, int *fd, uint32_t depth, int direct)
{
	return call_service(fd, address_of(n, 0, direct), 0, depth, direct);
}
