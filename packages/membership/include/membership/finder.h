/*
 * Finder: schedule of a node's registrations and lookups in the platform's
 * directory.
 *
 * A node looks other nodes up once at its start.  A node with peers needs no
 * further lookup: lookups are repeated while the node is alone, and when many
 * hosts were lost at once.  Only a few hosts are registered (see
 * membership/places.h), and also nodes that found few others or are still
 * alone, so that nodes in the same situation find them.  So a mass start costs
 * about one call per host, and the very first start less than two.  Failures
 * are retried with full-jitter back-off.
 */
#ifndef MEMBERSHIP_FINDER_H
#define MEMBERSHIP_FINDER_H

#include <stdint.h>

#include <glib.h>

/**
 * FINDER_MIN_OTHERS - entries of other nodes below which a node repeats its
 * lookup and registers, since the few others may all be gone
 */
#define FINDER_MIN_OTHERS 4

/**
 * enum finder_action - the call that is due
 * @FINDER_NONE: none
 * @FINDER_REGISTER: write the own entry
 * @FINDER_LOOK_UP: read entries of other nodes
 */
enum finder_action {
	FINDER_NONE = 0,
	FINDER_REGISTER,
	FINDER_LOOK_UP,
};

/**
 * struct finder_view - state of the node
 * @joined: the node holds the table; a node that only received messages of
 *	others has no peer to join through, and continues its lookups
 * @live: live hosts known, the own one included
 * @holds_place: the node should hold its place in the directory
 */
struct finder_view {
	int joined;
	uint32_t live;
	int holds_place;
};

/**
 * struct finder - state
 * @rand: source of random choices
 * @looked_up: a lookup has succeeded
 * @few_lookups: lookups in a row that found few others; raised to the maximum
 *	on the nodes that register at once
 * @registered: the own entry is written
 * @busy: a call is in progress
 * @restored: the directory has come back from a copy since that call began
 * @failures: failures in a row
 * @due_ms: when the next call is due, or DEADLINE_NEVER
 * @peak_live: most live hosts since the last lookup
 * @register_ms: when a holder that is not registered becomes due to register
 */
struct finder {
	GRand *rand;
	int looked_up;
	uint32_t few_lookups;
	int registered;
	int busy;
	int restored;
	uint32_t failures;
	uint64_t due_ms;
	uint32_t peak_live;
	uint64_t register_ms;
};

/** finder_init() - initialize for a starting node; free with finder_clear() */
void finder_init(struct finder *f, uint64_t seed, uint64_t now_ms);

/** finder_clear() - free the finder's resources */
void finder_clear(struct finder *f);

/**
 * finder_next() - the call that is due
 * @f: the finder
 * @view: state of the node
 * @now_ms: monotonic time
 *
 * After FINDER_REGISTER call finder_registered() or finder_failed(), after
 * FINDER_LOOK_UP finder_looked_up() or finder_failed().
 */
enum finder_action
finder_next(struct finder *f, const struct finder_view *view, uint64_t now_ms);

/** finder_registered() - the own entry was written */
void finder_registered(struct finder *f, uint64_t now_ms);

/**
 * finder_looked_up() - a lookup has succeeded
 * @f: the finder
 * @others: number of entries of other nodes
 * @own_found: the own entry was among the entries
 * @now_ms: monotonic time
 */
void finder_looked_up(
    struct finder *f, uint32_t others, int own_found, uint64_t now_ms);

/** finder_failed() - a call has failed */
void finder_failed(struct finder *f, uint64_t now_ms);

/** finder_restored() - the directory has come back from an older copy, and may
 * lack the own entry: register again if the node should be registered */
void finder_restored(struct finder *f, uint64_t now_ms);

/** finder_due_ms() - deadline of the next finder_next() */
uint64_t finder_due_ms(const struct finder *f);

#endif
