/*
 * Joining: a starting node fetches the table from a peer.
 *
 * The node requests the table from a single peer at a time, part by part.  A
 * peer that serves too many joins, or has not joined itself, refuses with a
 * time for the next attempt and the addresses of other peers.  When no peer
 * holds the table, as at the start of a whole data centre or of the first node,
 * the seeds bootstrap first: their tables contain the nodes that sent them
 * requests, and they serve the others.
 */
#include <string.h>

#include "base/clock.h"

#include "action.h"
#include "claim.h"
#include "join.h"
#include "merge.h"
#include "news.h"
#include "probe.h"
#include "send.h"
#include "settle.h"
#include "suspicion.h"

/* Timeout of an answer. */
#define ANSWER_MS 2000

/*
 * Timeout of the first answer, shorter because the peer's host may be down
 * and other peers are available.  While hosts start together, many requests go
 * to hosts without power, so the timeout begins at some ten round trips inside
 * a region.  Each timeout in a row doubles the next, for peers that are far or
 * slow.
 */
#define FIRST_ANSWER_MS 100
#define TIMEOUT_SHIFT_MAX 2

/*
 * A seed bootstraps after this share of the bootstrap time, so that other nodes
 * can join the seed before they bootstrap.
 */
#define SEED_BOOTSTRAP_PERCENT 40
#define PERCENT 100

/* Full-jitter back-off between two rounds of requests. */
#define BACKOFF_BASE_MS 100
#define BACKOFF_CAP_MS 5000
#define BACKOFF_SHIFT_MAX 6

/* Delay before a peer that did not answer gets another request. */
#define PEER_RETRY_MS 1000

/* Longest delay before the next peer gets a request. */
#define NEXT_PEER_MS 100

#define CANDIDATES_MAX 128

/*
 * After this many refusals in a row by peers that are joining themselves, the
 * node assumes that all started together and no peer holds a table, and
 * bootstraps.  When half of a fleet restarts, the assumption is wrong in one
 * case of eight; the comparison of tables after the start repairs that.
 */
#define UNJOINED_MAX 3

/* Live peers that become candidates, besides the seeds, after a freeze. */
#define REFRESH_PEERS 8

void
join_init(struct membership *m)
{
	m->joiner.candidates =
	    g_array_new(FALSE, TRUE, sizeof(struct candidate));
	m->joiner.deadline_ms = DEADLINE_NEVER;
}

void
join_clear(struct membership *m)
{
	g_array_unref(m->joiner.candidates);
}

static struct candidate *
candidate(struct membership *m, uint32_t i)
{
	return &g_array_index(m->joiner.candidates, struct candidate, i);
}

static struct candidate *
candidate_find(struct membership *m, const struct net_addr *addr)
{
	uint32_t i;

	for (i = 0; i < m->joiner.candidates->len; i++)
		if (addr_equal(&candidate(m, i)->addr, addr))
			return candidate(m, i);
	return NULL;
}

static void
candidate_add(struct membership *m, const struct net_addr *addr)
{
	struct candidate c = {.addr = *addr};

	if (addr->ip == 0 || addr->port == 0 ||
	    addr_equal(addr, &m->settings.address) ||
	    m->joiner.candidates->len >= CANDIDATES_MAX ||
	    candidate_find(m, addr) != NULL)
		return;
	g_array_append_val(m->joiner.candidates, c);
}

/* Adds the seeds as candidates; a node that is a seed bootstraps sooner. */
static void
add_seed_candidates(struct membership *m)
{
	struct joiner *j = &m->joiner;
	uint32_t i;

	for (i = 0; i < m->settings.n_seeds; i++) {
		candidate_add(m, &m->seeds[i]);
		j->is_seed |= addr_equal(&m->seeds[i], &m->settings.address);
	}
	if (j->is_seed)
		j->bootstrap_ms = j->start_ms +
		    (uint64_t)m->settings.bootstrap_ms *
			SEED_BOOTSTRAP_PERCENT / PERCENT;
}

static void
reset(struct membership *m)
{
	struct joiner *j = &m->joiner;

	j->pending = 0;
	j->complete = 0;
	j->cursor = 0;
	j->attempts = 0;
	j->unjoined = 0;
	j->timeouts = 0;
	j->deadline_ms = m->now_ms;
	j->start_ms = m->now_ms;
	j->bootstrap_ms = m->now_ms + m->settings.bootstrap_ms;
	g_array_set_size(j->candidates, 0);
	add_seed_candidates(m);
}

void
join_seeds_added(struct membership *m)
{
	if (m->phase != MEMBERSHIP_JOINING || m->joiner.complete)
		return;
	add_seed_candidates(m);
	if (!m->joiner.pending)
		m->joiner.deadline_ms = m->now_ms;
}

