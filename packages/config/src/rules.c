/*
 * Validation rules for services and routes.
 */
#include <stdlib.h>
#include <string.h>

#include "customer_table.h"
#include "rules.h"

#define NUMBER(group, key, field, min, max, default_value)                  \
	{                                                                   \
		(group), (key), offsetof(struct msg_section, field),        \
		    sizeof(((struct msg_section *)0)->field), (min), (max), \
		    (default_value), false                                  \
	}

const struct number_rule number_rules[] = {
    NUMBER(NULL, "timeout_ms", timeout_ms, SERVICE_TIMEOUT_MIN_MS,
	SERVICE_TIMEOUT_MAX_MS, SERVICE_TIMEOUT_DEFAULT_MS),
    NUMBER("limits", "slots_per_endpoint", slots_per_endpoint, 1,
	SERVICE_SLOTS_MAX, SERVICE_SLOTS_DEFAULT),
    NUMBER("limits", "queue_per_endpoint", queue_per_endpoint, 0,
	SERVICE_QUEUE_MAX, SERVICE_QUEUE_DEFAULT),
    NUMBER("limits", "queue_wait_ms", queue_wait_ms, 0,
	SERVICE_QUEUE_WAIT_MAX_MS, SERVICE_QUEUE_WAIT_DEFAULT_MS),
    NUMBER("limits", "request_max_bytes", request_max_bytes, 0,
	SERVICE_REQUEST_MAX_BYTES, SERVICE_REQUEST_DEFAULT_BYTES),
    NUMBER("limits", "caller_calls_per_s", caller_calls_per_s, 0,
	SERVICE_CALLER_CALLS_MAX, SERVICE_CALLER_CALLS_DEFAULT),
    NUMBER("retry", "attempts", attempts, 1, SERVICE_ATTEMPTS_MAX,
	SERVICE_ATTEMPTS_DEFAULT),
    NUMBER("retry", "budget_percent", budget_percent, 0,
	SERVICE_BUDGET_MAX_PERCENT, SERVICE_BUDGET_DEFAULT_PERCENT),
    NUMBER("callers", "head_max_bytes", head_max_bytes, 0,
	SERVICE_HEAD_MAX_BYTES, 0),
    NUMBER("callers", "head_ms", head_ms, 0, SERVICE_CALLER_MAX_MS, 0),
    NUMBER("callers", "idle_ms", idle_ms, 0, SERVICE_CALLER_MAX_MS, 0),
    {NULL, NULL, 0, 0, 0, 0, 0, false},
};

#define ROUTE_NUMBER(key, field, max, no_clamp)                                \
	{                                                                      \
		NULL, (key), offsetof(struct rec_section_route, field),        \
		    sizeof(((struct rec_section_route *)0)->field), 0, max, 0, \
		    no_clamp                                                   \
	}

const struct number_rule route_rules[] = {
    ROUTE_NUMBER("weight", weight, ROUTE_WEIGHT_MAX, true),
    ROUTE_NUMBER("timeout_ms", timeout_ms, SERVICE_TIMEOUT_MAX_MS, false),
    ROUTE_NUMBER("target_ms", target_ms, SERVICE_TIMEOUT_MAX_MS, false),
    ROUTE_NUMBER("priority", priority, ROUTE_PRIORITY_MAX, false),
    ROUTE_NUMBER("attempts", attempts, SERVICE_ATTEMPTS_MAX, false),
    {NULL, NULL, 0, 0, 0, 0, 0, false},
};

const struct number_rule *
number_rule_find(const char *group, const char *key)
{
	const struct number_rule *rule;

	for (rule = number_rules; rule->key != NULL; rule++) {
		if (g_strcmp0(rule->group, group) == 0 &&
		    strcmp(rule->key, key) == 0)
			return rule;
	}
	return NULL;
}

uint64_t
number_load(const struct number_rule *rule, const void *m)
{
	const char *field = (const char *)m + rule->offset;
	uint64_t wide;
	uint32_t narrow;

	if (rule->bytes == sizeof(wide)) {
		memcpy(&wide, field, sizeof(wide));
		return wide;
	}
	memcpy(&narrow, field, sizeof(narrow));
	return narrow;
}

