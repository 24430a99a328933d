/*
 * Membership: entry points, timers and dispatch of messages to the modules.
 */
#include <string.h>

#include "base/clock.h"

#include "action.h"
#include "claim.h"
#include "join.h"
#include "known.h"
#include "news.h"
#include "own.h"
#include "ping.h"
#include "probe.h"
#include "reconnect.h"
#include "relay.h"
#include "runs.h"
#include "send.h"
#include "serve.h"
#include "settle.h"
#include "suspicion.h"
#include "sync.h"
#include "merge.h"

/* Defaults of the settings. */
#define PROBE_INTERVAL_MS 1000
#define PROBE_TIMEOUT_MS 300
#define SUSPICION_MS 3000
#define INDIRECT_PROBES 3
#define GOSSIP_INTERVAL_MS 200
#define GOSSIP_FANOUT 3
#define RETRANSMIT_FACTOR 1
#define RELAYS 2
#define RELAY_INTERVAL_MS 2000
#define SYNC_INTERVAL_MS 3000
#define JOIN_LIMIT 8
#define FORGET_MS 3600000
#define BOOTSTRAP_MS 10000

/* Lateness of an event from which on deadlines are extended. */
#define LATE_EVENT_MS 500

/* Lateness, in probe intervals, that counts as a freeze of the process. */
#define FROZEN_INTERVALS 3

/*
 * Freeze after which peers may have marked this host as failed and have
 * forgotten other hosts.
 */
#define REFRESH_AFTER_MS 10000

/* Time for which a leaving node gossips its departure. */
#define LEAVE_MS 1000

/* 32-bit words of the seed of the random numbers. */
#define SEED_WORDS 2

const char *
membership_phase_name(enum membership_phase phase)
{
	static const char *const names[] = {
	    "joining", "joined", "refreshing", "conflict", "leaving", "left"};

	return names[phase];
}

void
membership_settings_init(struct membership_settings *s)
{
	memset(s, 0, sizeof(*s));
	s->probe_interval_ms = PROBE_INTERVAL_MS;
	s->probe_timeout_ms = PROBE_TIMEOUT_MS;
	s->suspicion_ms = SUSPICION_MS;
	s->indirect_probes = INDIRECT_PROBES;
	s->gossip_interval_ms = GOSSIP_INTERVAL_MS;
	s->gossip_fanout = GOSSIP_FANOUT;
	s->retransmit_factor = RETRANSMIT_FACTOR;
	s->relays = RELAYS;
	s->relay_interval_ms = RELAY_INTERVAL_MS;
	s->sync_interval_ms = SYNC_INTERVAL_MS;
	s->join_limit = JOIN_LIMIT;
	s->forget_ms = FORGET_MS;
	s->bootstrap_ms = BOOTSTRAP_MS;
}

uint32_t
random_below(struct membership *m, uint32_t n)
{
	return n == 0 ? 0 : (uint32_t)((uint64_t)g_rand_int(m->rand) * n >> 32);
}

uint64_t
wall_now_ms(const struct membership *m)
{
	return m->now_ms + m->wall_offset_ms;
}

static void
add_self(struct membership *m)
{
	const struct membership_settings *s = &m->settings;
	uint64_t wall = wall_now_ms(m);

	m->home = table_dc_add(&m->table, s->data_centre);
	m->self = table_add(&m->table, s->host, m->home, wall, MEMBER_ALIVE);
	m->self->member.address = s->address;
	m->self->member.call_port = s->call_port;
	m->self->member.link_mbps = s->link_mbps;
	table_set_started(&m->table, m->self, wall);
	m->self->changed_ms = m->now_ms;
}

struct membership *
membership_new(const struct membership_settings *s, uint64_t now_ms,
    uint64_t wall_ms, uint64_t seed, struct outbox *out)
{
	guint32 words[SEED_WORDS] = {(guint32)seed, (guint32)(seed >> 32)};
	struct membership *m = g_new0(struct membership, 1);

	m->settings = *s;
	m->seeds = g_memdup2(s->seeds, sizeof(*s->seeds) * s->n_seeds);
	m->settings.seeds = m->seeds;
	m->out = out;
	m->rand = g_rand_new_with_seed_array(words, SEED_WORDS);
	m->now_ms = now_ms;
	m->wall_offset_ms = wall_ms - now_ms;
	m->next_expiry_ms = DEADLINE_NEVER;
	m->server.leases = g_array_new(FALSE, FALSE, sizeof(struct join_lease));
	m->own = g_array_new(FALSE, TRUE, sizeof(struct own_endpoint));
	table_init(&m->table);
	add_self(m);
	probe_init(m);
	join_init(m);
	runs_init(m);
	join_start(m);
	return m;
}

