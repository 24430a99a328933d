/*
 * Claims: resolution of two live hosts with one name or one address, which
 * misconfiguration causes.
 *
 * A host that finds its own name at another address, or its own address under
 * another name, sends a claim to that address.  When a live process answers,
 * the host that joined later stops serving and repeats the check periodically.
 * When no process answers, the record is obsolete and is overridden.  So a
 * replaced host needs no operator, and two live hosts do not override each
 * other forever.
 */
#include <string.h>

#include "base/clock.h"

#include "action.h"
#include "claim.h"
#include "join.h"
#include "merge.h"
#include "news.h"
#include "send.h"

#define CLAIM_TRIES 3
#define CLAIM_ANSWER_MS 500

/* Minimum interval between two warnings. */
#define WARN_INTERVAL_MS 5000

/* Interval of the checks whether a conflict still exists. */
#define CONFLICT_INTERVAL_MS 5000

static int
serving(const struct membership *m)
{
	return m->phase == MEMBERSHIP_JOINED || m->phase == MEMBERSHIP_LEAVING;
}

/*
 * Whether the rival keeps the name: a serving process precedes one that is not,
 * then the earlier start, then the lower address.
 */
static int
rival_takes_precedence(const struct membership *m, int rival_serving,
    uint64_t rival_started_ms, const struct net_addr *rival_addr)
{
	const struct member *own = &m->self->member;

	if (rival_serving != serving(m))
		return rival_serving;
	if (rival_started_ms != own->started_ms)
		return rival_started_ms < own->started_ms;
	return addr_key(rival_addr) < addr_key(&own->address);
}

static void
send_claim(struct membership *m, const struct net_addr *to, uint64_t nonce)
{
	const struct member *own = &m->self->member;
	GByteArray *body = g_byte_array_new();
	struct msg_claim msg;

	memset(&msg, 0, sizeof(msg));
	(void)g_strlcpy(msg.host, own->host, sizeof(msg.host));
	msg.ip = own->address.ip;
	msg.port = own->address.port;
	msg.started_ms = own->started_ms;
	msg.serving = serving(m);
	msg.nonce = nonce;
	msg_claim_encode(&msg, body);
	send_datagram(m, to, MSG_CLAIM, body);
}

static void
start_claim(struct membership *m, int same_name, const char *rival,
    const struct net_addr *addr, uint64_t rival_incarnation)
{
	struct claim_state *c = &m->claim;

	if (c->active)
		return;
	c->active = 1;
	c->same_name = same_name;
	(void)g_strlcpy(c->rival, rival, sizeof(c->rival));
	c->addr = *addr;
	c->rival_incarnation = rival_incarnation;
	c->nonce = (uint64_t)g_rand_int(m->rand) << 32 | g_rand_int(m->rand);
	c->tries_left = CLAIM_TRIES - 1;
	c->deadline_ms = m->now_ms + CLAIM_ANSWER_MS;
	send_claim(m, addr, c->nonce);
}

static void
warn_operators(struct membership *m, const char *host,
    const struct net_addr *addr, int same_name)
{
	char text[ADDR_TEXT_BYTES];

	if (m->now_ms < m->claim.next_warning_ms)
		return;
	m->claim.next_warning_ms = m->now_ms + WARN_INTERVAL_MS;
	(void)addr_format(addr, text);
	if (same_name)
		action_warning(m, host, addr,
		    "The host at %s has this host's name %s too; give one of "
		    "them another name in its settings.",
		    text, host);
	else
		action_warning(m, host, addr,
		    "Host %s has this host's address %s too; correct the "
		    "address or port in one of their settings.",
		    host, text);
}

/* Stops serving: another live process takes precedence. */
static void
enter_conflict(struct membership *m, const char *host,
    const struct net_addr *addr, int same_name)
{
	m->claim.active = 0;
	m->claim.same_name = same_name;
	(void)g_strlcpy(m->claim.rival, host, sizeof(m->claim.rival));
	m->claim.addr = *addr;
	m->claim.recheck_ms = m->now_ms + CONFLICT_INTERVAL_MS;
	warn_operators(m, host, addr, same_name);
	news_clear(m);
	action_phase(m, MEMBERSHIP_CONFLICT);
}

/* Ends a claim that no other process contests. */
static void
end_uncontested(struct membership *m)
{
	struct claim_state *c = &m->claim;

	c->active = 0;
	if (c->same_name && c->rival_incarnation >= m->self->member.incarnation)
		merge_supersede(m, c->rival_incarnation);
	if (m->phase == MEMBERSHIP_CONFLICT)
		join_start(m);
}

void
claim_same_name(struct membership *m, const struct rec_member *rec)
{
	struct net_addr addr = record_addr(rec);

	if (m->phase == MEMBERSHIP_CONFLICT || m->phase >= MEMBERSHIP_LEAVING)
		return;
	if (rec->state >= MEMBER_FAILED) {
		if (rec->incarnation >= m->self->member.incarnation)
			merge_supersede(m, rec->incarnation);
		return;
	}
	if (rival_takes_precedence(m, 1, rec->started_ms, &addr)) {
		start_claim(m, 1, rec->host, &addr, rec->incarnation);
		return;
	}
	if (m->now_ms < m->claim.next_warning_ms)
		return;
	/* The rival started later: notify the rival and keep serving. */
	warn_operators(m, rec->host, &addr, 1);
	send_claim(m, &addr, 0);
	if (rec->incarnation >= m->self->member.incarnation)
		merge_supersede(m, rec->incarnation);
}

