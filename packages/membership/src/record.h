/*
 * Records: hosts as they stand in messages.
 */
#ifndef MEMBERSHIP_RECORD_H
#define MEMBERSHIP_RECORD_H

#include "table.h"

/* Most bytes of a datagram, type byte included: fits any path's MTU. */
#define DATAGRAM_BYTES 1200

/* Bytes of a datagram that are kept for all but the records. */
#define DATAGRAM_RESERVED_BYTES 144

/* Most records in a datagram; the smallest has some 40 bytes. */
#define BATCH_MAX 28

/**
 * struct batch - records for one datagram
 * @records: the records
 * @n: number of @records
 * @bytes: most bytes that they take encoded
 */
struct batch {
	struct rec_member records[BATCH_MAX];
	uint32_t n;
	uint32_t bytes;
};

/* Whether a peer's record makes sense. */
int record_valid(const struct rec_member *rec);

/* Fill @rec from a row; free with record_clear(). */
void record_fill(const struct row *r, struct rec_member *rec);
void record_clear(struct rec_member *rec);

/* Most bytes that a row takes encoded. */
uint32_t record_bytes(const struct row *r);

/* Take all that its own host writes over into the row. */
void record_apply(struct table *t, struct row *r, const struct rec_member *rec);

/* Where a record's host listens for control. */
struct net_addr record_addr(const struct rec_member *rec);

/* Add a row; 0 when the batch is full. */
int batch_add(struct batch *b, const struct row *r);
void batch_clear(struct batch *b);

#endif
