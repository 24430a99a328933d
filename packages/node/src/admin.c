/*
 * Administration API: the HTTP server and its dispatch.
 *
 * A CivetWeb worker thread reads the request, posts it to the control thread
 * and waits for the answer.  Only /metrics and /v1/health are answered by the
 * worker itself, so that they work while the control thread is busy, and
 * /v1/customers, so that it doesn't hold that thread up.
 */
#define LOG_PART "admin"

#include <stdio.h>
#include <string.h>

#include "admin_priv.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "config/bundle.h"
#include "config/customer.h"
#include "net/loop.h"
#include "proto/settings.h"

#define ADMIN_TEXT_BYTES 32
#define ADMIN_READ_BYTES 16384
#define API_PREFIX "/v1/"

struct admin_route {
	const char *method; /* NULL for any */
	const char *path;   /* prefix of the path below API_PREFIX */
	void (*handle)(struct admin_call *call);
};

static const struct {
	enum status st;
	int code;
} error_codes[] = {
    {STATUS_INVALID, 400},
    {STATUS_NOT_FOUND, 404},
    {STATUS_CONFLICT, 409},
    {STATUS_TOO_LARGE, 413},
    {STATUS_OVERLOADED, 503},
    {STATUS_UNAVAILABLE, 503},
    {STATUS_TIMEOUT, 504},
    {STATUS_UNKNOWN, 504},
};

int
admin_error_code(enum status st)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(error_codes); i++)
		if (error_codes[i].st == st)
			return error_codes[i].code;
	return 500;
}

json_t *
admin_error_json(enum status st, const char *message, const char *remedy,
    uint32_t retry_after_ms)
{
	json_t *e = json_object();

	json_object_set_new(e, "kind", json_string(status_name(st)));
	json_object_set_new(e, "message", json_string(message));
	json_object_set_new(e, "remedy", json_string(remedy));
	json_object_set_new(e, "retry_after_ms", json_integer(retry_after_ms));
	return json_pack("{s:o}", "error", e);
}

void
admin_call_answer(struct admin_call *call, int code, json_t *reply)
{
	g_mutex_lock(&call->lock);
	if (call->answered) {
		json_decref(reply);
	} else {
		if (call->warnings != NULL)
			json_object_set_new(reply, "warnings",
			    g_steal_pointer(&call->warnings));
		call->answered = 1;
		call->code = code;
		call->reply = reply;
		g_cond_signal(&call->done);
	}
	g_mutex_unlock(&call->lock);
}

void
admin_call_fail(struct admin_call *call, enum status st, const char *message,
    const char *remedy, uint32_t retry_after_ms)
{
	admin_call_answer(call, admin_error_code(st),
	    admin_error_json(st, message, remedy, retry_after_ms));
}

static void
admin_call_free(gpointer data)
{
	struct admin_call *call = data;

	bundle_free(call->bundle);

	g_free(call->path);
	g_free(call->query);
	g_string_free(call->body, TRUE);
	g_mutex_clear(&call->lock);
	g_cond_clear(&call->done);
	json_decref(call->reply);
	json_decref(call->warnings);
}

struct admin_call *
admin_call_ref(struct admin_call *call)
{
	return g_atomic_rc_box_acquire(call);
}

void
admin_call_unref(struct admin_call *call)
{
	g_atomic_rc_box_release_full(call, admin_call_free);
}

int
admin_call_query(
    const struct admin_call *call, const char *name, char *buf, size_t len)
{
	int n;

	buf[0] = '\0';
	n = mg_get_var(call->query, strlen(call->query), name, buf, len);
	return n >= 0;
}

static void
handle_members(struct admin_call *call)
{
	json_t *list = control_members_json(call->admin->control);

	admin_call_answer(call, 200, json_pack("{s:o}", "members", list));
}

static void
handle_rollouts(struct admin_call *call)
{
	json_t *list = control_rollouts_json(call->admin->control);

	admin_call_answer(call, 200, json_pack("{s:o}", "rollouts", list));
}

static const struct admin_route routes[] = {
    {"GET", "status", admin_status},
    {"GET", "members", handle_members},
    {"GET", "rollouts", handle_rollouts},
    {"POST", "bundles/validate", admin_validate},
    {NULL, "versions", admin_versions},
    {"GET", "operations/", admin_operations},
    {NULL, "upstreams/", admin_upstreams},
    {NULL, "quarantine", admin_quarantine},
};

