/*
 * Framed TCP connection: private definitions for its files and the listener.
 */
#ifndef NET_CONN_PRIV_H
#define NET_CONN_PRIV_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "net/buffer_pool.h"
#include "net/conn.h"
#include "proto/frame.h"

/**
 * struct conn_count - open connections of one listener
 * @open: their number
 * @silent: those that have not sent a frame yet, the oldest at the head
 * @pool: bound on the memory of their incomplete frames
 *
 * Allocated with g_rc_box_new0(): the listener and each of its connections
 * hold one reference, released with conn_count_unref().
 */
struct conn_count {
	uint32_t open;
	GQueue silent;
	struct buffer_pool *pool;
};

/** conn_count_unref() - release a reference */
void conn_count_unref(struct conn_count *count);

/*
 * CONN_DIALLING	the handshake is in progress
 * CONN_OPEN		frames are sent and received
 * CONN_FINISHING	output is flushed, input is discarded
 * CONN_DEAD		closed; released at the end of the turn
 */
enum conn_state {
	CONN_DIALLING,
	CONN_OPEN,
	CONN_FINISHING,
	CONN_DEAD,
};

/*
 * framed counts the bytes of complete frames, so that received - framed is the
 * length of the incomplete frame.  A deadline that does not apply is
 * DEADLINE_NEVER.
 */
struct conn {
	struct loop *loop;
	struct loop_fd *watch;
	struct loop_timer timer;
	struct loop_task task;
	int fd;
	int dial_errno;
	enum conn_state state;
	bool write_shut;
	bool above_low;
	uint64_t id;
	struct net_addr peer;
	struct conn_options options;
	const struct conn_handler *handler;
	void *arg;
	struct conn_count *count;
	GList silent_link;
	struct buffer_holder holder;
	struct frame_reader in;
	GByteArray *out;
	size_t out_start;
	uint64_t sent;
	uint64_t received;
	uint64_t framed;
	uint64_t accepted_ms;
	uint64_t last_received_ms;
	uint64_t dial_deadline_ms;
	uint64_t frame_deadline_ms;
	uint64_t output_deadline_ms;
};

/**
 * conn_adopt() - take over an accepted socket
 * @loop: event loop that runs the connection
 * @fd: the socket, non-blocking, whose descriptor has been taken; closed with
 *	the connection
 * @peer: address of the peer
 * @options: limits; copied
 * @handler: callbacks
 * @arg: passed to the callbacks
 * @count: counter of the listener's open connections
 */
struct conn *conn_adopt(struct loop *loop, int fd, struct net_addr peer,
    const struct conn_options *options, const struct conn_handler *handler,
    void *arg, struct conn_count *count);

/**
 * conn_fail() - close the connection and call on_closed()
 * @c: the connection; after conn_finish() on_closed() is not called
 * @st: status
 * @what: reason, for status_message()
 */
void conn_fail(struct conn *c, enum status st, const char *what);

/** conn_spoke() - an accepted connection is not silent any more */
void conn_spoke(struct conn *c);

/** conn_rearm() - set the timer to fire no later than the earliest deadline */
void conn_rearm(struct conn *c);

/** conn_stall_deadline_ms() - stall deadline of an operation that begins now */
uint64_t conn_stall_deadline_ms(const struct conn *c);

/**
 * conn_read() - read input and call on_frame() for each complete frame
 * @c: the connection
 * @ended: the peer has closed its side, so the end of the stream can be read
 */
void conn_read(struct conn *c, bool ended);

/** conn_write_some() - write output; returns an errno, 0 if it would block */
int conn_write_some(struct conn *c);

/** conn_flush() - write output, handle errors and call on_writable() if due */
void conn_flush(struct conn *c);

/** conn_watch() - update the watched events and the timer */
void conn_watch(struct conn *c);

#endif
