/*
 * Compression of large message bodies.
 *
 * A change of 1,600 routes is 240 KB of difference, 0.4 s on a link of 5 Mbit/s
 * that nobody else uses; names repeat in it, and LZ4 makes a quarter of it.
 */
#ifndef PROTO_PACK_H
#define PROTO_PACK_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** PACK_MIN_BYTES - a shorter body gains nothing that is worth the work */
#define PACK_MIN_BYTES 4096

/** PACK_MAX_BYTES - the longest body that is unpacked: that of a frame */
#define PACK_MAX_BYTES (1024U * 1024U)

/**
 * pack_encode() - compress a body
 * @data: the body
 * @len: its length in bytes
 *
 * Return: the compressed bytes, to be freed by the caller; NULL when it is
 * shorter than PACK_MIN_BYTES, longer than PACK_MAX_BYTES, or doesn't get
 * shorter.
 */
GByteArray *pack_encode(const uint8_t *data, size_t len);

/**
 * pack_decode() - the body that was compressed
 * @data: compressed bytes; not trusted
 * @len: their number
 * @bytes: length of the body, as the sender says
 *
 * Return: the body, to be freed by the caller; NULL when @data is not what
 * compressed a body of @bytes, or @bytes is above PACK_MAX_BYTES.
 */
GByteArray *pack_decode(const uint8_t *data, size_t len, uint32_t bytes);

#endif
