/*
 * Framing of messages in datagrams and byte streams.
 *
 * A datagram is one type byte and the msgpack body.  A frame is the length
 * of the rest in four bytes, most significant first, the type byte and the
 * body.  Unknown types are passed to the caller, which can ignore messages of
 * newer releases.
 */
#ifndef PROTO_FRAME_H
#define PROTO_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/status.h"
#include "proto/messages.h"

/* Size of the length field, and size of everything before the body. */
#define FRAME_LENGTH_BYTES 4
#define FRAME_HEADER_BYTES (FRAME_LENGTH_BYTES + 1)

/**
 * struct frame - a message with its type
 * @type: type byte; may be unknown to enum msg_type
 * @body: msgpack body, borrowed
 * @body_len: number of bytes in @body
 */
struct frame {
	uint8_t type;
	const uint8_t *body;
	size_t body_len;
};

/**
 * enum frame_result - result of frame_reader_next()
 * @FRAME_NONE: no complete frame; add more bytes
 * @FRAME_READY: a complete frame
 * @FRAME_BAD: a length of zero or above the maximum; close the connection
 */
enum frame_result {
	FRAME_NONE = 0,
	FRAME_READY,
	FRAME_BAD,
};

/**
 * struct frame_reader - splits a byte stream into frames
 * @buffer: received bytes
 * @capacity: allocated size of @buffer
 * @start: offset of the first byte not returned yet
 * @end: offset past the last received byte
 * @max_bytes: maximum value of the length field
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
 * frame_append() - append a frame to a byte array
 * @out: the byte array
 * @type: type of the message
 * @body: encoded message
 * @body_len: number of bytes in @body, less than UINT32_MAX
 */
void frame_append(
    GByteArray *out, enum msg_type type, const uint8_t *body, size_t body_len);

/** datagram_append() - like frame_append(), without the length field */
void datagram_append(
    GByteArray *out, enum msg_type type, const uint8_t *body, size_t body_len);

/**
 * datagram_parse() - split a datagram into type and body
 * @data: the datagram
 * @len: number of bytes in the datagram
 * @frame: type and body; the body is borrowed from @data
 *
 * Return: STATUS_OK, or STATUS_INVALID for an empty datagram.
 */
enum status
datagram_parse(const uint8_t *data, size_t len, struct frame *frame);

/**
 * frame_reader_init() - initialise a reader
 * @r: the reader; free its buffer with frame_reader_clear()
 * @max_bytes: maximum value of the length field (type byte and body)
 */
void frame_reader_init(struct frame_reader *r, uint32_t max_bytes);

/** frame_reader_clear() - free the reader's buffer */
void frame_reader_clear(struct frame_reader *r);

/**
 * frame_reader_space() - get buffer space for receiving
 * @r: the reader
 * @want: minimum number of bytes
 *
 * Invalidates the bodies returned before.  Call frame_reader_commit() after
 * the bytes have been stored.
 *
 * Return: pointer to at least @want bytes of space.
 */
uint8_t *frame_reader_space(struct frame_reader *r, size_t want);

/** frame_reader_commit() - add @n bytes stored in frame_reader_space() */
void frame_reader_commit(struct frame_reader *r, size_t n);

/**
 * frame_reader_push() - add a copy of received bytes
 * @r: the reader
 * @data: the bytes
 * @len: number of bytes
 *
 * Invalidates the bodies returned before.
 */
void frame_reader_push(struct frame_reader *r, const uint8_t *data, size_t len);

/**
 * frame_reader_next() - get the next frame
 * @r: the reader
 * @frame: the frame; its body is valid until bytes are added
 *
 * Before adding more bytes, call this function until the result is FRAME_NONE,
 * so that the buffer never holds more than one incomplete frame and the bytes
 * received last.
 *
 * Return: enum frame_result; after FRAME_BAD every call returns FRAME_BAD.
 */
enum frame_result
frame_reader_next(struct frame_reader *r, struct frame *frame);

#endif
