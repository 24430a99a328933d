/*
 * Adapter: a node that speaks somebody else's protocols to callers, upstreams
 * and the platform.  An adapter translates; it decides nothing.
 */
#ifndef NODE_ADAPTER_H
#define NODE_ADAPTER_H

#include <stdint.h>

#include "base/status.h"
#include "node/call_dialect.h"

struct control;
struct settings;

/**
 * struct node_adapter - an adapter
 * @dialect: names of headers
 * @start: called once before the control thread starts; what it needs lives in
 *	that thread's loop.  @out is given to the functions below.
 * @free: called once, after the control thread has stopped
 */
struct node_adapter {
	const struct call_dialect *dialect;
	enum status (*start)(const struct settings *s, struct control *c,
	    uint64_t seed, void **out);
	void (*free)(void *data);
};

#endif
