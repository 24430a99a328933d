/*
 * A fake platform that loses answers, throttles, delays and doubles writes,
 * operators who act on it in an order drawn from a seed, and a checker of
 * what they were told.
 */
#ifndef SIGNOFF_TEST_WORLD_H
#define SIGNOFF_TEST_WORLD_H

#include "proto/messages.h"
#include "signoff/signoff.h"

#define WORLD_VIOLATION_BYTES 256

/* Variant of a bundle with as many and as long names as may be. */
#define WORLD_BUNDLE_MAX UINT32_MAX

/** enum fault - what becomes of one request to the platform */
enum fault {
	FAULT_NONE = 0,
	FAULT_REJECTED,	    /* throttled: certainly not done */
	FAULT_LOST_REQUEST, /* never arrives; silence until the deadline */
	FAULT_LOST_ANSWER,  /* done; silence until the deadline */
	FAULT_LATE,	    /* done after the sender gave up on it */
	FAULT_DOUBLED,	    /* arrives twice */
	FAULT_COUNT,
};

/**
 * struct actor - an operation and who started it
 * @req: what was asked for
 * @r: the operation; kept to the end, so that late answers reach it
 * @bundle: bundle of a sign-off
 * @variant: what its bundle was made up from
 * @naive: answers an unknown write by starting afresh under another id
 * @n_starts: starts, for the ids of a naive one
 * @sent_head: head row of its last write, which the shell remembers
 * @outcome: how it ended
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
 * struct deed - one write that took effect
 * @op: operation that did it
 * @version: version made or halted
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
 * struct world - platform, actors and the messages between them
 * @rand: all that is drawn
 * @now_ms: virtual time
 * @down: the platform refuses everything
 * @down_from: request from which on it is down, counted from 1; 0 for none
 * @fault_percent: share of requests that go wrong
 * @n_requests: requests so far
 * @fault_at: request that goes wrong by @fault, counted from 1; 0 for none
 * @fault: how
 * @rejection: what the platform says to each request of @rejected_kind;
 * STATUS_OK to carry them out
 * @rejected_kind: kind of action refused
 * @head: the head row; seq 0 for none
 * @rows: struct row
 * @objects: key to GBytes
 * @events: struct event, sorted by time
 * @actors: struct actor
 * @commits: struct deed, in order of the head row's seq
 * @n_whole: version rows that do not list their changes
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
	char violation[WORLD_VIOLATION_BYTES];
};

struct world *world_new(uint32_t seed);
void world_free(struct world *w);

/** world_request() - a request with its defaults filled in */
struct signoff_request world_request(struct world *w, enum signoff_kind kind,
    const char *op, const char *operator_name);

/** world_start() - start an operation; @variant makes up its bundle */
struct actor *world_start(struct world *w, const struct signoff_request *req,
    uint32_t variant, bool naive);

/** world_step() - let one thing happen; whether there was one */
bool world_step(struct world *w);

/** world_run() - run until all have ended and nothing is on its way */
void world_run(struct world *w);

/** world_run_operation() - start an operation and run; its outcome */
const struct signoff_outcome *world_run_operation(
    struct world *w, const struct signoff_request *req, uint32_t variant);

/** world_check() - whether all were told the truth; sets @w->violation */
bool world_check(struct world *w);

#endif
