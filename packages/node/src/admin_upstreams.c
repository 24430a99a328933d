/*
 * Administration API: announcements of the upstreams on this host.
 */
#include <string.h>

#include "admin_priv.h"
#include "config/service.h"
#include "membership/member.h"
#include "proto/addr.h"
#include "proto/settings.h"

#define PORT_MAX 65535
#define LEASE_MIN_MS 100
#define LOOPBACK "127.0.0.1"

/* Contents of an announcement. */
struct announcement {
	uint16_t port;
	uint16_t slots;
	enum endpoint_state state;
	uint32_t lease_ms;
};

static int
from_own_host(const struct admin_call *call)
{
	char own[ADDR_TEXT_BYTES];

	(void)addr_format_ip(call->admin->settings->address, own);
	return strcmp(call->remote, own) == 0 ||
	    strcmp(call->remote, LOOPBACK) == 0;
}

static int
state_parse(const char *name, enum endpoint_state *state)
{
	int i;

	for (i = ENDPOINT_STARTING; i <= ENDPOINT_DRAINING; i++) {
		if (strcmp(name, endpoint_state_name(i)) == 0) {
			*state = (enum endpoint_state)i;
			return 1;
		}
	}
	return 0;
}

/* Parses an announcement; sets status_message() when it is invalid. */
static enum status
announcement_parse(const struct admin_call *call, struct announcement *out)
{
	uint32_t lease_max_ms = call->admin->settings->announce_lease_ms;
	const char *state = "ready";
	json_int_t lease = lease_max_ms;
	json_int_t port = 0, slots = 0;
	json_error_t err;
	json_t *o;
	int bad;

	o = json_loadb(call->body->str, call->body->len, 0, &err);
	if (o == NULL)
		return status_set(STATUS_INVALID,
		    "The announcement is not JSON: %s", err.text);
	bad = json_unpack_ex(o, &err, JSON_STRICT, "{s:I, s:I, s?:s, s?:I}",
	    "port", &port, "slots", &slots, "state", &state, "lease_ms",
	    &lease);
	if (!bad && !state_parse(state, &out->state)) {
		bad = 1;
		(void)g_strlcpy(err.text,
		    "state must be starting, ready or draining",
		    sizeof(err.text));
	}
	json_decref(o);
	if (bad)
		return status_set(STATUS_INVALID,
		    "The announcement is invalid: %s.", err.text);
	if (port < 1 || port > PORT_MAX || slots < 1 ||
	    slots > SERVICE_SLOTS_MAX || lease < LEASE_MIN_MS)
		return status_set(STATUS_INVALID,
		    "port and slots must be 1 to 65535 and lease_ms at least "
		    "%d.",
		    LEASE_MIN_MS);
	out->port = (uint16_t)port;
	out->slots = (uint16_t)slots;
	out->lease_ms = (uint32_t)MIN(lease, lease_max_ms);
	return STATUS_OK;
}

static void
upstream_announce(struct admin_call *call, const char *service)
{
	struct announcement a = {0};
	enum status st;

	st = announcement_parse(call, &a);
	if (st == STATUS_OK)
		st = control_announce(call->admin->control, service, a.port,
		    a.slots, a.state, a.lease_ms, MEMBER_COLD_UNKNOWN, NULL);
	if (st != STATUS_OK) {
		admin_call_fail(call, st, status_message(),
		    "See docs/API.md for the announcement's fields.", 0);
		return;
	}
	admin_call_answer(call, 200,
	    json_pack(
		"{s:s,s:i}", "service", service, "lease_ms", (int)a.lease_ms));
}

static void
upstream_withdraw(struct admin_call *call, const char *service)
{
	char text[8];
	uint16_t port;
	enum status st;

	(void)admin_call_query(call, "port", text, sizeof(text));
	port = (uint16_t)strtoul(text, NULL, 10);
	st = control_withdraw(call->admin->control, service, port);
	if (st != STATUS_OK)
		admin_call_fail(call, st, "No such upstream is announced.",
		    "Nothing needs to be done.", 0);
	else
		admin_call_answer(
		    call, 200, json_pack("{s:s}", "service", service));
}

void
admin_upstreams(struct admin_call *call)
{
	const char *name = call->path + strlen("upstreams/");
	char service[NAME_ID_BYTES];

	(void)name_id(NAME_OF_SERVICE, name, service);
	if (!from_own_host(call))
		admin_call_fail(call, STATUS_INVALID,
		    "Upstreams announce themselves to the node of their own "
		    "host only.",
		    "Send this to the node of the upstream's host.", 0);
	else if (service[0] == '\0')
		admin_call_fail(call, STATUS_INVALID,
		    "The path names no service.", "See docs/API.md.", 0);
	else if (strcmp(call->method, "PUT") == 0)
		upstream_announce(call, service);
	else if (strcmp(call->method, "DELETE") == 0)
		upstream_withdraw(call, service);
	else
		admin_call_fail(call, STATUS_INVALID,
		    "Upstreams support PUT and DELETE.", "See docs/API.md.", 0);
}
