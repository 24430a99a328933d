/*
 * Idempotency keys at the guard: requests with the same key run once within
 * the window, also when they arrive through different entries.
 *
 * The home of a key is the endpoint of the service that ranks first for the
 * key by rendezvous hashing.  docs/design/idempotency.md describes the
 * guarantees.
 */
#ifndef TRAFFIC_KEYED_H
#define TRAFFIC_KEYED_H

#include <stdbool.h>
#include <stddef.h>

#include "traffic/traffic_defs.h"

/**
 * struct keyed_config - limits and mode
 * @window_ms: how long a key is kept after its request has ended
 * @propagation_ms: longest time until a change of the endpoints has reached all
 *	nodes; earlier homes are kept for this time plus the window
 * @keys_max: maximum number of keys; above it requests with new keys are
 *	refused
 * @claim_always: claim each key in the platform's table before its request
 *	runs
 */
struct keyed_config {
	uint64_t window_ms;
	uint64_t propagation_ms;
	size_t keys_max;
	bool claim_always;
};

/**
 * enum keyed_verdict - how to handle a request with a key
 * @KEYED_RUN: first request with its key: offer it to admission
 * @KEYED_FOLLOW: an earlier request has the key, and this request shares its
 *	fate, see fate_follow() and keyed_decision.first
 * @KEYED_ASK_HOME: query the endpoint keyed_decision.ask, which was the key's
 *	home within the window (keyed_hand_over() there), then call
 *	keyed_home_answered()
 * @KEYED_CLAIM: claim the key in the platform's table, then call
 *	keyed_claimed()
 * @KEYED_NOT_HOME: this endpoint is not the home in this node's view: not_run
 * @KEYED_UNSETTLED: an earlier request with this key may have run, and no
 *	process can confirm or exclude that: unknown, retry after
 *	keyed_decision.retry_after_ms
 * @KEYED_FULL: the table of keys is full: not_run
 * @KEYED_BODY_MISMATCH: the key is in use for a different request: not_run
 */
enum keyed_verdict {
	KEYED_RUN = 0,
	KEYED_FOLLOW,
	KEYED_ASK_HOME,
	KEYED_CLAIM,
	KEYED_NOT_HOME,
	KEYED_UNSETTLED,
	KEYED_FULL,
	KEYED_BODY_MISMATCH,
};

/** keyed_verdict_name() - short name for logs */
const char *keyed_verdict_name(enum keyed_verdict v);

/** struct key_id - 128-bit hash of service and key */
struct key_id {
	uint64_t high;
	uint64_t low;
};

/** key_id_make() - hash of a service's key */
void key_id_make(
    struct key_id *id, uint64_t service, const void *key, size_t key_len);

/**
 * keyed_home() - home of a key
 * @key: the key
 * @endpoints: the service's ready endpoints
 * @n: number of @endpoints
 *
 * Return: the endpoint that ranks first, 0 when @n is 0.
 */
uint64_t
keyed_home(const struct key_id *key, const uint64_t *endpoints, size_t n);

/**
 * struct keyed_decision - decision on a request
 * @verdict: how to handle the request
 * @first: FOLLOW: the request that has the key
 * @ask: ASK_HOME: the earlier home to query
 * @retry_after_ms: UNSETTLED: time in ms after which the key can be settled at
 *	the latest
 */
struct keyed_decision {
	enum keyed_verdict verdict;
	struct request_id first;
	uint64_t ask;
	uint64_t retry_after_ms;
};

struct keyed;

/**
 * keyed_new() - create the key table of one service at one endpoint
 * @cfg: limits; copied
 * @self: the own endpoint
 * @now_ms: monotonic time
 */
struct keyed *
keyed_new(const struct keyed_config *cfg, uint64_t self, uint64_t now_ms);

/** keyed_free() - free the table */
void keyed_free(struct keyed *k);

