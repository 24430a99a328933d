/*
 * HTTP client, as its own files see it.
 *
 * A call waits in client->waiting until it has a connection, and is then in
 * client->running.  A connection that is closed is freed at the end of the
 * turn, since its parser may be at work.
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
 * @loop: its loop
 * @options: its limits
 * @waiting: calls without a connection, oldest first
 * @running: calls that have one
 * @conns: connections that are dialled or busy
 * @idle: connections that wait for a call, the one used last at the tail
 * @dead: closed connections that are freed at the end of the turn
 * @ended: cancelled calls that are freed at the end of the turn
 * @task: frees them, and gives waiting calls their connections
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
 * @client: its client
 * @link: its place in one of the client's queues
 * @handler: what the owner is told
 * @arg: given to the handler
 * @to: where the request goes
 * @head: the request's head, as it goes out
 * @body: body that is given as a block
 * @body_bytes: its length
 * @deadline: ends the call
 * @task: starts it, or takes it up after a pause
 * @setup_status: status of a request that can't be sent
 * @error: why
 * @conn: its connection, or NULL
 * @reuse_idle_ms: longest idle time of a connection that is used again
 * @connect_ms: longest time for establishing a connection
 * @once: must not run twice
 * @new_conn_only: has met a connection that had ended; gets one of its own
 * @pulled: the body comes from on_pull()
 * @chunked: and its length isn't known
 * @pull_ended: all of it was pulled
 * @pull_paused: on_pull() has nothing now
 * @head_only: the answer has no body, whatever it says
 * @sent: a byte of the request may have left
 * @answered: a byte of an answer came
 * @head_done: the head was told
 * @skipping: the answer being read belongs to something else
 * @delimited: the answer says where it ends
 * @paused: on_body() has not taken a piece
 * @cancelled: the owner has dropped it
 * @aborted: a handler asked to fail it
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
	bool answered;
	bool head_done;
	bool skipping;
	bool delimited;
	bool paused;
	bool cancelled;
	bool aborted;
	int code;
};

/* http_call.c */

/**
 * http_call_setup() - check a request and write its head
 *
 * Return: STATUS_OK, or STATUS_INVALID when it can't be sent.
 */
enum status
http_call_setup(struct http_call *call, const struct http_request *request);

/* http.c */

/** http_call_end() - tell the owner how it ended, and free it */
void http_call_end(struct http_call *call, enum status st);

/** http_call_retry() - its connection had ended unused: try another one */
void http_call_retry(struct http_call *call);

/* http_conn.c */

/** http_conn_dial() - make a connection for a call */
void http_conn_dial(struct http_call *call);

/**
 * http_conn_find() - an idle connection for a call
 *
 * Return: NULL when there is none that may be used.
 */
struct http_conn *http_conn_find(struct http_call *call);

/** http_conn_use() - send a call on an idle connection */
void http_conn_use(struct http_conn *c, struct http_call *call);

/** http_conn_pump() - go on with a call after a pause */
void http_conn_pump(struct http_conn *c);

/** http_conn_close() - close it; its call, if any, is not told */
void http_conn_close(struct http_conn *c);

/** http_conn_free() - free a closed connection */
void http_conn_free(struct http_conn *c);

/** http_conn_count() - open connections to an address */
uint32_t http_conn_count(const struct http_client *client, struct net_addr to);

#endif
