/*
 * Listener for framed TCP connections.
 */
#ifndef NET_LISTENER_H
#define NET_LISTENER_H

#include "net/conn.h"

struct listener;

/**
 * listener_accept_fn - callback for an accepted connection
 * @c: the connection; the owner may set its argument with conn_set_arg()
 * @arg: the listener's argument
 */
typedef void listener_accept_fn(struct conn *c, void *arg);

/**
 * struct listener_options - options of a listener
 * @conn: limits of each accepted connection
 * @conns_max: maximum number of open connections; a further one takes the place
 *	of one that has not sent a frame, or is closed on accept; 0 for no limit
 * @input_max_bytes: maximum memory of incomplete frames of all connections;
 *	beyond it the one whose frame is incomplete for longest is closed; 0 for
 *	LISTENER_INPUT_MAX_BYTES
 * @handler: handler of each accepted connection; must outlive them
 * @on_accept: called for each accepted connection; may be NULL
 * @arg: argument of @on_accept and initial argument of the connections
 */
struct listener_options {
	struct conn_options conn;
	uint32_t conns_max;
	uint64_t input_max_bytes;
	const struct conn_handler *handler;
	listener_accept_fn *on_accept;
	void *arg;
};

#define LISTENER_INPUT_MAX_BYTES (UINT64_C(16) << 20)

/**
 * listener_new() - listen on an address
 * @loop: event loop that runs the listener and its connections
 * @at: address to listen on; port 0 selects a free port
 * @options: copied
 * @out: receives the listener
 *
 * Return: STATUS_OK, or STATUS_IO when the address can't be bound.
 */
enum status listener_new(struct loop *loop, struct net_addr at,
    const struct listener_options *options, struct listener **out);

/**
 * listener_free() - stop listening
 * @l: the listener; NULL is allowed
 *
 * Accepted connections stay open until their owner closes them.
 */
void listener_free(struct listener *l);

/** listener_addr() - address that the listener is bound to */
struct net_addr listener_addr(const struct listener *l);

/** listener_conns() - number of accepted connections that are open */
uint32_t listener_conns(const struct listener *l);

/** listener_refused() - number of connections closed because of @conns_max */
uint64_t listener_refused(const struct listener *l);

#endif
