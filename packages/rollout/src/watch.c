/*
 * A node's part in the rollouts in progress.
 */
#include "rollout/watch.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"

#define PERCENT 100

_Static_assert(ROLLOUT_ROUTES_MAX == MSG_ROLLOUT_REPORT_ROUTES_MAX &&
	ROLLOUT_BUCKETS == REC_ROLLOUT_ROUTE_TOOK_MAX,
    "a report takes all counts");

/**
 * struct watched - a service with an order in progress
 * @service: the service
 * @trial: endpoints, reports and verdict
 * @version: version of the own endpoint
 * @counts: counts of the own endpoint
 * @has_counts: whether @counts are set
 * @next_report_ms: when the next report is due
 * @writing: whether a write of the outcome is in progress
 * @next_write_ms: earliest time of the next write
 * @phase_since_ms: since when the current phase holds on this node
 * @phase: current phase
 */
struct watched {
	char service[ROLLOUT_SERVICE_BYTES];
	struct rollout_trial *trial;
	char version[ROLLOUT_VERSION_BYTES];
	struct rollout_counts counts;
	bool has_counts;
	uint64_t next_report_ms;
	bool writing;
	uint64_t next_write_ms;
	uint64_t phase_since_ms;
	enum rollout_phase phase;
};

/**
 * struct rollout_watch - state of a node's part in rollouts
 * @host: own host
 * @orders: known orders; borrowed
 * @out: queue for outgoing reports; borrowed
 * @services: service to struct watched
 * @actions: struct rollout_action: actions that were not popped yet
 * @seq: sequence number of the last report
 * @fallback_writer: whether this node writes outcomes that no judge wrote
 * @tick_ms: time of the last tick
 */
struct rollout_watch {
	char host[MSG_ROLLOUT_REPORT_HOST_MAX + 1];
	struct rollout_orders *orders;
	struct outbox *out;
	GHashTable *services;
	GQueue actions;
	uint64_t seq;
	bool fallback_writer;
	uint64_t tick_ms;
};

static void
watched_free(gpointer p)
{
	struct watched *s = p;

	rollout_trial_free(s->trial);
	g_free(s);
}

struct rollout_watch *
rollout_watch_new(const char *host, uint64_t first_seq,
    struct rollout_orders *orders, struct outbox *out)
{
	struct rollout_watch *w = g_new0(struct rollout_watch, 1);

	(void)g_strlcpy(w->host, host, sizeof(w->host));
	w->seq = first_seq;
	w->orders = orders;
	w->out = out;
	w->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, watched_free);
	g_queue_init(&w->actions);
	return w;
}

void
rollout_watch_free(struct rollout_watch *w)
{
	if (w == NULL)
		return;
	g_hash_table_unref(w->services);
	g_queue_clear_full(&w->actions, g_free);
	g_free(w);
}

static uint64_t
switch_lead_ms(const struct rollout *r)
{
	return CLAMP(r->duration_ms * ROLLOUT_SWITCH_LEAD_PERCENT / PERCENT,
	    ROLLOUT_SWITCH_LEAD_MIN_MS, ROLLOUT_SWITCH_LEAD_MAX_MS);
}

uint64_t
rollout_switch_ms(const struct rollout *r)
{
	return r->deadline_ms - MIN(r->deadline_ms, switch_lead_ms(r));
}

static uint64_t
outcome_due_ms(const struct rollout *r)
{
	return r->deadline_ms - MIN(r->deadline_ms, switch_lead_ms(r) / 2);
}

/* Returns the service with a trial of its newest order; NULL if that order is
 * over or there is none. */
static struct watched *
watched_get(struct rollout_watch *w, const char *service)
{
	const struct rollout *r = rollout_orders_find(w->orders, service);
	struct watched *s = g_hash_table_lookup(w->services, service);

	if (r == NULL || rollout_is_over(r)) {
		g_hash_table_remove(w->services, service);
		return NULL;
	}
	if (s != NULL && rollout_trial_order(s->trial) == r->order)
		return s;
	s = g_new0(struct watched, 1);
	(void)g_strlcpy(s->service, service, sizeof(s->service));
	s->trial = rollout_trial_new(r);
	s->phase = r->phase;
	s->phase_since_ms = w->tick_ms;
	g_hash_table_replace(w->services, g_strdup(service), s);
	return s;
}

