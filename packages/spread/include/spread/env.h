/*
 * Environment that the modules of this package share: settings, host table,
 * outbox, action queue and random numbers.  Owned by struct spread.
 */
#ifndef SPREAD_ENV_H
#define SPREAD_ENV_H

#include <stdint.h>

#include <glib.h>

#include "membership/member.h"
#include "proto/outbox.h"
#include "spread/spread.h"

/**
 * struct spread_env - environment of one node's modules
 * @profile: tuning parameters
 * @host: name of this host
 * @data_centre: name of this host's data centre
 * @members: table of hosts; borrowed
 * @catalog: the node's configuration; borrowed
 * @out: outgoing messages
 * @actions: queue of struct spread_action, oldest first
 * @rng: random numbers from the node's seed
 * @reader_rank: this host's rank among the readers of its data centre, or
 *	PEERS_RANK_NONE
 * @trace: when the latest versions passed each step
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
 * env_init() - initialise an environment
 * @env: the environment; release with env_clear()
 * @config: settings; copied
 * @m: table of hosts; borrowed
 * @c: the node's configuration; borrowed
 */
void env_init(struct spread_env *env, const struct spread_config *config,
    struct membership *m, struct catalog *c);

/** env_clear() - free the resources of an environment */
void env_clear(struct spread_env *env);

/** env_push_action() - append a zeroed action of a kind to the queue
 *
 * Return: the action, for the caller to fill in; owned by the queue.
 */
struct spread_action *
env_push_action(struct spread_env *env, enum spread_action_kind kind);

/** env_random_below() - uniform random number below @n; 0 if @n is 0 */
uint32_t env_random_below(struct spread_env *env, uint32_t n);

/** env_jitter() - uniform random duration between 0.5 and 1.5 times @ms */
uint32_t env_jitter(struct spread_env *env, uint32_t ms);

#endif
