/*
 * HTTP server: private definitions.
 */
#ifndef NET_HTTP_SERVER_PRIV_H
#define NET_HTTP_SERVER_PRIV_H

#include <glib.h>
#include <http_parser.h>

#include "net/buffer_pool.h"
#include "net/http_server.h"

#include "acceptor.h"
#include "http_head.h"

/** enum conn_timing - what the timer of a connection limits */
enum conn_timing {
	CONN_TIMING_NONE = 0,
	CONN_TIMING_IDLE,
	CONN_TIMING_HEAD,
	CONN_TIMING_STALL,
	CONN_TIMING_LINGER,
	CONN_TIMINGS,
};

/**
 * struct http_server - a server
 * @loop: event loop that runs the server
 * @acceptor: the listening socket
 * @limits: limits for callers
 * @handler: callbacks
 * @arg: passed to the callbacks
 * @full_answer: sent to callers for which there is no place, or NULL
 * @conns: open connections, struct http_server_conn
 * @dead: closed connections, freed at the end of the turn
 * @by_timing: open connections by what their timer limits, the one that waits
 *	for longest at the head
 * @pool: bound on the memory that the connections hold
 * @room_lines: rate limit of log lines on connections closed for others
 * @task: frees @dead
 * @closing: each connection is closed after its last answer
 */
struct http_server {
	struct loop *loop;
	struct acceptor acceptor;
	struct http_server_limits limits;
	const struct http_server_handler *handler;
	void *arg;
	char *full_answer;
	GQueue conns;
	GQueue dead;
	GQueue by_timing[CONN_TIMINGS];
	struct buffer_pool *pool;
	struct log_limit room_lines;
	struct loop_task task;
	bool closing;
};

/** enum conn_input - what a connection receives */
enum conn_input {
	CONN_INPUT_IDLE = 0, /* no byte of a request received */
	CONN_INPUT_HEAD,
	CONN_INPUT_HELD, /* a head is complete, but it is not its turn */
	CONN_INPUT_BODY, /* on_request() was called, the body goes on */
	CONN_INPUT_BAD,	 /* the data is not a valid request */
};

/** enum conn_life - whether a connection is in use */
enum conn_life {
	CONN_OPEN = 0,
	CONN_LINGERING, /* discarding input before the close */
	CONN_DEAD,
};

/**
 * struct http_server_conn - a connection
 * @server: the server
 * @holder: memory that the connection holds
 * @link: link in one of the server's queues
 * @timing_link: link in the queue of @timing, if that is not CONN_TIMING_NONE
 * @fd: the socket
 * @watch: watcher of @fd
 * @timer: timeout of an idle connection, a head, a stall or lingering
 * @task: parses buffered data, or resumes after a pause
 * @caller: address of the caller
 * @life: whether the connection is in use
 * @input: what is received
 * @timing: what @timer limits
 * @timing_since_ms: monotonic time at which @timing began, or of the last
 *	progress since then
 * @stall_ms: monotonic time at which a stall without any progress ends
 * @progress_bytes: bytes received or sent while @timing is CONN_TIMING_STALL
 * @parser: parser of requests
 * @target: path and query
 * @head: header lines; allocated from the first byte of a request to its end
 * @pipelined: received data that is not parsed yet, or NULL
 * @requests: requests under way in their order, struct http_incoming
 * @reading: the request whose body is received, NULL if its answer has ended
 * @out: output buffer, or NULL when empty
 * @out_sent: bytes of @out already sent
 * @discarded_bytes: input discarded since the last answer
 * @evicted: the connection was closed because all hold too much
 * @bad_code: code for the data that is not a valid request
 * @parsing: the parser is on the call stack
 * @closing: no further request is read, and the connection is closed after the
 *	last answer
 * @peer_ended: the caller has closed its side
 * @used: a request was received
 * @surplus: accepted beyond the connections that are served
 */
struct http_server_conn {
	struct http_server *server;
	struct buffer_holder holder;
	GList link;
	GList timing_link;
	int fd;
	struct loop_fd *watch;
	struct loop_timer timer;
	struct loop_task task;
	struct net_addr caller;
	enum conn_life life;
	enum conn_input input;
	enum conn_timing timing;
	uint64_t timing_since_ms;
	uint64_t stall_ms;
	uint64_t progress_bytes;
	http_parser parser;
	GString *target;
	struct http_head head;
	GByteArray *pipelined;
	GQueue requests;
	struct http_incoming *reading;
	GByteArray *out;
	size_t out_sent;
	size_t discarded_bytes;
	int bad_code;
	bool evicted;
	bool parsing;
	bool closing;
	bool peer_ended;
	bool used;
	bool surplus;
};

