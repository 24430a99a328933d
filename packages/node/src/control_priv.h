/*
 * Internals of control, shared by control*.c.
 */
#ifndef NODE_CONTROL_PRIV_H
#define NODE_CONTROL_PRIV_H

#include <pthread.h>
#include <stdatomic.h>

#include "config/catalog.h"
#include "config/endpoints.h"
#include "config/snapshot.h"
#include "membership/finder.h"
#include "membership/instances.h"
#include "membership/membership.h"
#include "net/http.h"
#include "node/control.h"
#include "node/guard.h"
#include "node/peers.h"
#include "node/source.h"
#include "rollout/news.h"
#include "rollout/rollout_store.h"
#include "rollout/watch.h"
#include "quarantine_rows.h"
#include "spread/quarantine_news.h"
#include "spread/spread.h"
#include "refused.h"
#include "refused_row.h"
#include "restore_policy.h"
#include "store/feed.h"
#include "store/keep.h"

/**
 * struct control_peers - random live hosts of the membership
 * @peers: the vtable
 * @membership: table that the hosts are chosen from
 */
struct control_peers {
	struct quarantine_peers peers;
	struct membership *membership;
};

/**
 * enum upstream_check_phase - progress of the check of the upstream
 * @UPSTREAM_UNCHECKED: no heartbeat has arrived
 * @UPSTREAM_ASKED: the upstream was asked
 * @UPSTREAM_CHECKED: it has answered or not; heartbeats are used
 */
enum upstream_check_phase {
	UPSTREAM_UNCHECKED = 0,
	UPSTREAM_ASKED,
	UPSTREAM_CHECKED,
};

/** struct upstream_check - check of the run that sent the first heartbeat
 * @phase: its progress
 * @instance: name of the run, owned
 * @started_ms: start of the run by the upstream's clock
 */
struct upstream_check {
	enum upstream_check_phase phase;
	char *instance;
	uint64_t started_ms;
};

/**
 * struct control - state of the control thread
 * @dirty: the snapshot in force is outdated and must be recompiled
 * @ready: whether this node serves calls; read by other threads
 * @feed: source of configurations, NULL for the product's own store
 * @feed_head: head that the feed last delivered, seq 0 for none
 * @refused: the newest version that can't be used here
 * @refused_row: pending write of the refusal at the platform
 * @version_steps: durations of the steps of the version applied last
 * @known_version: newest version known, in force or not, usable or not
 * @awaited_version: newest version that some node could read; 0 while a version
 *	is refused here
 * @quarantine: crashes and quarantined requests, exchanged with peers
 * @quarantine_peers: peers that @quarantine sends to
 * @quarantine_rows: pending reads and writes of quarantined requests at the
 *	platform
 * @keep: store of quarantined requests, NULL for none
 * @traffic: what the traffic thread reports of itself, NULL when unknown
 * @rollout: orders to move services to other software versions
 * @feed_status: status of the last read of the feed
 * @feed_logged_status: status of the feed as of the last line in the log
 * @feed_log_ms: earliest time of the next line about a lost feed
 * @feed_left_out: failures since the last such line that were not logged
 * @feed_not_applied: version that the platform had and that was not applied, as
 *	logged last; 0 for none
 * @feed_answered_ms: when a read of the feed was last answered, 0 for never
 * @feed_poll_pending: a long poll of the feed is in flight
 * @feed_fetch_pending: a read of the full configuration is in flight, which may
 *	take a minute
 * @restoring: a sign-off that restores the product's own store is in progress
 * @restore_policy: choice of the content with which it is restored
 * @store_epoch_known: an epoch of the platform's store is known
 * @store_epoch: highest known epoch of the platform's store, 0 for none
 * @directory: directory of nodes, NULL to use the seeds of the settings
 * @finder: schedule of registrations and lookups in the directory
 * @lookup_from: place in the directory at which the next lookup begins, empty
 *	for the start of the directory
 * @instances: processes of the upstream that sends heartbeats
 * @instance_port: port of the current process
 * @instance_service: service of the current process
 * @dialect: headers exchanged with upstreams, NULL if they aren't checked
 * @check: check of the upstream before its first heartbeat is used
 * @reports: heartbeats and leaves that arrived before the runs were recalled
 *	or during the check, struct upstream_report
 * @waits: reports that are not acknowledged yet, struct report_wait
 * @wait_timer: deadline of the first of @waits
 * @leaving: this node stops
 * @leave_sent: whether peers have been notified that this node stops
 * @version: version in force here
 */
