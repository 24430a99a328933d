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
#define EXCHANGE_UP_BYTES 131072

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
 * @EXCHANGE_WHOLE: all of it was put in
 * @EXCHANGE_CUT: it broke off
 */
enum exchange_end {
	EXCHANGE_OPEN = 0,
	EXCHANGE_WHOLE,
	EXCHANGE_CUT,
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
 * call_exchange_put() - put in a piece of the request's body
 * @x: the exchange
 * @data: first byte; copied
 * @len: number of bytes
 *
 * Return: false when EXCHANGE_UP_BYTES wait, so that the caller is to be held
 * back until call_exchange_has_room().
 */
bool
call_exchange_put(struct call_exchange *x, const uint8_t *data, size_t len);

/** call_exchange_put_end() - the request's body has ended */
void call_exchange_put_end(struct call_exchange *x, enum exchange_end end);

/** call_exchange_has_room() - whether more of the body is taken */
bool call_exchange_has_room(const struct call_exchange *x);

/** call_exchange_accepted() - whether the entry wants the body */
bool call_exchange_accepted(const struct call_exchange *x);

/** call_exchange_answered() - head of the answer, or NULL; stays here */
const struct call_answer *call_exchange_answered(const struct call_exchange *x);

/**
 * call_exchange_get() - take a piece of the answer's body
 * @x: the exchange
 * @end: how the body ended, when there is no more
 *
 * Return: a piece, whose reference the caller owns; NULL when there is none
 * now (@end is EXCHANGE_OPEN) or any more.
 */
GBytes *call_exchange_get(struct call_exchange *x, enum exchange_end *end);

/** call_exchange_hang_up() - the caller is gone */
void call_exchange_hang_up(struct call_exchange *x);

/* The entry's side. */

/** call_exchange_attach_entry() - whom to tell of the caller's doings */
void
call_exchange_attach_entry(struct call_exchange *x, exchange_fn *fn, void *arg);

/**
 * struct exchange_news - what happened at the caller's side
 * @up_bytes: bytes of the request's body that wait
 * @up_end: how it ended; EXCHANGE_OPEN while more may come
 * @consumed_bytes: bytes of the answer's body consumed since the last look
 * @gone: the caller is gone
 */
struct exchange_news {
	uint32_t up_bytes;
	enum exchange_end up_end;
	uint32_t consumed_bytes;
	bool gone;
};

/** call_exchange_accept() - the body of the request is wanted */
void call_exchange_accept(struct call_exchange *x);

/** call_exchange_look() - what happened since the last look */
void call_exchange_look(struct call_exchange *x, struct exchange_news *news);

/**
 * call_exchange_take() - take a piece of the request's body
 *
 * Return: a piece, whose reference the caller owns; NULL when none waits.
 */
GBytes *call_exchange_take(struct call_exchange *x);

/**
 * call_exchange_answer() - give the head of the answer
 * @x: the exchange
 * @a: the head; taken over
 * @pieces: GBytes, the beginning of the body, which are moved; or NULL
 * @end: EXCHANGE_WHOLE when that is all, EXCHANGE_OPEN when more will come
 */
void call_exchange_answer(struct call_exchange *x, struct call_answer *a,
    GQueue *pieces, enum exchange_end end);

/** call_exchange_give() - give a piece of the body; the reference is taken */
void call_exchange_give(struct call_exchange *x, GBytes *piece);

/** call_exchange_finish() - the answer's body has ended */
void call_exchange_finish(struct call_exchange *x, enum exchange_end end);

/** call_exchange_bind() - remember what the entry keeps on the call */
void call_exchange_bind(struct call_exchange *x, void *bound);

/** call_exchange_bound() - what was bound, or NULL */
void *call_exchange_bound(const struct call_exchange *x);

#endif
