/*
 * When the latest versions passed each step on their way to this node.
 */
#include "spread/trace.h"

#include <glib.h>

static const struct trace_entry *
trace_find(const struct trace *t, uint64_t version)
{
	uint32_t i;

	for (i = 0; i < TRACE_VERSIONS_MAX; i++)
		if (version != 0 && t->entries[i].version == version)
			return &t->entries[i];
	return NULL;
}

/* The entry of a version.  A new entry replaces that of the lowest version;
 * NULL if all entries are of higher versions. */
static struct trace_entry *
trace_get_entry(struct trace *t, uint64_t now_ms, uint64_t version)
{
	struct trace_entry *e, *lowest = &t->entries[0];
	uint32_t i;

	for (i = 0; i < TRACE_VERSIONS_MAX; i++) {
		e = &t->entries[i];
		if (e->version == version)
			return e;
		if (e->version < lowest->version)
			lowest = e;
	}
	if (lowest->version > version)
		return NULL;
	lowest->version = version;
	lowest->read_ms = now_ms;
	lowest->known_ms = now_ms;
	lowest->complete_ms = 0;
	return lowest;
}

void
trace_known(struct trace *t, uint64_t now_ms, uint64_t version, uint64_t age_ms)
{
	struct trace_entry *e;

	if (version == 0)
		return;
	e = trace_get_entry(t, now_ms, version);
	if (e == NULL)
		return;
	age_ms = MIN(age_ms, TRACE_AGE_MAX_MS);
	e->read_ms = MIN(e->read_ms, now_ms - MIN(age_ms, now_ms));
}

void
trace_complete(struct trace *t, uint64_t now_ms, uint64_t version)
{
	struct trace_entry *e;

	if (version == 0)
		return;
	e = trace_get_entry(t, now_ms, version);
	if (e != NULL && e->complete_ms == 0)
		e->complete_ms = now_ms;
}

uint64_t
trace_age_ms(const struct trace *t, uint64_t now_ms, uint64_t version)
{
	const struct trace_entry *e = trace_find(t, version);

	return e == NULL ? 0 : now_ms - e->read_ms;
}

struct spread_steps
trace_steps(const struct trace *t, uint64_t now_ms, uint64_t version)
{
	const struct trace_entry *e = trace_find(t, version);
	struct spread_steps steps = {0};
	uint64_t complete_ms;

	if (e == NULL)
		return steps;
	complete_ms = e->complete_ms != 0 ? e->complete_ms : now_ms;
	steps.age_ms = now_ms - e->read_ms;
	steps.wait_ms = complete_ms - e->known_ms;
	steps.keep_ms = now_ms - complete_ms;
	return steps;
}
