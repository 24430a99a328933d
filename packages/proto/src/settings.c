/*
 * Settings, parsed with jansson and validated against the generated table.
 */
#include <stdbool.h>
#include <string.h>

#include <jansson.h>

#include "base/name_id.h"
#include "proto/settings.h"
#include "proto/settings_key.h"
#include "proto/suggest.h"

#define MS_PER_S 1000

/* Context of a parse: the file's name and the list of errors. */
struct parse {
	const char *file;
	GPtrArray *errors;
};

static void add_error(struct parse *p, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
add_error(struct parse *p, const char *fmt, ...)
{
	GString *text = g_string_new(NULL);
	va_list ap;

	g_string_printf(text, "%s: ", p->file);
	va_start(ap, fmt);
	g_string_append_vprintf(text, fmt, ap);
	va_end(ap);
	g_ptr_array_add(p->errors, g_string_free(text, FALSE));
}

static void *
field(struct settings *s, uint32_t offset)
{
	return (char *)s + offset;
}

static const void *
field_const(const struct settings *s, uint32_t offset)
{
	return (const char *)s + offset;
}

static void
store_number(struct settings *s, const struct settings_key *k, uint32_t v)
{
	uint16_t port = (uint16_t)v;

	if (k->type == SETTINGS_PORT)
		memcpy(field(s, k->offset), &port, sizeof(port));
	else
		memcpy(field(s, k->offset), &v, sizeof(v));
}

static uint32_t
load_number(const struct settings *s, const struct settings_key *k)
{
	uint16_t port;
	uint32_t v;

	memcpy(&port, field_const(s, k->offset), sizeof(port));
	if (k->type == SETTINGS_PORT)
		return port;
	memcpy(&v, field_const(s, k->offset), sizeof(v));
	return v;
}

static void
store_text(struct settings *s, const struct settings_key *k, const char *text)
{
	memcpy(field(s, k->offset), &text, sizeof(text));
}

static void
set_defaults(struct settings *s)
{
	const struct settings_key *k;
	uint32_t i;

	memset(s, 0, sizeof(*s));
	for (i = 0; i < n_settings_keys; i++) {
		k = &settings_keys[i];
		if (k->type == SETTINGS_PORT || k->type == SETTINGS_NUMBER ||
		    k->type == SETTINGS_CHOICE)
			store_number(s, k, k->initial);
		else if (k->type == SETTINGS_SERVICE)
			store_text(s, k, "");
	}
}

/* Parses a time like "1500ms" or "2.5s"; returns -1 if it is invalid. */
static json_int_t
time_ms(const char *text)
{
	char *unit;
	double n = g_ascii_strtod(text, &unit);

	if (unit == text || !(n >= 0) || n > UINT32_MAX)
		return -1;
	if (strcmp(unit, "ms") == 0)
		return (json_int_t)n;
	return strcmp(unit, "s") == 0 ? (json_int_t)(n * MS_PER_S) : -1;
}

static int
set_number(struct settings *s, const struct settings_key *k, const json_t *v)
{
	bool is_time = json_is_string(v) && g_str_has_suffix(k->name, "_ms");
	bool is_rate = json_is_real(v) && g_str_has_suffix(k->name, "_mbps");
	json_int_t n = is_time ? time_ms(json_string_value(v))
			       : (json_int_t)json_number_value(v);

	if ((!is_time && !is_rate && !json_is_integer(v)) ||
	    n < (json_int_t)k->min || n > (json_int_t)k->max)
		return 0;
	store_number(s, k, (uint32_t)n);
	return 1;
}

/* Accepts a port, or an address with a port, of which only the port is used. */
static int
set_port(struct settings *s, const struct settings_key *k, const json_t *v)
{
	const char *text = json_string_value(v);
	struct net_addr addr;

	if (text == NULL)
		return set_number(s, k, v);
	if (addr_parse(text, &addr) != STATUS_OK || addr.port == 0)
		return 0;
	store_number(s, k, addr.port);
	return 1;
}

static int
set_choice(struct settings *s, const struct settings_key *k, const char *text)
{
	uint32_t i;

	for (i = 0; i < k->n_choices; i++) {
		if (strcmp(text, k->choices[i]) == 0) {
			store_number(s, k, i);
			return 1;
		}
	}
	return 0;
}

static int
set_name(struct settings *s, const struct settings_key *k, const char *text)
{
	if (text[0] == '\0')
		return 0;
	(void)name_id(NAME_OF_HOST, text, field(s, k->offset));
	return 1;
}

/* Whether a text can be the value of an HTTP header. */
static bool
fits_header(const char *text)
{
	size_t i, len = strlen(text);

	for (i = 0; i < len; i++)
		if (g_ascii_iscntrl(text[i]))
			return false;
	return len == 0 || (text[0] != ' ' && text[len - 1] != ' ');
}

static int
set_service(struct settings *s, const struct settings_key *k, const char *text)
{
	if (!fits_header(text))
		return 0;
	store_text(s, k, g_intern_string(text));
	return 1;
}

static int
set_url(struct settings *s, const struct settings_key *k, const char *text)
{
	const char *host = strstr(text, "://");
	size_t i, len = strlen(text);

	if (!g_str_has_prefix(text, "http://") &&
	    !g_str_has_prefix(text, "https://"))
		return 0;
	if (len >= SETTINGS_URL_BYTES || host[strlen("://")] == '\0')
		return 0;
	for (i = 0; i < len; i++)
		if (!g_ascii_isgraph(text[i]))
			return 0;
	memcpy(field(s, k->offset), text, len + 1);
	return 1;
}

/* Rejects 0.0.0.0, to which peers cannot connect. */
static int
set_ipv4(struct settings *s, const struct settings_key *k, const char *text)
{
	uint32_t ip;

	if (addr_parse_ip(text, &ip) != STATUS_OK || ip == 0)
		return 0;
	memcpy(field(s, k->offset), &ip, sizeof(ip));
	return 1;
}

static int
set_addresses(struct settings *s, const struct settings_key *k, const json_t *v)
{
	struct net_addr *list = field(s, k->offset);
	uint32_t n = (uint32_t)json_array_size(v);
	const json_t *item;
	uint32_t i;

	if (!json_is_array(v) || json_array_size(v) > k->max)
		return 0;
	for (i = 0; i < n; i++) {
		item = json_array_get(v, i);
		if (!json_is_string(item) ||
		    addr_parse(json_string_value(item), &list[i]) != STATUS_OK)
			return 0;
	}
	memcpy(field(s, k->count_offset), &n, sizeof(n));
	return 1;
}

static int
set_texts(struct settings *s, const struct settings_key *k, const json_t *v)
{
	char(*list)[SETTINGS_TEXT_BYTES] = field(s, k->offset);
	uint32_t n = (uint32_t)json_array_size(v);
	const char *text;
	uint32_t i;

	if (!json_is_array(v) || json_array_size(v) > k->max)
		return 0;
	for (i = 0; i < n; i++) {
		text = json_string_value(json_array_get(v, i));
		if (text == NULL || *text == '\0' ||
		    strlen(text) >= SETTINGS_TEXT_BYTES)
			return 0;
		(void)g_strlcpy(list[i], text, SETTINGS_TEXT_BYTES);
	}
	memcpy(field(s, k->count_offset), &n, sizeof(n));
	return 1;
}

static int
add_name(struct settings *s, const struct settings_key *k, const char *name)
{
	char(*list)[NAME_ID_BYTES] = field(s, k->offset);
	uint32_t n;

	memcpy(&n, field_const(s, k->count_offset), sizeof(n));
	if (name == NULL || name[0] == '\0' || n >= k->max)
		return 0;
	(void)name_id(NAME_OF_HOST, name, list[n]);
	n++;
	memcpy(field(s, k->count_offset), &n, sizeof(n));
	return 1;
}

/* Names are the elements of a list, or the keys of an object. */
static int
set_names(struct settings *s, const struct settings_key *k, json_t *v)
{
	const char *name;
	json_t *item;
	size_t i;

	if (!json_is_array(v) && !json_is_object(v))
		return 0;
	json_array_foreach(v, i, item)
	{
		if (!add_name(s, k, json_string_value(item)))
			return 0;
	}
	json_object_foreach(v, name, item)
	{
		if (!add_name(s, k, name))
			return 0;
	}
	return 1;
}

/* Stores a value; returns 0 when the value is not valid for the key. */
static int
set_value(struct settings *s, const struct settings_key *k, const json_t *v)
{
	const char *text = json_string_value(v);

	switch (k->type) {
	case SETTINGS_PORT:
		return set_port(s, k, v);
	case SETTINGS_NUMBER:
		return set_number(s, k, v);
	case SETTINGS_TEXTS:
		return set_texts(s, k, v);
	case SETTINGS_NAMES:
		return set_names(s, k, (json_t *)v);
	case SETTINGS_SERVICE:
		return text != NULL && set_service(s, k, text);
	case SETTINGS_ADDRESSES:
		return set_addresses(s, k, v);
	case SETTINGS_CHOICE:
		return text != NULL && set_choice(s, k, text);
	case SETTINGS_NAME:
		return text != NULL && set_name(s, k, text);
	case SETTINGS_URL:
		return text != NULL && set_url(s, k, text);
	case SETTINGS_IPV4:
		return text != NULL && set_ipv4(s, k, text);
	}
	return 0;
}

static void
check_key(struct parse *p, struct settings *s, const struct settings_key *k,
    const json_t *root)
{
	const json_t *v = json_object_get(root, k->name);
	char *dumped;

	if (v == NULL && k->required)
		add_error(p, "key \"%s\" is missing: expected %s; %s.", k->name,
		    k->expected, k->remedy);
	if (v == NULL || set_value(s, k, v))
		return;
	dumped = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);
	add_error(p, "key \"%s\" is %.80s: expected %s; %s.", k->name,
	    dumped != NULL ? dumped : "?", k->expected, k->remedy);
	free(dumped);
}

