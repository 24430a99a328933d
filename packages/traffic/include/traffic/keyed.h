/*
 * Idempotency keys at the guard: requests with the same key run once within
 * the window, also when they come through different entries.
 *
 * The key's home is the endpoint first in rendezvous rank among the service's
 * endpoints.  What is guaranteed when, is in docs/design/idempotency.md.
 */
#ifndef TRAFFIC_KEYED_H
#define TRAFFIC_KEYED_H

#include <stdbool.h>
#include <stddef.h>

#include "traffic/traffic_defs.h"

/**
 * struct keyed_config - bounds and mode
 * @window_ms: how long a key is kept after its request has ended
 * @propagation_ms: longest time that news of endpoints take to reach all nodes;
 *	earlier homes are remembered for this time and the window
 * @keys_max: most keys kept; when there are more, new keys are refused
 * @claim_always: claim each key in the platform's table before its run
 */
struct keyed_config {
	uint64_t window_ms;
	uint64_t propagation_ms;
	size_t keys_max;
	bool claim_always;
};

/**
 * enum keyed_verdict - what to do with a keyed request
 * @KEYED_RUN: it is the first with its key: offer it to admission
 * @KEYED_FOLLOW: a request with the key came before: this one gets that one's
 *	fate, see fate_follow() and keyed_decision.first
 * @KEYED_ASK_HOME: ask the endpoint keyed_decision.ask, which was the key's
 *home within the window (keyed_hand_over() there), then call
 *keyed_home_answered()
 * @KEYED_CLAIM: claim the key in the platform's table, then keyed_claimed()
 * @KEYED_NOT_HOME: not the home by this node's view: not_run
 * @KEYED_UNSETTLED: an earlier request with this key may have run, and nobody
 *	can say: unknown, come back after keyed_decision.retry_after_ms
 * @KEYED_FULL: no room for another key: not_run
 * @KEYED_BODY_MISMATCH: the key is in use for another request: not_run
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
 * keyed_home() - the home of a key
 * @key: the key
 * @endpoints: the service's ready endpoints
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
 * @retry_after_ms: UNSETTLED: when it can be settled at the latest
 */
struct keyed_decision {
	enum keyed_verdict verdict;
	struct request_id first;
	uint64_t ask;
	uint64_t retry_after_ms;
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
 * keyed_set_view() - the service's endpoints by this node's snapshot
 * @k: the keys
 * @endpoints: those that are ready; the own one among them or not
 * @n: number of @endpoints
 * @now_ms: monotonic time
 *
 * Earlier views are remembered for the window.
 */
void keyed_set_view(
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
 *	(also when an earlier claim of this same process is found)
 * @KEYED_WORD_TAKEN: it ran or may have run there; or another holds the claim
 * @KEYED_WORD_NONE: no answer: the home or the platform can't be reached
 */
enum keyed_word {
	KEYED_WORD_FREE = 0,
	KEYED_WORD_TAKEN,
	KEYED_WORD_NONE,
};

/**
 * keyed_home_answered() - the earlier home has answered or can't be reached
 * @k: the keys
 * @key: the key
 * @id: the request for which it was asked
 * @from: the earlier home, keyed_decision.ask
 * @word: its answer
 * @now_ms: monotonic time
 * @out: the next verdict: RUN, ASK (another one) or UNSETTLED
 */
void keyed_home_answered(struct keyed *k, const struct key_id *key,
    const struct request_id *id, uint64_t from, enum keyed_word word,
    uint64_t now_ms, struct keyed_decision *out);

/**
 * keyed_claimed() - the claim was answered, or the platform can't be reached
 * @k: the keys
 * @key: the key
 * @id: the request for which it was claimed
 * @word: the answer
 * @now_ms: monotonic time
 * @out: the verdict: RUN or UNSETTLED
 */
void keyed_claimed(struct keyed *k, const struct key_id *key,
    const struct request_id *id, enum keyed_word word, uint64_t now_ms,
    struct keyed_decision *out);

/**
 * keyed_release() - the request that had the key has certainly not run
 *
 * The key is free again for the next request.
 */
void keyed_release(struct keyed *k, const struct key_id *key,
    const struct request_id *id, uint64_t now_ms);

/**
 * keyed_ended() - the request that has the key was answered or failed
 *
 * The key is kept for the window from now.  For each RUN the shell calls
 * either this or keyed_release(), or the key is kept for ever.
 */
void keyed_ended(struct keyed *k, const struct key_id *key,
    const struct request_id *id, uint64_t now_ms);

/**
 * keyed_hand_over() - another endpoint, home by its own view, asks about a key
 * @k: the keys
 * @key: the key
 * @to: the endpoint that asks
 * @to_age_ms: how long ago its process was born (keyed_age_ms() there)
 * @now_ms: monotonic time
 *
 * FREE bars the key here for the window, so that it never runs here.  It is
 * said only when this process would know of a run: it is older than the
 * window, and within the window no other process was the key's home by its
 * own views, but for the process that asks.
 *
 * Return: KEYED_WORD_FREE or KEYED_WORD_TAKEN.
 */
enum keyed_word keyed_hand_over(struct keyed *k, const struct key_id *key,
    uint64_t to, uint64_t to_age_ms, uint64_t now_ms);

/** keyed_age_ms() - how long this process has kept the keys */
uint64_t keyed_age_ms(const struct keyed *k, uint64_t now_ms);

/** keyed_expire() - forget keys and views older than the window */
void keyed_expire(struct keyed *k, uint64_t now_ms);

/** keyed_count() - number of keys kept */
size_t keyed_count(const struct keyed *k);

#endif
