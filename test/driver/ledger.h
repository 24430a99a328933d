/*
 * Ledger of the test driver: all versions ever signed off, as stored by the
 * platform.
 */
#ifndef DRIVER_LEDGER_H
#define DRIVER_LEDGER_H

#include <stdint.h>

#include <glib.h>

#include "base/hash.h"
#include "proto/messages.h"

/**
 * struct ledger_version - signed-off version
 * @version: version number
 * @root: root digest
 * @list: struct rec_section_ref, sorted by service
 * @changes: struct rec_section_change since the previous version
 * @signed_us: time of the sign-off
 * @halted_us: time of the halt, 0 if not halted
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
 * @head: head row; its seq is 0 before the first sign-off
 * @objects: digest to GBytes: sections and section lists
 * @rng: selects the services that change
 * @services: number of services
 * @revision: counter that makes each content unique
 */
struct ledger {
	GPtrArray *versions;
	struct rec_head head;
	GHashTable *objects;
	GRand *rng;
	uint32_t services;
	uint64_t revision;
};

/** ledger_new() - create an empty ledger for bundles of @services services */
struct ledger *ledger_new(uint32_t services, uint32_t seed);

/** ledger_free() - free a ledger; NULL is ignored */
void ledger_free(struct ledger *l);

/**
 * ledger_sign() - sign off a version
 * @l: the ledger
 * @now_us: virtual time
 * @n_changes: number of service changes; ignored for the first version, in
 *	which all services are new
 *
 * One in eight changes to an existing service removes it; a change to a removed
 * service restores it.
 */
const struct ledger_version *
ledger_sign(struct ledger *l, uint64_t now_us, uint32_t n_changes);

/** ledger_supersede() - sign off a version with the content of the version
 * @older */
const struct ledger_version *
ledger_supersede(struct ledger *l, uint64_t now_us, uint64_t older);

/** ledger_halt() - halt the newest version */
void ledger_halt(struct ledger *l, uint64_t now_us);

/** ledger_version() - find a version; NULL if there is none */
struct ledger_version *ledger_version(const struct ledger *l, uint64_t version);

/** ledger_object() - find an object; NULL if there is none */
GBytes *ledger_object(const struct ledger *l, const struct digest *digest);

/** ledger_bundle_bytes() - total size of the sections of a version */
uint64_t
ledger_bundle_bytes(const struct ledger *l, const struct ledger_version *v);

#endif
