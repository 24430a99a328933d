/*
 * Datagrams and connections between nodes.
 */
#include "links.h"

#include <string.h>

#include "preload.h"
#include "tamper.h"

/* A connection that carried nothing for so long was closed by the shell. */
#define IDLE_US (60 * US_PER_S)

/* Segments without data that open and close a connection. */
#define OPEN_SENT 2
#define OPEN_RECEIVED 1
#define CLOSE_EACH 2

/* What the loss of a segment costs a connection. */
#define RESEND_US (200 * US_PER_MS)

/* A message on its way. */
struct packet {
	struct world *w;
	uint32_t from;
	uint32_t to;
	uint64_t conn;
	enum msg_type type;
	GByteArray *body;
};

/* News on its way that a connection broke. */
struct broken {
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

	us = from == to ? w->config.near_us : w->config.far_us;
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
	p->w = n->w;
	p->from = n->id;
	p->to = to;
	p->conn = conn;
	p->type = item->type;
	p->body = g_byte_array_ref(item->body);
	return p;
}

static void
packet_give(struct packet *p, struct node *n)
{
	const struct net_addr *from;
	uint64_t now_ms;

	from = &p->w->nodes[p->from].addr;
	now_ms = world_now_ms(p->w);
	if (membership_handles((uint8_t)p->type))
		membership_receive(n->m, now_ms, from, p->conn,
		    (uint8_t)p->type, p->body->data, p->body->len);
	else if (p->conn == 0)
		spread_on_datagram(n->s, now_ms, from, (uint8_t)p->type,
		    p->body->data, p->body->len);
	else
		spread_on_frame(n->s, now_ms, from, p->conn, (uint8_t)p->type,
		    p->body->data, p->body->len);
	world_pump(n);
}

static void
broken_give(void *arg)
{
	struct broken *b;
	struct node *n;

	b = arg;
	n = b->node;
	if (n->up && n->frozen_us > n->w->queue.now_us) {
		queue_add(&n->w->queue, n->frozen_us, broken_give, b, g_free);
		return;
	}
	if (n->up && n->generation == b->generation) {
		membership_unreachable(n->m, world_now_ms(n->w), &b->peer);
		spread_on_closed(n->s, world_now_ms(n->w), &b->peer);
		world_pump(n);
	}
	g_free(b);
}

/* Tell one end that its connection to the other is gone. */
static void
links_broke(struct node *n, const struct node *peer, uint64_t us)
{
	struct broken *b;

	if (!n->up || n->s == NULL)
		return;
	b = g_new(struct broken, 1);
	b->node = n;
	b->generation = n->generation;
	b->peer = peer->addr;
	queue_add(
	    &n->w->queue, n->w->queue.now_us + us, broken_give, b, g_free);
}

