/*
 * Reading a bundle's JSON: its routes.
 */
#include <string.h>

#include "bundle_read.h"
#include "config/snapshot.h"
#include "rules.h"

/* Marks the key of a prefix that takes only what is below it. */
#define KEY_BELOW "\n"

/*
 * Which route of the bundle claims each method of a prefix, 0 for none;
 * whether all of them so far have a weight; how many there are.
 */
struct claim {
	uint32_t route[METHOD_COUNT + 1];
	bool weighted;
	uint32_t shares;
};

static uint32_t
read_method(struct bundle_reader *r, json_t *value, const struct place *at)
{
	enum http_method m = METHOD_COUNT;

	if (json_is_string(value) && strcmp(json_string_value(value), "*") == 0)
		return METHOD_ANY;
	if (json_is_string(value))
		m = method_parse(
		    json_string_value(value), json_string_length(value));
	if (m < METHOD_COUNT)
		return METHOD_BIT(m);
	problems_add(r->p, at,
	    "use GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS or \"*\"",
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

static bool
read_flag(struct bundle_reader *r, json_t *route, const char *key,
    const struct place *at, bool initial)
{
	struct place value_at = {at, key, PLACE_NO_INDEX};
	json_t *value = json_object_get(route, key);

	if (value == NULL)
		return initial;
	if (!json_is_boolean(value))
		problems_add(r->p, &value_at, "write true or false",
		    "this is neither true nor false");
	return json_is_true(value);
}

static struct claim *
claim_of(struct bundle_reader *r, const struct rec_section_route *route)
{
	char *key = g_strdup_printf("%s%s%s", route->host, route->prefix,
	    route->below ? KEY_BELOW : "");
	struct claim *claim = g_hash_table_lookup(r->claims, key);

	if (claim != NULL) {
		g_free(key);
		return claim;
	}
	claim = g_new0(struct claim, 1);
	claim->weighted = route->weight > 0;
	g_hash_table_insert(r->claims, key, claim);
	return claim;
}

/*
 * Note methods of a prefix that an earlier route has claimed.  Routes that
 * all have a weight share it.
 */
static void
claim_methods(struct bundle_reader *r, const struct rec_section_route *route,
    const struct place *at)
{
	struct claim *claim = claim_of(r, route);
	uint32_t methods = route->methods;
	const char *prefix = route->prefix;
	unsigned int m;

	claim->weighted = claim->weighted && route->weight > 0;
	for (m = 0; m <= METHOD_COUNT; m++) {
		if ((methods & METHOD_BIT(m)) == 0)
			continue;
		if (claim->route[m] != 0 && !claim->weighted)
			problems_add(r->p, at, "take one of the two out",
			    "routes[%u] takes %s of %s already",
			    claim->route[m] - 1, method_name(m), prefix);
		else
			claim->route[m] = at->index + 1;
	}
	if (++claim->shares > SNAPSHOT_SHARES_MAX && claim->weighted)
		problems_add(r->p, at, "let fewer services share the route",
		    "more than %d services share this route",
		    SNAPSHOT_SHARES_MAX);
}

/*
 * A prefix with a '/' at its end takes what begins with it.  That is what is
 * below the prefix without the '/', unless that ends with one too.  All paths
 * are below "/".
 */
static void
settle_end(struct rec_section_route *route)
{
	size_t len = strlen(route->prefix);

	if (len == 1)
		route->below = false;
	if (len <= 1 || route->prefix[len - 1] != '/')
		return;
	route->below = route->prefix[len - 2] != '/';
	if (route->below)
		route->prefix[len - 1] = '\0';
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

static void
read_host(struct bundle_reader *r, json_t *route, const struct place *at,
    struct rec_section_route *out)
{
	struct place host_at = {at, "host", PLACE_NO_INDEX};
	const char *text;
	char *host;

	if (json_object_get(route, "host") == NULL)
		return;
	text = json_text(route, "host", at, r->p);
	if (text == NULL)
		return;
	host = host_fold(text, &host_at, r->p);
	host_check(host, &host_at, r->p);
	g_strlcpy(out->host, host, sizeof(out->host));
	g_free(host);
}

static void
read_numbers(struct bundle_reader *r, json_t *route, const struct place *at,
    struct rec_section_route *out)
{
	const struct number_rule *rule;

	for (rule = route_rules; rule->key != NULL; rule++)
		bundle_read_number(r, rule, route, at, out);
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

void
bundle_read_route(
    struct bundle_reader *r, json_t *route, const struct place *at)
{
	static const char *const known[] = {"prefix", "methods", "service",
	    "idempotent", "host", "below", "weight", "timeout_ms", "target_ms",
	    "priority", "attempts", NULL};
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
	/* Left out, it is true where the methods alone make it so. */
	out.idempotent = read_flag(r, route, "idempotent", at,
	    out.methods != 0 && (out.methods & ~METHOD_SAFE) == 0);
	out.below = read_flag(r, route, "below", at, false);
	settle_end(&out);
	read_host(r, route, at, &out);
	read_numbers(r, route, at, &out);
	if (out.methods != 0)
		methods_check(out.methods, out.idempotent, at, r->p);
	if (has_prefix)
		claim_methods(r, &out, at);
	d = read_target(r, route, at);
	if (d != NULL)
		g_array_append_val(d->routes, out);
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
		bundle_read_route(r, route, &item_at);
	}
}
