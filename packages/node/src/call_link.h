/*
 * Link: a connection between entry and guard, used by both: encoding of
 * messages and round-robin scheduling of the streams that have a body to send.
 *
 * Bodies are sent in chunks, one of each stream in turn, and only while the
 * output buffer is nearly empty, so that a large body neither fills memory nor
 * delays the small messages, which are sent at once.
 */
#ifndef CALL_LINK_H
#define CALL_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "net/conn.h"
#include "net/loop.h"
#include "call_proto.h"

/* Version of the protocol between entry and guard. */
#define CALL_PROTO 1

/* Limit of a body's part in one frame. */
#define CALL_CHUNK_BYTES 32768

/* No chunk is added while the output buffer holds more than this. */
#define CALL_OUTPUT_BYTES 65536

/* Bytes of a request's body that an entry may send before the first credit;
 * most bookings fit. */
#define CALL_INITIAL_CREDIT_BYTES 16384

/* A guard starts a request when its body is complete or this much of it was
 * received.  Also the initial credit of a guard whose hello names none. */
#define CALL_BODY_PREFIX_BYTES 65536

/* Window of all request bodies in transit to a host: 0.1 s on a link of 5
 * Mbit/s, and the bandwidth-delay product of 100 Mbit/s at 5 ms. */
#define CALL_BODIES_WINDOW_BYTES 65536

/* Window of a stream in each direction, once its request runs. */
#define CALL_WINDOW_BYTES 262144

/* Credit for an answer is granted each time this much was consumed. */
#define CALL_GRANT_BYTES 65536

struct call_link;
struct call_sender;

/**
 * struct call_sender_ops - operations of a stream with a body to send
 * @send: send one chunk on @link; Return: whether another chunk may be sent now
 */
struct call_sender_ops {
	bool (*send)(struct call_sender *s, struct call_link *link);
};

/**
 * struct call_sender - a stream in the round-robin queue of a link
 * @ops: operations of the stream
 * @link: link on which it is queued, or NULL
 * @node: node in the link's queue
 */
struct call_sender {
	const struct call_sender_ops *ops;
	struct call_link *link;
	GList node;
};

/**
 * struct call_link - one connection
 * @conn: the connection, NULL once it is closed
 * @scratch: buffer for encoding
 * @ready: queued struct call_sender, in round-robin order
 * @task: sends chunks at the end of the loop's iteration
 */
struct call_link {
	struct conn *conn;
	GByteArray *scratch;
	GQueue ready;
	struct loop_task task;
};

/** call_link_options() - fill in the options of a connection for calls */
void call_link_options(struct conn_options *o);

/** call_link_init() - start using @conn */
void
call_link_init(struct call_link *link, struct loop *loop, struct conn *conn);

/** call_link_clear() - detach the closed connection and dequeue all senders */
void call_link_clear(struct call_link *link);

/**
 * call_link_send() - send a message ahead of queued chunks
 * @link: the link
 * @type: its type
 * @msg: the message; struct msg_* that belongs to @type
 *
 * Return: see conn_send_frame(); STATUS_UNAVAILABLE when the connection is
 * closed.
 */
enum status
call_link_send(struct call_link *link, enum msg_type type, const void *msg);

/** call_link_cancel() - send a cancel, also where the output is full; nothing
 * on a closed connection, since the guard then sees its end */
void call_link_cancel(struct call_link *link, const struct msg_call_cancel *m);

/** call_link_enqueue() - queue @s, which has a chunk to send; no effect when it
 * is queued */
void call_link_enqueue(struct call_link *link, struct call_sender *s);

/** call_link_dequeue() - remove @s from its link's queue; no effect when it
 * isn't queued */
void call_link_dequeue(struct call_sender *s);

/** call_link_writable() - the output buffer has drained: send queued chunks */
void call_link_writable(struct call_link *link);

#endif
