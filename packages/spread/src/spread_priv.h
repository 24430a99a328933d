/*
 * Declarations shared by spread.c and spread_events.c.
 */
#ifndef SPREAD_SPREAD_PRIV_H
#define SPREAD_SPREAD_PRIV_H

#include "spread/env.h"
#include "spread/floors.h"
#include "spread/freshness.h"
#include "spread/intake.h"
#include "spread/notices.h"
#include "spread/progress.h"
#include "spread/readers.h"
#include "spread/serve.h"

/* Latest heads kept, to find the head that announced the version held. */
#define SPREAD_HEADS_MAX 8

/**
 * struct spread - one node's spread
 * @env: environment of the modules
 * @readers: reads of the platform's head
 * @notices: gossip of the head
 * @intake: version being collected
 * @serve: answers to peers
 * @floors: this host's floor and those it stores for other hosts
 * @progress: sums of the rollout progress
 * @freshness: since when the configuration is known to be the newest
 * @known: newest head known
 * @held_head: newest head whose version in force is held
 * @heads: ring of the latest heads
 * @public_head: @known with the root of its version in force, which is zero if
 *	unknown; returned by spread_head()
 * @committed_ms: when the catalog last moved
 * @next_head: index in @heads that the next head overwrites
 * @pending_contents: GBytes; contents for a version being signed off here
 * @from_origin: @known came from the platform or a sign-off here, and not from
 *	a peer
 * @ready: whether the node may serve
 * @seq_before_read: seq that was known when a read returned an older head; 0
 *	once a read returns the known head
 * @store_epoch: highest epoch of the platform's store in the readers' reports
 */
struct spread {
	struct spread_env env;
	struct readers readers;
	struct notices notices;
	struct intake intake;
	struct serve serve;
	struct floors floors;
	struct progress progress;
	struct freshness freshness;
	struct rec_head_tag known;
	struct rec_head_tag held_head;
	struct rec_head_tag heads[SPREAD_HEADS_MAX];
	struct rec_head public_head;
	uint64_t committed_ms;
	uint32_t next_head;
	GPtrArray *pending_contents;
	int from_origin;
	int ready;
	uint64_t seq_before_read;
	uint64_t store_epoch;
};

/**
 * spread_adopt_head() - make a head the known one if it is newer
 * @s: the spread
 * @now_ms: monotonic time
 * @head: the head
 *
 * Return: 1 if the head is newer than the known one, else 0.
 */
int spread_adopt_head(
    struct spread *s, uint64_t now_ms, const struct rec_head_tag *head);

/** spread_halt_count() - number of halts up to a head */
uint64_t spread_halt_count(const struct rec_head_tag *head);

/** spread_adopt_origin_head() - adopt a head from the platform or a sign-off
 * here */
void spread_adopt_origin_head(
    struct spread *s, uint64_t now_ms, const struct rec_head *head);

/**
 * spread_hold_ms() - earliest time to take up a version that no peer offers
 * @s: the spread
 *
 * A version from the platform or a sign-off here waits until batch_ms after the
 * previous one, so that versions close together are merged where they enter the
 * fleet.  A version offered by a peer is taken up at once.
 */
uint64_t spread_hold_ms(const struct spread *s);

/** spread_advance() - run the steps that an event made possible; called at the
 * end of each event */
void spread_advance(struct spread *s, uint64_t now_ms);

#endif
