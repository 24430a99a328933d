/*
 * Quarantine news: brings each node what the others know of crashes and of
 * quarantined requests.
 *
 * Records are a set that only grows, so that it doesn't matter in which order
 * or how often they come.  A new one is passed on to a few random hosts a few
 * times, and by those who hadn't it again; now and then a node compares what it
 * has with a random host, so that who was cut off or has just started gets all.
 * Nothing is sent while there are no records.
 *
 * A decision module: no socket, clock, thread, random source or log call.
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

/* Records kept; crashes go first, quarantined requests last, of a kind the
 * oldest.
 */
#define QUARANTINE_ITEMS_MAX 128

/* Requests of one record. */
#define QUARANTINE_PRINTS_MAX 32

/* A new record is passed on so often to so many hosts, after these pauses: of
 * 22,000 hosts all but some dozens have it in about a second. */
#define QUARANTINE_ROUNDS 3
#define QUARANTINE_FANOUT 2
#define QUARANTINE_ROUND_MS 100

/* Time between two comparisons, and while there is no more room for records. */
#define QUARANTINE_COMPARE_MS 1000
#define QUARANTINE_COMPARE_FULL_MS 10000

/* Bytes that a node sends, on average and at once: below the 6 KB/s that
 * control may use.  What doesn't fit waits; when hundreds of upstreams end at
 * once that is evidence against none of the requests. */
#define QUARANTINE_BYTES_PER_S 3000
#define QUARANTINE_BURST_BYTES 24000

/* Most datagrams that answer one comparison; the next one brings the rest. */
#define QUARANTINE_ANSWER_MAX 4

/**
 * struct quarantine_item - a record
 * @id: its number, the same at all nodes
 * @kind: what it tells
 * @at_ms: monotonic time at which it happened, as this node reckons
 * @host: host that saw or decided it
 * @service: service of the upstream, or empty
 * @what: method and beginning of the path of quarantined requests
 * @caller: who sent it
 * @crashes: crashes that count against it
 * @n_prints: number of @prints
 * @prints: the requests
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
 * struct quarantine_peers - how hosts to talk to are found
 * @random: the address of a live host other than the own, by chance; false
 *	when there is none
 */
struct quarantine_peers {
	bool (*random)(struct quarantine_peers *p, struct net_addr *out);
};

/**
 * struct quarantine_counters - totals since the start
 * @datagrams: datagrams sent
 * @bytes: bytes of them
 * @records: records that came and were new
 * @postponed: datagrams that were not sent, since too much was
 */
struct quarantine_counters {
	uint64_t datagrams;
	uint64_t bytes;
	uint64_t records;
	uint64_t postponed;
};

struct quarantine_news;

/**
 * quarantine_news_new() - nothing is known
 * @host: own name; copied
 * @peers: hosts to talk to; borrowed
 * @out: where datagrams go; borrowed
 * @now_ms: monotonic time
 *
 * Return: the news; free with quarantine_news_free().
 */
struct quarantine_news *quarantine_news_new(const char *host,
    struct quarantine_peers *peers, struct outbox *out, uint64_t now_ms);

/** quarantine_news_free() - free it; NULL is allowed */
void quarantine_news_free(struct quarantine_news *n);

/** quarantine_news_handles() - whether a message is for
 * quarantine_news_receive()
 */
bool quarantine_news_handles(uint8_t type);

/** quarantine_news_add() - something of the own host; copied */
void quarantine_news_add(struct quarantine_news *n,
    const struct quarantine_item *item, uint64_t now_ms);

/** quarantine_news_receive() - a datagram of a peer; a wrong one is ignored */
void quarantine_news_receive(struct quarantine_news *n, uint64_t now_ms,
    const struct net_addr *from, uint8_t type, const uint8_t *body, size_t len);

/** quarantine_news_pop() - the next record that came from a peer and is new */
bool
quarantine_news_pop(struct quarantine_news *n, struct quarantine_item *out);

/** quarantine_news_tick() - let time pass */
void quarantine_news_tick(struct quarantine_news *n, uint64_t now_ms);

/** quarantine_news_next_ms() - when quarantine_news_tick() is wanted */
uint64_t quarantine_news_next_ms(const struct quarantine_news *n);

/** quarantine_news_count() - number of records */
uint32_t quarantine_news_count(const struct quarantine_news *n);

/** quarantine_news_at() - record number @i, in the order in which they came */
const struct quarantine_item *
quarantine_news_at(const struct quarantine_news *n, uint32_t i);

/** quarantine_news_counters() - totals since the start */
const struct quarantine_counters *
quarantine_news_counters(const struct quarantine_news *n);

#endif