int
claim_same_address(struct membership *m)
{
	const struct net_addr *own = &m->self->member.address;
	const struct row *r;
	GHashTableIter it;
	void *p;

	if (m->claim.active)
		return !m->claim.same_name;
	g_hash_table_iter_init(&it, m->table.hosts);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		r = p;
		if (r == m->self || !member_is_live(&r->member) ||
		    !addr_equal(&r->member.address, own) ||
		    m->now_ms < m->claim.recheck_ms)
			continue;
		m->claim.recheck_ms = m->now_ms + CONFLICT_INTERVAL_MS;
		start_claim(m, 0, r->member.host, own, 0);
		return 1;
	}
	return 0;
}

void
claim_check_address(struct membership *m, const struct rec_member *rec)
{
	const struct net_addr *own = &m->self->member.address;
	struct net_addr addr = record_addr(rec);

	if (!addr_equal(&addr, own) || m->phase == MEMBERSHIP_CONFLICT ||
	    m->phase >= MEMBERSHIP_LEAVING || m->now_ms < m->claim.recheck_ms)
		return;
	m->claim.recheck_ms = m->now_ms + CONFLICT_INTERVAL_MS;
	start_claim(m, 0, rec->host, own, 0);
}

void
claim_tick(struct membership *m)
{
	struct claim_state *c = &m->claim;

	if (m->phase == MEMBERSHIP_CONFLICT && !c->active &&
	    m->now_ms >= c->recheck_ms) {
		c->recheck_ms = m->now_ms + CONFLICT_INTERVAL_MS;
		start_claim(
		    m, c->same_name, c->rival, &c->addr, c->rival_incarnation);
		return;
	}
	if (!c->active || m->now_ms < c->deadline_ms)
		return;
	if (c->tries_left == 0) {
		end_uncontested(m);
		return;
	}
	c->tries_left--;
	c->deadline_ms = m->now_ms + CLAIM_ANSWER_MS;
	send_claim(m, &c->addr, c->nonce);
}

uint64_t
claim_next_ms(const struct membership *m)
{
	if (m->claim.active)
		return m->claim.deadline_ms;
	if (m->phase == MEMBERSHIP_CONFLICT)
		return m->claim.recheck_ms;
	return DEADLINE_NEVER;
}

static void
send_answer(struct membership *m, const struct net_addr *to, uint64_t nonce)
{
	const struct member *own = &m->self->member;
	GByteArray *body = g_byte_array_new();
	struct msg_claim_answer msg;

	memset(&msg, 0, sizeof(msg));
	(void)g_strlcpy(msg.host, own->host, sizeof(msg.host));
	msg.ip = own->address.ip;
	msg.port = own->address.port;
	msg.started_ms = own->started_ms;
	msg.serving = serving(m);
	msg.nonce = nonce;
	msg_claim_answer_encode(&msg, body);
	send_datagram(m, to, MSG_CLAIM_ANSWER, body);
}

/*
 * Whether a claim is this node's own, sent back to its sender: then the address
 * belongs to this node, and the host of the old record is gone.  A live host
 * elsewhere that is configured with this address by mistake sends a claim too,
 * and claim_on_claim() warns operators then.
 */
static int
is_echo(const struct membership *m, const struct msg_claim *msg)
{
	return m->claim.active && msg->nonce == m->claim.nonce &&
	    strcmp(msg->host, m->settings.host) == 0;
}

void
claim_on_claim(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len)
{
	struct msg_claim msg;
	struct net_addr addr;
	int same_name;

	if (msg_claim_decode(body, len, &msg) != STATUS_OK) {
		m->counters.rejected++;
		return;
	}
	if (is_echo(m, &msg)) {
		end_uncontested(m);
		return;
	}
	/* A node in conflict contests no claim. */
	if (m->phase == MEMBERSHIP_CONFLICT)
		return;
	addr.ip = msg.ip;
	addr.port = msg.port;
	same_name = strcmp(msg.host, m->settings.host) == 0;
	if (same_name &&
	    rival_takes_precedence(m, msg.serving, msg.started_ms, &addr)) {
		enter_conflict(m, msg.host, &addr, 1);
		return;
	}
	if (msg.nonce != 0)
		send_answer(m, from, msg.nonce);
	if (same_name || addr_equal(&addr, &m->self->member.address))
		warn_operators(m, msg.host, &addr, same_name);
}

void
claim_on_answer(struct membership *m, const uint8_t *body, size_t len)
{
	struct claim_state *c = &m->claim;
	struct msg_claim_answer msg;
	struct net_addr addr;

	if (msg_claim_answer_decode(body, len, &msg) != STATUS_OK) {
		m->counters.rejected++;
		return;
	}
	if (!c->active || msg.nonce != c->nonce)
		return;
	addr.ip = msg.ip;
	addr.port = msg.port;
	if (!c->same_name) {
		/* The process that answers at the address holds the address. */
		enter_conflict(m, msg.host, &c->addr, 0);
		return;
	}
	if (strcmp(msg.host, m->settings.host) != 0 ||
	    !rival_takes_precedence(m, msg.serving, msg.started_ms, &addr)) {
		end_uncontested(m);
		return;
	}
	enter_conflict(m, msg.host, &addr, 1);
}
