/*
 * What the modules of the spread share: settings, neighbours, output, random
 * numbers.  Owned by struct spread.
 */
#ifndef SPREAD_ENV_H
#define SPREAD_ENV_H

#include <stdint.h>

#include <glib.h>

#include "membership/member.h"
#include "proto/outbox.h"
#include "spread/spread.h"

/**
 * struct spread_env - shared by the modules of one node's spread
 * @profile: numbers of the spread
 * @host: own host
 * @data_centre: own data centre
 * @members: table of hosts; borrowed
 * @catalog: the node's configuration; borrowed
 * @out: messages to be sent
 * @actions: struct spread_action, oldest first
 * @rng: random numbers from the node's seed
 * @reader_rank: own rank among the readers, or PEERS_RANK_NONE
 * @trace: steps of the last versions
 * @stats: counters
 */
struct spread_env {
	struct spread_profile profile;
	char host[MEMBER_NAME_BYTES];
	char data_centre[MEMBER_NAME_BYTES];
	struct membership *members;
	struct catalog *catalog;
	struct outbox *out;
	GQueue *actions;
	GRand *rng;
	uint32_t reader_rank;
	struct trace trace;
	struct spread_stats stats;
};

/**
 * env_init() - prepare an environment
 * @env: the environment; clear with env_clear()
 * @config: settings; copied
 * @m: table of hosts; borrowed
 * @c: the node's configuration; borrowed
 */
void env_init(struct spread_env *env, const struct spread_config *config,
    struct membership *m, struct catalog *c);

/** env_clear() - free what an environment holds */
void env_clear(struct spread_env *env);

/** env_push_action() - add an action of a kind to the queue; the caller fills
 * it in */
struct spread_action *
env_push_action(struct spread_env *env, enum spread_action_kind kind);

/** env_random_below() - a random number below @n, 0 when @n is 0 */
uint32_t env_random_below(struct spread_env *env, uint32_t n);

/** env_jitter() - a random duration from half to one and a half of @ms */
uint32_t env_jitter(struct spread_env *env, uint32_t ms);

#endif
