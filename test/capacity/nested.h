/*
 * Upstreams that call one another: service k calls service k + 1, through a
 * node or directly, up to the depth given in the request.
 */
#ifndef CAPACITY_NESTED_H
#define CAPACITY_NESTED_H

#include <stdint.h>

#include "proto/addr.h"

struct nested;

/**
 * struct nested_config - addresses of the upstreams and the nodes
 * @ip: address of the upstreams, host byte order
 * @services: number of services
 * @nodes: address for callers of the node of each service's host
 */
struct nested_config {
	uint32_t ip;
	uint32_t services;
	const struct net_addr *nodes;
};

/** nested_start() - listen; each connection has its own thread */
struct nested *nested_start(const struct nested_config *config);

/** nested_port() - port of all services */
uint16_t nested_port(const struct nested *n);

/**
 * nested_call() - call the first service
 * @n: the upstreams
 * @fd: connection, or -1 for a new one; kept for the next call
 * @depth: number of nested calls
 * @direct: whether the calls go directly to the upstreams
 *
 * Return: 1 if all calls succeeded.
 */
int nested_call(struct nested *n, int *fd, uint32_t depth, int direct);

#endif
