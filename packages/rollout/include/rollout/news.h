/*
 * Gossip of orders: distributes the newest order of each service, and its
 * phase, to all nodes.
 *
 * A changed order is sent to a few random hosts in several rounds, and hosts
 * that did not have it yet forward it in the same way. Anti-entropy repairs
 * losses: at intervals a node sends a digest of its orders to a random host, so
 * that a node that was partitioned or has just started receives all of them.
 * While there are no orders nothing is sent, except by a node in its first
 * seconds.
 */
#ifndef ROLLOUT_NEWS_H
#define ROLLOUT_NEWS_H

#include "proto/addr.h"
#include "proto/outbox.h"
#include "rollout/orders.h"

/* Rounds in which a changed order is sent, hosts per round, and the interval
 * between rounds. */
#define ROLLOUT_NEWS_ROUNDS 4
#define ROLLOUT_NEWS_FANOUT 3
#define ROLLOUT_NEWS_ROUND_INTERVAL_MS 40

/* Interval between two digests; for a node without orders: the interval, and
 * the time after its start during which it sends digests. */
#define ROLLOUT_NEWS_COMPARE_INTERVAL_MS 1000
#define ROLLOUT_NEWS_JOIN_INTERVAL_MS 100
#define ROLLOUT_NEWS_JOIN_TIMEOUT_MS 8000

struct rollout_news;

/**
 * rollout_news_new() - start to gossip @orders
 * @host: own host; copied
 * @orders: known orders; borrowed
 * @out: queue for outgoing datagrams; borrowed
 * @now_ms: monotonic time
 */
struct rollout_news *rollout_news_new(const char *host,
    struct rollout_orders *orders, struct outbox *out, uint64_t now_ms);

/** rollout_news_free() - free the gossip; NULL is allowed */
void rollout_news_free(struct rollout_news *n);

/** rollout_news_add() - merge an order that became known on this node, and
 * gossip it if it is new. Return: whether it was new. */
bool rollout_news_add(
    struct rollout_news *n, const struct rollout *r, uint64_t now_ms);

/** rollout_news_announce() - gossip the orders, which the caller has changed */
void rollout_news_announce(struct rollout_news *n, uint64_t now_ms);

/** rollout_news_receive() - handle a datagram of a peer; an invalid one is
 * ignored */
void rollout_news_receive(struct rollout_news *n, uint64_t now_ms,
    const struct net_addr *from, uint8_t type, const uint8_t *body, size_t len);

/** rollout_news_pop() - take the next new order or phase that a peer sent;
 * false if there is none */
bool rollout_news_pop(struct rollout_news *n, struct rollout *out);

/** rollout_news_handles() - whether a message is for rollout_news_receive() */
bool rollout_news_handles(uint8_t type);

/**
 * rollout_news_tick() - send the datagrams that are due
 * @n: the gossip
 * @peers: randomly chosen live hosts other than this one
 * @n_peers: number of @peers, at most ROLLOUT_NEWS_FANOUT
 * @now_ms: monotonic time
 */
void rollout_news_tick(struct rollout_news *n, const struct net_addr *peers,
    uint32_t n_peers, uint64_t now_ms);

/** rollout_news_next_ms() - when to call rollout_news_tick() */
uint64_t rollout_news_next_ms(const struct rollout_news *n);

#endif
