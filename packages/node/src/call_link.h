/*
 * What entry and guard have in common on a connection between them: encoding,
 * turns among the streams that have a body to send, and pings.
 *
 * Bodies are sent in chunks, one of each stream in turn, and only while little
 * waits in the output buffer, so that a large body neither fills memory nor
 * holds up the small messages that are sent at once.
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

/* Largest piece of a body in one frame. */
#define CALL_CHUNK_BYTES 32768

/* No chunk is added while more than this waits in the output buffer. */
#define CALL_OUTPUT_BYTES 65536

/* Bytes of a request's body that an entry may send before the first credit: all
 * of most bookings. */
#define CALL_INITIAL_CREDIT_BYTES 16384

/* The same where the guard doesn't tell; and bytes from which on a request is
 * begun though its body isn't complete. */
#define CALL_BODY_PREFIX_BYTES 65536

/* Bytes of all bodies that may be on their way to a host: 0.1 s on a link of 5
 * Mbit/s, and what fills one of 100 over 5 ms. */
#define CALL_BODIES_WINDOW_BYTES 65536

/* Bytes that may be under way, each way, once a request runs. */
#define CALL_WINDOW_BYTES 262144

/* Credit for an answer is granted when this much was consumed. */
#define CALL_GRANT_BYTES 65536

struct call_link;
struct call_sender;

/**
 * struct call_sender_ops - how a stream sends its body
 * @send: send one chunk on @link; Return: whether there is another one that
 *	may be sent now
 */
struct call_sender_ops {
	bool (*send)(struct call_sender *s, struct call_link *link);
};

/**
 * struct call_sender - a stream's place in the turns
 * @ops: how it sends
 * @link: where it is queued, or NULL
 * @node: its place in the link's queue
 */
struct call_sender {
	const struct call_sender_ops *ops;
	struct call_link *link;
	GList node;
};

/**
 * struct call_link - one connection
 * @conn: the connection, NULL when it is gone
 * @scratch: room to encode in
 * @ready: struct call_sender that wait for their turn
 * @task: gives turns at the end of the loop's turn
 */
struct call_link {
	struct conn *conn;
	GByteArray *scratch;
	GQueue ready;
	struct loop_task task;
};

/** call_link_options() - options of a connection that carries calls */
void call_link_options(struct conn_options *o);

/** call_link_init() - start using @conn */
void
call_link_init(struct call_link *link, struct loop *loop, struct conn *conn);

/** call_link_clear() - the connection is gone; senders lose their place */
void call_link_clear(struct call_link *link);

/**
 * call_link_send() - send a message at once
 * @link: the link
 * @type: its type
 * @msg: the message; struct msg_* that belongs to @type
 *
 * Return: see conn_send_frame(); STATUS_UNAVAILABLE when the connection is
 * gone.
 */
enum status
call_link_send(struct call_link *link, enum msg_type type, const void *msg);

/** call_link_enqueue() - @s has a chunk to send; it gets its turn */
void call_link_enqueue(struct call_link *link, struct call_sender *s);

/** call_link_dequeue() - @s has nothing to send any more */
void call_link_dequeue(struct call_sender *s);

/** call_link_writable() - the output buffer has emptied; give turns */
void call_link_writable(struct call_link *link);

#endif
