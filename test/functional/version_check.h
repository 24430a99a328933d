/*
 * Checks what nodes say that they serve against what must hold of versions:
 * no host goes back, also across a restart; a version has one root
 * everywhere, that of the platform's record; an accepted version reaches
 * each host that can be reached, in time.
 *
 * It is fed with sights, each of one host at one moment, in order of time
 * for each host.
 */
#ifndef FUNCTIONAL_VERSION_CHECK_H
#define FUNCTIONAL_VERSION_CHECK_H

#include <stdint.h>

#include <glib.h>

/**
 * enum version_rule - what was violated
 * @VERSION_REGRESSION: a host served an older version than before
 * @VERSION_ROOT_MISMATCH: a host served a version with another root than seen
 *before or recorded
 * @VERSION_NO_RECORD: a host served a version that was never accepted
 * @VERSION_LATE: a host did not serve an accepted version in time
 */
enum version_rule {
	VERSION_REGRESSION,
	VERSION_ROOT_MISMATCH,
	VERSION_NO_RECORD,
	VERSION_LATE,
};

/**
 * struct version_violation - one violation
 * @rule: what was violated
 * @host: name of the host
 * @version: version that is wrong or was to be served
 * @before: highest version that the host had served
 */
struct version_violation {
	enum version_rule rule;
	char *host;
	uint64_t version;
	uint64_t before;
};

struct version_check;

/** version_check_new() - nothing seen yet */
struct version_check *version_check_new(void);

/** version_check_free() - free the check and its violations */
void version_check_free(struct version_check *c);

/**
 * version_check_observe() - a host serves a version
 * @c: the check
 * @host: its name
 * @version: the version; 0 when the host serves none
 * @root: its root, or NULL when only the version was seen
 */
void version_check_observe(struct version_check *c, const char *host,
    uint64_t version, const char *root);

/**
 * version_check_reachable() - a host is to follow accepted versions from now
 * @c: the check
 * @host: its name
 * @now_ms: monotonic time
 */
void version_check_reachable(
    struct version_check *c, const char *host, uint64_t now_ms);

/** version_check_unreachable() - a host is stopped, frozen or cut off */
void version_check_unreachable(struct version_check *c, const char *host);

/**
 * version_check_accept() - a version was accepted
 * @c: the check
 * @version: the version; a later one will do as well
 * @now_ms: monotonic time
 * @bound_ms: time in which each present host is to serve it; a host that
 *	comes later has it from then
 */
void version_check_accept(struct version_check *c, uint64_t version,
    uint64_t now_ms, uint32_t bound_ms);

/** version_check_withdraw() - a version was halted: nobody need serve it */
void version_check_withdraw(struct version_check *c, uint64_t version);

/** version_check_tick() - find hosts that are late */
void version_check_tick(struct version_check *c, uint64_t now_ms);

/**
 * version_check_record() - the platform's record of a version
 * @c: the check
 * @version: the version
 * @root: its root
 *
 * Give all records, then call version_check_compare_records().
 */
void version_check_record(
    struct version_check *c, uint64_t version, const char *root);

/** version_check_compare_records() - hold all that was seen against the records
 */
void version_check_compare_records(struct version_check *c);

/** version_check_observations() - number of sights of a host, 0 versions left
 * out */
uint32_t
version_check_observations(const struct version_check *c, const char *host);

/** version_check_highest() - highest version that a host has served */
uint64_t version_check_highest(const struct version_check *c, const char *host);

/** version_check_violations() - violations so far: struct version_violation */
const GPtrArray *version_check_violations(const struct version_check *c);

/** version_rule_name() - short name, for the log */
const char *version_rule_name(enum version_rule rule);

#endif
