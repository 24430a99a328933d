/*
 * Parts of a service whose routes, or of a table of customers, don't fit into
 * one section.
 */
#include "parts.h"

#include <stdlib.h>
#include <string.h>

#include "rules.h"
#include "section_build.h"

/* Largest encoding of a customer in a section without its name and keys. */
#define CUSTOMER_FIXED_BYTES 48

/* Separates the name of a service and of a part.  Names of services can't
 * contain the separator, which sorts before their characters, so the parts of a
 * service are adjacent in a sorted list. */
#define PART_SEPARATOR ' '

/* Largest encoding of a route in a section without its texts: 13 bytes for
 * types and lengths, 5 for each of the six numbers, 3 for the flags. */
#define ROUTE_FIXED_BYTES 46

/* Largest encoding of a section without its routes: 12 numbers of up to 9
 * bytes, the name of the service of 31, the name of the part of 24, types and
 * lengths. */
#define SECTION_FIXED_BYTES 192

/* All nodes must use the same seed; its value is arbitrary. */
#define PART_HASH_SEED 29

/**
 * struct leaf - a route or a customer and its path in the trie
 * @bits: first bits of its hash
 * @bytes: largest size of its encoding
 * @index: its index in the message that is split
 */
struct leaf {
	uint32_t bits;
	uint32_t bytes;
	uint32_t index;
};

/**
 * struct part_split - a service while it is split
 * @m: the service
 * @leaves: struct leaf, sorted by bits
 * @bytes: prefix sums of the leaves' sizes, uint64_t
 * @sections: receives the sections
 */
struct part_split {
	const struct msg_section *m;
	GArray *leaves;
	GArray *bytes;
	GPtrArray *sections;
};

/*
 * First bits of the hash of a route's host and prefix.  Methods are not hashed,
 * so routes that share a prefix by weight, or that conflict, are in one
 * section.
 */
static uint32_t
route_hash_bits(const struct rec_section_route *route)
{
	uint64_t h = hash64(route->host, route->host_len, PART_HASH_SEED);

	h = hash64(route->prefix, route->prefix_len, h);
	return (uint32_t)(h >> (64 - PART_BITS_MAX));
}

static uint32_t
route_bytes(const struct rec_section_route *route)
{
	return ROUTE_FIXED_BYTES + route->prefix_len + route->host_len;
}

static uint32_t
customer_hash_bits(const struct rec_section_customer *customer)
{
	uint64_t h = hash64(customer->name, customer->name_len, PART_HASH_SEED);

	return (uint32_t)(h >> (64 - PART_BITS_MAX));
}

static uint32_t
customer_bytes(const struct rec_section_customer *customer)
{
	return CUSTOMER_FIXED_BYTES + customer->name_len + customer->keys_len;
}

static int
leaf_compare(const void *a, const void *b)
{
	const struct leaf *x = a, *y = b;

	return (x->bits > y->bits) - (x->bits < y->bits);
}

static bool
bit_at(uint32_t bits, uint32_t depth)
{
	return (bits >> (PART_BITS_MAX - 1 - depth) & 1) != 0;
}

static struct leaf *
leaf_at(const struct part_split *ps, uint32_t i)
{
	return &g_array_index(ps->leaves, struct leaf, i);
}

static uint64_t
bytes_between(const struct part_split *ps, uint32_t low, uint32_t high)
{
	return g_array_index(ps->bytes, uint64_t, high) -
	    g_array_index(ps->bytes, uint64_t, low);
}

/* Copies the routes from @low to @high; the caller frees them. */
static void
copy_routes(const struct part_split *ps, uint32_t low, uint32_t high,
    struct msg_section *m)
{
	uint32_t i;

	m->n_routes = high - low;
	m->routes = g_new0(struct rec_section_route, m->n_routes);
	for (i = 0; i < m->n_routes; i++)
		m->routes[i] = ps->m->routes[leaf_at(ps, low + i)->index];
	routes_sort(m->routes, m->n_routes);
}

/* Copies the customers from @low to @high; the caller frees them. */
static void
copy_customers(const struct part_split *ps, uint32_t low, uint32_t high,
    struct msg_section *m)
{
	uint32_t i;

	m->n_customers = high - low;
	m->customers = g_new0(struct rec_section_customer, m->n_customers);
	for (i = 0; i < m->n_customers; i++)
		m->customers[i] = ps->m->customers[leaf_at(ps, low + i)->index];
	customers_sort(m->customers, m->n_customers);
}

static bool
has_customers(const struct part_split *ps)
{
	return strcmp(ps->m->service, CUSTOMERS_SECTION) == 0;
}

static void
add_leaf(struct part_split *ps, uint32_t low, uint32_t high, const char *part)
{
	struct msg_section m = *ps->m;

	(void)g_strlcpy(m.part, part, sizeof(m.part));
	if (has_customers(ps)) {
		copy_customers(ps, low, high, &m);
		g_ptr_array_add(ps->sections, section_new(&m));
		g_free(m.customers);
	} else {
		copy_routes(ps, low, high, &m);
		g_ptr_array_add(ps->sections, section_new(&m));
		g_free(m.routes);
	}
}

/* Index of the first leaf in the 1 branch of a node. */
static uint32_t
find_one_branch(
    const struct part_split *ps, uint32_t low, uint32_t high, uint32_t depth)
{
	uint32_t mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		if (bit_at(leaf_at(ps, mid)->bits, depth))
			high = mid;
		else
			low = mid + 1;
	}
	return low;
}

