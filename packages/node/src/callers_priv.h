/*
 * Inner structures of the server for callers, shared by its files.
 */
#ifndef CALLERS_PRIV_H
#define CALLERS_PRIV_H

#include <stdatomic.h>
#include <stdbool.h>

#include <civetweb.h>

#include "node/callers.h"
#include "node/entry.h"
#include "proto/settings.h"

#include "call_exchange.h"
#include "callers_watch.h"

/**
 * struct callers - the server for callers
 * @settings: settings of the node; borrowed
 * @entry: takes the calls; borrowed
 * @ctx: CivetWeb's context, NULL while stopped
 * @port: port that is listened on
 * @watch: bounds the reading of small bodies
 * @listener: CivetWeb's listening socket, -1 when not known
 * @connections: connections that hold a worker
 * @in_flight: calls whose answer isn't written whole
 * @draining: each answer closes its connection
 * @deadline_ms: when a drain gives up
 */
struct callers {
	const struct settings *settings;
	struct entry *entry;
	struct mg_context *ctx;
	uint16_t port;
	struct callers_watch *watch;
	int listener;
	_Atomic uint32_t connections;
	_Atomic uint32_t in_flight;
	_Atomic bool draining;
	_Atomic uint64_t deadline_ms;
};

/**
 * struct caller_conn - a connection of a caller, kept by CivetWeb
 * @callers: the server
 * @fd: its socket, -1 while not looked up
 */
struct caller_conn {
	struct callers *callers;
	int fd;
};

/* callers_call.c */

/** callers_call() - read a call, have it run, write the answer */
void callers_call(struct callers *c, struct mg_connection *conn);

/* callers_request.c */

/**
 * callers_request_read() - read the head of a call
 * @c: the server
 * @conn: the connection
 * @r: where it goes
 *
 * Return: 0, or the HTTP status with which it is refused.
 */
uint32_t callers_request_read(const struct callers *c,
    struct mg_connection *conn, struct call_request *r);

/* callers_answer.c */

/** struct caller_reply - how an answer is written */
struct caller_reply {
	struct mg_connection *conn;
	bool close;
	bool chunked;
	bool head_only;
};

/**
 * callers_answer_write() - write the answer of an exchange
 * @c: the server
 * @conn: the connection
 * @x: the exchange, whose head is there
 * @a: its head
 * @close: close the connection after it
 *
 * Return: false when the caller is gone or the answer was cut; the connection
 * is broken then.
 */
bool callers_answer_write(struct callers *c, struct mg_connection *conn,
    struct call_exchange *x, const struct call_answer *a, bool close);

/** callers_answer_refuse() - an answer of the server itself; not run */
void callers_answer_refuse(struct mg_connection *conn, uint32_t status,
    const char *kind, const char *message);

/* callers_socket.c */

/** callers_socket_find() - the socket of a caller's address, or -1 */
int callers_socket_find(const struct mg_request_info *info);

/** callers_socket() - the connection's socket, or -1 */
int callers_socket(struct mg_connection *conn);

/**
 * callers_socket_abort() - reset the connection
 *
 * So that an answer which was cut can't be taken for whole, also where its
 * end is told by the end of the connection.
 */
void callers_socket_abort(struct mg_connection *conn);

/**
 * callers_socket_linger() - an answer was given before the body was read
 *
 * What the caller still sends is thrown away until it closes, for a second at
 * most.  A socket closed with bytes unread is reset, and the caller may lose
 * the answer.
 */
void callers_socket_linger(struct mg_connection *conn);

/** callers_socket_gone() - whether the caller has hung up */
bool callers_socket_gone(struct mg_connection *conn);

/**
 * callers_socket_listener() - find the socket that listens on a port
 *
 * From now on the system waits for a caller's first byte before it hands the
 * connection over, so that one that says nothing holds no worker.
 *
 * Return: the socket, which stays CivetWeb's; -1 when it isn't found.
 */
int callers_socket_listener(uint16_t port);

/**
 * callers_socket_no_more() - let no new connection be made
 *
 * Those that are being made, or wait to be taken, are still served.
 */
void callers_socket_no_more(int listener);

/** callers_socket_waiting() - whether connections wait to be taken */
bool callers_socket_waiting(int listener);

#endif
