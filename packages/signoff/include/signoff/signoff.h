/*
 * Sign-off, halt and supersede as one operation object: a state machine that
 * is fed the platform's answers and says what to ask it next.
 *
 * All rests on one compare-and-set on the head row's seq; there is no lease.
 * A write whose answer was lost is settled by reading the head and the
 * version rows back for the operation's id.  While they can't be read the
 * outcome is "unknown", which the same operation id settles later.
 *
 * The shell makes an operation, calls signoff_start(), carries out each
 * action and reports its end with the action's token, and calls
 * signoff_tick() when signoff_next_ms() has come, until the outcome is there.
 * Answers may come late, crossed or twice: a token that is not awaited is
 * ignored.
 */
#ifndef SIGNOFF_SIGNOFF_H
#define SIGNOFF_SIGNOFF_H

#include <glib.h>

#include "config/bundle.h"
#include "store/store.h"

/* Longest time for one request to the platform. */
#define SIGNOFF_REQUEST_TIMEOUT_MS 2000

/* Back-off: full jitter, up to twice as long each time, up to the cap. */
#define SIGNOFF_BACKOFF_MIN_MS 50
#define SIGNOFF_BACKOFF_MAX_MS 3000

/* Objects that are written at the same time. */
#define SIGNOFF_PUTS_IN_FLIGHT_MAX 8

/* Versions that SIGNOFF_FIND looks through, newest first. */
#define SIGNOFF_FIND_VERSIONS_MAX 500

/* Versions that a sign-off without parent looks through for its own id. */
#define SIGNOFF_REPEAT_VERSIONS_MAX 100

#define SIGNOFF_MESSAGE_BYTES 384

/** enum signoff_kind - what an operation does */
enum signoff_kind {
	SIGNOFF_SIGN_OFF = 0, /* a new version from a bundle */
	SIGNOFF_SUPERSEDE,    /* a new version with an older one's content */
	SIGNOFF_HALT,	      /* withdraw the newest version */
	SIGNOFF_FIND,	      /* look what became of an operation */
};

/**
 * struct signoff_request - what is asked for
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
 * @after_seq: for SIGNOFF_FIND: signoff_outcome.after_seq of the unknown
 * outcome, 0 when that is not known
 * @bundle: for SIGNOFF_SIGN_OFF; must outlive the operation
 * @wall_ms: wall clock, for the records
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
	const struct bundle *bundle;
	uint64_t wall_ms;
	uint64_t deadline_ms;
	uint32_t seed;
};

/** enum signoff_action_kind - what the shell is to do */
enum signoff_action_kind {
	SIGNOFF_READ_HEAD = 0, /* store_read_head(), signoff_on_head() */
	SIGNOFF_READ_VERSIONS, /* store_read_versions(), ..on_versions() */
	SIGNOFF_GET_OBJECT,    /* store_get_object(), ..on_object() */
	SIGNOFF_PUT_OBJECT,    /* store_put_object_once(), ..on_put() */
	SIGNOFF_TRANSACT,      /* store_transact(), ..on_transact() */
	SIGNOFF_FINISH,	       /* signoff_outcome() is there; the last one */
};

/**
 * struct signoff_action - one thing to do
 * @kind: what
 * @token: comes back with the answer
 * @deadline_ms: monotonic time by which the answer must come
 * @from: first version to read
 * @to: last version to read
 * @key: key of the object
 * @content: content to put; owned by the action
 * @expected_seq: for SIGNOFF_TRANSACT, as in struct store_write
 * @head: new head row
 * @has_version: whether a version row is written with it
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

/** enum signoff_result - how an operation ended */
enum signoff_result {
	SIGNOFF_DONE = 0,	/* in force on the platform */
	SIGNOFF_ALREADY_HALTED, /* halt: another operation had halted it */
	SIGNOFF_CONFLICT,	/* another operation was first; nothing done */
	SIGNOFF_NOT_FOUND,	/* no such version or operation */
	SIGNOFF_INVALID,	/* the request is wrong; nothing done */
	SIGNOFF_UNAVAILABLE,	/* the platform is away; nothing done */
	SIGNOFF_UNKNOWN,	/* may or may not be done; ask again */
};

/**
 * struct signoff_outcome - how an operation ended
 * @result: how
 * @kind: kind of the operation; with SIGNOFF_FIND that of the one found
 * @repeated: another start of the operation did it; if not, what the last
 * SIGNOFF_TRANSACT wrote is in force on the platform
 * @version: version made or halted; 0 when nothing was done
 * @in_force: highest version not halted, as last read or written
 * @newest_version: newest version, as last read or written
 * @winner_version: with SIGNOFF_CONFLICT and SIGNOFF_ALREADY_HALTED: version
 * that the first one made or halted
 * @winner_halted: whether the first one was a halt
 * @winner_op: its operation id
 * @winner_operator: who asked for it; empty when that could not be read
 * @after_seq: with SIGNOFF_UNKNOWN: seq that the head row must pass before
 * a search can be sure; goes in signoff_request.after_seq
 * @retry_after_ms: when to ask again, 0 when asking again is of no use
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
 * signoff_new() - make an operation
 * @req: what is asked for; copied
 * @r: where the operation goes; free with signoff_free()
 *
 * Return: STATUS_OK, or STATUS_INVALID with a message.
 */
enum status signoff_new(const struct signoff_request *req, struct signoff **r);

/** signoff_free() - free an operation; NULL is fine */
void signoff_free(struct signoff *r);

/** signoff_start() - begin; call once */
void signoff_start(struct signoff *r, uint64_t now_ms);

/**
 * signoff_action() - take the next thing to do
 * @r: operation
 * @action: where it goes; clear with signoff_action_clear()
 *
 * Return: whether there was one.
 */
bool signoff_action(struct signoff *r, struct signoff_action *action);

/** signoff_action_clear() - free what an action holds */
void signoff_action_clear(struct signoff_action *action);

/** signoff_on_head() - SIGNOFF_READ_HEAD ended; @head if STATUS_OK */
void signoff_on_head(struct signoff *r, uint64_t now_ms, uint32_t token,
    enum status st, const struct store_head *head);

/** signoff_on_versions() - SIGNOFF_READ_VERSIONS ended; see store.h */
void signoff_on_versions(struct signoff *r, uint64_t now_ms, uint32_t token,
    enum status st, const struct store_version *rows, uint32_t n,
    uint64_t upto);

/** signoff_on_object() - SIGNOFF_GET_OBJECT ended; @data if STATUS_OK */
void signoff_on_object(struct signoff *r, uint64_t now_ms, uint32_t token,
    enum status st, const uint8_t *data, size_t len);

/** signoff_on_put() - SIGNOFF_PUT_OBJECT ended */
void signoff_on_put(
    struct signoff *r, uint64_t now_ms, uint32_t token, enum status st);

/** signoff_on_transact() - SIGNOFF_TRANSACT ended */
void signoff_on_transact(
    struct signoff *r, uint64_t now_ms, uint32_t token, enum status st);

/** signoff_tick() - the time of signoff_next_ms() has come */
void signoff_tick(struct signoff *r, uint64_t now_ms);

/** signoff_next_ms() - when to call signoff_tick(), or DEADLINE_NEVER */
uint64_t signoff_next_ms(const struct signoff *r);

/**
 * signoff_outcome() - how the operation ended
 *
 * Return: the outcome, owned by the operation; NULL while it goes on.
 */
const struct signoff_outcome *signoff_outcome(const struct signoff *r);

/** signoff_result_name() - "done", "conflict"...; a static string */
const char *signoff_result_name(enum signoff_result result);

#endif
