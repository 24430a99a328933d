/*
 * Table service of the stand-in platform.
 */
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "standins/rows.h"

#define ROWS_TARGET_PREFIX "DynamoDB_20120810."
#define ROWS_ERROR_PREFIX "com.amazonaws.dynamodb.v20120810#"
#define ROWS_OK 200
#define ROWS_BAD_REQUEST 400

struct rows {
	GHashTable *by_key;
};

/* Request checks return ROWS_NO_ERROR or the text of the error. */
#define ROWS_NO_ERROR NULL

static void
row_free(gpointer p)
{
	json_decref(p);
}

struct rows *
rows_new(void)
{
	struct rows *t = g_new0(struct rows, 1);

	t->by_key =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, row_free);
	return t;
}

struct rows *
rows_copy(const struct rows *t)
{
	struct rows *copy = rows_new();
	GHashTableIter it;
	gpointer key, row;

	g_hash_table_iter_init(&it, t->by_key);
	while (g_hash_table_iter_next(&it, &key, &row))
		g_hash_table_insert(
		    copy->by_key, g_strdup(key), json_incref(row));
	return copy;
}

json_t *
rows_missing(const struct rows *t, const struct rows *other)
{
	json_t *list = json_array();
	GHashTableIter it;
	gpointer key, row;

	g_hash_table_iter_init(&it, t->by_key);
	while (g_hash_table_iter_next(&it, &key, &row))
		if (!g_hash_table_contains(other->by_key, key))
			(void)json_array_append(list, row);
	return list;
}

void
rows_free(struct rows *t)
{
	if (t == NULL)
		return;
	g_hash_table_destroy(t->by_key);
	g_free(t);
}

size_t
rows_count(const struct rows *t)
{
	return g_hash_table_size(t->by_key);
}

enum rows_op
rows_op_parse(const char *target)
{
	const char *name;

	if (target == NULL || !g_str_has_prefix(target, ROWS_TARGET_PREFIX))
		return ROWS_OP_UNKNOWN;
	name = target + strlen(ROWS_TARGET_PREFIX);
	if (strcmp(name, "GetItem") == 0)
		return ROWS_OP_GET;
	if (strcmp(name, "BatchGetItem") == 0)
		return ROWS_OP_BATCH_GET;
	if (strcmp(name, "TransactWriteItems") == 0)
		return ROWS_OP_TRANSACT_WRITE;
	return ROWS_OP_UNKNOWN;
}

static json_t *
rows_batch_keys(const json_t *req)
{
	return json_object_get(
	    json_object_get(json_object_get(req, "RequestItems"), ROWS_TABLE),
	    "Keys");
}

uint32_t
rows_capacity(enum rows_op op, const json_t *req)
{
	size_t n = 1;

	if (op == ROWS_OP_BATCH_GET)
		n = json_array_size(rows_batch_keys(req));
	else if (op == ROWS_OP_TRANSACT_WRITE)
		n = json_array_size(json_object_get(req, "TransactItems"));
	return n == 0 ? 1 : (uint32_t)n;
}

void
rows_error(
    int code, const char *kind, const char *message, struct rows_response *resp)
{
	resp->code = code;
	resp->body = json_pack("{s:o,s:s}", "__type",
	    json_sprintf(ROWS_ERROR_PREFIX "%s", kind), "message", message);
}

static void
rows_invalid(const char *message, struct rows_response *resp)
{
	rows_error(ROWS_BAD_REQUEST, "ValidationException", message, resp);
}

/* The key, or NULL if the item has no {"pk": {"S": text}}. */
static const char *
row_key(const json_t *item)
{
	const char *s = json_string_value(
	    json_object_get(json_object_get(item, ROWS_KEY), "S"));

	return s != NULL && s[0] != '\0' ? s : NULL;
}

static int
number_valid(const char *s)
{
	char *end;

	if (s[0] == '\0' || strlen(s) > 40)
		return 0;
	(void)g_ascii_strtod(s, &end);
	return *end == '\0' && strpbrk(s, "xXnNiI ") == NULL;
}

static int
binary_valid(const char *s)
{
	static const char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				       "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(s);
	size_t n = strspn(s, alphabet);

	return len % 4 == 0 && len - n <= 2 && strspn(s + n, "=") == len - n;
}

/* An attribute value is an object with one member: type -> text. */
static int
value_valid(const json_t *v)
{
	const char *s, *type;

	if (!json_is_object(v) || json_object_size(v) != 1)
		return 0;
	type = json_object_iter_key(json_object_iter((json_t *)v));
	s = json_string_value(json_object_get(v, type));
	if (s == NULL)
		return 0;
	if (strcmp(type, "S") == 0)
		return 1;
	if (strcmp(type, "N") == 0)
		return number_valid(s);
	return strcmp(type, "B") == 0 && binary_valid(s);
}

