/*
 * Reading a bundle's JSON: its routes.
 */
#include <string.h>

#include "bundle_read.h"
#include "rules.h"

/* Which route of the bundle claims each method of a prefix, 0 for none. */
struct claim {
	uint32_t route[METHOD_COUNT];
};

static uint32_t
read_method(struct bundle_reader *r, json_t *value, const struct place *at)
{
	enum http_method m = METHOD_COUNT;

	if (json_is_string(value))
		m = method_parse(
		    json_string_value(value), json_string_length(value));
	if (m < METHOD_COUNT)
		return METHOD_BIT(m);
	problems_add(r->p, at,
	    "use GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS",
	    "this is no method");
	return 0;
}

static uint32_t
read_methods(struct bundle_reader *r, json_t *route, const struct place *at)
{
	struct place list_at = {at, "methods", PLACE_NO_INDEX};
	struct place item_at = {&list_at, NULL, 0};
	uint32_t bit, methods = 0;
	json_t *list, *value;
	size_t i;

	list = json_list(route, "methods", at, r->p);
	if (list == NULL)
		return 0;
	json_array_foreach(list, i, value)
	{
		item_at.index = (uint32_t)i;
		bit = read_method(r, value, &item_at);
		if ((methods & bit) != 0)
			problems_add(r->p, &item_at, "give each method once",
			    "the method is there twice");
		methods |= bit;
	}
	if (json_array_size(list) == 0)
		problems_add(r->p, &list_at, "list at least one method",
		    "the route takes no method");
	return methods;
}

/* Left out, it is true where the methods alone make it so. */
static bool
read_idempotent(struct bundle_reader *r, json_t *route, const struct place *at,
    uint32_t methods)
{
	struct place value_at = {at, "idempotent", PLACE_NO_INDEX};
	json_t *value = json_object_get(route, "idempotent");

	if (value == NULL)
		return methods != 0 && (methods & ~METHOD_SAFE) == 0;
	if (!json_is_boolean(value))
		problems_add(r->p, &value_at, "write true or false",
		    "this is neither true nor false");
	return json_is_true(value);
}

/* Note methods of a prefix that an earlier route has claimed. */
static void
claim_methods(struct bundle_reader *r, const char *prefix, uint32_t methods,
    const struct place *at)
{
	struct claim *claim;
	unsigned int m;

	claim = g_hash_table_lookup(r->claims, prefix);
	if (claim == NULL) {
		claim = g_new0(struct claim, 1);
		g_hash_table_insert(r->claims, g_strdup(prefix), claim);
	}
	for (m = 0; m < METHOD_COUNT; m++) {
		if ((methods & METHOD_BIT(m)) == 0)
			continue;
		if (claim->route[m] != 0)
			problems_add(r->p, at, "take one of the two out",
			    "routes[%u] takes %s of %s already",
			    claim->route[m] - 1, method_name(m), prefix);
		else
			claim->route[m] = at->index + 1;
	}
}

static bool
read_prefix(struct bundle_reader *r, json_t *route, const struct place *at,
    struct rec_section_route *out)
{
	struct place prefix_at = {at, "prefix", PLACE_NO_INDEX};
	const char *prefix;

	prefix = json_text(route, "prefix", at, r->p);
	if (prefix == NULL)
		return false;
	prefix_check(prefix, strlen(prefix), &prefix_at, r->p);
	g_strlcpy(out->prefix, prefix, sizeof(out->prefix));
	return true;
}

static struct draft *
read_target(struct bundle_reader *r, json_t *route, const struct place *at)
{
	struct place service_at = {at, "service", PLACE_NO_INDEX};
	const char *name;
	struct draft *d;

	name = json_text(route, "service", at, r->p);
	if (name == NULL)
		return NULL;
	d = g_hash_table_lookup(r->by_name, name);
	if (d == NULL)
		problems_add(r->p, &service_at,
		    "add the service or correct its name",
		    "the bundle has no such service");
	return d;
}

static void
add_route(struct bundle_reader *r, struct draft *d,
    const struct rec_section_route *route, const struct place *at)
{
	if (d->routes->len == CONFIG_MAX_ROUTES)
		problems_add(r->p, at,
		    "use shorter prefixes or split the service",
		    "service %s has more than %d routes", d->m.service,
		    CONFIG_MAX_ROUTES);
	else
		g_array_append_vals(d->routes, route, 1);
}

static void
read_route(struct bundle_reader *r, json_t *route, const struct place *at)
{
	static const char *const known[] = {
	    "prefix", "methods", "service", "idempotent", NULL};
	struct rec_section_route out;
	struct draft *d;
	bool has_prefix;

	if (!json_is_object(route)) {
		problems_add(r->p, at,
		    "give each route as an object; see docs/BUNDLES.md",
		    "this is not an object");
		return;
	}
	memset(&out, 0, sizeof(out));
	json_keys_check(route, known, at, r->p);
	has_prefix = read_prefix(r, route, at, &out);
	out.methods = read_methods(r, route, at);
	out.idempotent = read_idempotent(r, route, at, out.methods);
	if (out.methods != 0)
		methods_check(out.methods, out.idempotent, at, r->p);
	if (has_prefix)
		claim_methods(r, out.prefix, out.methods, at);
	d = read_target(r, route, at);
	if (d != NULL)
		add_route(r, d, &out, at);
}

void
bundle_read_routes(
    struct bundle_reader *r, json_t *routes, const struct place *at)
{
	struct place item_at = {at, NULL, 0};
	json_t *route;
	size_t i;

	json_array_foreach(routes, i, route)
	{
		item_at.index = (uint32_t)i;
		read_route(r, route, &item_at);
	}
}
