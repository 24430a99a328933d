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
 * struct subject_plan - what is to be started
 * @host: its name
 * @data_centre: its data centre
 * @index: its place on the loopback network, different for each subject
 * @platform: the platform; port 0 for one that is down
 * @seed: peer to join; port 0 for none
 * @settings: JSON object of further settings, or NULL
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
 * struct subject - a running node
 * @process: its process
 * @address: its IPv4 address
 * @caller_port: for callers
 * @peer_port: for peers
 * @call_port: for calls of other nodes
 * @admin_port: for the administration API
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
 * subject_run() - run a bench as a test without end
 * @bench: the bench
 *
 * The harness's checks work in tests only.  Return: the program's exit code.
 */
int subject_run(void (*bench)(void));

/** subject_address() - address of a place, host byte order */
uint32_t subject_address(uint32_t index);

/** subject_start() - start a node; subject_stop() ends it */
void subject_start(struct subject *s, const struct subject_config *config);

/** subject_stop() - SIGTERM, wait, free */
void subject_stop(struct subject *s);

/** subject_usage() - what it has used until now */
void subject_usage(const struct subject *s, struct usage *u);

/** subject_ready() - whether it serves calls */
int subject_ready(const struct subject *s);

/**
 * subject_api() - a request to its administration API
 *
 * Return: a new reference, or NULL.
 */
json_t *subject_api(const struct subject *s, const char *method,
    const char *path, const char *body, int *code);

/** subject_announce() - announce an upstream of its host */
void subject_announce(const struct subject *s, const char *service,
    uint16_t port, uint32_t slots);

#endif
