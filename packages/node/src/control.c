/*
 * The control thread: one event loop that drives the modules membership,
 * spread, quarantine and rollout.
 *
 * After each event control_pump() carries out their queued actions, sends the
 * messages in their outboxes, recompiles the snapshot if it is outdated, and
 * sets the timer to the earliest deadline.
 */
#define LOG_PART "control"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "control_priv.h"
#include "memory_limits.h"
#include "membership/places.h"
#include "node/entry.h"
#include "node/guard.h"
#include "node/snapshot_ref.h"
#include "node/traffic_health.h"
#include "proto/settings.h"
#include "store/http_store.h"

static struct metric members_gauge = {"bramley_members_live",
    "Hosts that this node counts as live.", METRIC_GAUGE, NULL, 0, {0}};
static struct metric ready_gauge = {"bramley_ready",
    "Whether this node serves calls.", METRIC_GAUGE, NULL, 0, {0}};
static struct metric reads_gauge = {"bramley_reads_platform",
    "Whether this node reads the platform for its data centre.", METRIC_GAUGE,
    NULL, 0, {0}};
static struct metric takeover_count = {"bramley_reader_takeovers_total",
    "Times that this node read the platform in place of others.",
    METRIC_COUNTER, NULL, 0, {0}};
static struct metric publish_count = {"bramley_snapshots_total",
    "Snapshots put in force.", METRIC_COUNTER, NULL, 0, {0}};

uint64_t
control_now(const struct control *c)
{
	return loop_now_ms(c->loop);
}

/* Passes this host's endpoints with their limits to the guard. */
static void
control_update_guard(struct control *c)
{
	const struct member *self = membership_self(c->membership);
	struct guard_endpoint list[MEMBER_ENDPOINTS_MAX];
	const struct service_config *service;
	uint32_t i, n = 0;

	memset(list, 0, sizeof(list));
	for (i = 0; i < self->n_endpoints; i++) {
		const struct member_endpoint *e = &self->endpoints[i];

		service = catalog_find(c->catalog, e->service);
		if (e->state == ENDPOINT_LEFT || service == NULL)
			continue;
		(void)g_strlcpy(
		    list[n].service, e->service, sizeof(list[n].service));
		list[n].port = e->port;
		list[n].slots = e->slots;
		list[n].state = (enum serving_state)e->state;
		list[n].instance = "";
		if (e->port == c->instance_port &&
		    strcmp(e->service, c->instance_service) == 0) {
			list[n].instance = instances_current(&c->instances);
			list[n].started_ms =
			    instances_current_started_ms(&c->instances);
		}
		list[n].limits = service->limits;
		control_rollout_set_own_state(c, e, &list[n]);
		n++;
	}
	guard_set_endpoints(c->guard, list, n);
}

static int
control_may_serve(const struct control *c)
{
	enum membership_phase phase = membership_phase(c->membership);

	return spread_ready(c->spread) && phase != MEMBERSHIP_CONFLICT &&
	    phase != MEMBERSHIP_JOINING;
}

/* Compiles and publishes the snapshot of the version in force. */
static void
control_publish(struct control *c)
{
	struct snapshot *next = NULL;
	uint64_t begun_us = clock_now_us();
	int ready = control_may_serve(c);

	c->dirty = 0;
	if (ready && catalog_version(c->catalog) > 0)
		next = snapshot_compile(c->catalog, c->endpoints);
	if (next != NULL) {
		next->n_nodes = membership_live(c->membership);
		control_rollout_set_versions(c, next);
		(void)snapshot_ref(next);
	}
	snapshot_unref(c->snapshot);
	c->snapshot = next;
	snapshot_ref_publish(next);
	metric_add(&publish_count, 1);
	metric_set(&ready_gauge, ready);
	atomic_store(&c->ready, ready);
	control_version_set_in_force(
	    c, next != NULL ? next->version : 0, clock_now_us() - begun_us);
	entry_snapshot_changed(c->entry);
	control_update_guard(c);
}

/* Copies a member's endpoints into the set that snapshots are compiled from. */
static void
control_update_endpoints(struct control *c, const char *host)
{
	const struct member *m = membership_find(c->membership, host);
	struct endpoint list[MEMBER_ENDPOINTS_MAX];
	uint32_t i, n = 0;

	memset(list, 0, sizeof(list));
	for (i = 0; m != NULL && member_is_live(m) && i < m->n_endpoints; i++) {
		const struct member_endpoint *e = &m->endpoints[i];

		if (e->state == ENDPOINT_LEFT)
			continue;
		(void)g_strlcpy(
		    list[n].service, e->service, sizeof(list[n].service));
		(void)g_strlcpy(list[n].host, m->host, sizeof(list[n].host));
		(void)g_strlcpy(list[n].data_centre, m->data_centre,
		    sizeof(list[n].data_centre));
		list[n].address.ip = m->address.ip;
		list[n].address.port = m->call_port;
		list[n].incarnation = m->started_ms;
		list[n].slots = e->slots;
		list[n].cold_ms = e->cold_ms == MEMBER_COLD_UNKNOWN
		    ? ENDPOINT_COLD_UNKNOWN
		    : e->cold_ms;
		list[n].state = (enum serving_state)e->state;
		(void)g_strlcpy(
		    list[n].version, e->version, sizeof(list[n].version));
		n++;
	}
	if (endpoint_set_host(c->endpoints, host, list, n) > 0) {
		log_info("Host %s has %u endpoints now.", host, n);
		c->dirty = 1;
	}
}

