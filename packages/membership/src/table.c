/*
 * Table of all hosts, by name and by data centre, with its digests.
 *
 * The digest of a bucket is the sum of a hash of each live host with its
 * incarnation and start, so that a change costs one addition.  Suspects count
 * as live: a suspicion stays within its data centre and ends soon.
 */
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

#include "table.h"

/* Random picks before a linear search. */
#define RANDOM_TRIES 8

/* Seed that keeps the hash for buckets apart from other hashes. */
#define BUCKET_SEED 0x6275636bU

static void
dc_free(void *p)
{
	struct dc *dc = p;

	g_ptr_array_unref(dc->rows);
	g_free(dc);
}

static void
row_free(void *p)
{
	struct row *r = p;

	g_free(r->member.endpoints);
	g_free(r);
}

void
table_init(struct table *t)
{
	memset(t, 0, sizeof(*t));
	t->hosts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_free);
	t->strings = g_string_chunk_new(1024);
	t->dcs = g_ptr_array_new_with_free_func(dc_free);
	t->timed = g_ptr_array_new();
}

void
table_clear(struct table *t)
{
	g_ptr_array_unref(t->timed);
	g_ptr_array_unref(t->dcs);
	g_hash_table_unref(t->hosts);
	g_string_chunk_free(t->strings);
}

struct dc *
table_dc(const struct table *t, const char *name)
{
	struct dc *dc;
	uint32_t i;

	for (i = 0; i < t->dcs->len; i++) {
		dc = t->dcs->pdata[i];
		if (strcmp(dc->name, name) == 0)
			return dc;
	}
	return NULL;
}

struct dc *
table_dc_add(struct table *t, const char *name)
{
	struct dc *dc = table_dc(t, name);

	if (dc != NULL)
		return dc;
	if (t->dcs->len >= DATA_CENTRES_MAX)
		return NULL;
	dc = g_new0(struct dc, 1);
	(void)g_strlcpy(dc->name, name, sizeof(dc->name));
	dc->rows = g_ptr_array_new();
	g_ptr_array_add(t->dcs, dc);
	return dc;
}

struct row *
table_row(const struct table *t, const char *host)
{
	return g_hash_table_lookup(t->hosts, host);
}

uint64_t
table_row_hash(const struct row *r)
{
	const uint64_t version[] = {
	    r->member.incarnation, r->member.started_ms};

	/*
	 * Hash the version first: versions close to each other, of similar
	 * names, would cancel out otherwise.
	 */
	return hash64(r->member.host, strlen(r->member.host),
	    hash64(version, sizeof(version), 0));
}

/* Adds or subtracts a row's part of the digests and counts. */
static void
count(struct table *t, const struct row *r, int add)
{
	struct dc *dc = r->dc;
	uint64_t h;

	if (!member_is_live(&r->member))
		return;
	h = table_row_hash(r);
	if (!add)
		h = -h;
	dc->digests[r->bucket] += h;
	dc->digest += h;
	t->root += h;
	dc->live += add ? 1U : -1U;
	t->live += add ? 1U : -1U;
}

struct row *
table_add(struct table *t, const char *host, struct dc *dc,
    uint64_t incarnation, enum member_state state)
{
	struct row *r = g_new0(struct row, 1);

	(void)g_strlcpy(r->member.host, host, sizeof(r->member.host));
	r->member.data_centre = dc->name;
	r->member.incarnation = incarnation;
	r->member.state = (uint8_t)state;
	r->dc = dc;
	r->expires_ms = DEADLINE_NEVER;
	r->bucket =
	    (uint8_t)(hash64(host, strlen(host), BUCKET_SEED) % TABLE_BUCKETS);
	r->slot = dc->rows->len;
	g_ptr_array_add(dc->rows, r);
	(void)g_hash_table_insert(t->hosts, r->member.host, r);
	count(t, r, 1);
	dc->live_change++;
	return r;
}

void
table_remove(struct table *t, struct row *r)
{
	struct dc *dc = r->dc;
	struct row *last;

	count(t, r, 0);
	dc->live_change++;
	table_set_expiry(t, r, DEADLINE_NEVER);
	last = dc->rows->pdata[dc->rows->len - 1];
	last->slot = r->slot;
	(void)g_ptr_array_remove_index_fast(dc->rows, r->slot);
	(void)g_hash_table_remove(t->hosts, r->member.host);
}

void
table_set(struct table *t, struct row *r, uint64_t incarnation,
    enum member_state state)
{
	int was_live = member_is_live(&r->member);

	count(t, r, 0);
	r->member.incarnation = incarnation;
	r->member.state = (uint8_t)state;
	count(t, r, 1);
	if (was_live != member_is_live(&r->member))
		r->dc->live_change++;
}

void
table_set_started(struct table *t, struct row *r, uint64_t started_ms)
{
	count(t, r, 0);
	r->member.started_ms = started_ms;
	count(t, r, 1);
}

void
table_set_endpoints(struct table *t, struct row *r,
    const struct rec_endpoint *endpoints, uint32_t n)
{
	struct member_endpoint *e;
	uint32_t i;

	if (n != r->member.n_endpoints) {
		g_free(r->member.endpoints);
		r->member.endpoints = g_new0(struct member_endpoint, n);
		r->member.n_endpoints = (uint8_t)n;
	}
	for (i = 0; i < n; i++) {
		e = &r->member.endpoints[i];
		e->service = g_string_chunk_insert_const(
		    t->strings, endpoints[i].service);
		e->revision = endpoints[i].revision;
		e->port = endpoints[i].port;
		e->slots = endpoints[i].slots;
		e->cold_ms = endpoints[i].cold_ms;
		e->state = (uint8_t)endpoints[i].state;
		e->version = g_string_chunk_insert_const(
		    t->strings, endpoints[i].version);
	}
}

void
table_set_expiry(struct table *t, struct row *r, uint64_t expires_ms)
{
	if (r->expires_ms == DEADLINE_NEVER && expires_ms != DEADLINE_NEVER)
		g_ptr_array_add(t->timed, r);
	else if (r->expires_ms != DEADLINE_NEVER &&
	    expires_ms == DEADLINE_NEVER)
		(void)g_ptr_array_remove_fast(t->timed, r);
	r->expires_ms = expires_ms;
}

static int
matches(const struct row *r, const struct row *exclude, uint32_t states)
{
	return r != exclude &&
	    (MEMBER_STATE_BIT(r->member.state) & states) != 0;
}

struct row *
table_random(struct membership *m, const struct dc *dc,
    const struct row *exclude, uint32_t states)
{
	uint32_t i, n = dc->rows->len, start;
	struct row *r;

	for (i = 0; i < RANDOM_TRIES && n > 0; i++) {
		r = dc->rows->pdata[random_below(m, n)];
		if (matches(r, exclude, states))
			return r;
	}
	start = random_below(m, n);
	for (i = 0; i < n; i++) {
		r = dc->rows->pdata[(start + i) % n];
		if (matches(r, exclude, states))
			return r;
	}
	return NULL;
}
