/*
 * Simulated entries of other nodes: many connections to the guard of one real
 * process, and calls over them.
 */
#ifndef CAPACITY_ENTRIES_H
#define CAPACITY_ENTRIES_H

#include <stdint.h>

#include "net/loop.h"
#include "proto/addr.h"

struct entries;

/**
 * struct entries_counts - counters of connections and calls
 * @n_connected: connections on which the guard's hello has arrived
 * @sent: calls sent
 * @done: complete responses
 * @refused: refused or failed calls
 * @n_closed: connections closed
 */
struct entries_counts {
	uint32_t n_connected;
	uint64_t sent;
	uint64_t done;
	uint64_t refused;
	uint32_t n_closed;
};

/** entries_new() - create entries without connections to the guard at @guard */
struct entries *entries_new(struct loop *loop, struct net_addr guard);

/** entries_free() - close all connections and free the entries */
void entries_free(struct entries *e);

/** entries_connect() - open connections until there are @n */
void entries_connect(struct entries *e, uint32_t n);

/**
 * entries_call() - send a call over one of the connections in turn
 * @e: the entries
 * @service: service that is called
 * @booking: non-idempotent call, whose fate the guard keeps
 */
void entries_call(struct entries *e, const char *service, int booking);

/** entries_counts() - counters so far */
const struct entries_counts *entries_counts(const struct entries *e);

#endif
