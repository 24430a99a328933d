/*
 * Inside of the control part, shared by control*.c.
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
#include "store/feed.h"
#include "store/keep.h"

/**
 * struct control_peers - live hosts of the membership, by chance
 * @peers: the vtable
 * @membership: where they come from
 */
struct control_peers {
	struct quarantine_peers peers;
	struct membership *membership;
};

/**
 * struct control - state of the control thread
 * @dirty: the snapshot in force is to be compiled anew
 * @ready: whether this node serves; read by other threads
 * @feed: where configurations come from, NULL for the product's own store
 * @feed_head: head that the feed gave last, seq 0 for none
 * @refused: the newest version that can't be used here
 * @refused_row: what operators are told of it at the platform
 * @version_steps: what the version taken last needed on its way here
 * @known_version: newest version known of, in force or not, usable or not
 * @awaited_version: newest version that some node could read; 0 while one is
 * refused
 * @quarantine: crashes and quarantined requests, between nodes
 * @quarantine_peers: whom it talks to
 * @quarantine_rows: what of it is to be read or written at the platform
 * @keep: where that outlives all nodes, NULL for nowhere
 * @rollout: orders to move services to other versions
 * @feed_status: how the last read of the feed ended
 * @feed_answered_ms: when a read of the feed was last answered, 0 for never
 * @feed_poll_pending: a read of the feed waits for a change
 * @feed_fetch_pending: a read of the feed gives the whole, which may take a
 * minute
 * @directory: where nodes find one another, NULL for seeds of the settings
 * @finder: when the directory is written and read
 * @lookup_from: where in the directory the next look begins, empty for its
 * start
 * @instances: runs of the upstream that sends heartbeats
 * @instance_port: port of the one that counts
 * @instance_service: its service
 * @leaving: this node stops
 * @leave_sent: whether peers were told that this node stops
 * @version: version in force here
 */
struct control {
	const struct settings *settings;
	struct entry *entry;
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
	uint64_t feed_answered_ms;
	int feed_poll_pending;
	int feed_fetch_pending;
	struct directory *directory;
	struct finder finder;
	char lookup_from[DIRECTORY_PLACE_BYTES];
	struct instances instances;
	uint16_t instance_port;
	char instance_service[SERVICE_NAME_BYTES];
	pthread_t thread;
	int running;
	int dirty;
	_Atomic int ready;
	_Atomic int leaving;
	_Atomic int leave_sent;
	_Atomic uint64_t version;
};

/** control_now() - monotonic time of this turn of the loop, milliseconds */
uint64_t control_now(const struct control *c);

/** control_pump() - carry out what the decisions want after an event */
void control_pump(struct control *c);

/* control_feed.c */

/** control_feed_set() - take configurations from a feed; borrowed */
void control_feed_set(struct control *c, struct feed *feed);

/** control_feed_read() - carry out a SPREAD_READ_* action or SPREAD_PROBE_*
 * action on the feed */
void control_feed_read(struct control *c, const struct spread_action *a);

/* control_version.c */

/** control_version_register() - add the version in force and what its steps
 * took to the metrics */
void control_version_register(void);

/** control_version_set_steps() - the catalog moved, as a SPREAD_APPLY tells */
void
control_version_set_steps(struct control *c, const struct spread_action *a);

/**
 * control_version_set_in_force() - note the version that calls are served by
 * @c: the control
 * @version: the version, 0 for none
 * @compile_us: time that its snapshot took
 */
void control_version_set_in_force(
    struct control *c, uint64_t version, uint64_t compile_us);

/* control_refused.c */

/** control_refused_register() - add what tells of refusals to the metrics */
void control_refused_register(void);

/** control_refused_record() - a version can't be used; its number or 0, why */
void
control_refused_record(struct control *c, uint64_t version, const char *reason);

/** control_refused_version_readable() - the platform's newest version can be
 * read */
