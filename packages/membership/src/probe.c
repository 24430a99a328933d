/*
 * Probing: pings, their answers, and probes through others (SWIM, Das et al.
 * 2002).
 *
 * Each interval one host of the own data centre is probed, all of them in a
 * random order before any comes twice.  A node that hears nothing at all
 * while its probes fail doubts itself: it probes more slowly and waits
 * longer.
 */
#include <string.h>

#include "base/clock.h"

#include "merge.h"
#include "news.h"
#include "probe.h"
#include "reconnect.h"
#include "relay.h"
#include "send.h"
#include "suspicion.h"
#include "sync.h"
#include "action.h"

#define DOUBT_MAX 8

/* After so many failed probes in a row a node doesn't believe its view. */
#define DISTRUST_MISSES 6

/* Times that others are asked, each time besides a further ping, before a
 * probe has failed.  At 20 % loss one round fails 3 % of the probes of live
 * hosts, two rounds 0.2 %. */
#define INDIRECT_ROUNDS 2

/* A probe through others takes two round trips. */
#define INDIRECT_ROUND_TRIPS 2

/* Most probes made for others at once. */
#define PASSED_MAX 64

/* Hosts told of by other data centres that are probed a second. */
#define HINTS_PER_S 8
#define HINTS_INTERVAL_MS 1000

void
probe_init(struct membership *m)
{
	struct prober *p = &m->prober;

	p->probes = g_array_new(FALSE, FALSE, sizeof(struct probe));
	p->passed = g_array_new(FALSE, FALSE, sizeof(struct passed_probe));
	p->next_ms = m->now_ms + random_below(m, m->settings.probe_interval_ms);
}

void
probe_clear(struct membership *m)
{
	g_array_unref(m->prober.probes);
	g_array_unref(m->prober.passed);
}

void
probe_reset(struct membership *m)
{
	g_array_set_size(m->prober.probes, 0);
	g_array_set_size(m->prober.passed, 0);
	m->prober.next_ms = m->now_ms + m->settings.probe_interval_ms;
}

int
probe_distrusted(const struct membership *m)
{
	return m->prober.misses >= DISTRUST_MISSES;
}

/* Time that an answer may take, longer the more this node doubts itself. */
static uint64_t
patience_ms(const struct membership *m)
{
	return (uint64_t)m->settings.probe_timeout_ms * (1 + m->prober.doubt);
}

static void
ping(struct membership *m, const struct net_addr *to, const char *host,
    uint32_t seq, struct batch *b)
{
	struct msg_ping msg;
	GByteArray *body = g_byte_array_new();

	memset(&msg, 0, sizeof(msg));
	msg.seq = seq;
	(void)g_strlcpy(msg.host, m->settings.host, sizeof(msg.host));
	(void)g_strlcpy(msg.target, host, sizeof(msg.target));
	msg.root = m->table.root;
	msg.head = m->head;
	msg.news = b->records;
	msg.n_news = b->n;
	msg_ping_encode(&msg, body);
	send_datagram(m, to, MSG_PING, body);
	m->counters.news_sent += b->n;
	batch_clear(b);
}

static void
ping_with_news(struct membership *m, const struct net_addr *to,
    const char *host, uint32_t seq)
{
	const struct row *r = table_row(&m->table, host);
	struct batch b = {.n = 0};

	/* Tell it first what is said of it, so that it can refute. */
	if (r != NULL && r->member.state != MEMBER_ALIVE)
		(void)batch_add(&b, r);
	if (r == NULL || r->dc == m->home)
		news_fill(m, &b);
	ping(m, to, host, seq, &b);
}

uint32_t
probe_ping(struct membership *m, const struct net_addr *to, const char *host)
{
	uint32_t seq = ++m->prober.seq;

	ping_with_news(m, to, host, seq);
	return seq;
}

static void
start(struct membership *m, const struct row *r)
{
	struct probe p = {.rounds = 0};

	(void)g_strlcpy(p.host, r->member.host, sizeof(p.host));
	p.seq = probe_ping(m, &r->member.address, r->member.host);
	p.began_ms = m->now_ms;
	p.deadline_ms = m->now_ms + patience_ms(m);
	g_array_append_val(m->prober.probes, p);
	m->counters.probes++;
}

uint64_t
probe_longest_ms(const struct membership *m)
{
	uint64_t step = patience_ms(m) + m->settings.probe_timeout_ms;

	/* The doubt may rise by one meanwhile; the ticks may be late. */
	return step * (1 + INDIRECT_ROUNDS * INDIRECT_ROUND_TRIPS);
}

void
probe_now(struct membership *m, const struct row *r)
{
	if (m->phase == MEMBERSHIP_JOINED && r->dc == m->home)
		start(m, r);
}

void
probe_hint(
    struct membership *m, const struct rec_member *rec, const struct row *r)
{
	struct net_addr to = record_addr(rec);
	struct batch b = {.n = 0};

