/*
 * Idempotency keys at the guard: requests with the same key run once within
 * the window, also when they come through different entries.
 *
 * The key's home is the endpoint first in rendezvous rank among the service's
 * endpoints.  What is guaranteed when, is in docs/design/idempotency.md.
 */
#ifndef TRAFFIC_KEYED_H
#define TRAFFIC_KEYED_H

#include <stddef.h>

#include "traffic/traffic_defs.h"

/**
 * enum keyed_claim - when a durable claim in the platform's table is needed
 * @KEYED_CLAIM_NEVER: the home's memory decides
 * @KEYED_CLAIM_ON_CHANGE: claim when the key's home changed in the window
 * @KEYED_CLAIM_ALWAYS: claim before every run
 */
enum keyed_claim {
	KEYED_CLAIM_NEVER = 0,
	KEYED_CLAIM_ON_CHANGE,
	KEYED_CLAIM_ALWAYS,
};

/**
 * struct keyed_config - bounds and mode
 * @window_ms: how long a key is kept after its last change
 * @keys_max: most keys kept; when there are more, new keys are refused
 * @claim: when to claim
 */
struct keyed_config {
	uint64_t window_ms;
	size_t keys_max;
	enum keyed_claim claim;
};

/**
 * enum keyed_verdict - what to do with a keyed request
 * @KEYED_RUN: it is the first with its key: offer it to admission
 * @KEYED_FOLLOW: a request with the key is queued or ran: answer with that
 *	one's fate (fate_resolve() of keyed_decision.first)
 * @KEYED_ASK: ask the key's earlier home first, then keyed_asked()
 * @KEYED_CLAIM: claim the key in the platform's table, then keyed_claimed()
 * @KEYED_WAIT: the same key is being asked or claimed for; wait for that one
 * @KEYED_REFUSE_NOT_HOME: not the home by this node's view: not_run
 * @KEYED_REFUSE_UNSETTLED: an earlier request with this key may have run
 *	elsewhere: unknown, come back later
 * @KEYED_REFUSE_FULL: no room for another key: not_run
 * @KEYED_REFUSE_OTHER: the same key with another body: not_run, 409
 */
enum keyed_verdict {
	KEYED_RUN = 0,
	KEYED_FOLLOW,
	KEYED_ASK,
	KEYED_CLAIM,
	KEYED_WAIT,
	KEYED_REFUSE_NOT_HOME,
	KEYED_REFUSE_UNSETTLED,
	KEYED_REFUSE_FULL,
	KEYED_REFUSE_OTHER,
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
 * keyed_home() - the home of a key
 * @key: the key
 * @endpoints: the service's endpoints that are neither draining nor left
 * @n: number of @endpoints
 *
 * Return: the endpoint first in rank, 0 when @n is 0.
 */
uint64_t
keyed_home(const struct key_id *key, const uint64_t *endpoints, size_t n);

/**
 * struct keyed_decision - a verdict
 * @verdict: what to do
 * @first: FOLLOW: the request that has the key
 * @ask: ASK: the earlier home to be asked
 */
struct keyed_decision {
	enum keyed_verdict verdict;
	struct request_id first;
	uint64_t ask;
};

struct keyed;

/**
 * keyed_new() - keys of one service at one endpoint
 * @cfg: bounds; copied
 * @self: the own endpoint
 * @now_ms: monotonic time
 */
struct keyed *
keyed_new(const struct keyed_config *cfg, uint64_t self, uint64_t now_ms);

/** keyed_free() - free it */
void keyed_free(struct keyed *k);

/**
 * keyed_view() - the service's endpoints by this node's snapshot
 * @k: the keys
 * @endpoints: those neither draining nor left
 * @n: number of @endpoints
 * @now_ms: monotonic time
 *
 * Earlier views are remembered for the window.
 */
void keyed_view(
    struct keyed *k, const uint64_t *endpoints, size_t n, uint64_t now_ms);

/**
 * keyed_offer() - a keyed request came
 * @k: the keys
 * @key: its key
 * @body: hash of method, path and body
 * @id: the request
 * @now_ms: monotonic time
 * @out: the verdict
 */
void keyed_offer(struct keyed *k, const struct key_id *key, uint64_t body,
    const struct request_id *id, uint64_t now_ms, struct keyed_decision *out);

/**
 * enum keyed_word - answer of an earlier home, or of the table to a claim
 * @KEYED_WORD_FREE: it never ran there and never will; or the claim is ours
 * @KEYED_WORD_TAKEN: it ran or may have run there; or another holds the claim
 * @KEYED_WORD_NONE: no answer: the home or the platform can't be reached
 */
enum keyed_word {
	KEYED_WORD_FREE = 0,
	KEYED_WORD_TAKEN,
	KEYED_WORD_NONE,
};

/** keyed_asked() - the earlier home @from answered or could not be reached */
void keyed_asked(struct keyed *k, const struct key_id *key, uint64_t from,
    enum keyed_word word, uint64_t now_ms, struct keyed_decision *out);

/** keyed_claimed() - the claim was answered or the platform is down */
void keyed_claimed(struct keyed *k, const struct key_id *key,
    enum keyed_word word, uint64_t now_ms, struct keyed_decision *out);

/**
 * keyed_release() - the request that had the key has certainly not run
 *
 * The key is free again for the next request.
 */
void keyed_release(struct keyed *k, const struct key_id *key,
    const struct request_id *id, uint64_t now_ms);

/**
 * keyed_yield() - a later home asks about a key
 *
 * If the key is not known here it is barred from now on, so that it never
 * runs here within the window.
 *
 * Return: KEYED_WORD_FREE or KEYED_WORD_TAKEN.
 */
enum keyed_word
keyed_yield(struct keyed *k, const struct key_id *key, uint64_t now_ms);

/** keyed_expire() - forget keys and views older than the window */
void keyed_expire(struct keyed *k, uint64_t now_ms);

/** keyed_count() - number of keys kept */
size_t keyed_count(const struct keyed *k);

#endif
