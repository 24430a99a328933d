/*
 * One call of the load generator, made with libcurl.
 */
#include <string.h>

#include <curl/curl.h>
#include <glib.h>

#include "base/clock.h"
#include "load_defs.h"

#define HTTP_OK 200
#define HTTP_SERVICE_UNAVAILABLE 503

static size_t
call_supply_body(char *buf, size_t size, size_t n, void *arg)
{
	struct load_call *c = arg;
	uint64_t left = c->body_bytes - c->body.offset_bytes;
	size_t len = (size_t)MIN(left, size * n);

	pattern_fill(&c->body, buf, len);
	return len;
}

static size_t
call_on_body(char *data, size_t size, size_t n, void *arg)
{
	struct load_call *c = arg;

	reply_reader_feed(&c->reply, data, size * n);
	return size * n;
}

/* The value of a header line with this name, else NULL. */
static const char *
header_value(const char *line, size_t len, const char *name)
{
	size_t name_len = strlen(name);

	if (len <= name_len || line[name_len] != ':' ||
	    g_ascii_strncasecmp(line, name, name_len) != 0)
		return NULL;
	return line + name_len + 1;
}

static enum load_fate
fate_parse(const char *value, size_t len)
{
	char text[16] = "";

	if (len >= sizeof(text))
		return LOAD_FATE_ABSENT;
	memcpy(text, value, len);
	g_strstrip(text);
	if (strcmp(text, "done") == 0)
		return LOAD_FATE_DONE;
	if (strcmp(text, "not_run") == 0)
		return LOAD_FATE_NOT_RUN;
	return strcmp(text, "unknown") == 0 ? LOAD_FATE_UNKNOWN
					    : LOAD_FATE_ABSENT;
}

static size_t
call_on_header(char *line, size_t size, size_t n, void *arg)
{
	const char *v;
	struct load_call *c = arg;
	size_t len = size * n;

	v = header_value(line, len, "Bramley-Fate");
	if (v != NULL)
		c->fate = fate_parse(v, len - (size_t)(v - line));
	if (header_value(line, len, "Retry-After") != NULL)
		c->retry_after = 1;
	return len;
}

struct load_call *
load_call_new(const struct load_options *o)
{
	CURL *e = curl_easy_init();
	struct load_call *c = g_new0(struct load_call, 1);

	c->easy = e;
	c->opt = o;
	reply_reader_init(&c->reply);
	curl_easy_setopt(e, CURLOPT_PRIVATE, c);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)o->timeout_ms);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, call_on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, call_on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, c);
	curl_easy_setopt(e, CURLOPT_READFUNCTION, call_supply_body);
	curl_easy_setopt(e, CURLOPT_READDATA, c);
	if (o->from != NULL)
		curl_easy_setopt(e, CURLOPT_INTERFACE, o->from);
	return c;
}

void
load_call_free(struct load_call *c)
{
	curl_easy_cleanup(c->easy);
	curl_slist_free_all(c->headers);
	reply_reader_clear(&c->reply);
	g_free(c);
}

static void
call_append_header(struct load_call *c, const char *name, const char *value)
{
	char *line = g_strdup_printf("%s: %s", name, value);

	c->headers = curl_slist_append(c->headers, line);
	g_free(line);
}

static void
call_set_headers(struct load_call *c)
{
	char text[16];

	curl_slist_free_all(c->headers);
	c->headers = NULL;
	call_append_header(c, "X-Test-Id", c->outcome.test_id);
	if (c->outcome.key[0] != '\0')
		call_append_header(c, "Idempotency-Key", c->outcome.key);
	if (c->opt->deadline_ms > 0) {
		(void)g_snprintf(text, sizeof(text), "%u", c->opt->deadline_ms);
		call_append_header(c, "Bramley-Deadline-Ms", text);
	}
	c->headers = curl_slist_append(c->headers, "Expect:");
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
}

