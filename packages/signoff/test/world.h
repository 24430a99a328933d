/*
 * Simulation: a fake platform that loses answers, throttles, delays and
 * duplicates writes; operators who act on it in an order drawn from a seed; and
 * a checker of the outcomes reported to them.
 */
#ifndef SIGNOFF_TEST_WORLD_H
#define SIGNOFF_TEST_WORLD_H

#include "proto/messages.h"
#include "signoff/signoff.h"

#define WORLD_VIOLATION_BYTES 256

/* Variant with as many services, and as long names, as are allowed. */
#define WORLD_BUNDLE_MAX UINT32_MAX

/** enum fault - fault of one request to the platform */
enum fault {
	FAULT_NONE = 0,
	FAULT_REJECTED,	    /* throttled: certainly not executed */
	FAULT_LOST_REQUEST, /* never arrives; no answer until the deadline */
	FAULT_LOST_ANSWER,  /* executed; no answer until the deadline */
	FAULT_LATE,	    /* executed after the sender's deadline */
	FAULT_DOUBLED,	    /* arrives twice */
	FAULT_COUNT,
};

/**
 * struct actor - an operation and the operator who started it
 * @req: parameters of the operation
 * @r: the operation; kept to the end, so that late answers reach it
 * @bundle: bundle of a sign-off
 * @variant: variant from which the bundle was made
 * @naive: restarts an unknown write blindly under another id
 * @n_starts: number of starts, for the ids of a naive actor
 * @sent_head: head row of its last write
 * @outcome: its outcome
 */
struct actor {
	struct signoff_request req;
	struct signoff *r;
	struct bundle *bundle;
	uint32_t variant;
	bool naive;
	uint32_t n_starts;
	struct store_head sent_head;
	struct signoff_outcome outcome;
};

/**
 * struct commit - a write that took effect
 * @op: operation that sent it
 * @version: version created or halted
 * @halt: whether it was a halt
 * @head: head row that it wrote
 */
struct commit {
	char op[STORE_OP_BYTES];
	uint64_t version;
	bool halt;
	struct store_head head;
};

/**
 * struct world_copy - copy of the platform
 * @head: the head row
 * @n_rows: number of version rows
 * @n_commits: number of writes that had taken effect
 * @objects: key to GBytes, or NULL before the first copy
 */
struct world_copy {
	struct store_head head;
	uint32_t n_rows;
	uint32_t n_commits;
	GHashTable *objects;
};

/**
 * struct world - platform, actors and the messages between them
 * @rand: source of all random choices
 * @now_ms: virtual time
 * @down: whether the platform refuses all requests
 * @down_from: request from which on the platform is down, counted from 1; 0
 *	for none
 * @fault_percent: percentage of requests with a fault
 * @n_requests: requests so far
 * @fault_at: request that has @fault, counted from 1; 0 for none
 * @fault: fault of request @fault_at
 * @rejection: status of each request of @rejected_kind; STATUS_OK to execute
 *	them
 * @rejected_kind: kind of action rejected
 * @head: the head row; seq 0 for none
 * @rows: struct row
 * @objects: key to GBytes
 * @events: struct event, sorted by time
 * @actors: struct actor
 * @commits: struct commit, in order of the head row's seq
 * @n_whole: version rows that do not list their changes
 * @copy: what world_restore() brings back
 * @violation: first violation seen; empty for none
 */
struct world {
	GRand *rand;
	uint64_t now_ms;
	bool down;
	uint32_t down_from;
	uint32_t fault_percent;
	uint32_t n_requests;
	uint32_t fault_at;
	enum fault fault;
	enum status rejection;
	enum signoff_action_kind rejected_kind;
	struct store_head head;
	GPtrArray *rows;
	GHashTable *objects;
	GSequence *events;
	GPtrArray *actors;
	GArray *commits;
	uint32_t n_whole;
	struct world_copy copy;
	char violation[WORLD_VIOLATION_BYTES];
};

struct world *world_new(uint32_t seed);
void world_free(struct world *w);

/** world_request() - a request with its defaults filled in */
struct signoff_request world_request(struct world *w, enum signoff_kind kind,
    const char *op, const char *operator_name);

/** world_start() - start an operation; its bundle is made from @variant */
struct actor *world_start(struct world *w, const struct signoff_request *req,
    uint32_t variant, bool naive);

/** world_find_row() - a version's row, NULL if there is none */
const struct row *world_find_row(const struct world *w, uint64_t version);

/** world_back_up() - make a copy of the platform */
void world_back_up(struct world *w);

/** world_restore() - go back to the copy; all operations must have ended, and
 * are forgotten */
void world_restore(struct world *w);

/** world_step() - process one event; Return: whether there was one */
bool world_step(struct world *w);

/** world_run() - run until all operations have ended and no message is in
 * transit */
void world_run(struct world *w);

/** world_run_operation() - start an operation, run, and return its outcome */
const struct signoff_outcome *world_run_operation(
    struct world *w, const struct signoff_request *req, uint32_t variant);

/** world_check() - whether all reported outcomes are true; sets @w->violation
 */
bool world_check(struct world *w);

#endif
