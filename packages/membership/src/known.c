/*
 * Known: the newest version that the platform is known to have accepted,
 * whether a node can use it or not.
 *
 * Pings and acks carry it with the time since a node that read it at the
 * platform confirmed it.  What was heard lapses by that time, which only a
 * reader sets back: a number that was garbled on its way has no reader, and is
 * forgotten everywhere at once, however many nodes have passed it on.
 *
 * Probes alone, one a second, take seconds to reach all.  So each node also
 * pings a few others once when it learns of a version that is newer than that
 * of the head it knows: one that can't be used, or that is long on its way.
 * For one that spreads as it should, notices have brought the head by then.
 */
#include "base/clock.h"

#include "known.h"
#include "ping.h"
#include "table.h"

/*
 * Until a version lapses that no reader confirms.  Confirmations go by probes
 * alone: of 786 nodes of one data centre with three readers the last had the
 * first one after 5,200 to 5,900 ms (five seeds of the driver of test_known).
 */
#define LAPSE_MS 30000

static int
has_lapsed(const struct membership *m, uint64_t now_ms)
{
	return m->known.heard == 0 || m->known.until_ms <= now_ms;
}

void
known_fill(const struct membership *m, struct rec_gossip_head *head)
{
	const struct known *k = &m->known;

	head->known = k->own;
	head->known_age_ms = 0;
	if (has_lapsed(m, m->now_ms) || k->heard <= k->own)
		return;
	head->known = k->heard;
	head->known_age_ms = LAPSE_MS - (uint32_t)(k->until_ms - m->now_ms);
}

void
known_heard(struct membership *m, const struct rec_gossip_head *head)
{
	struct known *k = &m->known;
	uint64_t until_ms;

	if (head->known == 0 || head->known_age_ms >= LAPSE_MS)
		return;
	until_ms = m->now_ms + LAPSE_MS - head->known_age_ms;
	if (has_lapsed(m, m->now_ms) || head->known > k->heard) {
		k->heard = head->known;
		k->until_ms = until_ms;
	} else if (head->known == k->heard) {
		k->until_ms = MAX(k->until_ms, until_ms);
	}
}

/* What to tell a few others at once; 0 for nothing. */
static uint64_t
to_push(const struct membership *m)
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
	uint64_t version = to_push(m);
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
	return to_push(m) != 0 ? m->now_ms : DEADLINE_NEVER;
}

void
membership_set_known(struct membership *m, uint64_t version)
{
	m->known.own = version;
}

uint64_t
membership_known(const struct membership *m, uint64_t now_ms)
{
	const struct known *k = &m->known;

	return has_lapsed(m, now_ms) ? k->own : MAX(k->own, k->heard);
}
