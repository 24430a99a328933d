/*
 * Administration API: versions and operations.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admin_priv.h"
#include "base/clock.h"
#include "net/loop.h"
#include "proto/settings.h"

#define HISTORY_DEFAULT 20
#define NUMBER_BYTES 24
#define SEED_MULTIPLIER UINT64_C(0x9e3779b97f4a7c15)

/* A request for one version, which waits for the version's row and for the
 * progress reports of the data centres. */
struct version_call {
	struct admin_call *call;
	struct loop_timer timer;
	uint64_t version;
	json_t *row;
	enum status st;
	int row_done;
	int timer_done;
};

static uint64_t
admin_now(const struct admin_call *call)
{
	return loop_now_ms(control_loop(call->admin->control));
}

static json_t *
version_json(const struct store_version *v)
{
	char hex[DIGEST_HEX_BYTES];

	hash_digest_hex(&v->root, hex);
	return json_pack("{s:I,s:I,s:s,s:s,s:s,s:s,s:I}", "version",
	    (json_int_t)v->version, "parent", (json_int_t)v->parent, "root",
	    hex, "op", v->op, "operator", v->operator_name, "note", v->note,
	    "wall_ms", (json_int_t)v->wall_ms);
}

static void
fail_platform(struct admin_call *call, enum status st)
{
	admin_call_fail(call, st, status_message(),
	    "Retry later; the nodes continue with the version that they "
	    "hold.",
	    SIGNOFF_BACKOFF_MAX_MS);
}

/* History: reads the head row, then the rows of the newest versions. */

static void
history_on_rows(enum status st, const struct store_version *rows, uint32_t n,
    uint64_t upto, void *arg)
{
	struct admin_call *call = arg;
	json_t *list = json_array();
	uint32_t i;

	(void)upto;
	if (st != STATUS_OK) {
		json_decref(list);
		fail_platform(call, st);
	} else {
		for (i = n; i > 0; i--)
			json_array_append_new(list, version_json(&rows[i - 1]));
		admin_call_answer(
		    call, 200, json_pack("{s:o}", "versions", list));
	}
	admin_call_unref(call);
}

static uint64_t
history_limit(const struct admin_call *call)
{
	char text[NUMBER_BYTES];
	uint64_t limit;

	if (!admin_call_query(call, "limit", text, sizeof(text)))
		return HISTORY_DEFAULT;
	limit = strtoull(text, NULL, 10);
	return CLAMP(limit, 1, STORE_VERSIONS_MAX);
}

static void
history_on_head(enum status st, const struct store_head *head, void *arg)
{
	struct admin_call *call = arg;
	uint64_t from, limit = history_limit(call);

	if (st == STATUS_NOT_FOUND) {
		history_on_rows(STATUS_OK, NULL, 0, 0, call);
		return;
	}
	if (st != STATUS_OK) {
		history_on_rows(st, NULL, 0, 0, call);
		return;
	}
	from = head->version > limit ? head->version - limit + 1 : 1;
	store_read_versions(control_store(call->admin->control), from,
	    head->version, admin_now(call) + SIGNOFF_REQUEST_TIMEOUT_MS,
	    history_on_rows, call);
}

static void
versions_history(struct admin_call *call)
{
	store_read_head(control_store(call->admin->control),
	    admin_now(call) + SIGNOFF_REQUEST_TIMEOUT_MS, history_on_head,
	    admin_call_ref(call));
}

/* One version with its progress */

static void
version_finish(struct version_call *vc)
{
	struct control *c = vc->call->admin->control;
	json_t *reply, *row;

	if (!vc->row_done || !vc->timer_done)
		return;
	if (vc->st == STATUS_NOT_FOUND) {
		admin_call_fail(vc->call, STATUS_NOT_FOUND,
		    "There is no such version.",
		    "List the versions with GET /v1/versions.", 0);
	} else {
		row = vc->row != NULL ? json_incref(vc->row) : json_null();
		reply = json_pack("{s:I,s:o,s:o}", "version",
		    (json_int_t)vc->version, "record", row, "progress",
		    control_progress_json(c, vc->version));
		admin_call_answer(vc->call, 200, reply);
	}
	json_decref(vc->row);
	admin_call_unref(vc->call);
	g_free(vc);
}

