/*
 * Selects peers from the table of hosts.
 */
#include <string.h>

#include "membership/membership.h"
#include "spread/peers.h"

/* A data centre without news for this long counts as unreachable. */
#define REACHABLE_MS 30000

/* Random draws per wanted peer; draws of a peer that was already found are
 * lost. */
#define TRIES_PER_PEER 3

int
peers_joined(const struct spread_env *env)
{
	enum membership_phase phase;

	phase = membership_phase(env->members);
	return phase == MEMBERSHIP_JOINED || phase == MEMBERSHIP_REFRESHING;
}

static int
peers_contains(
    const struct net_addr *addrs, uint32_t n, const struct net_addr *a)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		if (addr_equal(&addrs[i], a))
			return 1;
	return 0;
}

uint32_t
peers_near(struct spread_env *env, struct net_addr *addrs, uint32_t n)
{
	const struct member *m;
	uint32_t found, tries;

	found = 0;
	for (tries = 0; found < n && tries < n * TRIES_PER_PEER; tries++) {
		m = membership_random(
		    env->members, env->data_centre, MEMBER_STATES_LIVE);
		if (m == NULL)
			break;
		if (!peers_contains(addrs, found, &m->address))
			addrs[found++] = m->address;
	}
	return found;
}

/* Names of the other data centres that have live hosts. */
static uint32_t
peers_other_data_centres(const struct spread_env *env, const char **names)
{
	const struct membership_data_centre *dc;
	GArray *list;
	uint32_t i, n;

	n = 0;
	list = g_array_new(FALSE, FALSE, sizeof(struct membership_data_centre));
	membership_data_centres(env->members, list);
	for (i = 0; i < list->len && n < PEERS_DATA_CENTRES_MAX; i++) {
		dc = &g_array_index(list, struct membership_data_centre, i);
		if (dc->live > 0 && strcmp(dc->name, env->data_centre) != 0)
			names[n++] = dc->name;
	}
	g_array_unref(list);
	return n;
}

uint32_t
peers_far(struct spread_env *env, struct net_addr *addrs, uint32_t n)
{
	const char *names[PEERS_DATA_CENTRES_MAX];
	const struct member *m;
	uint32_t left, pick, found;

	found = 0;
	left = peers_other_data_centres(env, names);
	while (found < n && left > 0) {
		pick = env_random_below(env, left);
		m = membership_random(
		    env->members, names[pick], MEMBER_STATES_LIVE);
		names[pick] = names[--left];
		if (m != NULL)
			addrs[found++] = m->address;
	}
	return found;
}

uint32_t
peers_ranked(const struct spread_env *env, const char *key,
    struct net_addr *addrs, uint32_t n, uint32_t *own)
{
	const struct member *ranked[MEMBERSHIP_RANK_MAX];
	uint32_t i, found;

	found = membership_rank_by_link(env->members, env->data_centre, key,
	    ranked, MIN(n, MEMBERSHIP_RANK_MAX));
	*own = PEERS_RANK_NONE;
	for (i = 0; i < found; i++) {
		addrs[i] = ranked[i]->address;
		if (strcmp(ranked[i]->host, env->host) == 0)
			*own = i;
	}
	return found;
}

static const char *
peers_keeper_data_centre(const struct spread_env *env)
{
	const char *names[PEERS_DATA_CENTRES_MAX];
	const char *best;
	uint64_t score, best_score;
	uint32_t i, n;

	best = NULL;
	best_score = 0;
	n = peers_other_data_centres(env, names);
	for (i = 0; i < n; i++) {
		score = hash_rendezvous(env->host, names[i]);
		if (best == NULL || score > best_score) {
			best = names[i];
			best_score = score;
		}
	}
	return best;
}

uint32_t
peers_keepers(const struct spread_env *env, struct net_addr *addrs, uint32_t n)
{
	const struct member *ranked[MEMBERSHIP_RANK_MAX];
	const char *other;
	uint32_t i, found, kept;

	kept = 0;
	found = membership_rank(env->members, env->data_centre, env->host,
	    ranked, MIN(n + 1, MEMBERSHIP_RANK_MAX));
	for (i = 0; i < found && kept < n; i++)
		if (strcmp(ranked[i]->host, env->host) != 0)
			addrs[kept++] = ranked[i]->address;
	other = peers_keeper_data_centre(env);
	if (other == NULL)
		return kept;
	found = membership_rank(env->members, other, env->host, ranked, 1);
	if (found > 0)
		addrs[kept++] = ranked[0]->address;
	return kept;
}

uint32_t
peers_data_centre_rank(const struct spread_env *env, uint64_t now_ms,
    const char *key, uint32_t *count)
{
	const struct membership_data_centre *dc;
	uint64_t own;
	GArray *list;
	uint32_t i, rank;

	rank = 0;
	*count = 1;
	own = hash_rendezvous(key, env->data_centre);
	list = g_array_new(FALSE, FALSE, sizeof(struct membership_data_centre));
	membership_data_centres(env->members, list);
	for (i = 0; i < list->len; i++) {
		dc = &g_array_index(list, struct membership_data_centre, i);
		if (strcmp(dc->name, env->data_centre) == 0)
			continue;
		if (dc->live == 0 || dc->heard_ms + REACHABLE_MS < now_ms)
			continue;
		++*count;
		if (hash_rendezvous(key, dc->name) > own)
			rank++;
	}
	g_array_unref(list);
	return rank;
}
