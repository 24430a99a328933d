/*
 * Asynchronous HTTP/1.1 client in an event loop; messages are parsed by
 * libhttp-parser.
 *
 * The server may close a keep-alive connection at the moment when the client
 * sends a request on it; the client then can't determine whether the request
 * was executed.  The client sends such a request once more on a new connection,
 * unless the request is marked `once`.  A request marked `once` fails instead,
 * and uses a keep-alive connection only if it sets reuse_idle_ms, the longest
 * idle time of such a connection.
 *
 * All functions must be called in the loop's thread.  Every callback of a
 * handler may call http_call_cancel() and http_call_resume() and start other
 * calls.
 */
#ifndef NET_HTTP_H
#define NET_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "net/descriptors.h"
#include "net/loop.h"

struct http_call;
struct http_client;

/** struct http_header - a header field; both strings are zero-terminated */
struct http_header {
	const char *name;
	const char *value;
};

/** http_header_is_valid() - whether a name is a token, and a value has no
 * control characters except tabs */
bool http_header_is_valid(const char *name, const char *value);

/** HTTP_LENGTH_UNKNOWN - length of a streamed body of unknown length */
#define HTTP_LENGTH_UNKNOWN UINT64_MAX

/**
 * enum http_flow - result of a handler's callback
 * @HTTP_CONTINUE: continue
 * @HTTP_PAUSE: the callback consumed (on_body) or produced (on_pull) no data;
 *	it is called again after http_call_resume()
 * @HTTP_END: the request's body is complete (on_pull only)
 * @HTTP_ABORT: fail the call with STATUS_UNAVAILABLE
 * @HTTP_SKIP: the answer belongs to another request; discard it and wait for
 *	the next answer (on_head only)
 */
enum http_flow {
	HTTP_CONTINUE = 0,
	HTTP_PAUSE,
	HTTP_END,
	HTTP_ABORT,
	HTTP_SKIP,
};

/**
 * struct http_request - a request
 * @method: "GET", "HEAD", "PUT", "POST", "DELETE"...
 * @url: absolute URL with scheme http and an IPv4 address as host; copied
 * @headers: headers; copied; the client sets Connection, Content-Length,
 *	Expect and Transfer-Encoding itself and omits them here; without a
 *	Host header the URL's host is sent
 * @n_headers: number of headers
 * @body: body in memory, which must remain valid until on_done() is called or
 *	http_call_cancel() has returned; if http_call_cancel() is called from
 *	on_head(), on_body() or on_pull(), until the end of the turn; NULL
 *	when there is no body or on_pull() supplies it
 * @body_bytes: length of @body; with @pulled the length of the body that
 *	on_pull() supplies, or HTTP_LENGTH_UNKNOWN for a chunked body
 * @pulled: on_pull() supplies the body
 * @once: never send the request twice; see the top of this file
 * @deadline_ms: monotonic time by which the answer must be complete
 * @connect_ms: time limit for establishing a connection; 0 for
 *	HTTP_CONNECT_MS
 * @reuse_idle_ms: longest idle time of a keep-alive connection that may be
 *	reused; 0 for any idle time, or, with @once, for no reuse
 */
struct http_request {
	const char *method;
	const char *url;
	const struct http_header *headers;
	uint32_t n_headers;
	const uint8_t *body;
	uint64_t body_bytes;
	bool pulled;
	bool once;
	uint64_t deadline_ms;
	uint32_t connect_ms;
	uint32_t reuse_idle_ms;
};

#define HTTP_CONNECT_MS 2000U

/**
 * struct http_result - result of a call
 * @status: STATUS_OK when the complete answer was received, whatever its code;
 *	STATUS_TIMEOUT when the deadline passed; STATUS_UNAVAILABLE when the
 *	connection could not be established or broke; STATUS_INVALID when the
 *	request or the answer is not valid HTTP; status_message() has details
 * @code: the answer's HTTP status, 0 when no head was received
 * @sent: whether any byte of the request may have been sent; when false the
 *	server has certainly not executed the request
 * @resent: the request was sent on a reused connection that broke without an
 *	answer, and then once more; the server may have executed it the first
 *	time, whatever it answered the second time
 * @delimited: whether the answer's head determined its length; when false the
 *	answer ended with its connection and may be truncated
 */
