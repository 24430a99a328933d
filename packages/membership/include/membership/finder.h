/*
 * Finder: when a node writes itself into the directory at the platform, and
 * when it looks others up there.
 *
 * A node looks once at its start.  With peers it needs the directory no more:
 * it is looked at while the node is alone, and when many hosts were lost at
 * once.  Only a few hosts stand in it (membership/places.h), and whoever has
 * found few others or is alone still, so that those in the same position find
 * it.  So a start of many hosts costs about one call for each, and the very
 * first one less than two.  Failures are answered by full-jitter back-off.
 */
#ifndef MEMBERSHIP_FINDER_H
#define MEMBERSHIP_FINDER_H

#include <stdint.h>

#include <glib.h>

/** FINDER_MIN_OTHERS - with fewer others than this in the directory more are
 * looked for, and the own entry is written: those may all be gone */
#define FINDER_MIN_OTHERS 4

/** enum finder_action - what is to be done */
enum finder_action {
	FINDER_NONE = 0,
	FINDER_REGISTER,
	FINDER_LOOK_UP,
};

/**
 * struct finder_view - what the node knows
 * @joined: it holds the table; one that has only heard of others has nobody
 *	to ask for it, and looks on
 * @live: live hosts known, the own one included
 * @holds_place: it is to hold its place in the directory
 */
struct finder_view {
	int joined;
	uint32_t live;
	int holds_place;
};

/**
 * struct finder - state
 * @rand: random choices
 * @looked_up: the directory was looked at
 * @few_lookups: looks in a row that found few others
 * @registered: the own entry is written
 * @busy: a call is under way
 * @failures: failures in a row
 * @due_ms: when the next call is due; DEADLINE_NEVER
 * @peak_live: most live hosts since the last look
 * @register_ms: when a holder that has not entered itself does
 */
struct finder {
	GRand *rand;
	int looked_up;
	uint32_t few_lookups;
	int registered;
	int busy;
	uint32_t failures;
	uint64_t due_ms;
	uint32_t peak_live;
	uint64_t register_ms;
};

/** finder_init() - a starting node */
void finder_init(struct finder *f, uint64_t seed, uint64_t now_ms);

/** finder_clear() - free what it holds */
void finder_clear(struct finder *f);

/**
 * finder_next() - what is due
 * @f: the finder
 * @view: what the node knows
 * @now_ms: monotonic time
 *
 * After FINDER_REGISTER call finder_registered() with its outcome, after
 * FINDER_LOOK_UP finder_looked_up() or finder_failed().
 */
enum finder_action
finder_next(struct finder *f, const struct finder_view *view, uint64_t now_ms);

/** finder_registered() - the own entry was written */
void finder_registered(struct finder *f, uint64_t now_ms);

/**
 * finder_looked_up() - the directory was looked at
 * @f: the finder
 * @others: entries of other nodes
 * @own_found: the own entry was among them
 * @now_ms: monotonic time
 */
void finder_looked_up(
    struct finder *f, uint32_t others, int own_found, uint64_t now_ms);

/** finder_failed() - a call has failed */
void finder_failed(struct finder *f, uint64_t now_ms);

/** finder_due_ms() - when finder_next() is wanted next */
uint64_t finder_due_ms(const struct finder *f);

#endif