static const char *
key_name(uint32_t i)
{
	return settings_keys[i].name;
}

static void
check_unknown(struct parse *p, json_t *root)
{
	const char *name, *nearest;
	json_t *v;

	json_object_foreach(root, name, v)
	{
		nearest = suggest_nearest(name, key_name, n_settings_keys);
		if (nearest != NULL && strcmp(nearest, name) == 0)
			continue;
		if (nearest != NULL)
			add_error(p,
			    "key \"%.80s\" is unknown: rename it to \"%s\", "
			    "or remove it.",
			    name, nearest);
		else
			add_error(p,
			    "key \"%.80s\" is unknown: remove it; the known "
			    "keys are in docs/SETTINGS.md.",
			    name);
	}
}

/* Checks rules that involve several keys. */
static void
check_consistency(struct parse *p, const struct settings *s)
{
	const struct {
		const char *key;
		uint16_t port;
	} ports[] = {{"caller_port", s->caller_port},
	    {"peer_port", s->peer_port}, {"call_port", s->call_port},
	    {"admin_port", s->admin_port}, {"ready_port", s->ready_port},
	    {"upstream_port", s->upstream_port}};
	size_t n = G_N_ELEMENTS(ports);
	size_t a, b;

	/* The last two ports are used only with an adapter. */
	if (s->adapter == SETTINGS_ADAPTER_NONE)
		n -= 2;

	for (a = 0; a < n; a++)
		for (b = a + 1; b < n; b++)
			if (ports[a].port == ports[b].port)
				add_error(p,
				    "keys \"%s\" and \"%s\" are both %u: "
				    "expected different ports; change one.",
				    ports[a].key, ports[b].key, ports[a].port);
	if (s->probe_timeout_ms >= s->probe_interval_ms)
		add_error(p,
		    "key \"probe_timeout_ms\" is %u: expected less than "
		    "probe_interval_ms, which is %u; lower the first or raise "
		    "the second.",
		    s->probe_timeout_ms, s->probe_interval_ms);
}

