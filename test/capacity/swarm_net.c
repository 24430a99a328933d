/*
 * Sockets of the swarm: one datagram socket and one listener for all hosts.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/conn.h"
#include "proto/frame.h"
#include "swarm_priv.h"

#define DATAGRAM_BYTES 2048
#define RECEIVE_BUFFER_BYTES (4 << 20)
/* IPv4 and UDP headers of a datagram. */
#define HEADER_BYTES 28
#define CONNECT_TIMEOUT_MS 2000

/* Datagram to be sent when the timer expires. */
struct delayed_datagram {
	struct swarm *swarm;
	struct loop_timer timer;
	uint32_t host;
	enum msg_type type;
	GByteArray *body;
};

/* Ancillary data with the local address of a datagram. */
union packet_info {
	struct cmsghdr header;
	uint8_t bytes[CMSG_SPACE(sizeof(struct in_pktinfo))];
};

static void
send_from(struct swarm *s, struct net_addr from, struct net_addr to,
    uint8_t type, const GByteArray *body)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	struct iovec iov[] = {{&type, sizeof(type)}, {body->data, body->len}};
	union packet_info info;
	struct msghdr msg = {0};
	struct cmsghdr *c;
	struct in_pktinfo *pi;

	memset(&info, 0, sizeof(info));
	sin.sin_addr.s_addr = htonl(to.ip);
	sin.sin_port = htons(to.port);
	msg.msg_name = &sin;
	msg.msg_namelen = sizeof(sin);
	msg.msg_iov = iov;
	msg.msg_iovlen = G_N_ELEMENTS(iov);
	msg.msg_control = &info;
	msg.msg_controllen = sizeof(info);
	c = CMSG_FIRSTHDR(&msg);
	c->cmsg_level = IPPROTO_IP;
	c->cmsg_type = IP_PKTINFO;
	c->cmsg_len = CMSG_LEN(sizeof(*pi));
	pi = (void *)CMSG_DATA(c);
	pi->ipi_spec_dst.s_addr = htonl(from.ip);
	if (sendmsg(s->udp, &msg, MSG_DONTWAIT | MSG_NOSIGNAL) < 0)
		return;
	s->traffic.to_datagrams++;
	s->traffic.to_bytes += body->len + 1 + HEADER_BYTES;
}

void
swarm_send(
    struct swarm *s, uint32_t i, enum msg_type type, const GByteArray *body)
{
	if (s->params.subject.port != 0)
		send_from(s, swarm_host(s, i), s->params.subject, (uint8_t)type,
		    body);
}

static void
on_send_timer(void *arg)
{
	struct delayed_datagram *l = arg;

	swarm_send(l->swarm, l->host, l->type, l->body);
	loop_timer_stop(&l->timer);
	g_byte_array_unref(l->body);
	g_free(l);
}

void
swarm_send_later(struct swarm *s, uint32_t i, uint64_t ms, enum msg_type type,
    GByteArray *body)
{
	struct delayed_datagram *l = g_new0(struct delayed_datagram, 1);

	l->swarm = s;
	l->host = i;
	l->type = type;
	l->body = body;
	loop_timer_init(&l->timer, s->loop, on_send_timer, l);
	loop_timer_set(&l->timer, loop_now_ms(s->loop) + ms);
}

/* Returns the index of the host with an address; 0 for unknown ones. */
static uint32_t
host_index(const struct swarm *s, uint32_t ip)
{
	return ip - SWARM_IP < s->params.members ? ip - SWARM_IP : 0;
}

static uint32_t
destination_host(const struct swarm *s, struct msghdr *msg)
{
	struct in_pktinfo pi;
	struct cmsghdr *c;

	for (c = CMSG_FIRSTHDR(msg); c != NULL; c = CMSG_NXTHDR(msg, c)) {
		if (c->cmsg_level != IPPROTO_IP || c->cmsg_type != IP_PKTINFO)
			continue;
		memcpy(&pi, CMSG_DATA(c), sizeof(pi));
		return host_index(s, ntohl(pi.ipi_addr.s_addr));
	}
	return 0;
}

