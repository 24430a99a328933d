/*
 * Reconnecting: pings to unknown seeds and to failed hosts.
 *
 * Two partitions of a data centre that marked each other as failed would never
 * merge otherwise, nor would nodes that started while no seed was reachable.
 */
#include "base/clock.h"

#include "ping.h"
#include "reconnect.h"
#include "table.h"

#define INTERVAL_MS 10000

/* Shorter interval of a node that is alone or joined recently. */
#define FAST_INTERVAL_MS 1000
#define FAST_PERIOD_MS 30000

/*
 * The shorter interval also applies this long after a host failed or left,
 * since the host is likely to come back.
 */
#define RECENT_MS 20000

static int
is_live_address(const struct membership *m, const struct net_addr *addr)
{
	const struct row *r;
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, m->table.hosts);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		r = p;
		if (addr_equal(&r->member.address, addr) &&
		    member_is_live(&r->member))
			return 1;
	}
	return 0;
}

static void
ping_seed(struct membership *m)
{
	uint32_t n = m->settings.n_seeds;
	const struct net_addr *seed;

	if (n == 0)
		return;
	seed = &m->seeds[random_below(m, n)];
	if (!is_live_address(m, seed))
		(void)ping_host(m, seed, "");
}

static void
ping_dead(struct membership *m)
{
	const struct row *r;

	r = table_random(m, m->home, m->self, MEMBER_STATES_DEAD);
	if (r != NULL)
		(void)ping_host(m, &r->member.address, r->member.host);
}

/* Whether a host of the own data centre failed or left recently. */
static int
any_recently_dead(const struct membership *m)
{
	const struct row *r;
	guint i;

	for (i = 0; i < m->home->rows->len; i++) {
		r = m->home->rows->pdata[i];
		if (!member_is_live(&r->member) &&
		    m->now_ms < r->changed_ms + RECENT_MS)
			return 1;
	}
	return 0;
}

void
reconnect_seeds_added(struct membership *m)
{
	if (m->phase == MEMBERSHIP_JOINED)
		m->prober.reconnect_ms = m->now_ms;
}

void
reconnect_tick(struct membership *m)
{
	uint32_t interval = INTERVAL_MS;

	if (m->phase != MEMBERSHIP_JOINED || m->now_ms < m->prober.reconnect_ms)
		return;
	if (m->home->live <= 1 || m->now_ms < m->joined_ms + FAST_PERIOD_MS ||
	    any_recently_dead(m))
		interval = FAST_INTERVAL_MS;
	m->prober.reconnect_ms =
	    m->now_ms + interval / 2 + random_below(m, interval);
	ping_seed(m);
	ping_dead(m);
}

uint64_t
reconnect_next_ms(const struct membership *m)
{
	return m->phase == MEMBERSHIP_JOINED ? m->prober.reconnect_ms
					     : DEADLINE_NEVER;
}