	if (m->now_ms >= m->prober.hints_ms) {
		m->prober.hints_ms = m->now_ms + HINTS_INTERVAL_MS;
		m->prober.hints = HINTS_PER_S;
	}
	if (m->prober.hints == 0)
		return;
	m->prober.hints--;
	if (r != NULL) {
		(void)probe_ping(m, &to, rec->host);
		return;
	}
	/* Not known here at all: as good as failed until it says otherwise. */
	b.records[b.n] = *rec;
	b.records[b.n].state = MEMBER_FAILED;
	b.records[b.n].endpoints = NULL;
	b.records[b.n++].n_endpoints = 0;
	ping(m, &to, rec->host, ++m->prober.seq, &b);
}

/* Put the rows of the own data centre into a random order. */
static void
shuffle(struct membership *m)
{
	GPtrArray *rows = m->home->rows;
	struct row *a, *b;
	uint32_t i, j;

	for (i = rows->len; i > 1; i--) {
		j = random_below(m, i);
		a = rows->pdata[i - 1];
		b = rows->pdata[j];
		rows->pdata[i - 1] = b;
		rows->pdata[j] = a;
		b->slot = i - 1;
		a->slot = j;
	}
}

static const struct row *
next_target(struct membership *m)
{
	GPtrArray *rows = m->home->rows;
	const struct row *r;
	uint32_t i;

	for (i = 0; i < rows->len; i++) {
		if (m->prober.cursor >= rows->len) {
			m->prober.cursor = 0;
			shuffle(m);
		}
		r = rows->pdata[m->prober.cursor++];
		if (r != m->self && member_is_live(&r->member))
			return r;
	}
	return NULL;
}

static void
ask_others(struct membership *m, const struct row *target, uint32_t seq)
{
	const struct row *last = NULL, *r;
	struct msg_ping_req msg;
	GByteArray *body;
	uint32_t i;

	memset(&msg, 0, sizeof(msg));
	msg.seq = seq;
	(void)g_strlcpy(msg.host, m->settings.host, sizeof(msg.host));
	(void)g_strlcpy(msg.target, target->member.host, sizeof(msg.target));
	msg.ip = target->member.address.ip;
	msg.port = target->member.address.port;
	for (i = 0; i < m->settings.indirect_probes; i++) {
		r = table_random(
		    m, m->home, m->self, MEMBER_STATE_BIT(MEMBER_ALIVE));
		if (r == NULL || r == target || r == last)
			continue;
		last = r;
		body = g_byte_array_new();
		msg_ping_req_encode(&msg, body);
		send_datagram(m, &r->member.address, MSG_PING_REQ, body);
	}
}

static void
failed(struct membership *m, struct row *r, uint64_t began_ms)
{
	struct prober *p = &m->prober;

	m->counters.probes_failed++;
	p->misses++;
	if (p->heard_ms < began_ms)
		p->doubt = MIN(p->doubt + 1, DOUBT_MAX);
	suspicion_raise(m, r, suspicion_accuser(m->settings.host));
}

/* The deadline of a probe passed. Returns whether it is over. */
static int
expire(struct membership *m, struct probe *p)
{
	struct row *r = table_row(&m->table, p->host);

	if (r == NULL || !member_is_live(&r->member) || r->dc != m->home)
		return 1;
	if (p->rounds < INDIRECT_ROUNDS) {
		p->rounds++;
		p->deadline_ms =
		    m->now_ms + INDIRECT_ROUND_TRIPS * patience_ms(m);
		ping_with_news(m, &r->member.address, r->member.host, p->seq);
		ask_others(m, r, p->seq);
		return 0;
	}
	failed(m, r, p->began_ms);
	return 1;
}

static void
expire_probes(struct membership *m)
{
	GArray *probes = m->prober.probes;
	struct probe *p;
	uint32_t i;

	for (i = probes->len; i-- > 0;) {
		p = &g_array_index(probes, struct probe, i);
		if (p->deadline_ms <= m->now_ms && expire(m, p))
			(void)g_array_remove_index_fast(probes, i);
	}
}

static void
expire_passed(struct membership *m)
{
	GArray *passed = m->prober.passed;
	uint32_t i;

	for (i = passed->len; i-- > 0;)
		if (g_array_index(passed, struct passed_probe, i).deadline_ms <=
		    m->now_ms)
			(void)g_array_remove_index_fast(passed, i);
}

void
probe_tick(struct membership *m)
{
	struct prober *p = &m->prober;
	const struct row *r;

	expire_passed(m);
	if (m->phase != MEMBERSHIP_JOINED)
		return;
	expire_probes(m);
	if (m->now_ms < p->next_ms)
		return;
	p->next_ms = m->now_ms +
	    (uint64_t)m->settings.probe_interval_ms * (1 + p->doubt);
	r = next_target(m);
	if (r != NULL)
		start(m, r);
}

uint64_t
probe_next_ms(const struct membership *m)
{
	const GArray *probes = m->prober.probes;
	uint64_t next = m->prober.next_ms;
	uint32_t i;

	if (m->phase != MEMBERSHIP_JOINED)
		return DEADLINE_NEVER;
	for (i = 0; i < probes->len; i++)
		next = MIN(
		    next, g_array_index(probes, struct probe, i).deadline_ms);
	return next;
}