/* Add the node named @part with the leaves from @low to @high: as a section, or
 * split into two child nodes. */
static void
split_node(struct part_split *ps, uint32_t low, uint32_t high, char *part)
{
	uint32_t depth = (uint32_t)strlen(part), mid;

	if (low == high && depth > 0)
		return;
	if (depth == PART_BITS_MAX ||
	    bytes_between(ps, low, high) <=
		SECTION_MAX_BYTES - SECTION_FIXED_BYTES) {
		add_leaf(ps, low, high, part);
		return;
	}
	mid = find_one_branch(ps, low, high, depth);
	part[depth] = '0';
	split_node(ps, low, mid, part);
	part[depth] = '1';
	split_node(ps, mid, high, part);
	part[depth] = '\0';
}

static void
add_leaves(struct part_split *ps)
{
	struct leaf leaf;

	for (leaf.index = 0; leaf.index < ps->m->n_routes; leaf.index++) {
		leaf.bits = route_hash_bits(&ps->m->routes[leaf.index]);
		leaf.bytes = route_bytes(&ps->m->routes[leaf.index]);
		g_array_append_val(ps->leaves, leaf);
	}
	for (leaf.index = 0; leaf.index < ps->m->n_customers; leaf.index++) {
		leaf.bits = customer_hash_bits(&ps->m->customers[leaf.index]);
		leaf.bytes = customer_bytes(&ps->m->customers[leaf.index]);
		g_array_append_val(ps->leaves, leaf);
	}
	g_array_sort(ps->leaves, leaf_compare);
}

static void
part_split_init(struct part_split *ps, const struct msg_section *m)
{
	uint64_t bytes = 0;
	uint32_t i;

	ps->m = m;
	ps->leaves = g_array_new(FALSE, FALSE, sizeof(struct leaf));
	ps->bytes = g_array_new(FALSE, FALSE, sizeof(bytes));
	add_leaves(ps);
	g_array_append_val(ps->bytes, bytes);
	for (i = 0; i < ps->leaves->len; i++) {
		bytes += leaf_at(ps, i)->bytes;
		g_array_append_val(ps->bytes, bytes);
	}
}

void
parts_split(struct msg_section *m, GPtrArray *sections)
{
	char part[PART_BITS_MAX + 1] = "";
	struct part_split ps;

	part_split_init(&ps, m);
	ps.sections = sections;
	split_node(&ps, 0, ps.leaves->len, part);
	g_array_unref(ps.bytes);
	g_array_unref(ps.leaves);
}

static bool
part_name_valid(const char *part)
{
	size_t len = strlen(part);

	return len <= PART_BITS_MAX && strspn(part, "01") == len;
}

static bool
part_covers(const char *part, uint32_t bits)
{
	uint32_t depth;

	for (depth = 0; part[depth] != '\0'; depth++) {
		if (bit_at(bits, depth) != (part[depth] == '1'))
			return false;
	}
	return true;
}

void
part_check(const struct msg_section *m, struct problems *p)
{
	struct doc_path part_at = {NULL, "part", DOC_PATH_NO_INDEX};
	struct doc_path routes_at = {NULL, "routes", DOC_PATH_NO_INDEX};
	struct doc_path customers_at = {NULL, "customers", DOC_PATH_NO_INDEX};
	struct doc_path at = {&routes_at, NULL, 0};
	uint32_t i;

	if (!part_name_valid(m->part)) {
		problems_add(p, &part_at, "use at most 24 of 0 and 1",
		    "invalid part name");
		return;
	}
	for (i = 0; i < m->n_routes; i++) {
		at.index = i;
		if (!part_covers(m->part, route_hash_bits(&m->routes[i])))
			problems_add(p, &at, "move it to that part",
			    "the route belongs in another part");
	}
	at.parent = &customers_at;
	for (i = 0; i < m->n_customers; i++) {
		at.index = i;
		if (!part_covers(m->part, customer_hash_bits(&m->customers[i])))
			problems_add(p, &at, "move it to that part",
			    "the customer belongs in another part");
	}
}

void
part_section_name(const char *service, const char *part, char *out)
{
	if (part[0] == '\0')
		(void)g_strlcpy(out, service, SECTION_NAME_BYTES);
	else
		(void)g_snprintf(out, SECTION_NAME_BYTES, "%s%c%s", service,
		    PART_SEPARATOR, part);
}

bool
part_parent(char *section)
{
	char *separator = strchr(section, PART_SEPARATOR);

	if (separator == NULL)
		return false;
	section[strlen(section) - 1] = '\0';
	if (separator[1] == '\0')
		*separator = '\0';
	return true;
}

/* Whether a text is the name of a service or of the table of customers. */
static bool
whole_name_valid(const char *name, size_t len)
{
	return service_name_valid(name, len) ||
	    (len == strlen(CUSTOMERS_SECTION) &&
		memcmp(name, CUSTOMERS_SECTION, len) == 0);
}

bool
section_name_valid(const char *name)
{
	const char *separator = strchr(name, PART_SEPARATOR);

	if (separator == NULL)
		return whole_name_valid(name, strlen(name));
	return whole_name_valid(name, (size_t)(separator - name)) &&
	    separator[1] != '\0' && part_name_valid(separator + 1);
}

bool
section_name_covers(const char *upper, const char *lower)
{
	size_t len = strlen(upper);

	if (strncmp(upper, lower, len) != 0)
		return false;
	return lower[len] == PART_SEPARATOR ||
	    (lower[len] != '\0' && strchr(upper, PART_SEPARATOR) != NULL);
}
