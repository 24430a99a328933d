/*
 * HTTP/1.1 server in an event loop; messages are parsed by libhttp-parser.
 *
 * Pipelined requests are dispatched in order and answered in order.  They run
 * side by side where may_overlap() allows it for each of them; others wait in a
 * bounded buffer until those before them are answered.  An answer that is
 * written before its turn waits in a buffer of its own, to which
 * HTTP_OUTPUT_LOW_BYTES applies as to a slow caller.  A message of ambiguous
 * length is rejected and its connection closed, which prevents request
 * smuggling.
 *
 * A caller that closes its side of the connection has left: it gets no answer,
 * also where HTTP would let it read on.  For each request under way on_gone()
 * is called at once, whether or not data is read at the moment; requests that
 * precede the end unread are dropped, except with serve_departed.
 *
 * All functions must be called in the loop's thread.
 */
#ifndef NET_HTTP_SERVER_H
#define NET_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/descriptors.h"
#include "net/http.h"
#include "net/loop.h"
#include "proto/addr.h"

struct http_incoming;
struct http_server;

/**
 * struct http_incoming_head - head of a request; valid during on_request()
 * @method: "GET"...; static
 * @target: path and query as received
 * @headers: header lines
 * @n_headers: number of @headers
 * @body_bytes: length of the body, -1 for a chunked body
 * @caller: address of the caller
 * @version_1_0: the request is HTTP/1.0
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
 * struct http_server_handler - callbacks of a server
 * @on_request: the head of a request was received; the owner may set the
 *	request's argument and may answer at once
 * @may_overlap: whether a request without a body may be dispatched while
 *	earlier ones that may overlap are under way, and later ones beside it;
 *	a caller may have to send it again, so it must be safe to run more than
 *	once; NULL for never
 * @on_body: a piece of the request's body was received
 * @on_body_end: the complete body was received
 * @on_writable: the buffered output has fallen to HTTP_OUTPUT_LOW_BYTES; may
 *	be NULL
 * @on_gone: the caller closed the connection or violated the protocol before
 *	its answer was complete; @q is invalid after the callback
 * @on_unread: the caller closed the connection before its request was read
 *	completely or its turn came; may be NULL
 * @on_bad: the received data is not a valid request, or with code 503 there
 *	are too many connections; the owner must answer with @code at once
 * @serve_departed: a request counts although its sender has closed the
 *	connection, such as the report of a process that ends
 *
 * No callback is made for a request after its answer has been ended or
 * aborted.
 */
struct http_server_handler {
	void (*on_request)(struct http_incoming *q,
	    const struct http_incoming_head *head, void *server_arg);
	bool (*may_overlap)(const struct http_incoming_head *head, void *arg);
	void (*on_body)(
	    struct http_incoming *q, const uint8_t *data, size_t len);
	void (*on_body_end)(struct http_incoming *q);
	void (*on_writable)(struct http_incoming *q);
	void (*on_gone)(struct http_incoming *q);
	void (*on_unread)(void *server_arg);
	void (*on_bad)(struct http_incoming *q, int code, void *server_arg);
	bool serve_departed;
};

/* Low-water mark of an answer's buffered output for on_writable(). */
#define HTTP_OUTPUT_LOW_BYTES 65536U

/**
 * struct http_server_limits - limits for callers; 0 means the default
 * @head_max_bytes: largest request line with headers
 * @head_ms: time limit from a request's first byte to the end of its head
 * @idle_ms: time after which a connection without a request is closed
 * @stall_ms: time limit for progress while a body is received or an answer
 *	is sent; progress of less than 1 KB a second extends it only by the time
 *	that it would take at that rate
 * @conns_max: maximum number of connections; a further one takes the place of
 *	one that is not in use, is answered 503, or is closed on accept
 * @overlap_max: maximum number of requests of a connection whose answers are
 *	not sent; 1 for one at a time
 * @buffer_max_bytes: maximum memory of requests and answers that wait for their
 *	callers, and of those under way; beyond it the connections that wait for
 *	longest are closed, then new requests are answered 503
 * @use: what the connections are for
 */
struct http_server_limits {
	uint32_t head_max_bytes;
	uint32_t head_ms;
	uint32_t idle_ms;
	uint32_t stall_ms;
	uint32_t conns_max;
	uint32_t overlap_max;
	uint64_t buffer_max_bytes;
	enum descriptor_use use;
};

#define HTTP_SERVER_HEAD_MAX_BYTES 16384U
#define HTTP_SERVER_HEAD_MS 10000U
#define HTTP_SERVER_IDLE_MS 15000U
#define HTTP_SERVER_STALL_MS 10000U
#define HTTP_SERVER_CONNS_MAX 16384U
/* The calls that a caller typically makes at once for one page; it bounds the
 * memory of waiting answers, and what one connection takes from others. */
#define HTTP_SERVER_OVERLAP_MAX 8U
#define HTTP_SERVER_BUFFER_MAX_BYTES (UINT64_C(8) << 20)

