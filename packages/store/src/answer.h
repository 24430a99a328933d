/*
 * What an answer of the platform means.
 *
 * The rule for writes: only an answer that the platform itself gives in its
 * documented form says that nothing was written.  Anything else, from a
 * broken connection to an answer of something in between, leaves it open.
 */
#ifndef STORE_ANSWER_H
#define STORE_ANSWER_H

#include <jansson.h>

#include "net/http.h"
#include "store/store.h"

/**
 * struct answer - an answer, or what there is in place of one
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
 * answer_to_read() - meaning of an answer to a read of the table
 * @a: the answer
 * @json: where the body goes; to be released by the caller; NULL unless
 *	STATUS_OK
 *
 * Return: STATUS_OK or STATUS_UNAVAILABLE.
 */
enum status answer_to_read(const struct answer *a, json_t **json);

/**
 * answer_to_write() - meaning of an answer to a transaction
 * @a: the answer
 * @conflict: which condition failed when it is STATUS_CONFLICT
 *
 * Return: a status of a write; see store/store.h.
 */
enum status
answer_to_write(const struct answer *a, enum store_conflict *conflict);

/** answer_to_get() - meaning of an answer to a read of an object */
enum status answer_to_get(const struct answer *a);

/** answer_to_put() - meaning of an answer to a write of an object */
enum status answer_to_put(const struct answer *a);

#endif