void
number_store(const struct number_rule *rule, void *m, uint64_t value)
{
	char *field = (char *)m + rule->offset;
	uint32_t narrow = (uint32_t)value;

	if (rule->bytes == sizeof(value))
		memcpy(field, &value, sizeof(value));
	else
		memcpy(field, &narrow, sizeof(narrow));
}

void
number_check(const struct number_rule *rule, uint64_t value,
    const struct doc_path *at, struct problems *p)
{
	if (value >= rule->min && value <= rule->max)
		return;
	problems_add(p, at, "use a number within the range",
	    "%" G_GUINT64_FORMAT " is out of the range %" G_GUINT64_FORMAT
	    " to %" G_GUINT64_FORMAT,
	    value, rule->min, rule->max);
}

void
numbers_set_default(struct msg_section *m)
{
	const struct number_rule *rule;

	for (rule = number_rules; rule->key != NULL; rule++)
		number_store(rule, m, rule->default_value);
}

uint64_t
number_clamp(const struct number_rule *rule, int64_t value,
    const struct doc_path *at, struct problems *p)
{
	/* A negative number becomes larger than any maximum as unsigned. */
	if (value < 0 || (uint64_t)value <= rule->max || rule->no_clamp) {
		number_check(rule, (uint64_t)value, at, p);
		return (uint64_t)value;
	}
	problems_warn(p, at, "use a number within the range",
	    "%" G_GINT64_FORMAT " is out of the range %" G_GUINT64_FORMAT
	    " to %" G_GUINT64_FORMAT "; %" G_GUINT64_FORMAT " is used",
	    value, rule->min, rule->max, rule->max);
	return rule->max;
}

bool
service_name_conventional(const char *name)
{
	const char *c;

	for (c = name; *c != '\0'; c++) {
		if (!g_ascii_islower(*c) && !g_ascii_isdigit(*c) && *c != '-')
			return false;
	}
	return g_ascii_islower(name[0]);
}

void
service_name_check(const char *name, const char *id, const struct doc_path *at,
    struct problems *p)
{
	if (name[0] == '\0')
		problems_add(p, at, "use a-z, 0-9 and '-', a letter first",
		    "empty service name");
	else if (strcmp(name, id) != 0)
		problems_warn(p, at,
		    "use 1 to 31 of a-z, 0-9 and '-', a letter first",
		    "service \"%s\" is listed as %s", name, id);
	else if (!service_name_conventional(name))
		problems_warn(p, at, "use a-z, 0-9 and '-', a letter first",
		    "unconventional service name");
}

/* Characters that need no escaping and have one interpretation. */
static bool
prefix_char_portable(char ch)
{
	return g_ascii_isalnum(ch) ||
	    (ch != '\0' && strchr("-._~!$&'()*+,;=:@/", ch) != NULL);
}

/* Whether the path of a request may contain a character. */
static bool
prefix_char_valid(char ch)
{
	return (unsigned char)ch > ' ' && ch != '\x7f' && ch != '?' &&
	    ch != '#';
}

/* Position, from 1, of the first character that is not valid; 0 if all are. */
static size_t
find_invalid_char(const char *text, size_t len, bool (*is_valid)(char ch))
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (!is_valid(text[i]))
			return i + 1;
	}
	return 0;
}

/* Whether a segment is empty, "." or "..", which upstreams may remove or
 * resolve. */
static bool
segment_is_dot_or_empty(const char *segment, size_t len)
{
	return len == 0 || (len == 1 && segment[0] == '.') ||
	    (len == 2 && segment[0] == '.' && segment[1] == '.');
}

static bool
prefix_segments_portable(const char *prefix, size_t len)
{
	size_t i, start = 1;

	for (i = 1; i <= len; i++) {
		if (i < len && prefix[i] != '/')
			continue;
		if (segment_is_dot_or_empty(prefix + start, i - start))
			return false;
		start = i + 1;
	}
	return true;
}