static void
add_syntax_error(struct parse *p, const json_error_t *e, const char *remedy)
{
	add_error(p, "line %d, column %d: %s: expected a JSON object; %s.",
	    e->line, e->column, e->text, remedy);
}

/* Parses the JSON.  After a duplicate key parsing continues, so that the other
 * errors are reported too. */
static json_t *
parse_object(struct parse *p, const char *text, size_t len)
{
	json_error_t e;
	json_t *root;

	root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &e);
	if (root == NULL && json_error_code(&e) == json_error_duplicate_key) {
		add_syntax_error(p, &e, "remove one of the two");
		root = json_loadb(text, len, 0, &e);
	}
	if (root == NULL) {
		add_syntax_error(p, &e, "correct the JSON at this position");
		return NULL;
	}
	if (json_is_object(root))
		return root;
	json_decref(root);
	add_error(p,
	    "the top level is not an object: expected a JSON object; "
	    "enclose the keys in { and }.");
	return NULL;
}

static enum status
parse_status(const struct parse *p, guint n_before)
{
	guint n = p->errors->len - n_before;

	if (n == 0)
		return STATUS_OK;
	return status_set(STATUS_INVALID, "%s (%u error%s in all)",
	    (const char *)g_ptr_array_index(p->errors, n_before), n,
	    n == 1 ? "" : "s");
}