/**
 * http_server_new() - create a server and listen for requests
 * @loop: event loop that runs the server
 * @at: address to listen on; port 0 selects a free port
 * @limits: copied; NULL for the defaults
 * @handler: callbacks; must outlive the server
 * @arg: passed to on_request(), may_overlap() and on_bad()
 * @out: receives the server
 *
 * Return: STATUS_OK, or STATUS_IO when the address can't be bound.
 */
enum status http_server_new(struct loop *loop, struct net_addr at,
    const struct http_server_limits *limits,
    const struct http_server_handler *handler, void *arg,
    struct http_server **out);

/** http_server_free() - close all connections and free @s; NULL is allowed */
void http_server_free(struct http_server *s);

/** http_server_limits_set() - change the limits that apply from now on */
void http_server_limits_set(
    struct http_server *s, const struct http_server_limits *limits);

/**
 * http_server_set_full_answer() - answer for callers for which there is no
 *place
 * @s: the server
 * @text: sent as it is to a caller whose connection is closed as soon as it was
 *	accepted; copied
 */
void http_server_set_full_answer(struct http_server *s, const char *text);

/** http_server_addr() - address that the server listens on */
struct net_addr http_server_addr(const struct http_server *s);

/** http_server_closed_since_ms() - monotonic time since which no connection can
 * be accepted; 0 while they can */
uint64_t http_server_closed_since_ms(const struct http_server *s);

/** http_server_buffered_bytes() - memory of requests and answers, see
 * buffer_max_bytes */
uint64_t http_server_buffered_bytes(const struct http_server *s);

/** http_server_conns() - number of open connections */
uint32_t http_server_conns(const struct http_server *s);

/**
 * http_server_close_idle() - close each connection after its next answer
 * @s: the server
 * @now: also close idle connections at once, except those on which data of a
 *	request has arrived
 */
void http_server_close_idle(struct http_server *s, bool now);

/**
 * http_server_drop_new_conns() - prevent new connections
 * @s: the server; it still serves connections that are established or whose
 *	handshake has begun
 */
void http_server_drop_new_conns(struct http_server *s);

/** http_server_unlisten() - close the listening socket */
void http_server_unlisten(struct http_server *s);

/** http_incoming_set_arg() - set the owner's argument of a request */
void http_incoming_set_arg(struct http_incoming *q, void *arg);

/** http_incoming_arg() - the owner's argument; NULL unless set */
void *http_incoming_arg(const struct http_incoming *q);

/** http_incoming_set_held() - set what the owner holds for a request; may close
 * other connections */
void http_incoming_set_held(struct http_incoming *q, uint64_t bytes);

/** http_incoming_is_evicted() - whether on_gone() is called because all
 * connections hold too much */
bool http_incoming_is_evicted(const struct http_incoming *q);

/** http_incoming_is_behind() - whether an earlier request is not answered */
bool http_incoming_is_behind(const struct http_incoming *q);

/** http_incoming_pause() - suspend on_body() until http_incoming_resume() */
void http_incoming_pause(struct http_incoming *q);

/** http_incoming_resume() - resume reading the body */
void http_incoming_resume(struct http_incoming *q);

/** http_incoming_continue() - send 100 Continue if the caller expects it */
void http_incoming_continue(struct http_incoming *q);

/** HTTP_BODY_CHUNKED - the length of the answer's body is unknown */
#define HTTP_BODY_CHUNKED (-1)
/** HTTP_BODY_NONE - the answer has no body, and no length is added */
#define HTTP_BODY_NONE (-2)

/**
 * http_incoming_answer() - write the head of the answer
 * @q: the request
 * @code: HTTP status
 * @headers: header lines; Connection, Keep-Alive, Content-Length and
 *	Transfer-Encoding are omitted, but with HTTP_BODY_NONE Content-Length
 *	is sent as given
 * @n: number of @headers
 * @body_bytes: length of the body, HTTP_BODY_CHUNKED or HTTP_BODY_NONE
 * @close: read no further request and close the connection after the last
 *	request under way
 */
void http_incoming_answer(struct http_incoming *q, int code,
    const struct http_header *headers, uint32_t n, int64_t body_bytes,
    bool close);

/** http_incoming_write() - append a piece of the answer's body */
void http_incoming_write(struct http_incoming *q, const void *data, size_t len);

/** http_incoming_end() - complete the answer; @q is invalid afterwards */
void http_incoming_end(struct http_incoming *q);

/**
 * http_incoming_abort() - abort an incomplete answer
 *
 * The connection is reset, so that the caller detects that the answer is
 * incomplete.  Behind an earlier request nothing of the answer was sent: the
 * connection is closed when its turn comes.  The requests behind it end as
 * departures.  @q is invalid afterwards.
 */
void http_incoming_abort(struct http_incoming *q);

/** http_incoming_output_bytes() - bytes of output that are not yet sent */
size_t http_incoming_output_bytes(const struct http_incoming *q);

#endif
