/*
 * Header lines of an HTTP message while it is parsed, for client and server.
 */
#ifndef NET_HTTP_HEAD_H
#define NET_HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <http_parser.h>

#include "net/http.h"

/* Maximum number of header lines of an answer; an answer with more fails. */
#define HTTP_RESPONSE_LINES_MAX 128

/* No limit on lines, only on bytes: http_parser accepts heads of at most 80 KiB
 * and a line has at least 4 bytes, so a head has at most 20,480 lines. */
#define HTTP_LINES_UNBOUNDED UINT32_MAX

/**
 * struct http_head - header lines parsed so far
 * @text: names and values, each zero-terminated
 * @offsets: offsets of names and values in @text, alternating
 * @bytes: total bytes of the lines
 * @bytes_max: maximum of @bytes
 * @lines_max: maximum number of lines
 * @in_value: the last piece belonged to a value
 */
struct http_head {
	GString *text;
	GArray *offsets;
	uint32_t bytes;
	uint32_t bytes_max;
	uint32_t lines_max;
	bool in_value;
};

/** http_head_init() - initialise an empty head with limits */
void
http_head_init(struct http_head *h, uint32_t bytes_max, uint32_t lines_max);

/** http_head_clear() - free the memory of a head */
void http_head_clear(struct http_head *h);

/** http_head_reset() - remove all lines */
void http_head_reset(struct http_head *h);

/** http_head_name() - add a piece of a name; returns -1 above a limit, else 0
 */
int http_head_name(struct http_head *h, const char *at, size_t len);

/** http_head_value() - add a piece of a value; returns -1 above the limit */
int http_head_value(struct http_head *h, const char *at, size_t len);

/** http_head_count() - number of lines */
uint32_t http_head_count(const struct http_head *h);

/**
 * http_head_lines() - get all lines
 * @h: the head; the lines point into it
 * @lines: array of at least http_head_count() elements
 *
 * Return: number of lines.
 */
uint32_t http_head_lines(struct http_head *h, struct http_header *lines);

/**
 * http_head_valid() - whether all lines are valid HTTP header lines
 * @lines: the lines
 * @n: number of lines
 *
 * Names must be tokens, and values must not contain control characters except
 * tabs; other implementations could parse such lines differently.
 */
bool http_head_valid(const struct http_header *lines, uint32_t n);

/**
 * http_head_has_plain_coding() - whether a body is chunked or has no transfer
 * coding at all
 * @p: parser that has read the head
 * @lines: the lines
 * @n: number of lines
 *
 * Implementations differ in where other bodies end, and in what Content-Length
 * beside chunks or chunks in HTTP/1.0 mean.
 */
bool http_head_has_plain_coding(
    const http_parser *p, const struct http_header *lines, uint32_t n);

/** http_is_token() - whether a string is an HTTP token (header name, method) */
bool http_is_token(const char *s);

/** http_head_find() - value of the first header named @name, or NULL */
const char *
http_head_find(const struct http_header *lines, uint32_t n, const char *name);

#endif
