/*
 * Upstreams that call one another: service k calls service k + 1, through a
 * node or directly, until the depth that the request names.
 */
#ifndef CAPACITY_NESTED_H
#define CAPACITY_NESTED_H

#include <stdint.h>

#include "proto/addr.h"

struct nested;

/**
 * struct nested_plan - where the upstreams and the nodes are
 * @ip: address of the upstreams, host byte order
 * @services: number of services
 * @nodes: where the node of each service's host takes calls
 */
struct nested_config {
	uint32_t ip;
	uint32_t services;
	const struct net_addr *nodes;
};

/** nested_start() - listen; a thread serves each connection */
struct nested *nested_start(const struct nested_config *config);

/** nested_port() - where all services listen */
uint16_t nested_port(const struct nested *n);

/**
 * nested_call() - call the first service
 * @n: the upstreams
 * @fd: connection, or -1 for none yet; kept for the next call
 * @depth: number of calls, one inside the other
 * @direct: whether each goes to the upstream itself
 *
 * Return: 1 when all of them were answered.
 */
int nested_call(struct nested *n, int *fd, uint32_t depth, int direct);

#endif
