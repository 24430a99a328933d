/*
 * The table of customers: compilation and look-ups by binary search.
 */
#include "customer_table.h"

#include <stdlib.h>
#include <string.h>

/** struct key_entry - a key and the index of the customer that holds it */
struct key_entry {
	struct customer_key key;
	uint32_t customer;
};

/** struct id_entry - the number of a customer and its index */
struct id_entry {
	uint64_t id;
	uint32_t customer;
};

/**
 * struct customer_table - see config/customer.h
 * @refs: references
 * @sections: struct service_config with the names; references are held
 * @customers: struct customer, sorted by name
 * @keys: struct key_entry, sorted by key
 * @ids: struct id_entry, sorted by number
 */
struct customer_table {
	_Atomic uint32_t refs;
	GPtrArray *sections;
	GArray *customers;
	GArray *keys;
	GArray *ids;
};

static void
section_unref(void *data)
{
	service_config_unref(data);
}

struct customer_table *
customer_table_ref(struct customer_table *t)
{
	atomic_fetch_add_explicit(&t->refs, 1, memory_order_relaxed);
	return t;
}

void
customer_table_unref(struct customer_table *t)
{
	if (t == NULL ||
	    atomic_fetch_sub_explicit(&t->refs, 1, memory_order_acq_rel) != 1)
		return;
	g_ptr_array_unref(t->sections);
	g_array_unref(t->customers);
	g_array_unref(t->keys);
	g_array_unref(t->ids);
	g_free(t);
}

static int
customer_compare(const void *a, const void *b)
{
	const struct customer_config *const *x = a, *const *y = b;

	return strcmp((*x)->info.name, (*y)->info.name);
}

static int
key_compare(const void *a, const void *b)
{
	const struct key_entry *x = a, *y = b;

	return memcmp(x->key.bytes, y->key.bytes, sizeof(x->key.bytes));
}

static int
id_compare(const void *a, const void *b)
{
	const struct id_entry *x = a, *y = b;

	return (x->id > y->id) - (x->id < y->id);
}

static struct customer_table *
table_new(void)
{
	struct customer_table *t = g_new0(struct customer_table, 1);

	atomic_init(&t->refs, 1);
	t->sections = g_ptr_array_new_with_free_func(section_unref);
	t->customers = g_array_new(FALSE, FALSE, sizeof(struct customer));
	t->keys = g_array_new(FALSE, FALSE, sizeof(struct key_entry));
	t->ids = g_array_new(FALSE, FALSE, sizeof(struct id_entry));
	return t;
}

/* All customers of the sections, sorted by name. */
static GPtrArray *
collect(struct customer_table *t, const GPtrArray *sections)
{
	GPtrArray *all = g_ptr_array_new();
	struct service_config *sc;
	uint32_t i, j;

	for (i = 0; i < sections->len; i++) {
		sc = g_ptr_array_index(sections, i);
		if (!sc->holds_customers)
			continue;
		g_ptr_array_add(t->sections, service_config_ref(sc));
		for (j = 0; j < sc->n_customers; j++)
			g_ptr_array_add(all, &sc->customers[j]);
	}
	g_ptr_array_sort(all, customer_compare);
	return all;
}

/* Adds the keys of the customer that was added last. */
static void
add_keys(struct customer_table *t, const struct customer_config *c)
{
	struct key_entry key = {.customer = t->customers->len - 1};
	uint32_t i;

	for (i = 0; i < c->n_keys; i++) {
		key.key = c->keys[i];
		g_array_append_val(t->keys, key);
	}
}

/* Records of the parts of a customer's keys follow its first record. */
static enum status
add_part(struct customer_table *t, const struct customer_config *c)
{
	const char *name = c->info.name;
	uint32_t len = customer_base_len(name, (uint32_t)strlen(name));
	const struct customer *last;

	last = t->customers->len > 0
	    ? &g_array_index(
		  t->customers, struct customer, t->customers->len - 1)
	    : NULL;
	if (last == NULL || strlen(last->name) != len ||
	    memcmp(last->name, name, len) != 0)
		return status_set(STATUS_INVALID,
		    "Keys of customer %.*s lack the customer; sign the version "
		    "off again.",
		    (int)MIN(len, CUSTOMER_SHOWN_BYTES), name);
	add_keys(t, c);
	return STATUS_OK;
}

