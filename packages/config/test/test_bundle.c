/*
 * Bundles: problems that make a bundle invalid, warnings that don't, and that
 * all of them are reported at once.
 */
#include <jansson.h>

#include "config/bundle_build.h"
#include "config/snapshot.h"
#include "fixture.h"

#define SERVICES(s) "{'format':1,'name':'x','services':[" s "],'routes':[]}"
#define ROUTES(r)                                                        \
	"{'format':1,'name':'x','services':[{'name':'a'},{'name':'b'}]," \
	"'routes':[" r "]}"
#define ROUTE(p, m) "{'prefix':'" p "','methods':[" m "],'service':'a'}"

/* Bundles with one problem each: its path and a part of its message. */
static const struct {
	const char *json;
	const char *path;
	const char *message;
} problem_cases[] = {
    {"", "", "line 1"},
    {"[]", "", "must be a JSON object"},
    {"{'format':1", "", "line 1"},
    {"{'format':1,'name':'x','services':[{'name':'a'}],'routes':[],"
     "'format':1}",
	"", "duplicate"},
    {"{'format':2,'name':'x','services':[{'name':'a'}],'routes':[]}", "format",
	"only format 1"},
    {"{'format':1,'name':'','services':[{'name':'a'}],'routes':[]}", "name",
	"empty bundle name"},
    {"{'format':1,'services':[{'name':'a'}],'routes':[]}", "name", "missing"},
    {"{'format':1,'name':'x','services':[],'routes':[]}", "services",
	"no services"},
    {"{'format':1,'name':'x','services':{},'routes':[]}", "services",
	"not an array"},
    {"{'format':1,'name':'x','services':[{'name':'a'}]}", "routes", "missing"},
    {"{'format':1,'name':'x','services':[{'name':'a'}],'routes':[],'z':1}", "z",
	"unknown key"},
    {"{'format':1,'name':'x','services':[{'name':'a\xff'}],'routes':[]}", "",
	"decode byte 0xff"},
    {SERVICES("7"), "services[0]", "not an object"},
    {SERVICES("{'name':'a'},{'name':'a'}"), "services[1].name",
	"duplicate service a"},
    {SERVICES("{'name':''}"), "services[0].name", "empty service name"},
    {SERVICES("{'name':'a b'},{'name':'a b'}"), "services[1].name",
	"duplicate service a-b-----."},
    {SERVICES("{'name':'a','timeout':5}"), "services[0].timeout",
	"unknown key"},
    {SERVICES("{'name':'a','timeout_ms':0}"), "services[0].timeout_ms",
	"range"},
    {SERVICES("{'name':'a','timeout_ms':-1}"), "services[0].timeout_ms",
	"range"},
    {SERVICES("{'name':'a','timeout_ms':1.5}"), "services[0].timeout_ms",
	"not an integer"},
    {SERVICES("{'name':'a','timeout_ms':'9'}"), "services[0].timeout_ms",
	"not an integer"},
    {SERVICES("{'name':'a','limits':[]}"), "services[0].limits",
	"not an object"},
    {SERVICES("{'name':'a','limits':{'slots_per_endpoint':0}}"),
	"services[0].limits.slots_per_endpoint", "range"},
    {SERVICES("{'name':'a','limits':{'slots':1}}"), "services[0].limits.slots",
	"unknown key"},
    {ROUTES("7"), "routes[0]", "not an object"},
    {ROUTES("{'prefix':'/p','methods':['GET'],'service':'c'}"),
	"routes[0].service", "no such service"},
    {ROUTES("{'prefix':'/p','methods':['GET']}"), "routes[0].service",
	"missing"},
    {ROUTES("{'prefix':'/p','service':'a'}"), "routes[0].methods", "missing"},
    {ROUTES(ROUTE("/p", "")), "routes[0].methods", "has no methods"},
    {ROUTES(ROUTE("/p", "'get'")), "routes[0].methods[0]", "unknown method"},
    {ROUTES(ROUTE("/p", "'GET','GET'")), "routes[0].methods[1]",
	"duplicate method"},
    {ROUTES(ROUTE("p", "'GET'")), "routes[0].prefix", "invalid path prefix"},
    {ROUTES(ROUTE("", "'GET'")), "routes[0].prefix", "invalid path prefix"},
    {ROUTES(ROUTE("/p?q", "'GET'")), "routes[0].prefix", "character 3"},
    {ROUTES(ROUTE("/p q", "'GET'")), "routes[0].prefix", "character 3"},
    {ROUTES(ROUTE("/p", "'GET'") "," ROUTE("/p/", "'GET'") "," ROUTE(
	 "/p//", "'GET'") ",{'prefix':'/p','below':true,'methods':['GET'],"
			  "'service':'b'}"),
	"routes[3]", "routes[1] claims GET /p already"},
    {ROUTES(ROUTE("/", "'GET'") ",{'prefix':'/','below':true,"
				"'methods':['GET'],'service':'b'}"),
	"routes[1]", "routes[0] claims GET / already"},
    {ROUTES("{'prefix':'/p','host':'x/y','methods':['GET'],'service':'a'}"),
	"routes[0].host", "invalid host"},
    {ROUTES("{'prefix':'/p','host':'x y','methods':['GET'],'service':'a'}"),
	"routes[0].host", "invalid host"},
    /* Not clamped, since one weight changes the proportions of all shares. */
    {ROUTES("{'prefix':'/p','weight':1000001,'methods':['GET'],"
	    "'service':'a'}"),
	"routes[0].weight", "range"},
    {ROUTES("{'prefix':'/p','priority':-1,'methods':['GET'],'service':'a'}"),
	"routes[0].priority", "range"},
    {ROUTES(ROUTE("/p", "'GET'") "," ROUTE("/p", "'HEAD','GET'")), "routes[1]",
	"routes[0] claims GET /p already"},
    {ROUTES("{'prefix':'/p','methods':['GET','POST'],'service':'a',"
	    "'idempotent':true}"),
	"routes[0].idempotent", "POST and PATCH"},
    {ROUTES("{'prefix':'/p','methods':['GET'],'service':'a',"
	    "'idempotent':1}"),
	"routes[0].idempotent", "not a boolean"},
};