/* The host answered: it lives, and this node can be reached. */
static void
answered(struct membership *m)
{
	struct prober *p = &m->prober;

	p->doubt -= p->doubt > 0;
	if (probe_distrusted(m))
		suspicion_withdraw(m);
	p->misses = 0;
}

static void
end_probe(struct membership *m, uint32_t seq, const char *host)
{
	GArray *probes = m->prober.probes;
	struct probe *p;
	struct row *r;
	uint32_t i;

	for (i = 0; i < probes->len; i++) {
		p = &g_array_index(probes, struct probe, i);
		if (p->seq != seq || strcmp(p->host, host) != 0)
			continue;
		(void)g_array_remove_index_fast(probes, i);
		answered(m);
		r = table_row(&m->table, host);
		if (r != NULL)
			suspicion_answered(m, r);
		return;
	}
}

static void
send_ack(struct membership *m, const struct net_addr *to, uint32_t seq,
    const char *prober)
{
	const struct row *r = table_row(&m->table, prober);
	struct batch b = {.n = 0};
	struct msg_ack msg;
	GByteArray *body = g_byte_array_new();

	if (r != NULL && r->member.state != MEMBER_ALIVE)
		(void)batch_add(&b, r);
	if (r == NULL || r->dc == m->home)
		news_fill(m, &b);
	memset(&msg, 0, sizeof(msg));
	msg.seq = seq;
	(void)g_strlcpy(msg.host, m->settings.host, sizeof(msg.host));
	msg.unknown = r == NULL;
	msg.root = m->table.root;
	msg.head = m->head;
	msg.news = b.records;
	msg.n_news = b.n;
	msg_ack_encode(&msg, body);
	send_datagram(m, to, MSG_ACK, body);
	m->counters.news_sent += b.n;
	batch_clear(&b);
}

/* What pings and acks have in common. */
static void
heard(struct membership *m, const struct net_addr *from, const char *host,
    uint64_t root, const struct rec_gossip_head *head)
{
	const struct row *r = table_row(&m->table, host);

	if (r != NULL)
		r->dc->heard_ms = m->now_ms;
	if (head->seq != 0)
		action_heard(
		    m, host, r != NULL ? &r->member.address : from, head);
	sync_consider(m, from, r, root);
}

void
probe_on_ping(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len)
{
	struct msg_ping msg;

	if (msg_ping_decode(body, len, &msg) != STATUS_OK) {
		m->counters.rejected++;
		return;
	}
	merge_records(m, msg.host, MERGE_NEWS, msg.news, msg.n_news);
	if (msg.target[0] == '\0' ||
	    strcmp(msg.target, m->settings.host) == 0) {
		send_ack(m, from, msg.seq, msg.host);
		heard(m, from, msg.host, msg.root, &msg.head);
	}
	msg_ping_clear(&msg);
}

/* Pass an ack on if the probe was made for another node. */
static void
pass_on(struct membership *m, const struct msg_ack *ack)
{
	GArray *passed = m->prober.passed;
	const struct passed_probe *p;
	struct msg_ack msg;
	GByteArray *body;
	uint32_t i;

	for (i = 0; i < passed->len; i++) {
		p = &g_array_index(passed, struct passed_probe, i);
		if (p->seq != ack->seq)
			continue;
		memset(&msg, 0, sizeof(msg));
		msg.seq = p->asker_seq;
		(void)g_strlcpy(msg.host, ack->host, sizeof(msg.host));
		body = g_byte_array_new();
		msg_ack_encode(&msg, body);
		send_datagram(m, &p->asker, MSG_ACK, body);
		(void)g_array_remove_index_fast(passed, i);
		return;
	}
}

void
probe_on_ack(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len)
{
	struct msg_ack msg;

	if (msg_ack_decode(body, len, &msg) != STATUS_OK) {
		m->counters.rejected++;
		return;
	}
	merge_records(m, msg.host, MERGE_NEWS, msg.news, msg.n_news);
	end_probe(m, msg.seq, msg.host);
	pass_on(m, &msg);
	relay_on_ack(m, msg.seq);
	if (msg.unknown && m->phase == MEMBERSHIP_JOINED)
		send_row(m, from, m->self);
	if (msg.root != 0)
		heard(m, from, msg.host, msg.root, &msg.head);
	msg_ack_clear(&msg);
}

void
probe_on_ping_req(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len)
{
	struct passed_probe p;
	struct msg_ping_req msg;
	struct net_addr to;

	if (msg_ping_req_decode(body, len, &msg) != STATUS_OK) {
		m->counters.rejected++;
		return;
	}
	to.ip = msg.ip;
	to.port = msg.port;
	if (to.ip == 0 || to.port == 0 || m->prober.passed->len >= PASSED_MAX)
		return;
	p.seq = probe_ping(m, &to, msg.target);
	p.asker_seq = msg.seq;
	p.asker = *from;
	p.deadline_ms = m->now_ms + patience_ms(m) * INDIRECT_ROUND_TRIPS;
	g_array_append_val(m->prober.passed, p);
}
