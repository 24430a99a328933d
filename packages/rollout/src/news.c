/*
 * Gossip of orders between nodes.
 */
#include "rollout/news.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"

/* Orders per datagram: four of the largest take less than 1,300 bytes. */
#define ORDERS_PER_DATAGRAM 4

/**
 * struct rollout_news - state of the gossip
 * @host: own host
 * @orders: known orders; borrowed
 * @out: queue for outgoing datagrams; borrowed
 * @received: struct rollout: new orders of peers that were not popped yet
 * @rounds_left: rounds in which all orders are still to be sent
 * @round_ms: when the next round is due, DEADLINE_NEVER for none
 * @compare_ms: when the next digest is due
 * @join_until_ms: until when a node without orders sends digests
 */
struct rollout_news {
	char host[MSG_ROLLOUT_NEWS_HOST_MAX + 1];
	struct rollout_orders *orders;
	struct outbox *out;
	GQueue received;
	uint32_t rounds_left;
	uint64_t round_ms;
	uint64_t compare_ms;
	uint64_t join_until_ms;
};

struct rollout_news *
rollout_news_new(const char *host, struct rollout_orders *orders,
    struct outbox *out, uint64_t now_ms)
{
	struct rollout_news *n = g_new0(struct rollout_news, 1);

	(void)g_strlcpy(n->host, host, sizeof(n->host));
	n->orders = orders;
	n->out = out;
	g_queue_init(&n->received);
	n->round_ms = DEADLINE_NEVER;
	n->compare_ms = now_ms + ROLLOUT_NEWS_JOIN_INTERVAL_MS;
	n->join_until_ms = now_ms + ROLLOUT_NEWS_JOIN_TIMEOUT_MS;
	return n;
}

void
rollout_news_free(struct rollout_news *n)
{
	if (n == NULL)
		return;
	g_queue_clear_full(&n->received, g_free);
	g_free(n);
}

bool
rollout_news_handles(uint8_t type)
{
	return type == MSG_ROLLOUT_NEWS || type == MSG_ROLLOUT_DIGEST;
}

void
rollout_news_announce(struct rollout_news *n, uint64_t now_ms)
{
	n->rounds_left = ROLLOUT_NEWS_ROUNDS;
	n->round_ms = now_ms;
}

bool
rollout_news_add(
    struct rollout_news *n, const struct rollout *r, uint64_t now_ms)
{
	if (rollout_orders_merge(n->orders, r) == NULL)
		return false;
	rollout_news_announce(n, now_ms);
	return true;
}

static void
to_record(
    const struct rollout *r, struct rec_rollout_order *rec, uint64_t now_ms)
{
	memset(rec, 0, sizeof(*rec));
	memcpy(rec->service, r->service, sizeof(rec->service));
	memcpy(rec->from, r->from, sizeof(rec->from));
	memcpy(rec->to, r->to, sizeof(rec->to));
	memcpy(rec->reason, r->reason, sizeof(rec->reason));
	memcpy(rec->excluded, r->excluded, sizeof(rec->excluded));
	rec->share_milli = r->share_milli;
	rec->order = r->order;
	rec->phase = r->phase;
	rec->left_ms = clock_left_ms(r->deadline_ms, now_ms);
	rec->duration_ms = r->duration_ms;
}

static void
from_record(
    const struct rec_rollout_order *rec, struct rollout *r, uint64_t now_ms)
{
	memset(r, 0, sizeof(*r));
	memcpy(r->service, rec->service, sizeof(r->service));
	memcpy(r->from, rec->from, sizeof(r->from));
	memcpy(r->to, rec->to, sizeof(r->to));
	memcpy(r->reason, rec->reason, sizeof(r->reason));
	memcpy(r->excluded, rec->excluded, sizeof(r->excluded));
	r->share_milli = rec->share_milli;
	r->order = rec->order;
	r->phase = rec->phase;
	r->deadline_ms = now_ms + rec->left_ms;
	r->duration_ms = rec->duration_ms;
}

