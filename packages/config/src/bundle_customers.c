/*
 * Reads the JSON of a bundle: customers.
 *
 * Messages about keys name their customers and never the keys.
 */
#include <stdlib.h>
#include <string.h>

#include "bundle_read.h"
#include "customer_table.h"
#include "parts.h"
#include "rules.h"

/* Longest name that older nodes take. */
#define OLDER_NAME_MAX 127

static guint
key_hash(gconstpointer key)
{
	guint h;

	memcpy(&h, key, sizeof(h));
	return h;
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, CUSTOMER_KEY_BYTES) == 0;
}

static void
keys_free(void *data)
{
	g_byte_array_unref(data);
}

void
bundle_customers_init(struct bundle_reader *r)
{
	r->customers = NULL;
	r->customer_keys = g_ptr_array_new_with_free_func(keys_free);
	r->customer_names =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r->key_holders =
	    g_hash_table_new_full(key_hash, key_equal, g_free, NULL);
}

void
bundle_customers_clear(struct bundle_reader *r)
{
	if (r->customers != NULL)
		g_array_unref(r->customers);
	g_ptr_array_unref(r->customer_keys);
	g_hash_table_unref(r->customer_names);
	g_hash_table_unref(r->key_holders);
}

void
bundle_begin_customers(struct bundle_reader *r)
{
	if (r->customers == NULL)
		r->customers = g_array_new(
		    FALSE, TRUE, sizeof(struct rec_section_customer));
}

/* Return: whether the key is new. */
static bool
claim_key(struct bundle_reader *r, const struct customer_key *key,
    uint32_t customer, const struct doc_path *at)
{
	const struct rec_section_customer *other;
	uint32_t holder =
	    GPOINTER_TO_UINT(g_hash_table_lookup(r->key_holders, key));

	if (holder == 0) {
		g_hash_table_insert(r->key_holders,
		    g_memdup2(key, sizeof(*key)),
		    GUINT_TO_POINTER(customer + 1));
		return true;
	}
	if (holder == customer + 1) {
		problems_warn(r->p, at, "list each key once",
		    "the customer has this key already");
		return false;
	}
	other = &g_array_index(
	    r->customers, struct rec_section_customer, holder - 1);
	problems_add(r->p, at, "remove it from one of the two customers",
	    "customer %.*s has this key already",
	    (int)MIN(other->name_len, CUSTOMER_SHOWN_BYTES), other->name);
	return false;
}

static int
key_compare(const void *a, const void *b)
{
	return memcmp(a, b, CUSTOMER_KEY_BYTES);
}

/* Digests of the customer's keys, sorted. */
static GByteArray *
digest_keys(struct bundle_reader *r, const struct bundle_customer *customer,
    const struct doc_path *at)
{
	struct doc_path keys_at = {at, "keys", DOC_PATH_NO_INDEX};
	struct doc_path key_at = {&keys_at, NULL, 0};
	GByteArray *digests = g_byte_array_new();
	struct customer_key key;
	size_t len;

	for (; key_at.index < customer->n_keys; key_at.index++) {
		len = strlen(customer->keys[key_at.index]);
		customer_key_make(customer->keys[key_at.index], len, &key);
		if (len == 0)
			problems_add(r->p, &key_at, "remove it or give a key",
			    "empty key");
		else if (claim_key(r, &key, r->customers->len, &key_at))
			g_byte_array_append(digests, key.bytes, sizeof(key));
	}
	if (digests->len > 0)
		qsort(digests->data, digests->len / CUSTOMER_KEY_BYTES,
		    CUSTOMER_KEY_BYTES, key_compare);
	return digests;
}

static void
set_priority(struct bundle_reader *r, int64_t priority,
    const struct doc_path *at, struct rec_section_customer *out)
{
	struct doc_path priority_at = {at, "priority", DOC_PATH_NO_INDEX};

	if (priority == BUNDLE_NUMBER_OMITTED)
		return;
	if (priority < 0)
		problems_add(r->p, &priority_at, "use 0 for the highest",
		    "a priority is not negative");
	out->priority = (uint32_t)CLAMP(priority, 0, ROUTE_PRIORITY_MAX) + 1;
}

void
bundle_add_customer(struct bundle_reader *r,
    const struct bundle_customer *customer, const struct doc_path *at)
{
	struct doc_path name_at = {at, "name", DOC_PATH_NO_INDEX};
	const char *name = customer->name != NULL ? customer->name : "";
	struct rec_section_customer out;
	GByteArray *keys;

	memset(&out, 0, sizeof(out));
	if (customer->name != NULL)
		customer_name_check(name, strlen(name), &name_at, r->p);
	if (!g_hash_table_add(r->customer_names, g_strdup(name)))
		problems_add(r->p, &name_at, "rename or remove one of the two",
		    "the bundle has two customers of this name");
	out.name = g_string_chunk_insert(r->texts, name);
	out.name_len = (uint32_t)strlen(name);
	out.rate_milli_per_s = customer->rate_milli_per_s;
	out.burst_milli = customer->burst_milli;
	set_priority(r, customer->priority, at, &out);
	keys = digest_keys(r, customer, at);
	g_ptr_array_add(r->customer_keys, keys);
	g_array_append_val(r->customers, out);
}

