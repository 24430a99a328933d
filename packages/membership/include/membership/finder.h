/*
 * Finder: when a node writes itself into the directory at the platform, and
 * when it looks others up there.
 *
 * A node that knows peers needs the directory no more: it is looked at after
 * the start, while the node is alone, and when many hosts were lost at once.
 * Failures are answered by full-jitter back-off.
 */
#ifndef MEMBERSHIP_FINDER_H
#define MEMBERSHIP_FINDER_H

#include <stdint.h>

#include <glib.h>

/** enum finder_action - what is to be done */
enum finder_action {
	FINDER_NONE = 0,
	FINDER_ENTER,
	FINDER_SAMPLE,
};

/**
 * struct finder - state
 * @rand: random choices
 * @entered: the own entry is written
 * @busy: a call is under way
 * @failures: failures in a row
 * @due_ms: when the next call is due; DEADLINE_NEVER
 * @most_live: most live hosts since the last look
 */
struct finder {
	GRand *rand;
	int entered;
	int busy;
	uint32_t failures;
	uint64_t due_ms;
	uint32_t most_live;
};

/** finder_init() - a starting node */
void finder_init(struct finder *f, uint64_t seed, uint64_t now_ms);

/** finder_clear() - free what it holds */
void finder_clear(struct finder *f);

/**
 * finder_next() - what is due
 * @f: the finder
 * @joined: whether this node holds the table; one that has only heard of
 *	others has nobody to ask for it, and looks on
 * @live: live hosts known, the own one included
 * @now_ms: monotonic time
 *
 * After FINDER_ENTER or FINDER_SAMPLE call finder_done() with its outcome.
 */
enum finder_action
finder_next(struct finder *f, int joined, uint32_t live, uint64_t now_ms);

/** finder_done() - a call has ended; @ok: it succeeded */
void finder_done(
    struct finder *f, enum finder_action action, int ok, uint64_t now_ms);

/** finder_due_ms() - when finder_next() is wanted next */
uint64_t finder_due_ms(const struct finder *f);

#endif