static void
on_readable(uint32_t ready, void *arg)
{
	uint8_t data[DATAGRAM_BYTES];
	struct iovec iov = {data, sizeof(data)};
	struct swarm *s = arg;
	union packet_info info;
	struct sockaddr_in sin;
	struct net_addr from;
	struct msghdr msg;
	ssize_t n;

	(void)ready;
	for (;;) {
		memset(&msg, 0, sizeof(msg));
		msg.msg_name = &sin;
		msg.msg_namelen = sizeof(sin);
		msg.msg_iov = &iov;
		msg.msg_iovlen = 1;
		msg.msg_control = &info;
		msg.msg_controllen = sizeof(info);
		n = recvmsg(s->udp, &msg, MSG_DONTWAIT);
		if (n < 1)
			return;
		s->traffic.from_datagrams++;
		s->traffic.from_bytes += (uint64_t)n + HEADER_BYTES;
		from.ip = ntohl(sin.sin_addr.s_addr);
		from.port = ntohs(sin.sin_port);
		swarm_receive(s, destination_host(s, &msg), from, 0, data[0],
		    data + 1, (size_t)n - 1);
	}
}

static void
on_frame(
    struct conn *c, uint8_t type, const uint8_t *body, size_t len, void *arg)
{
	struct swarm *s = arg;

	s->traffic.from_frame_bytes += len + FRAME_HEADER_BYTES;
	swarm_receive(s, 0, conn_peer(c), conn_id(c), type, body, len);
}

static void
on_closed(struct conn *c, enum status st, void *arg)
{
	struct swarm *s = arg;
	uint64_t id = conn_id(c);

	(void)st;
	(void)g_hash_table_remove(s->conns, &id);
}

static const struct conn_handler handler = {
    .on_frame = on_frame,
    .on_closed = on_closed,
};

static void
on_accept(struct conn *c, void *arg)
{
	struct swarm *s = arg;
	uint64_t id = conn_id(c);

	g_hash_table_insert(s->conns, g_memdup2(&id, sizeof(id)), c);
}

/* Sends a frame over an existing connection, or over a new one to the
 * process. */
static void
send_frame(struct swarm *s, const struct outbox_item *item)
{
	struct conn *c = g_hash_table_lookup(s->conns, &item->conn);

	if (c == NULL && item->conn == 0 &&
	    addr_equal(&item->to, &s->params.subject)) {
		c = conn_dial(s->loop, item->to,
		    loop_now_ms(s->loop) + CONNECT_TIMEOUT_MS, NULL, &handler,
		    s);
		on_accept(c, s);
	}
	if (c == NULL)
		return;
	s->traffic.to_frame_bytes += item->body->len + FRAME_HEADER_BYTES;
	(void)conn_send_frame(
	    c, (uint8_t)item->type, item->body->data, item->body->len);
}

static void
flush_outbox(struct swarm *s, uint32_t i, struct outbox *o)
{
	struct outbox_item *item;

	while ((item = outbox_pop(o)) != NULL) {
		if (item->kind == OUTBOX_FRAME)
			send_frame(s, item);
		else if (item->kind == OUTBOX_DATAGRAM &&
		    addr_equal(&item->to, &s->params.subject))
			send_from(s, swarm_host(s, i), item->to,
			    (uint8_t)item->type, item->body);
		outbox_item_free(item);
	}
}

void
swarm_flush(struct swarm *s, uint32_t i)
{
	flush_outbox(s, i, s->out);
	flush_outbox(s, i, spread_outbox(s->spread));
}

static void
open_udp(struct swarm *s)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	int size = RECEIVE_BUFFER_BYTES, on = 1;

	sin.sin_port = htons(s->port);
	s->udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	(void)setsockopt(s->udp, IPPROTO_IP, IP_PKTINFO, &on, sizeof(on));
	(void)setsockopt(s->udp, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (bind(s->udp, (struct sockaddr *)&sin, sizeof(sin)) != 0)
		g_error("The port %u can't be bound.", s->port);
	s->watch = loop_fd_add(s->loop, s->udp, LOOP_READ, on_readable, s);
}

void
swarm_open_sockets(struct swarm *s)
{
	struct listener_options options = {
	    .handler = &handler, .on_accept = on_accept, .arg = s};
	struct net_addr at = {0, 0};

	s->conns =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	if (listener_new(s->loop, at, &options, &s->listener) != STATUS_OK)
		g_error("%s", status_message());
	s->port = listener_addr(s->listener).port;
	open_udp(s);
}

void
swarm_close_sockets(struct swarm *s)
{
	GHashTableIter it;
	gpointer c;

	loop_fd_remove(s->watch);
	(void)close(s->udp);
	listener_free(s->listener);
	g_hash_table_iter_init(&it, s->conns);
	while (g_hash_table_iter_next(&it, NULL, &c))
		conn_close(c);
	g_hash_table_destroy(s->conns);
}
