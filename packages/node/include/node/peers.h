/*
 * Control connections to peers, TCP with frames, incoming and outgoing, and the
 * datagram socket.  All of them belong to the control thread.
 */
#ifndef NODE_PEERS_H
#define NODE_PEERS_H

#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "net/loop.h"
#include "proto/addr.h"
#include "proto/outbox.h"

struct peers;

/**
 * struct peers_handler - callbacks of the owner
 * @on_datagram: a datagram was received
 * @on_frame: a frame was received on connection @conn
 * @on_part: part of a frame was received from @peer
 * @on_closed: an outgoing connection to @peer was closed or failed
 */
struct peers_handler {
	void (*on_datagram)(struct net_addr from, uint8_t type,
	    const uint8_t *body, size_t len, void *arg);
	void (*on_frame)(struct net_addr from, uint64_t conn, uint8_t type,
	    const uint8_t *body, size_t len, void *arg);
	void (*on_part)(struct net_addr peer, void *arg);
	void (*on_closed)(struct net_addr peer, void *arg);
};

/**
 * peers_new() - bind the sockets and listen for peers
 * @loop: the control thread's loop
 * @at: own control address, TCP and UDP
 * @input_max_bytes: see struct listener_options
 * @handler: callbacks of the owner; must outlive the peers
 * @arg: passed to the callbacks
 * @out: receives the peers
 *
 * Return: STATUS_OK, or STATUS_IO when the address can't be bound.
 */
enum status
peers_new(struct loop *loop, struct net_addr at, uint64_t input_max_bytes,
    const struct peers_handler *handler, void *arg, struct peers **out);

/** peers_free() - close all connections; NULL is allowed */
void peers_free(struct peers *p);

/**
 * peers_flush() - carry out and remove all items of an outbox
 * @p: the peers
 * @o: the outbox
 */
void peers_flush(struct peers *p, struct outbox *o);

#endif
