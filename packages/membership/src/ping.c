/*
 * Pings and acks: encoding, and handling of received ones.
 */
#include <string.h>

#include "action.h"
#include "join.h"
#include "known.h"
#include "merge.h"
#include "news.h"
#include "ping.h"
#include "probe.h"
#include "relay.h"
#include "send.h"
#include "sync.h"

/* Most indirect probes in progress for other nodes. */
#define INDIRECT_MAX 64

/* Rate limit of pings that verify hosts reported by other data centres. */
#define VERIFIED_PER_S 8
#define VERIFY_INTERVAL_MS 1000

static void
send_ping(struct membership *m, const struct net_addr *to, const char *host,
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
	known_fill(m, &msg.head);
	msg.news = b->records;
	msg.n_news = b->n;
	msg_ping_encode(&msg, body);
	send_datagram(m, to, MSG_PING, body);
	m->counters.news_sent += b->n;
	batch_clear(b);
}

void
ping_send(struct membership *m, const struct net_addr *to, const char *host,
    uint32_t seq)
{
	const struct row *r = table_row(&m->table, host);
	struct batch b = {.n = 0};

	/*
	 * Send the peer its own record first, so that it can refute the state.
	 */
	if (r != NULL && r->member.state != MEMBER_ALIVE)
		(void)batch_add(&b, r);
	if (r == NULL || r->dc == m->home)
		news_fill(m, &b);
	send_ping(m, to, host, seq, &b);
}

uint32_t
ping_host(struct membership *m, const struct net_addr *to, const char *host)
{
	uint32_t seq = ++m->prober.seq;

	ping_send(m, to, host, seq);
	return seq;
}

void
ping_verify(
    struct membership *m, const struct rec_member *rec, const struct row *r)
{
	struct net_addr to = record_addr(rec);
	struct batch b = {.n = 0};

	if (m->now_ms >= m->prober.verify_refill_ms) {
		m->prober.verify_refill_ms = m->now_ms + VERIFY_INTERVAL_MS;
		m->prober.verify_left = VERIFIED_PER_S;
	}
	if (m->prober.verify_left == 0)
		return;
	m->prober.verify_left--;
	if (r != NULL) {
		(void)ping_host(m, &to, rec->host);
		return;
	}
	/*
	 * The host is unknown here: send the host a record with the state
	 * failed, which a live host refutes.
	 */
	b.records[b.n] = *rec;
	b.records[b.n].state = MEMBER_FAILED;
	b.records[b.n].endpoints = NULL;
	b.records[b.n++].n_endpoints = 0;
	send_ping(m, &to, rec->host, ++m->prober.seq, &b);
}

void
ping_expire_indirect(struct membership *m)
{
	GArray *indirect = m->prober.indirect;
	uint32_t i;

	for (i = indirect->len; i-- > 0;)
		if (g_array_index(indirect, struct indirect_probe, i)
			.deadline_ms <= m->now_ms)
			(void)g_array_remove_index_fast(indirect, i);
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
	known_fill(m, &msg.head);
	msg.news = b.records;
	msg.n_news = b.n;
	msg_ack_encode(&msg, body);
	send_datagram(m, to, MSG_ACK, body);
	m->counters.news_sent += b.n;
	batch_clear(&b);
}

/* Handles the fields that pings and acks have in common. */
static void
on_peer_state(struct membership *m, const struct net_addr *from,
    const char *host, uint64_t root, const struct rec_gossip_head *head)
{
	const struct row *r = table_row(&m->table, host);

	if (r != NULL)
		r->dc->heard_ms = m->now_ms;
	known_merge(m, head);
	if (head->seq != 0)
		action_peer_head(
		    m, host, r != NULL ? &r->member.address : from, head);
	sync_check_root(m, from, r, root);
}

void
ping_on_ping(struct membership *m, const struct net_addr *from,
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
		on_peer_state(m, from, msg.host, msg.root, &msg.head);
		join_on_ping(m, from);
	}
	msg_ping_clear(&msg);
}

/* Forwards an ack to the node that requested the probe. */
static void
forward_ack(struct membership *m, const struct msg_ack *ack)
{
	GArray *indirect = m->prober.indirect;
	const struct indirect_probe *p;
	struct msg_ack msg;
	GByteArray *body;
	uint32_t i;

	for (i = 0; i < indirect->len; i++) {
		p = &g_array_index(indirect, struct indirect_probe, i);
		if (p->seq != ack->seq)
			continue;
		memset(&msg, 0, sizeof(msg));
		msg.seq = p->requester_seq;
		(void)g_strlcpy(msg.host, ack->host, sizeof(msg.host));
		body = g_byte_array_new();
		msg_ack_encode(&msg, body);
		send_datagram(m, &p->requester, MSG_ACK, body);
		(void)g_array_remove_index_fast(indirect, i);
		return;
	}
}

void
ping_on_ack(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len)
{
	struct msg_ack msg;

	if (msg_ack_decode(body, len, &msg) != STATUS_OK) {
		m->counters.rejected++;
		return;
	}
	merge_records(m, msg.host, MERGE_NEWS, msg.news, msg.n_news);
	probe_on_ack(m, msg.seq, msg.host);
	forward_ack(m, &msg);
	relay_on_ack(m, msg.seq);
	if (msg.unknown && m->phase == MEMBERSHIP_JOINED)
		send_row(m, from, m->self);
	if (msg.root != 0)
		on_peer_state(m, from, msg.host, msg.root, &msg.head);
	msg_ack_clear(&msg);
}

void
ping_on_ping_req(struct membership *m, const struct net_addr *from,
    const uint8_t *body, size_t len)
{
	struct indirect_probe p;
	struct msg_ping_req msg;
	struct net_addr to;

	if (msg_ping_req_decode(body, len, &msg) != STATUS_OK) {
		m->counters.rejected++;
		return;
	}
	to.ip = msg.ip;
	to.port = msg.port;
	if (to.ip == 0 || to.port == 0 ||
	    m->prober.indirect->len >= INDIRECT_MAX)
		return;
	p.seq = ping_host(m, &to, msg.target);
	p.requester_seq = msg.seq;
	p.requester = *from;
	p.deadline_ms = m->now_ms + probe_max_ms(m);
	g_array_append_val(m->prober.indirect, p);
}
