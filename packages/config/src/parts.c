/*
 * Parts of a service whose routes don't fit into one section.
 */
#include "parts.h"

#include <stdlib.h>
#include <string.h>

#include "rules.h"
#include "section_build.h"

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

/** struct leaf_route - a borrowed route and its path in the trie */
struct leaf_route {
	uint32_t bits;
	const struct rec_section_route *route;
};

/**
 * struct part_split - a service while it is split
 * @m: the service
 * @routes: struct leaf_route, sorted by bits
 * @bytes: prefix sums of the routes' sizes, uint64_t
 * @sections: receives the sections
 */
struct part_split {
	const struct msg_section *m;
	GArray *routes;
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
	uint64_t h = hash64(route->host, strlen(route->host), PART_HASH_SEED);

	h = hash64(route->prefix, strlen(route->prefix), h);
	return (uint32_t)(h >> (64 - PART_BITS_MAX));
}

static uint32_t
route_bytes(const struct rec_section_route *route)
{
	return ROUTE_FIXED_BYTES +
	    (uint32_t)(strlen(route->prefix) + strlen(route->host));
}

static int
leaf_route_compare(const void *a, const void *b)
{
	const struct leaf_route *x = a, *y = b;

	return (x->bits > y->bits) - (x->bits < y->bits);
}

static bool
bit_at(uint32_t bits, uint32_t depth)
{
	return (bits >> (PART_BITS_MAX - 1 - depth) & 1) != 0;
}

static struct leaf_route *
leaf_route_at(const struct part_split *ps, uint32_t i)
{
	return &g_array_index(ps->routes, struct leaf_route, i);
}

static uint64_t
bytes_between(const struct part_split *ps, uint32_t low, uint32_t high)
{
	return g_array_index(ps->bytes, uint64_t, high) -
	    g_array_index(ps->bytes, uint64_t, low);
}

static void
add_leaf(struct part_split *ps, uint32_t low, uint32_t high, const char *part)
{
	struct msg_section m = *ps->m;
	uint32_t i;

	m.n_routes = high - low;
	m.routes = g_new0(struct rec_section_route, m.n_routes);
	(void)g_strlcpy(m.part, part, sizeof(m.part));
	for (i = 0; i < m.n_routes; i++)
		m.routes[i] = *leaf_route_at(ps, low + i)->route;
	routes_sort(m.routes, m.n_routes);
	g_ptr_array_add(ps->sections, section_new(&m));
	g_free(m.routes);
}

/* Index of the first route in the 1 branch of a node. */
static uint32_t
find_one_branch(
    const struct part_split *ps, uint32_t low, uint32_t high, uint32_t depth)
{
	uint32_t mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		if (bit_at(leaf_route_at(ps, mid)->bits, depth))
			high = mid;
		else
			low = mid + 1;
	}
	return low;
}

/* Add the node named @part with the routes from @low to @high: as a section, or
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
part_split_init(struct part_split *ps, const struct msg_section *m)
{
	struct leaf_route leaf;
	uint64_t bytes = 0;
	uint32_t i;

	ps->m = m;
	ps->routes = g_array_sized_new(FALSE, FALSE, sizeof(leaf), m->n_routes);
	ps->bytes =
	    g_array_sized_new(FALSE, FALSE, sizeof(bytes), m->n_routes + 1);
	for (i = 0; i < m->n_routes; i++) {
		leaf.route = &m->routes[i];
		leaf.bits = route_hash_bits(leaf.route);
		g_array_append_val(ps->routes, leaf);
	}
	g_array_sort(ps->routes, leaf_route_compare);
	g_array_append_val(ps->bytes, bytes);
	for (i = 0; i < m->n_routes; i++) {
		bytes += route_bytes(leaf_route_at(ps, i)->route);
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
	split_node(&ps, 0, m->n_routes, part);
	g_array_unref(ps.bytes);
	g_array_unref(ps.routes);
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

bool
section_name_valid(const char *name)
{
	const char *separator = strchr(name, PART_SEPARATOR);

	if (separator == NULL)
		return service_name_valid(name, strlen(name));
	return service_name_valid(name, (size_t)(separator - name)) &&
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
