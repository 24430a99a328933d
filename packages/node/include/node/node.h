/*
 * Node: creates, starts, stops and frees the parts of the process.
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
 * @s: settings of the node; must outlive the node
 * @adapter: adapter to foreign protocols, NULL for the node's own; must outlive
 *	the node
 * @incarnation: incarnation of this process, wall-clock ms
 * @seed: seed of all random choices
 * @out: receives the node
 *
 * Return: STATUS_OK, or STATUS_IO with a message that contains the remedy.
 */
enum status
node_start(const struct settings *s, const struct node_adapter *adapter,
    uint64_t incarnation, uint64_t seed, struct node **out);

/**
 * node_stop() - stop gracefully and free a node
 * @n: the node
 *
 * New calls are still accepted for drain_notice_ms, then answered not_run while
 * calls in flight finish.  The stop is announced to peers at the end of the
 * notice, or earlier when no upstream here accepts requests.  Calls that are
 * still running after drain_wait_ms() are aborted.
 */
void node_stop(struct node *n);

#endif
