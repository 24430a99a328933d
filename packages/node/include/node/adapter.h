/*
 * Adapter: translates between the node and foreign protocols towards callers,
 * upstreams and the platform.  All decisions stay with the node.
 */
#ifndef NODE_ADAPTER_H
#define NODE_ADAPTER_H

#include <stdint.h>

#include "base/status.h"
#include "node/call_dialect.h"

struct control;
struct settings;

/**
 * struct node_adapter - functions of an adapter
 * @dialect: names of the HTTP headers
 * @start: called once before the control thread starts; registers its sockets
 *	and timers with the loop of that thread.  @out receives the adapter's
 *	data, which is passed to @free.
 * @free: called once, after the control thread has stopped; frees the data
 */
struct node_adapter {
	const struct call_dialect *dialect;
	enum status (*start)(const struct settings *s, struct control *c,
	    uint64_t seed, void **out);
	void (*free)(void *data);
};

#endif
