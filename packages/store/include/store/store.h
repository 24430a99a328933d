/*
 * Persistent storage: the platform's table service and object store, behind a
 * vtable.
 *
 * Operations are asynchronous. Each has a deadline and calls its function
 * once, in the loop's thread, after the operation has returned. Unless the
 * status is STATUS_OK, status_message() gives the details during the call.
 *
 * Nothing is retried here. Statuses of reads:
 *
 *	STATUS_OK		read
 *	STATUS_NOT_FOUND	the row or object does not exist
 *	STATUS_UNAVAILABLE	no usable answer: down, throttled, late, invalid
 *	STATUS_TOO_LARGE	above the reader's limit
 *
 * Statuses of writes:
 *
 *	STATUS_OK		written
 *	STATUS_CONFLICT		a condition failed; nothing was written
 *	STATUS_UNAVAILABLE	certainly not written: the platform could not be
 *				reached or rejected the write
 *	STATUS_UNKNOWN		may or may not have taken effect; read the row
 *				back and compare the operation id
 *	STATUS_TOO_LARGE	above the platform's limit; nothing was written
 *	STATUS_INVALID		the request is invalid; nothing was written
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

/** STORE_VERSIONS_MAX - highest number of versions read by one operation */
#define STORE_VERSIONS_MAX 100
/** STORE_CHANGES_MAX_BYTES - largest size of the changes in a version row */
#define STORE_CHANGES_MAX_BYTES (256U * 1024U)
/** STORE_OBJECT_MAX_BYTES - largest size of an object */
#define STORE_OBJECT_MAX_BYTES (16U * 1024U * 1024U)
/** STORE_KEY_BYTES - size of an object's key, terminating zero included */
#define STORE_KEY_BYTES 128

/** enum store_state - state of the newest version */
enum store_state {
	STORE_ROLLING = 0,
	STORE_HALTED,
};

/**
 * struct store_head - the head row
 * @seq: number of writes of this row; each write adds one
 * @version: newest version
 * @in_force: highest version that isn't halted
 * @parent: parent of @version
 * @state: rolling or halted
 * @root: root hash of @in_force, all zero if that is 0
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
 * struct store_version - the row of one version; immutable once written
 * @version: number
 * @parent: number of the version that it changes
 * @wall_ms: when it was signed off, wall clock
 * @root: root hash
 * @op: id of the operation that wrote the row
 * @operator_name: operator who signed it off
 * @note: the operator's reason
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
 * struct store_write - rows to write in one transaction
 * @expected_seq: the head row's seq as last read; 0 if there must be no head
 *	row
 * @head: new head row; its seq must be above @expected_seq
 * @version: new version row, which must not exist yet; NULL for none
 */
struct store_write {
	uint64_t expected_seq;
	const struct store_head *head;
	const struct store_version *version;
};

/**
 * enum store_conflict - condition that failed
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
 * @st: status; STATUS_OK also if some of the rows don't exist
 * @rows: existing rows, in ascending order; valid during the call only
 * @n: number of rows
 * @upto: last version that the answer covers; lower than the last one requested
 *	if the platform returned only a part
 * @arg: argument given to the read
 */
typedef void store_versions_fn(enum status st, const struct store_version *rows,
    uint32_t n, uint64_t upto, void *arg);

/** store_write_fn - the write has ended; @conflict is the condition that failed
 */
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
 * The functions of operations in progress are not called any more.
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
 * store_transact() - write the head row, and with it a version row, atomically
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
 * @max_bytes: largest size; STATUS_TOO_LARGE above it
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
 * store_put_object_once() - write an object whose key is derived from its
 * content
 * @s: the store
 * @key: key; STATUS_OK if the object exists already
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
