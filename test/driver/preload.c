/*
 * Responses to joins with a table of all hosts.
 */
#include "preload.h"

#include <string.h>

/* Records per part of the table. */
#define PART_ROWS 1024

/* Response in transit. */
struct preload_part {
	struct node *node;
	struct net_addr from;
	GByteArray *body;
};

static void
preload_row(const struct node *n, struct rec_member *row)
{
	const struct member *m;

	m = membership_self(n->membership);
	g_strlcpy(row->host, m->host, sizeof(row->host));
	g_strlcpy(row->data_centre, m->data_centre, sizeof(row->data_centre));
	row->ip = m->address.ip;
	row->peer_port = m->address.port;
	row->call_port = m->call_port;
	row->incarnation = m->incarnation;
	row->started_ms = m->started_ms;
	row->state = MEMBER_ALIVE;
}

void
preload_record(struct world *w)
{
	struct msg_join_table msg;
	struct rec_member *rows;
	GByteArray *body;
	uint32_t i, parts;

	rows = g_new0(struct rec_member, w->n_nodes);
	for (i = 0; i < w->n_nodes; i++)
		preload_row(&w->nodes[i], &rows[i]);
	w->preload =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
	parts = (w->n_nodes + PART_ROWS - 1) / PART_ROWS;
	for (i = 0; i < parts; i++) {
		memset(&msg, 0, sizeof(msg));
		g_strlcpy(msg.host, w->nodes[0].host, sizeof(msg.host));
		msg.cursor = i;
		msg.next = i + 1 < parts ? i + 1 : 0;
		msg.rows = rows + i * PART_ROWS;
		msg.n_rows = MIN(w->n_nodes - i * PART_ROWS, PART_ROWS);
		body = g_byte_array_new();
		msg_join_table_encode(&msg, body);
		g_ptr_array_add(w->preload, body);
	}
	g_free(rows);
}

void
preload_clear(struct world *w)
{
	if (w->preload != NULL)
		g_ptr_array_unref(w->preload);
	w->preload = NULL;
}

static void
preload_deliver(void *arg)
{
	struct preload_part *p;
	struct node *n;

	p = arg;
	n = p->node;
	if (n->up) {
		membership_receive(n->membership, world_now_ms(n->world),
		    &p->from, 1, MSG_JOIN_TABLE, p->body->data, p->body->len);
		world_dispatch(n);
	}
	g_byte_array_unref(p->body);
	g_free(p);
}

int
preload_respond(struct node *n, const struct outbox_item *item)
{
	struct preload_part *p;
	struct msg_join msg;

	if (n->world->preload == NULL || item->type != MSG_JOIN ||
	    msg_join_decode(item->body->data, item->body->len, &msg) !=
		STATUS_OK)
		return 0;
	p = g_new(struct preload_part, 1);
	p->node = n;
	p->from = item->to;
	p->body = g_byte_array_ref(
	    n->world->preload->pdata[msg.cursor % n->world->preload->len]);
	queue_add(&n->world->queue, n->world->queue.now_us + US_PER_MS,
	    preload_deliver, p, NULL);
	msg_join_clear(&msg);
	return 1;
}
