/*
 * A call as the server for callers and the entry share it: the request, the
 * request's body on its way up, and the answer on its way down.
 *
 * Both live in the traffic thread.  What one side does is told to the other
 * at the end of the turn, so that neither is called from within its own call.
 * What waits for the caller is bounded by the entry, which takes no more from
 * the guard than the caller has consumed.
 */
#ifndef CALL_EXCHANGE_H
#define CALL_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "net/loop.h"
#include "traffic/traffic_defs.h"

#include "call_headers.h"

/* Most bytes of a request's body that wait for the entry. */
#define EXCHANGE_REQUEST_BUFFER_BYTES 131072

/* Length of a body that is not known in advance. */
#define BODY_LENGTH_UNKNOWN (-1)

struct call_exchange;

/**
 * struct call_request - what a caller asked for; set before the submit
 * @method: HTTP method
 * @path: path and query as they came, owned
 * @headers: headers that are passed on
 * @host: host that the caller named, owned, or NULL
 * @id: the caller's own name of the request, owned, or NULL
 * @key: Idempotency-Key, owned, or NULL
 * @caller: address of the caller
 * @body_bytes: length of the body or BODY_LENGTH_UNKNOWN
 * @deadline_ms: monotonic deadline that the caller named, or DEADLINE_NEVER
 * @arrived_us: monotonic time when the request had been read
 */
struct call_request {
	char method[MSG_CALL_OPEN_METHOD_MAX + 1];
	char *path;
	struct call_headers headers;
	char *host;
	char *id;
	char *key;
	char caller[MSG_CALL_OPEN_CALLER_MAX + 1];
	int64_t body_bytes;
	uint64_t deadline_ms;
	uint64_t arrived_us;
};

/**
 * struct call_answer - the head of what the caller is told
 * @outcome: fate of the request
 * @status: HTTP status
 * @headers: headers of the upstream's answer; empty when the node answers
 * @body_bytes: length of the body, or BODY_LENGTH_UNKNOWN
 * @version: version of the configuration that placed the call
 * @kind: for an answer of the node itself: kind of the error, static
 * @message: and what went wrong with its remedy, owned; NULL when an upstream
 *	answered
 * @retry_after_ms: when to come back, 0 when it makes no sense
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

/** call_answer_free() - free it; NULL is allowed */
void call_answer_free(struct call_answer *a);

/**
 * enum exchange_end - how a body ended
 * @EXCHANGE_OPEN: it goes on
 * @EXCHANGE_COMPLETE: all of it was put in
 * @EXCHANGE_ABORTED: it broke off
 */
enum exchange_end {
	EXCHANGE_OPEN = 0,
	EXCHANGE_COMPLETE,
	EXCHANGE_ABORTED,
};

/** exchange_fn - the other side has done something; look what it is */
typedef void exchange_fn(struct call_exchange *x, void *arg);

/** call_exchange_new() - a new exchange with one reference, the server's */
struct call_exchange *call_exchange_new(struct loop *loop);

/** call_exchange_ref() - take a reference; Return: @x */
struct call_exchange *call_exchange_ref(struct call_exchange *x);

/** call_exchange_unref() - give a reference back */
void call_exchange_unref(struct call_exchange *x);

/** call_exchange_request() - the request; written before the submit only */
struct call_request *call_exchange_request(struct call_exchange *x);

/* The side of the server for callers. */

/** call_exchange_attach_caller() - whom to tell of the entry's doings */
void call_exchange_attach_caller(
    struct call_exchange *x, exchange_fn *fn, void *arg);

/**
 * call_exchange_write_request() - put in a piece of the request's body
 * @x: the exchange
 * @data: first byte; copied
 * @len: number of bytes
 *
 * Return: false when EXCHANGE_REQUEST_BUFFER_BYTES wait, so that the caller is
 * to be held back until call_exchange_has_room().
 */
bool call_exchange_write_request(
    struct call_exchange *x, const uint8_t *data, size_t len);

/** call_exchange_end_request() - the request's body has ended */
void call_exchange_end_request(struct call_exchange *x, enum exchange_end end);

/** call_exchange_has_room() - whether more of the body is taken */
bool call_exchange_has_room(const struct call_exchange *x);

/** call_exchange_is_accepted() - whether the entry wants the body */
bool call_exchange_is_accepted(const struct call_exchange *x);

/** call_exchange_answer_head() - head of the answer, or NULL; stays here */
const struct call_answer *
call_exchange_answer_head(const struct call_exchange *x);

/**
 * call_exchange_read_answer() - take a piece of the answer's body
 * @x: the exchange
 * @end: how the body ended, when there is no more
 *
 * Return: a piece, whose reference the caller owns; NULL when there is none
 * now (@end is EXCHANGE_OPEN) or any more.
 */
GBytes *
call_exchange_read_answer(struct call_exchange *x, enum exchange_end *end);

/** call_exchange_disconnect() - the caller is gone */
void call_exchange_disconnect(struct call_exchange *x);

/* The entry's side. */

/** call_exchange_attach_entry() - whom to tell of the caller's doings */
void
call_exchange_attach_entry(struct call_exchange *x, exchange_fn *fn, void *arg);

/**
 * struct exchange_events - what happened at the caller's side
 * @request_body_bytes: bytes of the request's body that wait
 * @request_body_end: how it ended; EXCHANGE_OPEN while more may come
 * @consumed_bytes: bytes of the answer's body consumed since the last look
 * @disconnected: the caller is gone
 */
struct exchange_events {
	uint32_t request_body_bytes;
	enum exchange_end request_body_end;
	uint32_t consumed_bytes;
	bool disconnected;
};

/** call_exchange_accept() - the body of the request is wanted */
void call_exchange_accept(struct call_exchange *x);

/** call_exchange_poll() - what happened since the last look */
void
call_exchange_poll(struct call_exchange *x, struct exchange_events *events);

/**
 * call_exchange_read_request() - take a piece of the request's body
 *
 * Return: a piece, whose reference the caller owns; NULL when none waits.
 */
GBytes *call_exchange_read_request(struct call_exchange *x);

/**
 * call_exchange_begin_answer() - give the head of the answer
 * @x: the exchange
 * @a: the head; taken over
 * @pieces: GBytes, the beginning of the body, which are moved; or NULL
 * @end: EXCHANGE_COMPLETE when that is all, EXCHANGE_OPEN when more will come
 */
void call_exchange_begin_answer(struct call_exchange *x, struct call_answer *a,
    GQueue *pieces, enum exchange_end end);

/** call_exchange_write_answer() - give a piece of the body; the reference is
 * taken */
void call_exchange_write_answer(struct call_exchange *x, GBytes *piece);

/** call_exchange_end_answer() - the answer's body has ended */
void call_exchange_end_answer(struct call_exchange *x, enum exchange_end end);

/** call_exchange_set_entry_data() - remember what the entry keeps on the call
 */
void call_exchange_set_entry_data(struct call_exchange *x, void *entry_data);

/** call_exchange_entry_data() - what was set, or NULL */
void *call_exchange_entry_data(const struct call_exchange *x);

#endif
