/*
 * Outbox: queue of encoded messages that are sent for a module without input
 * and output of its own.
 *
 * The module adds items while it handles an event; its caller pops the items
 * and performs the input and output.
 */
#ifndef PROTO_OUTBOX_H
#define PROTO_OUTBOX_H

#include <stdint.h>

#include <glib.h>

#include "proto/addr.h"
#include "proto/messages.h"

/**
 * enum outbox_kind - operation of an item
 * @OUTBOX_DATAGRAM: send the message in one datagram
 * @OUTBOX_FRAME: send the message in a frame over a connection
 * @OUTBOX_CLOSE: close a connection, so that the next frame opens a new one
 */
enum outbox_kind {
	OUTBOX_DATAGRAM = 0,
	OUTBOX_FRAME,
	OUTBOX_CLOSE,
};

/**
 * struct outbox_item - a message to send or a connection to close
 * @kind: operation
 * @to: address of the peer
 * @conn: id of the connection on which the request was received; 0 for the
 *	connection to @to, which is opened if there is none
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

/** outbox_new() - create an empty outbox; free it with outbox_free() */
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
 * @conn: id of the connection to answer on, or 0 for the connection to @to
 * @type: type of the message
 * @body: encoded message; the outbox takes it over
 */
void outbox_frame(struct outbox *o, const struct net_addr *to, uint64_t conn,
    enum msg_type type, GByteArray *body);

/**
 * outbox_close() - add a request to close a connection
 * @o: the outbox
 * @to: address of the peer; copied
 * @conn: id of the connection, or 0 for the connection to @to
 */
void outbox_close(struct outbox *o, const struct net_addr *to, uint64_t conn);

/**
 * outbox_pop() - remove the oldest item
 * @o: the outbox
 *
 * Return: the item, which the caller frees with outbox_item_free(); NULL
 * when the outbox is empty.
 */
struct outbox_item *outbox_pop(struct outbox *o);

/** outbox_item_free() - free an item with its body; NULL is ignored */
void outbox_item_free(struct outbox_item *item);

/** outbox_length() - number of queued items */
uint32_t outbox_length(const struct outbox *o);

#endif
