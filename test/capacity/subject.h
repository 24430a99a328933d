/*
 * The process under measurement: one bramleydrift with its settings.
 */
#ifndef CAPACITY_SUBJECT_H
#define CAPACITY_SUBJECT_H

#include <stdint.h>

#include <jansson.h>

#include "proto/addr.h"

#include "harness.h"
#include "process.h"
#include "usage.h"

/**
 * struct subject_config - configuration of a node to start
 * @host: host name
 * @data_centre: data centre
 * @index: index of its address in the loopback network, unique for each subject
 * @platform: address of the platform; port 0 for an unavailable one
 * @seed: peer to join; port 0 for none
 * @settings: JSON object of additional settings, or NULL
 */
struct subject_config {
	const char *host;
	const char *data_centre;
	uint32_t index;
	struct net_addr platform;
	struct net_addr seed;
	const char *settings;
};

/**
 * struct subject - running node
 * @process: the process
 * @address: IPv4 address
 * @caller_port: port for callers
 * @peer_port: port for peers
 * @call_port: port for calls from other nodes
 * @admin_port: port of the administration API
 */
struct subject {
	struct process *process;
	char address[HARNESS_ADDRESS_BYTES];
	uint16_t caller_port;
	uint16_t peer_port;
	uint16_t call_port;
	uint16_t admin_port;
};

/**
 * subject_run() - run a benchmark as a test with a long timeout
 * @run: the benchmark
 *
 * The harness's checks work only in tests.  Return: the program's exit code.
 */
int subject_run(void (*bench)(void));

/** subject_address() - address with the given index, host byte order */
uint32_t subject_address(uint32_t index);

/** subject_start() - start a node; end it with subject_stop() */
void subject_start(struct subject *s, const struct subject_config *config);

/** subject_stop() - send SIGTERM, wait for the process and free it */
void subject_stop(struct subject *s);

/** subject_usage() - resource usage so far */
void subject_usage(const struct subject *s, struct usage *u);

/** subject_ready() - whether the node serves calls */
int subject_ready(const struct subject *s);

/**
 * subject_api() - send a request to the administration API
 *
 * Return: a new reference, or NULL.
 */
json_t *subject_api(const struct subject *s, const char *method,
    const char *path, const char *body, int *code);

/** subject_announce() - announce an upstream of the node's host */
void subject_announce(const struct subject *s, const char *service,
    uint16_t port, uint32_t slots);

#endif