static void
admin_route(struct admin_call *call)
{
	int known = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (!g_str_has_prefix(call->path, routes[i].path))
			continue;
		known = 1;
		if (routes[i].method != NULL &&
		    strcmp(routes[i].method, call->method) != 0)
			continue;
		routes[i].handle(call);
		return;
	}
	if (known)
		admin_call_fail(call, STATUS_INVALID,
		    "The resource does not support this method.",
		    "See docs/API.md for its methods.", 0);
	else
		admin_call_fail(call, STATUS_NOT_FOUND,
		    "There is no such resource.",
		    "See docs/API.md for the resources below /v1/.", 0);
}

/* Runs in the control thread; releases the reference that was posted. */
static void
admin_dispatch(void *arg)
{
	admin_route(arg);
	admin_call_unref(arg);
}

static void
admin_send(struct mg_connection *conn, int code, const char *type,
    const char *body, size_t len, uint32_t retry_after_ms)
{
	char retry[ADMIN_TEXT_BYTES + 32] = "";

	if (retry_after_ms > 0)
		(void)snprintf(retry, sizeof(retry), "Retry-After: %u\r\n",
		    (retry_after_ms + 999) / 1000);
	mg_printf(conn,
	    "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
	    "Cache-Control: no-store\r\n%sConnection: close\r\n\r\n",
	    code, mg_get_response_code_text(conn, code), type, len, retry);
	mg_write(conn, body, len);
}

static void
admin_send_json(struct mg_connection *conn, int code, json_t *reply)
{
	json_t *error = json_object_get(reply, "error");
	json_t *retry = json_object_get(error, "retry_after_ms");
	char *text = json_dumps(reply, JSON_INDENT(1));

	admin_send(conn, code, "application/json", text, strlen(text),
	    (uint32_t)json_integer_value(retry));
	free(text);
	json_decref(reply);
}

static void
admin_send_error(struct mg_connection *conn, enum status st,
    const char *message, const char *remedy)
{
	admin_send_json(conn, admin_error_code(st),
	    admin_error_json(st, message, remedy, 0));
}

/* Reads the full body; returns 0 when the body is too large. */
static int
admin_read_body(struct mg_connection *conn, GString *body)
{
	char buf[ADMIN_READ_BYTES];
	int n;

	while ((n = mg_read(conn, buf, sizeof(buf))) > 0) {
		if (body->len + (gsize)n > BUNDLE_MAX_BYTES)
			return 0;
		g_string_append_len(body, buf, n);
	}
	return 1;
}

/* Waits for the control thread's answer, until a deadline. */
static void
admin_wait(struct admin_call *call)
{
	gint64 deadline_us = g_get_monotonic_time() +
	    (ADMIN_OPERATION_MS + ADMIN_GRACE_MS) * G_TIME_SPAN_MILLISECOND;

	g_mutex_lock(&call->lock);
	while (!call->answered &&
	    g_cond_wait_until(&call->done, &call->lock, deadline_us))
		continue;
	g_mutex_unlock(&call->lock);
}

/* Deadline of the operation; the client may allow less time than
 * ADMIN_OPERATION_MS. */
static uint64_t
admin_deadline(const struct mg_connection *conn)
{
	const char *text = mg_get_header(conn, "Bramley-Deadline-Ms");
	uint64_t left_ms = ADMIN_OPERATION_MS;

	if (text != NULL)
		left_ms = MIN(left_ms, strtoull(text, NULL, 10));
	return clock_now_ms() + left_ms;
}

static struct admin_call *
admin_call_new(struct admin *a, const struct mg_connection *conn)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	struct admin_call *call = g_atomic_rc_box_new0(struct admin_call);

	call->admin = a;
	call->method = g_intern_string(ri->request_method);
	call->path = g_strdup(ri->local_uri + strlen(API_PREFIX));
	call->query = g_strdup(ri->query_string ? ri->query_string : "");
	(void)g_strlcpy(call->remote, ri->remote_addr, sizeof(call->remote));
	call->deadline_ms = admin_deadline(conn);
	call->body = g_string_new(NULL);
	g_mutex_init(&call->lock);
	g_cond_init(&call->done);
	return call;
}

/* Sends the answer, or an error when none came in time. */
static void
admin_reply(struct mg_connection *conn, struct admin_call *call)
{
	g_mutex_lock(&call->lock);
	if (call->answered) {
		admin_send_json(conn, call->code, call->reply);
		call->reply = NULL;
	} else {
		admin_send_error(conn, STATUS_UNKNOWN,
		    "The control thread did not answer in time.",
		    "Look up its result with GET /v1/operations/OP.");
	}
	call->answered = 1;
	g_mutex_unlock(&call->lock);
}