static void
control_on_gossip_head(struct control *c, const struct membership_action *a)
{
	struct rec_head head = {
	    .seq = a->head.seq,
	    .version = a->head.version,
	    .in_force = a->head.in_force,
	    .state = a->head.state == HEAD_HALTED ? HEAD_HALTED : HEAD_ROLLING,
	};

	if (head.seq != 0)
		spread_on_gossip_head(
		    c->spread, control_now(c), &a->addr, &head);
}

static void
control_membership_action(struct control *c, const struct membership_action *a)
{
	switch (a->kind) {
	case MEMBERSHIP_CHANGED:
		control_update_endpoints(c, a->host);
		metric_set(&members_gauge, membership_live(c->membership));
		break;
	case MEMBERSHIP_PEER_HEAD:
		control_on_gossip_head(c, a);
		break;
	case MEMBERSHIP_PHASE:
		log_info("Membership is %s.", membership_phase_name(a->phase));
		atomic_store(&c->leave_sent, a->phase == MEMBERSHIP_LEFT);
		if (a->phase == MEMBERSHIP_JOINED)
			membership_recall_runs(c->membership, control_now(c));
		c->dirty = 1;
		break;
	case MEMBERSHIP_WARNING:
		log_error("%s", a->message);
		break;
	case MEMBERSHIP_RUNS:
		control_upstream_runs_changed(c);
		break;
	}
}

/* Marks the snapshot outdated, since a version is complete; logs when this node
 * may not serve calls yet. */
static void
control_on_complete(struct control *c, const struct spread_action *a)
{
	if (!control_may_serve(c))
		log_info("Version %" G_GUINT64_FORMAT
			 " is complete; it comes in force once this node may "
			 "serve.",
		    a->to);
	c->dirty = 1;
}

static void
control_reader_changed(const struct spread_action *a)
{
	static const char *const reasons[] = {
	    [READER_GROUP_NOT_READING] = "",
	    [READER_GROUP_BY_RANK] = "by its rank",
	    [READER_GROUP_FAILED] = "since reads of others failed",
	    [READER_GROUP_SILENT] = "since no reader was answered in time",
	    [READER_GROUP_NONE_ANSWERED] = "since no other reader is answered",
	    [READER_GROUP_TOO_FEW] =
		"since too few readers were answered in time",
	};

	metric_set(&reads_gauge, a->to != 0);
	metric_add(&takeover_count, a->reader_reason > READER_GROUP_BY_RANK);
	if (a->to != 0)
		log_info("This node reads the platform for its data centre, as "
			 "number %" G_GUINT64_FORMAT " of its group, %s.",
		    a->to, reasons[a->reader_reason]);
	else
		log_info("This node no longer reads the platform for its data "
			 "centre.");
}

static void
control_spread_action(struct control *c, const struct spread_action *a)
{
	char text[ADDR_TEXT_BYTES];

	switch (a->kind) {
	case SPREAD_READ_HEAD:
	case SPREAD_PROBE_HEAD:
	case SPREAD_READ_VERSIONS:
	case SPREAD_READ_OBJECT:
		if (c->feed != NULL)
			control_feed_read(c, a);
		else
			source_read(c->source, a);
		break;
	case SPREAD_APPLY:
		control_version_set_steps(c, a);
		control_on_complete(c, a);
		break;
	case SPREAD_READY:
		log_info("This node may serve.");
		c->dirty = 1;
		break;
	case SPREAD_PEER_BANNED:
		log_warning(
		    "Peer %s sent an invalid part of the configuration; "
		    "check that it runs this release.",
		    addr_format(&a->peer, text));
		break;
	case SPREAD_PEER_TIMED_OUT:
		log_info(
		    "Peer %s delivered no part of version %" G_GUINT64_FORMAT
		    " in time; another peer is tried.",
		    addr_format(&a->peer, text), a->to);
		break;
	case SPREAD_READER:
		control_reader_changed(a);
		break;
	case SPREAD_REFUSED:
		control_refused_record(c, a->to, a->reason);
		break;
	case SPREAD_STORE_BEHIND:
		control_restore_store(c, a->from, a->to);
		break;
	case SPREAD_STORE_EPOCH:
		membership_set_store_epoch(c->membership, a->to);
		break;
	case SPREAD_HALTED:
		log_info("Version %" G_GUINT64_FORMAT
			 " was halted before this node applied it.",
		    a->to);
		break;
	}
}

