/*
 * Endpoints announced through membership, grouped by service.
 */
#include <string.h>

#include "config/endpoints.h"

#include <glib.h>

/**
 * struct endpoint_set - see config/endpoints.h
 * @lists: maps the name of a service to its struct endpoint_list
 * @hosts: maps the name of a host to a GPtrArray of the names of its services
 * @n_endpoints: number of endpoints
 */
struct endpoint_set {
	GHashTable *lists;
	GHashTable *hosts;
	uint32_t n_endpoints;
};

struct endpoint_list *
endpoint_list_ref(struct endpoint_list *list)
{
	atomic_fetch_add_explicit(&list->refs, 1, memory_order_relaxed);
	return list;
}

void
endpoint_list_unref(struct endpoint_list *list)
{
	if (list == NULL ||
	    atomic_fetch_sub_explicit(&list->refs, 1, memory_order_acq_rel) !=
		1)
		return;
	g_free(list);
}

static void
list_unref(void *data)
{
	endpoint_list_unref(data);
}

static void
names_unref(void *data)
{
	g_ptr_array_unref(data);
}

struct endpoint_set *
endpoint_set_new(void)
{
	struct endpoint_set *set;

	set = g_new0(struct endpoint_set, 1);
	set->lists =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, list_unref);
	set->hosts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, names_unref);
	return set;
}

void
endpoint_set_free(struct endpoint_set *set)
{
	if (set == NULL)
		return;
	g_hash_table_unref(set->hosts);
	g_hash_table_unref(set->lists);
	g_free(set);
}

struct endpoint_list *
endpoint_set_list(const struct endpoint_set *set, const char *service)
{
	return g_hash_table_lookup(set->lists, service);
}

uint32_t
endpoint_set_size(const struct endpoint_set *set)
{
	return set->n_endpoints;
}

static struct endpoint_list *
list_new(const char *service, uint32_t n_endpoints)
{
	struct endpoint_list *list;

	list = g_malloc0(sizeof(*list) + n_endpoints * sizeof(struct endpoint));
	atomic_init(&list->refs, 1);
	g_strlcpy(list->service, service, sizeof(list->service));
	list->n_endpoints = n_endpoints;
	return list;
}

/* Index of a host in a list, or the index at which to insert it. */
static uint32_t
find_host(const struct endpoint_list *list, const char *host, bool *found)
{
	uint32_t low = 0, high = list != NULL ? list->n_endpoints : 0, mid;
	int order;

	*found = false;
	while (low < high) {
		mid = low + (high - low) / 2;
		order = strcmp(list->endpoints[mid].host, host);
		if (order == 0) {
			*found = true;
			return mid;
		}
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static bool
same_endpoint(const struct endpoint *a, const struct endpoint *b)
{
	return strcmp(a->data_centre, b->data_centre) == 0 &&
	    addr_equal(&a->address, &b->address) &&
	    a->incarnation == b->incarnation && a->slots == b->slots &&
	    a->state == b->state && strcmp(a->version, b->version) == 0;
}

/* Copy a list with @skip entries at @at replaced by @insert. */
static struct endpoint_list *
splice(const struct endpoint_list *old, const char *service, uint32_t at,
    uint32_t skip, const struct endpoint *insert)
{
	uint32_t n = old != NULL ? old->n_endpoints : 0;
	uint32_t add = insert != NULL ? 1 : 0;
	struct endpoint_list *list;

	list = list_new(service, n - skip + add);
	if (at > 0)
		memcpy(list->endpoints, old->endpoints,
		    at * sizeof(struct endpoint));
	if (insert != NULL)
		list->endpoints[at] = *insert;
	if (n > at + skip)
		memcpy(list->endpoints + at + add, old->endpoints + at + skip,
		    (n - at - skip) * sizeof(struct endpoint));
	return list;
}

static void
set_list(
    struct endpoint_set *set, const char *service, struct endpoint_list *list)
{
	if (list->n_endpoints > 0) {
		g_hash_table_replace(set->lists, g_strdup(service), list);
		return;
	}
	endpoint_list_unref(list);
	g_hash_table_remove(set->lists, service);
}

/* Set or remove (@ep is NULL) the endpoint of a host; Return: whether the list
 * changed. */
static bool
set_endpoint(struct endpoint_set *set, const char *host, const char *service,
    const struct endpoint *ep)
{
	struct endpoint_list *list, *old = endpoint_set_list(set, service);
	struct endpoint copy;
	bool found;
	uint32_t at;

	at = find_host(old, host, &found);
	if (ep == NULL ? !found
		       : found && same_endpoint(&old->endpoints[at], ep))
		return false;
	if (ep != NULL) {
		copy = *ep;
		g_strlcpy(copy.host, host, sizeof(copy.host));
		ep = &copy;
	}
	list = splice(old, service, at, found ? 1 : 0, ep);
	set->n_endpoints += (ep != NULL) - found;
	set_list(set, service, list);
	return true;
}

static const struct endpoint *
find_service(const struct endpoint *endpoints, uint32_t n, const char *service)
{
	while (n > 0) {
		if (strcmp(endpoints[--n].service, service) == 0)
			return &endpoints[n];
	}
	return NULL;
}

/* Remove the endpoints of a host whose services are not in @endpoints. */
static uint32_t
remove_absent(struct endpoint_set *set, const char *host,
    const struct endpoint *endpoints, uint32_t n)
{
	const GPtrArray *names = g_hash_table_lookup(set->hosts, host);
	uint32_t i, n_changed = 0;
	const char *service;

	for (i = 0; names != NULL && i < names->len; i++) {
		service = g_ptr_array_index(names, i);
		if (find_service(endpoints, n, service) == NULL)
			n_changed += set_endpoint(set, host, service, NULL);
	}
	return n_changed;
}

uint32_t
endpoint_set_host(struct endpoint_set *set, const char *host,
    const struct endpoint *endpoints, uint32_t n_endpoints)
{
	const struct endpoint *ep;
	uint32_t i, n_changed;
	GPtrArray *names;

	n_changed = remove_absent(set, host, endpoints, n_endpoints);
	names = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < n_endpoints; i++) {
		ep = &endpoints[i];
		if (!service_name_valid(ep->service, strlen(ep->service)) ||
		    find_service(endpoints, n_endpoints, ep->service) != ep)
			continue;
		n_changed += set_endpoint(set, host, ep->service, ep);
		g_ptr_array_add(names, g_strdup(ep->service));
	}
	if (names->len > 0) {
		g_hash_table_replace(set->hosts, g_strdup(host), names);
		return n_changed;
	}
	g_hash_table_remove(set->hosts, host);
	g_ptr_array_unref(names);
	return n_changed;
}
