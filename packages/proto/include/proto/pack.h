/*
 * Compression of large message bodies.
 *
 * The difference of a change of 1,600 routes has 240 KB, which takes 0.4 s on
 * an otherwise unused link of 5 Mbit/s.  Names repeat in such data, and LZ4
 * compresses the difference to a quarter of its size.
 */
#ifndef PROTO_PACK_H
#define PROTO_PACK_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/** PACK_MIN_BYTES - minimum length for which compression is worth its cost */
#define PACK_MIN_BYTES 4096

/** PACK_MAX_BYTES - maximum length of an uncompressed body: that of a frame */
#define PACK_MAX_BYTES (1024U * 1024U)

/**
 * pack_encode() - compress a body
 * @data: the body
 * @len: its length in bytes
 *
 * Return: the compressed bytes, to be freed by the caller; NULL when the body
 * is shorter than PACK_MIN_BYTES, longer than PACK_MAX_BYTES, or
 * incompressible.
 */
GByteArray *pack_encode(const uint8_t *data, size_t len);

/**
 * pack_decode() - decompress a body
 * @data: compressed bytes; untrusted
 * @len: number of compressed bytes
 * @bytes: length of the uncompressed body, as given by the sender
 *
 * Return: the body, to be freed by the caller; NULL when @data does not
 * decompress to exactly @bytes, or @bytes exceeds PACK_MAX_BYTES.
 */
GByteArray *pack_decode(const uint8_t *data, size_t len, uint32_t bytes);

#endif
