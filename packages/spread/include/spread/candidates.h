/*
 * Candidates: peers that are known to hold a version, to pull from.
 */
#ifndef SPREAD_CANDIDATES_H
#define SPREAD_CANDIDATES_H

#include <stdint.h>

#include "proto/addr.h"
#include "spread/env.h"

#define CANDIDATES_MAX 12
#define CANDIDATES_BANS_MAX 16

/* How long a peer that sent something wrong is not asked again. */
#define CANDIDATES_BAN_MS 60000

/**
 * struct candidate - a peer that may be pulled from
 * @addr: its address
 * @version: version that it holds at least
 * @after_ms: not to be asked before; it was busy
 * @near: whether it is in the own data centre
 */
struct candidate {
	struct net_addr addr;
	uint64_t version;
	uint64_t after_ms;
	int near;
};

/**
 * struct candidate_ban - a peer that is kept out
 * @addr: its address
 * @until_ms: for how long
 */
struct candidate_ban {
	struct net_addr addr;
	uint64_t until_ms;
};

/**
 * struct candidates - peers that may be pulled from
 * @list: the peers
 * @n: number of them
 * @bans: peers that are kept out
 * @next_ban: where the next one goes
 */
struct candidates {
	struct candidate list[CANDIDATES_MAX];
	uint32_t n;
	struct candidate_ban bans[CANDIDATES_BANS_MAX];
	uint32_t next_ban;
};

/**
 * candidates_add() - a peer was heard to hold a version
 * @c: candidates
 * @now_ms: monotonic time
 * @addr: the peer
 * @version: version that it holds at least
 * @near: whether it is in the own data centre
 *
 * When there is no room, the peer that holds the oldest version goes.
 */
void candidates_add(struct candidates *c, uint64_t now_ms,
    const struct net_addr *addr, uint64_t version, int near);

/**
 * candidates_pick() - a peer to ask now
 * @c: candidates
 * @env: environment
 * @now_ms: monotonic time
 * @version: version that it must hold
 * @addr: where its address goes
 *
 * Those of the own data centre go first; among equals chance decides.
 *
 * Return: 1 when there is one, else 0.
 */
int candidates_pick(const struct candidates *c, struct spread_env *env,
    uint64_t now_ms, uint64_t version, struct net_addr *addr);

/**
 * candidates_next_ms() - when a busy peer that holds @version may be asked
 *
 * Return: the time, or DEADLINE_NEVER when no peer holds the version.
 */
uint64_t candidates_next_ms(const struct candidates *c, uint64_t version);

/** candidates_busy() - @addr asked to come back at @after_ms */
void candidates_busy(
    struct candidates *c, const struct net_addr *addr, uint64_t after_ms);

/** candidates_drop() - @addr did not answer or does not hold what it should */
void candidates_drop(struct candidates *c, const struct net_addr *addr);

/** candidates_ban() - @addr sent something wrong; keep it out for a while */
void candidates_ban(
    struct candidates *c, uint64_t now_ms, const struct net_addr *addr);

/** candidates_prune() - forget peers that hold less than @version */
void candidates_prune(struct candidates *c, uint64_t version);

#endif
