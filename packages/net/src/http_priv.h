/*
 * HTTP client: private definitions.
 *
 * A call is queued in client->waiting until it is assigned a connection, and
 * then in client->running.  A closed connection is freed at the end of the
 * turn, because its parser may still be on the call stack.
 */
#ifndef NET_HTTP_PRIV_H
#define NET_HTTP_PRIV_H

#include <glib.h>
#include <http_parser.h>

#include "net/http.h"
#include "proto/addr.h"

#include "http_head.h"

#define HTTP_ERROR_BYTES 160

/**
 * struct http_client - a client
 * @loop: event loop that runs the client
 * @options: limits
 * @waiting: calls without a connection, oldest first
 * @running: calls with a connection
 * @conns: connections that are being established or busy
 * @idle: idle keep-alive connections, the most recently used at the tail
 * @dead: closed connections, freed at the end of the turn
 * @ended: cancelled calls, freed at the end of the turn
 * @task: frees @dead and @ended, and assigns connections to @waiting
 */
struct http_client {
	struct loop *loop;
	struct http_client_options options;
	GQueue waiting;
	GQueue running;
	GQueue conns;
	GQueue idle;
	GQueue dead;
	GQueue ended;
	struct loop_task task;
};

struct http_conn;

/**
 * struct http_call - a call
 * @client: the client
 * @link: link in one of the client's queues
 * @handler: callbacks
 * @arg: passed to the callbacks
 * @to: address of the server
 * @head: the request's head in wire format
 * @body: body in memory, or NULL
 * @body_bytes: length of @body
 * @deadline: timer that ends the call
 * @task: starts the call, or resumes it after a pause
 * @setup_status: STATUS_OK, or the error of an invalid request
 * @error: message for @setup_status
 * @conn: connection of the call, or NULL
 * @reuse_idle_ms: longest idle time of a connection that may be reused
 * @connect_ms: time limit for establishing a connection
 * @once: the request must not be sent twice
 * @new_conn_only: retry after a reused connection broke; needs a new one
 * @pulled: on_pull() supplies the body
 * @chunked: on_pull() supplies a body of unknown length
 * @pull_ended: on_pull() has supplied the complete body
 * @pull_paused: on_pull() returned HTTP_PAUSE
 * @head_only: the request is HEAD: the answer has no body in any case
 * @sent: a byte of the request may have been sent
 * @resent: a byte may have been sent on a connection before this one
 * @answered: a byte of an answer was received
 * @head_done: on_head() was called for the answer to this request
 * @skipping: the answer being parsed belongs to another request
 * @delimited: the answer's head determines its length
 * @paused: on_body() returned HTTP_PAUSE
 * @ended: the call was cancelled or has completed
 * @aborted: a callback returned HTTP_ABORT
 * @code: HTTP status of the answer
 */
struct http_call {
	struct http_client *client;
	GList link;
	const struct http_handler *handler;
	void *arg;
	struct net_addr to;
	GByteArray *head;
	const uint8_t *body;
	uint64_t body_bytes;
	struct loop_timer deadline;
	struct loop_task task;
	enum status setup_status;
	char error[HTTP_ERROR_BYTES];
	struct http_conn *conn;
	uint64_t reuse_idle_ms;
	uint32_t connect_ms;
	bool once;
	bool new_conn_only;
	bool pulled;
	bool chunked;
	bool pull_ended;
	bool pull_paused;
	bool head_only;
	bool sent;
	bool resent;
	bool answered;
	bool head_done;
	bool skipping;
	bool delimited;
	bool paused;
	bool ended;
	bool aborted;
	int code;
};

/* http_call.c */

/**
 * http_call_setup() - validate a request and format its head
 *
 * Return: STATUS_OK, or STATUS_INVALID for an invalid request.
 */
enum status
http_call_setup(struct http_call *call, const struct http_request *request);

/* http.c */

/** http_call_end() - call on_done() and free the call */
void http_call_end(struct http_call *call, enum status st);

/** http_call_retry() - queue the call again for a new connection */
void http_call_retry(struct http_call *call);

/* http_conn.c */

/** http_conn_dial() - open a connection for a call */
void http_conn_dial(struct http_call *call);

/**
 * http_conn_find() - find an idle connection that a call may use
 *
 * Return: the connection, NULL when there is none.
 */
struct http_conn *http_conn_find(struct http_call *call);

/** http_conn_use() - send a call on an idle connection */
void http_conn_use(struct http_conn *c, struct http_call *call);

/** http_conn_resume() - resume a call after a pause */
void http_conn_resume(struct http_conn *c);

/** http_conn_close() - close a connection without a callback to its call */
void http_conn_close(struct http_conn *c);

/**
 * http_conn_reset() - like http_conn_close(), and discard what is unsent
 *
 * The server learns of the end at once, also while it reads nothing.
 */
void http_conn_reset(struct http_conn *c);

/** http_conn_free() - free a closed connection */
void http_conn_free(struct http_conn *c);

/** http_conn_count() - number of open connections to an address */
uint32_t http_conn_count(const struct http_client *client, struct net_addr to);

#endif
