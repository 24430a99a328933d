/*
 * Conversion of the head of a caller's request.
 */
#include <string.h>

#include "base/clock.h"

#include "callers_priv.h"

#define HTTP_BAD_REQUEST 400
#define HTTP_HEADERS_TOO_LARGE 431
#define DECIMAL 10

/* One day; longer times are reduced to it, since no request waits so long. */
#define DEADLINE_MAX_MS 86400000U

/* Schemes of targets in absolute form.  TLS is terminated in front of a node,
 * so requests for https:// arrive here too. */
static const char *const schemes[] = {"http://", "https://"};

static const char *
find_header(const struct http_incoming_head *head, const char *name)
{
	uint32_t i;

	for (i = 0; i < head->n_headers; i++)
		if (g_ascii_strcasecmp(head->headers[i].name, name) == 0)
			return head->headers[i].value;
	return NULL;
}

static uint32_t
count_headers(const struct http_incoming_head *head, const char *name)
{
	uint32_t i, n = 0;

	for (i = 0; i < head->n_headers; i++)
		n += g_ascii_strcasecmp(head->headers[i].name, name) == 0;
	return n;
}

static bool
add_header(struct call_request *r, const char *name, const char *value)
{
	return call_headers_add(&r->headers, name, (uint32_t)strlen(name),
	    value, (uint32_t)strlen(value));
}

/* The host of a target in absolute form replaces the Host header (RFC 9112,
 * 3.2.2). */
static bool
is_replaced_host(const struct http_incoming_head *head, const char *name)
{
	return head->target[0] != '/' && g_ascii_strcasecmp(name, "Host") == 0;
}

/* Copies the headers that are forwarded. */
static uint32_t
copy_headers(const struct call_dialect *d,
    const struct http_incoming_head *head, struct call_request *r)
{
	GTree *named =
	    call_headers_conn_options(find_header(head, "Connection"));
	const struct http_header *h;
	bool ok = true;
	uint32_t i;

	for (i = 0; ok && i < head->n_headers; i++) {
		h = &head->headers[i];
		if (!is_replaced_host(head, h->name) &&
		    call_header_is_forwarded(
			h->name, named, d->prefix, d->from_callers))
			ok = add_header(r, h->name, h->value);
	}
	call_headers_conn_options_free(named);
	return ok ? 0 : HTTP_HEADERS_TOO_LARGE;
}

static uint32_t
read_headers(const struct callers *c, const struct http_incoming_head *head,
    struct call_request *r)
{
	const struct call_dialect *d = c->dialect;
	uint32_t status = copy_headers(d, head, r);

	if (status != 0)
		return status;
	if (head->target[0] != '/' && !add_header(r, "Host", r->host))
		return HTTP_HEADERS_TOO_LARGE;
	if (d->caller_service != NULL &&
	    !add_header(r, d->caller_service, c->settings->upstream_service))
		return HTTP_HEADERS_TOO_LARGE;
	return 0;
}

/* The part of a target in absolute form after its scheme; NULL for other
 * targets. */
static const char *
authority_of(const char *target)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(schemes); i++)
		if (g_ascii_strncasecmp(
			target, schemes[i], strlen(schemes[i])) == 0)
			return target + strlen(schemes[i]);
	return NULL;
}

/* "http://host/path?query": an empty path is the root. */
static uint32_t
read_absolute(const struct http_incoming_head *head, struct call_request *r)
{
	const char *host = authority_of(head->target);
	size_t len = host != NULL ? strcspn(host, "/?") : 0;

	if (len == 0 || memchr(host, '@', len) != NULL || *host == ':')
		return HTTP_BAD_REQUEST;
	r->host = g_strndup(host, len);
	r->path =
	    g_strconcat(host[len] == '/' ? "" : "/", host + len, (char *)NULL);
	return 0;
}

/* A request with more than one Host header is rejected: servers differ in which
 * one they use (RFC 9112, 3.2). */
static uint32_t
read_target(const struct http_incoming_head *head, struct call_request *r)
{
	if (count_headers(head, "Host") > 1)
		return HTTP_BAD_REQUEST;
	if (head->target[0] != '/')
		return read_absolute(head, r);
	r->path = g_strdup(head->target);
	r->host = g_strdup(find_header(head, "Host"));
	return 0;
}

static const char *
skip_blanks(const char *text)
{
	return text + strspn(text, " \t");
}

/* "2500", "2500.75": a fraction is truncated, a larger number reduced to
 * DEADLINE_MAX_MS. */
static bool
parse_ms(const char *text, uint64_t *ms)
{
	text = skip_blanks(text);
	if (*text == '+')
		text++;
	if (!g_ascii_isdigit(*text))
		return false;
	for (*ms = 0; g_ascii_isdigit(*text); text++)
		*ms = MIN(*ms * DECIMAL + (uint64_t)g_ascii_digit_value(*text),
		    DEADLINE_MAX_MS);
	if (*text == '.')
		for (text++; g_ascii_isdigit(*text);)
			text++;
	return *skip_blanks(text) == '\0';
}

static uint32_t
read_deadline(const struct callers *c, const struct http_incoming_head *head,
    struct call_request *r)
{
	const char *text = find_header(head, c->dialect->deadline);
	uint64_t ms;

	if (text == NULL)
		return 0;
	if (!parse_ms(text, &ms))
		return HTTP_BAD_REQUEST;
	r->deadline_ms = clock_now_ms() + ms;
	return 0;
}

static uint32_t
read_identifiers(const struct callers *c, const struct http_incoming_head *head,
    struct call_request *r)
{
	const char *key = find_header(head, HEADER_KEY);

	if (c->dialect->caller_sets_request_id)
		r->id = g_strdup(find_header(head, c->dialect->request_id));
	if (!c->dialect->key || key == NULL)
		return 0;
	if (*key == '\0' || strlen(key) > MSG_CALL_OPEN_KEY_MAX)
		return HTTP_BAD_REQUEST;
	r->key = g_strdup(key);
	return 0;
}

/* A key is hashed here and not kept: no later step needs its text. */
static void
read_customer_key(const struct callers *c,
    const struct http_incoming_head *head, struct call_request *r)
{
	const char *name = c->dialect->customer_key;
	const char *key;

	r->customer_keys = name != NULL ? count_headers(head, name) : 0;
	if (r->customer_keys != 1)
		return;
	key = find_header(head, name);
	customer_key_make(key, strlen(key), &r->customer_key);
}

const char *
callers_request_host(const struct http_incoming_head *head)
{
	return find_header(head, "Host");
}

uint32_t
callers_request_read(const struct callers *c,
    const struct http_incoming_head *head, struct call_request *r)
{
	uint32_t status;

	r->arrived_us = clock_now_us();
	r->body_bytes = head->body_bytes;
	if (strlen(head->method) >= sizeof(r->method))
		return HTTP_BAD_REQUEST;
	(void)g_strlcpy(r->method, head->method, sizeof(r->method));
	(void)addr_format_ip(head->caller.ip, r->caller);
	status = read_target(head, r);
	if (status == 0)
		status = read_headers(c, head, r);
	if (status == 0)
		status = read_deadline(c, head, r);
	if (status == 0)
		status = read_identifiers(c, head, r);
	if (status == 0)
		read_customer_key(c, head, r);
	return status;
}
