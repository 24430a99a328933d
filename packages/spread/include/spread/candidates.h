/*
 * Candidates: peers that are known to hold a version and can be pulled from.
 */
#ifndef SPREAD_CANDIDATES_H
#define SPREAD_CANDIDATES_H

#include <stdint.h>

#include "proto/addr.h"
#include "spread/env.h"

/* Capacity for candidates and for bans. */
#define CANDIDATES_MAX 12
#define CANDIDATES_BANS_MAX 16

/* A peer that sent an invalid answer is not asked again for this long. */
#define CANDIDATES_BAN_MS 60000

/**
 * struct candidate - a peer that can be pulled from
 * @addr: address of the peer
 * @version: the peer holds this version or a later one
 * @after_ms: earliest time of the next request; set when the peer was busy
 * @near: whether the peer is in this node's data centre
 */
struct candidate {
	struct net_addr addr;
	uint64_t version;
	uint64_t after_ms;
	int near;
};

/**
 * struct candidate_ban - a peer that is excluded for a while
 * @addr: address of the peer
 * @until_ms: when the ban expires
 */
struct candidate_ban {
	struct net_addr addr;
	uint64_t until_ms;
};

/**
 * struct candidates - the peers that can be pulled from
 * @list: the peers, in no order
 * @n: number of entries in @list
 * @bans: ring of the latest bans
 * @next_ban: index in @bans that the next ban overwrites
 */
struct candidates {
	struct candidate list[CANDIDATES_MAX];
	uint32_t n;
	struct candidate_ban bans[CANDIDATES_BANS_MAX];
	uint32_t next_ban;
};

/**
 * candidates_add() - add a peer or raise the version of a known one
 * @c: candidates
 * @now_ms: monotonic time
 * @addr: address of the peer
 * @version: the peer holds this version or a later one
 * @near: whether the peer is in this node's data centre
 *
 * A banned peer is ignored.  When the list is full, the entry with the oldest
 * version is replaced, if that version is older than @version.
 */
void candidates_add(struct candidates *c, uint64_t now_ms,
    const struct net_addr *addr, uint64_t version, int near);

/**
 * candidates_pick() - choose a peer to ask now
 * @c: candidates
 * @env: environment
 * @now_ms: monotonic time
 * @version: the peer must hold this version or a later one
 * @addr: set to the address of the peer
 *
 * Peers of this node's data centre are preferred; the choice among equals is
 * random.
 *
 * Return: 1 if a peer was found, else 0.
 */
int candidates_pick(const struct candidates *c, struct spread_env *env,
    uint64_t now_ms, uint64_t version, struct net_addr *addr);

/**
 * candidates_next_ms() - when a candidate that holds @version can be asked
 *
 * Return: the time, or DEADLINE_NEVER if no candidate holds the version.
 */
uint64_t candidates_next_ms(const struct candidates *c, uint64_t version);

/** candidates_busy() - don't ask @addr, which was busy, before @after_ms */
void candidates_busy(
    struct candidates *c, const struct net_addr *addr, uint64_t after_ms);

/** candidates_drop() - remove a peer that failed or lacks its version */
void candidates_drop(struct candidates *c, const struct net_addr *addr);

/** candidates_ban() - remove a peer that sent an invalid answer and ignore it
 * for CANDIDATES_BAN_MS */
void candidates_ban(
    struct candidates *c, uint64_t now_ms, const struct net_addr *addr);

/** candidates_prune() - remove the peers that hold less than @version */
void candidates_prune(struct candidates *c, uint64_t version);

#endif
