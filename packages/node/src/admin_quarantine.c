/*
 * Administration API: quarantined requests.
 */
#include <string.h>

#include "admin_priv.h"
#include "traffic/fingerprint.h"

#define QUARANTINE_PATH "quarantine"

static void
list_requests(struct admin_call *call)
{
	json_t *requests = control_quarantine_json(call->admin->control);

	admin_call_answer(call, 200, json_pack("{s:o}", "requests", requests));
}

static void
release_request(struct admin_call *call, const char *name)
{
	struct fingerprint f;
	enum status st;

	if (!fingerprint_parse(name, &f)) {
		admin_call_fail(call, STATUS_INVALID,
		    "The path contains no valid fingerprint of a request.",
		    "Use one from the list of GET /v1/quarantine.", 0);
		return;
	}
	st = control_quarantine_release(call->admin->control, &f);
	if (st != STATUS_OK)
		admin_call_fail(call, st, status_message(),
		    "Use one from the list of GET /v1/quarantine.", 0);
	else
		admin_call_answer(
		    call, 200, json_pack("{s:s}", "released", name));
}

void
admin_quarantine(struct admin_call *call)
{
	const char *rest = call->path + strlen(QUARANTINE_PATH);

	if (*rest == '\0' && strcmp(call->method, "GET") == 0)
		list_requests(call);
	else if (*rest == '/' && strcmp(call->method, "DELETE") == 0)
		release_request(call, rest + 1);
	else
		admin_call_fail(call, STATUS_INVALID,
		    "The list supports GET, a request in it DELETE.",
		    "See docs/API.md.", 0);
}