static int
is_seed(const struct membership *m, const struct net_addr *addr)
{
	uint32_t i;

	for (i = 0; i < m->settings.n_seeds; i++)
		if (addr_equal(&m->seeds[i], addr))
			return 1;
	return 0;
}

static void
add_seed(struct membership *m, const struct net_addr *addr)
{
	uint32_t n = m->settings.n_seeds;

	if (n == MEMBERSHIP_SEEDS_MAX) {
		memmove(m->seeds, m->seeds + 1, (n - 1) * sizeof(*m->seeds));
		n--;
	}
	m->seeds = g_renew(struct net_addr, m->seeds, n + 1);
	m->seeds[n] = *addr;
	m->settings.n_seeds = n + 1;
	m->settings.seeds = m->seeds;
}

void
membership_add_seeds(struct membership *m, uint64_t now_ms,
    const struct net_addr *seeds, uint32_t n_seeds)
{
	uint32_t i;

	m->now_ms = MAX(m->now_ms, now_ms);
	for (i = 0; i < n_seeds; i++)
		if (!is_seed(m, &seeds[i]))
			add_seed(m, &seeds[i]);
	join_seeds_added(m);
	reconnect_seeds_added(m);
}

void
membership_free(struct membership *m)
{
	if (m == NULL)
		return;
	news_clear(m);
	action_clear(m);
	join_clear(m);
	runs_clear(m);
	probe_clear(m);
	table_clear(&m->table);
	g_array_unref(m->own);
	g_array_unref(m->server.leases);
	g_rand_free(m->rand);
	g_free(m->seeds);
	g_free(m);
}

/* Recovers from a freeze, after which peers may hold this host as failed. */
static void
recover_from_freeze(struct membership *m, uint64_t late_ms)
{
	probe_reset(m);
	if (m->phase != MEMBERSHIP_JOINED)
		return;
	if (late_ms >= REFRESH_AFTER_MS) {
		table_set_started(&m->table, m->self, wall_now_ms(m));
		join_refresh(m);
	}
	merge_refute(m, 0);
}

/*
 * Advances the time.  While the process was frozen, no suspicion could be
 * refuted here and no lease renewed, so their deadlines move by the delay.
 */
static void
advance_time(struct membership *m, uint64_t now_ms)
{
	uint64_t frozen =
	    (uint64_t)m->settings.probe_interval_ms * FROZEN_INTERVALS;
	uint64_t due_ms = MAX(m->now_ms, membership_next_ms(m));
	uint64_t late_ms = clock_left_ms(now_ms, due_ms);

	m->now_ms = MAX(m->now_ms, now_ms);
	if (late_ms < LATE_EVENT_MS)
		return;
	suspicion_extend(m, late_ms);
	own_extend(m, late_ms);
	if (late_ms >= frozen)
		recover_from_freeze(m, late_ms);
}

static void
tick_joined(struct membership *m)
{
	suspicion_tick(m);
	reconnect_tick(m);
	relay_tick(m);
	known_tick(m);
}

void
membership_tick(struct membership *m, uint64_t now_ms)
{
	advance_time(m, now_ms);
	if (m->phase == MEMBERSHIP_LEFT)
		return;
	claim_tick(m);
	join_tick(m);
	own_tick(m);
	if (m->phase == MEMBERSHIP_JOINED)
		tick_joined(m);
	probe_tick(m);
	settle_tick(m);
	runs_tick(m);
	if (m->phase != MEMBERSHIP_CONFLICT)
		news_tick(m);
	if (m->phase == MEMBERSHIP_LEAVING && m->now_ms >= m->left_ms)
		action_phase(m, MEMBERSHIP_LEFT);
}

