/*
 * Runs of this host's upstreams whose calls are at the entry.
 */
#ifndef ENTRY_RUN_H
#define ENTRY_RUN_H

#include <glib.h>

#include "traffic/run_calls.h"

/**
 * struct entry_run - one run
 * @calls: what became of its calls
 * @table: table that holds it
 * @id: id of the request that it serves
 * @n_calls: calls that hold it
 */
struct entry_run {
	struct run_calls calls;
	GHashTable *table;
	char *id;
	uint32_t n_calls;
};

/** entry_run_table() - map of a run's id to struct entry_run */
GHashTable *entry_run_table(void);

/**
 * entry_run_join() - get the run that makes a call
 * @table: the table
 * @call_id: id of the call
 * @separator: ends the id of the run's request in @call_id
 *
 * Return: the run, to be left with entry_run_leave(); NULL if @call_id names
 * none.
 */
struct entry_run *
entry_run_join(GHashTable *table, const char *call_id, char separator);

/** entry_run_leave() - the call is freed; NULL is allowed */
void entry_run_leave(struct entry_run *r);

#endif
