/*
 * HTTP headers on their way through the call path: owned copies, and which
 * of them are not passed on.
 */
#ifndef CALL_HEADERS_H
#define CALL_HEADERS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "call_proto.h"

#define HEADER_KEY "Idempotency-Key"
#define HEADER_RETRY_AFTER "Retry-After"

/**
 * struct call_headers - an owned list of headers
 * @items: struct rec_header; names and values are zero-terminated
 * @text: what the items point into
 */
struct call_headers {
	GArray *items;
	GStringChunk *text;
};

/** call_headers_init() - an empty list; free with call_headers_clear() */
void call_headers_init(struct call_headers *h);

/** call_headers_clear() - free what the list holds */
void call_headers_clear(struct call_headers *h);

/**
 * call_headers_add() - append a copy of a header
 * @h: the list
 * @name: first byte of the name
 * @name_len: bytes in @name
 * @value: first byte of the value
 * @value_len: bytes in @value
 *
 * What comes here was bounded by the size of its head.
 *
 * Return: false when no message can carry it.
 */
bool call_headers_add(struct call_headers *h, const char *name,
    uint32_t name_len, const char *value, uint32_t value_len);

/** call_headers_count() - number of headers */
uint32_t call_headers_count(const struct call_headers *h);

/** call_headers_at() - header @i of the list */
const struct rec_header *
call_headers_at(const struct call_headers *h, uint32_t i);

/** call_headers_rec() - all headers, as messages hold them */
struct rec_header *call_headers_rec(const struct call_headers *h);

/**
 * call_headers_conn_options() - what a Connection header names
 * @connection: its value, or NULL
 *
 * A tree, since a head may have thousands of lines and such a list thousands of
 * names, which a caller may choose so that they share one hash.
 *
 * Return: the names, for call_headers_conn_options_free(); NULL when no header
 * that would be passed on is among them.
 */
GTree *call_headers_conn_options(const char *connection);

/** call_headers_conn_options_free() - free names; NULL is allowed */
void call_headers_conn_options_free(GTree *names);

/**
 * call_header_is_forwarded() - whether a header is passed on
 * @name: zero-terminated name
 * @named: call_headers_conn_options() of the message's Connection header
 * @prefix: beginning of the names of this system's own headers
 * @kept: names with this beginning that pass; ends with NULL
 *
 * Hop-by-hop headers, those named by Connection, the length of the body and
 * headers of this system are not.
 */
bool call_header_is_forwarded(const char *name, GTree *named,
    const char *prefix, const char *const *kept);

#endif
