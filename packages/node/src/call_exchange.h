/*
 * Exchange: the state of a call that the server for callers and the entry
 * share: the request, its body, and the answer.
 *
 * Both sides run in the traffic thread.  A change by one side is notified to
 * the other at the end of the loop's iteration, so that callbacks aren't
 * reentrant.  The buffered part of the answer is bounded by the entry, which
 * grants the guard no more credit than the caller has consumed.
 */
#ifndef CALL_EXCHANGE_H
#define CALL_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "net/loop.h"
#include "traffic/traffic_defs.h"

#include "config/customer.h"

#include "body_buffer.h"
#include "call_headers.h"

/* Limit of the buffered part of a request's body. */
#define EXCHANGE_REQUEST_BUFFER_BYTES 131072

/* Length of a body that is not known in advance. */
#define BODY_LENGTH_UNKNOWN (-1)

struct call_exchange;

/**
 * struct call_request - a caller's request; complete before entry_submit()
 * @method: HTTP method
 * @path: path and query as received, owned
 * @headers: headers that are forwarded
 * @host: host of the request's target or Host header, owned, or NULL
 * @id: request id that the caller sent, owned, or NULL
 * @key: Idempotency-Key, owned, or NULL
 * @customer_keys: number of customer keys that the caller sent
 * @customer_key: digest of the key, if there is exactly one
 * @caller: address of the caller
 * @body_bytes: length of the body or BODY_LENGTH_UNKNOWN
 * @deadline_ms: monotonic deadline that the caller sent, or DEADLINE_NEVER
 * @arrived_us: monotonic time at which the head had been read
 */
struct call_request {
	char method[MSG_CALL_OPEN_METHOD_MAX + 1];
	char *path;
	struct call_headers headers;
	char *host;
	char *id;
	char *key;
	uint32_t customer_keys;
	struct customer_key customer_key;
	char caller[MSG_CALL_OPEN_CALLER_MAX + 1];
	int64_t body_bytes;
	uint64_t deadline_ms;
	uint64_t arrived_us;
};

/**
 * struct call_answer - head of the answer to the caller
 * @outcome: outcome of the request
 * @status: HTTP status
 * @headers: headers of the upstream's answer; empty for an answer of the node
 * @body_bytes: length of the body, or BODY_LENGTH_UNKNOWN
 * @version: version of the configuration that placed the call
 * @kind: kind of the error, static; NULL for an upstream's answer
 * @message: cause of the error and its remedy, owned; NULL for an upstream's
 *	answer
 * @retry_after_ms: time until a retry; 0 to send no Retry-After
 */
struct call_answer {
	enum outcome outcome;
	uint32_t status;
	struct call_headers headers;
	int64_t body_bytes;
	uint64_t version;
	const char *kind;
	char *message;
	uint64_t retry_after_ms;
};

/** call_answer_new() - an empty answer; free with call_answer_free() */
struct call_answer *call_answer_new(enum outcome outcome, uint32_t status);

/** call_answer_free() - free an answer; NULL is allowed */
void call_answer_free(struct call_answer *a);

/**
 * enum exchange_end - how a body ended
 * @EXCHANGE_OPEN: more may follow
 * @EXCHANGE_COMPLETE: the whole body was written
 * @EXCHANGE_ABORTED: the body was truncated
 */
enum exchange_end {
	EXCHANGE_OPEN = 0,
	EXCHANGE_COMPLETE,
	EXCHANGE_ABORTED,
};

/** exchange_fn - callback for a change by the other side; @arg is that of the
 * attach function */
typedef void exchange_fn(struct call_exchange *x, void *arg);

/** call_exchange_new() - create an exchange with one reference, the server's */
struct call_exchange *call_exchange_new(struct loop *loop);

/** call_exchange_ref() - take a reference; Return: @x */
struct call_exchange *call_exchange_ref(struct call_exchange *x);

/** call_exchange_unref() - release a reference; the last one frees the
 * exchange */
void call_exchange_unref(struct call_exchange *x);

/** call_exchange_request() - the request; written before entry_submit() only */
struct call_request *call_exchange_request(struct call_exchange *x);

/* Side of the server for callers. */

/** call_exchange_attach_caller() - set the callback for changes by the entry */
void call_exchange_attach_caller(
    struct call_exchange *x, exchange_fn *fn, void *arg);

/** call_exchange_watch_held() - set the callback for changes of
 * call_exchange_held_bytes(); NULL for none */