struct control {
	const struct settings *settings;
	struct entry *entry;
	const struct traffic_health *traffic;
	struct guard *guard;
	struct loop *loop;
	struct loop_timer timer;
	struct peers *peers;
	struct outbox *outbox;
	struct membership *membership;
	struct catalog *catalog;
	struct spread *spread;
	struct endpoint_set *endpoints;
	struct snapshot *snapshot;
	struct http_client *http;
	struct store *store;
	struct source *source;
	struct feed *feed;
	struct rec_head feed_head;
	struct refused refused;
	struct refused_row refused_row;
	struct spread_steps version_steps;
	uint64_t known_version;
	uint64_t awaited_version;
	struct quarantine_news *quarantine;
	struct control_peers quarantine_peers;
	struct quarantine_rows quarantine_rows;
	struct keep *keep;
	struct control_rollout *rollout;
	enum status feed_status;
	enum status feed_logged_status;
	uint64_t feed_log_ms;
	uint32_t feed_left_out;
	uint64_t feed_not_applied;
	uint64_t feed_answered_ms;
	int feed_poll_pending;
	int feed_fetch_pending;
	int restoring;
	struct restore_policy restore_policy;
	bool store_epoch_known;
	uint64_t store_epoch;
	struct directory *directory;
	struct finder finder;
	char lookup_from[DIRECTORY_PLACE_BYTES];
	struct instances instances;
	uint16_t instance_port;
	char instance_service[SERVICE_NAME_BYTES];
	const struct call_dialect *dialect;
	struct upstream_check check;
	GQueue reports;
	GQueue waits;
	struct loop_timer wait_timer;
	pthread_t thread;
	int running;
	int dirty;
	_Atomic int ready;
	_Atomic int leaving;
	_Atomic int leave_sent;
	_Atomic uint64_t version;
};

/** control_now() - monotonic time of this iteration of the loop,
 * milliseconds */
uint64_t control_now(const struct control *c);

/** control_pump() - carry out the actions that the modules queued during an
 * event */
void control_pump(struct control *c);

/* control_feed.c */

/** control_feed_set() - set the feed to read configurations from; borrowed */
void control_feed_set(struct control *c, struct feed *feed);

/** control_pass_version() - pass a version whose content is at hand to the
 * spread */
void control_pass_version(
    struct control *c, const struct rec_head *head, const struct bundle *b);

/** control_feed_read() - carry out a SPREAD_READ_* action or SPREAD_PROBE_*
 * action on the feed */
void control_feed_read(struct control *c, const struct spread_action *a);

/* control_version.c */

/** control_version_register() - register the metrics of the version in force
 * and of the durations of its steps */
void control_version_register(void);

/** control_version_set_steps() - store the durations of the steps of a
 * SPREAD_APPLY */
void
control_version_set_steps(struct control *c, const struct spread_action *a);

/**
 * control_version_set_in_force() - set the version that calls are served with
 * @c: the control
 * @version: the version, 0 for none
 * @compile_us: time that compiling its snapshot took, microseconds
 */
void control_version_set_in_force(
    struct control *c, uint64_t version, uint64_t compile_us);

/* control_refused.c */

/** control_refused_register() - register the metrics of refusals */
void control_refused_register(void);

/** control_refused_record() - record that @version can't be used because of
 * @reason; @version is 0 if the number is unknown */
void
control_refused_record(struct control *c, uint64_t version, const char *reason);

/** control_refused_version_readable() - the platform's newest version could be
 * read, with @n_warnings warnings */
void control_refused_version_readable(
    struct control *c, uint64_t version, uint32_t n_warnings);

/** control_refused_version_in_force() - @version has come in force here */
void control_refused_version_in_force(struct control *c, uint64_t version);

/** control_refused_tick() - write or remove the refusal at the platform if
 * due */
void control_refused_tick(struct control *c);

/** control_refused_next_ms() - when control_refused_tick() is due next */
uint64_t control_refused_next_ms(const struct control *c);

/** control_refused_json() - the refusal as JSON, null for none */
json_t *control_refused_json(const struct control *c);

/* control_news.c */

/** control_news_add_seen() - the platform delivered @version, usable or not */
void control_news_add_seen(struct control *c, uint64_t version);

/** control_news_publish() - notify the entry when the newest known or awaited
 * version has changed */
void control_news_publish(struct control *c);

/** control_news_register() - register the metric of the newest known version */
void control_news_register(void);

/* control_upstream.c */

/** control_upstream_init() - initialize, after membership and guard */
void control_upstream_init(struct control *c);

/** control_upstream_clear() - free what control_upstream_init() and reports
 * have allocated */
void control_upstream_clear(struct control *c);

/** control_upstream_runs_changed() - the membership has reports of runs that
 * earlier processes of this node received, or peers hold others now */
void control_upstream_runs_changed(struct control *c);

/* control_upstream_check.c */

/** control_check_begin() - check the upstream that has sent a heartbeat, unless
 * that was done; the heartbeat is not used before the check has ended */
void control_check_begin(struct control *c, const char *instance,
    uint64_t started_ms, const struct upstream_heartbeat *b);

/** control_check_clear() - free what the check has allocated */
void control_check_clear(struct control *c);

/* control_upstream_reports.c */

