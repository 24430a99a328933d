/*
 * Header lines of an HTTP message while it is parsed, for client and server.
 */
#include <string.h>
#include <strings.h>

#include "http_head.h"

/* What a line has besides its name and value: a colon and its end. */
#define LINE_MIN_BYTES 2

void
http_head_init(struct http_head *h, uint32_t bytes_max, uint32_t lines_max)
{
	h->text = g_string_new(NULL);
	h->offsets = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	h->bytes_max = bytes_max;
	h->lines_max = lines_max;
	http_head_reset(h);
}

void
http_head_clear(struct http_head *h)
{
	if (h->text == NULL)
		return;
	g_string_free(h->text, TRUE);
	g_array_free(h->offsets, TRUE);
	h->text = NULL;
}

void
http_head_reset(struct http_head *h)
{
	g_string_truncate(h->text, 0);
	g_array_set_size(h->offsets, 0);
	h->bytes = 0;
	h->in_value = true;
}

static int
count(struct http_head *h, size_t len)
{
	h->bytes += (uint32_t)len;
	return h->bytes > h->bytes_max ? -1 : 0;
}

/* Starts the next name or value. */
static void
begin_string(struct http_head *h)
{
	uint32_t place;

	if (h->offsets->len > 0)
		g_string_append_c(h->text, '\0');
	place = (uint32_t)h->text->len;
	g_array_append_val(h->offsets, place);
}

int
http_head_name(struct http_head *h, const char *at, size_t len)
{
	if (count(h, h->in_value ? LINE_MIN_BYTES + len : len) < 0)
		return -1;
	if (h->in_value) {
		/* The previous name has no value: add an empty one. */
		if (h->offsets->len % 2 != 0)
			begin_string(h);
		if (h->offsets->len / 2 >= h->lines_max)
			return -1;
		begin_string(h);
		h->in_value = false;
	}
	g_string_append_len(h->text, at, (gssize)len);
	return 0;
}

int
http_head_value(struct http_head *h, const char *at, size_t len)
{
	if (count(h, len) < 0)
		return -1;
	if (!h->in_value) {
		begin_string(h);
		h->in_value = true;
	}
	g_string_append_len(h->text, at, (gssize)len);
	return 0;
}

static char *
string_at(const struct http_head *h, guint i)
{
	return h->text->str + g_array_index(h->offsets, uint32_t, i);
}

/* Strips trailing whitespace; the parser strips only leading whitespace. */
static const char *
value_at(const struct http_head *h, guint i)
{
	char *value = string_at(h, i);
	size_t len = strlen(value);

	while (len > 0 && (value[len - 1] == ' ' || value[len - 1] == '\t'))
		value[--len] = '\0';
	return value;
}

/* A last name without a value counts as a line with an empty value. */
uint32_t
http_head_count(const struct http_head *h)
{
	return (h->offsets->len + 1) / 2;
}

uint32_t
http_head_lines(struct http_head *h, struct http_header *lines)
{
	uint32_t i, n;

	if (h->offsets->len % 2 != 0)
		begin_string(h);
	n = h->offsets->len / 2;
	for (i = 0; i < n; i++) {
		lines[i].name = string_at(h, 2 * i);
		lines[i].value = value_at(h, 2 * i + 1);
	}
	return n;
}

bool
http_is_token(const char *s)
{
	const char *p;

	for (p = s; *p != '\0'; p++)
		if (!g_ascii_isalnum(*p) &&
		    strchr("!#$%&'*+-.^_`|~", *p) == NULL)
			return false;
	return p != s;
}

static bool
is_valid_value(const char *s)
{
	for (; *s != '\0'; s++)
		if (g_ascii_iscntrl(*s) && *s != '\t')
			return false;
	return true;
}

bool
http_header_is_valid(const char *name, const char *value)
{
	return http_is_token(name) && is_valid_value(value);
}

bool
http_head_valid(const struct http_header *lines, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		if (!http_header_is_valid(lines[i].name, lines[i].value))
			return false;
	return true;
}

bool
http_head_has_plain_coding(
    const http_parser *p, const struct http_header *lines, uint32_t n)
{
	bool chunked = false;
	uint32_t i;

	for (i = 0; i < n; i++) {
		if (strcasecmp(lines[i].name, "Transfer-Encoding") != 0)
			continue;
		if (chunked || strcasecmp(lines[i].value, "chunked") != 0)
			return false;
		chunked = true;
	}
	return !chunked ||
	    (p->http_minor > 0 &&
		http_head_find(lines, n, "Content-Length") == NULL);
}

const char *
http_head_find(const struct http_header *lines, uint32_t n, const char *name)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		if (strcasecmp(lines[i].name, name) == 0)
			return lines[i].value;
	return NULL;
}
