/*
 * Framed TCP connection: non-blocking, with limits on the memory and time that
 * a peer can consume.
 *
 * A frame is a 32-bit big-endian length of the rest, a type byte and a body
 * (proto/frame.h).  Frames appended in one turn of the loop are written
 * together at the end of the turn.  A connection is closed with a status when
 * the peer ends it in either direction, sends a frame above the limit, or
 * stalls in the middle of a frame.  Input of one peer never affects another
 * connection.
 *
 * A connection ends in one of two ways: the owner calls conn_close() or
 * conn_finish(), or the connection fails and on_closed() is called once.  After
 * either event the owner must not use the connection; its memory is released at
 * the end of the turn.
 */
#ifndef NET_CONN_H
#define NET_CONN_H

#include <stddef.h>
#include <stdint.h>

#include "base/metrics.h"
#include "base/status.h"
#include "net/descriptors.h"
#include "net/loop.h"
#include "proto/addr.h"

struct conn;

/**
 * struct conn_handler - callbacks of a connection
 * @on_open: a dialled connection is established; may be NULL
 * @on_frame: a frame was received; @body is valid only during the callback
 * @on_part: data of an incomplete frame was received; may be NULL
 * @on_writable: the output buffer has fallen to the low-water mark after
 *	exceeding it; may be NULL
 * @on_closed: the connection has ended for a reason other than conn_close()
 *	or conn_finish(): STATUS_UNAVAILABLE peer closed, reset or unreachable,
 *	STATUS_TIMEOUT a deadline of the connection passed,
 *	STATUS_TOO_LARGE a frame that is empty or above the limit;
 *	status_message() has details
 */
struct conn_handler {
	void (*on_open)(struct conn *c, void *arg);
	void (*on_frame)(struct conn *c, uint8_t type, const uint8_t *body,
	    size_t len, void *arg);
	void (*on_part)(struct conn *c, void *arg);
	void (*on_writable)(struct conn *c, void *arg);
	void (*on_closed)(struct conn *c, enum status st, void *arg);
};

/**
 * struct conn_options - limits of a connection; 0 means the default
 * @frame_max_bytes: largest frame accepted or sent, type byte included;
 *	default CONN_FRAME_MAX_BYTES
 * @output_max_bytes: size limit of the output buffer; default
 *	CONN_OUTPUT_MAX_BYTES; raised if the largest frame does not fit
 * @output_low_bytes: low-water mark for on_writable(); default a quarter of
 *	@output_max_bytes
 * @stall_ms: time limit from the first byte of a frame to its last, and for
 *	progress of the output; default CONN_STALL_MS
 * @idle_ms: close the connection when no data is received for this time;
 *	default never
 * @sent_bytes: counter of bytes written, which connections of the same purpose
 *	share; may be NULL
 * @received_bytes: counter of bytes read, shared likewise; may be NULL
 * @use: what the connection is for
 */
struct conn_options {
	uint32_t frame_max_bytes;
	uint32_t output_max_bytes;
	uint32_t output_low_bytes;
	uint32_t stall_ms;
	uint32_t idle_ms;
	struct metric *sent_bytes;
	struct metric *received_bytes;
	enum descriptor_use use;
};

#define CONN_FRAME_MAX_BYTES (1024U * 1024U)
#define CONN_OUTPUT_MAX_BYTES (4U * 1024U * 1024U)
#define CONN_STALL_MS 10000U

/**
 * conn_dial() - open a connection
 * @loop: event loop that runs the connection
 * @to: address of the peer
 * @deadline_ms: monotonic time by which the connection must be
 *	established
 * @options: limits; copied; NULL for the defaults
 * @handler: callbacks; must outlive the connection
 * @arg: passed to the callbacks
 *
 * Frames may be appended at once; they are sent when the connection is
 * established.
 *
 * Return: the connection, never NULL: on_closed() reports a failure, at the
 * end of the turn or later.
 */
struct conn *conn_dial(struct loop *loop, struct net_addr to,
    uint64_t deadline_ms, const struct conn_options *options,
    const struct conn_handler *handler, void *arg);

/**
 * conn_send_frame() - append a frame to the output
 * @c: the connection
 * @type: type byte
 * @body: body, copied
 * @len: number of bytes
 *
 * Return: STATUS_OK; STATUS_TOO_LARGE when the frame exceeds the limit;
 * STATUS_OVERLOADED when the output buffer is full.  Nothing is appended on
 * failure.
 */
enum status
conn_send_frame(struct conn *c, uint8_t type, const uint8_t *body, size_t len);

/**
 * conn_send_control() - append a small frame, also where the output buffer is
 * full
 * @c: the connection
 * @type: type byte
 * @body: body, copied
 * @len: number of bytes
 *
 * For frames of which there is at most one for each frame of
 * conn_send_frame(), so that the output stays bounded.
 */
void conn_send_control(
    struct conn *c, uint8_t type, const uint8_t *body, size_t len);

/**
 * conn_close() - close a connection
 * @c: the connection; on_closed() is not called
 *
 * Makes one attempt to write the pending output and discards the rest.
 */
void conn_close(struct conn *c);

/**
 * conn_finish() - close a connection gracefully
 * @c: the connection; its handler receives no further callbacks; a connection
 *	that is not established yet is closed at once
 *
 * Writes the pending output, shuts down the write direction, and closes the
 * connection when the peer closes its side or stalls.
 */
void conn_finish(struct conn *c);

/** conn_output_bytes() - bytes in the output buffer */
size_t conn_output_bytes(const struct conn *c);

/** conn_id() - identifier of the connection, unique in the process, never 0 */
uint64_t conn_id(const struct conn *c);

/** conn_peer() - address of the peer */
struct net_addr conn_peer(const struct conn *c);

/** conn_is_open() - whether the connection is established */
bool conn_is_open(const struct conn *c);

/**
 * conn_last_received_ms() - time at which data was last received
 * @c: the connection
 *
 * Return: monotonic time; the time of establishment if no data was received.
 */
uint64_t conn_last_received_ms(const struct conn *c);

/** conn_sent_bytes() - bytes written so far */
uint64_t conn_sent_bytes(const struct conn *c);

/** conn_received_bytes() - bytes read so far */
uint64_t conn_received_bytes(const struct conn *c);

/** conn_arg() - the owner's argument */
void *conn_arg(const struct conn *c);

/** conn_set_arg() - change the owner's argument */
void conn_set_arg(struct conn *c, void *arg);

#endif
