/*
 * Table of all hosts, by name and by data centre, with its digests.
 */
#ifndef MEMBERSHIP_TABLE_H
#define MEMBERSHIP_TABLE_H

#include "internal.h"

/* Whether a row is failed by this node's guess alone; see join.c. */
static inline int
row_is_presumed_failed(const struct row *r)
{
	return r->unconfirmed && r->member.state == MEMBER_FAILED;
}

/* Prepare an empty table; free with table_clear(). */
void table_init(struct table *t);
void table_clear(struct table *t);

/* The data centre of this name, or NULL. */
struct dc *table_dc(const struct table *t, const char *name);

/* The same, added when it is new; NULL when there are too many. */
struct dc *table_dc_add(struct table *t, const char *name);

/* The host of this name, or NULL. */
struct row *table_row(const struct table *t, const char *host);

/* Add a host that is not there yet. */
struct row *table_add(struct table *t, const char *host, struct dc *dc,
    uint64_t incarnation, enum member_state state);

/* Take a host out and free it; it must not be queued as news. */
void table_remove(struct table *t, struct row *r);

/* Hash of a host with its incarnation and start, as the digests sum it. */
uint64_t table_row_hash(const struct row *r);

/* Set what the digests are over. */
void table_set(struct table *t, struct row *r, uint64_t incarnation,
    enum member_state state);

/* Set the start of a host's process; it is part of the digests too. */
void table_set_started(struct table *t, struct row *r, uint64_t started_ms);

/* Set a host's endpoints; names of services are kept once. */
void table_set_endpoints(struct table *t, struct row *r,
    const struct rec_endpoint *endpoints, uint32_t n);

/* Set the end of a suspicion or tombstone, or DEADLINE_NEVER. */
void table_set_expiry(struct table *t, struct row *r, uint64_t expires_ms);

/* A random row of @dc other than @exclude in one of @states, or NULL. */
struct row *table_random(struct membership *m, const struct dc *dc,
    const struct row *exclude, uint32_t states);

#endif
