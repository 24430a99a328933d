/*
 * Operations of the store that accesses the platform over HTTP.
 */
#include <glib.h>
#include <jansson.h>

#include "item.h"
#include "store/http_store.h"
#include "store_call.h"

#define STORE_TABLE "bramley"

static enum status
row_malformed(const char *row)
{
	return status_set(
	    STATUS_UNAVAILABLE, "The %s is malformed; restore it.", row);
}

/* Head row */

static enum status
head_parse(const json_t *json, struct store_head *head)
{
	const json_t *item = json_object_get(json, "Item");

	if (item == NULL)
		return status_set(STATUS_NOT_FOUND,
		    "There is no head row; sign off a first version.");
	if (!item_to_head(item, head))
		return row_malformed("head row");
	return STATUS_OK;
}

static enum status
end_read_head(struct store_call *call, const struct answer *a)
{
	struct store_head head;
	json_t *json = NULL;
	enum status st;

	if (call->too_large)
		st = store_call_too_large(call);
	else
		st = answer_to_read(a, &json);
	if (st == STATUS_OK)
		st = head_parse(json, &head);
	json_decref(json);
	call->fn.head(st, st == STATUS_OK ? &head : NULL, call->arg);
	return st;
}

static void
http_read_head(
    struct store *base, uint64_t deadline_ms, store_head_fn *fn, void *arg)
{
	struct store_call *call =
	    store_call_new(base, end_read_head, false, arg);

	call->fn.head = fn;
	store_call_table(call, "GetItem",
	    json_pack("{s:s,s:o,s:b}", "TableName", STORE_TABLE, "Key",
		item_head_key(), "ConsistentRead", 1),
	    1, deadline_ms);
}

/* Version rows */

static gint
version_compare(gconstpointer a, gconstpointer b)
{
	const struct store_version *x = a;
	const struct store_version *y = b;

	return (x->version > y->version) - (x->version < y->version);
}

static void
version_clear(gpointer v)
{
	item_version_clear(v);
}

static const json_t *
in_table(const json_t *json, const char *member)
{
	return json_object_get(json_object_get(json, member), STORE_TABLE);
}

/* The answer covers the versions before the first unprocessed one. */
static enum status
versions_covered(
    const struct store_call *call, const json_t *json, uint64_t *upto)
{
	const json_t *keys =
	    json_object_get(in_table(json, "UnprocessedKeys"), "Keys");
	uint64_t version = 0;
	size_t i;

	*upto = call->to;
	for (i = 0; i < json_array_size(keys); i++) {
		if (!item_to_version_number(json_array_get(keys, i), &version))
			return row_malformed("list of unprocessed rows");
		if (version <= call->from)
			return status_set(STATUS_UNAVAILABLE,
			    "The platform read none of the rows; try again "
			    "later.");
		*upto = MIN(*upto, version - 1);
	}
	return STATUS_OK;
}

static enum status
versions_parse(const struct store_call *call, const json_t *json, uint64_t upto,
    GArray *rows)
{
	const json_t *items = in_table(json, "Responses");
	struct store_version v;
	size_t i;

	if (!json_is_array(items))
		return row_malformed("list of version rows");
	for (i = 0; i < json_array_size(items); i++) {
		if (!item_to_version(json_array_get(items, i), &v))
			return row_malformed("version row");
		if (v.version < call->from || v.version > upto)
			item_version_clear(&v);
		else
			g_array_append_val(rows, v);
	}
	g_array_sort(rows, version_compare);
	for (i = 1; i < rows->len; i++)
		if (g_array_index(rows, struct store_version, i).version ==
		    g_array_index(rows, struct store_version, i - 1).version)
			return row_malformed("list of version rows");
	return STATUS_OK;
}

static enum status
end_read_versions(struct store_call *call, const struct answer *a)
{
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct store_version));
	uint64_t upto = 0;
	json_t *json = NULL;
	enum status st;

	g_array_set_clear_func(rows, version_clear);
	if (call->too_large)
		st = store_call_too_large(call);
	else
		st = answer_to_read(a, &json);
	if (st == STATUS_OK)
		st = versions_covered(call, json, &upto);
	if (st == STATUS_OK)
		st = versions_parse(call, json, upto, rows);
	json_decref(json);
	if (st == STATUS_OK)
		call->fn.versions(st, (struct store_version *)rows->data,
		    rows->len, upto, call->arg);
	else
		call->fn.versions(st, NULL, 0, 0, call->arg);
	g_array_unref(rows);
	return st;
}

static void
http_read_versions(struct store *base, uint64_t from, uint64_t to,
    uint64_t deadline_ms, store_versions_fn *fn, void *arg)
{
	struct store_call *call =
	    store_call_new(base, end_read_versions, false, arg);
	json_t *keys = json_array();
	uint64_t i, n;

	n = to < from ? 1 : MIN(to - from, STORE_VERSIONS_MAX - 1) + 1;
	call->fn.versions = fn;
	call->from = from;
	call->to = from + n - 1;
	for (i = 0; i < n; i++)
		(void)json_array_append_new(keys, item_version_key(from + i));
	store_call_table(call, "BatchGetItem",
	    json_pack("{s:{s:{s:o,s:b}}}", "RequestItems", STORE_TABLE, "Keys",
		keys, "ConsistentRead", 1),
	    (uint32_t)n, deadline_ms);
}

/* Transactions */

