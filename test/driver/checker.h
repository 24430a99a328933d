/*
 * Checker of the test driver: what must always hold, looked at in every run.
 *
 * - No host goes back to an older version than it has held, also across
 *   restarts: each version applied is above the one before, and a host that
 *   begins to serve holds at least the highest version it ever held.
 * - All or nothing: what a node holds is exactly one version that was signed
 *   off, by its root worked out anew from its services, contents included.
 * - No route without its service: the snapshot compiled from it is sound, and
 *   has no service or endpoint list that the configuration lacks.
 * - A version that was halted is not taken up afterwards, but by a host that
 *   held it already.
 * - In the end every node in reach holds the version in force, or a halted
 *   one that it held before.
 */
#ifndef DRIVER_CHECKER_H
#define DRIVER_CHECKER_H

#include <stdint.h>

#include <glib.h>

#include "config/catalog.h"
#include "config/snapshot.h"
#include "ledger.h"

/* Time that the news of a halt may take. */
#define CHECKER_HALT_US UINT64_C(5000000)

/**
 * struct checker - what is known of the hosts
 * @ledger: versions signed off; borrowed
 * @max_version: name of a host to the highest version that it held, boxed
 * @process_version: the same for the process that runs on it now
 * @violations: what did not hold, as text
 */
struct checker {
	const struct ledger *ledger;
	GHashTable *max_version;
	GHashTable *process_version;
	GPtrArray *violations;
};

/** checker_new() - a checker of nodes that hold versions of @ledger */
struct checker *checker_new(const struct ledger *ledger);

/** checker_free() - free a checker; NULL is ignored */
void checker_free(struct checker *ck);

/** checker_started() - a process started on a host */
void checker_started(struct checker *ck, const char *host);

/**
 * checker_applied() - a node moved to a version
 * @ck: checker
 * @now_us: virtual time
 * @host: the host
 * @c: what it holds
 * @serving: whether it serves
 */
void checker_applied(struct checker *ck, uint64_t now_us, const char *host,
    const struct catalog *c, int serving);

/** checker_content() - whether what a node holds is whole */
void
checker_content(struct checker *ck, const char *host, const struct catalog *c);

/** checker_snapshot() - whether a node's snapshot is sound */
void checker_snapshot(struct checker *ck, const char *host,
    const struct catalog *c, const struct snapshot *s);

/** checker_ready() - a node begins to serve with @version */
void checker_ready(struct checker *ck, const char *host, uint64_t version);

/** checker_final() - a node in reach holds @version at the end */
void checker_final(struct checker *ck, const char *host, uint64_t version);

/** checker_n_violations() - number of violations */
uint32_t checker_n_violations(const struct checker *ck);

/** checker_first_violation() - the first violation, or "none" */
const char *checker_first_violation(const struct checker *ck);

#endif
