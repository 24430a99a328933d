/*
 * Merging of received records into the table.
 */
#ifndef MEMBERSHIP_MERGE_H
#define MEMBERSHIP_MERGE_H

#include "record.h"

/**
 * enum merge_source - how records were received
 * @MERGE_NEWS: gossiped by a peer
 * @MERGE_TABLE: part of a table that this node requested
 * @MERGE_COMPARED: missing here, as found by a comparison of tables; not
 *	gossiped, since the other nodes compare as well
 */
enum merge_source {
	MERGE_NEWS,
	MERGE_TABLE,
	MERGE_COMPARED,
};

/* Merges records that host @sender sent. */
void merge_records(struct membership *m, const char *sender,
    enum merge_source source, const struct rec_member *records, uint32_t n);

/*
 * Whether this node's view of its own data centre takes precedence over that of
 * other data centres.
 */
int merge_is_authority(const struct membership *m);

/* Raises the own incarnation above @above and gossips the own record. */
void merge_refute(struct membership *m, uint64_t above);

/*
 * As merge_refute(), for a record of an earlier process of this host: by a
 * margin for changes that the record lacks.
 */
void merge_supersede(struct membership *m, uint64_t above);

/* Whether (incarnation, state) a supersedes b. */
int merge_newer(uint64_t incarnation_a, enum member_state state_a,
    uint64_t incarnation_b, enum member_state state_b);

#endif
