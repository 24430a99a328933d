/*
 * News: gossip of records within the own data centre.
 *
 * Each record is sent a bounded number of times: on pings, on acks and in
 * gossip rounds.  Anti-entropy repairs the records that a node misses
 * nevertheless.
 */
#include "base/clock.h"

#include "news.h"
#include "probe.h"
#include "send.h"

/* Rate and burst of the token bucket that limits gossip rounds. */
#define ROUND_BYTES_PER_S 3000
#define ROUND_BURST_BYTES 36000

/* Part of the retransmit limit that does not depend on the number of nodes. */
#define RETRANSMIT_MIN 5

#define MS_PER_S 1000

/* A record in a gossip queue. */
struct queued_record {
	struct row *row;
	uint32_t sent;
	int urgent;
};

static GQueue *
queue_of(struct membership *m, const struct queued_record *it)
{
	return it->urgent ? &m->news.urgent : &m->news.normal;
}

/*
 * Number of times that a record is sent.  Each node receives the record this
 * number of times on average, so that n * exp(-limit) nodes are expected to
 * miss it.
 */
static uint32_t
retransmit_limit(const struct membership *m)
{
	uint32_t log = 1;

	while (m->home->live >> log != 0)
		log++;
	return RETRANSMIT_MIN + log * m->settings.retransmit_factor;
}

void
news_drop(struct membership *m, struct row *r)
{
	struct queued_record *it;

	if (r->news_link == NULL)
		return;
	it = r->news_link->data;
	g_queue_delete_link(queue_of(m, it), r->news_link);
	r->news_link = NULL;
	g_free(it);
}

/*
 * Whether records of other hosts are gossiped.  A node that is fetching the
 * table gossips only its own record: in a mass start each node would send all
 * records to each other node.
 */
static int
may_gossip(const struct membership *m)
{
	return !m->suppress_news && m->phase != MEMBERSHIP_JOINING &&
	    m->phase != MEMBERSHIP_REFRESHING;
}

void
news_add(struct membership *m, struct row *r, int urgent)
{
	struct queued_record *it;

	news_drop(m, r);
	if (r != m->self && !may_gossip(m))
		return;
	if (!news_pending(m) && m->news.next_ms < m->now_ms)
		m->news.next_ms = m->now_ms;
	it = g_new0(struct queued_record, 1);
	it->row = r;
	it->urgent = urgent;
	g_queue_push_head(queue_of(m, it), it);
	r->news_link = queue_of(m, it)->head;
}

/*
 * Whether a record is left out of messages: an isolated node does not gossip
 * its suspicions and failures, since the fault is likely its own.
 */
static int
is_withheld(const struct membership *m, const struct row *r)
{
	return probe_is_isolated(m) &&
	    (r->member.state == MEMBER_SUSPECT ||
		r->member.state == MEMBER_FAILED);
}

static void
fill_from(struct membership *m, GQueue *q, struct batch *b)
{
	uint32_t i, limit = retransmit_limit(m), n = q->length;
	struct queued_record *it;
	GList *link;

	for (i = 0; i < n; i++) {
		link = q->head;
		it = link->data;
		if (!is_withheld(m, it->row) && !batch_add(b, it->row))
			return;
		if (++it->sent >= limit) {
			news_drop(m, it->row);
			continue;
		}
		g_queue_unlink(q, link);
		g_queue_push_tail_link(q, link);
	}
}

void
news_fill(struct membership *m, struct batch *b)
{
	fill_from(m, &m->news.urgent, b);
	fill_from(m, &m->news.normal, b);
}

int
news_pending(const struct membership *m)
{
	return m->news.urgent.length > 0 || m->news.normal.length > 0;
}

static void
refill(struct membership *m)
{
	struct news_queue *q = &m->news;
	uint64_t gain;

	gain = (m->now_ms - q->refilled_ms) * ROUND_BYTES_PER_S / MS_PER_S;
	if (gain == 0)
		return;
	q->refilled_ms = m->now_ms;
	q->budget_bytes += (int64_t)MIN(gain, ROUND_BURST_BYTES);
	q->budget_bytes = MIN(q->budget_bytes, ROUND_BURST_BYTES);
}

static void
send_round(struct membership *m)
{
	struct batch b = {.n = 0};
	struct row *r;
	uint32_t i;

	for (i = 0; i < m->settings.gossip_fanout; i++) {
		r = table_random(m, m->home, m->self, MEMBER_STATES_LIVE);
		if (r == NULL || m->news.budget_bytes <= 0)
			return;
		news_fill(m, &b);
		m->news.budget_bytes -= b.bytes;
		send_batch(m, &r->member.address, &b);
	}
}

void
news_tick(struct membership *m)
{
	if (!news_pending(m) || m->now_ms < m->news.next_ms)
		return;
	m->news.next_ms = m->now_ms + m->settings.gossip_interval_ms;
	if (m->home->live <= 1) {
		news_clear(m);
		return;
	}
	refill(m);
	send_round(m);
}

uint64_t
news_next_ms(const struct membership *m)
{
	return news_pending(m) ? m->news.next_ms : DEADLINE_NEVER;
}

static void
clear_queue(struct membership *m, GQueue *q)
{
	struct queued_record *it;

	while ((it = g_queue_peek_head(q)) != NULL)
		news_drop(m, it->row);
}

void
news_clear(struct membership *m)
{
	clear_queue(m, &m->news.urgent);
	clear_queue(m, &m->news.normal);
}
