/*
 * The entry's state of services: endpoints of the snapshot in force are
 * published to the placement at the next call of their service.
 */
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "node/snapshot_ref.h"
#include "rollout/share.h"

#include "entry_priv.h"

struct snapshot *
entry_snapshot(struct entry *e)
{
	struct snapshot *s = snapshot_ref_get();

	if (s == e->snapshot) {
		snapshot_unref(s);
		return e->snapshot;
	}
	snapshot_unref(e->snapshot);
	e->snapshot = s;
	e->generation++;
	behind_in_force(
	    &e->behind, s != NULL ? s->version : 0, loop_now_ms(e->loop));
	behind_in_force(
	    &e->awaited, s != NULL ? s->version : 0, loop_now_ms(e->loop));
	return s;
}

static enum endpoint_state
endpoint_state_of(enum serving_state s)
{
	switch (s) {
	case SERVING_STARTING:
		return ENDPOINT_STARTING;
	case SERVING_READY:
		return ENDPOINT_READY;
	case SERVING_DRAINING:
		return ENDPOINT_DRAINING;
	}
	return ENDPOINT_LEFT;
}

static void
fill_info(const struct entry *e, const struct endpoint *ep,
    struct endpoint_info *info)
{
	info->id = endpoint_id(ep->host, ep->service);
	info->incarnation = ep->incarnation;
	info->slots = ep->slots;
	info->cold_ms = ep->cold_ms;
	info->host = hash64(ep->host, strlen(ep->host), 0);
	info->centre = hash64(ep->data_centre, strlen(ep->data_centre), 0);
	info->state = endpoint_state_of(ep->state);
	info->local = g_strcmp0(ep->data_centre, e->settings->data_centre) == 0;
	info->own = strcmp(ep->host, e->settings->host) == 0;
}

static bool
is_current(const struct service_versions *v, const struct endpoint *ep)
{
	return !v->chosen || strcmp(ep->version, v->current) == 0;
}

static bool
is_candidate(const struct service_versions *v, const struct endpoint *ep)
{
	return v->chosen && v->candidate[0] != '\0' &&
	    strcmp(ep->version, v->candidate) == 0 &&
	    strcmp(ep->host, v->excluded) != 0;
}

static bool
starts_before(const struct endpoint *a, const struct endpoint *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation < b->incarnation;
	return strcmp(a->host, b->host) < 0;
}

/* Rank among the endpoints on trial, by start time, so that later endpoints
 * don't displace earlier ones. */
static uint32_t
canary_rank(const struct entry_service *s, const struct endpoint *ep)
{
	uint32_t i, rank = 1;

	for (i = 0; i < s->list->n_endpoints; i++)
		if (is_candidate(&s->versions, &s->list->endpoints[i]) &&
		    starts_before(&s->list->endpoints[i], ep))
			rank++;
	return rank;
}

static void
set_canary(struct entry *e, struct entry_service *s, uint32_t n_current)
{
	bool on_trial = s->versions.candidate[0] != '\0';
	uint32_t share =
	    MIN(rollout_share_milli(n_current), e->settings->rollout_share);

	if (s->versions.share_milli != 0)
		share = s->versions.share_milli;
	canary_set(&s->canary, on_trial ? s->versions.order : 0, share,
	    rollout_canaries(n_current, share),
	    hash64(&s->id, sizeof(s->id), e->seed));
}

/* Publishes the endpoints to the placement, without those of a version that is
 * neither current nor on trial. */