static void
parse_into(struct parse *p, const char *text, size_t len, struct settings *s)
{
	json_t *root = parse_object(p, text, len);
	uint32_t i;

	if (root == NULL)
		return;
	check_unknown(p, root);
	for (i = 0; i < n_settings_keys; i++)
		check_key(p, s, &settings_keys[i], root);
	check_consistency(p, s);
	json_decref(root);
}

enum status
settings_parse(const char *text, size_t len, const char *name,
    struct settings *s, GPtrArray *errors)
{
	struct parse p = {name, NULL};
	enum status st;
	guint n_before;

	p.errors = errors != NULL ? g_ptr_array_ref(errors)
				  : g_ptr_array_new_with_free_func(g_free);
	n_before = p.errors->len;
	set_defaults(s);
	parse_into(&p, text, len, s);
	st = parse_status(&p, n_before);
	g_ptr_array_unref(p.errors);
	return st;
}

enum status
settings_load(const char *path, struct settings *s, GPtrArray *errors)
{
	GError *error = NULL;
	enum status st;
	gsize len = 0;
	char *text;

	set_defaults(s);
	if (g_file_get_contents(path, &text, &len, &error)) {
		st = settings_parse(text, len, path, s, errors);
		g_free(text);
		return st;
	}
	st = status_set(STATUS_IO,
	    "%s: can't be read: expected a JSON file; %s. Check the path and "
	    "its permissions.",
	    path, error->message);
	if (errors != NULL)
		g_ptr_array_add(errors, g_strdup(status_message()));
	g_error_free(error);
	return st;
}

static json_t *
print_addresses(const struct settings *s, const struct settings_key *k)
{
	const struct net_addr *list = field_const(s, k->offset);
	char text[ADDR_TEXT_BYTES];
	json_t *array = json_array();
	uint32_t i, n;

	memcpy(&n, field_const(s, k->count_offset), sizeof(n));
	for (i = 0; i < n; i++)
		(void)json_array_append_new(
		    array, json_string(addr_format(&list[i], text)));
	return array;
}

/* Prints a list of texts, each in a place of @size bytes. */
static json_t *
print_list(const struct settings *s, const struct settings_key *k, size_t size)
{
	const char *list = field_const(s, k->offset);
	json_t *array = json_array();
	uint32_t i, n;

	memcpy(&n, field_const(s, k->count_offset), sizeof(n));
	for (i = 0; i < n; i++)
		(void)json_array_append_new(
		    array, json_string(list + i * size));
	return array;
}

static json_t *
print_service(const struct settings *s, const struct settings_key *k)
{
	const char *name;

	memcpy(&name, field_const(s, k->offset), sizeof(name));
	return json_string(name);
}

static json_t *
print_value(const struct settings *s, const struct settings_key *k)
{
	char text[ADDR_TEXT_BYTES];

	switch (k->type) {
	case SETTINGS_SERVICE:
		return print_service(s, k);
	case SETTINGS_NAME:
	case SETTINGS_URL:
		return json_string(field_const(s, k->offset));
	case SETTINGS_IPV4:
		return json_string(addr_format_ip(load_number(s, k), text));
	case SETTINGS_CHOICE:
		return json_string(k->choices[load_number(s, k)]);
	case SETTINGS_ADDRESSES:
		return print_addresses(s, k);
	case SETTINGS_TEXTS:
		return print_list(s, k, SETTINGS_TEXT_BYTES);
	case SETTINGS_NAMES:
		return print_list(s, k, NAME_ID_BYTES);
	default:
		return json_integer(load_number(s, k));
	}
}

void
settings_print(const struct settings *s, GString *out)
{
	json_t *root = json_object();
	uint32_t i;
	char *text;

	for (i = 0; i < n_settings_keys; i++)
		(void)json_object_set_new(root, settings_keys[i].name,
		    print_value(s, &settings_keys[i]));
	text = json_dumps(root, JSON_INDENT(2));
	g_string_append(out, text);
	g_string_append_c(out, '\n');
	free(text);
	json_decref(root);
}
