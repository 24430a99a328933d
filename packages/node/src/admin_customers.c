/*
 * Administration API: usage of customers at this node.  Built by the worker
 * thread, since a table of many thousand customers would hold the control
 * thread up.
 */
#include <string.h>

#include "admin_priv.h"

#include "base/clock.h"
#include "config/customer.h"
#include "config/snapshot.h"
#include "node/snapshot_ref.h"

static void
set_integer(json_t *o, const char *name, uint64_t v)
{
	json_object_set_new(o, name, json_integer((json_int_t)v));
}

static json_t *
customer_json(const struct customer *c, const struct quota_use *use)
{
	json_t *o = json_object();

	json_object_set_new(o, "name", json_string(c->name));
	json_object_set_new(o, "priority",
	    c->priority == CUSTOMER_PRIORITY_NONE ? json_null()
						  : json_integer(c->priority));
	set_integer(o, "rate_milli_per_s", c->rate_milli_per_s);
	set_integer(o, "burst_milli", c->burst_milli);
	set_integer(o, "requests", use->requests);
	set_integer(o, "limited", use->limited);
	return o;
}

/* Return: number of customers with the name in the table, listed or not. */
static uint32_t
append_customers(json_t *list, struct quota_usage *usage,
    const struct customer_table *table, const char *name)
{
	uint64_t now_ms = clock_now_ms();
	const struct customer *c;
	struct quota_use use;
	uint32_t i, named = 0;

	for (i = 0; i < customer_table_size(table); i++) {
		c = customer_table_at(table, i);
		if (name != NULL && strcmp(c->name, name) != 0)
			continue;
		named++;
		use = quota_usage_read(usage, c->id, now_ms);
		if (name != NULL || use.requests > 0)
			json_array_append_new(list, customer_json(c, &use));
	}
	return named;
}

json_t *
admin_customers_json(struct quota_usage *usage, const char *name)
{
	struct snapshot *s = snapshot_ref_get();
	const struct customer_table *table = s != NULL ? s->customers : NULL;
	json_t *list = json_array();
	json_t *reply = json_object();
	uint32_t named;

	named = append_customers(list, usage, table, name);
	set_integer(reply, "version", s != NULL ? s->version : 0);
	set_integer(reply, "period_ms", QUOTA_USAGE_PERIOD_MS);
	json_object_set_new(reply, "customers", list);
	snapshot_unref(s);
	if (name == NULL || named > 0)
		return reply;
	json_decref(reply);
	return NULL;
}
