/*
 * HTTP headers in the call path: owned copies, and the rule which of them are
 * forwarded.
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
 * @items: struct rec_header; names and values end with a NUL
 * @text: storage of the names and values
 */
struct call_headers {
	GArray *items;
	GStringChunk *text;
};

/** call_headers_init() - initialise an empty list; free with
 * call_headers_clear() */
void call_headers_init(struct call_headers *h);

/** call_headers_clear() - free the contents of the list */
void call_headers_clear(struct call_headers *h);

/**
 * call_headers_add() - append a copy of a header
 * @h: the list
 * @name: first byte of the name
 * @name_len: bytes in @name
 * @value: first byte of the value
 * @value_len: bytes in @value
 *
 * The number of bytes isn't checked here: the limit of the message's head
 * bounds it.
 *
 * Return: false when the list is full, or the name or value is longer than a
 * message allows.
 */
bool call_headers_add(struct call_headers *h, const char *name,
    uint32_t name_len, const char *value, uint32_t value_len);

/** call_headers_count() - number of headers */
uint32_t call_headers_count(const struct call_headers *h);

/** call_headers_at() - header @i of the list */
const struct rec_header *
call_headers_at(const struct call_headers *h, uint32_t i);

/** call_headers_rec() - all headers as an array for a message */
struct rec_header *call_headers_rec(const struct call_headers *h);

/**
 * call_headers_conn_options() - the options in a Connection header (RFC 9110,
 * 7.6.1)
 * @connection: its value, or NULL
 *
 * The options are kept in a tree and not in a hash table: a head may have
 * thousands of headers and a Connection header thousands of options, which a
 * caller may choose so that their hashes collide.
 *
 * Return: the header names, for call_headers_conn_options_free(); NULL when the
 * header has no options, or only "close" and "keep-alive".
 */
GTree *call_headers_conn_options(const char *connection);

/** call_headers_conn_options_free() - free the options; NULL is allowed */
void call_headers_conn_options_free(GTree *names);

/**
 * call_header_is_forwarded() - whether a header is forwarded
 * @name: name, ends with a NUL
 * @named: call_headers_conn_options() of the message's Connection header
 * @prefix: prefix of the names of this system's own headers
 * @kept: names with this prefix that are forwarded; ends with NULL
 *
 * Not forwarded are hop-by-hop headers, those listed in Connection,
 * Content-Length and this system's own headers.
 */
bool call_header_is_forwarded(const char *name, GTree *named,
    const char *prefix, const char *const *kept);

#endif
