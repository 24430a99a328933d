/*
 * A connection of the HTTP client: private definitions.
 */
#ifndef NET_HTTP_CONN_DEFS_H
#define NET_HTTP_CONN_DEFS_H

#include "http_priv.h"

/** enum http_conn_state - state of a connection */
enum http_conn_state {
	HTTP_CONN_DIALLING = 0,
	HTTP_CONN_BUSY,
	HTTP_CONN_IDLE,
	HTTP_CONN_DEAD,
};

/**
 * struct http_conn - a connection
 * @client: the client
 * @link: link in one of the client's queues
 * @to: address of the server
 * @fd: the socket
 * @watch: watcher of @fd
 * @state: state of the connection
 * @timer: connect timeout, or keep-alive timeout of an idle connection
 * @parser: parser of answers
 * @head: header lines of the answer being parsed
 * @call: call that uses the connection, or NULL
 * @out: output buffer
 * @out_sent: bytes of @out already sent
 * @held: body data received while the call is paused
 * @idle_since_ms: monotonic time at which the last call ended
 * @keep_alive_ms: time for which the idle connection may be reused
 * @interim: interim answers (1xx) received for the call
 * @used: a call has ended on the connection
 * @line_bytes: bytes of the current answer's first line that were checked
 * @written: the complete request has been sent
 * @reset: sending has failed, so that the end of the stream is not orderly
 * @complete: the complete answer has been received
 * @surplus: data beyond the answer was received, or an answer was skipped
 */
struct http_conn {
	struct http_client *client;
	GList link;
	struct net_addr to;
	int fd;
	struct loop_fd *watch;
	enum http_conn_state state;
	struct loop_timer timer;
	http_parser parser;
	struct http_head head;
	struct http_call *call;
	GByteArray *out;
	size_t out_sent;
	GByteArray *held;
	uint64_t idle_since_ms;
	uint64_t keep_alive_ms;
	uint32_t interim;
	uint32_t line_bytes;
	bool used;
	bool written;
	bool reset;
	bool complete;
	bool surplus;
};

/**
 * http_read_line() - check the beginning of an answer's first line
 * @c: the connection, with an answer that begins or goes on in @data
 * @data: received bytes
 * @len: number of bytes
 *
 * Return: whether it can be a status line of HTTP/1 with a status of three
 * digits from 100 to 599; the parser also accepts others.
 */
bool http_read_line(struct http_conn *c, const char *data, size_t len);

/** http_read_settings - parser callbacks; parser->data is the connection */
extern const http_parser_settings http_read_settings;

/**
 * http_read_body() - pass a piece of the answer's body to on_body()
 *
 * Return: 0, or -1 when the call has ended or is aborted.
 */
int http_read_body(http_parser *p, const char *at, size_t len);

#endif
