/*
 * Fingerprint of a call: entry and guard compute the same fingerprint.
 */
#ifndef CALL_PRINT_H
#define CALL_PRINT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "node/call_dialect.h"
#include "traffic/fingerprint.h"

#include "body_buffer.h"
#include "call_headers.h"

/**
 * struct call_print_parts - the parts of a call that its fingerprint covers
 * @dialect: header names
 * @method: HTTP method
 * @path: path and query
 * @headers: headers that are forwarded
 * @address: address of the caller, which identifies the caller when no header
 *	does
 * @body_bytes: length of the body, -1 when unknown
 * @body: the body as far as it was received, from its first byte
 * @whole: the body is complete
 */
struct call_print_parts {
	const struct call_dialect *dialect;
	const char *method;
	const char *path;
	const struct call_headers *headers;
	const char *address;
	int64_t body_bytes;
	const struct body_buffer *body;
	bool whole;
};

/** call_print_ready() - whether enough of the body was received */
bool call_print_ready(const struct call_print_parts *p);

/** call_print_caller() - service or address of the caller */
const char *call_print_caller(const struct call_print_parts *p);

/** call_print() - compute the fingerprint; call_print_ready() must be true */
void call_print(const struct call_print_parts *p, struct fingerprint *out);

#endif
