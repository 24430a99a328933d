/*
 * Sign-off, halt and supersede as an operation object: a state machine that
 * receives the platform's answers and returns the next request to send.
 *
 * All three rely on a compare-and-set of the head row's seq; there is no
 * lease. If the answer to a write is lost, the head and the version rows are
 * read back and searched for the operation's id. While they can't be read the
 * outcome is "unknown"; a later start with the same operation id settles it.
 *
 * The caller creates an operation, calls signoff_start(), executes each action
 * and reports its result with the action's token, and calls signoff_tick() at
 * the time of signoff_next_ms(), until there is an outcome. Answers may be
 * late, out of order or duplicated: one whose token is not awaited is ignored.
 */
#ifndef SIGNOFF_SIGNOFF_H
#define SIGNOFF_SIGNOFF_H

#include <glib.h>

#include "config/bundle.h"
#include "store/store.h"

/* Timeout of one request to the platform. */
#define SIGNOFF_REQUEST_TIMEOUT_MS 2000

/* Exponential back-off with full jitter between these bounds. */
#define SIGNOFF_BACKOFF_MIN_MS 50
#define SIGNOFF_BACKOFF_MAX_MS 3000

/* Objects written concurrently. */
#define SIGNOFF_PUTS_IN_FLIGHT_MAX 8

/* Versions that SIGNOFF_FIND searches, newest first. */
#define SIGNOFF_FIND_VERSIONS_MAX 500

/* Versions that a sign-off without parent searches for its own id. */
#define SIGNOFF_REPEAT_VERSIONS_MAX 100

/* Numbers left out after the newest known version when a store that came back
 * from an older copy is restored: more than operators sign off in the seconds
 * that the copy lacks. */
#define SIGNOFF_RESTORE_GAP 100

#define SIGNOFF_MESSAGE_BYTES 384

/** enum signoff_kind - kind of an operation */
enum signoff_kind {
	SIGNOFF_SIGN_OFF = 0, /* create a version from a bundle */
	SIGNOFF_SUPERSEDE,    /* create a version with an older one's content */
	SIGNOFF_HALT,	      /* withdraw the newest version */
	SIGNOFF_FIND,	      /* look up the outcome of an operation */
};

/**
 * struct signoff_request - parameters of an operation
 * @kind: kind of the operation
 * @op: id of the operation: 1 to 63 of A-Z, a-z, 0-9, '-', '_', '.'
 * @operator_name: operator who requests it
 * @note: the operator's reason, or empty
 * @fresh: whether @op was generated for this start, so that no earlier start of
 *	the operation has to be searched for
 * @has_parent: whether @parent is set
 * @parent: newest version that the operator has seen, 0 for none; a different
 *	newest version is a conflict
 * @race_retries: how often a sign-off without parent is retried on top of the
 *	version that won a race
 * @version: version to halt, or whose content supersedes the newest one
 * @after_seq: for SIGNOFF_FIND: signoff_outcome.after_seq of the unknown
 *	outcome, 0 if that is not known
 * @known_seq: seq of the newest head row that is known at the start, 0 for
 *	none; a head row below it shows that the store has come back from an
 *	older copy, and nothing is built on it; see signoff_known()
 * @known_version: newest version in that row
 * @restores: for SIGNOFF_SIGN_OFF and SIGNOFF_SUPERSEDE: the store has come
 *	back from an older copy; create the version after @known_version,
 *	whatever older row the store has
 * @may_restore: for SIGNOFF_SIGN_OFF: as @restores if the store has such a row,
 *	else an operation like any other
 * @bundle: for SIGNOFF_SIGN_OFF; must outlive the operation
 * @wall_ms: wall clock time for the rows
 * @deadline_ms: monotonic time by which the operation has an outcome
 * @seed: seed of the jitter
 */
struct signoff_request {
	enum signoff_kind kind;
	char op[STORE_OP_BYTES];
	char operator_name[STORE_OPERATOR_BYTES];
	char note[STORE_NOTE_BYTES];
	bool fresh;
	bool has_parent;
	uint64_t parent;
	uint32_t race_retries;
	uint64_t version;
	uint64_t after_seq;
	uint64_t known_seq;
	uint64_t known_version;
	bool restores;
	bool may_restore;
	const struct bundle *bundle;
	uint64_t wall_ms;
	uint64_t deadline_ms;
	uint32_t seed;
};

/** enum signoff_action_kind - action for the caller, and the function that
 * takes its result */
enum signoff_action_kind {
	SIGNOFF_READ_HEAD = 0, /* store_read_head(), signoff_on_head() */
	SIGNOFF_READ_VERSIONS, /* store_read_versions(), ..on_versions() */
	SIGNOFF_GET_OBJECT,    /* store_get_object(), ..on_object() */
	SIGNOFF_PUT_OBJECT,    /* store_put_object_once(), ..on_put() */
	SIGNOFF_TRANSACT,      /* store_transact(), ..on_transact() */
	SIGNOFF_FINISH,	       /* signoff_outcome() is set; the last action */
};

