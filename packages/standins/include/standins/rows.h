/*
 * The table of the stand-in platform: a subset of the DynamoDB JSON protocol
 * in memory.  One table "bramley" with the key attribute "pk".  Not
 * thread-safe; the caller holds a lock.
 */
#ifndef STANDINS_ROWS_H
#define STANDINS_ROWS_H

#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#define ROWS_TABLE "bramley"
#define ROWS_KEY "pk"

/* Limits of the published protocol. */
#define ROWS_BATCH_MAX 100
#define ROWS_ITEM_MAX_BYTES (400 * 1024)

struct rows;

/**
 * enum rows_op - operations of the subset
 */
enum rows_op {
	ROWS_OP_GET,
	ROWS_OP_BATCH_GET,
	ROWS_OP_TRANSACT_WRITE,
	ROWS_OP_UNKNOWN,
};

/**
 * struct rows_response - outcome of an operation
 * @code: HTTP status
 * @body: JSON answer; owned by the receiver
 */
struct rows_response {
	int code;
	json_t *body;
};

/** rows_new() - an empty table */
struct rows *rows_new(void);

/** rows_free() - free a table and its rows */
void rows_free(struct rows *t);

/** rows_count() - number of rows */
size_t rows_count(const struct rows *t);

/**
 * rows_op_parse() - operation named by the X-Amz-Target header
 * @target: the header's value, or NULL
 */
enum rows_op rows_op_parse(const char *target);

/**
 * rows_capacity() - capacity that a request takes
 * @op: the operation
 * @req: the request
 *
 * Return: the number of rows it reads or writes, at least 1.
 */
uint32_t rows_capacity(enum rows_op op, const json_t *req);

/**
 * rows_apply() - run one request
 * @t: the table
 * @op: the operation
 * @req: the request; NULL when it was no JSON
 * @resp: where the answer goes
 *
 * A transaction takes effect whole or not at all.
 */
void rows_apply(struct rows *t, enum rows_op op, const json_t *req,
    struct rows_response *resp);

/**
 * rows_error() - an error as the protocol publishes it
 * @code: HTTP status
 * @kind: name such as "ValidationException"
 * @message: text
 * @resp: where the answer goes
 */
void rows_error(int code, const char *kind, const char *message,
    struct rows_response *resp);

#endif