START_TEST(test_problem_cases)
{
	const struct bundle_problem *problem;
	struct bundle *b;
	char *json = fix_json(problem_cases[_i].json);

	ck_assert_int_ne(bundle_parse(json, strlen(json), &b), STATUS_OK);
	ck_assert_uint_eq(b->sections->len, 0);
	ck_assert_uint_eq(b->n_problems, 1);
	problem = g_ptr_array_index(b->problems, 0);
	ck_assert_str_eq(problem->path, problem_cases[_i].path);
	ck_assert_msg(
	    strstr(problem->message, problem_cases[_i].message) != NULL, "%s",
	    problem->message);
	ck_assert(problem->remedy[0] != '\0');
	ck_assert(strstr(status_message(), problem->remedy) != NULL);
	bundle_free(b);
	g_free(json);
}
END_TEST

/* Valid bundles with one warning each: its path and a part of its message, with
 * the value that is used instead. */
static const struct {
	const char *json;
	const char *path;
	const char *message;
} warning_cases[] = {
    {"{'format':1,'name':'X','services':[{'name':'a'}],'routes':[]}", "name",
	"unconventional bundle name"},
    {SERVICES("{'name':'-a'}"), "services[0].name",
	"unconventional service name"},
    {SERVICES("{'name':'Bad_Name.1'}"), "services[0].name",
	"unconventional service name"},
    {"{'format':1,'name':'X y','services':[{'name':'a'}],'routes':[]}", "name",
	"unconventional bundle name"},
    {SERVICES("{'name':'abcdefghijklmnopqrstuvwxyz-01234'}"),
	"services[0].name", "is listed as abcdefgh."},
    {SERVICES("{'name':'a b'}"), "services[0].name",
	"service \"a b\" is listed as a-b-----."},
    {SERVICES("{'name':'a\\\\b'}"), "services[0].name",
	"is listed as a-b-----."},
    {SERVICES("{'name':'a','timeout_ms':4294967297}"), "services[0].timeout_ms",
	"4294967297 is out of the range 1 to 3600000; 3600000 is used"},
    {SERVICES("{'name':'a','retry':{'attempts':11}}"),
	"services[0].retry.attempts", "1 to 10; 10 is used"},
    {SERVICES("{'name':'a','retry':{'budget_percent':101}}"),
	"services[0].retry.budget_percent", "0 to 100; 100 is used"},
    {SERVICES("{'name':'a','callers':{'idle_ms':7200000}}"),
	"services[0].callers.idle_ms", "3600000 is used"},
    {ROUTES("{'prefix':'/p','methods':['GET'],'service':'a',"
	    "'timeout_ms':7200000}"),
	"routes[0].timeout_ms", "3600000 is used"},
    {ROUTES("{'prefix':'/p','methods':['GET'],'service':'a',"
	    "'priority':4000}"),
	"routes[0].priority", "1000 is used"},
    {ROUTES("{'prefix':'/p','methods':['GET'],'service':'a',"
	    "'attempts':12}"),
	"routes[0].attempts", "10 is used"},
    {ROUTES("{'prefix':'/p','host':'X.Example','methods':['GET'],"
	    "'service':'a'}"),
	"routes[0].host", "lower case"},
    {ROUTES("{'prefix':'/p','host':'x.example:8080','methods':['GET'],"
	    "'service':'a'}"),
	"routes[0].host", "port"},
    {ROUTES("{'prefix':'/p','host':'*.x','methods':['GET'],'service':'a'}"),
	"routes[0].host", "unusual host"},
    {ROUTES("{'prefix':'/p','host':'x:y','methods':['GET'],'service':'a'}"),
	"routes[0].host", "unusual host"},
    {ROUTES("{'prefix':'/p','host':'caf\xc3\xa9','methods':['GET'],"
	    "'service':'a'}"),
	"routes[0].host", "unusual host"},
    {ROUTES(ROUTE("/p/", "'GET'")), "routes[0].prefix", "segment"},
    {ROUTES(ROUTE("//p", "'GET'")), "routes[0].prefix", "segment"},
    {ROUTES(ROUTE("/p/../q", "'GET'")), "routes[0].prefix", "segment"},
    {ROUTES(ROUTE("/./q", "'GET'")), "routes[0].prefix", "segment"},
    {ROUTES(ROUTE("/p%2e", "'GET'")), "routes[0].prefix", "character 3"},
    {ROUTES(ROUTE("/p\xc3\xa9", "'GET'")), "routes[0].prefix", "character 3"},
};

