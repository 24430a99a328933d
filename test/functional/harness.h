/*
 * Harness of process-level tests: a directory for settings and logs, free
 * ports on loopback addresses reserved for the test, and polling for a
 * condition with a timeout.
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
 * The first call creates the directory.  harness_cleanup() removes it; a test
 * that fails doesn't call harness_cleanup(), so its logs stay.
 */
const char *harness_dir(void);

/** harness_path() - path of a file in harness_dir(); a new string */
char *harness_path(const char *name);

/** harness_write() - write a file in harness_dir(); returns its path, a new
 * string
 */
char *harness_write(const char *name, const char *text);

/** harness_cleanup() - remove the directory, unless BRAMLEY_KEEP_LOGS is set */
void harness_cleanup(void);

/**
 * harness_host_address() - address of a host of this test
 * @data_centre: index of its data centre
 * @host: index of the host in it
 * @out: receives the address
 *
 * The network is derived from the process id, so that tests can run in
 * parallel.
 */
void harness_host_address(
    uint32_t data_centre, uint32_t host, char out[HARNESS_ADDRESS_BYTES]);

/**
 * harness_choose_ports() - choose free ports
 * @address: address on which the ports are free for both TCP and UDP
 * @ports: receives the ports
 * @n: number of ports
 */
void harness_choose_ports(const char *address, uint16_t *ports, uint32_t n);

/** harness_sockaddr() - fill in a socket address */
void
harness_sockaddr(struct sockaddr_in *out, const char *address, uint16_t port);

/**
 * harness_wait_until() - poll until a condition holds
 * @condition: function that returns whether the condition holds
 * @arg: argument of @condition
 * @timeout_ms: how long to wait
 *
 * Return: 1 if the condition held in time, else 0.
 */
int
harness_wait_until(int (*condition)(void *arg), void *arg, uint32_t timeout_ms);

/**
 * harness_run() - run the tests of a test case
 * @tc: the test case
 * @timeout_s: timeout of each test
 *
 * Return: exit status for main().
 */
int harness_run(TCase *tc, double timeout_s);

#endif
