/*
 * Checker of the test driver: invariants, checked throughout every run.
 *
 * - A host never goes back to a version older than one that it held, also
 *   across restarts: each version applied is higher than the one before, and a
 *   host that starts to serve holds at least the highest version that it ever
 *   held.
 * - Atomicity: a node holds exactly one version that was signed off, verified
 *   by its root, which is recomputed from the services and their contents.
 * - No route without its service: the snapshot compiled from the configuration
 *   is valid and has no service or endpoint list that the configuration lacks.
 * - A halted version is not applied after the halt, except by a host that
 *   already held it.
 * - At the end every reachable node holds the version in force, or a halted one
 *   that it held before.
 */
#ifndef DRIVER_CHECKER_H
#define DRIVER_CHECKER_H

#include <stdint.h>

#include <glib.h>

#include "config/catalog.h"
#include "config/snapshot.h"
#include "ledger.h"

/* Time within which a halt must have reached every node. */
#define CHECKER_HALT_US UINT64_C(5000000)

/**
 * struct checker - state of the hosts under check
 * @ledger: versions signed off; borrowed
 * @max_version: host name to the highest version that the host ever held, boxed
 * @process_version: host name to the version that the current process holds,
 *	boxed
 * @violations: description of each violation
 */
struct checker {
	const struct ledger *ledger;
	GHashTable *max_version;
	GHashTable *process_version;
	GPtrArray *violations;
};

/** checker_new() - create a checker for nodes that hold versions of @ledger */
struct checker *checker_new(const struct ledger *ledger);

/** checker_free() - free a checker; NULL is ignored */
void checker_free(struct checker *ck);

/** checker_started() - record that a process started on a host */
void checker_started(struct checker *ck, const char *host);

/**
 * checker_applied() - check a version that a node has applied
 * @ck: checker
 * @now_us: virtual time
 * @host: name of the host
 * @c: configuration that the node holds now
 * @serving: whether the node serves
 */
void checker_applied(struct checker *ck, uint64_t now_us, const char *host,
    const struct catalog *c, int serving);

/** checker_content() - check that a node's configuration is complete */
void
checker_content(struct checker *ck, const char *host, const struct catalog *c);

/** checker_snapshot() - check that a node's snapshot is valid */
void checker_snapshot(struct checker *ck, const char *host,
    const struct catalog *c, const struct snapshot *s);

/** checker_ready() - check the @version with which a node starts to serve */
void checker_ready(struct checker *ck, const char *host, uint64_t version);

/** checker_final() - check the @version that a reachable node holds at the
 * end */
void checker_final(struct checker *ck, const char *host, uint64_t version);

/** checker_n_violations() - number of violations */
uint32_t checker_n_violations(const struct checker *ck);

/** checker_first_violation() - the first violation, or "none" */
const char *checker_first_violation(const struct checker *ck);

#endif