void control_refused_version_readable(
    struct control *c, uint64_t version, uint32_t n_warnings);

/** control_refused_version_in_force() - a version came in force */
void control_refused_version_in_force(struct control *c, uint64_t version);

/** control_refused_tick() - tell operators at the platform if that is due */
void control_refused_tick(struct control *c);

/** control_refused_next_ms() - when control_refused_tick() is wanted next */
uint64_t control_refused_next_ms(const struct control *c);

/** control_refused_json() - the refusal as JSON, null for none */
json_t *control_refused_json(const struct control *c);

/* control_news.c */

/** control_news_add_seen() - the platform gave @version, usable or not */
void control_news_add_seen(struct control *c, uint64_t version);

/** control_news_publish() - tell the entry when the newest known one changed */
void control_news_publish(struct control *c);

/** control_news_register() - add the newest known version to the metrics */
void control_news_register(void);

/* control_quarantine.c */

/** control_quarantine_init() - once membership and guard are there */
void control_quarantine_init(struct control *c, uint64_t now_ms);

/** control_quarantine_pump() - give the guard what peers told */
void control_quarantine_pump(struct control *c);

/* control_keep.c */

/** control_keep_record() - something that this node tells all is to outlive
 * them, or what did so no longer is */
void control_keep_record(struct control *c, const struct quarantine_item *item);

/** control_keep_tick() - read or write at the platform if that is due */
void control_keep_tick(struct control *c);

/** control_keep_next_ms() - when control_keep_tick() is wanted next */
uint64_t control_keep_next_ms(const struct control *c);

/* control_rollout.c */

/** control_rollout_new() - once membership and outbox are there */
void control_rollout_new(struct control *c, uint64_t now_ms);

/** control_rollout_free() - free it */
void control_rollout_free(struct control *c);

/** control_rollout_set_store() - where orders outlive all nodes; borrowed */
void control_rollout_set_store(struct control *c, struct rollout_store *store);

/** control_rollout_add_orders() - the feed gave orders of operators */
void control_rollout_add_orders(
    struct control *c, const struct feed_order *orders, uint32_t n);

/** control_rollout_set_versions() - fill in which endpoints get requests */
void control_rollout_set_versions(struct control *c, struct snapshot *s);

/**
 * control_rollout_set_own_state() - what the own guard is to do with an
 * endpoint
 * @c: the control
 * @e: the own endpoint
 * @info: where state and order go
 */
void control_rollout_set_own_state(struct control *c,
    const struct member_endpoint *e, struct guard_endpoint *info);

/** control_rollout_receive() - a datagram of a peer; false when it is for
 * others */
bool control_rollout_receive(struct control *c, const struct net_addr *from,
    uint8_t type, const uint8_t *body, size_t len);

/** control_rollout_tick() - let time pass */
void control_rollout_tick(struct control *c);

/** control_rollout_next_ms() - when control_rollout_tick() is wanted next */
uint64_t control_rollout_next_ms(const struct control *c);

/** control_rollout_register() - add what tells of rollouts to the metrics */
void control_rollout_register(void);

/* control_find.c */

/** control_find_tick() - write or read the directory if that is due */
void control_find_tick(struct control *c);

/** control_find_next_ms() - when control_find_tick() is wanted next */
uint64_t control_find_next_ms(const struct control *c);

/** control_totals_register() - add the decisions' totals to the metrics */
void control_totals_register(void);

/** control_totals_copy() - bring the metrics up to the decisions' totals */
void control_totals_copy(const struct control *c);

/**
 * control_membership_settings() - what membership is told
 * @s: settings of the node
 * @ms: where they go; the caller frees its seeds
 */
void control_membership_settings(
    const struct settings *s, struct membership_settings *ms);

/**
 * control_spread_config() - what the spread is told, without its seed
 * @s: settings of the node; names are borrowed
 * @sc: where it goes
 */
void control_spread_config(const struct settings *s, struct spread_config *sc);

#endif