/* Sets the newest known head, which membership probes carry to peers. */
static void
control_gossip_head(struct control *c)
{
	const struct rec_head *head = spread_head(c->spread);
	struct rec_gossip_head gossip = {
	    .seq = head->seq,
	    .version = head->version,
	    .in_force = head->in_force,
	    .state = (uint8_t)head->state,
	};

	membership_set_head(c->membership, &gossip);
}

void
control_pump(struct control *c)
{
	struct membership_action ma;
	struct spread_action sa;
	uint64_t next_ms;

	while (membership_pop(c->membership, &ma))
		control_membership_action(c, &ma);
	while (spread_pop(c->spread, &sa))
		control_spread_action(c, &sa);
	control_store_epoch_update(c);
	control_gossip_head(c);
	control_news_publish(c);
	control_quarantine_pump(c);
	peers_flush(c->peers, c->outbox);
	peers_flush(c->peers, spread_outbox(c->spread));
	if (c->dirty)
		control_publish(c);
	entry_set_confirmed(c->entry, spread_confirmed_ms(c->spread));
	next_ms =
	    MIN(membership_next_ms(c->membership), spread_next_ms(c->spread));
	next_ms = MIN(next_ms, control_find_next_ms(c));
	next_ms = MIN(next_ms, control_refused_next_ms(c));
	next_ms = MIN(next_ms, quarantine_news_next_ms(c->quarantine));
	next_ms = MIN(next_ms, control_keep_next_ms(c));
	next_ms = MIN(next_ms, control_rollout_next_ms(c));
	loop_timer_set(&c->timer, next_ms);
}

static void
control_on_timer(void *arg)
{
	struct control *c = arg;
	uint64_t now_ms = control_now(c);

	membership_tick(c->membership, now_ms);
	spread_tick(c->spread, now_ms);
	control_find_tick(c);
	control_refused_tick(c);
	quarantine_news_tick(c->quarantine, now_ms);
	control_keep_tick(c);
	control_rollout_tick(c);
	control_pump(c);
	control_totals_copy(c);
}

static void
control_on_source_read(void *arg)
{
	control_pump(arg);
}

static void
control_on_datagram(struct net_addr from, uint8_t type, const uint8_t *body,
    size_t len, void *arg)
{
	struct control *c = arg;

	if (membership_handles(type))
		membership_receive(
		    c->membership, control_now(c), &from, 0, type, body, len);
	else if (control_rollout_receive(c, &from, type, body, len))
		;
	else if (quarantine_news_handles(type))
		quarantine_news_receive(
		    c->quarantine, control_now(c), &from, type, body, len);
	else
		spread_on_datagram(
		    c->spread, control_now(c), &from, type, body, len);
	control_pump(c);
}

static void
control_on_frame(struct net_addr from, uint64_t conn, uint8_t type,
    const uint8_t *body, size_t len, void *arg)
{
	struct control *c = arg;

	if (membership_handles(type))
		membership_receive(c->membership, control_now(c), &from, conn,
		    type, body, len);
	else
		spread_on_frame(
		    c->spread, control_now(c), &from, conn, type, body, len);
	control_pump(c);
}

/* Only moves a deadline, so there are no actions to carry out. */
static void
control_on_part(struct net_addr peer, void *arg)
{
	struct control *c = arg;

	spread_on_partial_frame(c->spread, control_now(c), &peer);
}

static void
control_on_closed(struct net_addr peer, void *arg)
{
	struct control *c = arg;

	membership_unreachable(c->membership, control_now(c), &peer);
	spread_on_closed(c->spread, control_now(c), &peer);
	control_pump(c);
}

static const struct peers_handler control_peers_handler = {
    .on_datagram = control_on_datagram,
    .on_frame = control_on_frame,
    .on_part = control_on_part,
    .on_closed = control_on_closed,
};

static void
control_register_metrics(void)
{
	control_version_register();
	metric_register(&members_gauge);
	metric_register(&ready_gauge);
	metric_register(&publish_count);
	metric_register(&reads_gauge);
	metric_register(&takeover_count);
	control_totals_register();
	control_refused_register();
	control_news_register();
	control_rollout_register();
	control_store_epoch_register();
}

