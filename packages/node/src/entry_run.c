/*
 * Runs of this host's upstreams whose calls are at the entry.
 */
#include "entry_run.h"

#include <string.h>

static void
run_free(void *run)
{
	struct entry_run *r = run;

	g_free(r->id);
	g_free(r);
}

GHashTable *
entry_run_table(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, run_free);
}

struct entry_run *
entry_run_join(GHashTable *table, const char *call_id, char separator)
{
	const char *end = strrchr(call_id, separator);
	struct entry_run *r;
	char *id;

	if (end == NULL)
		return NULL;
	id = g_strndup(call_id, (gsize)(end - call_id));
	r = g_hash_table_lookup(table, id);
	if (r == NULL) {
		r = g_new0(struct entry_run, 1);
		r->table = table;
		r->id = g_strdup(id);
		g_hash_table_insert(table, r->id, r);
	}
	g_free(id);
	r->n_calls++;
	return r;
}

void
entry_run_leave(struct entry_run *r)
{
	if (r == NULL)
		return;
	r->n_calls--;
	if (r->n_calls == 0)
		(void)g_hash_table_remove(r->table, r->id);
}
