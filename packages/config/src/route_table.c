/*
 * Longest-prefix match over the routes of all services.
 */
#include <stdlib.h>
#include <string.h>

#include "route_table.h"

/* Hosts and paths up to this size need no allocation for a lookup. */
#define TEXT_STACK_BYTES 384

/* Replaces bytes at or below ROUTE_SLASH in a path. */
#define ROUTE_CONTROL '\2'

/* An entry and its text while the table is built. */
struct draft_entry {
	struct route_entry entry;
	const char *prefix;
};

static char
map_char(char ch)
{
	if (ch == '/')
		return ROUTE_SLASH;
	return (unsigned char)ch <= ROUTE_SLASH ? ROUTE_CONTROL : ch;
}

/* Order of two mapped texts; a text sorts before its extensions. */
static int
text_compare(const char *a, uint32_t a_len, const char *b, uint32_t b_len)
{
	int order;

	order = memcmp(a, b, MIN(a_len, b_len));
	if (order != 0)
		return order;
	return (a_len > b_len) - (a_len < b_len);
}

static int
draft_compare(const void *a, const void *b)
{
	const struct draft_entry *x = a, *y = b;
	int order;

	order = text_compare(x->prefix, x->entry.len, y->prefix, y->entry.len);
	if (order != 0)
		return order;
	return (x->entry.methods > y->entry.methods) -
	    (x->entry.methods < y->entry.methods);
}

/*
 * Append host and mapped prefix to the text.  The prefix "/" is mapped to an
 * empty text; a prefix that matches only paths below it gets a trailing
 * ROUTE_SLASH.
 */
static uint32_t
append_prefix(GString *text, const struct service_route *route)
{
	gsize begin = text->len;
	uint32_t i, len;

	g_string_append_len(text, route->host, (gssize)route->host_len);
	len = route->prefix_len == 1 ? 0 : route->prefix_len;
	for (i = 0; i < len; i++)
		g_string_append_c(text, map_char(route->prefix[i]));
	if (route->below && len > 0)
		g_string_append_c(text, ROUTE_SLASH);
	return (uint32_t)(text->len - begin);
}

static void
add_section(GArray *drafts, GString *text, const struct service_config *sc,
    uint32_t service, uint32_t section)
{
	struct draft_entry d;
	uint32_t i;

	memset(&d, 0, sizeof(d));
	for (i = 0; i < sc->n_routes; i++) {
		d.entry.text_offset = (uint32_t)text->len;
		d.entry.len = append_prefix(text, &sc->routes[i]);
		d.entry.parent = ROUTE_NO_PARENT;
		d.entry.service = service;
		d.entry.section = section;
		d.entry.route = i;
		d.entry.methods = sc->routes[i].methods;
		d.entry.has_host = sc->routes[i].host_len > 0;
		d.entry.weighted = sc->routes[i].weight > 0;
		g_array_append_val(drafts, d);
	}
}

/* Create the sorted entries of all routes; their prefixes point into @text. */
static GArray *
drafts_new(const GPtrArray *sections, GString *text)
{
	const struct service_config *before = NULL, *sc;
	struct draft_entry *d;
	uint32_t i, service = 0;
	GArray *drafts;

	drafts = g_array_new(FALSE, FALSE, sizeof(struct draft_entry));
	for (i = 0; i < sections->len; i++) {
		sc = g_ptr_array_index(sections, i);
		if (sc->holds_customers)
			continue;
		if (before != NULL && strcmp(before->name, sc->name) != 0)
			service++;
		add_section(drafts, text, sc, service, i);
		before = sc;
	}
	for (i = 0; i < drafts->len; i++) {
		d = &g_array_index(drafts, struct draft_entry, i);
		d->prefix = text->str + d->entry.text_offset;
	}
	g_array_sort(drafts, draft_compare);
	return drafts;
}

static bool
is_ancestor(const struct route_table *t, const struct route_entry *upper,
    const char *text, uint32_t len)
{
	const char *prefix = t->text + upper->text_offset;

	if (upper->len > len || memcmp(prefix, text, upper->len) != 0)
		return false;
	return upper->len == 0 || upper->len == len ||
	    text[upper->len] == ROUTE_SLASH ||
	    prefix[upper->len - 1] == ROUTE_SLASH;
}