/**
 * struct signoff_action - an action for the caller
 * @kind: kind of the action
 * @token: token to pass with the result
 * @deadline_ms: monotonic time by which the result is needed
 * @from: first version to read
 * @to: last version to read
 * @key: key of the object
 * @content: content to put; owned by the action
 * @expected_seq: for SIGNOFF_TRANSACT, as in struct store_write
 * @head: new head row
 * @has_version: whether a version row is written as well
 * @version: new version row; its changes are in @content
 */
struct signoff_action {
	enum signoff_action_kind kind;
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

/** enum signoff_result - result of an operation */
enum signoff_result {
	SIGNOFF_DONE = 0,	/* written to the platform */
	SIGNOFF_ALREADY_HALTED, /* halt: another operation has halted it */
	SIGNOFF_CONFLICT,	/* another operation won; nothing written */
	SIGNOFF_NOT_FOUND,	/* no such version or operation */
	SIGNOFF_INVALID,	/* invalid request; nothing written */
	SIGNOFF_UNAVAILABLE,	/* platform unavailable; nothing written */
	SIGNOFF_UNKNOWN,	/* possibly written; look it up later */
};

/**
 * struct signoff_outcome - outcome of an operation
 * @result: the result
 * @kind: kind of the operation; for SIGNOFF_FIND the kind of the operation
 *	found
 * @repeated: whether another start of the operation wrote it; if false, the
 *	rows of the last SIGNOFF_TRANSACT are on the platform
 * @version: version created or halted; 0 if nothing was written
 * @in_force: highest version not halted, as last read or written
 * @newest_version: newest version, as last read or written
 * @winner_version: for SIGNOFF_CONFLICT and SIGNOFF_ALREADY_HALTED: version
 *	that the winning operation created or halted
 * @winner_halted: whether the winning operation was a halt
 * @winner_op: id of the winning operation
 * @winner_operator: operator of the winning operation; empty if that could not
 *	be read
 * @after_seq: for SIGNOFF_UNKNOWN: a search is conclusive once the head row's
 *	seq is above this; goes in signoff_request.after_seq
 * @retry_after_ms: delay before the next attempt, 0 if a retry is of no use
 * @message: what happened, and the remedy
 */
struct signoff_outcome {
	enum signoff_result result;
	enum signoff_kind kind;
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
	char message[SIGNOFF_MESSAGE_BYTES];
};

struct signoff;

/**
 * signoff_new() - create an operation
 * @req: its parameters; copied
 * @r: set to the operation; free with signoff_free()
 *
 * Return: STATUS_OK, or STATUS_INVALID with a message.
 */
enum status signoff_new(const struct signoff_request *req, struct signoff **r);

/** signoff_free() - free an operation; NULL is allowed */
void signoff_free(struct signoff *r);

/** signoff_start() - start the operation; call once */
void signoff_start(struct signoff *r, uint64_t now_ms);

/**
 * signoff_action() - take the next action
 * @r: operation
 * @action: set to the action; clear with signoff_action_clear()
 *
 * Return: whether there was one.
 */
bool signoff_action(struct signoff *r, struct signoff_action *action);

/** signoff_action_clear() - free the content of an action */
void signoff_action_clear(struct signoff_action *action);

/**
 * signoff_known() - a newer head row has become known during the operation
 * @r: operation
 * @seq: its seq; an older one than that known changes nothing
 * @version: newest version in it
 *
 * To be called before the answers to actions are passed on: the store may come
 * back from an older copy at any moment, and then lacks rows that were known by
 * then.
 */
void signoff_known(struct signoff *r, uint64_t seq, uint64_t version);

/** signoff_on_head() - SIGNOFF_READ_HEAD ended; @head is set if STATUS_OK */
void signoff_on_head(struct signoff *r, uint64_t now_ms, uint32_t token,
    enum status st, const struct store_head *head);

/** signoff_on_versions() - SIGNOFF_READ_VERSIONS ended; see store.h */
void signoff_on_versions(struct signoff *r, uint64_t now_ms, uint32_t token,
    enum status st, const struct store_version *rows, uint32_t n,
    uint64_t upto);

/** signoff_on_object() - SIGNOFF_GET_OBJECT ended; @data is set if STATUS_OK */
void signoff_on_object(struct signoff *r, uint64_t now_ms, uint32_t token,
    enum status st, const uint8_t *data, size_t len);

/** signoff_on_put() - SIGNOFF_PUT_OBJECT ended */
void signoff_on_put(
    struct signoff *r, uint64_t now_ms, uint32_t token, enum status st);

/** signoff_on_transact() - SIGNOFF_TRANSACT ended */
void signoff_on_transact(
    struct signoff *r, uint64_t now_ms, uint32_t token, enum status st);

/** signoff_tick() - handle timeouts and retries that are due */
void signoff_tick(struct signoff *r, uint64_t now_ms);

/** signoff_next_ms() - when to call signoff_tick(), or DEADLINE_NEVER */
uint64_t signoff_next_ms(const struct signoff *r);

/**
 * signoff_outcome() - outcome of the operation
 *
 * Return: the outcome, owned by the operation; NULL while it is in progress.
 */
const struct signoff_outcome *signoff_outcome(const struct signoff *r);

/** signoff_result_name() - "done", "conflict"...; a static string */
const char *signoff_result_name(enum signoff_result result);

#endif
