/*
 * Records: encoded form of hosts in messages.
 */
#ifndef MEMBERSHIP_RECORD_H
#define MEMBERSHIP_RECORD_H

#include "table.h"

/* Most bytes of a datagram, type byte included; fits the MTU of any path. */
#define DATAGRAM_BYTES 1200

/* Bytes of a datagram that are reserved for everything but the records. */
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

/* Whether the fields of a received record are valid. */
int record_valid(const struct rec_member *rec);

/* Fills @rec from a row; free with record_clear(). */
void record_fill(const struct row *r, struct rec_member *rec);
void record_clear(struct rec_member *rec);

/* Most bytes that a row takes encoded. */
uint32_t record_bytes(const struct row *r);

/* Copies into the row the fields that only the record's own host sets. */
void record_apply(struct table *t, struct row *r, const struct rec_member *rec);

/* Control address of the record's host. */
struct net_addr record_addr(const struct rec_member *rec);

/* Adds a row; returns 0 when the batch is full. */
int batch_add(struct batch *b, const struct row *r);
void batch_clear(struct batch *b);

#endif