static void
call_set_url(struct load_call *c)
{
	char url[LOAD_URL_BYTES];
	const char *path = c->opt->paths[c->outcome.kind];
	int n;

	n = g_snprintf(
	    url, sizeof(url), "http://%s%s", c->opt->nodes[c->node], path);
	if (c->outcome.kind == CALL_LOOKUP && c->opt->answer_bytes > 0)
		(void)g_snprintf(url + n, sizeof(url) - (size_t)n,
		    "%canswer_bytes=%" G_GUINT64_FORMAT,
		    strchr(path, '?') == NULL ? '?' : '&',
		    c->opt->answer_bytes);
	curl_easy_setopt(c->easy, CURLOPT_URL, url);
}

/* Calls with the same key send the same body. */
static uint64_t
call_body_seed(const struct load_call *c)
{
	const struct outcome *o = &c->outcome;

	return pattern_seed(o->key[0] == '\0' ? o->test_id : o->key);
}

void
load_call_prepare(struct load_call *c)
{
	long is_write = c->outcome.kind != CALL_LOOKUP;

	c->fate = LOAD_FATE_ABSENT;
	c->retry_after = 0;
	c->body_bytes = is_write ? c->opt->body_bytes[c->outcome.kind] : 0;
	c->body.seed = call_body_seed(c);
	c->body.offset_bytes = 0;
	reply_reader_reset(&c->reply);
	c->outcome.node = c->node;
	curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS,
	    (long)(c->leave_ms != 0 ? c->leave_ms : c->opt->timeout_ms));
	call_set_url(c);
	call_set_headers(c);
	if (is_write) {
		curl_easy_setopt(c->easy, CURLOPT_POST, 1L);
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)c->body_bytes);
	} else {
		curl_easy_setopt(c->easy, CURLOPT_HTTPGET, 1L);
	}
	curl_easy_setopt(c->easy, CURLOPT_FRESH_CONNECT, is_write);
	curl_easy_setopt(c->easy, CURLOPT_FORBID_REUSE, is_write);
}

/*
 * Whether nothing was sent.  The error code does not show this: libcurl
 * resends a lookup when its reused connection closes, so "refused" may belong
 * to the second attempt.
 */
static int
call_not_sent(const struct load_call *c)
{
	long sent_bytes = 0;

	curl_easy_getinfo(c->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
	return sent_bytes == 0;
}

static enum reported_fate
fate_from_upstream(const struct load_call *c)
{
	if (c->outcome.status == HTTP_SERVICE_UNAVAILABLE &&
	    c->fate == LOAD_FATE_NOT_RUN)
		return REPORTED_NOT_RUN;
	return REPORTED_DONE;
}

static enum reported_fate
fate_from_node(const struct load_call *c)
{
	switch (c->fate) {
	case LOAD_FATE_DONE:
		return REPORTED_DONE;
	case LOAD_FATE_NOT_RUN:
		return REPORTED_NOT_RUN;
	case LOAD_FATE_UNKNOWN:
	case LOAD_FATE_ABSENT:
		break;
	}
	return REPORTED_UNKNOWN;
}

static enum response_check
call_check_response(const struct load_call *c)
{
	const struct outcome *o = &c->outcome;
	struct reply_expected w = {o->test_id, o->key, c->body_bytes,
	    pattern_hash(c->body.seed, c->body_bytes),
	    o->kind == CALL_LOOKUP ? c->opt->answer_bytes : 0};

	if (!c->opt->direct && c->fate == LOAD_FATE_ABSENT)
		return RESPONSE_NO_FATE;
	if (o->reported != REPORTED_DONE || o->status != HTTP_OK)
		return RESPONSE_NONE;
	return reply_reader_check(&c->reply, &w);
}

void
load_call_finish(struct load_call *c, CURLcode rc)
{
	long status = 0;
	struct outcome *o = &c->outcome;

	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	o->status = (int)status;
	if (rc == CURLE_OPERATION_TIMEDOUT && c->leave_ms != 0)
		o->left_ms = clock_now_ms();
	if (rc != CURLE_OK) {
		o->reported =
		    call_not_sent(c) ? REPORTED_NOT_SENT : REPORTED_UNKNOWN;
		o->check = status == 0 ? RESPONSE_NONE : RESPONSE_CUT;
		return;
	}
	o->reported =
	    c->opt->direct ? fate_from_upstream(c) : fate_from_node(c);
	o->check = call_check_response(c);
}
