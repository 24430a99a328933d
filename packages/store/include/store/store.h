/*
 * What must last: the platform's table service and object store, behind a
 * vtable.
 *
 * Operations are asynchronous.  Each has a deadline and calls its function
 * once, in the loop's thread, never before the operation has returned.  When
 * a status isn't STATUS_OK, status_message() says more during the call.
 *
 * Nothing is retried here.  Statuses of reads:
 *
 *	STATUS_OK		read
 *	STATUS_NOT_FOUND	the row or object does not exist
 *	STATUS_UNAVAILABLE	no usable answer: down, throttled, late, garbled
 *	STATUS_TOO_LARGE	more than the reader's limit
 *
 * Statuses of writes:
 *
 *	STATUS_OK		in force
 *	STATUS_CONFLICT		a condition failed; nothing was written
 *	STATUS_UNAVAILABLE	certainly not written: the platform could not be
 *				reached or said that it refused
 *	STATUS_UNKNOWN		may or may not have taken effect; settle it by
 *				reading the row back for the operation id
 *	STATUS_TOO_LARGE	above the platform's limit; nothing was written
 *	STATUS_INVALID		the platform calls the request wrong
 */
#ifndef STORE_STORE_H
#define STORE_STORE_H

#include <stddef.h>
#include <stdint.h>

#include "base/hash.h"
#include "base/status.h"

#define STORE_OP_BYTES 64
#define STORE_OPERATOR_BYTES 64
#define STORE_NOTE_BYTES 256

/** STORE_VERSIONS_MAX - most versions read by one operation */
#define STORE_VERSIONS_MAX 100
/** STORE_CHANGES_MAX_BYTES - most bytes of changes in a version row */
#define STORE_CHANGES_MAX_BYTES (256U * 1024U)
/** STORE_OBJECT_MAX_BYTES - largest object */
#define STORE_OBJECT_MAX_BYTES (16U * 1024U * 1024U)
/** STORE_KEY_BYTES - longest key of an object, with the ending zero */
#define STORE_KEY_BYTES 128

/** enum store_state - what is asked of the nodes */
enum store_state {
	STORE_ROLLING = 0,
	STORE_HALTED,
};

/**
 * struct store_head - the head row
 * @seq: number of changes to this row; each write adds one
 * @version: highest version number given out
 * @in_force: highest version that isn't halted
 * @parent: parent of @version
 * @state: rolling or halted
 * @root: root hash of @in_force, all zero when that is 0
 * @op: id of the operation that wrote the row
 */
struct store_head {
	uint64_t seq;
	uint64_t version;
	uint64_t in_force;
	uint64_t parent;
	enum store_state state;
	struct digest root;
	char op[STORE_OP_BYTES];
};

/**
 * struct store_version - the row of one version; never changes once written
 * @version: number
 * @parent: number of the version that it changes
 * @wall_ms: when it was signed off, wall clock
 * @root: root hash
 * @op: id of the operation that wrote the row
 * @operator_name: who signed it off
 * @note: why
 * @changes: encoded list of changed sections; borrowed
 * @changes_bytes: length of @changes
 */
struct store_version {
	uint64_t version;
	uint64_t parent;
	uint64_t wall_ms;
	struct digest root;
	char op[STORE_OP_BYTES];
	char operator_name[STORE_OPERATOR_BYTES];
	char note[STORE_NOTE_BYTES];
	const uint8_t *changes;
	uint32_t changes_bytes;
};

/**
 * struct store_write - rows to be written together or not at all
 * @expected_seq: the head row's seq as last read; 0 when there must be none
 * @head: new head row; its seq must be @expected_seq + 1
 * @version: new version row, which must not exist yet; NULL for none
 */
struct store_write {
	uint64_t expected_seq;
	const struct store_head *head;
	const struct store_version *version;
};

/**
 * enum store_conflict - which condition failed
 * @STORE_CONFLICT_NONE: none
 * @STORE_CONFLICT_HEAD: the head row has changed
 * @STORE_CONFLICT_VERSION: the version row exists
 */
enum store_conflict {
	STORE_CONFLICT_NONE = 0,
	STORE_CONFLICT_HEAD,
	STORE_CONFLICT_VERSION,
};

/** store_head_fn - the head row was read; @head is NULL unless STATUS_OK */
typedef void
store_head_fn(enum status st, const struct store_head *head, void *arg);

/**
 * store_versions_fn - version rows were read
 * @st: status; STATUS_OK also when some of the rows don't exist
 * @rows: rows that exist, in rising order; valid during the call only
 * @n: number of rows
 * @upto: the answer covers the versions asked for up to this one; lower than
 *	the last one asked for when the platform gave only a part
 * @arg: the caller's argument
 */
