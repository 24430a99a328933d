/*
 * Administration API: the HTTP server.
 *
 * One thread serves all connections, so that silent clients occupy no
 * worker.
 */
#define LOG_PART "admin"

#include <stdlib.h>
#include <string.h>

#include "admin_priv.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "net/loop.h"
#include "proto/settings.h"

#define DECIMAL 10
#define MS_PER_S 1000
#define RETRY_BYTES 16
#define LINES_MAX 3
#define STOP_POLL_MS 2
/* Room for one version of the largest size, and for small requests. */
#define UPLOADS_MAX_BYTES (BUNDLE_MAX_BYTES + (UINT64_C(8) << 20))

static void
send_answer(struct http_incoming *q, int code, const char *type,
    const char *body, size_t len, uint32_t retry_after_ms)
{
	struct http_header lines[LINES_MAX] = {
	    {"Content-Type", type}, {"Cache-Control", "no-store"}};
	char retry[RETRY_BYTES];
	uint32_t n = LINES_MAX - 1;

	if (retry_after_ms > 0) {
		(void)g_snprintf(retry, sizeof(retry), "%u",
		    (retry_after_ms + MS_PER_S - 1) / MS_PER_S);
		lines[n++] = (struct http_header){"Retry-After", retry};
	}
	http_incoming_answer(q, code, lines, n, (int64_t)len, true);
	http_incoming_write(q, body, len);
	http_incoming_end(q);
}

static void
send_json(struct http_incoming *q, int code, const json_t *reply)
{
	json_t *error = json_object_get(reply, "error");
	json_t *retry = json_object_get(error, "retry_after_ms");
	char *text = json_dumps(reply, JSON_INDENT(1));

	send_answer(q, code, "application/json", text, strlen(text),
	    (uint32_t)json_integer_value(retry));
	free(text);
}

static void
send_error(struct http_incoming *q, int code, enum status st,
    const char *message, const char *remedy)
{
	json_t *j = admin_error_json(st, message, remedy, 0);

	send_json(q, code, j);
	json_decref(j);
}

static void
send_metrics(struct http_incoming *q)
{
	GString *out = g_string_new(NULL);

	metrics_render(out);
	send_answer(q, 200, "text/plain; version=0.0.4", out->str, out->len, 0);
	g_string_free(out, TRUE);
}

/* Calls */

/* Sends the answer; releases the server's reference. */
static void
send_reply(void *arg)
{
	struct admin_call *call = arg;
	struct http_incoming *q = call->incoming;

	call->incoming = NULL;
	loop_timer_stop(&call->timer);
	if (q != NULL)
		send_json(q, call->code, call->reply);
	atomic_fetch_sub(&call->admin->in_flight, 1);
	admin_call_unref(call);
}

void
admin_server_post_reply(struct admin_call *call)
{
	loop_post(call->admin->loop, send_reply, call);
}

static void
on_timeout(void *arg)
{
	admin_call_fail(arg, STATUS_UNKNOWN,
	    "The control thread did not answer in time.",
	    "Look up its result with GET /v1/operations/OP.", 0);
}

/* Deadline of the operation; the client may allow less time than
 * ADMIN_OPERATION_MS. */
static uint64_t
operation_deadline_ms(const struct http_incoming_head *head)
{
	uint64_t left_ms = ADMIN_OPERATION_MS;
	uint32_t i;

	for (i = 0; i < head->n_headers; i++)
		if (g_ascii_strcasecmp(
			head->headers[i].name, "Bramley-Deadline-Ms") == 0)
			left_ms = MIN(left_ms,
			    strtoull(head->headers[i].value, NULL, DECIMAL));
	return clock_now_ms() + left_ms;
}

static struct admin_call *
call_new(struct admin *a, struct http_incoming *q,
    const struct http_incoming_head *head, char *path)
{
	struct admin_call *call = g_atomic_rc_box_new0(struct admin_call);
	const char *query = strchr(head->target, '?');

	call->admin = a;
	call->incoming = q;
	call->method = g_intern_string(head->method);
	call->path = path;
	call->query = g_strdup(query != NULL ? query + 1 : "");
	(void)addr_format_ip(head->caller.ip, call->remote);
	call->deadline_ms = operation_deadline_ms(head);
	call->body = g_string_new(NULL);
	g_mutex_init(&call->lock);
	loop_timer_init(&call->timer, a->loop, on_timeout, call);
	return call;
}

/* Callbacks of the HTTP server */

/* The path without its query, decoded; NULL when it is malformed. */
static char *
decode_path(const char *target)
{
	return g_uri_unescape_segment(
	    target, target + strcspn(target, "?"), NULL);
}

static void
on_request(
    struct http_incoming *q, const struct http_incoming_head *head, void *arg)
{
	char *path = decode_path(head->target);