void
rollout_watch_endpoints(struct rollout_watch *w, const char *service,
    const struct rollout_endpoint *endpoints, uint32_t n)
{
	struct watched *s = watched_get(w, service);

	if (s != NULL)
		rollout_trial_set_endpoints(s->trial, endpoints, n);
}

void
rollout_watch_counts(struct rollout_watch *w, const char *service,
    const char *version, uint64_t order, const struct rollout_counts *counts)
{
	struct watched *s = watched_get(w, service);

	if (s == NULL || rollout_trial_order(s->trial) != order)
		return;
	(void)g_strlcpy(s->version, version, sizeof(s->version));
	s->counts = *counts;
	s->has_counts = true;
}

void
rollout_watch_set_fallback_writer(struct rollout_watch *w, bool fallback_writer)
{
	w->fallback_writer = fallback_writer;
}

bool
rollout_watch_handles(uint8_t type)
{
	return type == MSG_ROLLOUT_REPORT;
}

/* Reports */

static void
decode_routes(const struct msg_rollout_report *m, struct rollout_counts *counts)
{
	const struct rec_rollout_route *from;
	struct rollout_route *to;
	uint32_t i, b;

	memset(counts, 0, sizeof(*counts));
	for (i = 0; i < MIN(m->n_routes, ROLLOUT_ROUTES_MAX); i++) {
		from = &m->routes[i];
		to = &counts->routes[counts->n_routes++];
		to->route = from->route;
		to->answered = from->answered;
		to->failed = MIN(from->failed, from->answered);
		for (b = 0; b < MIN(from->n_took, ROLLOUT_BUCKETS); b++)
			to->took[b] = from->took[b];
	}
}

void
rollout_watch_receive(struct rollout_watch *w, uint64_t now_ms, uint8_t type,
    const uint8_t *body, size_t len)
{
	struct msg_rollout_report m;
	struct rollout_counts counts;
	struct watched *s;

	if (type != MSG_ROLLOUT_REPORT ||
	    msg_rollout_report_decode(body, len, &m) != STATUS_OK)
		return;
	s = watched_get(w, m.service);
	if (s != NULL && rollout_trial_order(s->trial) == m.order) {
		decode_routes(&m, &counts);
		rollout_trial_add_report(
		    s->trial, m.host, m.version, m.seq, &counts, now_ms);
	}
	msg_rollout_report_clear(&m);
}

/* Buckets after the last one that is not empty are left out. */
static void
encode_routes(
    const struct rollout_counts *counts, struct rec_rollout_route *routes)
{
	const struct rollout_route *from;
	uint32_t i, n;

	for (i = 0; i < counts->n_routes; i++) {
		from = &counts->routes[i];
		for (n = ROLLOUT_BUCKETS; n > 0 && from->took[n - 1] == 0;)
			n--;
		routes[i].route = from->route;
		routes[i].answered = from->answered;
		routes[i].failed = from->failed;
		routes[i].took = (uint32_t *)(uintptr_t)from->took;
		routes[i].n_took = n;
	}
}

static void
send_report(struct rollout_watch *w, struct watched *s, uint64_t now_ms)
{
	struct rec_rollout_route routes[ROLLOUT_ROUTES_MAX];
	struct net_addr judges[ROLLOUT_JUDGES];
	struct msg_rollout_report m = {.routes = routes};
	uint32_t i, n = rollout_trial_judges(s->trial, judges);
	uint32_t own = rollout_trial_judge_rank(s->trial, w->host);
	GByteArray *body;

	(void)g_strlcpy(m.host, w->host, sizeof(m.host));
	(void)g_strlcpy(m.service, s->service, sizeof(m.service));
	(void)g_strlcpy(m.version, s->version, sizeof(m.version));
	m.order = rollout_trial_order(s->trial);
	m.seq = ++w->seq;
	m.n_routes = s->counts.n_routes;
	encode_routes(&s->counts, routes);
	rollout_trial_add_report(
	    s->trial, w->host, s->version, m.seq, &s->counts, now_ms);
	for (i = 0; i < n; i++) {
		if (i == own)
			continue;
		body = g_byte_array_new();
		msg_rollout_report_encode(&m, body);
		outbox_datagram(w->out, &judges[i], MSG_ROLLOUT_REPORT, body);
	}
}

