/*
 * HTTP server of the stand-ins, by CivetWeb: start, stop, whole bodies,
 * answers in one write, and connections closed without an answer.
 */
#ifndef STANDINS_WEB_H
#define STANDINS_WEB_H

#include <stddef.h>
#include <stdint.h>

#include <civetweb.h>
#include <glib.h>
#include <jansson.h>

#include "base/status.h"

struct web_server;

/**
 * struct web_options - how a server is run
 * @address: IPv4 address to listen on
 * @port: TCP port
 * @threads: number of worker threads; each open connection holds one
 * @keep_alive_ms: time after which an idle connection is closed
 * @handle: called for each request on a worker thread
 * @arg: passed to @handle
 */
struct web_options {
	const char *address;
	uint16_t port;
	int threads;
	uint32_t keep_alive_ms;
	void (*handle)(struct mg_connection *conn, void *arg);
	void *arg;
};

/**
 * web_start() - start a server
 * @o: options; copied
 * @out: where the server goes
 *
 * Return: STATUS_OK, or STATUS_IO when the port can't be listened on.
 */
enum status web_start(const struct web_options *o, struct web_server **out);

/** web_stop() - stop a server and free it; breaks off what is being sent */
void web_stop(struct web_server *w);

/**
 * web_request_number() - number of the request on its connection
 * @conn: the connection
 *
 * Return: 1 for the first request of a connection, 2 for the next, ...
 */
uint32_t web_request_number(const struct mg_connection *conn);

/**
 * web_read() - read the next piece of a request's body
 * @conn: the connection
 * @buf: where the bytes go
 * @cap: size of @buf
 *
 * Return: number of bytes, 0 at the end of the whole body, -1 when the
 * connection broke before the end.
 */
int web_read(struct mg_connection *conn, void *buf, size_t cap);

/**
 * web_send_continue() - send "100 Continue" when the request asks for it
 * @conn: the connection
 */
void web_send_continue(struct mg_connection *conn);

/**
 * web_read_body() - read a whole body
 * @conn: the connection
 * @max_bytes: largest body taken
 * @out: emptied, then filled
 *
 * Return: STATUS_OK, STATUS_TOO_LARGE, or STATUS_IO when it broke off.
 */
enum status
web_read_body(struct mg_connection *conn, size_t max_bytes, GByteArray *out);

/**
 * web_respond() - send an answer with its body in one write
 * @conn: the connection
 * @code: HTTP status
 * @type: content type
 * @headers: further header lines, each ended by CR LF, or NULL
 * @data: first byte of the body
 * @len: its length in bytes
 */
void web_respond(struct mg_connection *conn, int code, const char *type,
    const char *headers, const void *data, size_t len);

/**
 * web_respond_head() - send the start of an answer whose body follows by
 * mg_write()
 * @conn: the connection
 * @type: content type
 * @len: length of the whole body in bytes
 * @data: first bytes of the body
 * @data_len: how many
 */
void web_respond_head(struct mg_connection *conn, const char *type,
    uint64_t len, const void *data, size_t data_len);

/**
 * web_respond_json() - send a JSON answer
 * @conn: the connection
 * @code: HTTP status
 * @headers: further header lines or NULL
 * @j: the value; the reference is taken
 */
void web_respond_json(
    struct mg_connection *conn, int code, const char *headers, json_t *j);

/**
 * web_json_u32() - take a number from an object, if it is there
 * @j: the object
 * @name: name of the member
 * @out: where the number goes; left alone when there is none
 */
void web_json_u32(const json_t *j, const char *name, uint32_t *out);

/** web_drop_connection() - end the request with no answer and close the
 * connection */
void web_drop_connection(struct mg_connection *conn);

/**
 * web_query_u64() - a number from the query string
 * @conn: the connection
 * @name: name of the parameter
 * @fallback: value when it is absent
 */
uint64_t web_query_u64(
    const struct mg_connection *conn, const char *name, uint64_t fallback);

#endif
