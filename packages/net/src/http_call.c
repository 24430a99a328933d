/*
 * One HTTP call: its handle's options, and what libcurl calls back for it.
 */
#include <string.h>
#include <strings.h>

#include "http_priv.h"

/* Largest head of an answer. */
#define HTTP_HEAD_MAX_BYTES (64U * 1024U)
/* Headers of an answer handed on; more of them fail the call. */
#define HTTP_HEADERS_MAX 128
#define HTTP_OK_CODE 200
#define HTTP_NO_CONTENT_CODE 204
#define HTTP_NOT_MODIFIED_CODE 304
/* Connections idle for longer are not used again. */
#define HTTP_IDLE_MAX_S 30L

/* Headers that the client writes itself. */
static const char *const own_headers[] = {
    "Connection", "Content-Length", "Expect", "Transfer-Encoding"};

/* Headers that libcurl adds unless the call has them or they are cut out. */
static const char *const cut_headers[] = {
    "Accept", "Content-Type", "Expect", "User-Agent"};

/* Names of headers and methods. */
static bool
is_token(const char *s)
{
	const char *p;

	for (p = s; *p != '\0'; p++)
		if (!g_ascii_isalnum(*p) &&
		    strchr("!#$%&'*+-.^_`|~", *p) == NULL)
			return false;
	return p != s;
}

/* Callbacks */

static size_t
call_wants(struct http_call *call, enum http_flow flow, size_t len)
{
	if (call->cancelled)
		return CURL_WRITEFUNC_ERROR;
	if (flow == HTTP_CONTINUE)
		return len;
	if (flow == HTTP_PAUSE)
		return CURL_WRITEFUNC_PAUSE;
	call->aborted = true;
	return CURL_WRITEFUNC_ERROR;
}

static size_t
call_on_body(char *data, size_t size, size_t n, void *arg)
{
	struct http_call *call = arg;
	enum http_flow flow = HTTP_CONTINUE;
	size_t len = size * n;

	if (!call->cancelled && call->handler->on_body != NULL)
		flow = call->handler->on_body(
		    call, (const uint8_t *)data, len, call->arg);
	return call_wants(call, flow, len);
}

static size_t
call_on_pull(char *buf, size_t size, size_t n, void *arg)
{
	struct http_call *call = arg;
	enum http_flow flow = HTTP_ABORT;
	size_t len = 0;

	if (!call->cancelled)
		flow = call->handler->on_pull(
		    call, (uint8_t *)buf, size * n, &len, call->arg);
	if (call->cancelled)
		return CURL_READFUNC_ABORT;
	if (flow == HTTP_CONTINUE && len > 0 && len <= size * n)
		return len;
	if (flow == HTTP_PAUSE)
		return CURL_READFUNC_PAUSE;
	if (flow == HTTP_END)
		return 0;
	call->aborted = true;
	return CURL_READFUNC_ABORT;
}

/* Called when a connection is there, before the first byte goes out. */
static int
call_on_connected(
    void *arg, char *peer_ip, char *own_ip, int peer_port, int own_port)
{
	struct http_call *call = arg;

	(void)peer_ip;
	(void)own_ip;
	(void)peer_port;
	(void)own_port;
	call->sent = true;
	return CURL_PREREQFUNC_OK;
}

/*
 * Cut "Name: value" lines in place, leaving out what is no header; returns -1
 * when there are too many.
 */
static int
cut_lines(char *text, struct http_header *headers, int max)
{
	char *colon, *line, *rest = NULL;
	int n = 0;

	for (line = strtok_r(text, "\r\n", &rest); line != NULL;
	     line = strtok_r(NULL, "\r\n", &rest)) {
		colon = strchr(line, ':');
		if (colon == NULL)
			continue;
		*colon = '\0';
		if (!is_token(line))
			continue;
		if (n == max)
			return -1;
		headers[n].name = line;
		headers[n].value = g_strstrip(colon + 1);
		n++;
	}
	return n;
}

/* Whether the head says where the answer ends. */
static bool
head_delimits(
    const struct http_call *call, const struct http_header *headers, int n)
{
	int i;

	if (call->head_only || call->code == HTTP_NO_CONTENT_CODE ||
	    call->code == HTTP_NOT_MODIFIED_CODE)
		return true;
	for (i = 0; i < n; i++)
		if (strcasecmp(headers[i].name, "Content-Length") == 0 ||
		    strcasecmp(headers[i].name, "Transfer-Encoding") == 0)
			return true;
	return false;
}

static size_t
call_head_done(struct http_call *call, size_t len)
{
	struct http_header headers[HTTP_HEADERS_MAX];
	enum http_flow flow = HTTP_CONTINUE;
	int n = cut_lines(call->head->str, headers, HTTP_HEADERS_MAX);

	if (n < 0)
		return CURL_WRITEFUNC_ERROR;
	call->head_done = true;
	call->delimited = head_delimits(call, headers, n);
	if (call->handler->on_head != NULL)
		flow = call->handler->on_head(
		    call, call->code, headers, (uint32_t)n, call->arg);
	if (flow == HTTP_PAUSE)
		flow = HTTP_ABORT;
	return call_wants(call, flow, len);
}

/*
 * Called for each line of a head, the empty last one included; again for
 * each 1xx answer, and for trailers after a chunked body.
 */
