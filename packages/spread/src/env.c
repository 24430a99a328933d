/*
 * Environment shared by the modules of this package.
 */
#include "spread/env.h"

#include "spread/peers.h"

void
env_init(struct spread_env *env, const struct spread_config *config,
    struct membership *m, struct catalog *c)
{
	guint32 seed[2];

	seed[0] = (guint32)config->seed;
	seed[1] = (guint32)(config->seed >> 32);
	env->profile = config->profile;
	g_strlcpy(env->host, config->host, sizeof(env->host));
	g_strlcpy(
	    env->data_centre, config->data_centre, sizeof(env->data_centre));
	env->reader_rank = PEERS_RANK_NONE;
	env->members = m;
	env->catalog = c;
	env->out = outbox_new();
	env->actions = g_queue_new();
	env->rng = g_rand_new_with_seed_array(seed, G_N_ELEMENTS(seed));
}

void
env_clear(struct spread_env *env)
{
	outbox_free(env->out);
	g_queue_free_full(env->actions, g_free);
	g_rand_free(env->rng);
}

struct spread_action *
env_push_action(struct spread_env *env, enum spread_action_kind kind)
{
	struct spread_action *a;

	a = g_new0(struct spread_action, 1);
	a->kind = kind;
	g_queue_push_tail(env->actions, a);
	return a;
}

uint32_t
env_random_below(struct spread_env *env, uint32_t n)
{
	if (n == 0)
		return 0;
	return (uint32_t)(((uint64_t)g_rand_int(env->rng) * n) >> 32);
}

uint32_t
env_jitter(struct spread_env *env, uint32_t ms)
{
	return ms / 2 + env_random_below(env, ms + 1);
}
