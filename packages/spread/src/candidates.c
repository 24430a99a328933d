/*
 * Peers that are known to hold a version and can be pulled from.
 */
#include "spread/candidates.h"

#include "base/clock.h"

static struct candidate *
candidates_find(struct candidates *c, const struct net_addr *addr)
{
	uint32_t i;

	for (i = 0; i < c->n; i++)
		if (addr_equal(&c->list[i].addr, addr))
			return &c->list[i];
	return NULL;
}

static int
candidates_is_banned(
    const struct candidates *c, uint64_t now_ms, const struct net_addr *addr)
{
	uint32_t i;

	for (i = 0; i < CANDIDATES_BANS_MAX; i++)
		if (now_ms < c->bans[i].until_ms &&
		    addr_equal(&c->bans[i].addr, addr))
			return 1;
	return 0;
}

static struct candidate *
candidates_oldest(struct candidates *c)
{
	struct candidate *oldest;
	uint32_t i;

	oldest = &c->list[0];
	for (i = 1; i < c->n; i++)
		if (c->list[i].version < oldest->version)
			oldest = &c->list[i];
	return oldest;
}

void
candidates_add(struct candidates *c, uint64_t now_ms,
    const struct net_addr *addr, uint64_t version, int near)
{
	struct candidate *p;

	if (candidates_is_banned(c, now_ms, addr))
		return;
	p = candidates_find(c, addr);
	if (p != NULL) {
		p->version = MAX(p->version, version);
		p->near = p->near || near;
		return;
	}
	if (c->n < CANDIDATES_MAX) {
		p = &c->list[c->n++];
	} else {
		p = candidates_oldest(c);
		if (p->version >= version)
			return;
	}
	p->addr = *addr;
	p->version = version;
	p->after_ms = 0;
	p->near = near;
}

int
candidates_pick(const struct candidates *c, struct spread_env *env,
    uint64_t now_ms, uint64_t version, struct net_addr *addr)
{
	const struct candidate *p, *best;
	uint32_t i, equals;

	best = NULL;
	equals = 0;
	for (i = 0; i < c->n; i++) {
		p = &c->list[i];
		if (p->version < version || now_ms < p->after_ms)
			continue;
		if (best != NULL && best->near && !p->near)
			continue;
		if (best != NULL && best->near == p->near) {
			equals++;
			if (env_random_below(env, equals) != 0)
				continue;
		} else {
			equals = 1;
		}
		best = p;
	}
	if (best == NULL)
		return 0;
	*addr = best->addr;
	return 1;
}

uint64_t
candidates_next_ms(const struct candidates *c, uint64_t version)
{
	uint64_t next;
	uint32_t i;

	next = DEADLINE_NEVER;
	for (i = 0; i < c->n; i++)
		if (c->list[i].version >= version)
			next = MIN(next, c->list[i].after_ms);
	return next;
}

void
candidates_busy(
    struct candidates *c, const struct net_addr *addr, uint64_t after_ms)
{
	struct candidate *p;

	p = candidates_find(c, addr);
	if (p != NULL)
		p->after_ms = after_ms;
}

void
candidates_drop(struct candidates *c, const struct net_addr *addr)
{
	struct candidate *p;

	p = candidates_find(c, addr);
	if (p != NULL)
		*p = c->list[--c->n];
}

void
candidates_ban(
    struct candidates *c, uint64_t now_ms, const struct net_addr *addr)
{
	struct candidate_ban *b;

	candidates_drop(c, addr);
	b = &c->bans[c->next_ban];
	b->addr = *addr;
	b->until_ms = now_ms + CANDIDATES_BAN_MS;
	c->next_ban = (c->next_ban + 1) % CANDIDATES_BANS_MAX;
}

void
candidates_prune(struct candidates *c, uint64_t version)
{
	uint32_t i;

	i = 0;
	while (i < c->n) {
		if (c->list[i].version < version)
			c->list[i] = c->list[--c->n];
		else
			i++;
	}
}
