/*
 * Corruption of the messages of a faulty node.
 */
#include "tamper.h"

#include <string.h>

static void
tamper_content(
    struct rec_section_data *sections, uint32_t n, GBytes **replacement)
{
	uint8_t *copy;

	if (n == 0 || sections[0].data_len == 0)
		return;
	copy = g_memdup2(sections[0].data, sections[0].data_len);
	copy[sections[0].data_len / 2] ^= 0x10;
	*replacement = g_bytes_new_take(copy, sections[0].data_len);
	sections[0].data = copy;
}

static void
tamper_changes(struct node *n, struct msg_delta *msg)
{
	struct rec_section_change c;

	if (n->tamper == TAMPER_ROOT)
		msg->root.bytes[0] ^= 1;
	if (msg->n_changes == 0)
		return;
	if (n->tamper == TAMPER_OMIT)
		msg->n_changes--;
	if (n->tamper == TAMPER_DIGEST)
		msg->changes[0].digest.bytes[5] ^= 1;
	if (n->tamper == TAMPER_EMPTY) {
		msg->n_changes = 0;
		msg->more = true;
	}
	if (msg->n_changes < 2)
		return;
	c = msg->changes[0];
	if (n->tamper == TAMPER_SWAP) {
		msg->changes[0] = msg->changes[1];
		msg->changes[1] = c;
	}
	if (n->tamper == TAMPER_REPEAT)
		msg->changes[1] = c;
}

static void
tamper_truncate(struct outbox_item *item)
{
	if (item->body->len > 1)
		g_byte_array_set_size(item->body, item->body->len / 2);
}

void
tamper_pull(struct outbox_item *item)
{
	struct msg_pull msg;

	if (msg_pull_decode(item->body->data, item->body->len, &msg) !=
	    STATUS_OK)
		return;
	msg.have = 0;
	g_byte_array_set_size(item->body, 0);
	msg_pull_encode(&msg, item->body);
}

void
tamper_delta(struct node *n, struct outbox_item *item)
{
	struct msg_delta msg;
	GByteArray *body;
	GBytes *replacement;

	if (n->tamper == TAMPER_TRUNCATE) {
		tamper_truncate(item);
		return;
	}
	replacement = NULL;
	if (msg_delta_decode(item->body->data, item->body->len, &msg) !=
	    STATUS_OK)
		return;
	if (n->tamper == TAMPER_CONTENT)
		tamper_content(msg.sections, msg.n_sections, &replacement);
	else
		tamper_changes(n, &msg);
	body = g_byte_array_new();
	msg_delta_encode(&msg, body);
	msg_delta_clear(&msg);
	g_byte_array_unref(item->body);
	item->body = body;
	if (replacement != NULL)
		g_bytes_unref(replacement);
}

void
tamper_sections(struct node *n, struct outbox_item *item)
{
	struct msg_sections msg;
	GByteArray *body;
	GBytes *replacement;

	if (n->tamper == TAMPER_TRUNCATE)
		tamper_truncate(item);
	if (n->tamper != TAMPER_CONTENT)
		return;
	replacement = NULL;
	if (msg_sections_decode(item->body->data, item->body->len, &msg) !=
	    STATUS_OK)
		return;
	tamper_content(msg.sections, msg.n_sections, &replacement);
	body = g_byte_array_new();
	msg_sections_encode(&msg, body);
	msg_sections_clear(&msg);
	g_byte_array_unref(item->body);
	item->body = body;
	if (replacement != NULL)
		g_bytes_unref(replacement);
}