/* Reads a number of requests, which may have a fraction; 0 if omitted. */
static uint64_t
read_limit(struct bundle_reader *r, const char *key, json_t *object,
    const struct doc_path *at)
{
	struct doc_path number_at = {at, key, DOC_PATH_NO_INDEX};
	json_t *value = json_object_get(object, key);
	double number = json_number_value(value);

	if (value == NULL)
		return 0;
	if (!json_is_number(value) || !(number >= 0)) {
		problems_add(r->p, &number_at,
		    "use a number of at least 0; see docs/BUNDLES.md",
		    "not a number of requests");
		return 0;
	}
	return customer_limit_milli(number);
}

/* Keys as an array for struct bundle_customer; the texts are borrowed. */
static GPtrArray *
read_keys(struct bundle_reader *r, json_t *object, const struct doc_path *at)
{
	struct doc_path keys_at = {at, "keys", DOC_PATH_NO_INDEX};
	struct doc_path key_at = {&keys_at, NULL, 0};
	GPtrArray *keys = g_ptr_array_new();
	json_t *list, *value;
	size_t i;

	list = json_require_array(object, "keys", at, r->p);
	json_array_foreach(list, i, value)
	{
		key_at.index = (uint32_t)i;
		if (json_is_string(value))
			g_ptr_array_add(
			    keys, (gpointer)json_string_value(value));
		else
			problems_add(r->p, &key_at, "use a string",
			    "a key is not a string");
	}
	return keys;
}

static void
read_customer(
    struct bundle_reader *r, json_t *object, const struct doc_path *at)
{
	static const char *const known[] = {
	    "name", "keys", "rate_per_s", "burst", "priority", NULL};
	struct bundle_customer customer = {0};
	GPtrArray *keys;

	if (!json_is_object(object)) {
		problems_add(r->p, at,
		    "use an object for each customer; see docs/BUNDLES.md",
		    "not an object");
		return;
	}
	json_check_keys(object, known, at, r->p);
	customer.name = json_require_string(object, "name", at, r->p);
	customer.rate_milli_per_s = read_limit(r, "rate_per_s", object, at);
	customer.burst_milli = read_limit(r, "burst", object, at);
	customer.priority = bundle_read_number(r, "priority", object, at);
	keys = read_keys(r, object, at);
	customer.keys = (const char *const *)keys->pdata;
	customer.n_keys = keys->len;
	bundle_add_customer(r, &customer, at);
	g_ptr_array_unref(keys);
}

void
bundle_read_customers(
    struct bundle_reader *r, json_t *customers, const struct doc_path *at)
{
	struct doc_path item_at = {at, NULL, 0};
	json_t *object;
	size_t i;

	bundle_begin_customers(r);
	json_array_foreach(customers, i, object)
	{
		item_at.index = (uint32_t)i;
		read_customer(r, object, &item_at);
	}
}

/* Most bytes of keys in a record, which must fit into one section with its
 * name.  Nothing is taken off for names that older nodes read too, so that they
 * cut the same records. */
static uint32_t
max_key_bytes(const struct rec_section_customer *customer)
{
	uint32_t name_bytes =
	    customer->name_len > OLDER_NAME_MAX ? customer->name_len : 0;
	uint32_t bytes = REC_SECTION_CUSTOMER_KEYS_MAX - name_bytes;

	return bytes - bytes % CUSTOMER_KEY_BYTES;
}

/* Names a further record of a customer. */
static void
name_record(GStringChunk *texts, const struct rec_section_customer *customer,
    uint32_t n, struct rec_section_customer *record)
{
	char *name = g_strdup_printf("%.*s%c%u", (int)customer->name_len,
	    customer->name, CUSTOMER_PART_MARK, n);

	record->name = g_string_chunk_insert(texts, name);
	record->name_len = (uint32_t)strlen(name);
	g_free(name);
}

/* Appends the records of a customer, one for each part of its keys. */
static void
add_records(GArray *records, GStringChunk *texts,
    const struct rec_section_customer *customer, const GByteArray *keys)
{
	struct rec_section_customer record = *customer;
	uint32_t offset = 0, n = 0, max_bytes = max_key_bytes(customer);

	do {
		if (n > 0)
			name_record(texts, customer, n, &record);
		record.keys = keys->data + offset;
		record.keys_len = MIN(keys->len - offset, max_bytes);
		g_array_append_val(records, record);
		offset += record.keys_len;
		n++;
	} while (offset < keys->len);
}

void
bundle_split_customers(const struct bundle_reader *r, GPtrArray *sections)
{
	GArray *records;
	struct msg_section m;
	uint32_t i;

	if (r->customers == NULL)
		return;
	records =
	    g_array_new(FALSE, FALSE, sizeof(struct rec_section_customer));
	for (i = 0; i < r->customers->len; i++)
		add_records(records, r->texts,
		    &g_array_index(
			r->customers, struct rec_section_customer, i),
		    g_ptr_array_index(r->customer_keys, i));
	memset(&m, 0, sizeof(m));
	(void)g_strlcpy(m.service, CUSTOMERS_SECTION, sizeof(m.service));
	numbers_set_default(&m);
	m.customers = (struct rec_section_customer *)(void *)records->data;
	m.n_customers = records->len;
	parts_split(&m, sections);
	g_array_unref(records);
}
