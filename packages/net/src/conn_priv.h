/*
 * Framed TCP connection, as its own files and the listener see it.
 */
#ifndef NET_CONN_PRIV_H
#define NET_CONN_PRIV_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "net/conn.h"
#include "proto/frame.h"

/**
 * struct conn_count - open connections of one listener
 * @open: number of them
 *
 * A GLib reference-counted box: the listener and each connection hold one
 * reference.
 */
struct conn_count {
	uint32_t open;
};

/*
 * CONN_DIALLING	the handshake is under way
 * CONN_OPEN		frames go both ways
 * CONN_FINISHING	output is leaving, input is thrown away
 * CONN_DEAD		closed; memory goes with the end of the turn
 */
enum conn_state {
	CONN_DIALLING,
	CONN_OPEN,
	CONN_FINISHING,
	CONN_DEAD,
};

/*
 * framed counts the bytes of whole frames, so that received - framed is the
 * length of a frame that has begun.  A deadline that does not apply is
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
	struct frame_reader in;
	GByteArray *out;
	size_t out_start;
	uint64_t sent;
	uint64_t received;
	uint64_t framed;
	uint64_t last_received_ms;
	uint64_t dial_deadline_ms;
	uint64_t frame_deadline_ms;
	uint64_t output_deadline_ms;
};

/**
 * conn_adopt() - take over an accepted socket
 * @loop: the loop it lives in
 * @fd: the socket, non-blocking; closed with the connection
 * @peer: address of the other end
 * @options: limits; copied
 * @handler: what the owner is told
 * @arg: given to the handler's functions
 * @count: where the connection is counted
 */
struct conn *conn_adopt(struct loop *loop, int fd, struct net_addr peer,
    const struct conn_options *options, const struct conn_handler *handler,
    void *arg, struct conn_count *count);

/**
 * conn_fail() - end the connection and tell its owner
 * @c: the connection
 * @st: status
 * @what: what went wrong, for the message
 */
void conn_fail(struct conn *c, enum status st, const char *what);

/** conn_rearm() - make the timer fire no later than the earliest deadline */
void conn_rearm(struct conn *c);

/** conn_stall_deadline_ms() - deadline of something that begins now */
uint64_t conn_stall_deadline_ms(const struct conn *c);

/** conn_read() - read what came in and hand out its frames */
void conn_read(struct conn *c);

/** conn_write_some() - write; returns an errno, 0 if it would only block */
int conn_write_some(struct conn *c);

/** conn_flush() - write, and look after what follows from it */
void conn_flush(struct conn *c);

/** conn_watch() - watch for what the connection waits for */
void conn_watch(struct conn *c);

#endif
