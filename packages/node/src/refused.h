/*
 * Refused: the newest version that this node can't use, if there is one.
 *
 * A version can be unusable where it is read (the bundle has problems, or what
 * the platform holds can't be read at all) or where it is put together (too
 * large for a node, routes that cross).  The older version stays in force
 * meanwhile, which callers don't see; so a refusal is recorded by itself, with
 * a beginning, changes and an end.
 *
 * A refusing node stays ready: it serves what it holds, and so do the others,
 * since a bad version is bad for all.  Not ready, all would leave callers
 * without any route rather than without the newest.
 */
#ifndef NODE_REFUSED_H
#define NODE_REFUSED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Room for a reason: the first problems of a bundle are cut to that. */
#define REFUSED_REASON_BYTES 256

/* Least time between two lines of one refusal: versions may follow one
 * another several times a second, each with another reason. */
#define REFUSED_LOG_MS 5000

/**
 * enum refused_change - what became of the record
 * @REFUSED_UNCHANGED: nothing that is to be told
 * @REFUSED_BEGAN: a version is refused, none was before
 * @REFUSED_CHANGED: another version is refused, or for another reason
 * @REFUSED_ENDED: the newest version is in force
 */
enum refused_change {
	REFUSED_UNCHANGED = 0,
	REFUSED_BEGAN,
	REFUSED_CHANGED,
	REFUSED_ENDED,
};

/**
 * struct refused - the record
 * @active: whether a version is refused now
 * @version: the one refused last, 0 when its number can't be read
 * @in_force: version in force then
 * @since_wall_ms: when the refusal began, wall clock
 * @reason: why it can't be used
 * @max_known: highest number of a version known of since the platform gave one
 * @min_ending_version: lowest number whose coming in force ends the refusal
 * @readable: version that the platform gave last and that could be read, 0 for
 *	none and when another was refused since
 * @n_versions: versions refused since the start
 * @n_unlogged: changes of this refusal that were not told
 * @next_log_ms: monotonic time before which no change is told
 */
struct refused {
	bool active;
	uint64_t version;
	uint64_t in_force;
	uint64_t since_wall_ms;
	char reason[REFUSED_REASON_BYTES];
	uint64_t max_known;
	uint64_t min_ending_version;
	uint64_t readable;
	uint64_t n_versions;
	uint64_t n_unlogged;
	uint64_t next_log_ms;
};

/** struct refused_time - the same moment by both clocks, milliseconds */
struct refused_time {
	uint64_t now_ms;
	uint64_t wall_ms;
};

/**
 * refused_copy_text() - copy a text for a line and for JSON
 * @to: where it goes
 * @size: room there, zero included; it is cut to that
 * @text: the text; it may hold names that operators gave
 *
 * What is there is one line of whole UTF-8 characters.
 */
void refused_copy_text(char *to, size_t size, const char *text);

/**
 * refused_record() - a version can't be used
 * @r: the record
 * @at: now
 * @version: its number, 0 when that can't be read
 * @in_force: version in force, 0 for none
 * @reason: why
 *
 * One that is told late, after a later one, changes nothing.  One without a
 * number counts as later than all that were known of.
 */
enum refused_change refused_record(struct refused *r, struct refused_time at,
    uint64_t version, uint64_t in_force, const char *reason);

/** refused_version_known() - there is a version of this number, usable or not
 */
void refused_version_known(struct refused *r, uint64_t version);

/**
 * refused_version_readable() - the platform's newest version can be read
 * @r: the record
 * @version: its number; it may be lower than the one refused, since operators
 *	go back
 * @in_force: version in force
 *
 * Ends nothing by itself, as the version may be refused when it is put
 * together; unless it is in force already.
 */
enum refused_change refused_version_readable(
    struct refused *r, uint64_t version, uint64_t in_force);

/** refused_version_in_force() - a version came in force, from wherever; 0 for
 * none */
enum refused_change
refused_version_in_force(struct refused *r, uint64_t version);

#endif
