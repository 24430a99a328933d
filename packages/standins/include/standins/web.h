/*
 * HTTP server of the stand-ins, based on CivetWeb: reads whole bodies, sends
 * each response in one write, and can close a connection without a response.
 */
#ifndef STANDINS_WEB_H
#define STANDINS_WEB_H

#include <stddef.h>
#include <stdbool.h>
#include <stdint.h>

#include <civetweb.h>
#include <glib.h>
#include <jansson.h>

#include "base/status.h"

struct web_server;

/**
 * struct web_options - parameters of a server
 * @address: IPv4 address to listen on
 * @port: TCP port
 * @threads: number of worker threads; each open connection holds one
 * @keep_alive_ms: idle timeout of a connection
 * @handle: called on a worker thread for each request
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
 * @out: set to the server
 *
 * Return: STATUS_OK, or STATUS_IO if listening on the port fails.
 */
enum status web_start(const struct web_options *o, struct web_server **out);

/** web_stop() - stop and free a server; aborts responses in progress */
void web_stop(struct web_server *w);

/**
 * web_request_number() - number of the current request on its connection
 * @conn: the connection
 *
 * Return: 1 for the first request of a connection, 2 for the second, and so on.
 */
uint32_t web_request_number(const struct mg_connection *conn);

/**
 * web_read() - read the next chunk of a request body
 * @conn: the connection
 * @buf: buffer that is filled
 * @cap: size of @buf
 *
 * Return: number of bytes, 0 at the end of the body, -1 if the connection broke
 * before the end.
 */
int web_read(struct mg_connection *conn, void *buf, size_t cap);

/**
 * web_send_continue() - send "100 Continue" if the request expects it
 * @conn: the connection
 */
void web_send_continue(struct mg_connection *conn);

/**
 * web_read_body() - read a whole request body
 * @conn: the connection
 * @max_bytes: maximum length of the body
 * @out: set to the body; earlier content is removed
 *
 * Return: STATUS_OK, STATUS_TOO_LARGE, or STATUS_IO if the connection broke
 * before the end.
 */
enum status
web_read_body(struct mg_connection *conn, size_t max_bytes, GByteArray *out);

/**
 * web_respond() - send a response with its body in one write
 * @conn: the connection
 * @code: HTTP status
 * @type: content type
 * @headers: additional header lines, each terminated by CR LF, or NULL
 * @data: the body
 * @len: length of the body in bytes
 */
void web_respond(struct mg_connection *conn, int code, const char *type,
    const char *headers, const void *data, size_t len);

/**
 * web_respond_head() - send the head of a 200 response and start its body
 * @conn: the connection
 * @type: content type
 * @headers: additional header lines, each terminated by CR LF
 * @len: length of the whole body in bytes
 * @data: first bytes of the body; the caller sends the rest with mg_write()
 * @data_len: length of @data in bytes
 */
void web_respond_head(struct mg_connection *conn, const char *type,
    const char *headers, uint64_t len, const void *data, size_t data_len);

/**
 * web_respond_json() - send a JSON response
 * @conn: the connection
 * @code: HTTP status
 * @headers: additional header lines or NULL
 * @j: the body; the reference is stolen
 */
void web_respond_json(
    struct mg_connection *conn, int code, const char *headers, json_t *j);

/**
 * web_json_u32() - read an integer member of an object, if present
 * @j: the object
 * @name: name of the member
 * @out: set to the number; unchanged if there is none
 */
void web_json_u32(const json_t *j, const char *name, uint32_t *out);

/**
 * web_peer_closed() - whether the peer has closed the connection
 *
 * CivetWeb does not expose its sockets, so the connection's socket is looked up
 * once among the descriptors of the process.
 */
bool web_peer_closed(struct mg_connection *conn);

/** web_drop_connection() - close the connection without a response */
void web_drop_connection(struct mg_connection *conn);

/**
 * web_query_u64() - read a number from the query string
 * @conn: the connection
 * @name: name of the parameter
 * @fallback: value if the parameter is absent or not a number
 */
uint64_t web_query_u64(
    const struct mg_connection *conn, const char *name, uint64_t fallback);

#endif
