/*
 * Reads the JSON of a bundle: routes.
 */
#include <string.h>

#include "bundle_read.h"
#include "config/snapshot.h"
#include "rules.h"

/* Suffix of the claim key of a route that matches only below its prefix; a
 * valid prefix can't contain it. */
#define CLAIM_BELOW_SUFFIX "\n"

/*
 * The routes that claim the same host and prefix: for each method the index of
 * the route that claims it plus 1, 0 for none; whether all of them so far have
 * a weight; and their number.
 */
struct claim {
	uint32_t route[METHOD_COUNT + 1];
	bool weighted;
	uint32_t shares;
};

static uint32_t
read_method(struct bundle_reader *r, json_t *value, const struct doc_path *at)
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
	    "unknown method");
	return 0;
}

static uint32_t
read_methods(struct bundle_reader *r, json_t *route, const struct doc_path *at)
{
	struct doc_path list_at = {at, "methods", DOC_PATH_NO_INDEX};
	struct doc_path item_at = {&list_at, NULL, 0};
	uint32_t bit, methods = 0;
	json_t *list, *value;
	size_t i;

	list = json_require_array(route, "methods", at, r->p);
	if (list == NULL)
		return 0;
	json_array_foreach(list, i, value)
	{
		item_at.index = (uint32_t)i;
		bit = read_method(r, value, &item_at);
		if ((methods & bit) != 0)
			problems_add(r->p, &item_at, "list each method once",
			    "duplicate method");
		methods |= bit;
	}
	if (json_array_size(list) == 0)
		problems_add(r->p, &list_at, "list at least one method",
		    "the route has no methods");
	return methods;
}

static bool
read_flag(struct bundle_reader *r, json_t *route, const char *key,
    const struct doc_path *at, bool default_value)
{
	struct doc_path value_at = {at, key, DOC_PATH_NO_INDEX};
	json_t *value = json_object_get(route, key);

	if (value == NULL)
		return default_value;
	if (!json_is_boolean(value))
		problems_add(
		    r->p, &value_at, "use true or false", "not a boolean");
	return json_is_true(value);
}

