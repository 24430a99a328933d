/*
 * Whether and when this node polls the platform's head row.
 */
#include "spread/readers.h"

#include "base/clock.h"
#include "membership/membership.h"
#include "spread/peers.h"

#define READERS_KEY "readers"

/* How often a changed table of hosts is looked at. */
#define RANK_MS 1000

/* The shell's own timeout of a read is shorter than this. */
#define READ_LOST_MS 20000

void
readers_init(struct readers *r, struct spread_env *env, uint64_t now_ms)
{
	r->env = env;
	backoff_init(&r->backoff, env->profile.backoff_base_ms,
	    env->profile.backoff_cap_ms);
	r->rank_ms = now_ms;
	r->change = 0;
	r->poll_ms = now_ms + env_below(env, env->profile.head_poll_ms);
	r->alone_ms = now_ms + env->profile.alone_poll_ms +
	    env_below(env, env->profile.alone_poll_ms);
	r->reading = 0;
	r->reading_ms = 0;
}

static void
readers_work_out(struct readers *r, uint64_t now_ms)
{
	uint64_t change;

	r->rank_ms = now_ms + env_around(r->env, RANK_MS);
	if (!peers_joined(r->env) && now_ms < r->alone_ms) {
		r->env->reader_rank = PEERS_RANK_NONE;
		r->rank_ms = MIN(r->rank_ms, r->alone_ms);
		return;
	}
	change = membership_change(r->env->members);
	if (change == r->change && r->env->reader_rank != PEERS_RANK_NONE)
		return;
	r->change = change;
	r->env->reader_rank =
	    peers_rank(r->env, READERS_KEY, r->env->profile.readers);
}

static int
readers_due(const struct readers *r, uint64_t now_ms)
{
	return readers_is_reader(r) && !r->reading && now_ms >= r->poll_ms &&
	    backoff_open(&r->backoff, now_ms);
}

void
readers_tick(struct readers *r, uint64_t now_ms)
{
	if (now_ms >= r->rank_ms)
		readers_work_out(r, now_ms);
	if (r->reading && now_ms >= r->reading_ms)
		readers_answered(r, now_ms, 0);
	if (!readers_due(r, now_ms))
		return;
	r->reading = 1;
	r->reading_ms = now_ms + READ_LOST_MS;
	r->poll_ms = now_ms + env_around(r->env, r->env->profile.head_poll_ms);
	r->env->stats.head_reads++;
	env_act(r->env, SPREAD_READ_HEAD);
}

uint64_t
readers_next_ms(const struct readers *r)
{
	uint64_t poll;

	if (!readers_is_reader(r))
		return r->rank_ms;
	if (r->reading)
		return MIN(r->rank_ms, r->reading_ms);
	poll = MAX(r->poll_ms, r->backoff.until_ms);
	return MIN(r->rank_ms, poll);
}

void
readers_answered(struct readers *r, uint64_t now_ms, int ok)
{
	r->reading = 0;
	if (ok)
		backoff_succeeded(&r->backoff);
	else
		backoff_failed(&r->backoff, now_ms, r->env->rng);
}

int
readers_is_reader(const struct readers *r)
{
	return r->env->reader_rank != PEERS_RANK_NONE;
}
