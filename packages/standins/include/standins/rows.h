/*
 * In-memory table service of the stand-in platform, a subset of the DynamoDB
 * JSON protocol.  It has one table, "bramley", with the key attribute "pk". Not
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
 * enum rows_op - supported operations
 */
enum rows_op {
	ROWS_OP_GET,
	ROWS_OP_BATCH_GET,
	ROWS_OP_TRANSACT_WRITE,
	ROWS_OP_UNKNOWN,
};

/**
 * struct rows_response - response to an operation
 * @code: HTTP status
 * @body: JSON body; owned by the caller
 */
struct rows_response {
	int code;
	json_t *body;
};

/** rows_new() - create an empty table */
struct rows *rows_new(void);

/** rows_copy() - copy a table; free with rows_free() */
struct rows *rows_copy(const struct rows *t);

/** rows_missing() - array of the rows of a table whose keys another one lacks
 */
json_t *rows_missing(const struct rows *t, const struct rows *other);

/** rows_free() - free a table and its rows */
void rows_free(struct rows *t);

/** rows_count() - number of rows */
size_t rows_count(const struct rows *t);

/**
 * rows_op_parse() - operation named by the X-Amz-Target header
 * @target: value of the header, or NULL
 */
enum rows_op rows_op_parse(const char *target);

/**
 * rows_capacity() - capacity units that a request consumes
 * @op: the operation
 * @req: the request
 *
 * Return: the number of rows that the request reads or writes, at least 1.
 */
uint32_t rows_capacity(enum rows_op op, const json_t *req);

/**
 * rows_apply() - execute a request
 * @t: the table
 * @op: the operation
 * @req: the request; NULL if it is not JSON
 * @resp: set to the response
 *
 * Transactions are atomic.
 */
void rows_apply(struct rows *t, enum rows_op op, const json_t *req,
    struct rows_response *resp);

/**
 * rows_error() - create an error response of the published protocol
 * @code: HTTP status
 * @kind: error type, such as "ValidationException"
 * @message: text of the error
 * @resp: set to the response
 */
void rows_error(int code, const char *kind, const char *message,
    struct rows_response *resp);

#endif
