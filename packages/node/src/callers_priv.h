/*
 * Private structures of the server for callers, shared by its files.
 */
#ifndef CALLERS_PRIV_H
#define CALLERS_PRIV_H

#include <stdatomic.h>
#include <stdbool.h>

#include "base/log.h"
#include "net/http_server.h"
#include "node/call_dialect.h"
#include "node/callers.h"
#include "node/entry.h"
#include "proto/settings.h"

#include "call_exchange.h"

#define CALLERS_FULL_MESSAGE                                            \
	"all connections of this node are in use; try another node or " \
	"come back later."

/**
 * struct callers - the server for callers
 * @settings: settings of the node; borrowed
 * @dialect: header names; borrowed
 * @entry: the entry that calls are submitted to; borrowed
 * @loop: loop of the traffic thread
 * @server: the HTTP server, NULL before callers_start()
 * @port: the listening port
 * @connections: number of open connections, for callers_stop()
 * @in_flight: calls whose answer isn't completely written
 * @draining: each answer closes its connection
 * @stopping: idle connections were closed by callers_stop()
 * @deadline_ms: monotonic deadline of the drain
 * @unread_log_limit: rate limit of log lines on callers that left unread
 * @room_log_limit: rate limit of log lines on refusals for want of connections
 * @evicted_log_limit: rate limit of log lines on requests that were ended
 *	because buffers were full
 * @refresh_timer: updates @connections while stopping
 */
struct callers {
	const struct settings *settings;
	const struct call_dialect *dialect;
	struct entry *entry;
	struct loop *loop;
	struct http_server *server;
	uint16_t port;
	_Atomic uint32_t connections;
	_Atomic uint32_t in_flight;
	_Atomic bool draining;
	_Atomic bool stopping;
	_Atomic uint64_t deadline_ms;
	struct log_limit unread_log_limit;
	struct log_limit room_log_limit;
	struct log_limit evicted_log_limit;
	struct loop_timer refresh_timer;
};

/**
 * struct caller_call - a call at the server
 * @callers: the server
 * @incoming: the request on its connection, NULL once its answer has ended
 * @exchange: state shared with the entry, a reference
 * @timer: timeout for reading a buffered body
 * @buffered: the body is read completely before the call is submitted
 * @submitted: entry_submit() was called
 * @body_ended: the whole body was received
 * @answer_begun: the head of the answer was written
 */
struct caller_call {
	struct callers *callers;
	struct http_incoming *incoming;
	struct call_exchange *exchange;
	struct loop_timer timer;
	bool buffered;
	bool submitted;
	bool body_ended;
	bool answer_begun;
};

/* callers_call.c */

/** callers_handler - callbacks of the HTTP server */
extern const struct http_server_handler callers_handler;

/* callers_request.c */

/**
 * callers_request_read() - convert the head of a request
 * @c: the server
 * @head: the head as the HTTP server read it
 * @r: filled in; its headers must be initialised
 *
 * Return: 0, or the HTTP status with which the request is refused.
 */
uint32_t callers_request_read(const struct callers *c,
    const struct http_incoming_head *head, struct call_request *r);

/** callers_request_host() - value of the Host header, or NULL */
const char *callers_request_host(const struct http_incoming_head *head);

/* callers_answer.c */

/** callers_answer_write() - write the head of an answer */
void callers_answer_write(const struct callers *c, struct http_incoming *q,
    const struct call_request *r, const struct call_answer *a);

/** callers_answer_refuse() - write a complete answer of the server itself, with
 * outcome not_run */
void callers_answer_refuse(const struct callers *c, struct http_incoming *q,
    uint32_t status, const char *kind, const char *message);

/** callers_answer_behind() - write the refusal of a request that a newer
 * version may accept */
void callers_answer_behind(
    const struct callers *c, struct http_incoming *q, uint64_t retry_after_ms);

/**
 * callers_answer_full() - refusal for a connection for which there is no place
 * @d: header names
 *
 * Return: a complete answer, a new string.
 */
char *callers_answer_full(const struct call_dialect *d);

/* callers_limits.c */

/** callers_limits() - get the limits for requests from settings and snapshot */
void callers_limits(const struct settings *s, struct http_server_limits *l);

/** callers_on_snapshot() - apply the limits of a new snapshot; a loop_fn */
void callers_on_snapshot(void *arg);

#endif
