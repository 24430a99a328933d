/*
 * Transport between nodes: datagrams and connections.
 */
#include "links.h"

#include <string.h>

#include "preload.h"
#include "tamper.h"

/* The daemon closes a connection that was idle for this time. */
#define IDLE_TIMEOUT_US (60 * US_PER_S)

/* Segments without data that open and close a connection, per end. */
#define HANDSHAKE_SENT 2
#define HANDSHAKE_RECEIVED 1
#define CLOSE_SEGMENTS 2

/* Delay of a frame whose segment is lost and retransmitted. */
#define RETRANSMIT_US (200 * US_PER_MS)

/* Message in transit; @conn is 0 for a datagram. */
struct packet {
	struct world *world;
	uint32_t from;
	uint32_t to;
	uint64_t conn;
	enum msg_type type;
	GByteArray *body;
};

/* Notification in transit that a connection was reset. */
struct conn_reset {
	struct node *node;
	uint32_t generation;
	struct net_addr peer;
};

void
links_init(struct world *w)
{
	w->conns =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	w->pairs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	w->next_conn = 1;
}

void
links_clear(struct world *w)
{
	g_hash_table_destroy(w->pairs);
	g_hash_table_destroy(w->conns);
}

uint64_t
links_delay_us(struct world *w, uint32_t from, uint32_t to)
{
	uint64_t us;

	us = from == to ? w->config.local_delay_us : w->config.remote_delay_us;
	if (w->config.jitter_us > 0)
		us += g_rand_int(w->rng) % w->config.jitter_us;
	return us;
}

static void
packet_free(void *arg)
{
	struct packet *p;

	p = arg;
	g_byte_array_unref(p->body);
	g_free(p);
}

static struct packet *
packet_new(
    struct node *n, uint32_t to, uint64_t conn, const struct outbox_item *item)
{
	struct packet *p;

	p = g_new(struct packet, 1);
	p->world = n->world;
	p->from = n->id;
	p->to = to;
	p->conn = conn;
	p->type = item->type;
	p->body = g_byte_array_ref(item->body);
	return p;
}

static void
packet_deliver(struct packet *p, struct node *n)
{
	const struct net_addr *from;
	uint64_t now_ms;

	from = &p->world->nodes[p->from].addr;
	now_ms = world_now_ms(p->world);
	if (membership_handles((uint8_t)p->type))
		membership_receive(n->membership, now_ms, from, p->conn,
		    (uint8_t)p->type, p->body->data, p->body->len);
	else if (p->conn == 0)
		spread_on_datagram(n->spread, now_ms, from, (uint8_t)p->type,
		    p->body->data, p->body->len);
	else
		spread_on_frame(n->spread, now_ms, from, p->conn,
		    (uint8_t)p->type, p->body->data, p->body->len);
	world_dispatch(n);
}

static void
conn_reset_deliver(void *arg)
{
	struct conn_reset *b;
	struct node *n;

	b = arg;
	n = b->node;
	if (n->up && n->frozen_us > n->world->queue.now_us) {
		queue_add(&n->world->queue, n->frozen_us, conn_reset_deliver, b,
		    g_free);
		return;
	}
	if (n->up && n->generation == b->generation) {
		membership_unreachable(
		    n->membership, world_now_ms(n->world), &b->peer);
		spread_on_closed(n->spread, world_now_ms(n->world), &b->peer);
		world_dispatch(n);
	}
	g_free(b);
}

/* Notifies a node after @us that its connection to @peer was reset. */
static void
links_schedule_reset(struct node *n, const struct node *peer, uint64_t us)
{
	struct conn_reset *b;

	if (!n->up || n->spread == NULL)
		return;
	b = g_new(struct conn_reset, 1);
	b->node = n;
	b->generation = n->generation;
	b->peer = peer->addr;
	queue_add(&n->world->queue, n->world->queue.now_us + us,
	    conn_reset_deliver, b, g_free);
}

static void
links_remove(struct world *w, struct conn *c)
{
	uint64_t pair;

	pair = (uint64_t)c->initiator << 32 | c->acceptor;
	if (g_hash_table_lookup(w->pairs, &pair) == c)
		g_hash_table_remove(w->pairs, &pair);
	g_hash_table_remove(w->conns, &c->id);
}

