/*
 * Inner structures of the server for callers, shared by its files.
 */
#ifndef CALLERS_PRIV_H
#define CALLERS_PRIV_H

#include <stdatomic.h>
#include <stdbool.h>

#include "net/http_server.h"
#include "node/call_dialect.h"
#include "node/callers.h"
#include "node/entry.h"
#include "proto/settings.h"

#include "call_exchange.h"

/**
 * struct callers - the server for callers
 * @settings: settings of the node; borrowed
 * @dialect: names of headers; borrowed
 * @entry: takes the calls; borrowed
 * @loop: loop of the traffic thread
 * @server: the connections, NULL while not started
 * @port: port that is listened on
 * @connections: open connections, for callers_stop()
 * @in_flight: calls whose answer isn't written whole
 * @draining: each answer closes its connection
 * @stopping: callers_stop() was called
 * @deadline_ms: when a drain gives up
 * @refresh_timer: keeps @connections fresh while stopping
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
	struct loop_timer refresh_timer;
};

/**
 * struct caller_call - a call at the server
 * @callers: the server
 * @incoming: the request on its connection, NULL once its answer has ended
 * @exchange: what is shared with the entry, a reference
 * @timer: bounds the time that a small body takes
 * @buffered: its body is read before the call is submitted
 * @submitted: the entry has it
 * @body_ended: the whole body came
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

/** callers_handler - what the HTTP server tells of requests */
extern const struct http_server_handler callers_handler;

/* callers_request.c */

/**
 * callers_request_read() - read the head of a call
 * @c: the server
 * @head: the head
 * @r: where it goes
 *
 * Return: 0, or the HTTP status with which it is refused.
 */
uint32_t callers_request_read(const struct callers *c,
    const struct http_incoming_head *head, struct call_request *r);

/* callers_answer.c */

/** callers_answer_write() - write the head of an answer */
void callers_answer_write(const struct callers *c, struct http_incoming *q,
    const struct call_request *r, const struct call_answer *a);

/** callers_answer_refuse() - a whole answer of the server itself; not run */
void callers_answer_refuse(const struct callers *c, struct http_incoming *q,
    uint32_t status, const char *kind, const char *message);

/** callers_answer_behind() - not run: a newer version may take the request */
void callers_answer_behind(
    const struct callers *c, struct http_incoming *q, uint64_t retry_after_ms);

/* callers_limits.c */

/** callers_limits() - what callers may send by settings and snapshot */
void callers_limits(const struct settings *s, struct http_server_limits *l);

/** callers_on_snapshot() - a loop_fn: the limits may have changed */
void callers_on_snapshot(void *arg);

#endif
