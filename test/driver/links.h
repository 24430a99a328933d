/*
 * Links of the test driver: datagrams and connections between nodes.
 */
#ifndef DRIVER_LINKS_H
#define DRIVER_LINKS_H

#include "world.h"

/**
 * struct conn - a connection
 * @id: its number
 * @initiator: node that dialled
 * @acceptor: node that accepted
 * @generations: processes at both ends
 * @stalled: frames vanish
 * @last_used_us: when it last carried a frame
 * @last_arrival_us: when the last frame arrives, in each direction
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

/** links_init() - no connections */
void links_init(struct world *w);

/** links_clear() - free all connections */
void links_clear(struct world *w);

/** links_send() - send an item of a node's outbox; takes it over */
void links_send(struct node *n, struct outbox_item *item);

/** links_reset_all() - a node's process was killed: its connections break */
void links_reset_all(struct node *n);

/** links_delay_us() - random one-way delay between two data centres */
uint64_t links_delay_us(struct world *w, uint32_t from, uint32_t to);

#endif