static void
packet_arrive(void *arg)
{
	struct packet *p;
	struct conn *c;
	struct node *n;

	p = arg;
	n = &p->world->nodes[p->to];
	if (n->up && n->frozen_us > p->world->queue.now_us) {
		queue_add(&p->world->queue, n->frozen_us, packet_arrive, p,
		    packet_free);
		return;
	}
	c = NULL;
	if (p->conn != 0)
		c = g_hash_table_lookup(p->world->conns, &p->conn);
	if (n->up && n->spread != NULL && (p->conn == 0 || c != NULL)) {
		if (p->conn != 0)
			n->bytes.received[measure_class_of(p->type)] +=
			    measure_frame_bytes(p->body->len);
		else
			n->bytes.received[measure_class_of(p->type)] +=
			    measure_datagram_bytes(p->body->len);
		packet_deliver(p, n);
	} else if (c != NULL && !n->up) {
		links_schedule_reset(&p->world->nodes[p->from], n,
		    p->world->config.local_delay_us);
		links_remove(p->world, c);
	}
	packet_free(p);
}

static void
links_queue(struct world *w, struct packet *p, uint64_t at_us)
{
	queue_add(&w->queue, at_us, packet_arrive, p, packet_free);
}

static struct node *
links_find(struct world *w, const struct net_addr *addr)
{
	uint32_t id;

	id = addr->ip & 0xffffff;
	return id < w->n_nodes ? &w->nodes[id] : NULL;
}

static int
links_random(struct world *w, double share)
{
	return share > 0 && g_rand_double(w->rng) < share;
}

static void
links_datagram(struct node *n, const struct outbox_item *item)
{
	struct world *w;
	struct node *to;
	uint64_t us;

	w = n->world;
	n->bytes.sent[measure_class_of((uint8_t)item->type)] +=
	    measure_datagram_bytes(item->body->len);
	to = links_find(w, &item->to);
	if (to == NULL ||
	    world_is_partitioned(w, n->data_centre, to->data_centre) ||
	    links_random(w, w->config.loss_rate))
		return;
	us = links_delay_us(w, n->data_centre, to->data_centre);
	if (links_random(w, w->config.delayed_rate))
		us += w->config.extra_delay_us;
	links_queue(w, packet_new(n, to->id, 0, item), w->queue.now_us + us);
	if (!links_random(w, w->config.duplicate_rate))
		return;
	us = links_delay_us(w, n->data_centre, to->data_centre);
	links_queue(
	    w, packet_new(n, to->id, 0, item), w->queue.now_us + 2 * us);
}

static void
links_count_handshake(struct node *n, struct node *to)
{
	n->bytes.sent[MEASURE_CONNECTIONS] +=
	    (HANDSHAKE_SENT + CLOSE_SEGMENTS) * TCP_HEADER_BYTES;
	n->bytes.received[MEASURE_CONNECTIONS] +=
	    (HANDSHAKE_RECEIVED + CLOSE_SEGMENTS) * TCP_HEADER_BYTES;
	to->bytes.sent[MEASURE_CONNECTIONS] +=
	    (HANDSHAKE_RECEIVED + CLOSE_SEGMENTS) * TCP_HEADER_BYTES;
	to->bytes.received[MEASURE_CONNECTIONS] +=
	    (HANDSHAKE_SENT + CLOSE_SEGMENTS) * TCP_HEADER_BYTES;
}

/* Returns the connection from @n to @to, opened if there is none; NULL if the
 * connection attempt fails. */
