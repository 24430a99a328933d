/*
 * A connection of the HTTP client, as the files that serve it see it.
 */
#ifndef NET_HTTP_CONN_DEFS_H
#define NET_HTTP_CONN_DEFS_H

#include "http_priv.h"

/** enum http_conn_state - where a connection stands */
enum http_conn_state {
	HTTP_CONN_DIALLING = 0,
	HTTP_CONN_BUSY,
	HTTP_CONN_IDLE,
	HTTP_CONN_DEAD,
};

/**
 * struct http_conn - a connection
 * @client: its client
 * @link: its place in one of the client's queues
 * @to: where it leads
 * @fd: its socket
 * @watch: watches the socket
 * @state: where it stands
 * @timer: end of the dialling, or of the time that it is kept
 * @parser: reads answers
 * @head: lines of the answer being read
 * @call: call that uses it, or NULL
 * @out: bytes that wait to be written
 * @out_sent: bytes of @out that are written
 * @held: bytes read while the owner of the call has paused
 * @idle_since_ms: when its last call ended
 * @keep_alive_ms: how long the server keeps it idle
 * @used: a call has ended on it
 * @written: the whole request has left
 * @complete: the whole answer came
 * @surplus: more came than one answer
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
	bool used;
	bool written;
	bool complete;
	bool surplus;
};

/** http_read_settings - what the parser calls; its data are the connection */
extern const http_parser_settings http_read_settings;

/**
 * http_read_body() - give the owner of a call a piece of the answer
 *
 * Return: 0, or -1 when the call is over.
 */
int http_read_body(http_parser *p, const char *at, size_t len);

#endif