static void
links_forget(struct world *w, struct conn *c)
{
	uint64_t pair;

	pair = (uint64_t)c->dialler << 32 | c->target;
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
	n = &p->w->nodes[p->to];
	if (n->up && n->frozen_us > p->w->queue.now_us) {
		queue_add(
		    &p->w->queue, n->frozen_us, packet_arrive, p, packet_free);
		return;
	}
	c = NULL;
	if (p->conn != 0)
		c = g_hash_table_lookup(p->w->conns, &p->conn);
	if (n->up && n->s != NULL && (p->conn == 0 || c != NULL)) {
		if (p->conn != 0)
			n->bytes.received[measure_class_of(p->type)] +=
			    measure_frame_bytes(p->body->len);
		else
			n->bytes.received[measure_class_of(p->type)] +=
			    measure_datagram_bytes(p->body->len);
		packet_give(p, n);
	} else if (c != NULL && !n->up) {
		links_broke(&p->w->nodes[p->from], n, p->w->config.near_us);
		links_forget(p->w, c);
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
links_chance(struct world *w, double share)
{
	return share > 0 && g_rand_double(w->rng) < share;
}

static void
links_datagram(struct node *n, const struct outbox_item *item)
{
	struct world *w;
	struct node *to;
	uint64_t us;

	w = n->w;
	n->bytes.sent[measure_class_of((uint8_t)item->type)] +=
	    measure_datagram_bytes(item->body->len);
	to = links_find(w, &item->to);
	if (to == NULL || world_is_cut(w, n->data_centre, to->data_centre) ||
	    links_chance(w, w->config.loss))
		return;
	us = links_delay_us(w, n->data_centre, to->data_centre);
	if (links_chance(w, w->config.late))
		us += w->config.late_us;
	links_queue(w, packet_new(n, to->id, 0, item), w->queue.now_us + us);
	if (!links_chance(w, w->config.twice))
		return;
	us = links_delay_us(w, n->data_centre, to->data_centre);
	links_queue(
	    w, packet_new(n, to->id, 0, item), w->queue.now_us + 2 * us);
}

static void
links_count_open(struct node *n, struct node *to)
{
	n->bytes.sent[MEASURE_DIALS] +=
	    (OPEN_SENT + CLOSE_EACH) * TCP_HEADER_BYTES;
	n->bytes.received[MEASURE_DIALS] +=
	    (OPEN_RECEIVED + CLOSE_EACH) * TCP_HEADER_BYTES;
	to->bytes.sent[MEASURE_DIALS] +=
	    (OPEN_RECEIVED + CLOSE_EACH) * TCP_HEADER_BYTES;
	to->bytes.received[MEASURE_DIALS] +=
	    (OPEN_SENT + CLOSE_EACH) * TCP_HEADER_BYTES;
}

/* The connection that a node dials to another one, made if there is none. */
static struct conn *
links_dial(struct node *n, struct node *to, int *fresh)
{
	struct world *w;
	struct conn *c;
	uint64_t pair;

	w = n->w;
	*fresh = 0;
	pair = (uint64_t)n->id << 32 | to->id;
	c = g_hash_table_lookup(w->pairs, &pair);
	if (c != NULL && w->queue.now_us - c->used_us < IDLE_US)
		return c;
	if (c != NULL)
		links_forget(w, c);
	if (world_is_cut(w, n->data_centre, to->data_centre) ||
	    world_is_cut(w, to->data_centre, n->data_centre))
		return NULL;
	if (!to->up) {
		links_broke(n, to,
		    2 * links_delay_us(w, n->data_centre, to->data_centre));
		return NULL;
	}
	*fresh = 1;
	c = g_new0(struct conn, 1);
	c->id = w->next_conn++;
	c->dialler = n->id;
	c->target = to->id;
	c->generations[0] = n->generation;
	c->generations[1] = to->generation;
	g_hash_table_insert(w->conns, &c->id, c);
	g_hash_table_insert(w->pairs, g_memdup2(&pair, sizeof(pair)), c);
	links_count_open(n, to);
	return c;
}

static void
links_frame(struct node *n, const struct outbox_item *item)
{
	struct world *w;
	struct node *to;
	struct conn *c;
	uint64_t at_us;
	int fresh, back;

	w = n->w;
	fresh = 0;
	c = NULL;
	if (item->conn != 0)
		c = g_hash_table_lookup(w->conns, &item->conn);
	else if ((to = links_find(w, &item->to)) != NULL)
		c = links_dial(n, to, &fresh);
	if (c == NULL)
		return;
	back = c->target == n->id;
	to = &w->nodes[back ? c->dialler : c->target];
	n->bytes.sent[measure_class_of((uint8_t)item->type)] +=
	    measure_frame_bytes(item->body->len);
	c->used_us = w->queue.now_us;
	if (world_is_cut(w, n->data_centre, to->data_centre))
		c->silent = 1;
	if (c->silent)
		return;
	at_us = w->queue.now_us;
	at_us += (fresh ? 3 : 1) *
	    links_delay_us(w, n->data_centre, to->data_centre);
	if (links_chance(w, w->config.loss))
		at_us += RESEND_US;
	at_us = MAX(at_us, c->last_us[back]);
	c->last_us[back] = at_us;
	links_queue(w, packet_new(n, to->id, c->id, item), at_us);
}

static void
links_close(struct node *n, const struct outbox_item *item)
{
	struct conn *c;
	struct node *to;
	uint64_t pair;

	if (item->conn != 0) {
		c = g_hash_table_lookup(n->w->conns, &item->conn);
	} else {
		to = links_find(n->w, &item->to);
		if (to == NULL)
			return;
		pair = (uint64_t)n->id << 32 | to->id;
		c = g_hash_table_lookup(n->w->pairs, &pair);
	}
	if (c != NULL)
		links_forget(n->w, c);
}

void
links_send(struct node *n, struct outbox_item *item)
{
	if (item->kind == OUTBOX_FRAME && preload_answer(n, item)) {
		outbox_item_free(item);
		return;
	}
	if (n->tamper == TAMPER_WHOLE && item->type == MSG_PULL)
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
links_died(struct node *n)
{
	struct world *w;
	struct node *other;
	GHashTableIter it;
	struct conn *c;
	GPtrArray *gone;
	gpointer value;
	uint32_t i;

	w = n->w;
	gone = g_ptr_array_new();
	g_hash_table_iter_init(&it, w->conns);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		c = value;
		if (c->dialler == n->id || c->target == n->id)
			g_ptr_array_add(gone, c);
	}
	for (i = 0; i < gone->len; i++) {
		c = gone->pdata[i];
		other = &w->nodes[c->target == n->id ? c->dialler : c->target];
		if (!c->silent)
			links_broke(other, n, w->config.near_us);
		links_forget(w, c);
	}
	g_ptr_array_unref(gone);
}
