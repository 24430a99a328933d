/*
 * Helpers for IPv4 sockets, shared by the files of this package.
 */
#ifndef NET_SOCK_H
#define NET_SOCK_H

#include <netinet/in.h>

#include "base/status.h"
#include "proto/addr.h"

/** sock_to_system() - convert an address to a struct sockaddr_in */
struct sockaddr_in sock_to_system(struct net_addr a);

/** sock_from_system() - convert a struct sockaddr_in to an address */
struct net_addr sock_from_system(const struct sockaddr_in *sin);

/** sock_local() - local address of a socket; zero if it has none */
struct net_addr sock_local(int fd);

/**
 * sock_bind() - create a non-blocking socket bound to an address
 * @type: SOCK_STREAM or SOCK_DGRAM
 * @at: address; port 0 selects a free port
 * @fd: receives the socket
 *
 * Return: STATUS_OK or STATUS_IO.
 */
enum status sock_bind(int type, struct net_addr at, int *fd);

/**
 * sock_drop_new_conns() - prevent new connections to a listening socket
 * @fd: the socket
 *
 * Attaches a filter that drops SYN segments.  Connections whose handshake has
 * begun or that wait to be accepted are not affected, whereas closing the
 * socket would reset them.  Without support for socket filters this function
 * has no effect.
 */
void sock_drop_new_conns(int fd);

#endif
