/*
 * Plain blocking sockets: the baseline of this package's benchmarks.
 */
#ifndef BENCH_RAW_SOCKET_H
#define BENCH_RAW_SOCKET_H

#include <glib.h>

#include "proto/addr.h"

/** raw_connect() - open a blocking connection with TCP_NODELAY, or abort */
int raw_connect(struct net_addr to);

/** raw_listen() - listen on a free port; @at receives the address */
int raw_listen(struct net_addr *at);

/** raw_write_all() - write @len bytes; aborts the program on failure */
void raw_write_all(int fd, const void *data, size_t len);

/** raw_read_all() - read @len bytes; returns 0 at the end of the stream */
int raw_read_all(int fd, void *data, size_t len);

/** raw_thread_cpu_us() - CPU time of this thread in microseconds */
uint64_t raw_thread_cpu_us(void);

/** raw_quantile() - quantile @q of an array of uint64_t; sorts the array */
uint64_t raw_quantile(GArray *values, double q);

#endif
