/*
 * Listening socket: accepts connections for the HTTP server and the listener.
 *
 * When the system has no descriptor or memory left, accepting pauses for
 * ACCEPTOR_PAUSE_MS.  The first failure and the end of a pause are logged.
 */
#ifndef NET_ACCEPTOR_H
#define NET_ACCEPTOR_H

#include <stdbool.h>
#include <stdint.h>

#include "base/log.h"
#include "base/status.h"
#include "net/descriptors.h"
#include "net/loop.h"
#include "proto/addr.h"

/**
 * acceptor_fn - callback for an accepted connection
 * @fd: the socket, non-blocking; ownership passes to the callee
 * @caller: address of the other side
 * @arg: the acceptor's argument
 */
typedef void acceptor_fn(int fd, struct net_addr caller, void *arg);

/**
 * struct acceptor - a listening socket
 * @loop: event loop that runs it
 * @watch: watcher of @fd, NULL when closed
 * @resume: ends a pause
 * @fd: the socket, -1 when closed
 * @use: what the connections are for
 * @fn: called for each connection
 * @make_room: frees a descriptor and returns whether it could, called when the
 *	system has none left; may be NULL
 * @arg: passed to the callbacks
 * @paused_since_ms: monotonic time of the first failure, 0 when connections are
 *	accepted
 * @limit: rate limit of log lines
 */
struct acceptor {
	struct loop *loop;
	struct loop_fd *watch;
	struct loop_timer resume;
	int fd;
	enum descriptor_use use;
	acceptor_fn *fn;
	bool (*make_room)(void *arg);
	void *arg;
	uint64_t paused_since_ms;
	struct log_limit limit;
};

/**
 * acceptor_init() - prepare a closed acceptor
 * @a: the acceptor
 * @loop: event loop that runs it
 * @use: what the connections are for
 * @fn: called for each connection
 * @arg: passed to @fn
 */
void acceptor_init(struct acceptor *a, struct loop *loop,
    enum descriptor_use use, acceptor_fn *fn, void *arg);

/**
 * acceptor_open() - listen
 * @a: a closed acceptor
 * @at: address to listen on; port 0 selects a free port
 *
 * Return: STATUS_OK, or STATUS_IO when the address can't be bound; the acceptor
 * is closed then.
 */
enum status acceptor_open(struct acceptor *a, struct net_addr at);

/**
 * acceptor_refuse() - close a connection that can't be served
 * @a: the acceptor that accepted it
 * @fd: the socket
 *
 * Counts the connection and logs it within a rate limit.
 */
void acceptor_refuse(struct acceptor *a, int fd);

/** acceptor_close() - close the listening socket */
void acceptor_close(struct acceptor *a);

#endif
