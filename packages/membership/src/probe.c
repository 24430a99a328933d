/*
 * Failure detector: direct and indirect probes (SWIM, Das et al. 2002).
 *
 * In each interval a single host of the own data centre is probed, each host
 * once in random order before any host twice.  A node that receives no message
 * at all while its probes fail raises its health score, which lengthens its
 * probe interval and its timeouts (Lifeguard, Dadgar et al. 2018).
 */
#include <string.h>

#include "base/clock.h"

#include "ping.h"
#include "probe.h"
#include "send.h"
#include "suspicion.h"

#define HEALTH_SCORE_MAX 8

/* Failed probes in a row after which a node counts as isolated. */
#define ISOLATED_MISSES 6

/*
 * Rounds of indirect probes, each with a further direct ping, before a probe
 * fails.  At 20 % loss, one round fails 3 % of the probes of live hosts, two
 * rounds 0.2 %.
 */
#define INDIRECT_ROUNDS 2

/* Round trips of an indirect probe. */
#define INDIRECT_ROUND_TRIPS 2

void
probe_init(struct membership *m)
{
	struct prober *p = &m->prober;

	p->probes = g_array_new(FALSE, FALSE, sizeof(struct probe));
	p->indirect = g_array_new(FALSE, FALSE, sizeof(struct indirect_probe));
	p->next_ms = m->now_ms + random_below(m, m->settings.probe_interval_ms);
}

void
probe_clear(struct membership *m)
{
	g_array_unref(m->prober.probes);
	g_array_unref(m->prober.indirect);
}

void
probe_reset(struct membership *m)
{
	g_array_set_size(m->prober.probes, 0);
	g_array_set_size(m->prober.indirect, 0);
	m->prober.next_ms = m->now_ms + m->settings.probe_interval_ms;
}

int
probe_is_isolated(const struct membership *m)
{
	return m->prober.misses >= ISOLATED_MISSES;
}

/* Timeout of an ack; grows with the health score. */
static uint64_t
ack_timeout_ms(const struct membership *m)
{
	return (uint64_t)m->settings.probe_timeout_ms *
	    (1 + m->prober.health_score);
}

static void
start_probe(struct membership *m, const struct row *r)
{
	struct probe p = {.rounds = 0};

	(void)g_strlcpy(p.host, r->member.host, sizeof(p.host));
	p.seq = ping_host(m, &r->member.address, r->member.host);
	p.start_ms = m->now_ms;
	p.deadline_ms = m->now_ms + ack_timeout_ms(m);
	g_array_append_val(m->prober.probes, p);
	m->counters.probes++;
}

uint64_t
probe_max_ms(const struct membership *m)
{
	uint64_t step = ack_timeout_ms(m) + m->settings.probe_timeout_ms;

	/* The health score may rise by 1 meanwhile, and ticks may be late. */
	return step * (1 + INDIRECT_ROUNDS * INDIRECT_ROUND_TRIPS);
}

void
probe_now(struct membership *m, const struct row *r)
{
	if (m->phase == MEMBERSHIP_JOINED && r->dc == m->home)
		start_probe(m, r);
}

void
probe_shuffle(struct membership *m)
{
	GPtrArray *rows = m->home->rows;
	struct row *a, *b;
	uint32_t i, j;

	m->prober.cursor = 0;
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
		if (m->prober.cursor >= rows->len)
			probe_shuffle(m);
		r = rows->pdata[m->prober.cursor++];
		if (r != m->self && member_is_live(&r->member))
			return r;
	}
	return NULL;
}

static void
send_ping_reqs(struct membership *m, const struct row *target, uint32_t seq)
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
on_failure(struct membership *m, struct row *r, uint64_t start_ms)
{
	struct prober *p = &m->prober;

	m->counters.probes_failed++;
	p->misses++;
	if (p->received_ms < start_ms)
		p->health_score = MIN(p->health_score + 1, HEALTH_SCORE_MAX);
	suspicion_raise(m, r, suspicion_accuser(m->settings.host));
}

/*
 * Handles the passed deadline of a probe.  Returns whether the probe is over.
 */
static int
expire_probe(struct membership *m, struct probe *p)
{
	struct row *r = table_row(&m->table, p->host);

	if (r == NULL || !member_is_live(&r->member) || r->dc != m->home)
		return 1;
	if (p->rounds < INDIRECT_ROUNDS) {
		p->rounds++;
		p->deadline_ms =
		    m->now_ms + INDIRECT_ROUND_TRIPS * ack_timeout_ms(m);
		ping_send(m, &r->member.address, r->member.host, p->seq);
		send_ping_reqs(m, r, p->seq);
		return 0;
	}
	on_failure(m, r, p->start_ms);
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
		if (p->deadline_ms <= m->now_ms && expire_probe(m, p))
			(void)g_array_remove_index_fast(probes, i);
	}
}

void
probe_tick(struct membership *m)
{
	struct prober *p = &m->prober;
	const struct row *r;

	ping_expire_indirect(m);
	if (m->phase != MEMBERSHIP_JOINED)
		return;
	expire_probes(m);
	if (m->now_ms < p->next_ms)
		return;
	p->next_ms = m->now_ms +
	    (uint64_t)m->settings.probe_interval_ms * (1 + p->health_score);
	r = next_target(m);
	if (r != NULL)
		start_probe(m, r);
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

/* Handles a successful probe: the host is alive and this node is reachable. */
static void
on_success(struct membership *m)
{
	struct prober *p = &m->prober;

	p->health_score -= p->health_score > 0;
	if (probe_is_isolated(m))
		suspicion_withdraw(m);
	p->misses = 0;
}

void
probe_on_ack(struct membership *m, uint32_t seq, const char *host)
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
		on_success(m);
		r = table_row(&m->table, host);
		if (r != NULL)
			suspicion_on_ack(m, r);
		return;
	}
}
