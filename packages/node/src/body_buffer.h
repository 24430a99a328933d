/*
 * Buffer of a body: a part of a byte stream in blocks.
 *
 * Small appends share a block, so that the memory follows the bytes and not the
 * number of appends.
 */
#ifndef BODY_BUFFER_H
#define BODY_BUFFER_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/**
 * struct body_buffer - a part of a body
 * @blocks: struct body_block
 * @first_bytes: offset of the first byte that is held
 * @end_bytes: offset past the last byte
 * @held_bytes: allocated memory
 */
struct body_buffer {
	GQueue blocks;
	uint64_t first_bytes;
	uint64_t end_bytes;
	uint64_t held_bytes;
};

/** body_buffer_init() - an empty buffer at offset 0 */
void body_buffer_init(struct body_buffer *b);

/** body_buffer_clear() - free all blocks */
void body_buffer_clear(struct body_buffer *b);

/** body_buffer_append() - append a copy of @len bytes */
void body_buffer_append(struct body_buffer *b, const uint8_t *data, size_t len);

/**
 * body_buffer_at() - bytes from an offset on
 * @b: the buffer
 * @at_bytes: the offset, not below @first_bytes
 * @len: receives the number of bytes that follow in one piece
 *
 * Return: the bytes, valid until they are released; NULL at the end.
 */
const uint8_t *
body_buffer_at(const struct body_buffer *b, uint64_t at_bytes, size_t *len);

/** body_buffer_copy() - append the first bytes that are held, @max_bytes at
 * most, to an array */
void body_buffer_copy(
    const struct body_buffer *b, size_t max_bytes, GByteArray *out);

/** body_buffer_release() - free the blocks that end at or before an offset */
void body_buffer_release(struct body_buffer *b, uint64_t to_bytes);

/**
 * body_buffer_move() - move the first block of another buffer to the end
 * @to: the buffer
 * @from: the other one
 *
 * Return: the number of bytes moved, 0 if @from is empty.
 */
size_t body_buffer_move(struct body_buffer *to, struct body_buffer *from);

/** body_buffer_bytes() - number of bytes in the blocks */
uint64_t body_buffer_bytes(const struct body_buffer *b);

#endif
