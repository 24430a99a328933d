/*
 * Relays: the few nodes that exchange records with another data centre.
 *
 * For each other data centre, the live nodes that rank first for the pair of
 * data centres ping a peer there and send the peer the records of the own data
 * centre as they change.  The peers are selected by the same rank, which
 * spreads the load.  A peer that does not answer is not suspected: the peer may
 * be alive behind a partition.  The pings carry the digest of the table, so
 * that anti-entropy repairs lost records.
 */
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

#include "ping.h"
#include "relay.h"
#include "send.h"

/* Interval of the checks for records to send. */
#define CHECK_INTERVAL_MS 200

/* Most datagrams to a data centre per check. */
#define DATAGRAMS_PER_CHECK 8

/* After this many ranked peers without an answer a random peer is selected. */
#define RANKED_PEERS 8

#define KEY_BYTES (MEMBER_NAME_BYTES + sizeof("relay:"))

static void
relay_key(const char *data_centre, char *key)
{
	(void)snprintf(key, KEY_BYTES, "relay:%s", data_centre);
}

/* Own rank for a data centre, from 0; @most if that many nodes rank before. */
static uint32_t
own_rank(const struct membership *m, const struct dc *dc, uint32_t most)
{
	char key[KEY_BYTES];
	const struct row *r;
	uint32_t i, rank = 0;
	uint64_t own;

	relay_key(dc->name, key);
	own = hash_rendezvous(key, m->settings.host);
	for (i = 0; i < m->home->rows->len && rank < most; i++) {
		r = m->home->rows->pdata[i];
		if (r != m->self && member_is_live(&r->member) &&
		    hash_rendezvous(key, r->member.host) > own)
			rank++;
	}
	return rank;
}

/* Selects the data centres that this node is a relay for. */
static void
choose(struct membership *m)
{
	struct dc *dc;
	uint32_t i;
	int was_relay;

	if (m->relays_change == m->home->live_change &&
	    m->relays_dcs == m->table.dcs->len)
		return;
	m->relays_change = m->home->live_change;
	m->relays_dcs = m->table.dcs->len;
	for (i = 0; i < m->table.dcs->len; i++) {
		dc = m->table.dcs->pdata[i];
		if (dc == m->home)
			continue;
		was_relay = dc->relay;
		dc->relay_rank = own_rank(m, dc, m->settings.relays);
		dc->relay = dc->relay_rank < m->settings.relays;
		if (dc->relay && !was_relay) {
			/* Anti-entropy covers earlier changes. */
			dc->relay_sent_change = m->home->change;
			dc->relay_next_ms = m->now_ms;
			dc->relay_misses = 0;
		}
	}
}

static const struct member *
peer_in(struct membership *m, const struct dc *dc)
{
	const struct member *ranked[RANKED_PEERS];
	char key[KEY_BYTES];
	uint32_t n;

	if (dc->relay_misses >= RANKED_PEERS)
		return membership_random(m, dc->name, MEMBER_STATES_LIVE);
	relay_key(m->home->name, key);
	n = membership_rank(m, dc->name, key, ranked, RANKED_PEERS);
	if (n == 0)
		return NULL;
	return ranked[(dc->relay_rank + dc->relay_misses) % n];
}

static int
by_change(gconstpointer a, gconstpointer b)
{
	const struct row *const *ra = a, *const *rb = b;

	return ((*ra)->change > (*rb)->change) -
	    ((*ra)->change < (*rb)->change);
}

/* Rows of the own data centre that changed after @sent, oldest first. */
static GPtrArray *
changed_since(const struct membership *m, uint64_t sent)
{
	GPtrArray *changed = g_ptr_array_new();
	struct row *r;
	uint32_t i;

	for (i = 0; i < m->home->rows->len; i++) {
		r = m->home->rows->pdata[i];
		if (r->change > sent)
			g_ptr_array_add(changed, r);
	}
	g_ptr_array_sort(changed, by_change);
	return changed;
}

/*
 * Sends changed rows of the own data centre; rows beyond the limit wait for the
 * next check.
 */
static void
send_changes(struct membership *m, struct dc *dc, const struct net_addr *to)
{
	GPtrArray *changed = changed_since(m, dc->relay_sent_change);
	uint32_t datagrams = 0, i;
	struct batch b = {.n = 0};
	const struct row *r;

	for (i = 0; i < changed->len; i++) {
		r = changed->pdata[i];
		if (!batch_add(&b, r)) {
			send_batch(m, to, &b);
			if (++datagrams == DATAGRAMS_PER_CHECK)
				break;
			(void)batch_add(&b, r);
		}
		dc->relay_sent_change = r->change;
	}
	send_batch(m, to, &b);
	if (i == changed->len)
		dc->relay_sent_change = m->home->change;
	g_ptr_array_unref(changed);
}

static void
exchange(struct membership *m, struct dc *dc)
{
	const struct member *peer;
	uint32_t half = m->settings.relay_interval_ms / 2;

	if (dc->relay_sent_change == m->home->change &&
	    m->now_ms < dc->relay_next_ms)
		return;
	peer = peer_in(m, dc);
	if (peer == NULL)
		return;
	if (dc->relay_sent_change != m->home->change)
		send_changes(m, dc, &peer->address);
	if (m->now_ms < dc->relay_next_ms)
		return;
	dc->relay_next_ms = m->now_ms + half + random_below(m, 2 * half);
	dc->relay_misses++;
	dc->relay_seq = ping_host(m, &peer->address, peer->host);
}

void
relay_tick(struct membership *m)
{
	struct dc *dc;
	uint32_t i;

	if (m->phase != MEMBERSHIP_JOINED || m->now_ms < m->relays_check_ms)
		return;
	m->relays_check_ms = m->now_ms + CHECK_INTERVAL_MS;
	choose(m);
	for (i = 0; i < m->table.dcs->len; i++) {
		dc = m->table.dcs->pdata[i];
		if (dc->relay)
			exchange(m, dc);
	}
}

uint64_t
relay_next_ms(const struct membership *m)
{
	if (m->phase != MEMBERSHIP_JOINED || m->table.dcs->len < 2)
		return DEADLINE_NEVER;
	return m->relays_check_ms;
}

void
relay_on_ack(struct membership *m, uint32_t seq)
{
	struct dc *dc;
	uint32_t i;

	for (i = 0; i < m->table.dcs->len; i++) {
		dc = m->table.dcs->pdata[i];
		if (dc->relay && dc->relay_seq == seq)
			dc->relay_misses = 0;
	}
}
