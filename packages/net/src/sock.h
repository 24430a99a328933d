/*
 * Helpers for IPv4 sockets, shared by the files of this package.
 */
#ifndef NET_SOCK_H
#define NET_SOCK_H

#include <netinet/in.h>

#include "base/status.h"
#include "proto/addr.h"

/** sock_to_system() - an address as the system calls take it */
struct sockaddr_in sock_to_system(struct net_addr a);

/** sock_from_system() - an address as the system calls give it */
struct net_addr sock_from_system(const struct sockaddr_in *sin);

/** sock_local() - local address of a socket; zero when there is none */
struct net_addr sock_local(int fd);

/**
 * sock_bind() - make a non-blocking socket bound to an address
 * @type: SOCK_STREAM or SOCK_DGRAM
 * @at: address; port 0 lets the system choose
 * @fd: where the socket goes
 *
 * Return: STATUS_OK or STATUS_IO.
 */
enum status sock_bind(int type, struct net_addr at, int *fd);

/**
 * sock_drop_new_conns() - let no new connection be made to a listening socket
 * @fd: the socket
 *
 * Those that are being made, or wait to be accepted, still get through:
 * closing the socket would reset them.  Where the system has no such filter
 * nothing changes.
 */
void sock_drop_new_conns(int fd);

#endif