void
call_exchange_watch_held(struct call_exchange *x, exchange_fn *fn, void *arg);

/** call_exchange_held_bytes() - memory of the bodies, in the exchange and at
 * the entry */
uint64_t call_exchange_held_bytes(const struct call_exchange *x);

/**
 * call_exchange_write_request() - append a piece of the request's body
 * @x: the exchange
 * @data: first byte; copied
 * @len: number of bytes
 *
 * Return: false when EXCHANGE_REQUEST_BUFFER_BYTES are buffered: reading from
 * the caller must be paused until call_exchange_has_room().
 */
bool call_exchange_write_request(
    struct call_exchange *x, const uint8_t *data, size_t len);

/** call_exchange_end_request() - end the request's body */
void call_exchange_end_request(struct call_exchange *x, enum exchange_end end);

/** call_exchange_has_room() - whether the buffer of the request's body is below
 * its limit */
bool call_exchange_has_room(const struct call_exchange *x);

/** call_exchange_is_accepted() - whether the entry reads the request's body */
bool call_exchange_is_accepted(const struct call_exchange *x);

/** call_exchange_answer_head() - head of the answer, borrowed; NULL before it
 * is set */
const struct call_answer *
call_exchange_answer_head(const struct call_exchange *x);

/**
 * call_exchange_peek_answer() - the next buffered bytes of the answer's body
 * @x: the exchange
 * @len: receives the number of bytes
 * @end: how the body ended, EXCHANGE_OPEN while more may follow
 *
 * Return: the bytes, valid until call_exchange_consume_answer(); NULL when none
 * are buffered.
 */
const uint8_t *call_exchange_peek_answer(
    const struct call_exchange *x, size_t *len, enum exchange_end *end);

/** call_exchange_consume_answer() - remove the bytes that were peeked */
void call_exchange_consume_answer(struct call_exchange *x, size_t len);

/** call_exchange_disconnect() - the caller has closed its connection */
void call_exchange_disconnect(struct call_exchange *x);

/* Side of the entry. */

/** call_exchange_attach_entry() - set the callback for changes by the server */
void
call_exchange_attach_entry(struct call_exchange *x, exchange_fn *fn, void *arg);

/**
 * struct exchange_events - changes by the server for callers
 * @request_body_bytes: buffered bytes of the request's body
 * @request_body_end: how the body ended; EXCHANGE_OPEN while more may follow
 * @consumed_bytes: bytes of the answer's body consumed since the last poll
 * @disconnected: the caller has closed its connection
 */
struct exchange_events {
	uint32_t request_body_bytes;
	enum exchange_end request_body_end;
	uint32_t consumed_bytes;
	bool disconnected;
};

/** call_exchange_accept() - start reading the request's body */
void call_exchange_accept(struct call_exchange *x);

/** call_exchange_poll() - get the changes since the last poll */
void
call_exchange_poll(struct call_exchange *x, struct exchange_events *events);

/**
 * call_exchange_read_request() - move a part of the request's body
 * @x: the exchange
 * @to: receives the bytes at its end
 *
 * Return: the number of bytes, 0 when none are buffered.
 */
size_t
call_exchange_read_request(struct call_exchange *x, struct body_buffer *to);

/**
 * call_exchange_begin_answer() - set the head of the answer
 * @x: the exchange
 * @a: the head; ownership passes to the exchange
 * @body: the beginning of the body, moved to the exchange; or NULL
 * @end: EXCHANGE_COMPLETE when @body is the whole body, EXCHANGE_OPEN when
 *	more follows
 */
void call_exchange_begin_answer(struct call_exchange *x, struct call_answer *a,
    struct body_buffer *body, enum exchange_end end);

/** call_exchange_write_answer() - append a copy of a part of the answer's body
 */
void call_exchange_write_answer(
    struct call_exchange *x, const uint8_t *data, size_t len);

/** call_exchange_end_answer() - end the answer's body */
void call_exchange_end_answer(struct call_exchange *x, enum exchange_end end);

/** call_exchange_set_entry_held() - set what the entry holds of the bodies */
void call_exchange_set_entry_held(struct call_exchange *x, uint64_t bytes);

/** call_exchange_set_entry_data() - attach the entry's state of the call
 */
void call_exchange_set_entry_data(struct call_exchange *x, void *entry_data);

/** call_exchange_entry_data() - the entry's state of the call, or NULL */
void *call_exchange_entry_data(const struct call_exchange *x);

#endif