static enum status
add_customer(struct customer_table *t, const struct customer_config *c)
{
	struct id_entry id = {c->info.id, t->customers->len};

	if (customer_is_part(c->info.name))
		return add_part(t, c);
	g_array_append_val(t->customers, c->info);
	g_array_append_val(t->ids, id);
	add_keys(t, c);
	return STATUS_OK;
}

static const char *
name_at(const struct customer_table *t, uint32_t i)
{
	return g_array_index(t->customers, struct customer, i).name;
}

/* The message must not show the key. */
static enum status
check_unique(const struct customer_table *t)
{
	const struct key_entry *keys = (const void *)t->keys->data;
	const struct id_entry *ids = (const void *)t->ids->data;
	uint32_t i;

	for (i = 1; i < t->ids->len; i++)
		if (ids[i - 1].id == ids[i].id)
			return status_set(STATUS_INVALID,
			    "The names of customers %s and %s are equal or "
			    "collide; rename one.",
			    name_at(t, ids[i - 1].customer),
			    name_at(t, ids[i].customer));
	for (i = 1; i < t->keys->len; i++)
		if (key_compare(&keys[i - 1], &keys[i]) == 0)
			return status_set(STATUS_INVALID,
			    "Customers %s and %s hold the same key; remove it "
			    "from one.",
			    name_at(t, keys[i - 1].customer),
			    name_at(t, keys[i].customer));
	return STATUS_OK;
}

enum status
customer_table_new(const GPtrArray *sections, struct customer_table **table)
{
	struct customer_table *t = table_new();
	GPtrArray *all = collect(t, sections);
	enum status st = STATUS_OK;
	uint32_t i;

	*table = NULL;
	for (i = 0; i < all->len && st == STATUS_OK; i++)
		st = add_customer(t, g_ptr_array_index(all, i));
	g_ptr_array_unref(all);
	g_array_sort(t->keys, key_compare);
	g_array_sort(t->ids, id_compare);
	if (st == STATUS_OK)
		st = check_unique(t);
	if (st == STATUS_OK && t->sections->len > 0)
		*table = t;
	else
		customer_table_unref(t);
	return st;
}

bool
customer_table_is_of(const struct customer_table *t, const GPtrArray *sections)
{
	uint32_t known = t != NULL ? t->sections->len : 0;
	const struct service_config *sc;
	uint32_t i, n = 0;

	for (i = 0; i < sections->len; i++) {
		sc = g_ptr_array_index(sections, i);
		if (!sc->holds_customers)
			continue;
		if (n == known || g_ptr_array_index(t->sections, n) != sc)
			return false;
		n++;
	}
	return n == known;
}

uint64_t
customer_table_bytes(const struct customer_table *t)
{
	if (t == NULL)
		return 0;
	return sizeof(*t) + t->customers->len * sizeof(struct customer) +
	    t->keys->len * sizeof(struct key_entry) +
	    t->ids->len * sizeof(struct id_entry);
}

uint32_t
customer_table_size(const struct customer_table *t)
{
	return t != NULL ? t->customers->len : 0;
}

const struct customer *
customer_table_at(const struct customer_table *t, uint32_t i)
{
	return &g_array_index(t->customers, struct customer, i);
}

const struct customer *
customer_table_find_key(
    const struct customer_table *t, const struct customer_key *key)
{
	const struct key_entry wanted = {.key = *key}, *found;

	if (t == NULL || t->keys->len == 0)
		return NULL;
	found = bsearch(
	    &wanted, t->keys->data, t->keys->len, sizeof(wanted), key_compare);
	return found != NULL ? customer_table_at(t, found->customer) : NULL;
}

const struct customer *
customer_table_find_id(const struct customer_table *t, uint64_t id)
{
	const struct id_entry wanted = {.id = id}, *found;

	if (t == NULL || t->ids->len == 0)
		return NULL;
	found = bsearch(
	    &wanted, t->ids->data, t->ids->len, sizeof(wanted), id_compare);
	return found != NULL ? customer_table_at(t, found->customer) : NULL;
}
