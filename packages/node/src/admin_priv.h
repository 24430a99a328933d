/*
 * Inside of the administration API, shared by admin*.c.
 */
#ifndef NODE_ADMIN_PRIV_H
#define NODE_ADMIN_PRIV_H

#include <civetweb.h>
#include <glib.h>
#include <jansson.h>

#include "base/status.h"
#include "config/bundle.h"
#include "node/admin.h"
#include "node/control.h"

/* Longest time that a request waits for its operation. */
#define ADMIN_OPERATION_MS 10000
/* Air for the control thread beyond an operation's own deadline. */
#define ADMIN_GRACE_MS 5000
/* How long a request waits for the data centres to tell their progress. */
#define ADMIN_PROGRESS_MS 150
/* Text of a remote address. */
#define ADMIN_REMOTE_BYTES 48

/**
 * struct admin - the server
 * @settings: settings of the node
 * @control: the control part
 * @web: CivetWeb
 */
struct admin {
	const struct settings *settings;
	struct control *control;
	struct mg_context *web;
};

/**
 * struct admin_call - a request that the control thread answers
 * @admin: the server
 * @method: its method
 * @path: what follows "/v1/"
 * @query: its query, or ""
 * @remote: IP address that it came from
 * @deadline_ms: monotonic time by which its operation must have ended
 * @body: its body
 * @bundle: the bundle in @body, parsed by the worker; NULL for none
 * @warnings: warnings of that bundle, which go along with the answer; NULL
 *	for none
 * @lock: guards what follows
 * @done: signalled with @answered
 * @answered: whether the answer is there
 * @code: HTTP status of the answer
 * @reply: answer, owned
 */
struct admin_call {
	struct admin *admin;
	const char *method;
	char *path;
	char *query;
	char remote[ADMIN_REMOTE_BYTES];
	uint64_t deadline_ms;
	GString *body;
	struct bundle *bundle;
	json_t *warnings;
	GMutex lock;
	GCond done;
	int answered;
	int code;
	json_t *reply;
};

/**
 * admin_call_ref() - keep a request for an answer given later
 *
 * Return: @call, to be given back with admin_call_unref().
 */
struct admin_call *admin_call_ref(struct admin_call *call);

/** admin_call_unref() - give a request back */
void admin_call_unref(struct admin_call *call);

/** admin_call_answer() - give the answer, once; @reply is taken over */
void admin_call_answer(struct admin_call *call, int code, json_t *reply);

/**
 * admin_call_fail() - answer with an error
 * @call: the request
 * @st: kind of the error
 * @message: what went wrong
 * @remedy: what to do
 * @retry_after_ms: when to ask again; 0 when that is of no use
 */
void admin_call_fail(struct admin_call *call, enum status st,
    const char *message, const char *remedy, uint32_t retry_after_ms);

/**
 * admin_call_query() - a parameter of the query
 * @call: the request
 * @name: name of the parameter
 * @buf: where its value goes; empty when it isn't there
 * @len: size of @buf
 *
 * Return: whether it is there.
 */
int admin_call_query(
    const struct admin_call *call, const char *name, char *buf, size_t len);

/** admin_error_json() - an error as JSON, for the answer */
json_t *admin_error_json(enum status st, const char *message,
    const char *remedy, uint32_t retry_after_ms);

/** admin_error_code() - HTTP status of an error */
int admin_error_code(enum status st);

/**
 * admin_parse_bundle() - parse the bundle in a request's body, in the worker
 * @call: the request; answered with all problems when its bundle is bad
 */
void admin_parse_bundle(struct admin_call *call);

/** admin_status() - GET /v1/status; likewise */
void admin_status(struct admin_call *call);

/** admin_versions() - requests below /v1/versions; in the control thread */
void admin_versions(struct admin_call *call);

/** admin_operations() - requests below /v1/operations; likewise */
void admin_operations(struct admin_call *call);

/** admin_validate() - POST /v1/bundles/validate; likewise */
void admin_validate(struct admin_call *call);

/** admin_upstreams() - requests below /v1/upstreams; likewise */
void admin_upstreams(struct admin_call *call);

/** admin_quarantine() - requests that are no longer run */
void admin_quarantine(struct admin_call *call);

#endif