/* The bundle is valid with one warning, and its sections can be committed, so
 * they pass the checks for received sections. */
START_TEST(test_warning_cases)
{
	const struct bundle_problem *warning;
	struct bundle *b = fix_bundle(warning_cases[_i].json);
	struct catalog *c = catalog_new(0);

	ck_assert_uint_eq(b->n_problems, 0);
	ck_assert_uint_eq(b->n_warnings, 1);
	warning = g_ptr_array_index(b->warnings, 0);
	ck_assert_str_eq(warning->path, warning_cases[_i].path);
	ck_assert_msg(
	    strstr(warning->message, warning_cases[_i].message) != NULL, "%s",
	    warning->message);
	ck_assert(warning->remedy[0] != '\0');
	ck_assert_int_eq(fix_commit(c, 1, b), STATUS_OK);
	catalog_free(c);
	bundle_free(b);
}
END_TEST

/* Bundles that give the same root: as written, and in normalized form. */
static const struct {
	const char *written, *normalized;
} equivalent_cases[] = {
    {SERVICES("{'name':'a','timeout_ms':9999999,'retry':{'attempts':99}}"),
	SERVICES("{'name':'a','timeout_ms':3600000,'retry':{'attempts':10}}")},
    {ROUTES("{'prefix':'/p','host':'X.Example:80','methods':['GET'],"
	    "'service':'a'}"),
	ROUTES("{'prefix':'/p','host':'x.example','methods':['GET'],"
	       "'service':'a'}")},
    {ROUTES(ROUTE("/p/", "'GET'")),
	ROUTES("{'prefix':'/p','below':true,'methods':['GET'],"
	       "'service':'a'}")},
    {ROUTES("{'prefix':'/','below':true,'methods':['GET'],'service':'a'}"),
	ROUTES(ROUTE("/", "'GET'"))},
};

