/*
 * Checks the versions that nodes report to serve against the guarantees: no
 * host returns to an older version, not even across a restart; a version has
 * the same root on every host and in the platform's record; each reachable host
 * serves an accepted version in time.
 *
 * The input are observations of one host at one time each; those of one host
 * are ordered by time.
 */
#ifndef FUNCTIONAL_VERSION_CHECK_H
#define FUNCTIONAL_VERSION_CHECK_H

#include <stdint.h>

#include <glib.h>

/**
 * enum version_rule - guarantees that can be violated
 * @VERSION_REGRESSION: a host served an older version than before
 * @VERSION_ROOT_MISMATCH: a host served a version with another root than the
 *	one observed first, or than the platform's record
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
 * struct version_violation - a violated guarantee
 * @rule: the guarantee
 * @host: name of the host
 * @version: version that the host served, or should have served
 * @before: highest version that the host had served
 */
struct version_violation {
	enum version_rule rule;
	char *host;
	uint64_t version;
	uint64_t before;
};

struct version_check;

/** version_check_new() - create a check without observations */
struct version_check *version_check_new(void);

/** version_check_free() - free the check and its violations */
void version_check_free(struct version_check *c);

/**
 * version_check_observe() - add an observation
 * @c: the check
 * @host: name of the host
 * @version: version that the host serves; 0 for none
 * @root: root of the version, or NULL if it wasn't observed
 */
void version_check_observe(struct version_check *c, const char *host,
    uint64_t version, const char *root);

/**
 * version_check_reachable() - require a host to serve accepted versions
 * @c: the check
 * @host: name of the host
 * @now_ms: monotonic time
 */
void version_check_reachable(
    struct version_check *c, const char *host, uint64_t now_ms);

/** version_check_unreachable() - exempt a host that is stopped, suspended or
 * disconnected
 */
void version_check_unreachable(struct version_check *c, const char *host);

/**
 * version_check_accept() - require that hosts serve an accepted version
 * @c: the check
 * @version: the version; a later one is sufficient too
 * @now_ms: monotonic time
 * @bound_ms: time in which each reachable host must serve the version, counted
 *	from @now_ms or from when the host became reachable
 */
void version_check_accept(struct version_check *c, uint64_t version,
    uint64_t now_ms, uint32_t bound_ms);

/** version_check_withdraw() - drop the requirement of a halted version */
void version_check_withdraw(struct version_check *c, uint64_t version);

/** version_check_tick() - record hosts that exceed the bound of a version */
void version_check_tick(struct version_check *c, uint64_t now_ms);

/**
 * version_check_record() - add the platform's record of a version
 * @c: the check
 * @version: the version
 * @root: root of the version
 *
 * Call version_check_compare_records() after the last record.
 */
void version_check_record(
    struct version_check *c, uint64_t version, const char *root);

/** version_check_compare_records() - check all observations against the records
 */
void version_check_compare_records(struct version_check *c);

/** version_check_observations() - number of observations in which a host served
 * a version
 */
uint32_t
version_check_observations(const struct version_check *c, const char *host);

/** version_check_highest() - highest version that a host has served */
uint64_t version_check_highest(const struct version_check *c, const char *host);

/** version_check_violations() - struct version_violation of each violation so
 * far
 */
const GPtrArray *version_check_violations(const struct version_check *c);

/** version_rule_name() - description of a violation, for the output */
const char *version_rule_name(enum version_rule rule);

#endif
