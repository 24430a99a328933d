/*
 * Refused: record of the newest version that this node can't use.
 *
 * A version can be unusable when it is read (the bundle has problems, or the
 * data at the platform can't be read at all) or when it is compiled (too large
 * for a node, conflicting routes).  The older version stays in force, so
 * callers don't notice; therefore the refusal has a record of its own, with a
 * beginning, changes and an end.
 *
 * A node that refuses a version stays ready: it serves the version in force,
 * and so do the other nodes, since a bad version is bad for all of them.  If
 * they became unready, callers would have no route at all instead of an older
 * version.
 */
#ifndef NODE_REFUSED_H
#define NODE_REFUSED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Size of a reason, terminating NUL included; longer lists of problems are
 * truncated. */
#define REFUSED_REASON_BYTES 256

/* Minimum time between two log lines of one refusal: several versions a second
 * may be published, each refused for another reason. */
#define REFUSED_LOG_MS 5000

/**
 * enum refused_change - change of the record, for the log
 * @REFUSED_UNCHANGED: nothing to log
 * @REFUSED_BEGAN: a version is refused, and none was before
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
 * struct refused - record of a refusal
 * @active: whether a version is refused now
 * @version: the version refused last, 0 if its number can't be read
 * @in_force: version in force at that time
 * @since_wall_ms: time at which the refusal began, wall clock
 * @reason: why @version can't be used
 * @max_known: highest version number known since the platform last delivered a
 *	readable version
 * @min_ending_version: lowest version that ends the refusal when it comes in
 *	force
 * @readable: version that the platform delivered last and that could be read; 0
 *	for none, or if another version was refused since
 * @n_versions: versions refused since the process started
 * @n_unlogged: changes of this refusal that were not logged
 * @next_log_ms: monotonic time before which no change is logged
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

/** struct refused_time - the same moment by the monotonic and the wall clock,
 * in milliseconds */
struct refused_time {
	uint64_t now_ms;
	uint64_t wall_ms;
};

/**
 * refused_copy_text() - copy a text in a form fit for a log line and for JSON
 * @to: destination
 * @size: size of @to, terminating NUL included; a longer text is truncated
 * @text: the text; it may contain names that operators chose
 *
 * The copy is one line of complete UTF-8 characters.
 */
void refused_copy_text(char *to, size_t size, const char *text);

/**
 * refused_record() - record that a version can't be used
 * @r: the record
 * @at: current time
 * @version: number of the version, 0 if it can't be read
 * @in_force: version in force, 0 for none
 * @reason: why the version can't be used
 *
 * A version that is reported after a later one changes nothing.  A version
 * without a number counts as later than all known versions.
 */
enum refused_change refused_record(struct refused *r, struct refused_time at,
    uint64_t version, uint64_t in_force, const char *reason);

/** refused_version_known() - record that a version exists, usable or not */
void refused_version_known(struct refused *r, uint64_t version);

/**
 * refused_version_readable() - record that the platform's newest version could
 * be read
 * @r: the record
 * @version: number of that version; lower than the refused version if
 *	operators went back to an older version
 * @in_force: version in force
 *
 * Ends the refusal only if @version is already in force; otherwise the version
 * may still be refused when it is compiled.
 */
enum refused_change refused_version_readable(
    struct refused *r, uint64_t version, uint64_t in_force);

/** refused_version_in_force() - record that a version from any source came in
 * force; 0 for none */
enum refused_change
refused_version_in_force(struct refused *r, uint64_t version);

#endif
