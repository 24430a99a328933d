/*
 * HTTP client: validation of a request and formatting of its head.
 */
#include <inttypes.h>
#include <string.h>
#include <strings.h>

#include "http_priv.h"

#define URL_SCHEME "http://"
#define HTTP_PORT 80

/* Headers that the client sets itself. */
static const char *const own_headers[] = {
    "Connection", "Content-Length", "Expect", "Host", "Transfer-Encoding"};

static bool
is_value(const char *s)
{
	return strpbrk(s, "\r\n") == NULL;
}

static bool
is_path(const char *s)
{
	for (; *s != '\0'; s++)
		if (!g_ascii_isgraph(*s) && (unsigned char)*s < 0x80)
			return false;
	return true;
}

static bool
is_own(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(own_headers); i++)
		if (strcasecmp(name, own_headers[i]) == 0)
			return true;
	return false;
}

static enum status
read_authority(const char *text, struct net_addr *to)
{
	char *copy;
	enum status st;

	if (strchr(text, ':') != NULL)
		return addr_parse(text, to);
	copy = g_strdup_printf("%s:%d", text, HTTP_PORT);
	st = addr_parse(copy, to);
	g_free(copy);
	return st;
}

/*
 * Splits a URL into address, host and path.  @path points into @url; the
 * caller frees @host.
 */
static enum status
read_url(const char *url, struct net_addr *to, char **host, const char **path)
{
	const char *authority = url + strlen(URL_SCHEME);

	if (!g_str_has_prefix(url, URL_SCHEME) || !is_path(url))
		return STATUS_INVALID;
	*path = strchr(authority, '/');
	if (*path == NULL)
		return STATUS_INVALID;
	*host = g_strndup(authority, (gsize)(*path - authority));
	return read_authority(*host, to);
}

static void
add(struct http_call *call, const char *text)
{
	g_byte_array_append(
	    call->head, (const guint8 *)text, (guint)strlen(text));
}

static void
add_line(struct http_call *call, const char *name, const char *value)
{
	add(call, name);
	add(call, *value != '\0' ? ": " : ":");
	add(call, value);
	add(call, "\r\n");
}

/* Value of the request's Host header, else the URL's authority. */
static const char *
host_of(const struct http_request *r, const char *authority)
{
	uint32_t i;

	for (i = 0; i < r->n_headers; i++)
		if (strcasecmp(r->headers[i].name, "Host") == 0 &&
		    is_value(r->headers[i].value))
			return r->headers[i].value;
	return authority;
}

static enum status
add_headers(struct http_call *call, const struct http_request *r)
{
	const struct http_header *h;
	uint32_t i;

	for (i = 0; i < r->n_headers; i++) {
		h = &r->headers[i];
		if (!http_is_token(h->name) || !is_value(h->value))
			return status_set(STATUS_INVALID,
			    "A header's name or value is invalid; remove line "
			    "breaks, and spaces in names.");
		if (!is_own(h->name))
			add_line(call, h->name, h->value);
	}
	return STATUS_OK;
}

static bool
method_has_body(const char *method)
{
	return strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0 ||
	    strcmp(method, "PATCH") == 0;
}

static void
add_length(struct http_call *call, const struct http_request *r)
{
	char text[sizeof("18446744073709551615")];
	bool has_body = r->pulled || r->body != NULL;

	if (call->chunked) {
		add_line(call, "Transfer-Encoding", "chunked");
		return;
	}
	if (!has_body && !method_has_body(r->method))
		return;
	(void)g_snprintf(text, sizeof(text), "%" PRIu64,
	    has_body ? r->body_bytes : UINT64_C(0));
	add_line(call, "Content-Length", text);
}

static enum status
write_head(struct http_call *call, const struct http_request *r,
    const char *host, const char *path)
{
	enum status st;

	add(call, r->method);
	add(call, " ");
	add(call, path);
	add(call, " HTTP/1.1\r\n");
	add_line(call, "Host", host);
	st = add_headers(call, r);
	if (st != STATUS_OK)
		return st;
	add_length(call, r);
	add(call, "\r\n");
	return STATUS_OK;
}

enum status
http_call_setup(struct http_call *call, const struct http_request *r)
{
	const char *path;
	char *host = NULL;
	enum status st;

	call->head_only = strcmp(r->method, "HEAD") == 0;
	call->pulled = r->pulled;
	call->chunked = r->pulled && r->body_bytes == HTTP_LENGTH_UNKNOWN;
	call->body = r->body;
	call->body_bytes = r->body != NULL ? r->body_bytes : 0;
	call->once = r->once;
	call->reuse_idle_ms =
	    r->reuse_idle_ms != 0 ? r->reuse_idle_ms : UINT64_MAX;
	if (r->once)
		call->reuse_idle_ms = r->reuse_idle_ms;
	call->connect_ms = r->connect_ms != 0 ? r->connect_ms : HTTP_CONNECT_MS;
	if (!http_is_token(r->method) ||
	    read_url(r->url, &call->to, &host, &path) != STATUS_OK) {
		g_free(host);
		return status_set(STATUS_INVALID,
		    "A method or URL is invalid; give the host as an IPv4 "
		    "address and percent-encode the path.");
	}
	st = write_head(call, r, host_of(r, host), path);
	g_free(host);
	return st;
}
