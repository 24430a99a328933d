/*
 * What the tests of this package and of the store share.
 */
#ifndef TEST_SUPPORT_H
#define TEST_SUPPORT_H

#include <stddef.h>

#include <check.h>

#include "net/loop.h"
#include "proto/addr.h"

#define LOOPBACK 0x7f000001U
/* A test that waits longer than this for something has failed. */
#define WAIT_MS 5000

/* Run turns of @loop until @cond holds. */
#define RUN_UNTIL(loop, cond)                                      \
	do {                                                       \
		uint64_t end_ms = clock_now_ms() + WAIT_MS;        \
		while (!(cond)) {                                  \
			ck_assert_uint_lt(clock_now_ms(), end_ms); \
			loop_run_once((loop), clock_now_ms() + 1); \
		}                                                  \
	} while (0)

/** support_run() - run a test case; returns what main() shall return */
int support_run(const char *name, TCase *tc);

/** support_run_for() - run turns of a loop for @ms milliseconds */
void support_run_for(struct loop *loop, uint64_t ms);

/** support_connect() - blocking connection to a port of the loopback address */
int support_connect(uint16_t port);

/** support_send() - send all of @data */
void support_send(int fd, const void *data, size_t len);

/** support_reset() - close a connection so that the peer sees a reset */
void support_reset(int fd);

#define SILENT_FDS 4

/**
 * struct silent - an address that answers no handshake
 * @fd: a listening socket whose queue is full
 * @fds: connections that fill it
 * @port: its port
 */
struct silent {
	int fd;
	int fds[SILENT_FDS];
	uint16_t port;
};

/** support_silent_open() - make an address that answers no handshake */
void support_silent_open(struct silent *s);

/** support_silent_close() - close it */
void support_silent_close(struct silent *s);

#endif
