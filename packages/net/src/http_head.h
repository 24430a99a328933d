/*
 * The head of an HTTP message while a parser reads it, for both sides.
 */
#ifndef NET_HTTP_HEAD_H
#define NET_HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "net/http.h"

/* Header lines of an answer that are handed on; more of them fail it. */
#define HTTP_RESPONSE_LINES_MAX 128

/* The head is bounded by its bytes alone: http_parser reads no head above
 * 80 KiB, and a line has 4 bytes at least, so 20,480 lines at most. */
#define HTTP_LINES_UNBOUNDED UINT32_MAX

/**
 * struct http_head - header lines read so far
 * @text: names and values, each zero-terminated
 * @offsets: offsets of names and values in @text, by turns
 * @bytes: bytes of the lines, to bound them
 * @bytes_max: most bytes that are taken
 * @lines_max: most lines that are taken
 * @in_value: the last piece was one of a value
 */
struct http_head {
	GString *text;
	GArray *offsets;
	uint32_t bytes;
	uint32_t bytes_max;
	uint32_t lines_max;
	bool in_value;
};

/** http_head_init() - an empty head of at most that many bytes and lines */
void
http_head_init(struct http_head *h, uint32_t bytes_max, uint32_t lines_max);

/** http_head_clear() - free what it holds */
void http_head_clear(struct http_head *h);

/** http_head_reset() - forget all lines */
void http_head_reset(struct http_head *h);

/** http_head_name() - a piece of a name came; Return: 0, or -1: too much */
int http_head_name(struct http_head *h, const char *at, size_t len);

/** http_head_value() - a piece of a value came; Return: 0, or -1: too much */
int http_head_value(struct http_head *h, const char *at, size_t len);

/** http_head_count() - number of lines */
uint32_t http_head_count(const struct http_head *h);

/**
 * http_head_lines() - all lines
 * @h: the head; the lines point into it
 * @lines: room for http_head_count()
 *
 * Return: number of lines.
 */
uint32_t http_head_lines(struct http_head *h, struct http_header *lines);

/**
 * http_head_valid() - whether all lines read alike to everybody
 * @lines: the lines
 * @n: number of lines
 *
 * Names must be tokens, and values hold no control characters but tabs.
 */
bool http_head_valid(const struct http_header *lines, uint32_t n);

/** http_is_token() - whether a text can be a header's name or a method */
bool http_is_token(const char *s);

/** http_head_find() - value of the first header of that name, or NULL */
const char *
http_head_find(const struct http_header *lines, uint32_t n, const char *name);

#endif