static const char *
item_error(json_t *item)
{
	const char *name;
	json_t *v;
	size_t size = 0;

	if (row_key(item) == NULL)
		return "One of the required keys was not given a value";
	json_object_foreach(item, name, v)
	{
		if (!value_valid(v))
			return "Supplied AttributeValue is not valid";
		size += strlen(name) +
		    strlen(json_string_value(
			json_object_iter_value(json_object_iter(v))));
	}
	if (size > ROWS_ITEM_MAX_BYTES)
		return "Item size has exceeded the maximum allowed size";
	return ROWS_NO_ERROR;
}

static const char *
table_error(const json_t *req)
{
	const char *name = json_string_value(json_object_get(req, "TableName"));

	if (name == NULL || strcmp(name, ROWS_TABLE) != 0)
		return "Requested resource not found: no such table";
	return ROWS_NO_ERROR;
}

static void
rows_get(struct rows *t, const json_t *req, struct rows_response *resp)
{
	const char *key = row_key(json_object_get(req, "Key"));
	json_t *item;

	if (key == NULL) {
		rows_invalid("The provided key element does not match", resp);
		return;
	}
	if (table_error(req) != ROWS_NO_ERROR) {
		rows_error(ROWS_BAD_REQUEST, "ResourceNotFoundException",
		    table_error(req), resp);
		return;
	}
	item = g_hash_table_lookup(t->by_key, key);
	resp->code = ROWS_OK;
	resp->body = json_object();
	if (item != NULL)
		json_object_set(resp->body, "Item", item);
}

static const char *
batch_error(json_t *keys)
{
	GHashTable *seen;
	const char *error = ROWS_NO_ERROR;
	const char *key;
	json_t *k;
	size_t i;

	if (json_array_size(keys) == 0)
		return "RequestItems must name keys of the table " ROWS_TABLE;
	if (json_array_size(keys) > ROWS_BATCH_MAX)
		return "Too many items requested for the BatchGetItem call";
	seen = g_hash_table_new(g_str_hash, g_str_equal);
	json_array_foreach(keys, i, k)
	{
		key = row_key(k);
		if (key == NULL)
			error = "The provided key element does not match";
		else if (!g_hash_table_add(seen, (gpointer)key))
			error = "Provided list of item keys has duplicates";
	}
	g_hash_table_destroy(seen);
	return error;
}

static void
rows_batch_get(struct rows *t, const json_t *req, struct rows_response *resp)
{
	const char *error;
	json_t *found, *item, *k;
	json_t *keys = rows_batch_keys(req);
	size_t i;

	error = batch_error(keys);
	if (error != ROWS_NO_ERROR) {
		rows_invalid(error, resp);
		return;
	}
	found = json_array();
	json_array_foreach(keys, i, k)
	{
		item = g_hash_table_lookup(t->by_key, row_key(k));
		if (item != NULL)
			json_array_append(found, item);
	}
	resp->code = ROWS_OK;
	resp->body = json_pack("{s:{s:o},s:{}}", "Responses", ROWS_TABLE, found,
	    "UnprocessedKeys");
}

/* Two conditions are supported: attribute_not_exists(pk) and #c = :c. */
static int
is_not_exists_condition(const char *condition)
{
	return strcmp(condition, "attribute_not_exists(" ROWS_KEY ")") == 0;
}

/*
 * Parse "#c = :c" into attribute name and expected value; 0 for any other
 * expression.
 */
static int
parse_equals_condition(const json_t *put, const char *condition,
    const char **name, const json_t **expected)
{
	char **part = g_strsplit(condition, " = ", 2);
	int ok = 0;

	if (part[0] != NULL && part[1] != NULL && part[0][0] == '#' &&
	    part[1][0] == ':') {
		*name = json_string_value(json_object_get(
		    json_object_get(put, "ExpressionAttributeNames"), part[0]));
		*expected = json_object_get(
		    json_object_get(put, "ExpressionAttributeValues"), part[1]);
		ok = *name != NULL && value_valid(*expected);
	}
	g_strfreev(part);
	return ok;
}

