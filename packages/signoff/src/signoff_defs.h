/*
 * Internals of an operation, shared by the files of this package.
 *
 * An operation is in one phase at a time. A phase sends one request to the
 * platform (or puts several objects), and the handler of its answer enters the
 * next phase.
 */
#ifndef SIGNOFF_DEFS_H
#define SIGNOFF_DEFS_H

#include "proto/messages.h"
#include "signoff/signoff.h"

/**
 * enum signoff_phase - request that an operation waits for
 * @PHASE_HEAD: read of the head row
 * @PHASE_SEARCH: read of version rows, which are searched for the operation's
 *	id
 * @PHASE_SOURCE_ROW: supersede: read of the row of the version to copy
 * @PHASE_SOURCE_LIST: supersede: read of that version's section list
 * @PHASE_BASE_ROW: read of the newest version's row, for its root, which the
 *	head row lacks after a halt
 * @PHASE_BASE_LIST: read of the newest version's section list
 * @PHASE_PUTS: writes of objects
 * @PHASE_TARGET_ROW: halt: read of the row of the version to halt
 * @PHASE_RESTORED_ROW: halt: read of the row of the version that comes back
 *	into force
 * @PHASE_TRANSACT: write of the rows
 * @PHASE_WINNER_NOTE: read of the note of the halt that won
 * @PHASE_END: none; the outcome is set
 */
enum signoff_phase {
	PHASE_HEAD = 0,
	PHASE_SEARCH,
	PHASE_SOURCE_ROW,
	PHASE_SOURCE_LIST,
	PHASE_BASE_ROW,
	PHASE_BASE_LIST,
	PHASE_PUTS,
	PHASE_TARGET_ROW,
	PHASE_RESTORED_ROW,
	PHASE_TRANSACT,
	PHASE_WINNER_NOTE,
	PHASE_END,
	PHASE_COUNT,
};

struct signoff;

/**
 * struct range - range of versions, both ends included; empty if @high is below
 * @low
 * @low: first version
 * @high: last version
 */
struct range {
	uint64_t low;
	uint64_t high;
};

/**
 * struct signoff_ops - functions of a kind of operation; see the tables in
 * version.c, halt.c and find.c
 * @begin: start the operation
 * @first_search: versions whose rows may show an earlier start of the
 *	operation, once the head row is first read; an empty range for none
 * @settle_limit: last version whose row may show whether a write on @base took
 *	effect
 * @proceed: no earlier start has done the operation; go on from @head
 * @on_lost_race: the write has certainly not taken effect, since another write
 *	was first
 */
struct signoff_ops {
	void (*begin)(struct signoff *r, uint64_t now_ms);
	struct range (*first_search)(const struct signoff *r);
	uint64_t (*settle_limit)(const struct signoff *r);
	void (*proceed)(struct signoff *r, uint64_t now_ms);
	void (*on_lost_race)(struct signoff *r, uint64_t now_ms);
};

/**
 * struct search - search of version rows for the operation's id
 * @low: lowest version to search
 * @high: highest version that is still to be searched
 * @from: first version of the current read
 * @to: last version of the current read, 0 if it is not chosen yet
 */
struct search {
	uint64_t low;
	uint64_t high;
	uint64_t from;
	uint64_t to;
};

/**
 * struct put - an object to write
 * @key: key of the object
 * @content: its content
 * @section: name of the section, borrowed; NULL for other objects
 * @token: token of the write in progress, 0 for none
 * @needed: whether the object has to be written for the version
 * @done: whether the object is written
 */
struct put {
	char key[STORE_KEY_BYTES];
	GBytes *content;
	const char *section;
	uint32_t token;
	bool needed;
	bool done;
};

/**
 * struct signoff - see signoff/signoff.h
 * @ops: functions of this kind of operation
 * @req: parameters
 * @phase: current phase
 * @next_token: token of the last action
 * @token: awaited token, 0 for none
 * @answer_deadline_ms: when an awaited answer counts as lost
 * @retry_at_ms: when the phase is retried
 * @n_failures: consecutive failures, for the back-off
 * @race_retries_left: lost races after which the operation may still be retried
 * @rand: source of jitter
 * @actions: struct signoff_action: actions that were not taken yet
 * @head: head row as last read; seq 0 if there is none
 * @base: head row that the write replaces
 * @write_sent: whether a write on @base was sent
 * @maybe_written: whether that write may have taken effect, or may still do so
 * @search: see struct search
 * @lowest: fields of the row of @search.low, once it was read
 * @root: root of the version to create
 * @list: its section list, struct rec_section_ref
 * @base_root: root of @base_list
 * @base_list: section list of the newest version, NULL if it is not available
 * @puts: struct put
 * @new_head: head row to write
 * @row: version row to write; its changes are in @changes
 * @changes: encoded changes of the version row
 * @outcome: the outcome, set in PHASE_END
 */
struct signoff {
	const struct signoff_ops *ops;
	struct signoff_request req;
	enum signoff_phase phase;
	uint32_t next_token;
	uint32_t token;
	uint64_t answer_deadline_ms;
	uint64_t retry_at_ms;
	uint32_t n_failures;
	uint32_t race_retries_left;
	GRand *rand;
	GQueue actions;
	struct store_head head;
	struct store_head base;
	bool write_sent;
	bool maybe_written;
	struct search search;
	struct {
		uint64_t version;
		char op[STORE_OP_BYTES];
		char operator_name[STORE_OPERATOR_BYTES];
		struct rec_replaced_head replaced;
	} lowest;
	struct digest root;
	GArray *list;
	struct digest base_root;
	GArray *base_list;
	GPtrArray *puts;
	struct store_head new_head;
	struct store_version row;
	GBytes *changes;
	struct signoff_outcome outcome;
};

