/*
 * HTTP/1.1 server in an event loop; messages are read by libhttp-parser.
 *
 * A connection serves one request at a time; what a caller sends ahead waits
 * in a bounded buffer and is served in order.  A message whose length can be
 * read in two ways is refused and its connection closed.  A caller that
 * closes while its request is being served is gone: its owner is told at
 * once.
 *
 * All functions are for the loop's thread.
 */
#ifndef NET_HTTP_SERVER_H
#define NET_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/http.h"
#include "net/loop.h"
#include "proto/addr.h"

struct http_incoming;
struct http_server;

/**
 * struct http_incoming_head - head of a request; valid during on_request()
 * @method: "GET"...; static
 * @target: path and query as they came
 * @headers: header lines
 * @n_headers: number of @headers
 * @body_bytes: length of the body, -1 when it comes in chunks
 * @caller: address of the caller
 * @version_1_0: the caller speaks HTTP/1.0
 */
struct http_incoming_head {
	const char *method;
	const char *target;
	const struct http_header *headers;
	uint32_t n_headers;
	int64_t body_bytes;
	struct net_addr caller;
	bool version_1_0;
};

/**
 * struct http_server_handler - what the owner of a server is told
 * @on_request: a request's head came; the owner may set its argument and may
 *	answer at once
 * @on_body: a piece of its body
 * @on_body_end: the whole body came
 * @on_writable: the output that waited has fallen to HTTP_OUTPUT_LOW_BYTES;
 *	may be NULL
 * @on_gone: the caller left, or broke the protocol, before its answer was
 *	complete; @q ends with this call
 * @on_bad: what came is no request; answer it with @code at once
 *
 * No function is called for a request after its answer has been ended or
 * aborted.
 */
struct http_server_handler {
	void (*on_request)(struct http_incoming *q,
	    const struct http_incoming_head *head, void *server_arg);
	void (*on_body)(
	    struct http_incoming *q, const uint8_t *data, size_t len);
	void (*on_body_end)(struct http_incoming *q);
	void (*on_writable)(struct http_incoming *q);
	void (*on_gone)(struct http_incoming *q);
	void (*on_bad)(struct http_incoming *q, int code, void *server_arg);
};

/* Output of an answer below which on_writable() is called. */
#define HTTP_OUTPUT_LOW_BYTES 65536U

/**
 * struct http_server_limits - what a caller may send; 0 means the default
 * @head_max_bytes: largest request line with headers
 * @head_ms: time from a request's first byte to the end of its head
 * @idle_ms: how long a connection is kept without a request
 * @stall_ms: longest pause within a body, and of a caller that does not take
 *	its answer
 * @conns_max: most connections; newer ones are closed
 */
struct http_server_limits {
	uint32_t head_max_bytes;
	uint32_t head_ms;
	uint32_t idle_ms;
	uint32_t stall_ms;
	uint32_t conns_max;
};

#define HTTP_SERVER_HEAD_MAX_BYTES 16384U
#define HTTP_SERVER_HEAD_MS 10000U
#define HTTP_SERVER_IDLE_MS 15000U
#define HTTP_SERVER_STALL_MS 10000U
#define HTTP_SERVER_CONNS_MAX 16384U

/**
 * http_server_new() - listen for requests
 * @loop: the loop it lives in
 * @at: address; port 0 lets the system choose
 * @limits: copied; NULL for the defaults
 * @handler: what the owner is told; must outlive the server
 * @arg: given to on_request() and on_bad()
 * @out: where the server goes
 *
 * Return: STATUS_OK, or STATUS_IO when the address can't be bound.
 */
enum status http_server_new(struct loop *loop, struct net_addr at,
    const struct http_server_limits *limits,
    const struct http_server_handler *handler, void *arg,
    struct http_server **out);

/** http_server_free() - close everything; NULL is allowed */
void http_server_free(struct http_server *s);

/** http_server_limits_set() - other limits, for what comes from now on */
void http_server_limits_set(
    struct http_server *s, const struct http_server_limits *limits);

/** http_server_addr() - address that is listened on, with the real port */
struct net_addr http_server_addr(const struct http_server *s);

/** http_server_conns() - number of open connections */
uint32_t http_server_conns(const struct http_server *s);

/**
 * http_server_close_idle() - each answer closes its connection from now on
 * @s: the server
 * @now: close connections without a request at once; what has arrived on
 *	them is still served
 */
void http_server_close_idle(struct http_server *s, bool now);

/**
 * http_server_drop_new_conns() - let no new connection be made
 * @s: the server; it still serves those that are made or being made
 */
void http_server_drop_new_conns(struct http_server *s);

/** http_server_unlisten() - close the listening socket */
void http_server_unlisten(struct http_server *s);

/** http_incoming_set_arg() - the owner's own pointer */
void http_incoming_set_arg(struct http_incoming *q, void *arg);

/** http_incoming_arg() - the owner's own pointer, NULL before it was set */
void *http_incoming_arg(const struct http_incoming *q);

/** http_incoming_pause() - no on_body() until http_incoming_resume() */
void http_incoming_pause(struct http_incoming *q);

/** http_incoming_resume() - go on reading the body */
void http_incoming_resume(struct http_incoming *q);

/** http_incoming_continue() - tell a caller who waits for it to send on */
void http_incoming_continue(struct http_incoming *q);

/** HTTP_BODY_CHUNKED - the answer's length isn't known */
#define HTTP_BODY_CHUNKED (-1)
/** HTTP_BODY_NONE - the answer has no body and tells no length */
#define HTTP_BODY_NONE (-2)

/**
 * http_incoming_answer() - write the head of the answer
 * @q: the request
 * @code: HTTP status
 * @headers: header lines; Connection, Content-Length and Transfer-Encoding
 *	are left out, but with HTTP_BODY_NONE the length is passed on
 * @n: number of @headers
 * @body_bytes: length of the body, HTTP_BODY_CHUNKED or HTTP_BODY_NONE
 * @close: close the connection after it
 */
void http_incoming_answer(struct http_incoming *q, int code,
    const struct http_header *headers, uint32_t n, int64_t body_bytes,
    bool close);

/** http_incoming_write() - append a piece of the answer's body */
void http_incoming_write(struct http_incoming *q, const void *data, size_t len);

/** http_incoming_end() - the answer is complete; @q ends with this call */
void http_incoming_end(struct http_incoming *q);

/**
 * http_incoming_abort() - the answer can't be completed
 *
 * The connection is reset, so that nobody takes the answer for whole.  @q
 * ends with this call.
 */
void http_incoming_abort(struct http_incoming *q);

/** http_incoming_output_bytes() - bytes that the caller has not taken yet */
size_t http_incoming_output_bytes(const struct http_incoming *q);

#endif
