/*
 * Sign-off, halt and supersede as one operation object: a state machine that
 * is fed the platform's answers and says what to ask it next.
 *
 * All rests on one compare-and-set on the head row's seq; there is no lease.
 * A write whose answer was lost is settled by reading the head and the
 * version rows back for the operation's id.  While they can't be read the
 * outcome is "unknown", which the same operation id settles later.
 *
 * The shell makes an operation, calls rollout_start(), carries out each
 * action and reports its end with the action's token, and calls
 * rollout_tick() when rollout_next_ms() has come, until the outcome is there.
 * Answers may come late, crossed or twice: a token that is not awaited is
 * ignored.
 */
#ifndef ROLLOUT_ROLLOUT_H
#define ROLLOUT_ROLLOUT_H

#include <glib.h>

#include "config/bundle.h"
#include "store/store.h"

/* Longest time for one request to the platform. */
#define ROLLOUT_STEP_MS 2000

/* Back-off: full jitter, up to twice as long each time, up to the cap. */
#define ROLLOUT_BACKOFF_LEAST_MS 50
#define ROLLOUT_BACKOFF_CAP_MS 3000

/* Objects that are written at the same time. */
#define ROLLOUT_PUT_WINDOW 8

/* Versions that ROLLOUT_FIND looks through, newest first. */
#define ROLLOUT_SEARCH_VERSIONS 500

/* Versions that a sign-off without parent looks through for its own id. */
#define ROLLOUT_REPEAT_VERSIONS 100

#define ROLLOUT_MESSAGE_BYTES 384

/** enum rollout_kind - what an operation does */
enum rollout_kind {
	ROLLOUT_SIGN_OFF = 0, /* a new version from a bundle */
	ROLLOUT_SUPERSEDE,    /* a new version with an older one's content */
	ROLLOUT_HALT,	      /* withdraw the newest version */
	ROLLOUT_FIND,	      /* look what became of an operation */
};

/**
 * struct rollout_request - what is asked for
 * @kind: kind of the operation
 * @op: id of the operation: 1 to 63 of A-Z, a-z, 0-9, '-', '_', '.'
 * @operator_name: who asks
 * @note: why, or empty
 * @fresh: whether @op was made up just now, so that no earlier start of the
 * operation need be looked for
 * @has_parent: whether @parent counts
 * @parent: newest version that the operator has seen, 0 for none; another one
 * is a conflict
 * @race_retries: how often a sign-off without parent that lost a race is tried
 * again on top of the winner
 * @version: version to halt, or whose content supersedes
 * @after_seq: for ROLLOUT_FIND: rollout_outcome.after_seq of the unknown
 * outcome, 0 when that is not known
 * @bundle: for ROLLOUT_SIGN_OFF; must outlive the operation
 * @wall_ms: wall clock, for the records
 * @deadline_ms: monotonic time by which the operation has an outcome
 * @seed: seed of the jitter
 */
struct rollout_request {
	enum rollout_kind kind;
	char op[STORE_OP_BYTES];
	char operator_name[STORE_OPERATOR_BYTES];
	char note[STORE_NOTE_BYTES];
	bool fresh;
	bool has_parent;
	uint64_t parent;
	uint32_t race_retries;
	uint64_t version;
	uint64_t after_seq;
	const struct bundle *bundle;
	uint64_t wall_ms;
	uint64_t deadline_ms;
	uint32_t seed;
};

/** enum rollout_action_kind - what the shell is to do */
enum rollout_action_kind {
	ROLLOUT_READ_HEAD = 0, /* store_read_head(), rollout_on_head() */
	ROLLOUT_READ_VERSIONS, /* store_read_versions(), ..on_versions() */
	ROLLOUT_GET_OBJECT,    /* store_get_object(), ..on_object() */
	ROLLOUT_PUT_OBJECT,    /* store_put_object_once(), ..on_put() */
	ROLLOUT_TRANSACT,      /* store_transact(), ..on_transact() */
	ROLLOUT_FINISH,	       /* rollout_outcome() is there; the last one */
};

/**
 * struct rollout_action - one thing to do
 * @kind: what
 * @token: comes back with the answer
 * @deadline_ms: monotonic time by which the answer must come
 * @from: first version to read
 * @to: last version to read
 * @key: key of the object
 * @content: content to put; owned by the action
 * @expected_seq: for ROLLOUT_TRANSACT, as in struct store_write
 * @head: new head row
 * @has_version: whether a version row is written with it
 * @version: new version row; its changes are in @content
 */
struct rollout_action {
	enum rollout_action_kind kind;
	uint32_t token;
	uint64_t deadline_ms;
	uint64_t from;
	uint64_t to;
	char key[STORE_KEY_BYTES];
	GBytes *content;
	uint64_t expected_seq;
	struct store_head head;
	bool has_version;
	struct store_version version;
};

