/*
 * Bounds check of msgpack that a peer sent, before a library unpacks it.
 */
#ifndef PROTO_CHECK_H
#define PROTO_CHECK_H

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

/* Deepest nesting of arrays and maps that is taken. */
#define PROTO_DEPTH_MAX 8

/* Largest message body that is taken. */
#define PROTO_BODY_MAX_BYTES (16U << 20)

/**
 * proto_check() - whether a message body is safe to unpack
 * @data: the body
 * @len: number of bytes
 *
 * The body must be exactly one msgpack object of at most
 * PROTO_BODY_MAX_BYTES, nested at most PROTO_DEPTH_MAX deep, whose containers
 * claim no more elements than bytes are left.  Extension and floating-point
 * types are refused: no message uses them.  Nothing is allocated.
 *
 * Return: STATUS_OK, STATUS_TOO_LARGE or STATUS_INVALID.
 */
enum status proto_check(const uint8_t *data, size_t len);

#endif
