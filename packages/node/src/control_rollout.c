/*
 * Connects package rollout, which decides on rollouts of a service's software,
 * with the platform, the peers, the guard and operators.
 */
#define LOG_PART "rollout"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "control_rollout_priv.h"
#include "proto/settings.h"

static struct metric phase_count[ROLLOUT_VALUES] = {
    {"bramley_rollouts_total", "Rollouts that came to a phase, as known here.",
	METRIC_COUNTER, "phase=\"running\"", 0, {0}},
    {"bramley_rollouts_total", "Rollouts that came to a phase, as known here.",
	METRIC_COUNTER, "phase=\"switching\"", 0, {0}},
    {"bramley_rollouts_total", "Rollouts that came to a phase, as known here.",
	METRIC_COUNTER, "phase=\"reverting\"", 0, {0}},
    {"bramley_rollouts_total", "Rollouts that came to a phase, as known here.",
	METRIC_COUNTER, "phase=\"rolled_back\"", 0, {0}},
    {"bramley_rollouts_total", "Rollouts that came to a phase, as known here.",
	METRIC_COUNTER, "phase=\"completed\"", 0, {0}},
};

void
control_rollout_register(void)
{
	uint32_t i;

	for (i = 0; i < ROLLOUT_VALUES; i++)
		metric_register(&phase_count[i]);
}

void
control_rollout_new(struct control *c, uint64_t now_ms)
{
	struct control_rollout *cr = g_new0(struct control_rollout, 1);

	cr->orders = rollout_orders_new();
	cr->news =
	    rollout_news_new(c->settings->host, cr->orders, c->outbox, now_ms);
	cr->watch = rollout_watch_new(
	    c->settings->host, clock_wall_ms(), cr->orders, c->outbox);
	cr->pending_orders =
	    g_array_new(FALSE, FALSE, sizeof(struct feed_order));
	cr->revisions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	cr->handled_orders =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->rollout = cr;
}

void
control_rollout_free(struct control *c)
{
	struct control_rollout *cr = c->rollout;

	if (cr == NULL)
		return;
	rollout_watch_free(cr->watch);
	rollout_news_free(cr->news);
	rollout_orders_free(cr->orders);
	g_array_unref(cr->pending_orders);
	g_hash_table_unref(cr->revisions);
	g_hash_table_unref(cr->handled_orders);
	g_free(cr);
}

void
control_rollout_set_store(struct control *c, struct rollout_store *store)
{
	c->rollout->store = store;
}

/* Logs and counts the new state of an order, and marks the snapshot
 * outdated. */
static void
on_order_changed(struct control *c, const struct rollout *r)
{
	log_info("service=%s from=%s to=%s order=%" G_GUINT64_FORMAT
		 " phase=%s left_ms=%" G_GUINT64_FORMAT
		 " excluded=%s share_milli=%u reason=\"%s\"",
	    r->service, r->from, r->to, r->order, rollout_phase_name(r->phase),
	    clock_left_ms(r->deadline_ms, control_now(c)),
	    r->excluded[0] != '\0' ? r->excluded : "-", r->share_milli,
	    r->reason);
	metric_add(&phase_count[r->phase], 1);
	c->dirty = 1;
}

void
control_rollout_add(struct control *c, const struct rollout *r)
{
	if (rollout_news_add(c->rollout->news, r, control_now(c)))
		on_order_changed(c, r);
}

/* Versions */

/* Versions of a service's endpoints, for rollout_orders_current(). */
static const char **
versions_of(const struct endpoint_list *list)
{
	const char **versions = g_new(const char *, list->n_endpoints);
	uint32_t i;

	for (i = 0; i < list->n_endpoints; i++)
		versions[i] = list->endpoints[i].version;
	return versions;
}

const char *
control_rollout_current_version(struct control *c, const char *service)
{
	struct endpoint_list *list = endpoint_set_list(c->endpoints, service);
	const char **versions;
	const char *current;

	if (list == NULL)
		return NULL;
	versions = versions_of(list);
	current = rollout_orders_current(
	    c->rollout->orders, service, versions, list->n_endpoints);
	g_free(versions);
	return current;
}

/* Passes the endpoints of a service to the watch. */
static void
update_watch(struct control *c, const struct endpoint_list *list)
{
	struct rollout_endpoint *eps =
	    g_new0(struct rollout_endpoint, list->n_endpoints);
	const struct endpoint *ep;
	const struct member *m;
	uint32_t i, n = 0;

	for (i = 0; i < list->n_endpoints; i++) {
		ep = &list->endpoints[i];
		m = membership_find(c->membership, ep->host);
		if (m == NULL)
			continue;
		(void)g_strlcpy(eps[n].host, ep->host, sizeof(eps[n].host));
		(void)g_strlcpy(
		    eps[n].version, ep->version, sizeof(eps[n].version));
		eps[n].node = m->address;
		eps[n].started_ms = ep->incarnation;
		eps[n].ready = ep->state == SERVING_READY;
		n++;
	}
	rollout_watch_endpoints(c->rollout->watch, list->service, eps, n);
	g_free(eps);
}