static void
control_create_modules(struct control *c, uint64_t incarnation, uint64_t seed)
{
	struct membership_settings ms;
	struct spread_config sc;
	uint64_t now_ms = clock_now_ms();

	control_membership_settings(c->settings, &ms);
	c->outbox = outbox_new();
	c->membership =
	    membership_new(&ms, now_ms, incarnation, seed, c->outbox);
	g_free((gpointer)ms.seeds);
	control_spread_config(c->settings, &sc);
	sc.seed = seed + 1;
	c->catalog = catalog_new(0);
	c->spread = spread_new(&sc, c->membership, c->catalog, now_ms);
	spread_set_confirm_within(c->spread, c->settings->revoke_confirm_ms);
	control_upstream_init(c);
	control_quarantine_init(c, now_ms);
	control_rollout_new(c, now_ms);
	c->endpoints = endpoint_set_new();
	instances_init(&c->instances);
	finder_init(&c->finder, seed + 2, now_ms);
	places_lower_bound(c->settings->data_centre, c->lookup_from);
}

void
control_set_platform(struct control *c, struct feed *feed,
    struct directory *directory, struct keep *keep,
    struct rollout_store *rollouts)
{
	control_rollout_set_store(c, rollouts);
	control_feed_set(c, feed);
	c->directory = directory;
	c->keep = keep;
}

static const struct http_client_options store_options = {
    .use = DESCRIPTORS_STORE};

enum status
control_new(const struct settings *s, struct entry *e, struct guard *g,
    uint64_t incarnation, uint64_t seed, struct control **out)
{
	struct net_addr at = {s->address, s->peer_port};
	struct control *c = g_new0(struct control, 1);
	enum status st;

	c->settings = s;
	c->entry = e;
	c->guard = g;
	c->loop = loop_new();
	if (c->loop == NULL) {
		control_free(c);
		return STATUS_IO;
	}
	st = peers_new(c->loop, at, memory_limit_frames(s),
	    &control_peers_handler, c, &c->peers);
	if (st != STATUS_OK) {
		control_free(c);
		return st;
	}
	control_register_metrics();
	control_create_modules(c, incarnation, seed);
	c->http = http_client_new(c->loop, &store_options);
	c->store =
	    http_store_new(c->http, c->loop, s->table_url, s->object_url);
	c->source =
	    source_new(c->loop, c->store, c->spread, control_on_source_read, c);
	loop_timer_init(&c->timer, c->loop, control_on_timer, c);
	*out = c;
	return STATUS_OK;
}

static void *
control_run(void *arg)
{
	struct control *c = arg;

	loop_run(c->loop);
	return NULL;
}

enum status
control_start(struct control *c)
{
	loop_timer_set(&c->timer, 0);
	if (pthread_create(&c->thread, NULL, control_run, c) != 0)
		return status_set(STATUS_IO,
		    "The control thread could not be started; raise the limit "
		    "on threads.");
	c->running = 1;
	return STATUS_OK;
}

struct loop *
control_loop(struct control *c)
{
	return c->loop;
}

int
control_ready(const struct control *c)
{
	return atomic_load(&c->ready);
}

uint64_t
control_version(const struct control *c)
{
	return atomic_load(&c->version);
}

static void
control_leave_posted(void *arg)
{
	struct control *c = arg;

	membership_leave(c->membership, control_now(c));
	control_pump(c);
}

void
control_stop_accepting(struct control *c)
{
	atomic_store(&c->leaving, 1);
}

void
control_leave(struct control *c)
{
	control_stop_accepting(c);
	loop_post(c->loop, control_leave_posted, c);
}

void
control_watch_traffic(struct control *c, const struct traffic_health *h)
{
	c->traffic = h;
}

const char *
control_refusal_reason(const struct control *c)
{
	if (atomic_load(&c->leaving))
		return "the node stops";
	if (!control_ready(c))
		return "no version is served yet";
	if (c->traffic != NULL &&
	    !traffic_health_is_good(c->traffic, clock_now_ms()))
		return "the traffic thread doesn't take new connections";
	return NULL;
}

int
control_has_left(const struct control *c)
{
	return atomic_load(&c->leave_sent);
}

void
control_stop(struct control *c)
{
	if (!c->running)
		return;
	loop_stop(c->loop);
	(void)pthread_join(c->thread, NULL);
	c->running = 0;
}

void
control_free(struct control *c)
{
	if (c == NULL)
		return;
	snapshot_ref_publish(NULL);
	snapshot_unref(c->snapshot);
	store_free(c->store);
	http_client_free(c->http);
	source_free(c->source);
	quarantine_rows_clear(&c->quarantine_rows);
	quarantine_news_free(c->quarantine);
	control_rollout_free(c);
	control_upstream_clear(c);
	spread_free(c->spread);
	catalog_free(c->catalog);
	membership_free(c->membership);
	finder_clear(&c->finder);
	endpoint_set_free(c->endpoints);
	peers_free(c->peers);
	outbox_free(c->outbox);
	loop_free(c->loop);
	g_free(c);
}
