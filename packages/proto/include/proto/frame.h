/*
 * Envelopes of messages: datagrams and frames of a byte stream.
 *
 * A datagram is one type byte and the msgpack body.  A frame is the length
 * of the rest in four bytes, most significant first, the type byte and the
 * body.  Types that this program does not know pass through, so that a newer
 * peer can be ignored.
 */
#ifndef PROTO_FRAME_H
#define PROTO_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/status.h"
#include "proto/messages.h"

/* Bytes before the type byte, and bytes before the body. */
#define FRAME_LENGTH_BYTES 4
#define FRAME_HEADER_BYTES (FRAME_LENGTH_BYTES + 1)

/**
 * struct frame - one message in its envelope
 * @type: type byte; may be a type that enum msg_type does not name
 * @body: msgpack body, borrowed
 * @body_len: number of bytes in @body
 */
struct frame {
	uint8_t type;
	const uint8_t *body;
	size_t body_len;
};

/**
 * enum frame_result - what frame_reader_next() found
 * @FRAME_NONE: no whole frame yet; add more bytes
 * @FRAME_READY: a frame
 * @FRAME_BAD: a length of zero or above the maximum; close the connection
 */
enum frame_result {
	FRAME_NONE = 0,
	FRAME_READY,
	FRAME_BAD,
};

/**
 * struct frame_reader - cuts a byte stream into frames
 * @buffer: bytes that came in
 * @capacity: allocated size of @buffer
 * @start: first byte not handed out yet
 * @end: one past the last byte that came in
 * @max_bytes: largest length field that is taken
 *
 * The fields are private.
 */
struct frame_reader {
	uint8_t *buffer;
	size_t capacity;
	size_t start;
	size_t end;
	uint32_t max_bytes;
};

/**
 * frame_append() - add a frame to a byte array
 * @out: the byte array
 * @type: type of the message
 * @body: encoded message
 * @body_len: number of bytes in @body, less than UINT32_MAX
 */
void frame_append(
    GByteArray *out, enum msg_type type, const uint8_t *body, size_t body_len);

/** datagram_append() - like frame_append(), without the length */
void datagram_append(
    GByteArray *out, enum msg_type type, const uint8_t *body, size_t body_len);

/**
 * datagram_parse() - split a datagram
 * @data: the datagram
 * @len: number of bytes in it
 * @frame: type and body; the body is borrowed from @data
 *
 * Return: STATUS_OK, or STATUS_INVALID when it is empty.
 */
enum status
datagram_parse(const uint8_t *data, size_t len, struct frame *frame);

/**
 * frame_reader_init() - prepare a reader
 * @r: the reader; free its buffer with frame_reader_clear()
 * @max_bytes: largest length field that is taken (type byte and body)
 */
void frame_reader_init(struct frame_reader *r, uint32_t max_bytes);

/** frame_reader_clear() - free the reader's buffer */
void frame_reader_clear(struct frame_reader *r);

/**
 * frame_reader_space() - room to receive bytes into
 * @r: the reader
 * @want: number of bytes that must fit
 *
 * Bodies handed out before are no longer valid.  Follow with
 * frame_reader_commit().
 *
 * Return: where at least @want bytes fit.
 */
uint8_t *frame_reader_space(struct frame_reader *r, size_t want);

/** frame_reader_commit() - @n bytes were put into frame_reader_space() */
void frame_reader_commit(struct frame_reader *r, size_t n);

/**
 * frame_reader_push() - add bytes of the stream; they are copied
 * @r: the reader
 * @data: the bytes
 * @len: number of bytes
 *
 * Bodies handed out before are no longer valid.
 */
void frame_reader_push(struct frame_reader *r, const uint8_t *data, size_t len);

/**
 * frame_reader_next() - take the next frame
 * @r: the reader
 * @frame: the frame; its body is valid until bytes are added
 *
 * Call until it returns FRAME_NONE before adding more bytes, so that the
 * buffer holds at most one frame and what was received with it.
 *
 * Return: enum frame_result; after FRAME_BAD it is FRAME_BAD for good.
 */
enum frame_result
frame_reader_next(struct frame_reader *r, struct frame *frame);

#endif
