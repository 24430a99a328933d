/*
 * Reads the JSON of a bundle: top-level members and services.
 */
#include <string.h>

#include "bundle_read.h"
#include "rules.h"

#define SEE_BUNDLE_DOCS "see docs/BUNDLES.md"

/* Hosts and prefixes of some hundred routes. */
#define TEXTS_CHUNK_BYTES 16384

static void
draft_free(void *data)
{
	struct draft *d = data;

	if (d->routes != NULL)
		g_array_unref(d->routes);
	g_free(d);
}

void
bundle_reader_init(struct bundle_reader *r, struct problems *p)
{
	memset(r, 0, sizeof(*r));
	r->p = p;
	r->texts = g_string_chunk_new(TEXTS_CHUNK_BYTES);
	r->drafts = g_ptr_array_new_with_free_func(draft_free);
	r->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	r->claims =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	bundle_customers_init(r);
}

void
bundle_reader_clear(struct bundle_reader *r)
{
	bundle_customers_clear(r);
	g_hash_table_unref(r->claims);
	g_hash_table_unref(r->by_name);
	g_ptr_array_unref(r->drafts);
	g_string_chunk_free(r->texts);
}

void
json_check_keys(json_t *object, const char *const *known,
    const struct doc_path *at, struct problems *p)
{
	struct doc_path key_at = {at, NULL, DOC_PATH_NO_INDEX};
	const char *const *k;
	const char *key;
	json_t *value;

	json_object_foreach(object, key, value)
	{
		for (k = known; *k != NULL; k++) {
			if (strcmp(*k, key) == 0)
				break;
		}
		key_at.key = key;
		if (*k == NULL)
			problems_add(p, &key_at,
			    "remove it or correct its "
			    "spelling; " SEE_BUNDLE_DOCS,
			    "unknown key");
	}
}

const char *
json_require_string(json_t *object, const char *key, const struct doc_path *at,
    struct problems *p)
{
	struct doc_path text_at = {at, key, DOC_PATH_NO_INDEX};
	json_t *value = json_object_get(object, key);

	if (json_is_string(value))
		return json_string_value(value);
	problems_add(p, &text_at, "use a string; " SEE_BUNDLE_DOCS, "%s",
	    value == NULL ? "required key is missing" : "not a string");
	return NULL;
}

json_t *
json_require_array(json_t *object, const char *key, const struct doc_path *at,
    struct problems *p)
{
	struct doc_path list_at = {at, key, DOC_PATH_NO_INDEX};
	json_t *value = json_object_get(object, key);

	if (json_is_array(value))
		return value;
	problems_add(p, &list_at, "use an array; " SEE_BUNDLE_DOCS, "%s",
	    value == NULL ? "required key is missing" : "not an array");
	return NULL;
}

int64_t
bundle_read_number(struct bundle_reader *r, const char *key, json_t *object,
    const struct doc_path *at)
{
	struct doc_path number_at = {at, key, DOC_PATH_NO_INDEX};
	json_t *value = json_object_get(object, key);

	if (value == NULL)
		return BUNDLE_NUMBER_OMITTED;
	if (json_is_integer(value))
		return MAX(
		    json_integer_value(value), BUNDLE_NUMBER_OMITTED + 1);
	problems_add(r->p, &number_at, "use an integer; " SEE_BUNDLE_DOCS,
	    "not an integer");
	return BUNDLE_NUMBER_OMITTED;
}

static void
read_service_number(struct bundle_reader *r, const struct number_rule *rule,
    json_t *object, const struct doc_path *at, void *m)
{
	struct doc_path number_at = {at, rule->key, DOC_PATH_NO_INDEX};
	int64_t n = bundle_read_number(r, rule->key, object, at);

	number_store(rule, m,
	    n == BUNDLE_NUMBER_OMITTED
		? rule->default_value
		: number_clamp(rule, n, &number_at, r->p));
}

/* Record unknown keys in a group of numbers. */
static void
check_number_keys(struct bundle_reader *r, const char *group, json_t *object,
    const struct doc_path *at)
{
	struct doc_path key_at = {at, NULL, DOC_PATH_NO_INDEX};
	const char *key;
	json_t *value;

	json_object_foreach(object, key, value)
	{
		key_at.key = key;
		if (number_rule_find(group, key) == NULL)
			problems_add(r->p, &key_at,
			    "remove it or correct its "
			    "spelling; " SEE_BUNDLE_DOCS,
			    "unknown key");
	}
}

/* Read the numbers of one group; NULL stands for the service itself. */
static void
read_group(struct bundle_reader *r, const char *group, json_t *service,
    const struct doc_path *at, struct msg_section *m)
{
	struct doc_path group_at = {at, group, DOC_PATH_NO_INDEX};
	const struct number_rule *rule;
	json_t *object = service;

	if (group != NULL)
		object = json_object_get(service, group);
	if (object != NULL && !json_is_object(object)) {
		problems_add(r->p, &group_at, "use an object; " SEE_BUNDLE_DOCS,
		    "not an object");
		object = NULL;
	}
	if (group != NULL && object != NULL)
		check_number_keys(r, group, object, &group_at);
	for (rule = number_rules; rule->key != NULL; rule++) {
		if (g_strcmp0(rule->group, group) == 0)
			read_service_number(
			    r, rule, object, group != NULL ? &group_at : at, m);
	}
}

