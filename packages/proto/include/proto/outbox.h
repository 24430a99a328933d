/*
 * Outbox: what a decision module wants sent, already encoded, in order.
 *
 * A module adds items while it handles an event; its caller pops them and
 * turns them into input and output.
 */
#ifndef PROTO_OUTBOX_H
#define PROTO_OUTBOX_H

#include <stdint.h>

#include <glib.h>

#include "proto/addr.h"
#include "proto/messages.h"

/**
 * enum outbox_kind - what is to be done with an item
 * @OUTBOX_DATAGRAM: send the message in one datagram
 * @OUTBOX_FRAME: send the message in a frame over a connection
 * @OUTBOX_CLOSE: drop a connection, so that the next frame dials anew
 */
enum outbox_kind {
	OUTBOX_DATAGRAM = 0,
	OUTBOX_FRAME,
	OUTBOX_CLOSE,
};

/**
 * struct outbox_item - one thing to be sent or closed
 * @kind: what to do
 * @to: address of the peer
 * @conn: connection that the request came from; 0 for the connection to @to,
 *	dialled if there is none
 * @type: type of the message; MSG_NONE for OUTBOX_CLOSE
 * @body: encoded message, owned; NULL for OUTBOX_CLOSE
 */
struct outbox_item {
	enum outbox_kind kind;
	struct net_addr to;
	uint64_t conn;
	enum msg_type type;
	GByteArray *body;
};

struct outbox;

/** outbox_new() - an empty outbox; free with outbox_free() */
struct outbox *outbox_new(void);

/** outbox_free() - free an outbox with all its items; NULL is ignored */
void outbox_free(struct outbox *o);

/**
 * outbox_datagram() - add a datagram
 * @o: the outbox
 * @to: address of the peer; copied
 * @type: type of the message
 * @body: encoded message; the outbox takes it over
 */
void outbox_datagram(struct outbox *o, const struct net_addr *to,
    enum msg_type type, GByteArray *body);

/**
 * outbox_frame() - add a frame
 * @o: the outbox
 * @to: address of the peer; copied
 * @conn: connection to answer on, or 0 for the connection to @to
 * @type: type of the message
 * @body: encoded message; the outbox takes it over
 */
void outbox_frame(struct outbox *o, const struct net_addr *to, uint64_t conn,
    enum msg_type type, GByteArray *body);

/**
 * outbox_close() - add the closing of a connection
 * @o: the outbox
 * @to: address of the peer; copied
 * @conn: the connection, or 0 for the connection to @to
 */
void outbox_close(struct outbox *o, const struct net_addr *to, uint64_t conn);

/**
 * outbox_pop() - take the oldest item out
 * @o: the outbox
 *
 * Return: the item, which the caller frees with outbox_item_free(); NULL
 * when the outbox is empty.
 */
struct outbox_item *outbox_pop(struct outbox *o);

/** outbox_item_free() - free an item with its body; NULL is ignored */
void outbox_item_free(struct outbox_item *item);

/** outbox_length() - number of items waiting */
uint32_t outbox_length(const struct outbox *o);

#endif
