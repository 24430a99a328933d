/*
 * Hosts that may be homes of customers' limits, by data centre and rank.
 */
#ifndef ENTRY_QUOTA_HOSTS_H
#define ENTRY_QUOTA_HOSTS_H

#include "config/snapshot.h"
#include "quota/choice.h"
#include "quota/limit.h"
#include "quota/roster.h"

/**
 * struct quota_host - a host that may be a home
 * @id: number of the host
 * @address: where its guard listens
 */
struct quota_host {
	uint64_t id;
	struct net_addr address;
};

/**
 * struct quota_ranks - the first hosts of each shard in a data centre
 * @data_centre: the data centre
 * @hosts: hosts of each shard by rank
 * @scores: rendezvous score of each of them
 * @n: number of hosts of each shard
 */
struct quota_ranks {
	char data_centre[HOST_NAME_BYTES];
	struct quota_host hosts[QUOTA_SHARDS][QUOTA_CANDIDATES];
	uint64_t scores[QUOTA_SHARDS][QUOTA_CANDIDATES];
	uint32_t n[QUOTA_SHARDS];
};

/**
 * quota_hosts_rank() - rank the hosts of a snapshot
 * @s: the snapshot
 * @own: the data centre of this host
 * @roster: receives the hosts of @own
 * @now_ms: monotonic time
 *
 * Return: array of struct quota_ranks, one for each data centre.
 */
GArray *quota_hosts_rank(const struct snapshot *s, const char *own,
    struct quota_roster *roster, uint64_t now_ms);

#endif