START_TEST(test_equivalent_cases)
{
	struct bundle *written = fix_bundle(equivalent_cases[_i].written);
	struct bundle *normalized = fix_bundle(equivalent_cases[_i].normalized);

	ck_assert(hash_digest_equal(&written->root, &normalized->root));
	ck_assert_uint_eq(normalized->n_warnings, 0);
	bundle_free(written);
	bundle_free(normalized);
}
END_TEST

/* Warnings are also reported for a bundle with problems. */
START_TEST(test_warnings_with_problems)
{
	struct bundle *b;
	char *json = fix_json(SERVICES("{'name':'B'},{'name':'c','x':1}"));

	ck_assert_int_eq(bundle_parse(json, strlen(json), &b), STATUS_INVALID);
	ck_assert_uint_eq(b->n_problems, 1);
	ck_assert_uint_eq(b->n_warnings, 1);
	bundle_free(b);
	g_free(json);
}
END_TEST

/* SNAPSHOT_SHARES_MAX services may share a route; a bundle with one more is
 * rejected. */
START_TEST(test_shares_limit)
{
	GString *text;
	struct bundle *b;
	uint32_t more, i;

	for (more = 0; more <= 1; more++) {
		text = g_string_new("{'format':1,'name':'x','services':[");
		for (i = 0; i < SNAPSHOT_SHARES_MAX + more; i++)
			g_string_append_printf(
			    text, "%s{'name':'s%u'}", i > 0 ? "," : "", i);
		g_string_append(text, "],'routes':[");
		for (i = 0; i < SNAPSHOT_SHARES_MAX + more; i++)
			g_string_append_printf(text,
			    "%s{'prefix':'/p','methods':['*'],'weight':1,"
			    "'service':'s%u'}",
			    i > 0 ? "," : "", i);
		g_string_append(text, "]}");
		g_strdelimit(text->str, "'", '"');
		ck_assert_int_eq(bundle_parse(text->str, text->len, &b),
		    more == 0 ? STATUS_OK : STATUS_INVALID);
		if (more > 0)
			ck_assert(strstr(status_message(),
				      "share this route") != NULL);
		bundle_free(b);
		g_string_free(text, TRUE);
	}
}
END_TEST

static uint32_t
parse_methods(const json_t *list)
{
	const char *name;
	enum http_method m;
	uint32_t methods = 0;
	json_t *item;
	size_t i;

	json_array_foreach((json_t *)list, i, item)
	{
		name = json_string_value(item);
		if (strcmp(name, "*") == 0)
			return METHOD_ANY;
		m = method_parse(name, strlen(name));
		if (m == METHOD_COUNT || (methods & METHOD_BIT(m)) != 0)
			return 0;
		methods |= METHOD_BIT(m);
	}
	return methods;
}

/* Convert a JSON route; false if struct bundle_route can't represent it. */
static bool
parse_route(json_t *o, struct bundle_route *route)
{
	static const char *const keys[] = {
	    "weight", "timeout_ms", "target_ms", "priority", "attempts"};
	json_t *v;
	size_t i, n_known = 4;

	memset(route, 0, sizeof(*route));
	route->prefix = json_string_value(json_object_get(o, "prefix"));
	route->host = json_string_value(json_object_get(o, "host"));
	route->service = json_string_value(json_object_get(o, "service"));
	route->methods = parse_methods(json_object_get(o, "methods"));
	route->below = json_is_true(json_object_get(o, "below"));
	v = json_object_get(o, "idempotent");
	route->idempotent =
	    v != NULL ? json_is_true(v) : (route->methods & ~METHOD_SAFE) == 0;
	n_known -= route->prefix == NULL ? 1 : 0;
	n_known += json_is_boolean(v) ? 1 : 0;
	n_known += json_is_boolean(json_object_get(o, "below")) ? 1 : 0;
	n_known -= route->host == NULL ? 1 : 0;
	for (i = 0; i < G_N_ELEMENTS(keys); i++) {
		v = json_object_get(o, keys[i]);
		n_known += json_is_integer(v) ? 1 : 0;
		route->numbers[i] =
		    v != NULL ? json_integer_value(v) : BUNDLE_NUMBER_OMITTED;
	}
	return json_object_size(o) == n_known && route->prefix != NULL &&
	    route->service != NULL && route->methods != 0;
}