static bool
same_prefix(const struct route_table *t, const struct route_entry *a,
    const struct route_entry *b)
{
	return text_compare(t->text + a->text_offset, a->len,
		   t->text + b->text_offset, b->len) == 0;
}

/* Set the parents.  In sorted order every ancestor of an entry is its
 * predecessor or an ancestor of the predecessor. */
static void
link_parents(struct route_table *t)
{
	struct route_entry *entry;
	uint32_t i, ancestor;

	for (i = 1; i < t->n_entries; i++) {
		entry = &t->entries[i];
		ancestor = i - 1;
		if (same_prefix(t, &t->entries[ancestor], entry)) {
			entry->parent = t->entries[ancestor].parent;
			continue;
		}
		while (ancestor != ROUTE_NO_PARENT &&
		    !is_ancestor(t, &t->entries[ancestor],
			t->text + entry->text_offset, entry->len))
			ancestor = t->entries[ancestor].parent;
		entry->parent = ancestor;
	}
	/* Move each parent index to the first entry of the parent's prefix. */
	for (i = 1; i < t->n_entries; i++) {
		ancestor = t->entries[i].parent;
		while (ancestor != ROUTE_NO_PARENT && ancestor > 0 &&
		    same_prefix(
			t, &t->entries[ancestor - 1], &t->entries[ancestor]))
			ancestor--;
		t->entries[i].parent = ancestor;
	}
}

static enum status
check_overlap(const struct route_table *t, const GPtrArray *sections)
{
	const struct route_entry *a, *b;
	const struct service_config *x, *y;
	uint32_t claimed = 0, i;

	for (i = 1; i < t->n_entries; i++) {
		a = &t->entries[i - 1];
		b = &t->entries[i];
		claimed = same_prefix(t, a, b) ? claimed | a->methods : 0;
		if ((claimed & b->methods) == 0 || (a->weighted && b->weighted))
			continue;
		x = g_ptr_array_index(sections, a->section);
		y = g_ptr_array_index(sections, b->section);
		return status_set(STATUS_INVALID,
		    "Services %s and %s claim the same requests of %s; take "
		    "one of the routes out.",
		    x->name, y->name, y->routes[b->route].prefix);
	}
	return STATUS_OK;
}

static void
set_longest_texts(struct route_table *t, const GPtrArray *sections)
{
	const struct service_config *sc;
	uint32_t i, j;

	for (i = 0; i < sections->len; i++) {
		sc = g_ptr_array_index(sections, i);
		for (j = 0; j < sc->n_routes; j++) {
			t->host_max = MAX(t->host_max, sc->routes[j].host_len);
			t->prefix_max =
			    MAX(t->prefix_max, sc->routes[j].prefix_len);
		}
	}
}

enum status
route_table_new(const GPtrArray *sections, struct route_table **table)
{
	struct route_table *t;
	GArray *drafts;
	enum status st;
	GString *text;
	uint32_t i;

	text = g_string_new(NULL);
	drafts = drafts_new(sections, text);
	t = g_new0(struct route_table, 1);
	atomic_init(&t->refs, 1);
	t->n_entries = drafts->len;
	t->entries = g_new0(struct route_entry, drafts->len);
	for (i = 0; i < drafts->len; i++)
		t->entries[i] =
		    g_array_index(drafts, struct draft_entry, i).entry;
	t->text_bytes = text->len;
	t->text = g_string_free(text, FALSE);
	g_array_unref(drafts);
	set_longest_texts(t, sections);
	link_parents(t);
	st = check_overlap(t, sections);
	if (st != STATUS_OK) {
		route_table_unref(t);
		t = NULL;
	}
	*table = t;
	return st;
}

struct route_table *
route_table_ref(struct route_table *t)
{
	atomic_fetch_add_explicit(&t->refs, 1, memory_order_relaxed);
	return t;
}

