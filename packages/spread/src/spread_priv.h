/*
 * Parts of the composition that its files share.
 */
#ifndef SPREAD_SPREAD_PRIV_H
#define SPREAD_SPREAD_PRIV_H

#include "spread/env.h"
#include "spread/floors.h"
#include "spread/intake.h"
#include "spread/notices.h"
#include "spread/progress.h"
#include "spread/readers.h"
#include "spread/serve.h"

/* Heads that are remembered, to tell which one a version came with. */
#define SPREAD_HEADS_MAX 8

/**
 * struct spread - one node's spread
 * @env: what the modules share
 * @readers: polling of the platform
 * @notices: passing on
 * @intake: version under way
 * @serve: answers to peers
 * @floors: what restarted hosts held
 * @progress: sums of the roll
 * @known: newest head heard
 * @held_head: newest head whose version in force is held
 * @heads: heads heard lately
 * @next_head: where the next one goes
 * @public_head: @known for other packages; its root zero when not known
 * @committed_ms: when the node came to hold its version
 * @pending_contents: GBytes; contents for a version that is being signed off
 * here
 * @from_origin: @known came from the platform or a sign-off here, not from a
 * peer
 * @ready: whether the node may serve
 */
struct spread {
	struct spread_env env;
	struct readers readers;
	struct notices notices;
	struct intake intake;
	struct serve serve;
	struct floors floors;
	struct progress progress;
	struct rec_head_tag known;
	struct rec_head_tag held_head;
	struct rec_head_tag heads[SPREAD_HEADS_MAX];
	struct rec_head public_head;
	uint64_t committed_ms;
	uint32_t next_head;
	GPtrArray *pending_contents;
	int from_origin;
	int ready;
};

/**
 * spread_adopt_head() - a head was heard
 * @s: the spread
 * @now_ms: monotonic time
 * @head: the head
 *
 * Return: 1 when it is newer than the one known, else 0.
 */
int spread_adopt_head(
    struct spread *s, uint64_t now_ms, const struct rec_head_tag *head);

/** spread_halt_count() - number of halts up to a head */
uint64_t spread_halt_count(const struct rec_head_tag *head);

/** spread_adopt_origin_head() - a head was heard from the platform or a
 * sign-off here */
void spread_adopt_origin_head(
    struct spread *s, uint64_t now_ms, const struct rec_head *head);

/**
 * spread_hold_ms() - when a version that no peer offers may be taken up
 * @s: the spread
 *
 * A version that comes from the platform or from a sign-off here waits until
 * batch_ms after the one before, so that versions close together are merged
 * where they enter the spread. What peers offer is taken up at once.
 */
uint64_t spread_hold_ms(const struct spread *s);

/** spread_advance() - do what an event has made possible; ends each event */
void spread_advance(struct spread *s, uint64_t now_ms);

#endif
