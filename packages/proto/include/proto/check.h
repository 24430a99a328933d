/*
 * Validation of untrusted msgpack data before a library unpacks it.
 */
#ifndef PROTO_CHECK_H
#define PROTO_CHECK_H

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

/* Maximum nesting depth of arrays and maps. */
#define PROTO_DEPTH_MAX 8

/* Maximum size of a message body. */
#define PROTO_BODY_MAX_BYTES (16U << 20)

/**
 * proto_check() - whether a message body is safe to unpack
 * @data: the body
 * @len: number of bytes
 *
 * The body must be exactly one msgpack object of at most
 * PROTO_BODY_MAX_BYTES, nested at most PROTO_DEPTH_MAX deep, whose containers
 * declare no more elements than there are bytes left.  Extension and
 * floating-point types are rejected, because no message uses them.  The check
 * allocates no memory.
 *
 * Return: STATUS_OK, STATUS_TOO_LARGE or STATUS_INVALID.
 */
enum status proto_check(const uint8_t *data, size_t len);

#endif
