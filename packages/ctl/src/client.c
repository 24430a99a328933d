/*
 * Client of the administration API.
 */
#include <string.h>

#include <curl/curl.h>

#include "base/clock.h"
#include "ctl/client.h"
#include "proto/addr.h"

#define CONNECT_TIMEOUT_MS 2000
/* Fraction (1/N) of an attempt reserved for the response to arrive. */
#define RESPONSE_MARGIN_DIVISOR 10
#define DEADLINE_HEADER_BYTES 48
#define ATTEMPT_MIN_MS 1000
#define RESPONSE_MAX_BYTES (64U << 20)
#define URL_MAX_BYTES 4096
#define HTTP_OK 200
#define HTTP_MULTIPLE_CHOICES 300
#define HTTP_SERVICE_UNAVAILABLE 503

struct client {
	const GArray *nodes;
	guint current_node;
};

struct client *
client_new(const GArray *nodes)
{
	struct client *c = g_new0(struct client, 1);

	c->nodes = nodes;
	return c;
}

void
client_free(struct client *c)
{
	g_free(c);
}

static size_t
append_body(char *data, size_t size, size_t n, void *arg)
{
	GString *body = arg;

	if (body->len + size * n > RESPONSE_MAX_BYTES)
		return 0;
	g_string_append_len(body, data, (gssize)(size * n));
	return size * n;
}

/* An error object in the format of the administration API. */
static json_t *error_json_new(const char *kind, const char *remedy,
    const char *fmt, ...) __attribute__((format(printf, 3, 4)));

static json_t *
error_json_new(const char *kind, const char *remedy, const char *fmt, ...)
{
	char *message;
	json_t *json;
	va_list ap;

	va_start(ap, fmt);
	message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	json = json_pack("{s:{s:s,s:s,s:s}}", "error", "kind", kind, "message",
	    message, "remedy", remedy);
	g_free(message);
	return json;
}

/*
 * Each attempt uses a new connection: libcurl resends a request on its own when
 * a reused connection breaks.
 */
static void
set_options(CURL *curl, const struct client_request *req, const char *url,
    uint64_t attempt_ms, struct curl_slist *headers)
{
	(void)curl_easy_setopt(curl, CURLOPT_URL, url);
	(void)curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
	(void)curl_easy_setopt(curl, CURLOPT_PROXY, "");
	(void)curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	(void)curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
	(void)curl_easy_setopt(
	    curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	(void)curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)attempt_ms);
	(void)curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	if (strcmp(req->method, "DELETE") == 0)
		(void)curl_easy_setopt(
		    curl, CURLOPT_CUSTOMREQUEST, req->method);
	if (strcmp(req->method, "POST") != 0)
		return;
	(void)curl_easy_setopt(curl, CURLOPT_POST, 1L);
	(void)curl_easy_setopt(
	    curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)req->body_len);
	(void)curl_easy_setopt(
	    curl, CURLOPT_POSTFIELDS, req->body != NULL ? req->body : "");
}

/* Whether any byte of the request may have been sent. */
static int
may_have_been_sent(CURL *curl)
{
	curl_off_t us = 0;

	(void)curl_easy_getinfo(curl, CURLINFO_PRETRANSFER_TIME_T, &us);
	return us > 0;
}

static void
set_response(CURL *curl, const char *node, const GString *body,
    struct client_response *resp)
{
	resp->outcome = CLIENT_RESPONDED;
	(void)curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &resp->code);
	resp->json = json_loadb(body->str, body->len, 0, NULL);
	if (json_is_object(resp->json) || json_is_array(resp->json))
		return;
	json_decref(resp->json);
	resp->json = error_json_new("unavailable",
	    "Check that --node specifies the admin_port of a node.",
	    "%s sent a response with status %ld that is not JSON.", node,
	    resp->code);
	resp->code = 0;
	resp->outcome = CLIENT_NO_RESPONSE;
}

static void
set_failure(
    CURL *curl, const char *node, const char *why, struct client_response *resp)
{
	resp->code = 0;
	resp->outcome =
	    may_have_been_sent(curl) ? CLIENT_NO_RESPONSE : CLIENT_UNREACHABLE;
	if (resp->outcome == CLIENT_UNREACHABLE)
		resp->json = error_json_new("unavailable",
		    "Check that the node is running, or specify another one "
		    "with --node.",
		    "%s can't be reached: %s.", node, why);
	else
		resp->json = error_json_new("unavailable",
		    "Try again, or specify another node with --node.",
		    "%s may have received the request but sent no response: "
		    "%s.",
		    node, why);
}