void
route_table_unref(struct route_table *t)
{
	if (t == NULL ||
	    atomic_fetch_sub_explicit(&t->refs, 1, memory_order_acq_rel) != 1)
		return;
	g_free(t->entries);
	g_free(t->text);
	g_free(t);
}

/* Number of entries that are less than or equal to a text. */
static uint32_t
upper_bound(const struct route_table *t, const char *text, uint32_t len)
{
	const struct route_entry *entry;
	uint32_t low = 0, high = t->n_entries, mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		entry = &t->entries[mid];
		if (text_compare(t->text + entry->text_offset, entry->len, text,
			len) <= 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

/* Find the entry of a prefix that accepts a method; @i is the first entry of
 * the prefix. */
static const struct route_entry *
find_method(const struct route_table *t, uint32_t i, enum http_method method)
{
	uint32_t first = i;

	for (; i < t->n_entries; i++) {
		if (i > first &&
		    !same_prefix(t, &t->entries[first], &t->entries[i]))
			break;
		if ((t->entries[i].methods & METHOD_BIT(method)) != 0)
			return &t->entries[i];
	}
	return NULL;
}

/* Index of the first entry with the same prefix as an entry. */
static uint32_t
first_of_prefix(const struct route_table *t, uint32_t i)
{
	while (i > 0 && same_prefix(t, &t->entries[i - 1], &t->entries[i]))
		i--;
	return i;
}

/* Find the entry with the longest prefix of a mapped text, among the entries
 * with a host or those without. */
static const struct route_entry *
find_longest_prefix(const struct route_table *t, enum http_method method,
    const char *text, uint32_t len, bool has_host, bool *path_matched)
{
	const struct route_entry *found;
	uint32_t i;

	i = upper_bound(t, text, len);
	if (i == 0)
		return NULL;
	i = first_of_prefix(t, i - 1);
	for (; i != ROUTE_NO_PARENT; i = t->entries[i].parent) {
		if (t->entries[i].has_host != has_host ||
		    !is_ancestor(t, &t->entries[i], text, len))
			continue;
		*path_matched = true;
		found = find_method(t, i, method);
		if (found != NULL)
			return found;
	}
	return NULL;
}

const struct route_entry *
route_table_find(const struct route_table *t, enum http_method method,
    const char *host, size_t host_len, const char *path, size_t path_len,
    bool *path_matched)
{
	const struct route_entry *found = NULL;
	char buf[TEXT_STACK_BYTES], *text = buf;
	uint32_t i, len, at;

	*path_matched = false;
	if (path_len == 0 || path[0] != '/')
		return NULL;
	at = host_len <= t->host_max ? (uint32_t)host_len : 0;
	/* The text includes the byte after the longest prefix, which shows
	 * whether a segment ends there. */
	len = (uint32_t)MIN(path_len, (size_t)t->prefix_max + 1);
	if (at + len > sizeof(buf))
		text = g_malloc(at + len);
	for (i = 0; i < at; i++)
		text[i] = g_ascii_tolower(host[i]);
	for (i = 0; i < len; i++)
		text[at + i] = map_char(path[i]);
	if (at > 0)
		found = find_longest_prefix(
		    t, method, text, at + len, true, path_matched);
	if (found == NULL)
		found = find_longest_prefix(
		    t, method, text + at, len, false, path_matched);
	if (text != buf)
		g_free(text);
	return found;
}

uint32_t
route_table_shares(const struct route_table *t, const struct route_entry *entry,
    const struct route_entry **shares, uint32_t max)
{
	uint32_t i = first_of_prefix(t, (uint32_t)(entry - t->entries));
	uint32_t n = 0;

	for (; i < t->n_entries && n < max; i++) {
		if (!same_prefix(t, entry, &t->entries[i]))
			break;
		if (t->entries[i].methods == entry->methods)
			shares[n++] = &t->entries[i];
	}
	return n;
}

uint64_t
route_table_bytes(const struct route_table *t)
{
	return sizeof(*t) + t->text_bytes +
	    t->n_entries * sizeof(struct route_entry);
}