static enum status
end_transact(struct store_call *call, const struct answer *a)
{
	enum store_conflict conflict = STORE_CONFLICT_NONE;
	enum status st;

	if (call->rejected != STATUS_OK)
		st = status_set(call->rejected,
		    "Rows can't be written; a version's list of changes may "
		    "have at most %u bytes, and texts must be UTF-8.",
		    STORE_CHANGES_MAX_BYTES);
	else
		st = answer_to_write(a, &conflict);
	call->fn.write(st, conflict, call->arg);
	return st;
}

static enum status
write_check(const struct store_write *w)
{
	const struct store_version *v = w->version;

	if (w->head->seq <= w->expected_seq ||
	    !g_utf8_validate(w->head->op, -1, NULL))
		return STATUS_INVALID;
	if (v == NULL)
		return STATUS_OK;
	if (v->changes_bytes > STORE_CHANGES_MAX_BYTES)
		return STATUS_TOO_LARGE;
	if (!g_utf8_validate(v->op, -1, NULL) ||
	    !g_utf8_validate(v->operator_name, -1, NULL) ||
	    !g_utf8_validate(v->note, -1, NULL))
		return STATUS_INVALID;
	return STATUS_OK;
}

static json_t *
put_if_absent(json_t *item)
{
	return json_pack("{s:{s:s,s:o,s:s}}", "Put", "TableName", STORE_TABLE,
	    "Item", item, "ConditionExpression",
	    "attribute_not_exists(" ITEM_KEY ")");
}

static json_t *
put_if_seq(json_t *item, uint64_t expected_seq)
{
	return json_pack("{s:{s:s,s:o,s:s,s:{s:s},s:{s:o}}}", "Put",
	    "TableName", STORE_TABLE, "Item", item, "ConditionExpression",
	    "#c = :c", "ExpressionAttributeNames", "#c", ITEM_SEQ,
	    "ExpressionAttributeValues", ":c", item_number(expected_seq));
}

static json_t *
transact_items(const struct store_write *w)
{
	json_t *head = item_from_head(w->head);
	json_t *puts = json_array();

	(void)json_array_append_new(puts,
	    w->expected_seq == 0 ? put_if_absent(head)
				 : put_if_seq(head, w->expected_seq));
	if (w->version != NULL)
		(void)json_array_append_new(
		    puts, put_if_absent(item_from_version(w->version)));
	return puts;
}

static void
http_transact(struct store *base, const struct store_write *w,
    uint64_t deadline_ms, store_write_fn *fn, void *arg)
{
	struct store_call *call = store_call_new(base, end_transact, true, arg);
	uint32_t n;
	json_t *puts;

	call->fn.write = fn;
	call->rejected = write_check(w);
	if (call->rejected != STATUS_OK) {
		store_call_reject(call, call->rejected);
		return;
	}
	puts = transact_items(w);
	n = (uint32_t)json_array_size(puts);
	store_call_table(call, "TransactWriteItems",
	    json_pack("{s:o}", "TransactItems", puts), n, deadline_ms);
}

/* Objects */

static enum status
end_get_object(struct store_call *call, const struct answer *a)
{
	enum status st;

	st = call->too_large ? store_call_too_large(call) : answer_to_get(a);
	if (st == STATUS_OK)
		call->fn.object(st, a->body, a->len, call->arg);
	else
		call->fn.object(st, NULL, 0, call->arg);
	return st;
}

static void
http_get_object(struct store *base, const char *key, size_t max_bytes,
    uint64_t deadline_ms, store_object_fn *fn, void *arg)
{
	struct store_call *call =
	    store_call_new(base, end_get_object, false, arg);

	call->fn.object = fn;
	call->answer_max_bytes = max_bytes;
	store_call_object(call, "GET", key, deadline_ms);
}

static enum status
end_put_object(struct store_call *call, const struct answer *a)
{
	enum status st;

	if (call->rejected != STATUS_OK)
		st = status_set(call->rejected,
		    "An object exceeds %u bytes; make the section smaller.",
		    STORE_OBJECT_MAX_BYTES);
	else
		st = answer_to_put(a);
	call->fn.done(st, call->arg);
	return st;
}

static void
http_put_object_once(struct store *base, const char *key, const uint8_t *data,
    size_t len, uint64_t deadline_ms, store_done_fn *fn, void *arg)
{
	struct store_call *call =
	    store_call_new(base, end_put_object, true, arg);

	call->fn.done = fn;
	if (len > STORE_OBJECT_MAX_BYTES) {
		store_call_reject(call, STATUS_TOO_LARGE);
		return;
	}
	(void)g_byte_array_append(call->request, data, (guint)len);
	store_call_object(call, "PUT", key, deadline_ms);
}

/* The store */

static void
http_store_free(struct store *base)
{
	struct http_store *s = (struct http_store *)base;

	while (s->calls.head != NULL)
		store_call_free(s->calls.head->data);
	g_free(s->table_url);
	g_free(s->object_url);
	g_free(s);
}

static const struct store_ops http_store_ops = {
    .free = http_store_free,
    .read_head = http_read_head,
    .read_versions = http_read_versions,
    .transact = http_transact,
    .get_object = http_get_object,
    .put_object_once = http_put_object_once,
};

struct store *
http_store_new(struct http_client *client, struct loop *loop,
    const char *table_url, const char *object_url)
{
	struct http_store *s = g_new0(struct http_store, 1);

	store_register_metrics();
	s->base.ops = &http_store_ops;
	s->client = client;
	s->loop = loop;
	s->table_url = g_strconcat(table_url, "/", NULL);
	s->object_url = g_strdup(object_url);
	return &s->base;
}