/* Warn about prefixes that upstreams may interpret differently: routes are
 * matched byte by byte, without decoding or path resolution. */
static void
prefix_check_portable(const char *prefix, size_t len, const struct doc_path *at,
    struct problems *p)
{
	size_t n = find_invalid_char(prefix, len, prefix_char_portable);

	if (n > 0)
		problems_warn(p, at,
		    "use letters, digits and -._~!$&'()*+,;=:@/ only",
		    "upstreams may interpret character %zu differently", n);
	else if (len > 1 && !prefix_segments_portable(prefix, len))
		problems_warn(p, at,
		    "leave out empty segments, \".\", \"..\" and a '/' at the "
		    "end",
		    "the prefix has a segment that upstreams may remove");
}

void
prefix_check(const char *prefix, size_t len, const struct doc_path *at,
    struct problems *p)
{
	size_t n = find_invalid_char(prefix, len, prefix_char_valid);

	if (len == 0 || len > ROUTE_PREFIX_MAX_BYTES || prefix[0] != '/')
		problems_add(p, at, "use 1 to 65535 bytes, '/' first",
		    "invalid path prefix");
	else if (n > 0)
		problems_add(p, at,
		    "use letters, digits and -._~!$&'()*+,;=:@/ only",
		    "character %zu is not allowed in a prefix", n);
	else
		prefix_check_portable(prefix, len, at, p);
}

void
methods_check(uint32_t methods, bool idempotent, const struct doc_path *at,
    struct problems *p)
{
	struct doc_path methods_at = {at, "methods", DOC_PATH_NO_INDEX};
	struct doc_path idempotent_at = {at, "idempotent", DOC_PATH_NO_INDEX};

	if (methods == 0 ||
	    ((methods & ~METHOD_ALL) != 0 && methods != METHOD_ANY))
		problems_add(p, &methods_at,
		    "list some of GET, HEAD, POST, PUT, PATCH, DELETE, "
		    "OPTIONS, "
		    "or \"*\" alone",
		    "the route has no methods or unknown ones");
	/* A route of any method declares all of its methods idempotent. */
	if (idempotent && methods != METHOD_ANY &&
	    (methods & METHOD_NON_IDEMPOTENT) != 0 &&
	    (methods & ~METHOD_NON_IDEMPOTENT) != 0)
		problems_add(p, &idempotent_at,
		    "move POST and PATCH to a separate route, and declare that "
		    "idempotent if it is",
		    "POST and PATCH can't be declared idempotent along with "
		    "other methods");
}

/* Whether a Host header may contain a character, in lower case. */
static bool
host_char_valid(char ch)
{
	return (unsigned char)ch > ' ' && ch != '\x7f' && ch != '/' &&
	    !g_ascii_isupper(ch);
}

static bool
host_char_usual(char ch)
{
	return g_ascii_islower(ch) || g_ascii_isdigit(ch) ||
	    (ch != '\0' && strchr("-._", ch) != NULL);
}

void
host_check(
    const char *host, size_t len, const struct doc_path *at, struct problems *p)
{
	if (len > ROUTE_HOST_MAX_BYTES ||
	    find_invalid_char(host, len, host_char_valid) > 0)
		problems_add(p, at, "use at most 65535 of a-z, 0-9 and \"-._\"",
		    "invalid host");
	else if (find_invalid_char(host, len, host_char_usual) > 0)
		problems_warn(p, at, "use a-z, 0-9 and \"-._\"",
		    "unusual host, compared as it is written");
}

/* Length of a host without its port. */
static size_t
host_name_length(const char *host)
{
	const char *colon = strchr(host, ':');
	const char *c;

	if (colon == NULL)
		return strlen(host);
	for (c = colon + 1; g_ascii_isdigit(*c); c++)
		continue;
	return *c == '\0' ? (size_t)(colon - host) : strlen(host);
}