static size_t
call_on_header(char *data, size_t size, size_t n, void *arg)
{
	struct http_call *call = arg;
	size_t len = size * n;
	long code = 0;

	if (call->cancelled)
		return CURL_WRITEFUNC_ERROR;
	if (call->head_done)
		return len;
	if (call->head->len + len > HTTP_HEAD_MAX_BYTES ||
	    memchr(data, '\0', len) != NULL)
		return CURL_WRITEFUNC_ERROR;
	if (strncmp(data, "HTTP/", strlen("HTTP/")) == 0) {
		(void)curl_easy_getinfo(
		    call->easy, CURLINFO_RESPONSE_CODE, &code);
		call->code = (int)code;
		g_string_truncate(call->head, 0);
		return len;
	}
	if (data[0] != '\r' && data[0] != '\n') {
		g_string_append_len(call->head, data, (gssize)len);
		return len;
	}
	return call->code < HTTP_OK_CODE ? len : call_head_done(call, len);
}

/* Options */

CURL *
http_easy_new(void)
{
	CURL *easy = curl_easy_init();

	if (easy == NULL)
		g_error("libcurl is out of memory.");
	(void)curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	(void)curl_easy_setopt(easy, CURLOPT_PROXY, "");
	(void)curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	(void)curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	(void)curl_easy_setopt(
	    easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	(void)curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, HTTP_IDLE_MAX_S);
	(void)curl_easy_setopt(easy, CURLOPT_SUPPRESS_CONNECT_HEADERS, 1L);
	(void)curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, call_on_body);
	(void)curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, call_on_header);
	(void)curl_easy_setopt(easy, CURLOPT_READFUNCTION, call_on_pull);
	(void)curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, call_on_connected);
	return easy;
}

static bool
is_url(const char *s)
{
	const char *p;

	for (p = s; *p != '\0'; p++)
		if (!g_ascii_isgraph(*p))
			return false;
	return p != s;
}

static bool
is_value(const char *s)
{
	return strpbrk(s, "\r\n") == NULL;
}

static bool
is_named_in(const char *name, const char *const *names, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (strcasecmp(name, names[i]) == 0)
			return true;
	return false;
}

static bool
request_has(const struct http_request *r, const char *name)
{
	uint32_t i;

	for (i = 0; i < r->n_headers; i++)
		if (strcasecmp(name, r->headers[i].name) == 0)
			return true;
	return false;
}

static void
call_add_line(struct http_call *call, const char *line)
{
	struct curl_slist *list = curl_slist_append(call->headers, line);

	if (list == NULL)
		g_error("libcurl is out of memory.");
	call->headers = list;
}

/* libcurl writes "Name;" as a header without a value. */
static void
call_add_header(struct http_call *call, const struct http_header *h)
{
	GString *line = g_string_new(h->name);

	if (h->value[0] == '\0')
		g_string_append_c(line, ';');
	else
		g_string_append_printf(line, ": %s", h->value);
	call_add_line(call, line->str);
	g_string_free(line, TRUE);
}

static void
call_cut_header(struct http_call *call, const char *name)
{
	GString *line = g_string_new(name);

	g_string_append_c(line, ':');
	call_add_line(call, line->str);
	g_string_free(line, TRUE);
}

static enum status
call_set_headers(struct http_call *call, const struct http_request *r)
{
	const struct http_header *h;
	uint32_t i;

	for (i = 0; i < r->n_headers; i++) {
		h = &r->headers[i];
		if (!is_token(h->name) || !is_value(h->value))
			return status_set(STATUS_INVALID,
			    "A header's name or value can't be sent; leave "
			    "out line breaks and spaces in names.");
		if (!is_named_in(
			h->name, own_headers, G_N_ELEMENTS(own_headers)))
			call_add_header(call, h);
	}
	for (i = 0; i < G_N_ELEMENTS(cut_headers); i++)
		if (strcmp(cut_headers[i], "Expect") == 0 ||
		    !request_has(r, cut_headers[i]))
			call_cut_header(call, cut_headers[i]);
	return STATUS_OK;
}

static bool
method_has_body(const char *method)
{
	return strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0 ||
	    strcmp(method, "PATCH") == 0;
}

/* The method is set last, since libcurl derives it from what went before. */
static void
call_set_body(struct http_call *call, const struct http_request *r)
{
	curl_off_t len = r->body_bytes == HTTP_LENGTH_UNKNOWN
	    ? -1
	    : (curl_off_t)r->body_bytes;
	const void *body = r->body != NULL ? (const void *)r->body : "";
	CURL *easy = call->easy;

	(void)curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
	if (r->pulled) {
		(void)curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		(void)curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE, len);
	} else if (r->body != NULL || method_has_body(r->method)) {
		(void)curl_easy_setopt(easy, CURLOPT_POST, 1L);
		(void)curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
		(void)curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    r->body != NULL ? len : 0);
	} else if (call->head_only) {
		(void)curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	}
	(void)curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, r->method);
}

enum status
http_call_setup(struct http_call *call, const struct http_request *r)
{
	long once = r->once ? 1L : 0L;
	long connect_ms = r->connect_ms != 0 ? r->connect_ms : HTTP_CONNECT_MS;
	CURL *easy = call->easy;
	enum status st;

	call->head_only = strcmp(r->method, "HEAD") == 0;
	if (!is_token(r->method) || !is_url(r->url))
		return status_set(STATUS_INVALID,
		    "A method or URL can't be sent; percent-encode the URL.");
	st = call_set_headers(call, r);
	if (st != STATUS_OK)
		return st;
	call_set_body(call, r);
	(void)curl_easy_setopt(easy, CURLOPT_URL, r->url);
	(void)curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
	(void)curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, once);
	(void)curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, once);
	(void)curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, connect_ms);
	(void)curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, call->error);
	(void)curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	(void)curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	(void)curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	(void)curl_easy_setopt(easy, CURLOPT_READDATA, call);
	(void)curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
	return STATUS_OK;
}
