/*
 * A crowd of clients that send a part of a message and keep their connections
 * open.
 */
#ifndef FUNCTIONAL_CROWD_H
#define FUNCTIONAL_CROWD_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/**
 * struct crowd_plan - what each client of a crowd sends
 * @name: for messages
 * @connections: number of clients at each node
 * @head: sent first
 * @head_bytes: length of @head
 * @unit: sent again and again behind @head
 * @unit_bytes: length of @unit
 * @units: number of units
 */
struct crowd_plan {
	const char *name;
	uint32_t connections;
	const char *head;
	size_t head_bytes;
	const char *unit;
	size_t unit_bytes;
	uint32_t units;
};

struct crowd;

/** crowd_new() - a crowd without clients */
struct crowd *crowd_new(const struct crowd_plan *plan);

/**
 * crowd_join() - add the clients of the plan at a port
 * @c: the crowd
 * @address: IPv4 address
 * @port: TCP port
 */
void crowd_join(struct crowd *c, const char *address, uint16_t port);

/** crowd_send() - send until each client has sent all, or none gets on */
void crowd_send(struct crowd *c);

/** crowd_open() - number of connections that the other side has not closed */
uint32_t crowd_open(const struct crowd *c);

/** crowd_leave() - close all connections */
void crowd_leave(struct crowd *c);

/** crowd_free() - close all connections and free the crowd */
void crowd_free(struct crowd *c);

#endif