static void
publish_endpoints(struct entry *e, struct entry_service *s)
{
	uint32_t n_listed = s->list != NULL ? s->list->n_endpoints : 0;
	struct endpoint_info *infos = g_new0(struct endpoint_info, n_listed);
	const struct endpoint *ep;
	uint32_t i, n = 0, n_current = 0;
	bool current;
	uint64_t *id;

	g_hash_table_remove_all(s->endpoint_index);
	for (i = 0; i < n_listed; i++) {
		ep = &s->list->endpoints[i];
		current = is_current(&s->versions, ep);
		if (!current && !is_candidate(&s->versions, ep))
			continue;
		fill_info(e, ep, &infos[n]);
		infos[n].canary = current ? 0 : canary_rank(s, ep);
		n_current += current;
		id = g_new(uint64_t, 1);
		*id = infos[n++].id;
		g_hash_table_insert(
		    s->endpoint_index, id, GUINT_TO_POINTER(i + 1));
	}
	set_canary(e, s, n_current);
	endpoints_set_service(
	    e->endpoints, s->id, e->generation, infos, n, loop_now_ms(e->loop));
	g_free(infos);
}

/* Share of the retry budget that entries use.  The rest is a reserve: a request
 * that runs again may call other services itself, and its calls there, which
 * count at those services, can't be counted in advance. */
#define ENTRY_RETRY_PERCENT 75
#define PERCENT 100

/*
 * retry_extra is the number of retries beyond the budget for all nodes
 * together.  Half of them are divided among the nodes and may be used at any
 * time; the other half is reserved for periods in which nodes join.
 */
static void
fill_retry_config(const struct entry *e, const struct service_config *sc,
    struct retry_config *cfg)
{
	uint32_t extra = e->settings->retry_extra;
	uint32_t n_nodes = MAX(e->snapshot->n_nodes, 1);

	retry_config_default(cfg);
	cfg->attempts = sc->retry.attempts;
	cfg->budget_percent = sc->retry.budget_percent;
	if (extra == 0)
		return;
	cfg->budget_percent =
	    cfg->budget_percent * ENTRY_RETRY_PERCENT / PERCENT;
	cfg->burst = MAX(extra / 2 / n_nodes, 1);
	cfg->reserve_per_s = 0;
}

static struct entry_service *
service_new(struct entry *e, const struct service_config *sc)
{
	struct entry_service *s = g_new0(struct entry_service, 1);
	struct retry_config cfg;

	s->id = service_id(sc->name);
	s->endpoint_index =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	fill_retry_config(e, sc, &cfg);
	retry_budget_init(&s->budget, &cfg, loop_now_ms(e->loop));
	g_hash_table_insert(e->services, &s->id, s);
	return s;
}

static void
set_list(struct entry_service *s, struct endpoint_list *list)
{
	endpoint_list_unref(s->list);
	s->list = list != NULL ? endpoint_list_ref(list) : NULL;
}

static bool
same_versions(
    const struct service_versions *a, const struct service_versions *b)
{
	return a->chosen == b->chosen && a->order == b->order &&
	    a->share_milli == b->share_milli &&
	    strcmp(a->current, b->current) == 0 &&
	    strcmp(a->candidate, b->candidate) == 0 &&
	    strcmp(a->excluded, b->excluded) == 0;
}

struct entry_service *
entry_service_get(struct entry *e, const struct snapshot_service *ss)
{
	uint64_t id = service_id(ss->config->name);
	struct entry_service *s = g_hash_table_lookup(e->services, &id);
	struct retry_config cfg;
	bool is_new = s == NULL;

	if (is_new)
		s = service_new(e, ss->config);
	if (is_new || s->list != ss->endpoints ||
	    !same_versions(&s->versions, &ss->versions)) {
		s->versions = ss->versions;
		set_list(s, ss->endpoints);
		publish_endpoints(e, s);
	}
	fill_retry_config(e, ss->config, &cfg);
	retry_budget_configure(&s->budget, &cfg);
	return s;
}

const struct endpoint *
entry_service_endpoint(const struct entry_service *s, uint64_t id)
{
	guint i = GPOINTER_TO_UINT(g_hash_table_lookup(s->endpoint_index, &id));

	return i != 0 ? &s->list->endpoints[i - 1] : NULL;
}

void
entry_service_free(void *service)
{
	struct entry_service *s = service;

	endpoint_list_unref(s->list);
	g_hash_table_destroy(s->endpoint_index);
	g_free(s);
}
