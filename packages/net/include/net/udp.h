/*
 * UDP socket: each datagram is one message of a type byte and a body.
 */
#ifndef NET_UDP_H
#define NET_UDP_H

#include <stddef.h>
#include <stdint.h>

#include "base/metrics.h"
#include "base/status.h"
#include "net/loop.h"
#include "proto/addr.h"

/** UDP_MAX_BYTES - largest datagram sent or accepted, type byte included */
#define UDP_MAX_BYTES 1400

struct udp;

/**
 * udp_datagram_fn - callback for a received datagram
 * @from: source address of the datagram; not authenticated
 * @type: type byte
 * @body: body, valid only during the callback
 * @len: number of bytes of the body
 * @arg: the owner's argument
 */
typedef void udp_datagram_fn(struct net_addr from, uint8_t type,
    const uint8_t *body, size_t len, void *arg);

/**
 * struct udp_options - options of a UDP socket
 * @on_datagram: called for each datagram
 * @arg: passed to @on_datagram
 * @sent_bytes: counter of bytes sent; may be NULL
 * @received_bytes: counter of bytes received; may be NULL
 * @dropped: counter of dropped datagrams: received ones that are empty or too
 *	large, and outgoing ones that the system did not accept; may be NULL
 */
struct udp_options {
	udp_datagram_fn *on_datagram;
	void *arg;
	struct metric *sent_bytes;
	struct metric *received_bytes;
	struct metric *dropped;
};

/**
 * udp_new() - create and bind a UDP socket
 * @loop: event loop that runs the socket
 * @at: address to bind; port 0 selects a free port
 * @options: copied
 * @out: receives the socket
 *
 * Return: STATUS_OK, or STATUS_IO when the address can't be bound.
 */
enum status udp_new(struct loop *loop, struct net_addr at,
    const struct udp_options *options, struct udp **out);

/** udp_free() - close and free @u, but not from on_datagram; may be NULL */
void udp_free(struct udp *u);

/** udp_addr() - address that the socket is bound to */
struct net_addr udp_addr(const struct udp *u);

/**
 * udp_send() - send one datagram
 * @u: the socket
 * @to: destination address
 * @type: type byte
 * @body: body
 * @len: number of bytes
 *
 * Return: STATUS_OK when the system accepted the datagram, which does not
 * guarantee its delivery; STATUS_TOO_LARGE above UDP_MAX_BYTES;
 * STATUS_UNAVAILABLE when the system did not accept it.
 */
enum status udp_send(struct udp *u, struct net_addr to, uint8_t type,
    const uint8_t *body, size_t len);

#endif
