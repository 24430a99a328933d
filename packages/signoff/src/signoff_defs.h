/*
 * Inside of an operation, shared by the files of this package.
 *
 * An operation is in one phase at a time.  A phase asks the platform one
 * thing (or puts several objects), and its handler enters the next one.
 */
#ifndef SIGNOFF_DEFS_H
#define SIGNOFF_DEFS_H

#include "proto/messages.h"
#include "signoff/signoff.h"

/**
 * enum signoff_phase - what an operation waits for
 * @PHASE_HEAD: the head row
 * @PHASE_SEARCH: version rows, looked through for the operation's id
 * @PHASE_SOURCE_ROW: supersede: row of the version whose content is wanted
 * @PHASE_SOURCE_LIST: supersede: its list
 * @PHASE_BASE_ROW: row of the newest version, whose root a halted head lacks
 * @PHASE_BASE_LIST: list of the newest version
 * @PHASE_PUTS: objects being written
 * @PHASE_TARGET_ROW: halt: row of the version to halt
 * @PHASE_RESTORED_ROW: halt: row of the version that comes back into force
 * @PHASE_TRANSACT: the write
 * @PHASE_WINNER_NOTE: note of the halt that was first
 * @PHASE_END: nothing; the outcome is there
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
 * struct range - versions, both ends included; empty when @high is below @low
 * @low: first version
 * @high: last version
 */
struct range {
	uint64_t low;
	uint64_t high;
};

/**
 * struct signoff_ops - what a kind of operation does; see the tables in
 * version.c, halt.c and find.c
 * @begin: first thing of all
 * @first_search: versions that may tell of an earlier start, when the head row
 * is first read; an empty range for none
 * @settle_limit: last version that may tell what became of a write on @base
 * @proceed: no earlier start has done it; go on from @head
 * @on_lost_race: the write has certainly not taken effect, since another was
 * first
 */
struct signoff_ops {
	void (*begin)(struct signoff *r, uint64_t now_ms);
	struct range (*first_search)(const struct signoff *r);
	uint64_t (*settle_limit)(const struct signoff *r);
	void (*proceed)(struct signoff *r, uint64_t now_ms);
	void (*on_lost_race)(struct signoff *r, uint64_t now_ms);
};

/**
 * struct search - look through version rows for the operation's id
 * @low: lowest version to look at
 * @high: highest version not yet looked at, with all above it done
 * @from: first version asked for
 * @to: last version asked for
 */
struct search {
	uint64_t low;
	uint64_t high;
	uint64_t from;
	uint64_t to;
};

/**
 * struct put - an object to write
 * @key: its key
 * @content: its content
 * @section: name of the section, borrowed; NULL for other objects
 * @token: token of the write under way, 0 for none
 * @needed: whether the version needs it written
 * @done: whether it is written
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
 * @ops: what this kind does
 * @req: what was asked for
 * @phase: what it waits for
 * @next_token: token of the next action
 * @token: token awaited, 0 for none
 * @answer_deadline_ms: when an awaited answer counts as lost
 * @retry_at_ms: when the phase is tried again
 * @n_failures: failures in a row, for the back-off
 * @race_retries_left: lost races that may still be tried again
 * @rand: source of jitter
 * @actions: struct signoff_action to be taken
 * @head: head row as last read; seq 0 when there is none
 * @base: head row that the write replaces
 * @write_sent: a write on @base was sent
 * @maybe_written: it may have taken effect, or still may
 * @search: see struct search
 * @lowest: row of @search.low, once seen
 * @root: root of the version to be made
 * @list: its list, struct rec_section_ref
 * @base_root: root of the list that @base_list holds
 * @base_list: list of the newest version, NULL when it can't be had
 * @puts: struct put
 * @new_head: head row to be written
 * @row: version row to be written; its changes are in @changes
 * @changes: changes of the version row
 * @outcome: the outcome, once @phase is PHASE_END
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

/** signoff_enter() - go to a phase and ask what it asks */
void
signoff_enter(struct signoff *r, enum signoff_phase phase, uint64_t now_ms);

/** signoff_retry_later() - the phase got no usable answer; try again later */
void signoff_retry_later(struct signoff *r, uint64_t now_ms);

/* step.c: actions; each sets the token that is awaited */

void step_read_head(struct signoff *r, uint64_t now_ms);
void step_read_versions(
    struct signoff *r, uint64_t from, uint64_t to, uint64_t now_ms);
void
step_get_list(struct signoff *r, const struct digest *root, uint64_t now_ms);
void step_get_note(struct signoff *r, const char *op, uint64_t now_ms);
uint32_t step_put(struct signoff *r, const struct put *put, uint64_t now_ms);
void step_transact(struct signoff *r, uint64_t now_ms);

/** step_finish() - drop what was not taken, and say that it is over */
void step_finish(struct signoff *r);

/** step_clear() - drop actions that were not taken */
void step_clear(struct signoff *r);

/** step_backoff_ms() - how long to wait after a failure: full jitter */
uint64_t step_backoff_ms(struct signoff *r);

/* search.c */

/** search_on_head() - the head row was read: look for the operation's id */
void search_on_head(struct signoff *r, uint64_t now_ms);

/** search_issue() - ask for the next rows */
void search_issue(struct signoff *r, uint64_t now_ms);

/** search_on_versions() - rows came */
void search_on_versions(struct signoff *r, uint64_t now_ms, enum status st,
    const struct store_version *rows, uint32_t n, uint64_t upto);

/** search_decode() - what a row's changes say of the head it replaced */
bool search_decode(
    const struct store_version *row, struct rec_replaced_head *replaced);

/* puts.c */

/** puts_new() - an empty list of objects to write */
GPtrArray *puts_new(void);

/** puts_add() - add an object; see struct put; takes over @content */
void puts_add(
    GPtrArray *puts, const char *key, const char *section, GBytes *content);

/** puts_issue() - write as many as may be under way */
void puts_issue(struct signoff *r, uint64_t now_ms);

/** puts_on_put() - a write ended */
void
puts_on_put(struct signoff *r, uint64_t now_ms, uint32_t token, enum status st);

/** puts_cancel_tokens() - give up waiting for those under way */
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

/* outcome.c: each ends the operation */

/** outcome_done() - done; @root is that of the version made, or NULL */
void outcome_done(struct signoff *r, enum signoff_kind kind, uint64_t version,
    const struct digest *root);

void outcome_already_halted(struct signoff *r);
void outcome_conflict(struct signoff *r);
void outcome_not_found(struct signoff *r, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void outcome_invalid(struct signoff *r, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** outcome_timed_out() - no time left: unavailable or unknown */
void outcome_timed_out(struct signoff *r);

/** outcome_not_settled() - find: a write may still arrive */
void outcome_not_settled(struct signoff *r);

#endif
