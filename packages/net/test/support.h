/*
 * Helpers for the tests of this package, the store and the platform adapter.
 */
#ifndef TEST_SUPPORT_H
#define TEST_SUPPORT_H

#include <stddef.h>

#include <check.h>

#include "net/loop.h"
#include "proto/addr.h"

#define LOOPBACK 0x7f000001U
/* Time limit of RUN_UNTIL(), after which a test fails. */
#define WAIT_MS 5000

/* Runs turns of @loop until @cond holds. */
#define RUN_UNTIL(loop, cond)                                      \
	do {                                                       \
		uint64_t end_ms = clock_now_ms() + WAIT_MS;        \
		while (!(cond)) {                                  \
			ck_assert_uint_lt(clock_now_ms(), end_ms); \
			loop_run_once((loop), clock_now_ms() + 1); \
		}                                                  \
	} while (0)

/** support_run() - run a test case; returns the exit status for main() */
int support_run(const char *name, TCase *tc);

/** support_run_for() - run turns of a loop for @ms milliseconds */
void support_run_for(struct loop *loop, uint64_t ms);

/** support_connect() - open a blocking connection to a loopback port */
int support_connect(uint16_t port);

/** support_send() - send all of @data */
void support_send(int fd, const void *data, size_t len);

/** support_code() - status of the answer on a non-blocking connection: 0 for
 * none yet, -1 when it was closed without one; reads nothing */
int support_code(int fd);

/** support_reset() - close a connection so that the peer sees a reset */
void support_reset(int fd);

#define SILENT_FDS 4

/**
 * struct silent - an address at which TCP handshakes are never completed
 * @fd: a listening socket whose accept queue is full
 * @fds: connections that fill the queue
 * @port: port of @fd
 */
struct silent {
	int fd;
	int fds[SILENT_FDS];
	uint16_t port;
};

/** support_silent_open() - open an address that completes no handshake */
void support_silent_open(struct silent *s);

/** support_silent_close() - close the sockets of @s */
void support_silent_close(struct silent *s);

#endif
