/*
 * The head of a caller's request.
 */
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

#include "callers_priv.h"

#define HTTP_BAD_REQUEST 400
#define HTTP_TOO_LARGE 413
#define HTTP_URI_TOO_LONG 414
#define HTTP_HEADERS_TOO_LARGE 431
#define DECIMAL 10

/* Longest deadline that a caller may name. */
#define DEADLINE_MAX_MS 86400000

static const char *
find(const struct mg_request_info *info, const char *name)
{
	int i;

	for (i = 0; i < info->num_headers; i++)
		if (g_ascii_strcasecmp(info->http_headers[i].name, name) == 0)
			return info->http_headers[i].value;
	return NULL;
}

static uint32_t
read_headers(const struct mg_request_info *info, struct call_request *r)
{
	const char *connection = find(info, "Connection");
	const struct mg_header *h;
	int i;

	for (i = 0; i < info->num_headers; i++) {
		h = &info->http_headers[i];
		if (!call_header_passes(h->name, connection))
			continue;
		if (!call_headers_add(&r->headers, h->name,
			(uint32_t)strlen(h->name), h->value,
			(uint32_t)strlen(h->value)))
			return HTTP_HEADERS_TOO_LARGE;
	}
	return 0;
}

static uint32_t
read_path(const struct mg_request_info *info, struct call_request *r)
{
	if (info->request_uri == NULL || info->request_uri[0] != '/')
		return HTTP_BAD_REQUEST;
	if (info->query_string != NULL)
		r->path = g_strconcat(
		    info->request_uri, "?", info->query_string, NULL);
	else
		r->path = g_strdup(info->request_uri);
	if (strlen(r->path) > MSG_CALL_OPEN_PATH_MAX)
		return HTTP_URI_TOO_LONG;
	return 0;
}

static uint32_t
read_deadline(const struct mg_request_info *info, struct call_request *r)
{
	const char *text = find(info, HEADER_DEADLINE);
	unsigned long long ms;
	char *end;

	if (text == NULL)
		return 0;
	ms = strtoull(text, &end, DECIMAL);
	if (end == text || *end != '\0' || ms > DEADLINE_MAX_MS)
		return HTTP_BAD_REQUEST;
	r->deadline_ms = clock_now_ms() + ms;
	return 0;
}

static uint32_t
read_length(const struct callers *c, const struct mg_request_info *info,
    struct call_request *r)
{
	bool chunked = find(info, "Transfer-Encoding") != NULL;

	if (chunked)
		r->body_bytes = BODY_LENGTH_UNKNOWN;
	else
		r->body_bytes = MAX(info->content_length, 0);
	if (r->body_bytes > (int64_t)c->settings->request_max_bytes)
		return HTTP_TOO_LARGE;
	return 0;
}

static uint32_t
read_key(const struct mg_request_info *info, struct call_request *r)
{
	const char *key = find(info, HEADER_KEY);

	if (key == NULL)
		return 0;
	if (*key == '\0' || strlen(key) > MSG_CALL_OPEN_KEY_MAX)
		return HTTP_BAD_REQUEST;
	r->key = g_strdup(key);
	return 0;
}

uint32_t
callers_request_read(
    const struct callers *c, struct mg_connection *conn, struct call_request *r)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	uint32_t status;

	r->arrived_us = clock_now_us();
	if (strlen(info->request_method) >= sizeof(r->method))
		return HTTP_BAD_REQUEST;
	(void)g_strlcpy(r->method, info->request_method, sizeof(r->method));
	(void)g_strlcpy(r->caller, info->remote_addr, sizeof(r->caller));
	status = read_path(info, r);
	if (status == 0)
		status = read_headers(info, r);
	if (status == 0)
		status = read_deadline(info, r);
	if (status == 0)
		status = read_length(c, info, r);
	if (status == 0)
		status = read_key(info, r);
	return status;
}