/* Actions */

static struct rollout_action *
push_action(struct rollout_watch *w, enum rollout_action_kind kind,
    const struct rollout *r)
{
	struct rollout_action *a = g_new0(struct rollout_action, 1);

	a->kind = kind;
	a->rollout = *r;
	g_queue_push_tail(&w->actions, a);
	return a;
}

bool
rollout_watch_pop(struct rollout_watch *w, struct rollout_action *out)
{
	struct rollout_action *a = g_queue_pop_head(&w->actions);

	if (a == NULL)
		return false;
	*out = *a;
	g_free(a);
	return true;
}

static void
set_phase(struct rollout_watch *w, struct watched *s, const struct rollout *r,
    enum rollout_phase phase, const char *reason)
{
	struct rollout next = *r;

	next.phase = phase;
	(void)g_strlcpy(next.reason, reason, sizeof(next.reason));
	if (rollout_orders_merge(w->orders, &next) == NULL)
		return;
	s->phase = phase;
	s->phase_since_ms = w->tick_ms;
	(void)push_action(w, ROLLOUT_ACT_PHASE, &next);
}

/* Excludes the own endpoint if its answers are bad, since the fault may be in
 * this endpoint alone. The next new endpoint receives the requests instead; the
 * answers of that endpoint show whether the version is bad. */
static void
exclude_own_endpoint(
    struct rollout_watch *w, struct watched *s, const struct rollout *r)
{
	struct rollout next = *r;

	if (r->phase != ROLLOUT_RUNNING || r->excluded[0] != '\0' ||
	    !rollout_trial_is_suspect(s->trial, w->host))
		return;
	(void)g_strlcpy(next.excluded, w->host, sizeof(next.excluded));
	(void)g_strlcpy(
	    next.reason, "one endpoint answers worse", sizeof(next.reason));
	if (rollout_orders_merge(w->orders, &next) != NULL)
		(void)push_action(w, ROLLOUT_ACT_PHASE, &next);
}

/* Raises the share of the new version in a service with few requests. */
static void
raise_share(struct rollout_watch *w, struct watched *s, const struct rollout *r)
{
	struct rollout next = *r;

	if (r->phase != ROLLOUT_RUNNING || r->share_milli != 0)
		return;
	next.share_milli = rollout_trial_share_milli(
	    s->trial, rollout_switch_ms(r), w->tick_ms);
	if (next.share_milli != 0 &&
	    rollout_orders_merge(w->orders, &next) != NULL)
		(void)push_action(w, ROLLOUT_ACT_PHASE, &next);
}

/* Switches to the new version, or reverts once the outcome is due. */
static void
decide_switch(struct rollout_watch *w, struct watched *s,
    const struct rollout *r, enum rollout_verdict v, char *reason)
{
	if (v == ROLLOUT_GOOD &&
	    rollout_trial_can_take_over(s->trial, w->tick_ms, reason))
		set_phase(w, s, r, ROLLOUT_SWITCHING, reason);
	else if (w->tick_ms >= outcome_due_ms(r))
		set_phase(w, s, r, ROLLOUT_REVERTING, reason);
}

static void
evaluate(struct rollout_watch *w, struct watched *s)
{
	const struct rollout *r = rollout_orders_find(w->orders, s->service);
	char reason[ROLLOUT_REASON_BYTES];
	enum rollout_verdict v;

	if (r->phase > ROLLOUT_SWITCHING)
		return;
	exclude_own_endpoint(w, s, r);
	raise_share(w, s, r);
	v = rollout_trial_verdict(s->trial, reason);
	if (v == ROLLOUT_BAD)
		set_phase(w, s, r, ROLLOUT_REVERTING, reason);
	else if (r->phase == ROLLOUT_RUNNING &&
	    w->tick_ms >= rollout_switch_ms(r))
		decide_switch(w, s, r, v, reason);
}

