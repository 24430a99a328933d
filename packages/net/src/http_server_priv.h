/*
 * HTTP server, as its own files see it.
 */
#ifndef NET_HTTP_SERVER_PRIV_H
#define NET_HTTP_SERVER_PRIV_H

#include <glib.h>
#include <http_parser.h>

#include "net/http_server.h"

#include "http_head.h"

/**
 * struct http_server - a server
 * @loop: its loop
 * @fd: the listening socket, -1 when it takes no more
 * @watch: watches it
 * @pause: ends a pause of accepting, when descriptors have run out
 * @limits: what a caller may send
 * @handler: what the owner is told
 * @arg: given to it
 * @conns: struct http_incoming, the open connections
 * @dead: closed ones, freed at the end of the turn
 * @task: frees them
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

/** enum incoming_state - where a connection stands */
enum incoming_state {
	INCOMING_IDLE = 0,  /* no byte of a request yet */
	INCOMING_HEAD,	    /* within a head */
	INCOMING_SERVING,   /* the owner has the request */
	INCOMING_FLUSHING,  /* the answer's last bytes are being written */
	INCOMING_LINGERING, /* what still comes is thrown away */
	INCOMING_DEAD,
};

/**
 * struct http_incoming - a connection and the request on it
 * @server: the server
 * @link: its place in one of the server's queues
 * @fd: its socket
 * @watch: watches it
 * @timer: idle time, head time, stalls, lingering
 * @task: serves what was sent ahead
 * @caller: address of the caller
 * @state: where it stands
 * @parser: reads requests
 * @target: path and query
 * @head: header lines; allocated while there are any
 * @pipelined: bytes read and not parsed yet, or NULL
 * @out: bytes to be written, or NULL
 * @out_sent: bytes of @out that are written
 * @arg: the owner's
 * @parsing: the parser is at work
 * @paused: the owner wants no body now
 * @body_done: the whole request was read
 * @expects_continue: the caller waits for a 100
 * @head_only: the answer has no body
 * @answered: the head of the answer was written
 * @chunked: its body goes in chunks
 * @close: the connection ends with the answer
 * @peer_ended: the caller has closed its side
 * @writable_due: on_writable() is due
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

/** http_incoming_accept() - a connection came in */
void
http_incoming_accept(struct http_server *s, int fd, struct net_addr caller);

/** http_incoming_close() - close it; an owner is told by on_gone() */
void http_incoming_close(struct http_incoming *q, bool reset);

/** http_incoming_free() - free a closed connection */
void http_incoming_free(struct http_incoming *q);

/** http_incoming_flushed() - go on if the whole answer has been written */
void http_incoming_flushed(struct http_incoming *q);

/** http_incoming_watch() - wait for what is wanted next */
void http_incoming_watch(struct http_incoming *q);

/* http_request.c */

/** http_request_begin() - prepare the parser for the next request */
void http_request_begin(struct http_incoming *q);

/** http_request_feed() - parse what came, and what was kept before */
void http_request_feed(struct http_incoming *q, const char *data, size_t len);

/** http_request_clear() - free what a request holds */
void http_request_clear(struct http_incoming *q);

#endif
