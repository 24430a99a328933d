/*
 * Datagram socket: one message a datagram, a type byte and a body.
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
 * udp_datagram_fn - a datagram came in
 * @from: who sent it, as far as the datagram says
 * @type: type byte
 * @body: body, valid during the call only
 * @len: number of bytes of the body
 * @arg: the owner's argument
 */
typedef void udp_datagram_fn(struct net_addr from, uint8_t type,
    const uint8_t *body, size_t len, void *arg);

/**
 * struct udp_options - how a datagram socket behaves
 * @on_datagram: called for each datagram
 * @arg: given to @on_datagram
 * @sent_bytes: counter of bytes sent; may be NULL
 * @received_bytes: counter of bytes received; may be NULL
 * @dropped: counter of datagrams dropped: empty or too large ones that came
 *	in, and ones the system did not take; may be NULL
 */
struct udp_options {
	udp_datagram_fn *on_datagram;
	void *arg;
	struct metric *sent_bytes;
	struct metric *received_bytes;
	struct metric *dropped;
};

/**
 * udp_new() - bind a datagram socket
 * @loop: the loop it lives in
 * @at: address; port 0 lets the system choose
 * @options: copied
 * @out: where the socket goes
 *
 * Return: STATUS_OK, or STATUS_IO when the address can't be bound.
 */
enum status udp_new(struct loop *loop, struct net_addr at,
    const struct udp_options *options, struct udp **out);

/** udp_free() - close the socket; NULL is allowed; not from on_datagram */
void udp_free(struct udp *u);

/** udp_addr() - address that is bound, with the real port */
struct net_addr udp_addr(const struct udp *u);

/**
 * udp_send() - send one datagram
 * @u: the socket
 * @to: where to
 * @type: type byte
 * @body: body
 * @len: number of bytes
 *
 * Return: STATUS_OK when the system took it, which is no promise of arrival;
 * STATUS_TOO_LARGE; STATUS_UNAVAILABLE when the system did not take it.
 */
enum status udp_send(struct udp *u, struct net_addr to, uint8_t type,
    const uint8_t *body, size_t len);

#endif