struct http_result {
	enum status status;
	int code;
	bool sent;
	bool resent;
	bool delimited;
};

/**
 * struct http_handler - callbacks of a call
 * @on_head: the answer's head was received (once; not for 1xx).  @headers is
 *	valid only during the callback.  Returns HTTP_CONTINUE, HTTP_ABORT or
 *	HTTP_SKIP; may be NULL
 * @on_body: a piece of the answer's body was received; on HTTP_PAUSE the same
 *	piece is passed again after http_call_resume(); may be NULL
 * @on_pull: store up to @max bytes of the request's body at @buf and their
 *	number at @len; may be NULL unless the request sets @pulled
 * @on_done: the call has ended; its memory is released after the callback.
 *	Not called after http_call_cancel(), and never before
 *	http_call_start() has returned
 */
struct http_handler {
	enum http_flow (*on_head)(struct http_call *call, int code,
	    const struct http_header *headers, uint32_t n, void *arg);
	enum http_flow (*on_body)(
	    struct http_call *call, const uint8_t *data, size_t len, void *arg);
	enum http_flow (*on_pull)(struct http_call *call, uint8_t *buf,
	    size_t max, size_t *len, void *arg);
	void (*on_done)(
	    struct http_call *call, const struct http_result *r, void *arg);
};

/**
 * struct http_client_options - limits of a client; 0 means the default
 * @conns_max: maximum number of open connections; default HTTP_CONNS_MAX
 * @conns_per_host_max: maximum number of connections to one address; default
 *	HTTP_CONNS_PER_HOST_MAX; further calls are queued
 * @use: what the connections are for
 */
struct http_client_options {
	uint32_t conns_max;
	uint32_t conns_per_host_max;
	enum descriptor_use use;
};

#define HTTP_CONNS_MAX 1024U
#define HTTP_CONNS_PER_HOST_MAX 256U

/**
 * http_client_new() - create a client
 * @loop: event loop that runs the client
 * @options: copied; NULL for the defaults
 */
struct http_client *
http_client_new(struct loop *loop, const struct http_client_options *options);

/**
 * http_client_free() - cancel all calls and free the client
 * @client: the client; may be NULL; must not be called from a handler
 */
void http_client_free(struct http_client *client);

/**
 * http_call_start() - start a call
 * @client: the client
 * @request: the request; copied except for its body
 * @handler: callbacks; must outlive the call
 * @arg: passed to the callbacks
 *
 * Return: the call, never NULL: on_done() reports failures.
 */
struct http_call *
http_call_start(struct http_client *client, const struct http_request *request,
    const struct http_handler *handler, void *arg);

/** http_client_idle() - number of idle keep-alive connections */
uint32_t http_client_idle(const struct http_client *client);

/** http_call_is_first() - whether the connection of a call has delivered no
 * other answer, so that this one can only be the call's; valid in on_head() */
bool http_call_is_first(const struct http_call *call);

/** http_call_sent() - whether a part of the request may have left */
bool http_call_sent(const struct http_call *call);

/**
 * http_call_cancel() - cancel a call
 * @call: the call; its handler receives no further callbacks; its memory is
 *	released at the end of the turn
 *
 * The connection of the call is reset, by which the server can detect the
 * cancellation, also while it reads nothing.
 *
 * Return: whether any byte of the request may have been sent, as in struct
 * http_result.
 */
bool http_call_cancel(struct http_call *call);

/**
 * http_call_set_deadline() - change the deadline of a call
 * @call: a call that has not ended
 * @deadline_ms: monotonic time by which the answer must be complete
 */
void http_call_set_deadline(struct http_call *call, uint64_t deadline_ms);

/** http_call_resume() - resume on_body() and on_pull() after HTTP_PAUSE */
void http_call_resume(struct http_call *call);

/** http_client_calls() - number of calls that have not ended */
uint32_t http_client_calls(const struct http_client *client);

#endif
