/*
 * Merging what peers tell into the table.
 */
#ifndef MEMBERSHIP_MERGE_H
#define MEMBERSHIP_MERGE_H

#include "record.h"

/**
 * enum merge_source - how records came
 * @MERGE_NEWS: passed on by a peer
 * @MERGE_TABLE: part of a table that this node asked for
 * @MERGE_COMPARED: a peer found that this node lacks it; not passed on, since
 *	the others compare as well
 */
enum merge_source {
	MERGE_NEWS,
	MERGE_TABLE,
	MERGE_COMPARED,
};

/* Merge records that @sender told; @sender is a host's name. */
void merge_records(struct membership *m, const char *sender,
    enum merge_source source, const struct rec_member *records, uint32_t n);

/*
 * Whether this node's word on who is in the own data centre goes before
 * that of other data centres.
 */
int merge_is_authority(const struct membership *m);

/* Raise the own incarnation above @above and tell peers. */
void merge_refute(struct membership *m, uint64_t above);

/* The same for a record of an earlier process of this host. */
void merge_supersede(struct membership *m, uint64_t above);

/* Whether (incarnation, state) a goes before b. */
int merge_newer(uint64_t incarnation_a, enum member_state state_a,
    uint64_t incarnation_b, enum member_state state_b);

#endif
