/*
 * A connection between entry and guard, used by both.
 */
#include <string.h>

#include "call_link.h"

#define LINK_FRAME_MAX_BYTES (256U * 1024U)
/* The buffer of a message longer than this is released: a node has two links to
 * each other node, and keeping a body's piece on each would take 4 MB with 65
 * hosts. */
#define SCRATCH_KEEP_BYTES 1024
#define LINK_OUTPUT_MAX_BYTES (8U * 1024U * 1024U)

void
call_link_options(struct conn_options *o)
{
	memset(o, 0, sizeof(*o));
	o->frame_max_bytes = LINK_FRAME_MAX_BYTES;
	o->output_max_bytes = LINK_OUTPUT_MAX_BYTES;
	o->output_low_bytes = CALL_OUTPUT_BYTES / 2;
	o->use = DESCRIPTORS_CALLS;
}

static bool
may_send(const struct call_link *link)
{
	return link->conn != NULL && conn_is_open(link->conn) &&
	    conn_output_bytes(link->conn) < CALL_OUTPUT_BYTES;
}

static void
send_ready(void *arg)
{
	struct call_link *link = arg;
	struct call_sender *s;
	GList *node;

	while (may_send(link)) {
		node = g_queue_pop_head_link(&link->ready);
		if (node == NULL)
			return;
		s = node->data;
		s->link = NULL;
		if (s->ops->send(s, link) && s->link == NULL) {
			s->link = link;
			g_queue_push_tail_link(&link->ready, node);
		}
	}
}

void
call_link_init(struct call_link *link, struct loop *loop, struct conn *conn)
{
	link->conn = conn;
	link->scratch = g_byte_array_new();
	g_queue_init(&link->ready);
	loop_task_init(&link->task, loop, send_ready, link);
}

void
call_link_clear(struct call_link *link)
{
	struct call_sender *s;
	GList *node;

	while ((node = g_queue_pop_head_link(&link->ready)) != NULL) {
		s = node->data;
		s->link = NULL;
	}
	loop_task_cancel(&link->task);
	g_byte_array_free(link->scratch, TRUE);
	link->scratch = NULL;
	link->conn = NULL;
}

enum status
call_link_send(struct call_link *link, enum msg_type type, const void *msg)
{
	enum status st;

	if (link->conn == NULL)
		return STATUS_UNAVAILABLE;
	g_byte_array_set_size(link->scratch, 0);
	codec_encode(msg_desc(type), msg, link->scratch);
	st = conn_send_frame(
	    link->conn, (uint8_t)type, link->scratch->data, link->scratch->len);
	if (link->scratch->len > SCRATCH_KEEP_BYTES) {
		g_byte_array_unref(link->scratch);
		link->scratch = g_byte_array_new();
	}
	return st;
}

void
call_link_cancel(struct call_link *link, const struct msg_call_cancel *m)
{
	if (link->conn == NULL)
		return;
	g_byte_array_set_size(link->scratch, 0);
	codec_encode(msg_desc(MSG_CALL_CANCEL), m, link->scratch);
	conn_send_control(link->conn, MSG_CALL_CANCEL, link->scratch->data,
	    link->scratch->len);
}

void
call_link_enqueue(struct call_link *link, struct call_sender *s)
{
	if (s->link != NULL)
		return;
	s->link = link;
	s->node.data = s;
	g_queue_push_tail_link(&link->ready, &s->node);
	loop_task_defer(&link->task);
}

void
call_link_dequeue(struct call_sender *s)
{
	if (s->link == NULL)
		return;
	g_queue_unlink(&s->link->ready, &s->node);
	s->link = NULL;
}

void
call_link_writable(struct call_link *link)
{
	if (!g_queue_is_empty(&link->ready))
		loop_task_defer(&link->task);
}
