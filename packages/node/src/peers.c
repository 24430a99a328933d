/*
 * Control connections to peers.
 *
 * Outgoing connections are looked up by the peer's control address, all
 * connections by their id.  Idle connections are closed, so that a node keeps
 * only those in use.
 */
#define LOG_PART "peers"

#include <glib.h>

#include "base/log.h"
#include "base/metrics.h"
#include "net/listener.h"
#include "net/udp.h"
#include "node/peers.h"

#define PEERS_DIAL_TIMEOUT_MS 2000
#define PEERS_IDLE_TIMEOUT_MS 30000
#define PEERS_CONNS_MAX 1024

struct peers {
	struct loop *loop;
	struct udp *udp;
	struct listener *listener;
	GHashTable *by_id;	/* conn id -> struct conn */
	GHashTable *by_address; /* address key -> struct conn, outgoing */
	const struct peers_handler *handler;
	void *arg;
};

static struct metric sent_bytes = {"bramley_control_sent_bytes_total",
    "Bytes of control messages sent to peers, without IP headers.",
    METRIC_COUNTER, NULL, 0, {0}};
static struct metric received_bytes = {"bramley_control_received_bytes_total",
    "Bytes of control messages received from peers, without IP headers.",
    METRIC_COUNTER, NULL, 0, {0}};
static struct metric dropped_datagrams = {
    "bramley_control_dropped_datagrams_total",
    "Datagrams that were empty, too large or not taken by the system.",
    METRIC_COUNTER, NULL, 0, {0}};

static struct conn_options
peers_conn_options(void)
{
	struct conn_options options = {
	    .idle_ms = PEERS_IDLE_TIMEOUT_MS,
	    .sent_bytes = &sent_bytes,
	    .received_bytes = &received_bytes,
	    .use = DESCRIPTORS_PEERS,
	};

	return options;
}

/* Removes a connection from the tables; returns whether it was outgoing. */
static int
peers_remove(struct peers *p, struct conn *c)
{
	struct net_addr peer = conn_peer(c);
	uint64_t id = conn_id(c);
	uint64_t key = addr_key(&peer);

	g_hash_table_remove(p->by_id, &id);
	if (g_hash_table_lookup(p->by_address, &key) != c)
		return 0;
	g_hash_table_remove(p->by_address, &key);
	return 1;
}

static void
peers_add(struct peers *p, struct conn *c)
{
	uint64_t id = conn_id(c);

	g_hash_table_insert(p->by_id, g_memdup2(&id, sizeof(id)), c);
}

static void
peers_on_frame(
    struct conn *c, uint8_t type, const uint8_t *body, size_t len, void *arg)
{
	struct peers *p = arg;

	p->handler->on_frame(conn_peer(c), conn_id(c), type, body, len, p->arg);
}

static void
peers_on_part(struct conn *c, void *arg)
{
	struct peers *p = arg;

	p->handler->on_part(conn_peer(c), p->arg);
}

static void
peers_on_closed(struct conn *c, enum status st, void *arg)
{
	struct peers *p = arg;
	struct net_addr peer = conn_peer(c);
	char text[ADDR_TEXT_BYTES];

	log_debug("Connection with %s ended: %s, %s", addr_format(&peer, text),
	    status_name(st), status_message());
	if (peers_remove(p, c))
		p->handler->on_closed(peer, p->arg);
}

static const struct conn_handler peers_conn_handler = {
    .on_frame = peers_on_frame,
    .on_part = peers_on_part,
    .on_closed = peers_on_closed,
};

static void
peers_on_accept(struct conn *c, void *arg)
{
	peers_add(arg, c);
}

static void
peers_on_datagram(struct net_addr from, uint8_t type, const uint8_t *body,
    size_t len, void *arg)
{
	struct peers *p = arg;

	p->handler->on_datagram(from, type, body, len, p->arg);
}