void
join_on_ping(struct membership *m, const struct net_addr *from)
{
	struct joiner *j = &m->joiner;
	uint32_t before = j->candidates->len;

	if (m->phase != MEMBERSHIP_JOINING || j->complete)
		return;
	candidate_add(m, from);
	if (j->candidates->len > before && !j->pending)
		j->deadline_ms = m->now_ms;
}

void
join_start(struct membership *m)
{
	m->joiner.own_only = 0;
	reset(m);
	action_phase(m, MEMBERSHIP_JOINING);
}

void
join_refresh(struct membership *m)
{
	GPtrArray *rows = m->home->rows;
	struct row *r;
	uint32_t i;

	m->joiner.own_only = 1;
	reset(m);
	for (i = 0; i < rows->len; i++) {
		r = rows->pdata[i];
		r->unconfirmed = r != m->self;
	}
	for (i = 0; i < REFRESH_PEERS; i++) {
		r = table_random(m, m->home, m->self, MEMBER_STATES_LIVE);
		if (r != NULL)
			candidate_add(m, &r->member.address);
	}
	action_phase(m, MEMBERSHIP_REFRESHING);
}

/*
 * Marks the live hosts that the peer did not send as failed: they may have left
 * and been forgotten during the freeze.  The peer may lack hosts too, so any
 * record from other nodes overrides the mark.
 */
static void
fail_unconfirmed(struct membership *m)
{
	GPtrArray *rows = m->home->rows;
	struct row *r;
	uint32_t i;

	m->suppress_news = 1;
	for (i = 0; i < rows->len; i++) {
		r = rows->pdata[i];
		if (!member_is_live(&r->member))
			r->unconfirmed = 0;
		else if (r->unconfirmed)
			suspicion_mark_dead(m, r, MEMBER_FAILED);
	}
	m->suppress_news = 0;
}

/* The table is complete: become joined, unless a claim is pending. */
static void
finish(struct membership *m)
{
	struct joiner *j = &m->joiner;

	if (m->claim.active)
		return;
	j->complete = 0;
	j->deadline_ms = DEADLINE_NEVER;
	m->joined_ms = m->now_ms;
	m->prober.reconnect_ms = m->now_ms;
	m->prober.next_ms =
	    m->now_ms + random_below(m, m->settings.probe_interval_ms);
	m->relays_check_ms = m->now_ms;
	probe_shuffle(m);
	action_phase(m, MEMBERSHIP_JOINED);
	news_add(m, m->self, 1);
	settle_begin(m);
}

static void
complete(struct membership *m, int have_table)
{
	m->joiner.pending = 0;
	m->joiner.complete = 1;
	if (have_table && m->phase == MEMBERSHIP_REFRESHING)
		fail_unconfirmed(m);
	finish(m);
}

static void
postpone(struct membership *m, const struct net_addr *addr, uint64_t ms)
{
	struct candidate *c = candidate_find(m, addr);

	if (c != NULL)
		c->not_before_ms = m->now_ms + ms;
}

/* Whether a candidate may get a request now. */
static int
has_eligible(struct membership *m)
{
	uint32_t i;

	for (i = 0; i < m->joiner.candidates->len; i++)
		if (candidate(m, i)->not_before_ms <= m->now_ms)
			return 1;
	return 0;
}

/*
 * Handles a missing answer: the peer is postponed, and the next peer gets a
 * request soon.  The delay grows only when all candidates are postponed, since
 * many hosts are not up yet when hosts start together.
 */
static void
back_off(struct membership *m, const struct net_addr *peer)
{
	struct joiner *j = &m->joiner;
	uint32_t most = NEXT_PEER_MS;

	j->pending = 0;
	j->cursor = 0;
	postpone(m, peer, PEER_RETRY_MS);
	if (!has_eligible(m)) {
		most = (uint32_t)BACKOFF_BASE_MS
		    << MIN(j->attempts, BACKOFF_SHIFT_MAX);
		j->attempts++;
	}
	j->deadline_ms =
	    m->now_ms + random_below(m, MIN(most, BACKOFF_CAP_MS) + 1);
}

static uint64_t
first_answer_ms(const struct joiner *j)
{
	return (uint64_t)FIRST_ANSWER_MS << MIN(j->timeouts, TIMEOUT_SHIFT_MAX);
}

static void
send_request(struct membership *m, const struct net_addr *to, uint32_t cursor)
{
	struct joiner *j = &m->joiner;
	GByteArray *body = g_byte_array_new();
	struct msg_join msg;

	memset(&msg, 0, sizeof(msg));
	record_fill(m->self, &msg.self);
	msg.cursor = cursor;
	msg.own_only = j->own_only != 0;
	msg_join_encode(&msg, body);
	record_clear(&msg.self);
	send_frame(m, to, 0, MSG_JOIN, body);
	j->peer = *to;
	j->pending = 1;
	j->cursor = cursor;
	j->deadline_ms =
	    m->now_ms + (cursor == 0 ? first_answer_ms(j) : ANSWER_MS);
}

/*
 * Returns a random candidate that may get a request now.  If none may, returns
 * NULL and sets the deadline to when the first may.
 */
