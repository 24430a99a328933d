/*
 * Administration API: bundles in request bodies.
 */
#include <malloc.h>
#include <string.h>

#include "admin_priv.h"

static json_t *
problem_json(const struct bundle_problem *p)
{
	return json_pack("{s:s,s:s,s:s}", "path", p->path, "message",
	    p->message, "remedy", p->remedy);
}

static json_t *
list_json(const GPtrArray *problems)
{
	json_t *list = json_array();
	guint i;

	for (i = 0; i < problems->len; i++)
		json_array_append_new(
		    list, problem_json(g_ptr_array_index(problems, i)));
	return list;
}

static void
answer_problems(struct admin_call *call, enum status st, const struct bundle *b)
{
	json_t *reply;

	reply = admin_error_json(st, status_message(),
	    "Correct each problem that is listed and send the bundle again.",
	    0);
	json_object_set_new(reply, "problems", list_json(b->problems));
	admin_call_answer(call, admin_error_code(st), reply);
}

void
admin_parse_bundle(struct admin_call *call)
{
	enum status st;

	if (call->body->len == 0 || strcmp(call->method, "POST") != 0)
		return;
	if (!g_str_has_prefix(call->path, "versions") &&
	    !g_str_has_prefix(call->path, "bundles/"))
		return;
	st = bundle_parse(call->body->str, call->body->len, &call->bundle);
	/* Parsing needs many times the size of the bundle.  Without this call
	 * the freed memory would remain in the allocator's arena. */
	(void)malloc_trim(0);
	if (call->bundle->n_warnings > 0)
		call->warnings = list_json(call->bundle->warnings);
	if (st != STATUS_OK)
		answer_problems(call, st, call->bundle);
}

void
admin_validate(struct admin_call *call)
{
	char hex[DIGEST_HEX_BYTES];
	struct bundle *b = call->bundle;

	if (b == NULL) {
		admin_call_fail(call, STATUS_INVALID, "The body is empty.",
		    "Send the bundle as the body.", 0);
		return;
	}
	hash_digest_hex(&b->root, hex);
	admin_call_answer(call, 200,
	    json_pack("{s:b,s:s,s:i,s:s}", "valid", 1, "name", b->name,
		"services", (int)bundle_n_services(b), "root", hex));
}
