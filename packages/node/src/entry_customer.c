/*
 * The customer on whose behalf a request is made, by the version that routes
 * the request.
 */
#include <string.h>

#include "entry_priv.h"

bool
entry_customer_find(const struct entry *e, const struct call_request *r,
    const struct service_route *route, const struct customer **customer)
{
	const struct customer_table *table = e->snapshot->customers;

	*customer = NULL;
	if (table == NULL)
		return true;
	if (r->customer_keys == 1)
		*customer = customer_table_find_key(table, &r->customer_key);
	return *customer != NULL || route->keyless;
}

/* The caller's own header of this name was not copied. */
void
entry_customer_name(const struct entry_call *c, struct call_request *r)
{
	const char *header = c->entry->dialect->customer;

	if (c->customer == NULL || header == NULL)
		return;
	(void)call_headers_add(&r->headers, header, (uint32_t)strlen(header),
	    c->customer->name, (uint32_t)strlen(c->customer->name));
}
