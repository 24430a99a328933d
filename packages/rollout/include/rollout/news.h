/*
 * News of orders: brings each node the newest order of each service and its
 * phase.
 *
 * A change is passed on to a few random hosts a few times, and by those who
 * lacked it again; now and then a node compares what it knows with a random
 * host, so that who was cut off or has just started gets all.  Nothing is sent
 * while there are no orders, but for the first seconds of a node.
 */
#ifndef ROLLOUT_NEWS_H
#define ROLLOUT_NEWS_H

#include "proto/addr.h"
#include "proto/outbox.h"
#include "rollout/orders.h"

/* A change is passed on so often to so many hosts, with this pause. */
#define ROLLOUT_NEWS_ROUNDS 4
#define ROLLOUT_NEWS_FANOUT 3
#define ROLLOUT_NEWS_ROUND_INTERVAL_MS 40

/* Time between two comparisons, and how long a new node asks for orders. */
#define ROLLOUT_NEWS_COMPARE_INTERVAL_MS 1000
#define ROLLOUT_NEWS_JOIN_INTERVAL_MS 100
#define ROLLOUT_NEWS_JOIN_TIMEOUT_MS 8000

struct rollout_news;

/**
 * rollout_news_new() - news of @orders
 * @host: own name; copied
 * @orders: what is known; borrowed
 * @out: where datagrams go; borrowed
 * @now_ms: monotonic time
 */
struct rollout_news *rollout_news_new(const char *host,
    struct rollout_orders *orders, struct outbox *out, uint64_t now_ms);

/** rollout_news_free() - free it; NULL is allowed */
void rollout_news_free(struct rollout_news *n);

/** rollout_news_add() - an order or a phase became known here; it is taken and
 * passed on.  Return: whether it was news. */
bool rollout_news_add(
    struct rollout_news *n, const struct rollout *r, uint64_t now_ms);

/** rollout_news_announce() - pass on what has changed in the orders themselves
 */
void rollout_news_announce(struct rollout_news *n, uint64_t now_ms);

/** rollout_news_receive() - a datagram of a peer; a wrong one is ignored */
void rollout_news_receive(struct rollout_news *n, uint64_t now_ms,
    const struct net_addr *from, uint8_t type, const uint8_t *body, size_t len);

/** rollout_news_pop() - the next order or phase that a peer told and was news;
 * false when there is none */
bool rollout_news_pop(struct rollout_news *n, struct rollout *out);

/** rollout_news_handles() - whether a message is for rollout_news_receive() */
bool rollout_news_handles(uint8_t type);

/**
 * rollout_news_tick() - send what is due
 * @n: the news
 * @peers: live hosts other than the own, by chance
 * @n_peers: number of @peers, ROLLOUT_NEWS_FANOUT at most
 * @now_ms: monotonic time
 */
void rollout_news_tick(struct rollout_news *n, const struct net_addr *peers,
    uint32_t n_peers, uint64_t now_ms);

/** rollout_news_next_ms() - when rollout_news_tick() is wanted */
uint64_t rollout_news_next_ms(const struct rollout_news *n);

#endif
