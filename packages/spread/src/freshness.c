/*
 * Freshness: since when this node knows that its configuration is the newest.
 */
#include "spread/freshness.h"

#include <string.h>

#include "base/clock.h"
#include "spread/peers.h"

/* Rounds of questions within the time that a confirmation may take.  A round
 * multiplies the hosts that have a confirmation by about 3, so 16 rounds reach
 * any number of hosts with rounds to spare for lost datagrams. */
#define ROUNDS 16

/* Peers asked in a round: of the own data centre and of others. */
#define NEAR 2
#define FAR 1

void
freshness_init(struct freshness *f, struct spread_env *env)
{
	memset(f, 0, sizeof(*f));
	f->env = env;
	f->next_ms = DEADLINE_NEVER;
}

void
freshness_set_within(struct freshness *f, uint32_t within_ms)
{
	f->interval_ms = within_ms > 0 ? MAX(within_ms / ROUNDS, 1) : 0;
	f->next_ms = within_ms > 0 ? 0 : DEADLINE_NEVER;
}

static void
confirm_if_held(struct freshness *f)
{
	if (f->covered_seq != 0 && f->held_seq >= f->covered_seq)
		f->confirmed_ms = MAX(f->confirmed_ms, f->covered_ms);
}

static void
set_covered(struct freshness *f, uint64_t at_ms, uint64_t seq)
{
	if (at_ms <= f->covered_ms || seq == 0)
		return;
	f->covered_ms = at_ms;
	f->covered_seq = seq;
	confirm_if_held(f);
}

void
freshness_on_read(struct freshness *f, uint64_t started_ms, uint64_t seq)
{
	set_covered(f, started_ms, seq);
}

void
freshness_set_held(struct freshness *f, uint64_t seq)
{
	f->held_seq = seq;
	confirm_if_held(f);
}

void
freshness_on_ask(struct freshness *f, uint64_t now_ms,
    const struct net_addr *from, const struct msg_confirm_ask *msg)
{
	struct msg_confirm_answer answer = {
	    .token = msg->token, .seq = f->held_seq};
	uint64_t age_ms = now_ms - f->confirmed_ms;
	GByteArray *body;

	if (f->confirmed_ms == 0 || age_ms > UINT32_MAX)
		return;
	answer.age_ms = (uint32_t)age_ms;
	body = g_byte_array_new();
	msg_confirm_answer_encode(&answer, body);
	outbox_datagram(f->env->out, from, MSG_CONFIRM_ANSWER, body);
}

void
freshness_on_answer(struct freshness *f, const struct msg_confirm_answer *msg)
{
	uint64_t asked_ms = f->asked_ms[msg->token % FRESHNESS_ASKS];

	if (f->token - msg->token >= FRESHNESS_ASKS || asked_ms <= msg->age_ms)
		return;
	set_covered(f, asked_ms - msg->age_ms, msg->seq);
}

static void
ask(struct freshness *f, const struct net_addr *to, uint32_t n)
{
	const struct msg_confirm_ask msg = {.token = f->token};
	GByteArray *body;
	uint32_t i;

	for (i = 0; i < n; i++) {
		body = g_byte_array_new();
		msg_confirm_ask_encode(&msg, body);
		outbox_datagram(f->env->out, &to[i], MSG_CONFIRM_ASK, body);
	}
}

void
freshness_tick(struct freshness *f, uint64_t now_ms)
{
	struct net_addr to[NEAR + FAR];

	if (now_ms < f->next_ms)
		return;
	f->next_ms = now_ms + env_jitter(f->env, f->interval_ms);
	if (now_ms < f->confirmed_ms + f->interval_ms)
		return;
	f->token++;
	f->asked_ms[f->token % FRESHNESS_ASKS] = now_ms;
	ask(f, to, peers_near(f->env, to, NEAR));
	ask(f, to, peers_far(f->env, to, FAR));
}

uint64_t
freshness_next_ms(const struct freshness *f)
{
	return f->next_ms;
}
