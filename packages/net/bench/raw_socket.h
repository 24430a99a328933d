/*
 * Plain blocking sockets: the baseline of this package's bench programs.
 */
#ifndef BENCH_RAW_SOCKET_H
#define BENCH_RAW_SOCKET_H

#include <glib.h>

#include "proto/addr.h"

/** raw_connect() - blocking connection without delay; ends on failure */
int raw_connect(struct net_addr to);

/** raw_listen() - listening socket on a free port; @at gets its address */
int raw_listen(struct net_addr *at);

/** raw_write_all() - write @len bytes; ends the program on failure */
void raw_write_all(int fd, const void *data, size_t len);

/** raw_read_all() - read @len bytes; returns 0 at the end of the stream */
int raw_read_all(int fd, void *data, size_t len);

/** raw_thread_cpu_us() - processor time of this thread */
uint64_t raw_thread_cpu_us(void);

/** raw_quantile() - quantile @q of an array of uint64_t, which is sorted */
uint64_t raw_quantile(GArray *values, double q);

#endif