static void
admin_on_api(struct mg_connection *conn, struct admin *a)
{
	struct admin_call *call = admin_call_new(a, conn);

	if (!admin_read_body(conn, call->body)) {
		admin_send_error(conn, STATUS_TOO_LARGE,
		    "The body is larger than 8 MiB.",
		    "Split the bundle or shorten it.");
		admin_call_unref(call);
		return;
	}
	admin_parse_bundle(call);
	if (!call->answered) {
		loop_post(control_loop(a->control), admin_dispatch,
		    admin_call_ref(call));
		admin_wait(call);
	}
	admin_reply(conn, call);
	admin_call_unref(call);
}

static void
admin_on_health(struct mg_connection *conn, struct admin *a)
{
	const char *reason = control_refusal_reason(a->control);
	int ready = reason == NULL;

	admin_send_json(conn, ready ? 200 : 503,
	    json_pack("{s:b,s:I,s:s*}", "ready", ready, "version",
		(json_int_t)control_version(a->control), "reason", reason));
}

static void
admin_on_metrics(struct mg_connection *conn)
{
	GString *out = g_string_new(NULL);

	metrics_render(out);
	admin_send(
	    conn, 200, "text/plain; version=0.0.4", out->str, out->len, 0);
	g_string_free(out, TRUE);
}

/* Value of the parameter "name" of a query.  Return: whether it has one that is
 * no longer than a customer's name. */
static int
query_name(const struct mg_request_info *ri, char *name, size_t len)
{
	const char *query = ri->query_string;

	return query != NULL &&
	    mg_get_var(query, strlen(query), "name", name, len) > 0;
}

static void
admin_on_customers(struct mg_connection *conn, struct admin *a)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	char name[CUSTOMER_NAME_BYTES];
	json_t *reply;

	if (strcmp(ri->request_method, "GET") != 0) {
		admin_send_error(conn, STATUS_INVALID,
		    "The resource does not support this method.",
		    "See docs/API.md for its methods.");
		return;
	}
	reply = admin_customers_json(
	    a->usage, query_name(ri, name, sizeof(name)) ? name : NULL);
	if (reply != NULL)
		admin_send_json(conn, 200, reply);
	else
		admin_send_error(conn, STATUS_NOT_FOUND,
		    "The version in force has no customer of this name.",
		    "See the names in the bundle.");
}

static int
admin_on_request(struct mg_connection *conn, void *arg)
{
	const char *uri = mg_get_request_info(conn)->local_uri;

	if (strcmp(uri, "/metrics") == 0)
		admin_on_metrics(conn);
	else if (strcmp(uri, API_PREFIX "health") == 0)
		admin_on_health(conn, arg);
	else if (strcmp(uri, API_PREFIX "customers") == 0)
		admin_on_customers(conn, arg);
	else if (g_str_has_prefix(uri, API_PREFIX))
		admin_on_api(conn, arg);
	else
		admin_send_error(conn, STATUS_NOT_FOUND,
		    "There is no such resource.",
		    "Resources are below /v1/; metrics are at /metrics.");
	return 1;
}

enum status
admin_start(const struct settings *s, struct control *c,
    struct quota_usage *usage, struct admin **out)
{
	char at[ADDR_TEXT_BYTES], threads[ADMIN_TEXT_BYTES];
	const char *options[] = {"listening_ports", at, "num_threads", threads,
	    "enable_keep_alive", "no", "request_timeout_ms", "20000", NULL};
	struct net_addr addr = {s->address, s->admin_port};
	struct admin *a = g_new0(struct admin, 1);

	a->settings = s;
	a->control = c;
	a->usage = usage;
	(void)addr_format(&addr, at);
	(void)snprintf(threads, sizeof(threads), "%u", s->admin_threads);
	a->web = mg_start(NULL, a, options);
	if (a->web == NULL) {
		g_free(a);
		return status_set(STATUS_IO,
		    "The administration API can't listen on %s; free the port "
		    "or change admin_port.",
		    at);
	}
	mg_set_request_handler(a->web, "/", admin_on_request, a);
	log_info("The administration API listens on %s.", at);
	*out = a;
	return STATUS_OK;
}

void
admin_stop(struct admin *a)
{
	if (a == NULL)
		return;
	mg_stop(a->web);
	g_free(a);
}
