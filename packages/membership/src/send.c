/*
 * Sending: appends encoded messages to the outbox and counts their bytes.
 */
#include <string.h>

#include "proto/frame.h"

#include "send.h"

/* The type byte that the envelope of a datagram adds. */
#define ENVELOPE_BYTES 1

void
send_datagram(struct membership *m, const struct net_addr *to,
    enum msg_type type, GByteArray *body)
{
	m->counters.bytes_datagrams += body->len + ENVELOPE_BYTES;
	outbox_datagram(m->out, to, type, body);
}

void
send_frame(struct membership *m, const struct net_addr *to, uint64_t conn,
    enum msg_type type, GByteArray *body)
{
	m->counters.bytes_frames += body->len + FRAME_HEADER_BYTES;
	outbox_frame(m->out, to, conn, type, body);
}

void
send_either(struct membership *m, const struct net_addr *to, enum msg_type type,
    GByteArray *body)
{
	if (body->len + ENVELOPE_BYTES <= DATAGRAM_BYTES)
		send_datagram(m, to, type, body);
	else
		send_frame(m, to, 0, type, body);
}

void
send_batch(struct membership *m, const struct net_addr *to, struct batch *b)
{
	struct msg_news msg;
	GByteArray *body;

	if (b->n == 0)
		return;
	memset(&msg, 0, sizeof(msg));
	(void)g_strlcpy(msg.host, m->settings.host, sizeof(msg.host));
	msg.news = b->records;
	msg.n_news = b->n;
	body = g_byte_array_new();
	msg_news_encode(&msg, body);
	send_datagram(m, to, MSG_NEWS, body);
	m->counters.news_sent += b->n;
	batch_clear(b);
}

void
send_row(struct membership *m, const struct net_addr *to, const struct row *r)
{
	struct batch b = {.n = 0};

	(void)batch_add(&b, r);
	send_batch(m, to, &b);
}