/* Build a bundle from JSON by incremental construction; NULL if the text has
 * more than a name, services and routes, or one of a wrong type. */
static struct bundle *
build_incrementally(const char *json, enum status *st)
{
	json_t *root = json_loads(json, JSON_REJECT_DUPLICATES, NULL), *item;
	json_t *services = json_object_get(root, "services");
	json_t *routes = json_object_get(root, "routes");
	json_t *name = json_object_get(root, "name");
	struct bundle_build *build;
	struct bundle *b = NULL;
	struct bundle_route route;
	bool good_types = true;
	size_t i;

	if (json_object_size(root) == 4 && json_is_array(services) &&
	    json_is_array(routes) && json_is_string(name) &&
	    json_integer_value(json_object_get(root, "format")) == 1) {
		build = bundle_build_new(json_string_value(name));
		json_array_foreach(services, i, item)
		    bundle_build_service(build, item);
		json_array_foreach(routes, i, item)
		{
			good_types = good_types && parse_route(item, &route);
			if (good_types)
				bundle_build_route(build, &route);
		}
		if (good_types)
			*st = bundle_build_end(build, &b);
		bundle_build_free(build);
	}
	json_decref(root);
	return b;
}

static void
check_same_problems(const GPtrArray *x, const GPtrArray *y)
{
	const struct bundle_problem *p, *q;
	guint i;

	ck_assert_uint_eq(x->len, y->len);
	for (i = 0; i < x->len; i++) {
		p = g_ptr_array_index(x, i);
		q = g_ptr_array_index(y, i);
		ck_assert_str_eq(p->path, q->path);
		ck_assert_str_eq(p->message, q->message);
		ck_assert_str_eq(p->remedy, q->remedy);
	}
}

/* Return: whether the bundle could be built incrementally. */
static bool
check_incremental_build(const char *text)
{
	enum status parsed_st, build_st;
	char *json = fix_json(text);
	struct bundle *x = build_incrementally(json, &build_st), *y;

	if (x != NULL) {
		parsed_st = bundle_parse(json, strlen(json), &y);
		ck_assert_int_eq(build_st, parsed_st);
		ck_assert_uint_eq(x->n_problems, y->n_problems);
		ck_assert_uint_eq(x->n_warnings, y->n_warnings);
		check_same_problems(x->problems, y->problems);
		check_same_problems(x->warnings, y->warnings);
		ck_assert_uint_eq(x->sections->len, y->sections->len);
		ck_assert(hash_digest_equal(&x->root, &y->root));
		ck_assert_str_eq(x->name, y->name);
		bundle_free(x);
		bundle_free(y);
	}
	g_free(json);
	return x != NULL;
}

/* Incremental construction and parsing give the same bundle, problems and
 * warnings. */
START_TEST(test_incremental_build)
{
	size_t i, n_compared = 0;

	ck_assert(check_incremental_build(fix_valid_bundle));
	for (i = 0; i < G_N_ELEMENTS(warning_cases); i++)
		ck_assert(check_incremental_build(warning_cases[i].json));
	for (i = 0; i < G_N_ELEMENTS(equivalent_cases); i++)
		ck_assert(check_incremental_build(equivalent_cases[i].written));
	for (i = 0; i < G_N_ELEMENTS(problem_cases); i++)
		n_compared +=
		    check_incremental_build(problem_cases[i].json) ? 1 : 0;
	ck_assert_uint_gt(n_compared, G_N_ELEMENTS(problem_cases) / 2);
}
END_TEST