typedef void store_versions_fn(enum status st, const struct store_version *rows,
    uint32_t n, uint64_t upto, void *arg);

/** store_write_fn - the write has ended; @conflict says what conflicted */
typedef void
store_write_fn(enum status st, enum store_conflict conflict, void *arg);

/** store_object_fn - an object was read; @data is valid during the call */
typedef void
store_object_fn(enum status st, const uint8_t *data, size_t len, void *arg);

/** store_done_fn - the operation has ended */
typedef void store_done_fn(enum status st, void *arg);

struct store;

/**
 * struct store_ops - operations of a store; use the functions below
 * @free: see store_free()
 * @read_head: see store_read_head()
 * @read_versions: see store_read_versions()
 * @transact: see store_transact()
 * @get_object: see store_get_object()
 * @put_object_once: see store_put_object_once()
 */
struct store_ops {
	void (*free)(struct store *s);
	void (*read_head)(struct store *s, uint64_t deadline_ms,
	    store_head_fn *fn, void *arg);
	void (*read_versions)(struct store *s, uint64_t from, uint64_t to,
	    uint64_t deadline_ms, store_versions_fn *fn, void *arg);
	void (*transact)(struct store *s, const struct store_write *w,
	    uint64_t deadline_ms, store_write_fn *fn, void *arg);
	void (*get_object)(struct store *s, const char *key, size_t max_bytes,
	    uint64_t deadline_ms, store_object_fn *fn, void *arg);
	void (*put_object_once)(struct store *s, const char *key,
	    const uint8_t *data, size_t len, uint64_t deadline_ms,
	    store_done_fn *fn, void *arg);
};

/**
 * struct store - first member of every store
 * @ops: its operations
 */
struct store {
	const struct store_ops *ops;
};

/**
 * store_free() - free a store
 * @s: the store; NULL is allowed
 *
 * Functions of operations that have not ended are not called any more.
 */
static inline void
store_free(struct store *s)
{
	if (s != NULL)
		s->ops->free(s);
}

/**
 * store_read_head() - read the head row, strongly consistent
 * @s: the store
 * @deadline_ms: monotonic time by which @fn is called
 * @fn: called with the row
 * @arg: given to @fn
 */
static inline void
store_read_head(
    struct store *s, uint64_t deadline_ms, store_head_fn *fn, void *arg)
{
	s->ops->read_head(s, deadline_ms, fn, arg);
}

/**
 * store_read_versions() - read version rows, strongly consistent
 * @s: the store
 * @from: first version
 * @to: last version; at most STORE_VERSIONS_MAX are read
 * @deadline_ms: monotonic time by which @fn is called
 * @fn: called with the rows
 * @arg: given to @fn
 */
static inline void
store_read_versions(struct store *s, uint64_t from, uint64_t to,
    uint64_t deadline_ms, store_versions_fn *fn, void *arg)
{
	s->ops->read_versions(s, from, to, deadline_ms, fn, arg);
}

/**
 * store_transact() - write the head row, and a version row with it
 * @s: the store
 * @w: the rows; copied
 * @deadline_ms: monotonic time by which @fn is called
 * @fn: called with the outcome
 * @arg: given to @fn
 */
static inline void
store_transact(struct store *s, const struct store_write *w,
    uint64_t deadline_ms, store_write_fn *fn, void *arg)
{
	s->ops->transact(s, w, deadline_ms, fn, arg);
}

/**
 * store_get_object() - read an object
 * @s: the store
 * @key: key, for instance "section/<hexadecimal digest>"
 * @max_bytes: STATUS_TOO_LARGE above this
 * @deadline_ms: monotonic time by which @fn is called
 * @fn: called with the content, which is not checked against the key
 * @arg: given to @fn
 */
static inline void
store_get_object(struct store *s, const char *key, size_t max_bytes,
    uint64_t deadline_ms, store_object_fn *fn, void *arg)
{
	s->ops->get_object(s, key, max_bytes, deadline_ms, fn, arg);
}

/**
 * store_put_object_once() - write an object named by its content
 * @s: the store
 * @key: key; an object that exists already is success
 * @data: content; copied
 * @len: number of bytes
 * @deadline_ms: monotonic time by which @fn is called
 * @fn: called with the outcome
 * @arg: given to @fn
 */
static inline void
store_put_object_once(struct store *s, const char *key, const uint8_t *data,
    size_t len, uint64_t deadline_ms, store_done_fn *fn, void *arg)
{
	s->ops->put_object_once(s, key, data, len, deadline_ms, fn, arg);
}

#endif
