/*
 * One operation of the HTTP store, from its start until the caller's function
 * was called.
 */
#ifndef STORE_CALL_H
#define STORE_CALL_H

#include <glib.h>
#include <jansson.h>

#include "answer.h"
#include "net/http.h"
#include "store/store.h"

struct store_call;

/* The store; base is its first member, so that a struct store can be cast. */
struct http_store {
	struct store base;
	struct http_client *client;
	struct loop *loop;
	char *table_url;
	char *object_url;
	GQueue calls;
};

/** store_end_fn - evaluate the answer and call the caller's function; Return:
 * the status of the operation, for the metrics */
typedef enum status
store_end_fn(struct store_call *call, const struct answer *a);

/*
 * rejected is the status of an operation that was rejected locally; too_large
 * is set if the answer exceeded answer_max_bytes.
 */
struct store_call {
	struct http_store *store;
	GList link;
	struct http_call *http;
	struct loop_task reject_task;
	store_end_fn *end;
	union {
		store_head_fn *head;
		store_versions_fn *versions;
		store_write_fn *write;
		store_object_fn *object;
		store_done_fn *done;
	} fn;
	void *arg;
	bool is_write;
	bool too_large;
	int code;
	enum status rejected;
	uint64_t from;
	uint64_t to;
	uint64_t started_us;
	size_t answer_max_bytes;
	GByteArray *request;
	GByteArray *answer;
};

/** store_register_metrics() - register the metrics of stores */
void store_register_metrics(void);

/**
 * store_call_new() - create an operation
 * @base: the store
 * @end: called with the answer
 * @is_write: whether the operation writes
 * @arg: argument of the caller's function
 */
struct store_call *
store_call_new(struct store *base, store_end_fn *end, bool is_write, void *arg);

/** store_call_free() - free an operation; its HTTP call is cancelled */
void store_call_free(struct store_call *call);

/** store_call_reject() - end an operation without sending a request */
void store_call_reject(struct store_call *call, enum status st);

/**
 * store_call_table() - send a request to the table service
 * @call: the operation
 * @operation: name such as "GetItem"
 * @json: request; ownership is taken
 * @rows: number of rows that the request reads or writes
 * @deadline_ms: monotonic deadline
 */
void store_call_table(struct store_call *call, const char *operation,
    json_t *json, uint32_t rows, uint64_t deadline_ms);

/**
 * store_call_object() - send a request to the object store
 * @call: the operation; its request is the body
 * @method: "GET", or "PUT", which writes only if the object does not exist
 * @key: the object's key
 * @deadline_ms: monotonic deadline
 */
void store_call_object(struct store_call *call, const char *method,
    const char *key, uint64_t deadline_ms);

/** store_call_too_large() - set status and message for an answer above the
 * limit */
enum status store_call_too_large(const struct store_call *call);

#endif