static struct conn *
links_connect(struct node *n, struct node *to, int *is_new)
{
	struct world *w;
	struct conn *c;
	uint64_t pair;

	w = n->world;
	*is_new = 0;
	pair = (uint64_t)n->id << 32 | to->id;
	c = g_hash_table_lookup(w->pairs, &pair);
	if (c != NULL && w->queue.now_us - c->last_used_us < IDLE_TIMEOUT_US)
		return c;
	if (c != NULL)
		links_remove(w, c);
	if (world_is_partitioned(w, n->data_centre, to->data_centre) ||
	    world_is_partitioned(w, to->data_centre, n->data_centre))
		return NULL;
	if (!to->up) {
		links_schedule_reset(n, to,
		    2 * links_delay_us(w, n->data_centre, to->data_centre));
		return NULL;
	}
	*is_new = 1;
	c = g_new0(struct conn, 1);
	c->id = w->next_conn++;
	c->initiator = n->id;
	c->acceptor = to->id;
	c->generations[0] = n->generation;
	c->generations[1] = to->generation;
	g_hash_table_insert(w->conns, &c->id, c);
	g_hash_table_insert(w->pairs, g_memdup2(&pair, sizeof(pair)), c);
	links_count_handshake(n, to);
	return c;
}

static void
links_frame(struct node *n, const struct outbox_item *item)
{
	struct world *w;
	struct node *to;
	struct conn *c;
	uint64_t at_us;
	int is_new, reverse;

	w = n->world;
	is_new = 0;
	c = NULL;
	if (item->conn != 0)
		c = g_hash_table_lookup(w->conns, &item->conn);
	else if ((to = links_find(w, &item->to)) != NULL)
		c = links_connect(n, to, &is_new);
	if (c == NULL)
		return;
	reverse = c->acceptor == n->id;
	to = &w->nodes[reverse ? c->initiator : c->acceptor];
	n->bytes.sent[measure_class_of((uint8_t)item->type)] +=
	    measure_frame_bytes(item->body->len);
	c->last_used_us = w->queue.now_us;
	if (world_is_partitioned(w, n->data_centre, to->data_centre))
		c->stalled = 1;
	if (c->stalled)
		return;
	at_us = w->queue.now_us;
	at_us += (is_new ? 3 : 1) *
	    links_delay_us(w, n->data_centre, to->data_centre);
	if (links_random(w, w->config.loss_rate))
		at_us += RETRANSMIT_US;
	at_us = MAX(at_us, c->last_arrival_us[reverse]);
	c->last_arrival_us[reverse] = at_us;
	links_queue(w, packet_new(n, to->id, c->id, item), at_us);
}

static void
links_close(struct node *n, const struct outbox_item *item)
{
	struct conn *c;
	struct node *to;
	uint64_t pair;

	if (item->conn != 0) {
		c = g_hash_table_lookup(n->world->conns, &item->conn);
	} else {
		to = links_find(n->world, &item->to);
		if (to == NULL)
			return;
		pair = (uint64_t)n->id << 32 | to->id;
		c = g_hash_table_lookup(n->world->pairs, &pair);
	}
	if (c != NULL)
		links_remove(n->world, c);
}

void
links_send(struct node *n, struct outbox_item *item)
{
	if (item->kind == OUTBOX_FRAME && preload_respond(n, item)) {
		outbox_item_free(item);
		return;
	}
	if (n->tamper == TAMPER_FULL_PULL && item->type == MSG_PULL)
		tamper_pull(item);
	if (n->tamper != TAMPER_NONE && item->type == MSG_DELTA)
		tamper_delta(n, item);
	if (n->tamper != TAMPER_NONE && item->type == MSG_SECTIONS)
		tamper_sections(n, item);
	if (item->kind == OUTBOX_DATAGRAM)
		links_datagram(n, item);
	else if (item->kind == OUTBOX_FRAME)
		links_frame(n, item);
	else
		links_close(n, item);
	outbox_item_free(item);
}

void
links_reset_all(struct node *n)
{
	struct world *w;
	struct node *other;
	GHashTableIter it;
	struct conn *c;
	GPtrArray *affected;
	gpointer value;
	uint32_t i;

	w = n->world;
	affected = g_ptr_array_new();
	g_hash_table_iter_init(&it, w->conns);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		c = value;
		if (c->initiator == n->id || c->acceptor == n->id)
			g_ptr_array_add(affected, c);
	}
	for (i = 0; i < affected->len; i++) {
		c = affected->pdata[i];
		other = &w->nodes[c->acceptor == n->id ? c->initiator
						       : c->acceptor];
		if (!c->stalled)
			links_schedule_reset(
			    other, n, w->config.local_delay_us);
		links_remove(w, c);
	}
	g_ptr_array_unref(affected);
}