void
control_rollout_set_versions(struct control *c, struct snapshot *s)
{
	struct snapshot_service *service;
	struct service_versions *v;
	const struct rollout *r;
	const char *current;
	uint32_t i;

	for (i = 0; i < s->n_services; i++) {
		service = &s->services[i];
		v = &service->versions;
		current =
		    control_rollout_current_version(c, service->config->name);
		if (current == NULL)
			continue;
		v->chosen = true;
		(void)g_strlcpy(v->current, current, sizeof(v->current));
		r = rollout_orders_find(
		    c->rollout->orders, service->config->name);
		if (r == NULL || rollout_is_over(r))
			continue;
		(void)g_strlcpy(
		    v->candidate, rollout_candidate(r), sizeof(v->candidate));
		(void)g_strlcpy(v->excluded, r->excluded, sizeof(v->excluded));
		v->share_milli = r->share_milli;
		v->order = r->order;
		update_watch(c, service->endpoints);
	}
}

/* An endpoint whose version is neither current nor the candidate takes no
 * requests: its guard refuses the requests of entries that don't have the
 * order yet. */
void
control_rollout_set_own_state(struct control *c,
    const struct member_endpoint *e, struct guard_endpoint *info)
{
	const struct rollout *r =
	    rollout_orders_find(c->rollout->orders, e->service);
	const char *current = control_rollout_current_version(c, e->service);
	bool is_current = current == NULL || strcmp(e->version, current) == 0;
	bool is_candidate = r != NULL && !rollout_is_over(r) &&
	    strcmp(e->version, rollout_candidate(r)) == 0;

	if (r != NULL && !rollout_is_over(r))
		info->order = r->order;
	if (is_candidate && strcmp(r->excluded, c->settings->host) == 0)
		is_candidate = false;
	if (!is_current && !is_candidate && info->state == SERVING_READY)
		info->state = SERVING_DRAINING;
}

/* Time */

static void
poll_counts(struct control *c)
{
	const struct member *self = membership_self(c->membership);
	const struct member_endpoint *e;
	struct rollout_counts counts;
	const struct rollout *r;
	uint32_t i;

	for (i = 0; i < self->n_endpoints; i++) {
		e = &self->endpoints[i];
		r = rollout_orders_find(c->rollout->orders, e->service);
		if (r != NULL && !rollout_is_over(r) &&
		    guard_counts(c->guard, e->service, r->order, &counts))
			rollout_watch_counts(c->rollout->watch, e->service,
			    e->version, r->order, &counts);
	}
}

static void
execute(struct control *c, const struct rollout_action *a)
{
	switch (a->kind) {
	case ROLLOUT_ACT_PHASE:
		rollout_news_announce(c->rollout->news, control_now(c));
		on_order_changed(c, &a->rollout);
		return;
	case ROLLOUT_ACT_WRITE:
		control_rollout_write(c, &a->rollout);
		return;
	}
}

/* Sends new orders and phases to random peers. */
static void
gossip_orders(struct control *c, uint64_t now_ms)
{
	struct net_addr peers[ROLLOUT_NEWS_FANOUT];
	const struct member *m;
	uint32_t n = 0;

	if (now_ms < rollout_news_next_ms(c->rollout->news))
		return;
	while (n < ROLLOUT_NEWS_FANOUT) {
		m = membership_random(c->membership, NULL, MEMBER_STATES_LIVE);
		if (m == NULL)
			break;
		peers[n++] = m->address;
	}
	rollout_news_tick(c->rollout->news, peers, n, now_ms);
}

void
control_rollout_tick(struct control *c)
{
	struct control_rollout *cr = c->rollout;
	uint64_t now_ms = control_now(c);
	struct rollout_action a;

	control_rollout_read(c);
	rollout_watch_set_fallback_writer(
	    cr->watch, spread_is_reader(c->spread) != 0);
	if (now_ms >= rollout_watch_next_ms(cr->watch)) {
		poll_counts(c);
		rollout_watch_tick(cr->watch, now_ms);
	}
	while (rollout_watch_pop(cr->watch, &a))
		execute(c, &a);
	gossip_orders(c, now_ms);
}

uint64_t
control_rollout_next_ms(const struct control *c)
{
	uint64_t next_ms = MIN(rollout_news_next_ms(c->rollout->news),
	    rollout_watch_next_ms(c->rollout->watch));

	if (control_rollout_read_is_due(c))
		next_ms = MIN(next_ms, MAX(c->rollout->read_retry_ms, 1));
	return next_ms;
}

bool
control_rollout_receive(struct control *c, const struct net_addr *from,
    uint8_t type, const uint8_t *body, size_t len)
{
	struct control_rollout *cr = c->rollout;
	struct rollout r;

	if (rollout_watch_handles(type)) {
		rollout_watch_receive(
		    cr->watch, control_now(c), type, body, len);
		return true;
	}
	if (!rollout_news_handles(type))
		return false;
	rollout_news_receive(cr->news, control_now(c), from, type, body, len);
	while (rollout_news_pop(cr->news, &r))
		on_order_changed(c, &r);
	return true;
}

/* For operators */

json_t *
control_rollouts_json(struct control *c)
{
	const struct rollout *r;
	json_t *out = json_array();
	uint64_t left_ms;
	uint32_t i;

	for (i = 0; i < rollout_orders_count(c->rollout->orders); i++) {
		r = rollout_orders_at(c->rollout->orders, i);
		left_ms = clock_left_ms(r->deadline_ms, control_now(c));
		json_array_append_new(out,
		    json_pack("{s:s,s:s,s:s,s:I,s:s,s:I,s:I,s:s,s:i,s:s}",
			"service", r->service, "from", r->from, "to", r->to,
			"order", (json_int_t)r->order, "phase",
			rollout_phase_name(r->phase), "left_ms",
			(json_int_t)left_ms, "duration_ms",
			(json_int_t)r->duration_ms, "excluded", r->excluded,
			"share_milli", (int)r->share_milli, "reason",
			r->reason));
	}
	return out;
}
