/*
 * Internals of the administration API, shared by admin*.c.
 */
#ifndef NODE_ADMIN_PRIV_H
#define NODE_ADMIN_PRIV_H

#include <stdatomic.h>
#include <stdbool.h>

#include <glib.h>
#include <jansson.h>

#include "base/status.h"
#include "config/bundle.h"
#include "net/http_server.h"
#include "node/admin.h"
#include "node/control.h"
#include "quota/usage.h"

/* Maximum time that a request waits for its operation. */
#define ADMIN_OPERATION_MS 10000
/* Additional time for the control thread after an operation's own deadline. */
#define ADMIN_GRACE_MS 5000
/* How long a request waits for the progress reports of the data centres. */
#define ADMIN_PROGRESS_MS 150
/* What the paths of the API begin with. */
#define ADMIN_PREFIX "/v1/"
/* Size of the text of a remote address. */
#define ADMIN_REMOTE_BYTES 48

/**
 * struct admin - the server
 * @settings: settings of the node
 * @control: control of the node
 * @usage: usage of customers at this node
 * @loop: event loop of the server
 * @thread: runs @loop
 * @server: the HTTP server
 * @workers: threads that parse bundles
 * @in_flight: requests without an answer
 */
struct admin {
	const struct settings *settings;
	struct control *control;
	struct quota_usage *usage;
	struct loop *loop;
	GThread *thread;
	struct http_server *server;
	GThreadPool *workers;
	_Atomic uint32_t in_flight;
};

/**
 * struct admin_call - a request
 * @admin: the server
 * @incoming: the request on its connection, NULL when the client has left; in
 *	the server's thread only
 * @timer: answers when nobody else has; likewise
 * @method: HTTP method
 * @path: path after "/v1/"
 * @query: query string, or ""
 * @remote: IP address of the client
 * @deadline_ms: monotonic time by which the operation must have ended
 * @body: body of the request
 * @complete: the whole request was received; in the server's thread only
 * @too_large: the body is larger than a bundle may be
 * @bundle: the bundle in @body, parsed by the worker; NULL for none
 * @warnings: warnings of that bundle, which are added to the answer; NULL for
 *	none
 * @lock: protects the fields below
 * @answered: whether the answer has been given
 * @code: HTTP status of the answer
 * @reply: body of the answer, owned
 */
struct admin_call {
	struct admin *admin;
	struct http_incoming *incoming;
	struct loop_timer timer;
	const char *method;
	char *path;
	char *query;
	char remote[ADMIN_REMOTE_BYTES];
	uint64_t deadline_ms;
	GString *body;
	bool complete;
	bool too_large;
	struct bundle *bundle;
	json_t *warnings;
	GMutex lock;
	int answered;
	int code;
	json_t *reply;
};

/**
 * admin_call_ref() - take a reference to a request, to answer it later
 *
 * Return: @call, to be released with admin_call_unref().
 */
struct admin_call *admin_call_ref(struct admin_call *call);

/** admin_call_unref() - release a reference to a request */
void admin_call_unref(struct admin_call *call);

/** admin_call_answer() - answer a request; takes ownership of @reply, which
 * is dropped if the request has been answered already */
void admin_call_answer(struct admin_call *call, int code, json_t *reply);

/** admin_call_is_answered() - whether a request has been answered */
bool admin_call_is_answered(struct admin_call *call);

/**
 * admin_call_fail() - answer with an error
 * @call: the request
 * @st: kind of the error
 * @message: description of the error
 * @remedy: what the client can do
 * @retry_after_ms: delay before the client should retry; 0 when a retry is of
 *	no use
 */
void admin_call_fail(struct admin_call *call, enum status st,
    const char *message, const char *remedy, uint32_t retry_after_ms);

/**
 * admin_call_query() - read a parameter of the query
 * @call: the request
 * @name: name of the parameter
 * @buf: receives the value; empty when the parameter is missing
 * @len: size of @buf
 *
 * Return: whether the query has the parameter.
 */
int admin_call_query(
    const struct admin_call *call, const char *name, char *buf, size_t len);

/** admin_server_post_reply() - have the server send the answer; with @call's
 * lock held */
void admin_server_post_reply(struct admin_call *call);

/** admin_serve_at_once() - answer what needs no other thread; returns whether
 * @call was answered */
int admin_serve_at_once(struct admin_call *call);

/** admin_serve() - answer, or post to the control thread; in a worker thread */
void admin_serve(struct admin_call *call);

/** admin_error_json() - an error as JSON, the body of an answer */
json_t *admin_error_json(enum status st, const char *message,
    const char *remedy, uint32_t retry_after_ms);

/** admin_error_code() - HTTP status of an error */
int admin_error_code(enum status st);

/**
 * admin_parse_bundle() - parse the bundle in a request's body, in the worker
 * thread
 * @call: the request; answered with all problems when its bundle is invalid
 */
void admin_parse_bundle(struct admin_call *call);

/**
 * admin_customers_json() - usage of customers, the answer to GET /v1/customers
 * @usage: usage at this node
 * @name: the customer that is asked for; NULL for all with requests in the last
 *	period
 *
 * In a worker thread.
 *
 * Return: the body, or NULL if the version in force has no customer @name.
 */
json_t *admin_customers_json(struct quota_usage *usage, const char *name);

/** admin_status() - GET /v1/status; in the control thread */
void admin_status(struct admin_call *call);

/** admin_versions() - requests below /v1/versions; likewise */
void admin_versions(struct admin_call *call);

/** admin_operations() - requests below /v1/operations; likewise */
void admin_operations(struct admin_call *call);

/** admin_validate() - POST /v1/bundles/validate; likewise */
void admin_validate(struct admin_call *call);

/** admin_upstreams() - requests below /v1/upstreams; likewise */
void admin_upstreams(struct admin_call *call);

/** admin_quarantine() - requests below /v1/quarantine; likewise */
void admin_quarantine(struct admin_call *call);

#endif
