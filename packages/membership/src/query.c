/*
 * Queries of the membership.
 */
#include "base/hash.h"

#include "internal.h"
#include "table.h"

void
membership_set_head(struct membership *m, const struct rec_gossip_head *head)
{
	m->head = *head;
}

enum membership_phase
membership_phase(const struct membership *m)
{
	return m->phase;
}

const struct member *
membership_self(const struct membership *m)
{
	return &m->self->member;
}

const struct member *
membership_find(const struct membership *m, const char *host)
{
	const struct row *r = table_row(&m->table, host);

	return r == NULL ? NULL : &r->member;
}

void
membership_each(const struct membership *m, membership_visit visit, void *ctx)
{
	const struct dc *dc;
	const struct row *r;
	uint32_t i, j;

	for (i = 0; i < m->table.dcs->len; i++) {
		dc = m->table.dcs->pdata[i];
		for (j = 0; j < dc->rows->len; j++) {
			r = dc->rows->pdata[j];
			visit(&r->member, ctx);
		}
	}
}

/* A random data centre, weighted by number of hosts. */
static const struct dc *
random_dc(struct membership *m)
{
	uint32_t i, n = random_below(m, g_hash_table_size(m->table.hosts));
	const struct dc *dc;

	for (i = 0; i < m->table.dcs->len; i++) {
		dc = m->table.dcs->pdata[i];
		if (n < dc->rows->len)
			return dc;
		n -= dc->rows->len;
	}
	return m->home;
}

const struct member *
membership_random(
    struct membership *m, const char *data_centre, uint32_t states)
{
	const struct row *r = NULL;
	const struct dc *dc;
	uint32_t i;

	if (data_centre != NULL) {
		dc = table_dc(&m->table, data_centre);
		if (dc != NULL)
			r = table_random(m, dc, m->self, states);
		return r == NULL ? NULL : &r->member;
	}
	r = table_random(m, random_dc(m), m->self, states);
	for (i = 0; r == NULL && i < m->table.dcs->len; i++)
		r = table_random(m, m->table.dcs->pdata[i], m->self, states);
	return r == NULL ? NULL : &r->member;
}

/* Inserts a member by score into the first @n.  Returns the number ranked. */
static uint32_t
insert(const struct member **ranked, uint64_t *scores, uint32_t n_ranked,
    uint32_t n, const struct member *mb, uint64_t score)
{
	uint32_t i;

	if (n_ranked == n && score <= scores[n - 1])
		return n_ranked;
	i = n_ranked < n ? n_ranked : n - 1;
	for (; i > 0 && scores[i - 1] < score; i--) {
		scores[i] = scores[i - 1];
		ranked[i] = ranked[i - 1];
	}
	scores[i] = score;
	ranked[i] = mb;
	return n_ranked < n ? n_ranked + 1 : n;
}

/* Score of a host for a key; the highest ranks first. */
typedef uint64_t score_fn(const char *key, const struct member *mb);

static uint64_t
score(const char *key, const struct member *mb)
{
	return hash_rendezvous(key, mb->host);
}

/*
 * Bits of the score for the power of two of the link's rate, which precedes the
 * hash of the host.
 */
#define LINK_BITS 5

uint64_t
membership_score_by_link(const char *key, const struct member *mb)
{
	uint64_t doublings = g_bit_storage(mb->link_mbps);

	if (mb->link_mbps == 0)
		doublings = 0;
	return doublings << (64 - LINK_BITS) | score(key, mb) >> LINK_BITS;
}

static uint32_t
rank(const struct membership *m, const char *data_centre, const char *key,
    score_fn *fn, const struct member **ranked, uint32_t n)
{
	const struct dc *dc = table_dc(&m->table, data_centre);
	uint64_t scores[MEMBERSHIP_RANK_MAX];
	const struct row *r;
	uint32_t n_ranked = 0, i;

	n = MIN(n, MEMBERSHIP_RANK_MAX);
	if (dc == NULL || n == 0)
		return 0;
	for (i = 0; i < dc->rows->len; i++) {
		r = dc->rows->pdata[i];
		if (member_is_live(&r->member))
			n_ranked = insert(ranked, scores, n_ranked, n,
			    &r->member, fn(key, &r->member));
	}
	return n_ranked;
}

uint32_t
membership_rank(const struct membership *m, const char *data_centre,
    const char *key, const struct member **ranked, uint32_t n)
{
	return rank(m, data_centre, key, score, ranked, n);
}

uint32_t
membership_rank_by_link(const struct membership *m, const char *data_centre,
    const char *key, const struct member **ranked, uint32_t n)
{
	return rank(m, data_centre, key, membership_score_by_link, ranked, n);
}

void
membership_data_centres(const struct membership *m, GArray *list)
{
	struct membership_data_centre summary;
	const struct dc *dc;
	uint32_t i;

	for (i = 0; i < m->table.dcs->len; i++) {
		dc = m->table.dcs->pdata[i];
		if (dc->rows->len == 0)
			continue;
		summary.name = dc->name;
		summary.live = dc->live;
		summary.tombstones = dc->rows->len - dc->live;
		summary.heard_ms = dc->heard_ms;
		g_array_append_val(list, summary);
	}
}

uint64_t
membership_change(const struct membership *m)
{
	return m->table.change;
}

uint32_t
membership_live(const struct membership *m)
{
	return m->table.live;
}

uint64_t
membership_root(const struct membership *m)
{
	return m->table.root;
}

const struct membership_counters *
membership_counters(const struct membership *m)
{
	return &m->counters;
}