/** enum rollout_result - how an operation ended */
enum rollout_result {
	ROLLOUT_DONE = 0,    /* in force on the platform */
	ROLLOUT_ALREADY,     /* halt: another operation had halted it */
	ROLLOUT_CONFLICT,    /* another operation was first; nothing done */
	ROLLOUT_NOT_FOUND,   /* no such version or operation */
	ROLLOUT_INVALID,     /* the request is wrong; nothing done */
	ROLLOUT_UNAVAILABLE, /* the platform is away; nothing done */
	ROLLOUT_UNKNOWN,     /* may or may not be done; ask again */
};

/**
 * struct rollout_outcome - how an operation ended
 * @result: how
 * @kind: kind of the operation; with ROLLOUT_FIND that of the one found
 * @repeated: another start of the operation did it; if not, what the last
 * ROLLOUT_TRANSACT wrote is in force on the platform
 * @version: version made or halted; 0 when nothing was done
 * @in_force: highest version not halted, as last read or written
 * @newest_version: newest version, as last read or written
 * @winner_version: with ROLLOUT_CONFLICT and ROLLOUT_ALREADY: version that
 * the first one made or halted
 * @winner_halted: whether the first one was a halt
 * @winner_op: its operation id
 * @winner_operator: who asked for it; empty when that could not be read
 * @after_seq: with ROLLOUT_UNKNOWN: seq that the head row must pass before
 * a search can be sure; goes in rollout_request.after_seq
 * @retry_after_ms: when to ask again, 0 when asking again is of no use
 * @message: what happened, and the remedy
 */
struct rollout_outcome {
	enum rollout_result result;
	enum rollout_kind kind;
	bool repeated;
	uint64_t version;
	uint64_t in_force;
	uint64_t newest_version;
	uint64_t winner_version;
	bool winner_halted;
	char winner_op[STORE_OP_BYTES];
	char winner_operator[STORE_OPERATOR_BYTES];
	uint64_t after_seq;
	uint32_t retry_after_ms;
	char message[ROLLOUT_MESSAGE_BYTES];
};

struct rollout;

/**
 * rollout_new() - make an operation
 * @req: what is asked for; copied
 * @r: where the operation goes; free with rollout_free()
 *
 * Return: STATUS_OK, or STATUS_INVALID with a message.
 */
enum status rollout_new(const struct rollout_request *req, struct rollout **r);

/** rollout_free() - free an operation; NULL is fine */
void rollout_free(struct rollout *r);

/** rollout_start() - begin; call once */
void rollout_start(struct rollout *r, uint64_t now_ms);

/**
 * rollout_action() - take the next thing to do
 * @r: operation
 * @action: where it goes; clear with rollout_action_clear()
 *
 * Return: whether there was one.
 */
bool rollout_action(struct rollout *r, struct rollout_action *action);

/** rollout_action_clear() - free what an action holds */
void rollout_action_clear(struct rollout_action *action);

/** rollout_on_head() - ROLLOUT_READ_HEAD ended; @head if STATUS_OK */
void rollout_on_head(struct rollout *r, uint64_t now_ms, uint32_t token,
    enum status st, const struct store_head *head);

/** rollout_on_versions() - ROLLOUT_READ_VERSIONS ended; see store.h */
void rollout_on_versions(struct rollout *r, uint64_t now_ms, uint32_t token,
    enum status st, const struct store_version *rows, uint32_t n,
    uint64_t upto);

/** rollout_on_object() - ROLLOUT_GET_OBJECT ended; @data if STATUS_OK */
void rollout_on_object(struct rollout *r, uint64_t now_ms, uint32_t token,
    enum status st, const uint8_t *data, size_t len);

/** rollout_on_put() - ROLLOUT_PUT_OBJECT ended */
void rollout_on_put(
    struct rollout *r, uint64_t now_ms, uint32_t token, enum status st);

/** rollout_on_transact() - ROLLOUT_TRANSACT ended */
void rollout_on_transact(
    struct rollout *r, uint64_t now_ms, uint32_t token, enum status st);

/** rollout_tick() - the time of rollout_next_ms() has come */
void rollout_tick(struct rollout *r, uint64_t now_ms);

/** rollout_next_ms() - when to call rollout_tick(), or DEADLINE_NEVER */
uint64_t rollout_next_ms(const struct rollout *r);

/**
 * rollout_outcome() - how the operation ended
 *
 * Return: the outcome, owned by the operation; NULL while it goes on.
 */
const struct rollout_outcome *rollout_outcome(const struct rollout *r);

/** rollout_result_name() - "done", "conflict"...; a static string */
const char *rollout_result_name(enum rollout_result result);

#endif
