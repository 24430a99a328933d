/*
 * Administration API: dispatch of requests.
 *
 * A request comes from the server (admin_server.c), where a worker thread
 * parses its bundle and posts it to the control thread.  Only /metrics and
 * /v1/health are answered in the server's thread, so that they work while the
 * control thread and the workers are busy, and /v1/customers by the worker, so
 * that it doesn't hold the control thread up.
 */
#include <string.h>

#include "admin_priv.h"
#include "config/customer.h"
#include "net/loop.h"

struct admin_route {
	const char *method; /* NULL for any */
	const char *path;   /* prefix of the path below ADMIN_PREFIX */
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
		admin_server_post_reply(call);
	}
	g_mutex_unlock(&call->lock);
}

bool
admin_call_is_answered(struct admin_call *call)
{
	bool answered;

	g_mutex_lock(&call->lock);
	answered = call->answered != 0;
	g_mutex_unlock(&call->lock);
	return answered;
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
	GHashTable *params = g_uri_parse_params(
	    call->query, -1, "&", G_URI_PARAMS_WWW_FORM, NULL);
	const char *value =
	    params != NULL ? g_hash_table_lookup(params, name) : NULL;
	int found = value != NULL && strlen(value) < len;

	(void)g_strlcpy(buf, found ? value : "", len);
	if (params != NULL)
		g_hash_table_unref(params);
	return found;
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

/* Runs in the control thread; releases the reference that was posted.  A call
 * that was given up meanwhile may have outlived the server. */
static void
admin_dispatch(void *arg)
{
	if (!admin_call_is_answered(arg))
		admin_route(arg);
	admin_call_unref(arg);
}

static void
handle_health(struct admin_call *call)
{
	const char *reason = control_refusal_reason(call->admin->control);
	int ready = reason == NULL;

	admin_call_answer(call, ready ? 200 : 503,
	    json_pack("{s:b,s:I,s:s*}", "ready", ready, "version",
		(json_int_t)control_version(call->admin->control), "reason",
		reason));
}

static void
handle_customers(struct admin_call *call)
{
	char *name;
	json_t *reply;

	if (strcmp(call->method, "GET") != 0) {
		admin_call_fail(call, STATUS_INVALID,
		    "The resource does not support this method.",
		    "See docs/API.md for its methods.", 0);
		return;
	}
	name = g_malloc(CUSTOMER_NAME_BYTES);
	reply = admin_customers_json(call->admin->usage,
	    admin_call_query(call, "name", name, CUSTOMER_NAME_BYTES) &&
		    name[0] != '\0'
		? name
		: NULL);
	g_free(name);
	if (reply != NULL)
		admin_call_answer(call, 200, reply);
	else
		admin_call_fail(call, STATUS_NOT_FOUND,
		    "The version in force has no customer of this name.",
		    "See the names in the bundle.", 0);
}

int
admin_serve_at_once(struct admin_call *call)
{
	if (call->too_large)
		admin_call_fail(call, STATUS_TOO_LARGE,
		    "The body is larger than 8 MiB.",
		    "Split the bundle or shorten it.", 0);
	else if (strcmp(call->path, "health") == 0)
		handle_health(call);
	return admin_call_is_answered(call);
}

void
admin_serve(struct admin_call *call)
{
	if (strcmp(call->path, "customers") == 0) {
		handle_customers(call);
		return;
	}
	admin_parse_bundle(call);
	if (!admin_call_is_answered(call))
		loop_post(control_loop(call->admin->control), admin_dispatch,
		    admin_call_ref(call));
}
