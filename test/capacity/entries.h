/*
 * Entries of other nodes, played to the guard of one real process: many
 * connections, and calls over them.
 */
#ifndef CAPACITY_ENTRIES_H
#define CAPACITY_ENTRIES_H

#include <stdint.h>

#include "net/loop.h"
#include "proto/addr.h"

struct entries;

/**
 * struct entries_counts - what became of the calls
 * @n_connected: connections that the guard has greeted
 * @sent: calls sent
 * @done: answers that came whole
 * @refused: refusals
 * @n_closed: connections that ended
 */
struct entries_counts {
	uint32_t n_connected;
	uint64_t sent;
	uint64_t done;
	uint64_t refused;
	uint32_t n_closed;
};

/** entries_new() - no connections yet, to the guard at @guard */
struct entries *entries_new(struct loop *loop, struct net_addr guard);

/** entries_free() - close all */
void entries_free(struct entries *e);

/** entries_connect() - have @n connections in all */
void entries_connect(struct entries *e, uint32_t n);

/**
 * entries_call() - send a lookup over one of the connections, in turn
 * @e: the entries
 * @service: service that is called
 * @booking: a call that must not run twice, which the guard remembers
 */
void entries_call(struct entries *e, const char *service, int booking);

/** entries_counts() - what became of the calls until now */
const struct entries_counts *entries_counts(const struct entries *e);

#endif
