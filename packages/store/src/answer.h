/*
 * Maps answers of the platform to statuses.
 *
 * Rule for writes: only a documented error answer of the platform itself
 * proves that nothing was written. After anything else, from a broken
 * connection to an answer of an intermediary, the outcome of the write is
 * unknown.
 */
#ifndef STORE_ANSWER_H
#define STORE_ANSWER_H

#include <jansson.h>

#include "net/http.h"
#include "store/store.h"

/**
 * struct answer - an answer, or the failure to get one
 * @http: how the call ended
 * @body: body
 * @len: length of @body
 */
struct answer {
	struct http_result http;
	const uint8_t *body;
	size_t len;
};

/**
 * answer_to_read() - status of a read of the table
 * @a: the answer
 * @json: set to the body, to be released by the caller; NULL unless STATUS_OK
 *
 * Return: STATUS_OK or STATUS_UNAVAILABLE.
 */
enum status answer_to_read(const struct answer *a, json_t **json);

/**
 * answer_to_write() - status of a transaction
 * @a: the answer
 * @conflict: set to the condition that failed, for STATUS_CONFLICT
 *
 * Return: a status of a write; see store/store.h.
 */
enum status
answer_to_write(const struct answer *a, enum store_conflict *conflict);

/** answer_to_get() - status of a read of an object */
enum status answer_to_get(const struct answer *a);

/** answer_to_put() - status of a write of an object */
enum status answer_to_put(const struct answer *a);

#endif
