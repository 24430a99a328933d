/*
 * Carries rollouts of a service's software between the decisions of package
 * rollout, the platform, the peers, the guard and operators.
 */
#define LOG_PART "rollout"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "control_priv.h"
#include "proto/settings.h"

/* Pause after a read of the rows that failed. */
#define READ_RETRY_MS 250

/* Tries at a row that others change at the same time. */
#define WRITE_TRIES 3

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

/**
 * struct control_rollout - rollouts at this node
 * @orders: orders and phases
 * @news: brings them to the other nodes
 * @watch: judges and moves on
 * @store: where they outlive all nodes, NULL for nowhere
 * @given: struct feed_order that wait until the rows were read
 * @reading: a read of the rows is under way
 * @read: the rows were read once
 * @read_ms: when a read that failed may be tried again
 * @revisions: service to the revision of its row, as last seen
 * @refused: service to the number of the last order that was refused
 */
struct control_rollout {
	struct rollout_orders *orders;
	struct rollout_news *news;
	struct rollout_watch *watch;
	struct rollout_store *store;
	GArray *given;
	bool reading;
	bool read;
	uint64_t read_ms;
	GHashTable *revisions;
	GHashTable *refused;
};

/**
 * struct order_write - a write of an order that is under way
 * @control: the control
 * @rollout: the order as it is to stand there
 * @tries: tries so far
 */
struct order_write {
	struct control *control;
	struct rollout rollout;
	uint32_t tries;
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
	cr->given = g_array_new(FALSE, FALSE, sizeof(struct feed_order));
	cr->revisions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	cr->refused =
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
	g_array_unref(cr->given);
	g_hash_table_unref(cr->revisions);
	g_hash_table_unref(cr->refused);
	g_free(cr);
}

void
control_rollout_use(struct control *c, struct rollout_store *store)
{
	c->rollout->store = store;
}

static void
set_number(GHashTable *table, const char *service, uint64_t number)
{
	g_hash_table_replace(
	    table, g_strdup(service), g_memdup2(&number, sizeof(number)));
}

static uint64_t
get_number(GHashTable *table, const char *service)
{
	const uint64_t *number = g_hash_table_lookup(table, service);

	return number != NULL ? *number : 0;
}

/* What this node believes of an order has changed. */
static void
changed(struct control *c, const struct rollout *r)
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

