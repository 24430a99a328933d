/*
 * Peers: selects peers from the table of hosts.  Near peers are in this host's
 * data centre, far peers in another one.
 */
#ifndef SPREAD_PEERS_H
#define SPREAD_PEERS_H

#include <stdint.h>

#include "proto/addr.h"
#include "spread/env.h"

/* Data centres considered; further ones are ignored. */
#define PEERS_DATA_CENTRES_MAX 128

/** PEERS_RANK_NONE - this host is not among the ranked hosts */
#define PEERS_RANK_NONE UINT32_MAX

/** peers_joined() - whether this host has joined, so that its table of hosts is
 * reliable */
int peers_joined(const struct spread_env *env);

/**
 * peers_near() - distinct random live hosts of this host's data centre
 * @env: environment
 * @addrs: set to their addresses; room for @n
 * @n: number of hosts wanted
 *
 * Return: number of hosts found.
 */
uint32_t peers_near(struct spread_env *env, struct net_addr *addrs, uint32_t n);

/**
 * peers_far() - random live hosts, each of a different other data centre
 * @env: environment
 * @addrs: set to their addresses; room for @n
 * @n: number of hosts wanted
 *
 * Return: number of hosts found.
 */
uint32_t peers_far(struct spread_env *env, struct net_addr *addrs, uint32_t n);

/**
 * peers_ranked() - the first hosts of this host's data centre by rendezvous
 * rank
 * @env: environment
 * @key: key of the ranking
 * @addrs: set to their addresses, by rank; room for @n
 * @n: number of hosts wanted; at most MEMBERSHIP_RANK_MAX
 * @own: set to this host's rank, PEERS_RANK_NONE if it is not among them
 *
 * Return: number of hosts found.
 */
uint32_t peers_ranked(const struct spread_env *env, const char *key,
    struct net_addr *addrs, uint32_t n, uint32_t *own);

/**
 * peers_keepers() - the hosts that store this host's floor
 * @env: environment
 * @addrs: set to their addresses; room for @n + 1
 * @n: number of keepers in this host's data centre; one of another data centre
 *	is added
 *
 * Return: number of hosts found.
 */
uint32_t
peers_keepers(const struct spread_env *env, struct net_addr *addrs, uint32_t n);

/**
 * peers_data_centre_rank() - rendezvous rank of this host's data centre among
 * the reachable ones
 * @env: environment
 * @now_ms: monotonic time
 * @key: key of the ranking
 * @count: set to the number of reachable data centres
 *
 * Return: the rank, 0 for the first.
 */
uint32_t peers_data_centre_rank(const struct spread_env *env, uint64_t now_ms,
    const char *key, uint32_t *count);

#endif
