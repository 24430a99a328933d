/*
 * Calls that this host's upstreams make while they run a request.  They enter
 * at this host, where the request is known by its id.
 */
#include <string.h>

#include "guard_priv.h"

/* Return: the running request whose id begins @call_id, or NULL. */
static struct guard_request *
find_served(const struct guard *g, const char *call_id)
{
	char separator = g->dialect->call_separator;
	struct guard_request *r;
	GHashTableIter it;
	const char *end;
	size_t len;

	end = separator != '\0' ? strrchr(call_id, separator) : NULL;
	if (end == NULL)
		return NULL;
	len = (size_t)(end - call_id);
	g_hash_table_iter_init(&it, g->requests);
	while (g_hash_table_iter_next(&it, NULL, (void **)&r))
		if (r->state == REQUEST_RUNNING &&
		    strncmp(r->caller_request_id, call_id, len) == 0 &&
		    r->caller_request_id[len] == '\0')
			return r;
	return NULL;
}

bool
guard_served(
    const struct guard *g, const char *call_id, struct guard_served *out)
{
	const struct guard_request *r = find_served(g, call_id);

	if (r == NULL)
		return false;
	out->priority = r->priority;
	out->customer = r->customer;
	out->customer_priority = r->customer_priority;
	return true;
}

void
guard_call_refused(struct guard *g, const char *call_id)
{
	struct guard_request *r = find_served(g, call_id);

	if (r != NULL)
		r->call_refused = true;
}
