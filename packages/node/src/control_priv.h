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
#include "membership/membership.h"
#include "net/http.h"
#include "node/control.h"
#include "node/peers.h"
#include "node/source.h"
#include "spread/spread.h"

/**
 * struct control - state of the control thread
 * @dirty: the snapshot in force is to be compiled anew
 * @ready: whether this node serves; read by other threads
 * @left: whether peers were told that this node stops
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
	pthread_t thread;
	int running;
	int dirty;
	_Atomic int ready;
	_Atomic int left;
	_Atomic uint64_t version;
};

/** control_now() - monotonic time of this turn of the loop, milliseconds */
uint64_t control_now(const struct control *c);

/** control_pump() - carry out what the decisions want after an event */
void control_pump(struct control *c);

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