/**
 * struct http_incoming - a request and its answer
 * @conn: the connection
 * @link: link in the connection's queue
 * @arg: the owner's argument
 * @out: the answer while an earlier one is not complete, or NULL when empty
 * @head_bytes: length of the answer's head in @out
 * @request_head_bytes: length of the request's head, which the owner copies
 * @held_bytes: what the owner holds for the request
 * @version_1_0: the request is HTTP/1.0
 * @overlaps: further requests may run beside this one
 * @paused: the owner has paused the body
 * @body_done: the complete request has been parsed
 * @expects_continue: the caller waits for 100 Continue
 * @head_only: the answer has no body
 * @answered: the head of the answer was written
 * @chunked: the answer's body is chunked
 * @ended: the answer is complete, or was aborted
 * @aborted: the answer was aborted before its turn
 * @writable_due: the output exceeded the low-water mark; on_writable() is due
 */
struct http_incoming {
	struct http_server_conn *conn;
	GList link;
	void *arg;
	GByteArray *out;
	size_t head_bytes;
	uint32_t request_head_bytes;
	uint64_t held_bytes;
	bool version_1_0;
	bool overlaps;
	bool paused;
	bool body_done;
	bool expects_continue;
	bool head_only;
	bool answered;
	bool chunked;
	bool ended;
	bool aborted;
	bool writable_due;
};

/* http_server_conn.c */

/**
 * http_server_conn_accept() - set up an accepted connection
 * @s: the server
 * @fd: the socket, whose descriptor has been taken
 * @caller: address of the caller
 * @surplus: its first request is refused unless there is room by then
 */
void http_server_conn_accept(
    struct http_server *s, int fd, struct net_addr caller, bool surplus);

/** http_server_conn_limit_ms() - time limit of a timer */
uint32_t http_server_conn_limit_ms(
    const struct http_server_limits *l, enum conn_timing timing);

/** http_server_conn_close() - close a connection; calls on_gone() for each
 * request under way */
void http_server_conn_close(struct http_server_conn *c, bool reset);

/** http_server_conn_free() - free a closed connection */
void http_server_conn_free(struct http_server_conn *c);

/** http_server_conn_is_idle() - whether no request is under way or received */
bool http_server_conn_is_idle(const struct http_server_conn *c);

/** http_server_conn_end_idle() - close an idle connection whose last answer may
 * not have arrived */
void http_server_conn_end_idle(struct http_server_conn *c);

/** http_server_conn_has_unread() - whether the socket has unread data */
bool http_server_conn_has_unread(const struct http_server_conn *c);

/** http_server_conn_has_unconfirmed() - whether the caller's host has yet to
 * confirm bytes that were sent; closing could destroy them */
bool http_server_conn_has_unconfirmed(const struct http_server_conn *c);

/** http_server_conn_output_bytes() - bytes of output that are not yet sent */
size_t http_server_conn_output_bytes(const struct http_server_conn *c);

/** http_server_conn_update_held() - report what the connection holds to the
 * pool */
void http_server_conn_update_held(struct http_server_conn *c);

/** http_server_conn_restart_timer() - the next update begins the timeout anew
 */
void http_server_conn_restart_timer(struct http_server_conn *c);

/** http_server_conn_update() - go on to the next request or close, if it is
 * time, and update the watched events and the timer */
void http_server_conn_update(struct http_server_conn *c);

/** http_server_conn_flush() - send output, then update */
void http_server_conn_flush(struct http_server_conn *c);

/* http_server_room.c */

/** http_server_room_init() - initialise what logs and counts use */
void http_server_room_init(struct http_server *s);

/** http_server_room_is_tight() - whether a new connection needs the place of
 * another */
bool http_server_room_is_tight(const struct http_server *s);

/** http_server_room_make() - close a connection that is not in use; returns
 * whether there was one */
bool http_server_room_make(struct http_server *s);

/* http_incoming.c */

/** http_incoming_new() - add a request to a connection */
struct http_incoming *http_incoming_new(struct http_server_conn *c);

/** http_incoming_free() - free a request that left its connection's queue */
void http_incoming_free(struct http_incoming *q);

/** http_incoming_first() - the request whose turn it is, or NULL */
struct http_incoming *http_incoming_first(const struct http_server_conn *c);

/** http_incoming_flushed() - report output that has fallen to the low-water
 * mark */
void http_incoming_flushed(struct http_server_conn *c);

/* http_request.c */

/** http_request_init() - initialise the parser of a connection */
void http_request_init(struct http_server_conn *c);

/** http_request_feed() - parse buffered and new data */
void
http_request_feed(struct http_server_conn *c, const char *data, size_t len);

/** http_request_may_parse() - whether buffered data may be parsed now */
bool http_request_may_parse(const struct http_server_conn *c);

/** http_request_reject() - answer data that is not a valid request */
void http_request_reject(struct http_server_conn *c);

/** http_request_clear() - free the memory of a head */
void http_request_clear(struct http_server_conn *c);

#endif
