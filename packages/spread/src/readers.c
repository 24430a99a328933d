/*
 * Decides whether and when this node reads the platform's head row.
 */
#include "spread/readers.h"

#include "base/clock.h"
#include "membership/membership.h"
#include "spread/peers.h"

#define READERS_KEY "readers"

/* Mean time between two checks for changes of the table of hosts. */
#define RANK_INTERVAL_MS 1000

/* Interval at which a joining node checks whether it has joined. */
#define JOIN_POLL_MS 50

/*
 * Time after joining during which the node compares its table with others
 * (membership/settle.c).  By then the table contains most hosts that started at
 * the same time, so that few hosts compute by mistake that they are readers.
 * The time is short because no node serves until a reader has read.
 */
#define TABLE_SETTLE_MS 100

/* Longer than the caller's own timeout of a read: 2 s of waiting, 1.5 s until
 * the answer begins and 45 s for the largest answer. */
#define READ_TIMEOUT_MS 60000

/* Cap of the back-off: after an outage of the platform one of the readers reads
 * within some 0.3 s, the mean of the earlier of two reads, so that a change is
 * in force in time. */
#define BACKOFF_CAP_MS 1000

void
readers_init(struct readers *r, struct spread_env *env, uint64_t now_ms)
{
	r->env = env;
	backoff_init(&r->backoff, env->profile.backoff_base_ms,
	    MIN(env->profile.backoff_cap_ms, BACKOFF_CAP_MS));
	reader_group_init(&r->group, env);
	r->next_rank_ms = now_ms;
	r->change = 0;
	r->poll_ms = now_ms + env_random_below(env, env->profile.head_poll_ms);
	r->alone_ms = now_ms + env->profile.alone_poll_ms +
	    env_random_below(env, env->profile.alone_poll_ms);
	r->table_settled_ms = DEADLINE_NEVER;
	probes_init(&r->probes);
	r->reading = 0;
	r->read_start_ms = 0;
	r->read_deadline_ms = 0;
	r->answered_start_ms = 0;
}

/* Whether the table of hosts is not complete enough yet to compute the rank;
 * schedules the next check. */
static int
readers_table_unsettled(struct readers *r, uint64_t now_ms)
{
	int joined = peers_joined(r->env);

	if (joined && r->table_settled_ms == DEADLINE_NEVER)
		r->table_settled_ms = now_ms + TABLE_SETTLE_MS;
	else if (!joined)
		r->table_settled_ms = DEADLINE_NEVER;
	if (now_ms >= MIN(r->alone_ms, r->table_settled_ms))
		return 0;
	r->next_rank_ms =
	    MIN(now_ms + JOIN_POLL_MS, MIN(r->alone_ms, r->table_settled_ms));
	return 1;
}

static void
readers_update_rank(struct readers *r, uint64_t now_ms)
{
	struct net_addr addrs[READER_GROUP_MAX];
	uint32_t n, own;

	n = peers_ranked(r->env, READERS_KEY, addrs, READER_GROUP_MAX, &own);
	reader_group_set_hosts(&r->group, now_ms, addrs, n, own);
	r->env->reader_rank =
	    own < r->env->profile.readers ? own : PEERS_RANK_NONE;
}

static void
readers_refresh_rank(struct readers *r, uint64_t now_ms)
{
	uint64_t change;

	if (readers_table_unsettled(r, now_ms)) {
		reader_group_set_hosts(
		    &r->group, now_ms, NULL, 0, PEERS_RANK_NONE);
		r->env->reader_rank = PEERS_RANK_NONE;
		return;
	}
	r->next_rank_ms = now_ms + env_jitter(r->env, RANK_INTERVAL_MS);
	change = membership_change(r->env->members);
	if (change == r->change && r->group.rank != PEERS_RANK_NONE)
		return;
	r->change = change;
	readers_update_rank(r, now_ms);
}

static void
readers_tick_group(struct readers *r, uint64_t now_ms)
{
	struct spread_action *a;

	if (!reader_group_tick(&r->group, now_ms))
		return;
	a = env_push_action(r->env, SPREAD_READER);
	if (!reader_group_reads(&r->group))
		return;
	a->to = r->group.rank + 1;
	a->reader_reason = r->group.reason;
	/* Readers by rank keep their random time of the first read, so that
	 * hosts that start together don't read together. */
	if (r->group.reason != READER_GROUP_BY_RANK)
		r->poll_ms = now_ms;
	backoff_succeeded(&r->backoff);
}

