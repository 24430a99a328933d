/*
 * HTTP server: private definitions.
 */
#ifndef NET_HTTP_SERVER_PRIV_H
#define NET_HTTP_SERVER_PRIV_H

#include <glib.h>
#include <http_parser.h>

#include "net/http_server.h"

#include "http_head.h"

/**
 * struct http_server - a server
 * @loop: event loop that runs the server
 * @fd: the listening socket, -1 after http_server_unlisten()
 * @watch: watcher of @fd
 * @pause: timer that resumes accepting after descriptors have run out
 * @limits: limits for callers
 * @handler: callbacks
 * @arg: passed to the callbacks
 * @conns: open connections, struct http_incoming
 * @dead: closed connections, freed at the end of the turn
 * @task: frees @dead
 * @closing: each answer closes its connection
 */
struct http_server {
	struct loop *loop;
	int fd;
	struct loop_fd *watch;
	struct loop_timer pause;
	struct http_server_limits limits;
	const struct http_server_handler *handler;
	void *arg;
	GQueue conns;
	GQueue dead;
	struct loop_task task;
	bool closing;
};

/** enum incoming_state - state of a connection */
enum incoming_state {
	INCOMING_IDLE = 0, /* no byte of a request received */
	INCOMING_HEAD,	   /* receiving a head */
	INCOMING_SERVING, /* on_request() was called, the answer is not ended */
	INCOMING_FLUSHING,  /* sending the rest of a complete answer */
	INCOMING_LINGERING, /* discarding input before the close */
	INCOMING_DEAD,
};

/**
 * struct http_incoming - a connection and the request on it
 * @server: the server
 * @link: link in one of the server's queues
 * @fd: the socket
 * @watch: watcher of @fd
 * @timer: timeout of an idle connection, a head, a stall or lingering
 * @task: parses pipelined data, or resumes after a pause
 * @caller: address of the caller
 * @state: state of the connection
 * @parser: parser of requests
 * @target: path and query
 * @head: header lines; allocated from the first byte of a request to its end
 * @pipelined: received data that is not parsed yet, or NULL
 * @out: output buffer, or NULL when empty
 * @out_sent: bytes of @out already sent
 * @arg: the owner's argument
 * @parsing: the parser is on the call stack
 * @paused: the owner has paused the body
 * @body_done: the complete request has been parsed
 * @expects_continue: the caller waits for 100 Continue
 * @head_only: the answer has no body
 * @answered: the head of the answer was written
 * @chunked: the answer's body is chunked
 * @close: the connection is closed after the answer
 * @peer_ended: the caller has closed its side
 * @writable_due: the output exceeded the low-water mark; on_writable() is due
 */
struct http_incoming {
	struct http_server *server;
	GList link;
	int fd;
	struct loop_fd *watch;
	struct loop_timer timer;
	struct loop_task task;
	struct net_addr caller;
	enum incoming_state state;
	http_parser parser;
	GString *target;
	struct http_head head;
	GByteArray *pipelined;
	GByteArray *out;
	size_t out_sent;
	void *arg;
	bool parsing;
	bool paused;
	bool body_done;
	bool expects_continue;
	bool head_only;
	bool answered;
	bool chunked;
	bool close;
	bool peer_ended;
	bool writable_due;
};

/* http_incoming.c */

/** http_incoming_accept() - set up an accepted connection */
void
http_incoming_accept(struct http_server *s, int fd, struct net_addr caller);

/** http_incoming_close() - close a connection; calls on_gone() while serving */
void http_incoming_close(struct http_incoming *q, bool reset);

/** http_incoming_free() - free a closed connection */
void http_incoming_free(struct http_incoming *q);

/** http_incoming_flushed() - proceed if the complete answer has been sent */
void http_incoming_flushed(struct http_incoming *q);

/** http_incoming_has_unread() - whether the socket has unread data */
bool http_incoming_has_unread(const struct http_incoming *q);

/** http_incoming_watch() - update the watched events */
void http_incoming_watch(struct http_incoming *q);

/* http_request.c */

/** http_request_begin() - initialise the parser for the next request */
void http_request_begin(struct http_incoming *q);

/** http_request_feed() - parse buffered and new data */
void http_request_feed(struct http_incoming *q, const char *data, size_t len);

/** http_request_clear() - free the memory of a request */
void http_request_clear(struct http_incoming *q);

#endif