static void
version_on_row(enum status st, const struct store_version *rows, uint32_t n,
    uint64_t upto, void *arg)
{
	struct version_call *vc = arg;

	(void)upto;
	vc->st = st == STATUS_OK && n == 0 ? STATUS_NOT_FOUND : st;
	if (st == STATUS_OK && n > 0)
		vc->row = version_json(&rows[0]);
	vc->row_done = 1;
	version_finish(vc);
}

static void
version_on_timer(void *arg)
{
	struct version_call *vc = arg;

	vc->timer_done = 1;
	version_finish(vc);
}

static void
versions_one(struct admin_call *call, uint64_t version)
{
	struct version_call *vc = g_new0(struct version_call, 1);
	struct control *c = call->admin->control;

	vc->call = admin_call_ref(call);
	vc->version = version;
	loop_timer_init(&vc->timer, control_loop(c), version_on_timer, vc);
	loop_timer_set(&vc->timer, admin_now(call) + ADMIN_PROGRESS_MS);
	control_request_progress(c);
	store_read_versions(control_store(c), version, version,
	    admin_now(call) + SIGNOFF_REQUEST_TIMEOUT_MS, version_on_row, vc);
}

/* Sign-off, halt, supersede and find */

static json_t *
outcome_json(const struct signoff_outcome *o, const char *op)
{
	return json_pack("{s:s,s:s,s:b,s:I,s:I,s:I,s:s}", "op", op, "state",
	    signoff_result_name(o->result), "repeated", o->repeated, "version",
	    (json_int_t)o->version, "in_force", (json_int_t)o->in_force,
	    "newest_version", (json_int_t)o->newest_version, "message",
	    o->message);
}

static enum status
outcome_status(enum signoff_result result)
{
	switch (result) {
	case SIGNOFF_DONE:
	case SIGNOFF_ALREADY_HALTED:
		return STATUS_OK;
	case SIGNOFF_CONFLICT:
		return STATUS_CONFLICT;
	case SIGNOFF_NOT_FOUND:
		return STATUS_NOT_FOUND;
	case SIGNOFF_INVALID:
		return STATUS_INVALID;
	case SIGNOFF_UNAVAILABLE:
		return STATUS_UNAVAILABLE;
	case SIGNOFF_UNKNOWN:
		return STATUS_UNKNOWN;
	}
	return STATUS_INTERNAL;
}

static const char *
outcome_remedy(enum signoff_result result)
{
	switch (result) {
	case SIGNOFF_CONFLICT:
		return "Look at the newer version, then decide again.";
	case SIGNOFF_NOT_FOUND:
		return "Look it up with GET /v1/versions.";
	case SIGNOFF_UNAVAILABLE:
		return "Nothing was done; retry later.";
	case SIGNOFF_UNKNOWN:
		return "Look it up with GET /v1/operations/OP, or repeat the "
		       "request "
		       "with the same op.";
	default:
		return "Correct the request.";
	}
}

static void
answer_failure(struct admin_call *call, const struct signoff_outcome *o,
    enum status st, const char *op)
{
	json_t *reply = admin_error_json(
	    st, o->message, outcome_remedy(o->result), o->retry_after_ms);

	json_object_set_new(reply, "op", json_string(op));
	json_object_set_new(
	    reply, "after_seq", json_integer((json_int_t)o->after_seq));
	if (o->winner_op[0] != '\0')
		json_object_set_new(reply, "winner",
		    json_pack("{s:I,s:b,s:s,s:s}", "version",
			(json_int_t)o->winner_version, "halted",
			o->winner_halted, "op", o->winner_op, "operator",
			o->winner_operator));
	admin_call_answer(call, admin_error_code(st), reply);
}

/* A request that waits for the end of its operation. */
struct operation_call {
	struct admin_call *call;
	char op[STORE_OP_BYTES];
	int code;
};

static void
operation_on_end(const struct operation_end *end, void *arg)
{
	struct operation_call *oc = arg;
	const struct signoff_outcome *o = end->outcome;
	enum status st = outcome_status(o->result);

	if (st == STATUS_OK)
		admin_call_answer(oc->call, oc->code, outcome_json(o, oc->op));
	else
		answer_failure(oc->call, o, st, oc->op);
	admin_call_unref(oc->call);
	g_free(oc);
}