/* signoff.c */

/** signoff_enter() - enter a phase and send its request */
void
signoff_enter(struct signoff *r, enum signoff_phase phase, uint64_t now_ms);

/** signoff_retry_later() - retry the phase after a back-off, since there was no
 * usable answer */
void signoff_retry_later(struct signoff *r, uint64_t now_ms);

/* step.c: creation of actions; each sets the awaited token */

void step_read_head(struct signoff *r, uint64_t now_ms);
void step_read_versions(
    struct signoff *r, uint64_t from, uint64_t to, uint64_t now_ms);
void
step_get_list(struct signoff *r, const struct digest *root, uint64_t now_ms);
void step_get_note(struct signoff *r, const char *op, uint64_t now_ms);
uint32_t step_put(struct signoff *r, const struct put *put, uint64_t now_ms);
void step_transact(struct signoff *r, uint64_t now_ms);

/** step_finish() - drop the actions not yet taken, and add SIGNOFF_FINISH */
void step_finish(struct signoff *r);

/** step_clear() - drop the actions not yet taken */
void step_clear(struct signoff *r);

/** step_backoff_ms() - delay after a failure: exponential, full jitter */
uint64_t step_backoff_ms(struct signoff *r);

/* search.c */

/** search_on_head() - handle the head row: search for the operation's id */
void search_on_head(struct signoff *r, uint64_t now_ms);

/** search_issue() - read the next rows */
void search_issue(struct signoff *r, uint64_t now_ms);

/** search_on_versions() - search the rows that were read */
void search_on_versions(struct signoff *r, uint64_t now_ms, enum status st,
    const struct store_version *rows, uint32_t n, uint64_t upto);

/** search_decode() - decode, from a version row's changes, the record of the
 * head row that the same write replaced; false if the changes are invalid */
bool search_decode(
    const struct store_version *row, struct rec_replaced_head *replaced);

/* puts.c */

/** puts_new() - create an empty list of objects to write */
GPtrArray *puts_new(void);

/** puts_add() - add an object; see struct put; takes ownership of @content */
void puts_add(
    GPtrArray *puts, const char *key, const char *section, GBytes *content);

/** puts_issue() - start as many writes as may be in progress */
void puts_issue(struct signoff *r, uint64_t now_ms);

/** puts_on_put() - handle the end of a write */
void
puts_on_put(struct signoff *r, uint64_t now_ms, uint32_t token, enum status st);

/** puts_cancel_tokens() - stop waiting for the writes in progress */
void puts_cancel_tokens(struct signoff *r);

/* version.c: sign-off and supersede */

extern const struct signoff_ops version_ops;
void version_issue_source_row(struct signoff *r, uint64_t now_ms);
void version_on_source_row(struct signoff *r, uint64_t now_ms, enum status st,
    const struct store_version *rows, uint32_t n, uint64_t upto);
void version_issue_source_list(struct signoff *r, uint64_t now_ms);
void version_on_source_list(struct signoff *r, uint64_t now_ms, enum status st,
    const uint8_t *data, size_t len);
void version_issue_base_row(struct signoff *r, uint64_t now_ms);
void version_on_base_row(struct signoff *r, uint64_t now_ms, enum status st,
    const struct store_version *rows, uint32_t n, uint64_t upto);
void version_issue_base_list(struct signoff *r, uint64_t now_ms);
void version_on_base_list(struct signoff *r, uint64_t now_ms, enum status st,
    const uint8_t *data, size_t len);

/* halt.c */

extern const struct signoff_ops halt_ops;
void halt_issue_target_row(struct signoff *r, uint64_t now_ms);
void halt_on_target_row(struct signoff *r, uint64_t now_ms, enum status st,
    const struct store_version *rows, uint32_t n, uint64_t upto);
void halt_issue_restored_row(struct signoff *r, uint64_t now_ms);
void halt_on_restored_row(struct signoff *r, uint64_t now_ms, enum status st,
    const struct store_version *rows, uint32_t n, uint64_t upto);
void halt_issue_winner_note(struct signoff *r, uint64_t now_ms);
void halt_on_winner_note(struct signoff *r, uint64_t now_ms, enum status st,
    const uint8_t *data, size_t len);

/* find.c */

extern const struct signoff_ops find_ops;

/* outcome.c: functions that end the operation */

/** outcome_done() - the operation is written; @root is the root of the version
 * created, or NULL not to compare it with the request's */
void outcome_done(struct signoff *r, enum signoff_kind kind, uint64_t version,
    const struct digest *root);

void outcome_already_halted(struct signoff *r);
void outcome_conflict(struct signoff *r);
void outcome_not_found(struct signoff *r, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void outcome_invalid(struct signoff *r, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** outcome_timed_out() - the deadline has passed: unavailable or unknown */
void outcome_timed_out(struct signoff *r);

/** outcome_not_settled() - find: a write may still arrive */
void outcome_not_settled(struct signoff *r);

#endif