char *
host_normalize(const char *host, const struct doc_path *at, struct problems *p)
{
	size_t len = host_name_length(host);
	char *normalized = g_ascii_strdown(host, (gssize)len);

	if (host[len] != '\0')
		problems_warn(p, at, "remove the port",
		    "hosts are compared without their port");
	else if (strcmp(host, normalized) != 0)
		problems_warn(p, at, "use lower case",
		    "hosts are compared in lower case");
	return normalized;
}

/* Byte order of two texts; a text sorts before its extensions. */
static int
text_compare(const char *a, uint32_t a_len, const char *b, uint32_t b_len)
{
	uint32_t shared = MIN(a_len, b_len);
	int order = shared > 0 ? memcmp(a, b, shared) : 0;

	return order != 0 ? order : (a_len > b_len) - (a_len < b_len);
}

/* Order of two routes by what they match, without their methods. */
static int
route_match_compare(
    const struct rec_section_route *x, const struct rec_section_route *y)
{
	int order;

	order = text_compare(x->host, x->host_len, y->host, y->host_len);
	if (order == 0)
		order = text_compare(
		    x->prefix, x->prefix_len, y->prefix, y->prefix_len);
	return order != 0 ? order : (int)x->below - (int)y->below;
}

static int
route_compare(const void *a, const void *b)
{
	const struct rec_section_route *x = a, *y = b;
	int order;

	order = route_match_compare(x, y);
	if (order != 0)
		return order;
	return (x->methods > y->methods) - (x->methods < y->methods);
}

void
routes_sort(struct rec_section_route *routes, uint32_t n_routes)
{
	if (n_routes > 1)
		qsort(routes, n_routes, sizeof(*routes), route_compare);
}

/* Record routes that are not in canonical order, and routes of one prefix that
 * have a method in common. */
static void
routes_order_check(const struct msg_section *m, struct problems *p)
{
	const struct rec_section_route *before, *route;
	struct doc_path routes_at = {NULL, "routes", DOC_PATH_NO_INDEX};
	struct doc_path at = {&routes_at, NULL, 0};
	uint32_t i, claimed = 0;

	for (i = 0; i < m->n_routes; i++) {
		at.index = i;
		route = &m->routes[i];
		before = i > 0 ? &m->routes[i - 1] : NULL;
		if (before == NULL || route_match_compare(before, route) != 0)
			claimed = 0;
		if (before != NULL && route_compare(before, route) >= 0)
			problems_add(p, &at, "sort the routes",
			    "the routes are not in canonical order");
		else if (routes_overlap(claimed, route->methods))
			problems_add(p, &at, "remove one of the routes",
			    "another route has this prefix and method");
		claimed |= route->methods;
	}
}

static void
route_check(const struct rec_section_route *route, const struct doc_path *at,
    struct problems *p)
{
	struct doc_path prefix_at = {at, "prefix", DOC_PATH_NO_INDEX};
	struct doc_path host_at = {at, "host", DOC_PATH_NO_INDEX};
	struct doc_path number_at = {at, NULL, DOC_PATH_NO_INDEX};
	const struct number_rule *rule;

	prefix_check(route->prefix, route->prefix_len, &prefix_at, p);
	host_check(route->host, route->host_len, &host_at, p);
	methods_check(route->methods, route->idempotent, at, p);
	for (rule = route_rules; rule->key != NULL; rule++) {
		number_at.key = rule->key;
		number_check(rule, number_load(rule, route), &number_at, p);
	}
}

static int
customer_compare(const void *a, const void *b)
{
	const struct rec_section_customer *x = a, *y = b;

	int order = memcmp(x->name, y->name, MIN(x->name_len, y->name_len));

	if (order != 0)
		return order;
	return (x->name_len > y->name_len) - (x->name_len < y->name_len);
}

void
customers_sort(struct rec_section_customer *customers, uint32_t n_customers)
{
	if (n_customers > 1)
		qsort(customers, n_customers, sizeof(*customers),
		    customer_compare);
}

static bool
customer_char_valid(char ch)
{
	return (unsigned char)ch >= ' ' && ch != '\x7f';
}