static void
take(struct control *c, const struct rollout *r)
{
	if (rollout_news_add(c->rollout->news, r, control_now(c)))
		changed(c, r);
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

static const char *
current_of(struct control *c, const char *service)
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

/* Tells the watch who takes part. */
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
control_rollout_versions(struct control *c, struct snapshot *s)
{
	struct snapshot_service *service;
	struct service_versions *v;
	const struct rollout *r;
	const char *current;
	uint32_t i;

	for (i = 0; i < s->n_services; i++) {
		service = &s->services[i];
		v = &service->versions;
		current = current_of(c, service->config->name);
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

/* An endpoint that is neither current nor on trial takes nothing, whoever asks
 * it: an entry that has not heard yet is refused by its guard. */
void
control_rollout_own(struct control *c, const struct member_endpoint *e,
    struct guard_endpoint *info)
{
	const struct rollout *r =
	    rollout_orders_find(c->rollout->orders, e->service);
	const char *current = current_of(c, e->service);
	bool is_current = current == NULL || strcmp(e->version, current) == 0;
	bool tried = r != NULL && !rollout_is_over(r) &&
	    strcmp(e->version, rollout_candidate(r)) == 0;

	if (r != NULL && !rollout_is_over(r))
		info->order = r->order;
	if (tried && strcmp(r->excluded, c->settings->host) == 0)
		tried = false;
	if (!is_current && !tried && info->state == SERVING_READY)
		info->state = SERVING_DRAINING;
}

/* Writing */

static void try_write(struct order_write *w);

static void
end_write(struct order_write *w, bool ok)
{
	struct control *c = w->control;

	rollout_watch_written(
	    c->rollout->watch, w->rollout.service, ok, control_now(c));
	g_free(w);
	control_pump(c);
}

/* Whether what stands there is as far as what was to be written. */
static bool
is_as_far(const struct rollout *there, const struct rollout *r)
{
	if (there->order != r->order)
		return there->order > r->order;
	return there->phase >= r->phase || rollout_is_over(there);
}

static void
on_written(
    enum status st, const struct rollout_row *rows, uint32_t n, void *arg)
{
	struct order_write *w = arg;
	struct control *c = w->control;
	const struct rollout_row *there = n > 0 ? &rows[0] : NULL;

	if (there != NULL)
		set_number(
		    c->rollout->revisions, w->rollout.service, there->revision);
	if (st == STATUS_OK) {
		take(c, &w->rollout);
		end_write(w, true);
		return;
	}
	log_info(
	    "service=%s order=%" G_GUINT64_FORMAT
	    " phase=%s is not written: %s, there is order=%" G_GUINT64_FORMAT
	    " phase=%s",
	    w->rollout.service, w->rollout.order,
	    rollout_phase_name(w->rollout.phase), status_name(st),
	    there != NULL ? there->rollout.order : 0,
	    there != NULL ? rollout_phase_name(there->rollout.phase) : "none");
	if (there != NULL && is_as_far(&there->rollout, &w->rollout)) {
		take(c, &there->rollout);
		end_write(w, true);
	} else if (st == STATUS_CONFLICT && w->tries < WRITE_TRIES) {
		try_write(w);
	} else {
		end_write(w, false);
	}
}

static void
try_write(struct order_write *w)
{
	struct rollout_store *s = w->control->rollout->store;

	w->tries++;
	s->ops->write(s, &w->rollout,
	    get_number(w->control->rollout->revisions, w->rollout.service),
	    on_written, w);
}

static void
write_order(struct control *c, const struct rollout *r)
{
	struct order_write *w;

	if (c->rollout->store == NULL)
		return;
	w = g_new0(struct order_write, 1);
	w->control = c;
	w->rollout = *r;
	try_write(w);
}

/* Orders of operators */

static bool
is_first_reader(const struct control *c)
{
	return membership_phase(c->membership) == MEMBERSHIP_JOINED &&
	    spread_first_reader(c->spread) != 0;
}

static bool
is_known(const struct control *c, const struct feed_order *o)
{
	const struct rollout *r =
	    rollout_orders_find(c->rollout->orders, o->service);

	return (r != NULL && r->order >= o->number) ||
	    get_number(c->rollout->refused, o->service) >= o->number;
}

/* Begins with nothing tried; a refusal is written as an order rolled back. */
static void
begin(struct control *c, const struct feed_order *o, const char *from,
    enum rollout_phase phase, const char *reason)
{
	struct rollout r = {.order = o->number,
	    .phase = phase,
	    .deadline_ms = control_now(c) + o->duration_ms,
	    .duration_ms = o->duration_ms};

	(void)g_strlcpy(r.service, o->service, sizeof(r.service));
	(void)g_strlcpy(r.from, from, sizeof(r.from));
	(void)g_strlcpy(r.to, o->to, sizeof(r.to));
	(void)g_strlcpy(r.reason, reason, sizeof(r.reason));
	take(c, &r);
	if (is_first_reader(c) || rollout_is_over(&r))
		write_order(c, &r);
}

static void
refuse(struct control *c, const struct feed_order *o, const char *why)
{
	const char *from = current_of(c, o->service);

	set_number(c->rollout->refused, o->service, o->number);
	log_warning("order=%" G_GUINT64_FORMAT
		    " to move %s to \"%s\" is refused: %s; correct it",
	    o->number, o->service, o->to, why);
	if (catalog_find(c->catalog, o->service) != NULL && from != NULL)
		begin(c, o, from, ROLLOUT_ROLLED_BACK, why);
}

static void
follow(struct control *c, const struct feed_order *o)
{
	const char *from = current_of(c, o->service);

	if (o->problem != NULL)
		refuse(c, o, o->problem);
	else if (catalog_find(c->catalog, o->service) == NULL)
		refuse(c, o, "the configuration in force has no such service");
	else if (from == NULL)
		refuse(c, o, "the service has no endpoint of any version");
	else if (strcmp(from, o->to) == 0)
		begin(c, o, from, ROLLOUT_COMPLETED,
		    "it is the current version already");
	else
		begin(c, o, from, ROLLOUT_RUNNING, "ordered");
}

static void
follow_all(struct control *c)
{
	struct control_rollout *cr = c->rollout;
	const struct feed_order *o;
	guint i;

	for (i = 0; i < cr->given->len; i++) {
		o = &g_array_index(cr->given, struct feed_order, i);
		if (!is_known(c, o))
			follow(c, o);
	}
	g_array_set_size(cr->given, 0);
}

static void
on_rows(enum status st, const struct rollout_row *rows, uint32_t n, void *arg)
{
	struct control *c = arg;
	struct control_rollout *cr = c->rollout;
	uint32_t i;

	cr->reading = false;
	if (st != STATUS_OK) {
		log_warning("orders can't be read at the platform (%s)",
		    status_name(st));
		cr->read_ms = control_now(c) + READ_RETRY_MS;
		control_pump(c);
		return;
	}
	cr->read = true;
	for (i = 0; i < n; i++) {
		set_number(
		    cr->revisions, rows[i].rollout.service, rows[i].revision);
		take(c, &rows[i].rollout);
	}
	follow_all(c);
	control_pump(c);
}

void
control_rollout_orders(
    struct control *c, const struct feed_order *orders, uint32_t n)
{
	uint32_t i;

	for (i = 0; i < n; i++)
		if (!is_known(c, &orders[i]))
			g_array_append_val(c->rollout->given, orders[i]);
	control_rollout_tick(c);
}

/* Rows are read before an order is followed: it may be over long since. */
static bool
read_is_due(const struct control *c)
{
	const struct control_rollout *cr = c->rollout;

	if (cr->store == NULL || cr->reading)
		return false;
	if (cr->given->len > 0)
		return catalog_version(c->catalog) != 0;
	return !cr->read && is_first_reader(c);
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
carry_out(struct control *c, const struct rollout_action *a)
{
	switch (a->kind) {
	case ROLLOUT_ACT_PHASE:
		rollout_news_push(c->rollout->news, control_now(c));
		changed(c, &a->rollout);
		return;
	case ROLLOUT_ACT_WRITE:
		write_order(c, &a->rollout);
		return;
	}
}

static void
pass_on(struct control *c, uint64_t now_ms)
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

	if (read_is_due(c) && now_ms >= cr->read_ms) {
		cr->reading = true;
		cr->store->ops->read(cr->store, on_rows, c);
	}
	rollout_watch_writes(cr->watch, spread_is_reader(c->spread) != 0);
	if (now_ms >= rollout_watch_next_ms(cr->watch)) {
		poll_counts(c);
		rollout_watch_tick(cr->watch, now_ms);
	}
	while (rollout_watch_pop(cr->watch, &a))
		carry_out(c, &a);
	pass_on(c, now_ms);
}

uint64_t
control_rollout_next_ms(const struct control *c)
{
	uint64_t next_ms = MIN(rollout_news_next_ms(c->rollout->news),
	    rollout_watch_next_ms(c->rollout->watch));

	if (read_is_due(c))
		next_ms = MIN(next_ms, MAX(c->rollout->read_ms, 1));
	return next_ms;
}

bool
control_rollout_receive(struct control *c, const struct net_addr *from,
    uint8_t type, const uint8_t *body, size_t len)
{
	struct control_rollout *cr = c->rollout;
	struct rollout r;

	if (rollout_watch_owns(type)) {
		rollout_watch_receive(
		    cr->watch, control_now(c), type, body, len);
		return true;
	}
	if (!rollout_news_owns(type))
		return false;
	rollout_news_receive(cr->news, control_now(c), from, type, body, len);
	while (rollout_news_pop(cr->news, &r))
		changed(c, &r);
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