/* All services are counted; those above the limit are not read. */
START_TEST(test_incremental_build_too_many)
{
	struct bundle_build *build = bundle_build_new("x");
	struct bundle *b;
	char name[16];
	json_t *o;
	int i;

	for (i = 0; i <= CONFIG_MAX_SERVICES; i++) {
		(void)g_snprintf(name, sizeof(name), "s%d", i);
		o = json_pack("{s:s}", "name", name);
		bundle_build_service(build, o);
		json_decref(o);
	}
	ck_assert_int_eq(bundle_build_end(build, &b), STATUS_INVALID);
	ck_assert(strstr(status_message(), "4097 services") != NULL);
	bundle_free(b);
	bundle_build_free(build);
}
END_TEST

START_TEST(test_all_problems_are_reported)
{
	struct bundle *b;
	char *json = fix_json(
	    "{'format':9,'name':'x','extra':1,'services':["
	    "{'name':'a','timeout_ms':0,'timeout_ms':0},{'name':''}],"
	    "'routes':[{'prefix':'q','methods':['GOT'],'service':'c'}]}");

	ck_assert_int_eq(bundle_parse(json, strlen(json), &b), STATUS_INVALID);
	/* duplicate key, format, extra, timeout, name, prefix, method,
	 * service */
	ck_assert_uint_eq(b->n_problems, 8);
	ck_assert(strstr(status_message(), "8 problems") != NULL);
	ck_assert(strstr(status_message(), "And 4 more") != NULL);
	bundle_free(b);
	g_free(json);
}
END_TEST

/* Format a bundle with @n items of one kind. */
static char *
repeat_items(const char *head, const char *fmt, uint32_t n, const char *tail)
{
	GString *out = g_string_new(head);
	uint32_t i;

	for (i = 0; i < n; i++) {
		g_string_append(out, i > 0 ? "," : "");
		g_string_append_printf(out, fmt, i, i);
	}
	g_string_append(out, tail);
	return g_strdelimit(g_string_free(out, FALSE), "'", '"');
}

#define HEAD "{'format':1,'name':'x','services':["

/* A route that takes 200 bytes of its section, so the sections exceed their
 * limit before the text of the bundle does. */
#define LONG_PART "/abcdefghijklmnopqrstuvwxyz0123456789"
#define LONG_ROUTE                                                \
	"{'prefix':'/r%u" LONG_PART LONG_PART LONG_PART LONG_PART \
	"','methods':['GET'],'service':'a'}"

/* Limits: the largest valid number of items; a bundle with one more is
 * rejected. */
static const struct {
	const char *head, *fmt, *tail;
	uint32_t most;
	const char *message;
} limit_cases[] = {
    {HEAD, "{'name':'s%u'}", "],'routes':[]}", CONFIG_MAX_SERVICES,
	"limit is 4096;"},
};

START_TEST(test_services_limit)
{
	struct bundle *b;
	uint32_t more;
	char *json;

	for (more = 0; more <= 1; more++) {
		json = repeat_items(limit_cases[_i].head, limit_cases[_i].fmt,
		    limit_cases[_i].most + more, limit_cases[_i].tail);
		ck_assert_int_eq(bundle_parse(json, strlen(json), &b),
		    more == 0 ? STATUS_OK : STATUS_INVALID);
		if (more > 0)
			ck_assert(strstr(status_message(),
				      limit_cases[_i].message) != NULL);
		bundle_free(b);
		g_free(json);
	}
}
END_TEST

/* The routes of a service are bounded only by the size of the configuration. */
START_TEST(test_routes_too_large)
{
	uint32_t n = (uint32_t)(CONFIG_MAX_BYTES / strlen(LONG_PART) / 4);
	struct bundle *b;
	char *json;

	json =
	    repeat_items(HEAD "{'name':'a'}],'routes':[", LONG_ROUTE, n, "]}");
	ck_assert_int_eq(bundle_parse(json, strlen(json), &b), STATUS_INVALID);
	ck_assert(strstr(status_message(), "limit is 33554432;") != NULL);
	bundle_free(b);
	g_free(json);
}
END_TEST