void
customer_name_check(
    const char *name, size_t len, const struct doc_path *at, struct problems *p)
{
	if (len == 0 || len >= CUSTOMER_NAME_BYTES ||
	    find_invalid_char(name, len, customer_char_valid) != 0)
		problems_add(p, at,
		    "use 1 to 65,500 bytes without control characters",
		    "invalid name of a customer");
	else if (name[0] == ' ' || name[len - 1] == ' ')
		problems_add(p, at, "remove the space at its begin or end",
		    "a header can't carry this name of a customer");
}

static bool
keys_are_sorted(const struct rec_section_customer *customer)
{
	uint32_t i;

	if (customer->keys_len % CUSTOMER_KEY_BYTES != 0)
		return false;
	for (i = CUSTOMER_KEY_BYTES; i < customer->keys_len;
	     i += CUSTOMER_KEY_BYTES)
		if (memcmp(customer->keys + i - CUSTOMER_KEY_BYTES,
			customer->keys + i, CUSTOMER_KEY_BYTES) >= 0)
			return false;
	return true;
}

static bool
limits_are_valid(const struct rec_section_customer *customer)
{
	return customer->rate_milli_per_s <= CUSTOMER_LIMIT_MAX_MILLI &&
	    customer->burst_milli <= CUSTOMER_LIMIT_MAX_MILLI &&
	    customer->priority <= ROUTE_PRIORITY_MAX + 1;
}

/* Record customers that are not in canonical form. */
static void
customers_check(const struct msg_section *m, struct problems *p)
{
	struct doc_path customers_at = {NULL, "customers", DOC_PATH_NO_INDEX};
	struct doc_path at = {&customers_at, NULL, 0};
	uint32_t i;

	for (i = 0; i < m->n_customers; i++) {
		at.index = i;
		customer_name_check(m->customers[i].name,
		    customer_base_len(
			m->customers[i].name, m->customers[i].name_len),
		    &at, p);
		if (!keys_are_sorted(&m->customers[i]))
			problems_add(p, &at, "sort the keys",
			    "the keys are not in canonical form");
		if (!limits_are_valid(&m->customers[i]))
			problems_add(p, &at, "reduce them",
			    "the limits or the priority are too large");
		if (i > 0 &&
		    customer_compare(&m->customers[i - 1], &m->customers[i]) >=
			0)
			problems_add(p, &at, "sort the customers",
			    "the customers are not in canonical order");
	}
}

/* Only the table of customers has customers, and it has nothing else. */
static void
contents_check(const struct msg_section *m, struct problems *p)
{
	struct doc_path customers_at = {NULL, "customers", DOC_PATH_NO_INDEX};
	bool table = strcmp(m->service, CUSTOMERS_SECTION) == 0;

	if ((table && m->n_routes > 0) || (!table && m->n_customers > 0))
		problems_add(p, &customers_at, "move them",
		    "routes and customers are in one section");
}

void
section_check(const struct msg_section *m, struct problems *p)
{
	const struct number_rule *rule;
	struct doc_path number_at = {NULL, NULL, DOC_PATH_NO_INDEX};
	struct doc_path service_at = {NULL, "service", DOC_PATH_NO_INDEX};
	struct doc_path routes_at = {NULL, "routes", DOC_PATH_NO_INDEX};
	struct doc_path at = {&routes_at, NULL, 0};
	uint32_t i;

	contents_check(m, p);
	if (strcmp(m->service, CUSTOMERS_SECTION) != 0 &&
	    !service_name_valid(m->service, strlen(m->service)))
		problems_add(p, &service_at, "use " SERVICE_NAME_RULE,
		    "invalid service name");
	for (rule = number_rules; rule->key != NULL; rule++) {
		number_at.key = rule->key;
		number_check(rule, number_load(rule, m), &number_at, p);
	}
	for (i = 0; i < m->n_routes; i++) {
		at.index = i;
		route_check(&m->routes[i], &at, p);
	}
	routes_order_check(m, p);
	customers_check(m, p);
}