/**
 * keyed_set_view() - set the service's endpoints from this node's snapshot
 * @k: the keys
 * @endpoints: the ready endpoints; the own one may be missing
 * @n: number of @endpoints
 * @now_ms: monotonic time
 *
 * Earlier views are kept for the window plus the propagation time.
 */
void keyed_set_view(
    struct keyed *k, const uint64_t *endpoints, size_t n, uint64_t now_ms);

/**
 * keyed_offer() - handle an arriving request with a key
 * @k: the keys
 * @key: its key
 * @body: hash of method, path and body
 * @id: the request
 * @now_ms: monotonic time
 * @out: the decision
 */
void keyed_offer(struct keyed *k, const struct key_id *key, uint64_t body,
    const struct request_id *id, uint64_t now_ms, struct keyed_decision *out);

/**
 * enum keyed_word - answer of an earlier home, or of the table to a claim
 * @KEYED_WORD_FREE: no request with the key ran there and none will; or the
 *	claim succeeded (also when an earlier claim of this same process is
 *	found)
 * @KEYED_WORD_TAKEN: a request with the key ran or may have run there; or
 *	another endpoint holds the claim
 * @KEYED_WORD_NONE: no answer: the home or the platform is unreachable
 */
enum keyed_word {
	KEYED_WORD_FREE = 0,
	KEYED_WORD_TAKEN,
	KEYED_WORD_NONE,
};

/**
 * keyed_home_answered() - the earlier home has answered or is unreachable
 * @k: the keys
 * @key: the key
 * @id: the request for which the home was queried
 * @from: the earlier home, keyed_decision.ask
 * @word: its answer
 * @now_ms: monotonic time
 * @out: the next decision: RUN, ASK_HOME (another home) or UNSETTLED
 */
void keyed_home_answered(struct keyed *k, const struct key_id *key,
    const struct request_id *id, uint64_t from, enum keyed_word word,
    uint64_t now_ms, struct keyed_decision *out);

/**
 * keyed_claimed() - the claim was answered, or the platform is unreachable
 * @k: the keys
 * @key: the key
 * @id: the request for which the key was claimed
 * @word: the answer
 * @now_ms: monotonic time
 * @out: the decision: RUN or UNSETTLED
 */
void keyed_claimed(struct keyed *k, const struct key_id *key,
    const struct request_id *id, enum keyed_word word, uint64_t now_ms,
    struct keyed_decision *out);

/**
 * keyed_release() - the request that had the key has certainly not run
 *
 * The next request with the key may run.
 */
void keyed_release(struct keyed *k, const struct key_id *key,
    const struct request_id *id, uint64_t now_ms);

/**
 * keyed_ended() - the request that has the key was answered or failed
 *
 * The key is kept for the window from now on.  Each RUN must be followed by
 * this function or by keyed_release(), else the key is never removed.
 */
void keyed_ended(struct keyed *k, const struct key_id *key,
    const struct request_id *id, uint64_t now_ms);

/**
 * keyed_hand_over() - another endpoint, the home in its own view, queries a
 * key
 * @k: the keys
 * @key: the key
 * @to: the endpoint that queries
 * @to_age_ms: age of its process (keyed_age_ms() there)
 * @now_ms: monotonic time
 *
 * FREE hands the key over: the key is blocked here for twice the window, so
 * that no request with it runs here.  FREE is returned only when this process
 * would have a record of each run: the process is older than the window plus
 * the propagation time, and within that time no process other than this one and
 * the querying one was the key's home in this node's views.
 *
 * Return: KEYED_WORD_FREE or KEYED_WORD_TAKEN.
 */
enum keyed_word keyed_hand_over(struct keyed *k, const struct key_id *key,
    uint64_t to, uint64_t to_age_ms, uint64_t now_ms);

/** keyed_age_ms() - time since this process created the table */
uint64_t keyed_age_ms(const struct keyed *k, uint64_t now_ms);

/** keyed_expire() - remove keys and views older than the window */
void keyed_expire(struct keyed *k, uint64_t now_ms);

/** keyed_count() - number of keys in the table */
size_t keyed_count(const struct keyed *k);

#endif