static enum status
peers_bind(struct peers *p, struct net_addr at, uint64_t input_max_bytes)
{
	struct udp_options udp = {
	    .on_datagram = peers_on_datagram,
	    .arg = p,
	    .sent_bytes = &sent_bytes,
	    .received_bytes = &received_bytes,
	    .dropped = &dropped_datagrams,
	};
	struct listener_options tcp = {
	    .conn = peers_conn_options(),
	    .conns_max = PEERS_CONNS_MAX,
	    .input_max_bytes = input_max_bytes,
	    .handler = &peers_conn_handler,
	    .on_accept = peers_on_accept,
	    .arg = p,
	};
	enum status st;

	st = udp_new(p->loop, at, &udp, &p->udp);
	if (st != STATUS_OK)
		return st;
	return listener_new(p->loop, at, &tcp, &p->listener);
}

enum status
peers_new(struct loop *loop, struct net_addr at, uint64_t input_max_bytes,
    const struct peers_handler *handler, void *arg, struct peers **out)
{
	struct peers *p = g_new0(struct peers, 1);
	enum status st;

	metric_register(&sent_bytes);
	metric_register(&received_bytes);
	metric_register(&dropped_datagrams);
	p->loop = loop;
	p->handler = handler;
	p->arg = arg;
	p->by_id =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	p->by_address =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	st = peers_bind(p, at, input_max_bytes);
	if (st != STATUS_OK) {
		peers_free(p);
		return st;
	}
	*out = p;
	return STATUS_OK;
}

void
peers_free(struct peers *p)
{
	GHashTableIter it;
	gpointer c;

	if (p == NULL)
		return;
	listener_free(p->listener);
	udp_free(p->udp);
	g_hash_table_iter_init(&it, p->by_id);
	while (g_hash_table_iter_next(&it, NULL, &c))
		conn_close(c);
	g_hash_table_destroy(p->by_id);
	g_hash_table_destroy(p->by_address);
	g_free(p);
}

static struct conn *
peers_dial(struct peers *p, struct net_addr to)
{
	struct conn_options options = peers_conn_options();
	uint64_t key = addr_key(&to);
	struct conn *c;

	c = conn_dial(p->loop, to, loop_now_ms(p->loop) + PEERS_DIAL_TIMEOUT_MS,
	    &options, &peers_conn_handler, p);
	peers_add(p, c);
	g_hash_table_insert(p->by_address, g_memdup2(&key, sizeof(key)), c);
	return c;
}

/* The connection that an item is addressed to; NULL when there is none. */
static struct conn *
peers_lookup(struct peers *p, const struct outbox_item *item)
{
	uint64_t key = addr_key(&item->to);

	if (item->conn != 0)
		return g_hash_table_lookup(p->by_id, &item->conn);
	return g_hash_table_lookup(p->by_address, &key);
}

static void
peers_send_frame(struct peers *p, const struct outbox_item *item)
{
	struct conn *c = peers_lookup(p, item);
	enum status st;

	if (c == NULL && item->conn == 0)
		c = peers_dial(p, item->to);
	if (c == NULL)
		return;
	st = conn_send_frame(
	    c, (uint8_t)item->type, item->body->data, item->body->len);
	if (st != STATUS_OK)
		log_warning("A %s frame was dropped: %s.",
		    msg_type_name(item->type), status_name(st));
}

static void
peers_close_conn(struct peers *p, const struct outbox_item *item)
{
	struct conn *c = peers_lookup(p, item);

	if (c == NULL)
		return;
	(void)peers_remove(p, c);
	conn_close(c);
}

static void
peers_send_item(struct peers *p, const struct outbox_item *item)
{
	switch (item->kind) {
	case OUTBOX_DATAGRAM:
		(void)udp_send(p->udp, item->to, (uint8_t)item->type,
		    item->body->data, item->body->len);
		break;
	case OUTBOX_FRAME:
		peers_send_frame(p, item);
		break;
	case OUTBOX_CLOSE:
		peers_close_conn(p, item);
		break;
	}
}

void
peers_flush(struct peers *p, struct outbox *o)
{
	struct outbox_item *item;

	while ((item = outbox_pop(o)) != NULL) {
		peers_send_item(p, item);
		outbox_item_free(item);
	}
}
