/*
 * Signed-off versions and their content.
 */
#include "ledger.h"

#include <string.h>

#include "config/section.h"

/* One in REMOVE_ODDS changes removes a service. */
#define REMOVE_ODDS 8

#define ROUTES 2

/* Size of the longest prefix. */
#define PREFIX_BYTES 64

static guint
digest_hash(gconstpointer key)
{
	guint h;

	memcpy(&h, key, sizeof(h));
	return h;
}

static gboolean
digest_equal(gconstpointer a, gconstpointer b)
{
	return hash_digest_equal(a, b);
}

static void
ledger_version_free(gpointer data)
{
	struct ledger_version *v;

	v = data;
	g_array_unref(v->list);
	g_array_unref(v->changes);
	g_free(v);
}

struct ledger *
ledger_new(uint32_t services, uint32_t seed)
{
	struct ledger *l;

	l = g_new0(struct ledger, 1);
	l->versions = g_ptr_array_new_with_free_func(ledger_version_free);
	l->objects = g_hash_table_new_full(
	    digest_hash, digest_equal, g_free, (GDestroyNotify)g_bytes_unref);
	l->rng = g_rand_new_with_seed(seed);
	l->services = services;
	return l;
}

void
ledger_free(struct ledger *l)
{
	if (l == NULL)
		return;
	g_ptr_array_unref(l->versions);
	g_hash_table_destroy(l->objects);
	g_rand_free(l->rng);
	g_free(l);
}

static void
ledger_store(struct ledger *l, GBytes *content, struct digest *digest)
{
	gsize len;
	const void *data;

	data = g_bytes_get_data(content, &len);
	hash_digest(data, len, digest);
	g_hash_table_replace(
	    l->objects, g_memdup2(digest, sizeof(*digest)), content);
}

/* Creates new content for a service and stores it. */
static void
ledger_add_section(struct ledger *l, const char *service, struct digest *digest)
{
	struct rec_section_route routes[ROUTES];
	char prefixes[ROUTES][PREFIX_BYTES];
	struct msg_section msg;
	GByteArray *body;
	uint32_t i;

	memset(&msg, 0, sizeof(msg));
	memset(routes, 0, sizeof(routes));
	g_strlcpy(msg.service, service, sizeof(msg.service));
	l->revision++;
	msg.timeout_ms = 1000 + (uint32_t)(l->revision % 100000);
	msg.slots_per_endpoint = 12;
	msg.queue_per_endpoint = 24;
	msg.queue_wait_ms = 200;
	msg.request_max_bytes = 1048576 + l->revision;
	msg.attempts = 2;
	msg.budget_percent = 10;
	for (i = 0; i < ROUTES; i++) {
		g_snprintf(prefixes[i], sizeof(prefixes[i]), "/%s/part-%u",
		    service, i);
		routes[i].prefix = prefixes[i];
		routes[i].prefix_len = (uint32_t)strlen(prefixes[i]);
		routes[i].methods = 1;
		routes[i].idempotent = true;
	}
	msg.routes = routes;
	msg.n_routes = ROUTES;
	body = g_byte_array_new();
	msg_section_encode(&msg, body);
	ledger_store(l, g_byte_array_free_to_bytes(body), digest);
}

static void
ledger_service_name(uint32_t i, char *name, size_t len)
{
	g_snprintf(name, len, "service-%04u", i);
}

static const struct ledger_version *
ledger_last(const struct ledger *l)
{
	if (l->versions->len == 0)
		return NULL;
	return l->versions->pdata[l->versions->len - 1];
}