/* Sets the fields that all operations have in common. */
static void
request_init(struct admin_call *call, struct signoff_request *req,
    enum signoff_kind kind)
{
	char text[NUMBER_BYTES];

	memset(req, 0, sizeof(*req));
	req->kind = kind;
	(void)admin_call_query(
	    call, "operator", req->operator_name, sizeof(req->operator_name));
	(void)admin_call_query(call, "note", req->note, sizeof(req->note));
	(void)admin_call_query(call, "op", req->op, sizeof(req->op));
	req->fresh = admin_call_query(call, "fresh", text, sizeof(text)) != 0;
	if (req->op[0] == '\0') {
		gchar *id = g_uuid_string_random();

		(void)g_strlcpy(req->op, id, sizeof(req->op));
		g_free(id);
		req->fresh = true;
	}
	req->has_parent =
	    admin_call_query(call, "parent", text, sizeof(text)) != 0;
	req->parent = strtoull(text, NULL, 10);
	(void)admin_call_query(call, "race_retries", text, sizeof(text));
	req->race_retries = (uint32_t)strtoul(text, NULL, 10);
	(void)admin_call_query(call, "after_seq", text, sizeof(text));
	req->after_seq = strtoull(text, NULL, 10);
	req->wall_ms = clock_wall_ms();
	req->deadline_ms = call->deadline_ms;
	req->seed = (uint32_t)((clock_now_us() * SEED_MULTIPLIER) >> 32);
}

static void
operate(struct admin_call *call, const struct signoff_request *req, int code)
{
	struct operation_call *oc = g_new0(struct operation_call, 1);
	struct bundle *b = call->bundle;
	enum status st;

	oc->call = admin_call_ref(call);
	oc->code = code;
	(void)g_strlcpy(oc->op, req->op, sizeof(oc->op));
	call->bundle = NULL;
	st = control_run_operation(
	    call->admin->control, req, b, operation_on_end, oc);
	if (st == STATUS_OK)
		return;
	admin_call_fail(call, st, status_message(),
	    "Correct the request; see docs/API.md.", 0);
	admin_call_unref(oc->call);
	g_free(oc);
}

static void
versions_sign_off(struct admin_call *call)
{
	struct signoff_request req;

	if (call->bundle == NULL) {
		admin_call_fail(call, STATUS_INVALID, "The body is empty.",
		    "Send the bundle as the body.", 0);
		return;
	}
	request_init(call, &req, SIGNOFF_SIGN_OFF);
	operate(call, &req, 201);
}

static void
versions_action(struct admin_call *call, uint64_t version, const char *verb)
{
	struct signoff_request req;

	if (strcmp(verb, "/halt") == 0) {
		request_init(call, &req, SIGNOFF_HALT);
		req.version = version;
		operate(call, &req, 200);
	} else if (strcmp(verb, "/supersede") == 0) {
		request_init(call, &req,
		    call->bundle != NULL ? SIGNOFF_SIGN_OFF
					 : SIGNOFF_SUPERSEDE);
		req.version = call->bundle != NULL ? 0 : version;
		operate(call, &req, 201);
	} else {
		admin_call_fail(call, STATUS_NOT_FOUND,
		    "A version can be halted or superseded.",
		    "POST to /v1/versions/N/halt or "
		    "/v1/versions/N/supersede.",
		    0);
	}
}

void
admin_versions(struct admin_call *call)
{
	const char *rest = call->path + strlen("versions");
	int post = strcmp(call->method, "POST") == 0;
	uint64_t version;
	char *end;

	if (*rest == '\0' && post) {
		versions_sign_off(call);
		return;
	}
	if (*rest == '\0') {
		versions_history(call);
		return;
	}
	version = strtoull(rest + 1, &end, 10);
	if (*rest != '/' || end == rest + 1 || version == 0)
		admin_call_fail(call, STATUS_INVALID,
		    "A version is a number from 1 up.",
		    "List the versions with GET /v1/versions.", 0);
	else if (post)
		versions_action(call, version, end);
	else
		versions_one(call, version);
}

void
admin_operations(struct admin_call *call)
{
	const char *op = call->path + strlen("operations/");
	struct signoff_request req;

	request_init(call, &req, SIGNOFF_FIND);
	(void)g_strlcpy(req.op, op, sizeof(req.op));
	req.fresh = false;
	operate(call, &req, 200);
}
