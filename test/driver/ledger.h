/*
 * Ledger of the test driver: all versions that were ever signed off, as the
 * platform holds them.
 */
#ifndef DRIVER_LEDGER_H
#define DRIVER_LEDGER_H

#include <stdint.h>

#include <glib.h>

#include "base/hash.h"
#include "proto/messages.h"

/**
 * struct ledger_version - a version that was signed off
 * @version: its number
 * @root: its root
 * @list: struct rec_section_ref, sorted by service
 * @changes: struct rec_section_change since the version before
 * @signed_us: when it was signed off
 * @halted_us: when it was halted, 0 if it was not
 */
struct ledger_version {
	uint64_t version;
	struct digest root;
	GArray *list;
	GArray *changes;
	uint64_t signed_us;
	uint64_t halted_us;
};

/**
 * struct ledger - all versions
 * @versions: struct ledger_version; the first is version 1
 * @head: head row, seq 0 before the first sign-off
 * @objects: digest to GBytes, sections and lists
 * @rng: which services change
 * @services: number of services
 * @revision: makes each content different
 */
struct ledger {
	GPtrArray *versions;
	struct rec_head head;
	GHashTable *objects;
	GRand *rng;
	uint32_t services;
	uint64_t revision;
};

/** ledger_new() - an empty ledger of bundles with some services */
struct ledger *ledger_new(uint32_t services, uint32_t seed);

/** ledger_free() - free a ledger; NULL is ignored */
void ledger_free(struct ledger *l);

/**
 * ledger_sign() - sign a version off
 * @l: the ledger
 * @now_us: virtual time
 * @n_changes: services that change; the first version has all services new
 *
 * One in eight changes takes a service away or brings it back.
 */
const struct ledger_version *
ledger_sign(struct ledger *l, uint64_t now_us, uint32_t n_changes);

/** ledger_supersede() - sign a version off that has an older one's content */
const struct ledger_version *
ledger_supersede(struct ledger *l, uint64_t now_us, uint64_t older);

/** ledger_halt() - halt the newest version */
void ledger_halt(struct ledger *l, uint64_t now_us);

/** ledger_version() - a version, or NULL */
struct ledger_version *ledger_version(const struct ledger *l, uint64_t version);

/** ledger_object() - an object, or NULL */
GBytes *ledger_object(const struct ledger *l, const struct digest *digest);

/** ledger_bundle_bytes() - content of all sections of a version */
uint64_t
ledger_bundle_bytes(const struct ledger *l, const struct ledger_version *v);

#endif
