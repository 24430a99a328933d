/*
 * What process-level tests share: a directory for settings and logs, free
 * ports on loopback addresses of their own, and waiting with a limit.
 */
#ifndef FUNCTIONAL_HARNESS_H
#define FUNCTIONAL_HARNESS_H

#include <netinet/in.h>
#include <stdint.h>

#include <check.h>

#define HARNESS_ADDRESS_BYTES 16

/**
 * harness_dir() - directory of this test's settings, journals and logs
 *
 * It is made at the first call.  harness_cleanup() removes it; a test that
 * fails doesn't reach that, so its logs stay.
 */
const char *harness_dir(void);

/** harness_path() - a file in harness_dir(); a new string */
char *harness_path(const char *name);

/** harness_write() - write a file in harness_dir(); its path, a new string */
char *harness_write(const char *name, const char *text);

/** harness_cleanup() - remove the directory, unless BRAMLEY_KEEP_LOGS is set */
void harness_cleanup(void);

/**
 * harness_host_address() - address of a host of this test
 * @data_centre: index of its data centre
 * @host: index of the host in it
 * @out: where the address goes
 *
 * Each test process has a network of its own, so that tests may run beside
 * one another.
 */
void harness_host_address(
    uint32_t data_centre, uint32_t host, char out[HARNESS_ADDRESS_BYTES]);

/**
 * harness_choose_ports() - choose free ports
 * @address: address on which they are free for TCP and UDP
 * @ports: where they go
 * @n: how many
 */
void harness_choose_ports(const char *address, uint16_t *ports, uint32_t n);

/** harness_sockaddr() - fill in a socket address */
void
harness_sockaddr(struct sockaddr_in *out, const char *address, uint16_t port);

/**
 * harness_wait_until() - wait until a condition holds
 * @condition: the condition
 * @arg: passed to it
 * @timeout_ms: how long to wait
 *
 * Return: 1 when it holds, 0 when it did not in time.
 */
int
harness_wait_until(int (*condition)(void *arg), void *arg, uint32_t timeout_ms);

/**
 * harness_run() - run test cases and end the program
 * @tc: the cases
 * @timeout_s: limit of each test
 *
 * Return: exit status of the program.
 */
int harness_run(TCase *tc, double timeout_s);

#endif