static void
send_orders(struct rollout_news *n, const struct net_addr *to, uint64_t now_ms)
{
	struct rec_rollout_order list[ORDERS_PER_DATAGRAM];
	struct msg_rollout_news m = {.orders = list};
	uint32_t i, total = rollout_orders_count(n->orders);
	GByteArray *body;

	memcpy(m.host, n->host, sizeof(m.host));
	for (i = 0; i < total; i++) {
		to_record(rollout_orders_at(n->orders, i), &list[m.n_orders++],
		    now_ms);
		if (m.n_orders < ORDERS_PER_DATAGRAM && i + 1 < total)
			continue;
		body = g_byte_array_new();
		msg_rollout_news_encode(&m, body);
		outbox_datagram(n->out, to, MSG_ROLLOUT_NEWS, body);
		m.n_orders = 0;
	}
}

static void
send_digest(struct rollout_news *n, const struct net_addr *to)
{
	struct msg_rollout_digest m = {
	    .digest = rollout_orders_digest(n->orders)};
	GByteArray *body = g_byte_array_new();

	memcpy(m.host, n->host, sizeof(m.host));
	msg_rollout_digest_encode(&m, body);
	outbox_datagram(n->out, to, MSG_ROLLOUT_DIGEST, body);
}

static void
add_orders(
    struct rollout_news *n, const struct msg_rollout_news *m, uint64_t now_ms)
{
	struct rollout r;
	uint32_t i;

	for (i = 0; i < m->n_orders; i++) {
		from_record(&m->orders[i], &r, now_ms);
		if (r.service[0] != '\0' && rollout_news_add(n, &r, now_ms))
			g_queue_push_tail(
			    &n->received, g_memdup2(&r, sizeof(r)));
	}
}

bool
rollout_news_pop(struct rollout_news *n, struct rollout *out)
{
	struct rollout *r = g_queue_pop_head(&n->received);

	if (r == NULL)
		return false;
	*out = *r;
	g_free(r);
	return true;
}

void
rollout_news_receive(struct rollout_news *n, uint64_t now_ms,
    const struct net_addr *from, uint8_t type, const uint8_t *body, size_t len)
{
	struct msg_rollout_digest d;
	struct msg_rollout_news m;

	if (type == MSG_ROLLOUT_DIGEST &&
	    msg_rollout_digest_decode(body, len, &d) == STATUS_OK &&
	    d.digest != rollout_orders_digest(n->orders)) {
		send_orders(n, from, now_ms);
		/* The peer may have orders that this node lacks. */
		if (rollout_orders_count(n->orders) == 0)
			send_digest(n, from);
	}
	if (type == MSG_ROLLOUT_NEWS &&
	    msg_rollout_news_decode(body, len, &m) == STATUS_OK) {
		add_orders(n, &m, now_ms);
		msg_rollout_news_clear(&m);
	}
}

/* Whether this node sends digests: a node without orders sends them only for
 * some time after its start. */
static bool
sends_digests(const struct rollout_news *n)
{
	return rollout_orders_count(n->orders) > 0 ||
	    n->compare_ms < n->join_until_ms;
}

static void
start_comparison(
    struct rollout_news *n, const struct net_addr *peer, uint64_t now_ms)
{
	bool has_orders = rollout_orders_count(n->orders) > 0;

	n->compare_ms = now_ms +
	    (has_orders ? ROLLOUT_NEWS_COMPARE_INTERVAL_MS
			: ROLLOUT_NEWS_JOIN_INTERVAL_MS);
	if (peer != NULL)
		send_digest(n, peer);
}

void
rollout_news_tick(struct rollout_news *n, const struct net_addr *peers,
    uint32_t n_peers, uint64_t now_ms)
{
	uint32_t i;

	if (now_ms >= n->round_ms) {
		for (i = 0; i < n_peers; i++)
			send_orders(n, &peers[i], now_ms);
		if (n_peers > 0)
			n->rounds_left--;
		n->round_ms = n->rounds_left > 0
		    ? now_ms + ROLLOUT_NEWS_ROUND_INTERVAL_MS
		    : DEADLINE_NEVER;
	}
	if (now_ms >= n->compare_ms && sends_digests(n))
		start_comparison(n, n_peers > 0 ? peers : NULL, now_ms);
}

uint64_t
rollout_news_next_ms(const struct rollout_news *n)
{
	return MIN(
	    n->round_ms, sends_digests(n) ? n->compare_ms : DEADLINE_NEVER);
}