static const char *
put_error(const json_t *put)
{
	const char *condition, *error, *name;
	const json_t *expected;

	if (!json_is_object(put))
		return "TransactItems can only contain Put";
	error = table_error(put);
	if (error != ROWS_NO_ERROR)
		return error;
	error = item_error(json_object_get(put, "Item"));
	if (error != ROWS_NO_ERROR)
		return error;
	condition =
	    json_string_value(json_object_get(put, "ConditionExpression"));
	if (condition == NULL) {
		if (json_object_get(put, "ConditionExpression") != NULL)
			return "Invalid ConditionExpression";
		return ROWS_NO_ERROR;
	}
	if (is_not_exists_condition(condition) ||
	    parse_equals_condition(put, condition, &name, &expected))
		return ROWS_NO_ERROR;
	return "Invalid ConditionExpression";
}

static int
put_condition_holds(const struct rows *t, const json_t *put)
{
	const char *condition =
	    json_string_value(json_object_get(put, "ConditionExpression"));
	const char *name;
	const json_t *current, *expected;

	if (condition == NULL)
		return 1;
	current = g_hash_table_lookup(
	    t->by_key, row_key(json_object_get(put, "Item")));
	if (is_not_exists_condition(condition))
		return current == NULL;
	if (!parse_equals_condition(put, condition, &name, &expected))
		return 0;
	return json_equal(json_object_get(current, name), expected);
}

static const char *
transaction_error(json_t *list)
{
	GHashTable *seen;
	const char *error = ROWS_NO_ERROR;
	json_t *entry, *put;
	size_t i;

	if (json_array_size(list) == 0 ||
	    json_array_size(list) > ROWS_BATCH_MAX)
		return "TransactItems must hold 1 to 100 items";
	seen = g_hash_table_new(g_str_hash, g_str_equal);
	json_array_foreach(list, i, entry)
	{
		put = json_object_get(entry, "Put");
		error = put_error(put);
		if (error != ROWS_NO_ERROR)
			break;
		if (!g_hash_table_add(seen,
			(gpointer)row_key(json_object_get(put, "Item")))) {
			error = "Transaction request cannot include multiple "
				"operations on one item";
			break;
		}
	}
	g_hash_table_destroy(seen);
	return error;
}

/* One reason per item; sets *cancelled if a condition does not hold. */
static json_t *
transaction_reasons(const struct rows *t, json_t *list, int *cancelled)
{
	json_t *entry, *reasons;
	size_t i;

	*cancelled = 0;
	reasons = json_array();
	json_array_foreach(list, i, entry)
	{
		if (put_condition_holds(t, json_object_get(entry, "Put"))) {
			json_array_append_new(
			    reasons, json_pack("{s:s}", "Code", "None"));
			continue;
		}
		*cancelled = 1;
		json_array_append_new(reasons,
		    json_pack("{s:s,s:s}", "Code", "ConditionalCheckFailed",
			"Message", "The conditional request failed"));
	}
	return reasons;
}

static void
rows_transact_write(
    struct rows *t, const json_t *req, struct rows_response *resp)
{
	const char *error;
	int cancelled;
	json_t *item, *entry, *reasons;
	json_t *list = json_object_get(req, "TransactItems");
	size_t i;

	error = transaction_error(list);
	if (error != ROWS_NO_ERROR) {
		rows_invalid(error, resp);
		return;
	}
	reasons = transaction_reasons(t, list, &cancelled);
	if (cancelled) {
		rows_error(ROWS_BAD_REQUEST, "TransactionCanceledException",
		    "Transaction cancelled, see CancellationReasons", resp);
		json_object_set_new(resp->body, "CancellationReasons", reasons);
		return;
	}
	json_decref(reasons);
	json_array_foreach(list, i, entry)
	{
		item = json_object_get(json_object_get(entry, "Put"), "Item");
		g_hash_table_replace(
		    t->by_key, g_strdup(row_key(item)), json_deep_copy(item));
	}
	resp->code = ROWS_OK;
	resp->body = json_object();
}

void
rows_apply(struct rows *t, enum rows_op op, const json_t *req,
    struct rows_response *resp)
{
	if (!json_is_object(req)) {
		rows_error(ROWS_BAD_REQUEST, "SerializationException",
		    "The request is no JSON object", resp);
		return;
	}
	switch (op) {
	case ROWS_OP_GET:
		rows_get(t, req, resp);
		break;
	case ROWS_OP_BATCH_GET:
		rows_batch_get(t, req, resp);
		break;
	case ROWS_OP_TRANSACT_WRITE:
		rows_transact_write(t, req, resp);
		break;
	case ROWS_OP_UNKNOWN:
		rows_error(ROWS_BAD_REQUEST, "UnknownOperationException",
		    "The operation is not of the subset", resp);
		break;
	}
}
