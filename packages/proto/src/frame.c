/*
 * Framing of messages, and the reader that splits a byte stream into frames.
 */
#include <string.h>

#include "proto/frame.h"

#define READER_MIN_BYTES 4096

/* A reader without data frees a buffer that is larger than this. */
#define READER_KEEP_BYTES (64U << 10)

void
frame_append(
    GByteArray *out, enum msg_type type, const uint8_t *body, size_t body_len)
{
	uint32_t len = GUINT32_TO_BE((uint32_t)body_len + 1);

	(void)g_byte_array_append(out, (const guint8 *)&len, sizeof(len));
	datagram_append(out, type, body, body_len);
}

void
datagram_append(
    GByteArray *out, enum msg_type type, const uint8_t *body, size_t body_len)
{
	uint8_t type_byte = (uint8_t)type;

	(void)g_byte_array_append(out, &type_byte, sizeof(type_byte));
	(void)g_byte_array_append(out, body, (guint)body_len);
}

enum status
datagram_parse(const uint8_t *data, size_t len, struct frame *frame)
{
	if (len == 0)
		return status_set(STATUS_INVALID,
		    "A datagram is empty; the sender may not be a node.");
	frame->type = data[0];
	frame->body = data + 1;
	frame->body_len = len - 1;
	return STATUS_OK;
}

void
frame_reader_init(struct frame_reader *r, uint32_t max_bytes)
{
	memset(r, 0, sizeof(*r));
	r->max_bytes = max_bytes;
}

void
frame_reader_clear(struct frame_reader *r)
{
	g_free(r->buffer);
	memset(r, 0, sizeof(*r));
}

/* Moves unread bytes to the front, and frees a large buffer that is empty. */
static void
reader_compact(struct frame_reader *r)
{
	size_t unread = r->end - r->start;

	if (unread > 0 && r->start > 0)
		memmove(r->buffer, r->buffer + r->start, unread);
	r->start = 0;
	r->end = unread;
	if (unread == 0 && r->capacity > READER_KEEP_BYTES) {
		g_free(r->buffer);
		r->buffer = NULL;
		r->capacity = 0;
	}
}

uint8_t *
frame_reader_space(struct frame_reader *r, size_t want)
{
	size_t need;

	reader_compact(r);
	need = r->end + want;
	if (need > r->capacity) {
		r->capacity = MAX(need, 2 * r->capacity);
		r->capacity = MAX(r->capacity, READER_MIN_BYTES);
		r->buffer = g_realloc(r->buffer, r->capacity);
	}
	return r->buffer + r->end;
}

void
frame_reader_commit(struct frame_reader *r, size_t n)
{
	g_assert(n <= r->capacity - r->end);
	r->end += n;
}

void
frame_reader_push(struct frame_reader *r, const uint8_t *data, size_t len)
{
	if (len == 0)
		return;
	memcpy(frame_reader_space(r, len), data, len);
	frame_reader_commit(r, len);
}

enum frame_result
frame_reader_next(struct frame_reader *r, struct frame *frame)
{
	size_t unread = r->end - r->start;
	uint32_t len;

	if (unread < FRAME_LENGTH_BYTES)
		return FRAME_NONE;
	memcpy(&len, r->buffer + r->start, sizeof(len));
	len = GUINT32_FROM_BE(len);
	/* The bytes stay in the buffer, so that later calls fail as well. */
	if (len == 0 || len > r->max_bytes)
		return FRAME_BAD;
	if (unread - FRAME_LENGTH_BYTES < len)
		return FRAME_NONE;
	frame->type = r->buffer[r->start + FRAME_LENGTH_BYTES];
	frame->body = r->buffer + r->start + FRAME_HEADER_BYTES;
	frame->body_len = len - 1;
	r->start += FRAME_LENGTH_BYTES + (size_t)len;
	return FRAME_READY;
}
