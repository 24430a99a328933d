/*
 * Asynchronous HTTP/1.1 client in an event loop; messages are read by
 * libhttp-parser.
 *
 * A request that goes out on a kept connection may meet its end, and then
 * nobody can tell whether it ran.  Such a request is sent once more on a new
 * connection, unless it is marked `once`: that one fails, and it gets a kept
 * connection only if it says how long that may have been idle.
 *
 * All functions are for the loop's thread.  Every function of a handler may
 * call http_call_cancel() and http_call_resume() and start other calls.
 */
#ifndef NET_HTTP_H
#define NET_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "net/loop.h"

struct http_call;
struct http_client;

/** struct http_header - a header; both strings are zero-terminated */
struct http_header {
	const char *name;
	const char *value;
};

/** HTTP_LENGTH_UNKNOWN - the length of a streamed body isn't known */
#define HTTP_LENGTH_UNKNOWN UINT64_MAX

/**
 * enum http_flow - what a function of a handler wants next
 * @HTTP_CONTINUE: go on
 * @HTTP_PAUSE: nothing was taken (on_body) or given (on_pull); ask again
 *	after http_call_resume()
 * @HTTP_END: the body that is pulled is complete (on_pull only)
 * @HTTP_ABORT: fail the call with STATUS_UNAVAILABLE
 * @HTTP_SKIP: this answer belongs to something else; pass over it and wait
 *	for the next one (on_head only)
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
 * @url: absolute URL, http only, the host as an IPv4 address; copied
 * @headers: headers; copied; Connection, Content-Length, Expect and
 *	Transfer-Encoding are the client's own and left out; without a Host
 *	the one of the URL is sent
 * @n_headers: number of headers
 * @body: body as a block, which must stay until on_done() is called or
 *	http_call_cancel() has returned, if that is called from on_head(),
 *	on_body() or on_pull() until the end of the turn; NULL when there is
 *	none or it is pulled
 * @body_bytes: length of @body; when the body is pulled its length, or
 *	HTTP_LENGTH_UNKNOWN for a chunked body
 * @pulled: the body comes from on_pull()
 * @once: never run twice; see the top of this file
 * @deadline_ms: monotonic time by which the answer must be complete
 * @connect_ms: longest time for establishing a connection; 0 for
 *	HTTP_CONNECT_MS
 * @reuse_idle_ms: longest time that a kept connection may have been idle to
 *	be used; 0 for any kept one, or, if @once, for none
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
 * struct http_result - how a call ended
 * @status: STATUS_OK when the whole answer came, whatever its code;
 *	STATUS_TIMEOUT when the deadline passed; STATUS_UNAVAILABLE when the
 *	connection could not be made or broke; STATUS_INVALID when the request
 *	or the answer isn't HTTP; status_message() says more
 * @code: the answer's HTTP status, 0 when no head came
 * @sent: whether any byte of the request can have left; when false the
 *	request has certainly not run
 * @delimited: whether the answer said where it ends; when false it ended
 *	with its connection, and whether it was cut short can't be told
 */
struct http_result {
	enum status status;
	int code;
	bool sent;
	bool delimited;
};

/**
 * struct http_handler - what the owner of a call is told
 * @on_head: the answer's head came (once; not for 1xx).  @headers is valid
 *	during the call only.  HTTP_CONTINUE or HTTP_ABORT; may be NULL
 * @on_body: a piece of the answer's body; on HTTP_PAUSE the same piece is
 *	given again after http_call_resume(); may be NULL
 * @on_pull: put up to @max bytes of the request's body at @buf and their
 *	number at @len; may be NULL when the body isn't pulled
 * @on_done: the call has ended, and its memory is released after this; not
 *	called after http_call_cancel(), and never before http_call_start()
 *	has returned
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
 * @conns_max: most connections open at a time; default HTTP_CONNS_MAX
 * @conns_per_host_max: most connections to one address; default
 *	HTTP_CONNS_PER_HOST_MAX; calls above it wait their turn
 */
struct http_client_options {
	uint32_t conns_max;
	uint32_t conns_per_host_max;
};

#define HTTP_CONNS_MAX 1024U
#define HTTP_CONNS_PER_HOST_MAX 256U

/**
 * http_client_new() - make a client
 * @loop: the loop it lives in
 * @options: copied; NULL for the defaults
 */
struct http_client *
http_client_new(struct loop *loop, const struct http_client_options *options);

/**
 * http_client_free() - cancel all calls and free the client
 * @client: the client; NULL is allowed; not from within a handler
 */
void http_client_free(struct http_client *client);

/**
 * http_call_start() - start a call
 * @client: the client
 * @request: the request; copied but for its body
 * @handler: what the owner is told; must outlive the call
 * @arg: given to the handler's functions
 *
 * Return: the call, never NULL: a failure is told by on_done().
 */
struct http_call *
http_call_start(struct http_client *client, const struct http_request *request,
    const struct http_handler *handler, void *arg);

/** http_client_idle() - number of kept connections that no call uses */
uint32_t http_client_idle(const struct http_client *client);

/**
 * http_call_cancel() - drop a call
 * @call: the call; no function of its handler is called from now on; its
 *	memory is released at the end of the turn
 *
 * A connection that the request went out on is closed, which tells the
 * server.
 *
 * Return: whether any byte of the request can have left, as in struct
 * http_result.
 */
bool http_call_cancel(struct http_call *call);

/**
 * http_call_set_deadline() - the answer may take longer
 * @call: a call that has not ended
 * @deadline_ms: monotonic time by which it must be complete now
 */
void http_call_set_deadline(struct http_call *call, uint64_t deadline_ms);

/** http_call_resume() - go on with on_body() and on_pull() after a pause */
void http_call_resume(struct http_call *call);

/** http_client_calls() - number of calls that are not done */
uint32_t http_client_calls(const struct http_client *client);

#endif