static struct candidate *
pick_candidate(struct membership *m)
{
	uint32_t i, n = m->joiner.candidates->len, start;
	uint64_t soonest = DEADLINE_NEVER;
	struct candidate *c;

	start = random_below(m, n);
	for (i = 0; i < n; i++) {
		c = candidate(m, (start + i) % n);
		if (c->not_before_ms <= m->now_ms)
			return c;
		soonest = MIN(soonest, c->not_before_ms);
	}
	m->joiner.deadline_ms = soonest + random_below(m, NEXT_PEER_MS);
	return NULL;
}

/*
 * Whether to continue without a table.  A peer that holds the table and refused
 * moves the bootstrap deadline on, see join_on_refused().
 */
static int
may_bootstrap(const struct membership *m)
{
	const struct joiner *j = &m->joiner;

	if (j->candidates->len > 0)
		return m->now_ms >= j->bootstrap_ms;
	return m->now_ms >= j->start_ms + m->settings.await_seeds_ms;
}

void
join_tick(struct membership *m)
{
	struct joiner *j = &m->joiner;
	const struct candidate *c;

	if (m->phase != MEMBERSHIP_JOINING && m->phase != MEMBERSHIP_REFRESHING)
		return;
	if (j->complete) {
		finish(m);
		return;
	}
	if (m->now_ms < j->deadline_ms)
		return;
	if (j->pending) {
		outbox_close(m->out, &j->peer, 0);
		j->timeouts++;
		back_off(m, &j->peer);
		return;
	}
	if (may_bootstrap(m)) {
		complete(m, 0);
		return;
	}
	if (j->candidates->len == 0) {
		j->deadline_ms = j->start_ms + m->settings.await_seeds_ms;
		return;
	}
	c = pick_candidate(m);
	if (c != NULL)
		send_request(m, &c->addr, 0);
}

uint64_t
join_next_ms(const struct membership *m)
{
	if (m->phase != MEMBERSHIP_JOINING && m->phase != MEMBERSHIP_REFRESHING)
		return DEADLINE_NEVER;
	return m->joiner.deadline_ms;
}

void
join_unreachable(struct membership *m, const struct net_addr *to)
{
	struct joiner *j = &m->joiner;

	if (!j->pending || !addr_equal(&j->peer, to))
		return;
	back_off(m, to);
}

/* Raises the own incarnation above @held, which the peer held for this host. */
static void
override_held(struct membership *m, uint64_t held)
{
	if (held <= INCARNATION_MAX && held >= m->self->member.incarnation)
		merge_supersede(m, held);
}

static void
merge_part(struct membership *m, const struct net_addr *from,
    const struct msg_join_table *msg)
{
	merge_records(m, msg->host, MERGE_TABLE, msg->rows, msg->n_rows);
	override_held(m, msg->held);
	if (m->phase != MEMBERSHIP_JOINING && m->phase != MEMBERSHIP_REFRESHING)
		return;
	if (msg->next != 0) {
		send_request(m, from, msg->next);
		return;
	}
	complete(m, 1);
}

void
join_on_table(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len)
{
	struct joiner *j = &m->joiner;
	struct msg_join_table msg;

	if (!j->pending || !addr_equal(&j->peer, from))
		return;
	if (msg_join_table_decode(body, len, &msg) != STATUS_OK) {
		m->counters.rejected++;
		join_unreachable(m, from);
		return;
	}
	if (msg.cursor == j->cursor)
		merge_part(m, from, &msg);
	msg_join_table_clear(&msg);
}

void
join_on_refused(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len)
{
	struct joiner *j = &m->joiner;
	struct msg_join_refused msg;
	struct net_addr other;
	uint32_t i;

	if (!j->pending || !addr_equal(&j->peer, from))
		return;
	if (msg_join_refused_decode(body, len, &msg) != STATUS_OK) {
		m->counters.rejected++;
		return;
	}
	for (i = 0; i < msg.n_others; i++) {
		other.ip = msg.others[i].ip;
		other.port = msg.others[i].port;
		candidate_add(m, &other);
	}
	/*
	 * A refusal is no failure: other peers get requests at once, this peer
	 * later.
	 */
	postpone(m, from, msg.come_back_ms + random_below(m, msg.come_back_ms));
	j->pending = 0;
	j->deadline_ms = m->now_ms + random_below(m, NEXT_PEER_MS);
	if (msg.joined || !j->is_seed)
		j->bootstrap_ms =
		    MAX(j->bootstrap_ms, m->now_ms + m->settings.bootstrap_ms);
	j->timeouts = 0;
	j->unjoined = msg.joined ? 0 : j->unjoined + 1;
	if (!msg.joined)
		settle_compare(m, from);
	if (j->unjoined >= UNJOINED_MAX) {
		j->bootstrap_ms = m->now_ms;
		j->deadline_ms = m->now_ms;
	}
	msg_join_refused_clear(&msg);
}