	http_incoming_continue(q);
	if (path == NULL)
		send_error(q, 400, STATUS_INVALID, "The path is malformed.",
		    "Encode it as in a URL.");
	else if (strcmp(path, "/metrics") == 0)
		send_metrics(q);
	else if (!g_str_has_prefix(path, ADMIN_PREFIX))
		send_error(q, 404, STATUS_NOT_FOUND,
		    "There is no such resource.",
		    "Resources are below /v1/; metrics are at /metrics.");
	else
		http_incoming_set_arg(q,
		    call_new(
			arg, q, head, g_strdup(path + strlen(ADMIN_PREFIX))));
	g_free(path);
}

static void
on_body(struct http_incoming *q, const uint8_t *data, size_t len)
{
	struct admin_call *call = http_incoming_arg(q);

	if (call == NULL || call->too_large)
		return;
	call->too_large = call->body->len + len > BUNDLE_MAX_BYTES;
	if (!call->too_large)
		g_string_append_len(
		    call->body, (const char *)data, (gssize)len);
	http_incoming_set_held(q, call->body->allocated_len);
}

static void
on_body_end(struct http_incoming *q)
{
	struct admin_call *call = http_incoming_arg(q);

	if (call == NULL)
		return;
	call->complete = true;
	atomic_fetch_add(&call->admin->in_flight, 1);
	loop_timer_set(
	    &call->timer, clock_now_ms() + ADMIN_OPERATION_MS + ADMIN_GRACE_MS);
	if (!admin_serve_at_once(call))
		(void)g_thread_pool_push(
		    call->admin->workers, admin_call_ref(call), NULL);
}

/* A complete request is carried out although its client has left, such as the
 * deregistration of an upstream that ends. */
static void
on_gone(struct http_incoming *q)
{
	struct admin_call *call = http_incoming_arg(q);

	if (call == NULL)
		return;
	call->incoming = NULL;
	if (!call->complete)
		admin_call_unref(call);
}

static void
on_bad(struct http_incoming *q, int code, void *arg)
{
	(void)arg;
	send_error(q, code, STATUS_INVALID,
	    "The request is malformed, or too many connections are open.",
	    "See docs/API.md, or try again later.");
}

static const struct http_server_handler handler = {
    .on_request = on_request,
    .on_body = on_body,
    .on_body_end = on_body_end,
    .on_gone = on_gone,
    .on_bad = on_bad,
    .serve_departed = true,
};

static void
work(void *call, void *unused)
{
	(void)unused;
	admin_serve(call);
	admin_call_unref(call);
}

/* Start and stop */

static void *
run(void *arg)
{
	struct admin *a = arg;

	loop_run(a->loop);
	return NULL;
}

/* Waits for the requests that were read while the loop stopped: the control
 * thread still works on them. */
static void
await_calls(struct admin *a)
{
	while (a->in_flight > 0)
		loop_run_once(a->loop, clock_now_ms() + STOP_POLL_MS);
}

static void
admin_free(struct admin *a)
{
	http_server_free(a->server);
	if (a->workers != NULL)
		g_thread_pool_free(a->workers, FALSE, TRUE);
	if (a->loop != NULL)
		await_calls(a);
	loop_free(a->loop);
	g_free(a);
}

enum status
admin_start(const struct settings *s, struct control *c,
    struct quota_usage *usage, struct admin **out)
{
	struct net_addr at = {s->address, s->admin_port};
	struct http_server_limits limits = {.use = DESCRIPTORS_ADMIN,
	    .overlap_max = 1,
	    .buffer_max_bytes = UPLOADS_MAX_BYTES};
	struct admin *a = g_new0(struct admin, 1);
	char text[ADDR_TEXT_BYTES];

	a->settings = s;
	a->control = c;
	a->usage = usage;
	a->loop = loop_new();
	a->workers =
	    g_thread_pool_new(work, NULL, (gint)s->admin_threads, FALSE, NULL);
	(void)addr_format(&at, text);
	if (a->loop == NULL ||
	    http_server_new(a->loop, at, &limits, &handler, a, &a->server) !=
		STATUS_OK) {
		admin_free(a);
		return status_set(STATUS_IO,
		    "The administration API can't listen on %s; free the port "
		    "or change admin_port.",
		    text);
	}
	a->thread = g_thread_new("admin", run, a);
	log_info("The administration API listens on %s.", text);
	*out = a;
	return STATUS_OK;
}

static void
unlisten(void *arg)
{
	struct admin *a = arg;

	http_server_unlisten(a->server);
}

/* Each call is answered by its timer at the latest. */
void
admin_stop(struct admin *a)
{
	if (a == NULL)
		return;
	loop_post(a->loop, unlisten, a);
	while (a->in_flight > 0)
		g_usleep(STOP_POLL_MS * G_TIME_SPAN_MILLISECOND);
	loop_stop(a->loop);
	(void)g_thread_join(a->thread);
	admin_free(a);
}