static int
readers_due(const struct readers *r, uint64_t now_ms)
{
	return readers_is_reader(r) && !r->reading && now_ms >= r->poll_ms &&
	    backoff_expired(&r->backoff, now_ms);
}

static void
readers_read(struct readers *r, uint64_t now_ms)
{
	struct spread_action *a;

	r->reading = 1;
	r->read_start_ms = now_ms;
	r->read_deadline_ms = now_ms + READ_TIMEOUT_MS;
	r->poll_ms = now_ms + env_jitter(r->env, r->env->profile.head_poll_ms);
	r->env->stats.head_reads++;
	a = env_push_action(r->env, SPREAD_READ_HEAD);
	a->wait_ms = reader_group_wait_ms(&r->group, now_ms);
	a->from = reader_group_position(&r->group);
	probes_on_read_started(&r->probes, now_ms, a->wait_ms, r->group.rank,
	    r->env->profile.readers);
}

static void
readers_probe(struct readers *r, uint64_t now_ms)
{
	struct spread_action *a;

	if (!readers_is_reader(r) || !r->reading ||
	    !probes_start(&r->probes, now_ms))
		return;
	r->env->stats.head_probes++;
	a = env_push_action(r->env, SPREAD_PROBE_HEAD);
	a->skip_next = probes_skip_next(&r->probes, now_ms);
}

void
readers_tick(struct readers *r, uint64_t now_ms)
{
	static const struct spread_read_end lost = {0};

	if (now_ms >= r->next_rank_ms)
		readers_refresh_rank(r, now_ms);
	readers_tick_group(r, now_ms);
	if (r->reading && now_ms >= r->read_deadline_ms)
		readers_on_read_ended(r, now_ms, &lost);
	if (readers_due(r, now_ms))
		readers_read(r, now_ms);
	readers_probe(r, now_ms);
}

uint64_t
readers_next_ms(const struct readers *r)
{
	uint64_t next = MIN(r->next_rank_ms, reader_group_next_ms(&r->group));

	if (!readers_is_reader(r))
		return next;
	if (r->reading)
		return MIN(
		    MIN(next, r->read_deadline_ms), probes_next_ms(&r->probes));
	return MIN(next, MAX(r->poll_ms, r->backoff.until_ms));
}

void
readers_on_read_ended(
    struct readers *r, uint64_t now_ms, const struct spread_read_end *end)
{
	if (r->reading)
		probes_on_read_ended(
		    &r->probes, now_ms - r->read_start_ms, end);
	if (r->reading)
		reader_group_on_read_ended(
		    &r->group, now_ms, end->ok, end->position);
	if (r->reading && end->ok)
		r->answered_start_ms = r->read_start_ms;
	r->reading = 0;
	if (end->ok)
		backoff_succeeded(&r->backoff);
	else
		backoff_failed(&r->backoff, now_ms, r->env->rng);
}

void
readers_on_probe_ended(
    struct readers *r, uint64_t now_ms, const struct spread_read_end *end)
{
	probes_on_ended(&r->probes, now_ms, end);
}

void
readers_read_now(struct readers *r, uint64_t now_ms)
{
	if (reader_group_is_active(&r->group))
		return;
	r->alone_ms = now_ms;
	r->next_rank_ms = now_ms;
	r->poll_ms = now_ms;
}

void
readers_set_long_poll(struct readers *r, uint32_t wait_ms)
{
	probes_set_long_poll(&r->probes, wait_ms);
	reader_group_set_long_poll(&r->group, wait_ms);
}

void
readers_on_answer_begun(struct readers *r, uint64_t now_ms)
{
	if (r->reading)
		reader_group_on_read_ended(&r->group, now_ms, 1, 0);
}

void
readers_on_report(struct readers *r, uint64_t now_ms,
    const struct net_addr *from, const struct msg_read_report *msg)
{
	reader_group_on_report(&r->group, now_ms, from, msg);
	readers_tick(r, now_ms);
}

int
readers_is_reader(const struct readers *r)
{
	return reader_group_reads(&r->group);
}

int
readers_is_first(const struct readers *r, uint64_t now_ms)
{
	return reader_group_is_first(&r->group, now_ms);
}