static void
read_service_name(struct bundle_reader *r, json_t *service,
    const struct doc_path *at, struct draft *d)
{
	struct doc_path name_at = {at, "name", DOC_PATH_NO_INDEX};
	const char *name;

	name = json_require_string(service, "name", at, r->p);
	if (name == NULL)
		return;
	(void)name_id(NAME_OF_SERVICE, name, d->m.service);
	service_name_check(name, d->m.service, &name_at, r->p);
	if (g_hash_table_contains(r->by_name, d->m.service))
		problems_add(r->p, &name_at, "remove the duplicate",
		    "duplicate service %s", d->m.service);
	else
		g_hash_table_insert(r->by_name, d->m.service, d);
}

void
bundle_read_service(
    struct bundle_reader *r, json_t *service, const struct doc_path *at)
{
	static const char *const known[] = {
	    "name", "timeout_ms", "limits", "retry", "callers", NULL};
	struct draft *d;

	if (!json_is_object(service)) {
		problems_add(r->p, at,
		    "use an object for each service; " SEE_BUNDLE_DOCS,
		    "not an object");
		return;
	}
	d = g_new0(struct draft, 1);
	d->routes = g_array_new(FALSE, TRUE, sizeof(struct rec_section_route));
	g_ptr_array_add(r->drafts, d);
	json_check_keys(service, known, at, r->p);
	read_service_name(r, service, at, d);
	read_group(r, NULL, service, at, &d->m);
	read_group(r, "limits", service, at, &d->m);
	read_group(r, "retry", service, at, &d->m);
	read_group(r, "callers", service, at, &d->m);
}

bool
bundle_count_services(
    struct bundle_reader *r, size_t n, const struct doc_path *at)
{
	if (n == 0)
		problems_add(r->p, at,
		    "add at least one; to withdraw a version, halt or "
		    "supersede it",
		    "the bundle has no services");
	if (n > CONFIG_MAX_SERVICES)
		problems_add(r->p, at, "split the bundle",
		    "%zu services, the limit is %d", n, CONFIG_MAX_SERVICES);
	return n <= CONFIG_MAX_SERVICES;
}

static void
read_services(
    struct bundle_reader *r, json_t *services, const struct doc_path *at)
{
	struct doc_path item_at = {at, NULL, 0};
	json_t *service;
	size_t i;

	if (!bundle_count_services(r, json_array_size(services), at))
		return;
	json_array_foreach(services, i, service)
	{
		item_at.index = (uint32_t)i;
		bundle_read_service(r, service, &item_at);
	}
}

static void
read_format(struct bundle_reader *r, json_t *root)
{
	struct doc_path at = {NULL, "format", DOC_PATH_NO_INDEX};
	json_t *value = json_object_get(root, "format");

	if (!json_is_integer(value) ||
	    json_integer_value(value) != BUNDLE_FORMAT)
		problems_add(r->p, &at, "write \"format\": 1",
		    "only format %d is supported", BUNDLE_FORMAT);
}

void
bundle_read_name(struct bundle_reader *r, const char *name)
{
	struct doc_path at = {NULL, "name", DOC_PATH_NO_INDEX};

	if (name[0] == '\0')
		problems_add(r->p, &at, "use a-z, 0-9 and '-', a letter first",
		    "empty bundle name");
	else if (!service_name_conventional(name))
		problems_warn(r->p, &at, "use a-z, 0-9 and '-', a letter first",
		    "unconventional bundle name");
	(void)name_id(NAME_OF_SERVICE, name, r->name);
}

void
bundle_read(struct bundle_reader *r, json_t *root)
{
	static const char *const known[] = {
	    "format", "name", "services", "routes", "customers", NULL};
	struct doc_path services_at = {NULL, "services", DOC_PATH_NO_INDEX};
	struct doc_path routes_at = {NULL, "routes", DOC_PATH_NO_INDEX};
	struct doc_path customers_at = {NULL, "customers", DOC_PATH_NO_INDEX};
	const char *name;
	json_t *list;

	if (!json_is_object(root)) {
		problems_add(r->p, NULL, SEE_BUNDLE_DOCS,
		    "a bundle must be a JSON object");
		return;
	}
	json_check_keys(root, known, NULL, r->p);
	read_format(r, root);
	name = json_require_string(root, "name", NULL, r->p);
	if (name != NULL)
		bundle_read_name(r, name);
	list = json_require_array(root, "services", NULL, r->p);
	if (list != NULL)
		read_services(r, list, &services_at);
	list = json_require_array(root, "routes", NULL, r->p);
	if (list != NULL)
		bundle_read_routes(r, list, &routes_at);
	if (json_object_get(root, "customers") == NULL)
		return;
	list = json_require_array(root, "customers", NULL, r->p);
	if (list != NULL)
		bundle_read_customers(r, list, &customers_at);
}