/* Reverts an order that no judge has moved on: the judges have failed, or there
 * never was one. */
static void
revert_unjudged(struct rollout_watch *w, struct watched *s)
{
	const struct rollout *r = rollout_orders_find(w->orders, s->service);

	if (r->phase == ROLLOUT_RUNNING &&
	    w->tick_ms >= outcome_due_ms(r) + ROLLOUT_WRITE_STAGGER_MS)
		set_phase(w, s, r, ROLLOUT_REVERTING,
		    "no endpoint of the new version was there to be judged");
}

/* Time from which this node has the outcome written: judges by rank, then
 * fallback writers; DEADLINE_NEVER for all other nodes. */
static uint64_t
own_write_ms(const struct rollout_watch *w, const struct watched *s,
    const struct rollout *r)
{
	uint32_t rank = rollout_trial_judge_rank(s->trial, w->host);
	uint64_t from_ms = s->phase_since_ms;

	if (rank == ROLLOUT_JUDGES && !w->fallback_writer)
		return DEADLINE_NEVER;
	if (r->phase == ROLLOUT_SWITCHING)
		from_ms = MAX(from_ms, outcome_due_ms(r));
	return from_ms + (uint64_t)rank * ROLLOUT_WRITE_STAGGER_MS;
}

static void
write_outcome(struct rollout_watch *w, struct watched *s)
{
	const struct rollout *r = rollout_orders_find(w->orders, s->service);
	struct rollout_action *a;

	if (r->phase == ROLLOUT_RUNNING || s->writing ||
	    w->tick_ms < MAX(own_write_ms(w, s, r), s->next_write_ms))
		return;
	s->writing = true;
	a = push_action(w, ROLLOUT_ACT_WRITE, r);
	a->rollout.phase = r->phase == ROLLOUT_SWITCHING ? ROLLOUT_COMPLETED
							 : ROLLOUT_ROLLED_BACK;
}

void
rollout_watch_written(
    struct rollout_watch *w, const char *service, bool ok, uint64_t now_ms)
{
	struct watched *s = g_hash_table_lookup(w->services, service);

	if (s == NULL)
		return;
	s->writing = false;
	s->next_write_ms = now_ms + (ok ? 0 : ROLLOUT_WRITE_RETRY_MS);
}

static void
tick_service(struct rollout_watch *w, struct watched *s)
{
	const struct rollout *r = rollout_orders_find(w->orders, s->service);

	if (s->phase != r->phase) {
		s->phase = r->phase;
		s->phase_since_ms = w->tick_ms;
	}
	if (w->tick_ms >= s->next_report_ms) {
		s->next_report_ms = w->tick_ms + ROLLOUT_REPORT_INTERVAL_MS;
		if (s->has_counts &&
		    rollout_trial_must_report(
			s->trial, w->host, rollout_counts_answered(&s->counts)))
			send_report(w, s, w->tick_ms);
		if (rollout_trial_judge_rank(s->trial, w->host) <
		    ROLLOUT_JUDGES)
			evaluate(w, s);
	}
	if (w->fallback_writer)
		revert_unjudged(w, s);
	write_outcome(w, s);
}

void
rollout_watch_tick(struct rollout_watch *w, uint64_t now_ms)
{
	const struct rollout *r;
	struct watched *s;
	uint32_t i;

	w->tick_ms = now_ms;
	for (i = 0; i < rollout_orders_count(w->orders); i++) {
		r = rollout_orders_at(w->orders, i);
		s = watched_get(w, r->service);
		if (s != NULL)
			tick_service(w, s);
	}
}

uint64_t
rollout_watch_next_ms(const struct rollout_watch *w)
{
	uint32_t i;

	for (i = 0; i < rollout_orders_count(w->orders); i++)
		if (!rollout_is_over(rollout_orders_at(w->orders, i)))
			return w->tick_ms + ROLLOUT_WRITE_STAGGER_MS;
	return DEADLINE_NEVER;
}
