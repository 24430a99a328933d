/*
 * Gossips a new head to random peers.
 */
#include "spread/notices.h"

#include "base/clock.h"
#include "spread/peers.h"

/* Most peers notified in one round. */
#define FANOUT_MAX 32

void
notices_init(struct notices *n, struct spread_env *env, uint64_t now_ms)
{
	n->env = env;
	memset(&n->head, 0, sizeof(n->head));
	n->rounds_left = 0;
	n->next_ms = DEADLINE_NEVER;
	n->duplicates = 0;
	n->far = 0;
	n->compare_ms = now_ms + env_jitter(env, env->profile.anti_entropy_ms);
}

void
notices_start(struct notices *n, uint64_t now_ms,
    const struct rec_head_tag *head, int far)
{
	n->head = *head;
	n->rounds_left = n->env->profile.rounds;
	n->next_ms = n->rounds_left > 0 ? now_ms : DEADLINE_NEVER;
	n->duplicates = 0;
	n->far = far;
}

void
notices_on_duplicate(struct notices *n, uint64_t seq)
{
	const struct spread_profile *p;

	p = &n->env->profile;
	if (seq != n->head.seq || n->rounds_left == p->rounds)
		return;
	n->duplicates++;
	if (p->quench == 0 || n->duplicates < p->quench)
		return;
	n->rounds_left = 0;
	n->next_ms = DEADLINE_NEVER;
}

static void
notices_send(struct notices *n, uint64_t now_ms, const struct net_addr *to,
    uint32_t count, enum notice_kind kind)
{
	struct msg_notice msg;
	GByteArray *body;
	uint32_t i;

	msg.head = n->head;
	msg.kind = kind;
	msg.age_ms =
	    (uint32_t)trace_age_ms(&n->env->trace, now_ms, n->head.in_force);
	for (i = 0; i < count; i++) {
		body = g_byte_array_new();
		msg_notice_encode(&msg, body);
		outbox_datagram(n->env->out, &to[i], MSG_NOTICE, body);
	}
	n->env->stats.notices_sent += count;
}

void
notices_reply(struct notices *n, uint64_t now_ms, const struct net_addr *to)
{
	notices_send(n, now_ms, to, 1, NOTICE_FAR);
}

static void
notices_round(struct notices *n, uint64_t now_ms, int relay)
{
	const struct spread_profile *p;
	struct net_addr to[FANOUT_MAX];
	uint32_t count;

	p = &n->env->profile;
	count = peers_near(n->env, to, MIN(p->fanout, FANOUT_MAX));
	notices_send(n, now_ms, to, count, NOTICE_NEAR);
	if (n->far || relay) {
		count = peers_far(n->env, to, MIN(p->relay_fanout, FANOUT_MAX));
		notices_send(n, now_ms, to, count, NOTICE_FAR);
	}
	n->rounds_left--;
	n->next_ms = DEADLINE_NEVER;
	if (n->rounds_left > 0)
		n->next_ms = now_ms + env_jitter(n->env, p->interval_ms);
}

static void
notices_compare(struct notices *n, uint64_t now_ms)
{
	struct net_addr to;

	n->compare_ms =
	    now_ms + env_jitter(n->env, n->env->profile.anti_entropy_ms);
	if (peers_far(n->env, &to, 1) == 1)
		notices_send(n, now_ms, &to, 1, NOTICE_COMPARE);
}

void
notices_tick(struct notices *n, uint64_t now_ms, int relay)
{
	if (n->rounds_left > 0 && now_ms >= n->next_ms)
		notices_round(n, now_ms, relay);
	if (relay && now_ms >= n->compare_ms)
		notices_compare(n, now_ms);
}

uint64_t
notices_next_ms(const struct notices *n, int relay)
{
	return relay ? MIN(n->next_ms, n->compare_ms) : n->next_ms;
}