START_TEST(test_too_large)
{
	struct bundle *b;
	char *json;

	json = g_strnfill(BUNDLE_MAX_BYTES + 1, ' ');
	ck_assert_int_eq(
	    bundle_parse(json, BUNDLE_MAX_BYTES + 1, &b), STATUS_TOO_LARGE);
	bundle_free(b);
	memset(json, '[', BUNDLE_MAX_BYTES);
	ck_assert_int_eq(
	    bundle_parse(json, BUNDLE_MAX_BYTES, &b), STATUS_INVALID);
	ck_assert(strstr(status_message(), "levels deep") != NULL);
	bundle_free(b);
	memset(json, ',', BUNDLE_MAX_BYTES);
	ck_assert_int_eq(
	    bundle_parse(json, BUNDLE_MAX_BYTES, &b), STATUS_TOO_LARGE);
	bundle_free(b);
	g_free(json);
}
END_TEST

START_TEST(test_parsed_values)
{
	struct bundle *b = fix_bundle(fix_valid_bundle), *c;
	const struct service_config *booking, *search;

	ck_assert_uint_eq(b->sections->len, 2);
	booking = ((struct section *)g_ptr_array_index(b->sections, 0))->config;
	search = ((struct section *)g_ptr_array_index(b->sections, 1))->config;
	ck_assert_str_eq(booking->name, "hearing-booking");
	ck_assert_uint_eq(booking->timeout_ms, SERVICE_TIMEOUT_DEFAULT_MS);
	ck_assert_uint_eq(booking->n_routes, 2);
	ck_assert(booking->routes[0].idempotent);
	ck_assert(!booking->routes[1].idempotent);
	ck_assert_uint_eq(search->timeout_ms, 1500);
	ck_assert_uint_eq(search->limits.request_max_bytes, 1048576);
	ck_assert(search->routes[0].idempotent);
	/* Another order and explicit defaults give the same root. */
	c = fix_bundle(
	    "{'routes':["
	    "{'prefix':'/bookings','methods':['GET'],"
	    " 'service':'hearing-booking'},"
	    "{'service':'public-search','methods':['HEAD','GET'],"
	    " 'prefix':'/search','idempotent':true},"
	    "{'prefix':'/bookings','methods':['POST'],'idempotent':false,"
	    " 'service':'hearing-booking'}],"
	    "'services':[{'name':'hearing-booking','retry':{}},"
	    "{'timeout_ms':1500,'name':'public-search'}],"
	    "'name':'other','format':1}");
	ck_assert(hash_digest_equal(&b->root, &c->root));
	bundle_free(b);
	bundle_free(c);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("bundle");
	TCase *tc = tcase_create("bundle");

	tcase_add_loop_test(
	    tc, test_problem_cases, 0, (int)G_N_ELEMENTS(problem_cases));
	tcase_add_loop_test(
	    tc, test_warning_cases, 0, (int)G_N_ELEMENTS(warning_cases));
	tcase_add_loop_test(
	    tc, test_equivalent_cases, 0, (int)G_N_ELEMENTS(equivalent_cases));
	tcase_add_test(tc, test_warnings_with_problems);
	tcase_add_test(tc, test_shares_limit);
	tcase_add_test(tc, test_incremental_build);
	tcase_add_test(tc, test_incremental_build_too_many);
	tcase_add_test(tc, test_all_problems_are_reported);
	tcase_add_loop_test(
	    tc, test_services_limit, 0, (int)G_N_ELEMENTS(limit_cases));
	tcase_add_test(tc, test_routes_too_large);
	tcase_add_test(tc, test_too_large);
	tcase_add_test(tc, test_parsed_values);
	tcase_set_timeout(tc, 60);
	suite_add_tcase(suite, tc);
	return fix_run(suite);
}
