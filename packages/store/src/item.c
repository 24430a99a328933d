/*
 * Encodes and decodes rows as items of the table service.
 *
 * An attribute value is an object with one member: {"S": "text"}, {"N":
 * "decimal"} or {"B": "base64"}.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "item.h"

#define ITEM_HEAD "head"
#define ITEM_VERSION_PREFIX "version/"
#define ITEM_DECIMAL 10

static const char *const state_names[] = {"rolling", "halted"};

/* Writing */

static json_t *
item_string(const char *s)
{
	return json_pack("{s:s}", "S", s);
}

json_t *
item_number(uint64_t n)
{
	char text[sizeof("18446744073709551615")];

	(void)g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, n);
	return json_pack("{s:s}", "N", text);
}

static json_t *
item_binary(const uint8_t *data, size_t len)
{
	char *text = g_base64_encode(data, len);
	json_t *v = json_pack("{s:s}", "B", text);

	g_free(text);
	return v;
}

static json_t *
item_digest(const struct digest *d)
{
	char hex[DIGEST_HEX_BYTES];

	hash_digest_hex(d, hex);
	return item_string(hex);
}

json_t *
item_head_key(void)
{
	return json_pack("{s:o}", ITEM_KEY, item_string(ITEM_HEAD));
}

json_t *
item_version_key(uint64_t version)
{
	char *key =
	    g_strdup_printf(ITEM_VERSION_PREFIX "%" G_GUINT64_FORMAT, version);
	json_t *item = json_pack("{s:o}", ITEM_KEY, item_string(key));

	g_free(key);
	return item;
}

json_t *
item_from_head(const struct store_head *head)
{
	json_t *item = item_head_key();

	(void)json_object_set_new(item, ITEM_SEQ, item_number(head->seq));
	(void)json_object_set_new(item, "version", item_number(head->version));
	(void)json_object_set_new(
	    item, "in_force", item_number(head->in_force));
	(void)json_object_set_new(item, "parent", item_number(head->parent));
	(void)json_object_set_new(
	    item, "state", item_string(state_names[head->state]));
	(void)json_object_set_new(item, "root", item_digest(&head->root));
	(void)json_object_set_new(item, "op", item_string(head->op));
	return item;
}

json_t *
item_from_version(const struct store_version *v)
{
	json_t *item = item_version_key(v->version);

	(void)json_object_set_new(item, "version", item_number(v->version));
	(void)json_object_set_new(item, "parent", item_number(v->parent));
	(void)json_object_set_new(item, "wall_ms", item_number(v->wall_ms));
	(void)json_object_set_new(item, "root", item_digest(&v->root));
	(void)json_object_set_new(item, "op", item_string(v->op));
	(void)json_object_set_new(
	    item, "operator", item_string(v->operator_name));
	(void)json_object_set_new(item, "note", item_string(v->note));
	(void)json_object_set_new(
	    item, "changes", item_binary(v->changes, v->changes_bytes));
	return item;
}

/* Reading: each function returns whether the attribute exists and is valid. */

static const char *
item_text(const json_t *item, const char *name, const char *type)
{
	return json_string_value(
	    json_object_get(json_object_get(item, name), type));
}

static bool
parse_number(const char *s, uint64_t *n)
{
	char *end;

	if (s == NULL || !g_ascii_isdigit(s[0]))
		return false;
	errno = 0;
	*n = strtoull(s, &end, ITEM_DECIMAL);
	return errno == 0 && *end == '\0';
}

static bool
get_number(const json_t *item, const char *name, uint64_t *n)
{
	return parse_number(item_text(item, name, "N"), n);
}

static bool
get_string(const json_t *item, const char *name, char *out, size_t size)
{
	const char *s = item_text(item, name, "S");

	return s != NULL && g_strlcpy(out, s, size) < size;
}

static bool
get_digest(const json_t *item, const char *name, struct digest *d)
{
	const char *s = item_text(item, name, "S");

	return s != NULL && hash_digest_parse(s, d);
}

static bool
get_state(const json_t *item, enum store_state *state)
{
	const char *s = item_text(item, "state", "S");
	size_t i;

	for (i = 0; s != NULL && i < G_N_ELEMENTS(state_names); i++) {
		if (strcmp(s, state_names[i]) == 0) {
			*state = (enum store_state)i;
			return true;
		}
	}
	return false;
}

static bool
get_changes(const json_t *item, struct store_version *v)
{
	const char *s = item_text(item, "changes", "B");
	gsize len = 0;

	if (s == NULL)
		return false;
	v->changes = g_base64_decode(s, &len);
	v->changes_bytes = (uint32_t)len;
	return true;
}

static bool
is_head_key(const json_t *item)
{
	const char *s = item_text(item, ITEM_KEY, "S");

	return s != NULL && strcmp(s, ITEM_HEAD) == 0;
}

bool
item_to_head(const json_t *item, struct store_head *head)
{
	memset(head, 0, sizeof(*head));
	return is_head_key(item) && get_number(item, ITEM_SEQ, &head->seq) &&
	    get_number(item, "version", &head->version) &&
	    get_number(item, "in_force", &head->in_force) &&
	    get_number(item, "parent", &head->parent) &&
	    get_state(item, &head->state) &&
	    get_digest(item, "root", &head->root) &&
	    get_string(item, "op", head->op, sizeof(head->op));
}

bool
item_to_version_number(const json_t *item, uint64_t *version)
{
	const char *s = item_text(item, ITEM_KEY, "S");

	return s != NULL && g_str_has_prefix(s, ITEM_VERSION_PREFIX) &&
	    parse_number(s + strlen(ITEM_VERSION_PREFIX), version);
}

bool
item_to_version(const json_t *item, struct store_version *v)
{
	uint64_t key = 0;

	memset(v, 0, sizeof(*v));
	if (item_to_version_number(item, &key) &&
	    get_number(item, "version", &v->version) && v->version == key &&
	    get_number(item, "parent", &v->parent) &&
	    get_number(item, "wall_ms", &v->wall_ms) &&
	    get_digest(item, "root", &v->root) &&
	    get_string(item, "op", v->op, sizeof(v->op)) &&
	    get_string(
		item, "operator", v->operator_name, sizeof(v->operator_name)) &&
	    get_string(item, "note", v->note, sizeof(v->note)) &&
	    get_changes(item, v))
		return true;
	item_version_clear(v);
	return false;
}

void
item_version_clear(struct store_version *v)
{
	g_free((void *)v->changes);
	v->changes = NULL;
	v->changes_bytes = 0;
}