static const struct ledger_version *
ledger_append(struct ledger *l, uint64_t now_us, GArray *list)
{
	const struct ledger_version *last;
	struct ledger_version *v;
	GArray *empty;

	last = ledger_last(l);
	v = g_new0(struct ledger_version, 1);
	v->version = l->versions->len + 1;
	v->list = list;
	v->signed_us = now_us;
	empty = g_array_new(FALSE, FALSE, sizeof(struct rec_section_ref));
	v->changes = section_changes(last != NULL ? last->list : empty, list);
	g_array_unref(empty);
	ledger_store(l, section_list_encode(list, NULL), &v->root);
	g_ptr_array_add(l->versions, v);
	l->head.seq++;
	l->head.version = v->version;
	l->head.in_force = v->version;
	l->head.state = HEAD_ROLLING;
	l->head.root = v->root;
	return v;
}

static GArray *
ledger_first_list(struct ledger *l)
{
	struct rec_section_ref ref;
	GArray *list;
	uint32_t i;

	list = g_array_new(FALSE, TRUE, sizeof(ref));
	for (i = 0; i < l->services; i++) {
		memset(&ref, 0, sizeof(ref));
		ledger_service_name(i, ref.section, sizeof(ref.section));
		ledger_add_section(l, ref.section, &ref.digest);
		g_array_append_val(list, ref);
	}
	return list;
}

/* Changes a random service: gives it new content, removes it or restores it. */
static GArray *
ledger_change(struct ledger *l, GArray *list)
{
	struct rec_section_change c;
	GArray *changed;
	uint32_t i, present;

	memset(&c, 0, sizeof(c));
	ledger_service_name(
	    (uint32_t)g_rand_int_range(l->rng, 0, (gint32)l->services),
	    c.section, sizeof(c.section));
	present = 0;
	for (i = 0; i < list->len; i++)
		present |=
		    strcmp(
			g_array_index(list, struct rec_section_ref, i).section,
			c.section) == 0;
	if (present && list->len > 1 &&
	    g_rand_int_range(l->rng, 0, REMOVE_ODDS) == 0)
		c.removed = true;
	else
		ledger_add_section(l, c.section, &c.digest);
	changed = section_list_apply(list, &c, 1);
	g_array_unref(list);
	return changed;
}

const struct ledger_version *
ledger_sign(struct ledger *l, uint64_t now_us, uint32_t n_changes)
{
	const struct ledger_version *last;
	GArray *list;
	uint32_t i;

	last = ledger_last(l);
	if (last == NULL)
		return ledger_append(l, now_us, ledger_first_list(l));
	list = g_array_copy(last->list);
	for (i = 0; i < n_changes; i++)
		list = ledger_change(l, list);
	return ledger_append(l, now_us, list);
}

const struct ledger_version *
ledger_supersede(struct ledger *l, uint64_t now_us, uint64_t older)
{
	const struct ledger_version *v;

	v = ledger_version(l, older);
	return ledger_append(l, now_us, g_array_copy(v->list));
}

void
ledger_halt(struct ledger *l, uint64_t now_us)
{
	struct ledger_version *v;
	uint64_t previous;

	v = ledger_version(l, l->head.version);
	v->halted_us = now_us;
	previous = v->version - 1;
	while (previous > 0 && ledger_version(l, previous)->halted_us > 0)
		previous--;
	l->head.seq++;
	l->head.in_force = previous;
	l->head.state = HEAD_HALTED;
	memset(&l->head.root, 0, sizeof(l->head.root));
	if (previous > 0)
		l->head.root = ledger_version(l, previous)->root;
}

struct ledger_version *
ledger_version(const struct ledger *l, uint64_t version)
{
	if (version == 0 || version > l->versions->len)
		return NULL;
	return l->versions->pdata[version - 1];
}

GBytes *
ledger_object(const struct ledger *l, const struct digest *digest)
{
	return g_hash_table_lookup(l->objects, digest);
}

uint64_t
ledger_bundle_bytes(const struct ledger *l, const struct ledger_version *v)
{
	const struct rec_section_ref *ref;
	uint64_t bytes;
	uint32_t i;

	bytes = 0;
	for (i = 0; i < v->list->len; i++) {
		ref = &g_array_index(v->list, struct rec_section_ref, i);
		bytes += g_bytes_get_size(ledger_object(l, &ref->digest));
	}
	return bytes;
}