static struct claim *
get_claim(struct bundle_reader *r, const struct rec_section_route *route)
{
	char *key = g_strdup_printf("%.*s%.*s%s", (int)route->host_len,
	    route->host, (int)route->prefix_len, route->prefix,
	    route->below ? CLAIM_BELOW_SUFFIX : "");
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
 * Record methods of the prefix that an earlier route claims already.  Routes
 * that all have a weight share the prefix, which is no conflict.
 */
static void
claim_methods(struct bundle_reader *r, const struct rec_section_route *route,
    const struct doc_path *at)
{
	struct claim *claim = get_claim(r, route);
	uint32_t methods = route->methods;
	unsigned int m;

	claim->weighted = claim->weighted && route->weight > 0;
	for (m = 0; m <= METHOD_COUNT; m++) {
		if ((methods & METHOD_BIT(m)) == 0)
			continue;
		if (claim->route[m] != 0 && !claim->weighted)
			problems_add(r->p, at, "remove one of the two routes",
			    "routes[%u] claims %s %.*s already",
			    claim->route[m] - 1, method_name(m),
			    (int)route->prefix_len, route->prefix);
		else
			claim->route[m] = at->index + 1;
	}
	if (++claim->shares > SNAPSHOT_SHARES_MAX && claim->weighted)
		problems_add(r->p, at, "share the route between fewer services",
		    "more than %d services share this route",
		    SNAPSHOT_SHARES_MAX);
}

/*
 * A prefix that ends with '/' matches the paths that begin with it.  If it ends
 * with a single '/', these are the paths below the prefix without that '/',
 * which is replaced by the flag @below.  For "/" the flag is cleared, since all
 * paths are below "/".
 */
static void
normalize_prefix(struct rec_section_route *route)
{
	uint32_t len = route->prefix_len;

	if (len == 1)
		route->below = false;
	if (len <= 1 || route->prefix[len - 1] != '/')
		return;
	route->below = route->prefix[len - 2] != '/';
	if (route->below)
		route->prefix_len--;
}

/* Copies a text, which lives as long as the reader. */
static void
set_text(struct bundle_reader *r, const char *text, const char **out,
    uint32_t *out_len)
{
	*out_len = (uint32_t)strlen(text);
	*out = g_string_chunk_insert_len(r->texts, text, (gssize)*out_len);
}

static void
set_prefix(struct bundle_reader *r, const char *prefix,
    const struct doc_path *at, struct rec_section_route *out)
{
	struct doc_path prefix_at = {at, "prefix", DOC_PATH_NO_INDEX};

	prefix_check(prefix, strlen(prefix), &prefix_at, r->p);
	set_text(r, prefix, &out->prefix, &out->prefix_len);
	normalize_prefix(out);
}

static void
set_host(struct bundle_reader *r, const char *text, const struct doc_path *at,
    struct rec_section_route *out)
{
	struct doc_path host_at = {at, "host", DOC_PATH_NO_INDEX};
	char *host = host_normalize(text, &host_at, r->p);

	host_check(host, strlen(host), &host_at, r->p);
	out->host_len = (uint32_t)strlen(host);
	out->host = g_string_chunk_insert_const(r->texts, host);
	g_free(host);
}

static void
set_numbers(struct bundle_reader *r, const int64_t *numbers,
    const struct doc_path *at, struct rec_section_route *out)
{
	struct doc_path number_at = {at, NULL, DOC_PATH_NO_INDEX};
	const struct number_rule *rule = route_rules;
	uint32_t i;

	for (i = 0; i < BUNDLE_ROUTE_NUMBERS; i++, rule++) {
		number_at.key = rule->key;
		number_store(rule, out,
		    numbers[i] == BUNDLE_NUMBER_OMITTED
			? rule->default_value
			: number_clamp(rule, numbers[i], &number_at, r->p));
	}
}

static struct draft *
find_draft(
    struct bundle_reader *r, const char *service, const struct doc_path *at)
{
	struct doc_path service_at = {at, "service", DOC_PATH_NO_INDEX};
	char id[NAME_ID_BYTES];
	struct draft *d = g_hash_table_lookup(
	    r->by_name, name_id(NAME_OF_SERVICE, service, id));

	if (d == NULL)
		problems_add(r->p, &service_at,
		    "add the service or correct its name",
		    "the bundle has no such service");
	return d;
}

void
bundle_add_route(struct bundle_reader *r, const struct bundle_route *route,
    const struct doc_path *at)
{
	struct rec_section_route out;
	struct draft *d = NULL;

	memset(&out, 0, sizeof(out));
	out.methods = route->methods;
	out.idempotent = route->idempotent;
	out.below = route->below;
	out.keyless = route->keyless;
	if (route->prefix != NULL)
		set_prefix(r, route->prefix, at, &out);
	if (route->host != NULL)
		set_host(r, route->host, at, &out);
	set_numbers(r, route->numbers, at, &out);
	if (out.methods != 0)
		methods_check(out.methods, out.idempotent, at, r->p);
	if (route->prefix != NULL)
		claim_methods(r, &out, at);
	if (route->service != NULL)
		d = find_draft(r, route->service, at);
	if (d != NULL)
		g_array_append_val(d->routes, out);
}

static void
read_numbers(struct bundle_reader *r, json_t *route, const struct doc_path *at,
    int64_t *numbers)
{
	const struct number_rule *rule = route_rules;
	uint32_t i;

	for (i = 0; i < BUNDLE_ROUTE_NUMBERS; i++, rule++)
		numbers[i] = bundle_read_number(r, rule->key, route, at);
}

static void
read_route(struct bundle_reader *r, json_t *route, const struct doc_path *at)
{
	static const char *const known[] = {"prefix", "methods", "service",
	    "idempotent", "host", "below", "weight", "timeout_ms", "target_ms",
	    "priority", "attempts", "keyless", NULL};
	struct bundle_route out = {0};

	if (!json_is_object(route)) {
		problems_add(r->p, at,
		    "use an object for each route; see docs/BUNDLES.md",
		    "not an object");
		return;
	}
	json_check_keys(route, known, at, r->p);
	out.prefix = json_require_string(route, "prefix", at, r->p);
	out.methods = read_methods(r, route, at);
	/* If omitted, true only if all methods are safe. */
	out.idempotent = read_flag(r, route, "idempotent", at,
	    out.methods != 0 && (out.methods & ~METHOD_SAFE) == 0);
	out.below = read_flag(r, route, "below", at, false);
	out.keyless = read_flag(r, route, "keyless", at, false);
	if (json_object_get(route, "host") != NULL)
		out.host = json_require_string(route, "host", at, r->p);
	read_numbers(r, route, at, out.numbers);
	out.service = json_require_string(route, "service", at, r->p);
	bundle_add_route(r, &out, at);
}

void
bundle_read_routes(
    struct bundle_reader *r, json_t *routes, const struct doc_path *at)
{
	struct doc_path item_at = {at, NULL, 0};
	json_t *route;
	size_t i;

	json_array_foreach(routes, i, route)
	{
		item_at.index = (uint32_t)i;
		read_route(r, route, &item_at);
	}
}
