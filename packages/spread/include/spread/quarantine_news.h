/*
 * Quarantine news: distributes records of upstream crashes and of quarantined
 * requests to all nodes.
 *
 * Records form a grow-only set, so the order and the number of their deliveries
 * don't matter.  A node that receives a new record gossips it to a few random
 * hosts for a few rounds.  In addition each node periodically compares its set
 * with a random host's, so that a host that was cut off or has just started
 * receives the records it lacks.  Nothing is sent while there are no records.
 *
 * This module makes decisions only: it uses no socket, clock, thread, random
 * source or log call.
 */
#ifndef SPREAD_QUARANTINE_NEWS_H
#define SPREAD_QUARANTINE_NEWS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "proto/addr.h"
#include "proto/messages.h"
#include "proto/outbox.h"

/* Capacity for records.  Crashes are evicted first and quarantined requests
 * last; within a kind the oldest is evicted first. */
#define QUARANTINE_ITEMS_MAX 128

/* Most requests of one record. */
#define QUARANTINE_PRINTS_MAX 32

/* Rounds of gossip of a new record, hosts per round, and the pause between two
 * rounds.  Of 22,000 hosts all but some dozens have the record in about a
 * second. */
#define QUARANTINE_ROUNDS 3
#define QUARANTINE_FANOUT 2
#define QUARANTINE_ROUND_MS 100

/* Time between two comparisons, and the same while the set is full. */
#define QUARANTINE_COMPARE_MS 1000
#define QUARANTINE_COMPARE_FULL_MS 10000

/* Bytes that a node sends, on average and in a burst: below the 6 KB/s that
 * control traffic may use.  Datagrams beyond that are postponed, which does no
 * harm: when hundreds of upstreams end at once, their crashes are evidence
 * against none of the requests. */
#define QUARANTINE_BYTES_PER_S 3000
#define QUARANTINE_BURST_BYTES 24000

/* Most datagrams of records sent to a host at a time, in a round of gossip or
 * in answer to a comparison; the next comparison delivers the remaining
 * records. */
#define QUARANTINE_ANSWER_MAX 4

/**
 * struct quarantine_item - a record
 * @id: its number, the same on all nodes
 * @kind: kind of the event
 * @at_ms: time of the event, converted to this node's monotonic clock
 * @host: host that observed or decided the event
 * @service: service of the upstream, or empty
 * @what: method and beginning of the path of quarantined requests
 * @caller: caller that sent them
 * @crashes: crashes attributed to them
 * @n_prints: number of entries in @prints
 * @prints: fingerprints of the requests
 */
struct quarantine_item {
	uint64_t id;
	enum quarantine_kind kind;
	uint64_t at_ms;
	char host[MSG_QUARANTINE_NEWS_HOST_MAX + 1];
	char service[REC_QUARANTINE_RECORD_SERVICE_MAX + 1];
	char what[REC_QUARANTINE_RECORD_WHAT_MAX + 1];
	char caller[REC_QUARANTINE_RECORD_CALLER_MAX + 1];
	uint32_t crashes;
	uint32_t n_prints;
	struct rec_print prints[QUARANTINE_PRINTS_MAX];
};

/**
 * struct quarantine_peers - selects the hosts to exchange records with
 * @random: stores the address of a random live host other than this one;
 *	returns false if there is none
 */
struct quarantine_peers {
	bool (*random)(struct quarantine_peers *p, struct net_addr *out);
};

/**
 * struct quarantine_counters - totals since the start
 * @datagrams: datagrams sent
 * @bytes: bytes of those datagrams
 * @records: new records received
 * @postponed: datagrams not sent because of the byte limit
 */
struct quarantine_counters {
	uint64_t datagrams;
	uint64_t bytes;
	uint64_t records;
	uint64_t postponed;
};

struct quarantine_news;

/**
 * quarantine_news_new() - create an empty set of records
 * @host: name of this host; copied
 * @peers: selects hosts to exchange records with; borrowed
 * @out: outbox for datagrams; borrowed
 * @now_ms: monotonic time
 *
 * Return: the news; free with quarantine_news_free().
 */
struct quarantine_news *quarantine_news_new(const char *host,
    struct quarantine_peers *peers, struct outbox *out, uint64_t now_ms);

/** quarantine_news_free() - free the news; NULL is allowed */
void quarantine_news_free(struct quarantine_news *n);

/** quarantine_news_handles() - whether quarantine_news_receive() handles
 * messages of a type */
bool quarantine_news_handles(uint8_t type);

/** quarantine_news_add() - add a record of this host; copied */
void quarantine_news_add(struct quarantine_news *n,
    const struct quarantine_item *item, uint64_t now_ms);

/** quarantine_news_receive() - handle a peer's datagram; an invalid one is
 * ignored */
void quarantine_news_receive(struct quarantine_news *n, uint64_t now_ms,
    const struct net_addr *from, uint8_t type, const uint8_t *body, size_t len);

/** quarantine_news_pop() - take the next new record received from a peer
 *
 * Return: false if there is none.
 */
bool
quarantine_news_pop(struct quarantine_news *n, struct quarantine_item *out);

/** quarantine_news_tick() - send what is due at @now_ms */
void quarantine_news_tick(struct quarantine_news *n, uint64_t now_ms);

/** quarantine_news_next_ms() - when quarantine_news_tick() is due */
uint64_t quarantine_news_next_ms(const struct quarantine_news *n);

/** quarantine_news_count() - number of records */
uint32_t quarantine_news_count(const struct quarantine_news *n);

/** quarantine_news_at() - record number @i in order of arrival */
const struct quarantine_item *
quarantine_news_at(const struct quarantine_news *n, uint32_t i);

/** quarantine_news_counters() - totals since the start */
const struct quarantine_counters *
quarantine_news_counters(const struct quarantine_news *n);

#endif