uint64_t
membership_next_ms(const struct membership *m)
{
	uint64_t next = MIN(claim_next_ms(m), join_next_ms(m));

	if (m->phase == MEMBERSHIP_LEFT)
		return DEADLINE_NEVER;
	next = MIN(next, own_next_ms(m));
	next = MIN(next, probe_next_ms(m));
	next = MIN(next, news_next_ms(m));
	next = MIN(next, settle_next_ms(m));
	next = MIN(next, runs_next_ms(m));
	if (m->phase == MEMBERSHIP_LEAVING)
		next = MIN(next, m->left_ms);
	if (m->phase != MEMBERSHIP_JOINED)
		return next;
	next = MIN(next, m->next_expiry_ms);
	next = MIN(next, reconnect_next_ms(m));
	next = MIN(next, known_next_ms(m));
	return MIN(next, relay_next_ms(m));
}

int
membership_handles(uint8_t type)
{
	return type >= MSG_PING && type <= MSG_RUNS_HELD;
}

static void
on_news(struct membership *m, const uint8_t *body, size_t len)
{
	struct msg_news msg;

	if (msg_news_decode(body, len, &msg) != STATUS_OK) {
		m->counters.rejected++;
		return;
	}
	merge_records(m, msg.host, MERGE_NEWS, msg.news, msg.n_news);
	msg_news_clear(&msg);
}

/* Messages that a node in conflict accepts. */
static int
accepted_in_conflict(uint8_t type)
{
	return type == MSG_CLAIM || type == MSG_CLAIM_ANSWER;
}

void
membership_receive(struct membership *m, uint64_t now_ms,
    const struct net_addr *from, uint64_t conn, uint8_t type,
    const uint8_t *body, size_t len)
{
	advance_time(m, now_ms);
	if (m->phase == MEMBERSHIP_LEFT ||
	    (m->phase == MEMBERSHIP_CONFLICT && !accepted_in_conflict(type)))
		return;
	m->prober.received_ms = m->now_ms;
	switch (type) {
	case MSG_PING:
		ping_on_ping(m, from, body, len);
		break;
	case MSG_ACK:
		ping_on_ack(m, from, body, len);
		break;
	case MSG_PING_REQ:
		ping_on_ping_req(m, from, body, len);
		break;
	case MSG_NEWS:
		on_news(m, body, len);
		break;
	case MSG_SYNC_DIGESTS:
		sync_on_digests(m, from, body, len);
		break;
	case MSG_SYNC_BUCKETS:
		sync_on_buckets(m, from, body, len);
		break;
	case MSG_SYNC_KEYS:
		sync_on_keys(m, from, body, len);
		break;
	case MSG_JOIN:
		serve_on_join(m, from, conn, body, len);
		break;
	case MSG_JOIN_TABLE:
		join_on_table(m, from, body, len);
		break;
	case MSG_JOIN_REFUSED:
		join_on_refused(m, from, body, len);
		break;
	case MSG_CLAIM:
		claim_on_claim(m, from, body, len);
		break;
	case MSG_CLAIM_ANSWER:
		claim_on_answer(m, body, len);
		break;
	case MSG_COMPARE:
		settle_on_compare(m, from, body, len);
		break;
	case MSG_ROWS:
		settle_on_rows(m, body, len);
		break;
	case MSG_RUNS:
		runs_on_runs(m, from, body, len);
		break;
	case MSG_RUNS_HELD:
		runs_on_held(m, from, body, len);
		break;
	default:
		m->counters.rejected++;
		break;
	}
}

void
membership_unreachable(
    struct membership *m, uint64_t now_ms, const struct net_addr *to)
{
	advance_time(m, now_ms);
	join_unreachable(m, to);
}

void
membership_leave(struct membership *m, uint64_t now_ms)
{
	int joined =
	    m->phase == MEMBERSHIP_JOINED || m->phase == MEMBERSHIP_REFRESHING;

	advance_time(m, now_ms);
	if (m->phase >= MEMBERSHIP_LEAVING)
		return;
	if (!joined || m->home->live <= 1) {
		action_phase(m, MEMBERSHIP_LEFT);
		return;
	}
	action_phase(m, MEMBERSHIP_LEAVING);
	m->left_ms = m->now_ms + LEAVE_MS;
	table_set(&m->table, m->self, m->self->member.incarnation, MEMBER_LEFT);
	own_leave(m);
}
