/*
 * Known version: the newest version that the platform is known to have
 * accepted, whether a node can use the version or not.
 *
 * Pings and acks carry the version with its age, which is the time since a node
 * that read the version at the platform confirmed it.  A reported version
 * expires by that age, and only a node that read the version resets the age.
 * So a corrupted number expires everywhere at once, however many nodes have
 * forwarded it.
 *
 * Probes alone, one a second, take seconds to reach all nodes.  So each node
 * also pings a few others once when it learns of a version above that of its
 * configuration head: a version that cannot be used, or that is slow to arrive.
 * A version that spreads in time has reached the head by then, through notices.
 */
#include "base/clock.h"

#include "known.h"
#include "ping.h"
#include "table.h"

/*
 * Age at which a reported version expires.  Confirmations travel on probes
 * only: of 786 nodes of one data centre with three readers, the last node
 * received its first confirmation after 5,200 to 5,900 ms (five seeds, driver
 * of test_known).
 */
#define EXPIRY_MS 30000

static int
has_expired(const struct membership *m, uint64_t now_ms)
{
	return m->known.reported == 0 || m->known.expires_ms <= now_ms;
}

void
known_fill(const struct membership *m, struct rec_gossip_head *head)
{
	const struct known *k = &m->known;

	head->store_epoch = k->store_epoch;
	head->known = k->own;
	head->known_age_ms = 0;
	if (has_expired(m, m->now_ms) || k->reported <= k->own)
		return;
	head->known = k->reported;
	head->known_age_ms = EXPIRY_MS - (uint32_t)(k->expires_ms - m->now_ms);
}

void
known_merge(struct membership *m, const struct rec_gossip_head *head)
{
	struct known *k = &m->known;
	uint64_t expires_ms;

	membership_set_store_epoch(m, head->store_epoch);
	if (head->known == 0 || head->known_age_ms >= EXPIRY_MS)
		return;
	expires_ms = m->now_ms + EXPIRY_MS - head->known_age_ms;
	if (has_expired(m, m->now_ms) || head->known > k->reported) {
		k->reported = head->known;
		k->expires_ms = expires_ms;
	} else if (head->known == k->reported) {
		k->expires_ms = MAX(k->expires_ms, expires_ms);
	}
}

/* Version to push to a few peers at once; 0 for none. */
static uint64_t
version_to_push(const struct membership *m)
{
	uint64_t version = membership_known(m, m->now_ms);

	if (m->phase != MEMBERSHIP_JOINED || version <= m->head.version ||
	    version <= m->known.pushed)
		return 0;
	return version;
}

void
known_tick(struct membership *m)
{
	uint64_t version = version_to_push(m);
	const struct row *r;
	uint32_t i;

	if (version == 0)
		return;
	m->known.pushed = version;
	for (i = 0; i < m->settings.gossip_fanout; i++) {
		r = table_random(
		    m, m->home, m->self, MEMBER_STATE_BIT(MEMBER_ALIVE));
		if (r != NULL)
			(void)ping_host(m, &r->member.address, r->member.host);
	}
}

uint64_t
known_next_ms(const struct membership *m)
{
	return version_to_push(m) != 0 ? m->now_ms : DEADLINE_NEVER;
}

void
membership_set_known(struct membership *m, uint64_t version)
{
	m->known.own = version;
}

void
membership_set_store_epoch(struct membership *m, uint64_t epoch)
{
	m->known.store_epoch = MAX(m->known.store_epoch, epoch);
}

uint64_t
membership_store_epoch(const struct membership *m)
{
	return m->known.store_epoch;
}

uint64_t
membership_known(const struct membership *m, uint64_t now_ms)
{
	const struct known *k = &m->known;

	return has_expired(m, now_ms) ? k->own : MAX(k->own, k->reported);
}
