/*
 * Node: puts the parts of the process together and takes them apart again.
 */
#ifndef NODE_NODE_H
#define NODE_NODE_H

#include <stdint.h>

#include "base/status.h"

struct node;
struct node_adapter;
struct settings;

/**
 * node_start() - start all threads of a node
 * @s: its settings; must outlive the node
 * @adapter: whose protocols it speaks, NULL for its own; must outlive it
 * @incarnation: incarnation of this process, wall-clock ms
 * @seed: seed of all random choices
 * @out: where the node goes
 *
 * Return: STATUS_OK, or STATUS_IO with a message that names the remedy.
 */
enum status
node_start(const struct settings *s, const struct node_adapter *adapter,
    uint64_t incarnation, uint64_t seed, struct node **out);

/**
 * node_stop() - stop gracefully and free a node
 * @n: the node
 *
 * Peers are told first, then new calls are answered not_run and those in
 * flight end; what is left after drain_ms is given up.
 */
void node_stop(struct node *n);

#endif
