/*
 * Table of all hosts, by name and by data centre, with its digests.
 */
#ifndef MEMBERSHIP_TABLE_H
#define MEMBERSHIP_TABLE_H

#include "internal.h"

/*
 * Whether a row is failed only because a peer did not confirm the host after a
 * freeze; see fail_unconfirmed() in join.c.
 */
static inline int
row_is_presumed_failed(const struct row *r)
{
	return r->unconfirmed && r->member.state == MEMBER_FAILED;
}

/* Initializes an empty table; free with table_clear(). */
void table_init(struct table *t);
void table_clear(struct table *t);

/* The data centre of this name, or NULL. */
struct dc *table_dc(const struct table *t, const char *name);

/* The data centre of this name, added if new; NULL at DATA_CENTRES_MAX. */
struct dc *table_dc_add(struct table *t, const char *name);

/* The host of this name, or NULL. */
struct row *table_row(const struct table *t, const char *host);

/* Adds a host that is not in the table. */
struct row *table_add(struct table *t, const char *host, struct dc *dc,
    uint64_t incarnation, enum member_state state);

/* Removes a host and frees its row, which must not be in the gossip queue. */
void table_remove(struct table *t, struct row *r);

/* Hash of a host with its incarnation and start, as summed by the digests. */
uint64_t table_row_hash(const struct row *r);

/* Sets the incarnation and state of a host and updates the digests. */
void table_set(struct table *t, struct row *r, uint64_t incarnation,
    enum member_state state);

/* Sets the start of a host's process and updates the digests. */
void table_set_started(struct table *t, struct row *r, uint64_t started_ms);

/* Sets a host's endpoints; names of services and versions are interned. */
void table_set_endpoints(struct table *t, struct row *r,
    const struct rec_endpoint *endpoints, uint32_t n);

/* Sets the expiry of a suspicion or tombstone, or DEADLINE_NEVER. */
void table_set_expiry(struct table *t, struct row *r, uint64_t expires_ms);

/* A random row of @dc other than @exclude in one of @states, or NULL. */
struct row *table_random(struct membership *m, const struct dc *dc,
    const struct row *exclude, uint32_t states);

#endif
