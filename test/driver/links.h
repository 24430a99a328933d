/*
 * Transport of the test driver: datagrams and connections between nodes.
 */
#ifndef DRIVER_LINKS_H
#define DRIVER_LINKS_H

#include "world.h"

/**
 * struct conn - connection
 * @id: connection number
 * @initiator: node that opened the connection
 * @acceptor: node that accepted the connection
 * @generations: processes of initiator and acceptor
 * @stalled: frames are lost silently
 * @last_used_us: time of the last frame sent
 * @last_arrival_us: arrival time of the last frame, to the acceptor and to the
 *	initiator
 */
struct conn {
	uint64_t id;
	uint32_t initiator;
	uint32_t acceptor;
	uint32_t generations[2];
	int stalled;
	uint64_t last_used_us;
	uint64_t last_arrival_us[2];
};

/** links_init() - start without connections */
void links_init(struct world *w);

/** links_clear() - free all connections */
void links_clear(struct world *w);

/** links_send() - send an item of a node's outbox; takes ownership */
void links_send(struct node *n, struct outbox_item *item);

/** links_reset_all() - reset all connections of a node whose process was
 * killed */
void links_reset_all(struct node *n);

/** links_delay_us() - random one-way delay between two data centres */
uint64_t links_delay_us(struct world *w, uint32_t from, uint32_t to);

#endif