/*
 * The node's deadline is a little before the client's, so that its error
 * response still arrives.
 */
static struct curl_slist *
append_deadline(struct curl_slist *headers, uint64_t attempt_ms)
{
	char text[DEADLINE_HEADER_BYTES];

	(void)snprintf(text, sizeof(text), "Bramley-Deadline-Ms: %llu",
	    (unsigned long long)(attempt_ms -
		attempt_ms / RESPONSE_MARGIN_DIVISOR));
	return curl_slist_append(headers, text);
}

static void
attempt_request(const struct net_addr *addr, const struct client_request *req,
    uint64_t attempt_ms, struct client_response *resp)
{
	struct curl_slist *headers = NULL;
	char error[CURL_ERROR_SIZE] = "";
	GString *body = g_string_new(NULL);
	CURL *curl = curl_easy_init();
	char node[ADDR_TEXT_BYTES];
	char *url;

	(void)addr_format(addr, node);
	url = g_strdup_printf("http://%s%s", node, req->path);
	headers = curl_slist_append(headers, "Content-Type: application/json");
	headers = curl_slist_append(headers, "Expect:");
	headers = append_deadline(headers, attempt_ms);
	set_options(curl, req, url, attempt_ms, headers);
	(void)curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	(void)curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
	(void)curl_easy_setopt(curl, CURLOPT_ERRORBUFFER, error);
	if (curl_easy_perform(curl) == CURLE_OK)
		set_response(curl, node, body, resp);
	else
		set_failure(curl, node, error, resp);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	g_string_free(body, TRUE);
	g_free(url);
}

/*
 * Timeout of one attempt.  A read leaves time for the remaining nodes.  A
 * change may use all the time left, because no other node may be tried after a
 * timeout.
 */
static uint64_t
attempt_timeout_ms(
    const struct client_request *req, uint64_t left_ms, guint nodes_left)
{
	/* libcurl treats a timeout of 0 as no timeout. */
	left_ms = MAX(left_ms, 1);
	if (req->change)
		return left_ms;
	return MAX(left_ms / nodes_left, MIN(left_ms, ATTEMPT_MIN_MS));
}

/* Whether the request may be sent to the next node after this response. */
static int
should_try_next(
    const struct client_request *req, const struct client_response *resp)
{
	switch (resp->outcome) {
	case CLIENT_UNREACHABLE:
		return 1;
	case CLIENT_NO_RESPONSE:
		return !req->change;
	default:
		return resp->code == HTTP_SERVICE_UNAVAILABLE;
	}
}

void
client_request(struct client *c, const struct client_request *req,
    struct client_response *resp)
{
	const struct net_addr *addr;
	struct client_response last;
	uint64_t left_ms;
	guint i;

	memset(resp, 0, sizeof(*resp));
	for (i = 0; i < c->nodes->len; i++) {
		addr =
		    &g_array_index(c->nodes, struct net_addr, c->current_node);
		left_ms = clock_left_ms(req->deadline_ms, clock_now_ms());
		if (i > 0 && left_ms == 0)
			return;
		attempt_request(addr, req,
		    attempt_timeout_ms(req, left_ms, c->nodes->len - i), &last);
		/* Prefer the error of a node to that of an unreachable one. */
		if (resp->json == NULL || last.outcome == CLIENT_RESPONDED) {
			client_response_clear(resp);
			*resp = last;
		} else {
			client_response_clear(&last);
		}
		if (!should_try_next(req, &last))
			return;
		c->current_node = (c->current_node + 1) % c->nodes->len;
	}
}

int
client_response_ok(const struct client_response *resp)
{
	return resp->outcome == CLIENT_RESPONDED && resp->code >= HTTP_OK &&
	    resp->code < HTTP_MULTIPLE_CHOICES;
}

const char *
client_response_kind(const struct client_response *resp)
{
	const char *kind;

	kind = json_string_value(
	    json_object_get(json_object_get(resp->json, "error"), "kind"));
	return kind != NULL ? kind : "";
}

void
client_response_clear(struct client_response *resp)
{
	json_decref(resp->json);
	resp->json = NULL;
}