/** control_reports_init() - initialize the waits */
void control_reports_init(struct control *c);

/** control_reports_clear() - free the waits without calling them, and the
 * reports */
void control_reports_clear(struct control *c);

/** control_reports_defer() - keep a report until the runs were recalled and the
 * upstream was checked
 * @b: a heartbeat, or NULL when the process leaves
 */
void control_reports_defer(struct control *c, const char *instance,
    uint64_t started_ms, const struct upstream_heartbeat *b);

/** control_reports_apply() - apply the reports that were kept, in their order
 */
void control_reports_apply(struct control *c);

/** control_reports_check_waits() - end the waits whose outcome is known */
void control_reports_check_waits(struct control *c);

/* control_quarantine.c */

/** control_quarantine_init() - initialize, after membership and guard */
void control_quarantine_init(struct control *c, uint64_t now_ms);

/** control_quarantine_pump() - pass items received from peers to the guard */
void control_quarantine_pump(struct control *c);

/* control_store_epoch.c */

/** control_store_epoch_register() - register the metric of the epoch */
void control_store_epoch_register(void);

/** control_store_epoch_update() - take up an epoch that peers have reported */
void control_store_epoch_update(struct control *c);

/* control_restore.c */

/**
 * control_restore_store() - the product's own store has come back from an older
 * copy: sign the version in force off again, or what is left
 * @c: the control
 * @in_force: version in force in that copy, 0 for none
 * @version: newest version in that copy, 0 for none
 */
void
control_restore_store(struct control *c, uint64_t in_force, uint64_t version);

/** control_may_restore() - whether an operator's request may restore the store,
 * since this node holds nothing to do so */
bool
control_may_restore(const struct control *c, const struct signoff_request *req);

/* control_keep.c */

/** control_keep_record() - write a request that this node quarantined to the
 * platform, or remove the rows of the requests that @item clears */
void control_keep_record(struct control *c, const struct quarantine_item *item);

/** control_keep_tick() - read or write rows at the platform if due */
void control_keep_tick(struct control *c);

/** control_keep_next_ms() - when control_keep_tick() is due next */
uint64_t control_keep_next_ms(const struct control *c);

/* control_rollout.c */

/** control_rollout_new() - create the rollouts, after membership and outbox */
void control_rollout_new(struct control *c, uint64_t now_ms);

/** control_rollout_free() - free the rollouts */
void control_rollout_free(struct control *c);

/** control_rollout_set_store() - set the store of orders; borrowed */
void control_rollout_set_store(struct control *c, struct rollout_store *store);

/** control_rollout_restored() - the platform's store has come back from an
 * older copy: write orders again that it lacks */
void control_rollout_restored(struct control *c);

/** control_rollout_add_orders() - process operators' orders that the feed
 * delivered */
void control_rollout_add_orders(
    struct control *c, const struct feed_order *orders, uint32_t n);

/** control_rollout_set_versions() - set the software versions that get
 * requests, for each service of a snapshot */
void control_rollout_set_versions(struct control *c, struct snapshot *s);

/**
 * control_rollout_set_own_state() - apply the rollout to an endpoint of this
 * host
 * @c: the control
 * @e: the endpoint
 * @info: receives the order; its state becomes draining when the endpoint must
 *	not take requests
 */
void control_rollout_set_own_state(struct control *c,
    const struct member_endpoint *e, struct guard_endpoint *info);

/** control_rollout_receive() - process a datagram of a peer; false when its
 * type belongs to another module */
bool control_rollout_receive(struct control *c, const struct net_addr *from,
    uint8_t type, const uint8_t *body, size_t len);

/** control_rollout_tick() - carry out everything that is due */
void control_rollout_tick(struct control *c);

/** control_rollout_next_ms() - when control_rollout_tick() is due next */
uint64_t control_rollout_next_ms(const struct control *c);

/** control_rollout_register() - register the metrics of rollouts */
void control_rollout_register(void);

/* control_find.c */

/** control_find_tick() - register or look up in the directory if due */
void control_find_tick(struct control *c);

/** control_find_next_ms() - when control_find_tick() is due next */
uint64_t control_find_next_ms(const struct control *c);

/* control_metrics.c */

/** control_totals_register() - register the counters of spread and membership
 * as metrics */
void control_totals_register(void);

/** control_totals_copy() - copy the counters of spread and membership to the
 * metrics */
void control_totals_copy(const struct control *c);

/* control_settings.c */

/**
 * control_membership_settings() - derive the settings of membership
 * @s: settings of the node
 * @ms: receives them; the caller frees its seeds
 */
void control_membership_settings(
    const struct settings *s, struct membership_settings *ms);

/**
 * control_spread_config() - derive the configuration of the spread, without its
 * seed
 * @s: settings of the node; names are borrowed
 * @sc: receives it
 */
void control_spread_config(const struct settings *s, struct spread_config *sc);

#endif
