/*
 * Inner structures of the entry, shared by its files.  All of it belongs to
 * the entry's thread but for what is marked atomic.
 */
#ifndef ENTRY_PRIV_H
#define ENTRY_PRIV_H

#include <stdatomic.h>

#include <glib.h>

#include "base/log.h"
#include "config/snapshot.h"
#include "net/conn.h"
#include "net/loop.h"
#include "node/entry.h"
#include "proto/settings.h"
#include "traffic/behind.h"
#include "traffic/canary.h"
#include "traffic/call.h"
#include "traffic/drain.h"
#include "traffic/ejection.h"
#include "traffic/endpoints.h"
#include "traffic/patience.h"
#include "traffic/placement.h"
#include "traffic/quarantine.h"
#include "traffic/split.h"

#include "node/call_dialect.h"

#include "call_exchange.h"
#include "call_link.h"
#include "call_silence.h"

/* A request's body up to this size is kept for another attempt. */
#define ENTRY_BODY_KEEP_BYTES 65536

/* An answer up to this size is given to the caller when it is whole. */
#define ENTRY_ANSWER_HOLD_BYTES 65536

/* A node that can't serve yet says to come back after this: a starting node has
 * its configuration in force 0.5 to 0.7 s after its start, and callers come
 * back twice.  Told 1 ms, they had spent both returns before: of 1,770 requests
 * in the 2 s after all processes were killed 648 were refused, 176 so. */
#define ENTRY_STARTING_RETRY_MS 400

/**
 * struct entry - the entry of a node
 * @settings: settings of the node; borrowed
 * @incarnation: number of this process
 * @dialect: how callers are spoken to; borrowed
 * @loop: event loop of the traffic thread
 * @endpoints: what is known of all endpoints
 * @ejection: which of them are left out
 * @placement: chooses among them
 * @patience: how long callers of each route wait
 * @splits: rounds of the routes that services share by weight
 * @snapshot: snapshot last seen, a reference
 * @generation: counts the snapshots seen
 * @awaited: the version in force against the newest that some node could read
 * @behind: version in force against the newest one known of
 * @awaited: version in force against the newest one that some node could read
 * @quarantine: requests that are no longer run, borrowed; NULL for none
 * @watcher: told of new snapshots, or NULL
 * @watcher_arg: given to it
 * @services: service id to struct entry_service
 * @peers: address key to struct entry_peer
 * @calls: struct entry_call that are not freed
 * @drain: the stop of this entry
 * @drain_timer: when the drain has to be looked at
 * @sequence: number of the last call
 * @seed: random number of this process, part of request ids
 * @in_flight: number of calls, atomic for entry_in_flight()
 * @done_log_limit: bound on lines of calls that were answered
 * @other_log_limit: bound on lines of all others
 */
struct entry {
	const struct settings *settings;
	uint64_t incarnation;
	const struct call_dialect *dialect;
	struct loop *loop;
	struct endpoints *endpoints;
	struct ejection *ejection;
	struct placement *placement;
	struct split_table *splits;
	struct patience *patience;
	struct snapshot *snapshot;
	uint64_t generation;
	struct behind behind;
	struct behind awaited;
	struct quarantine *quarantine;
	void (*watcher)(void *arg);
	void *watcher_arg;
	GHashTable *services;
	GHashTable *peers;
	GQueue calls;
	struct drain drain;
	struct loop_timer drain_timer;
	uint64_t sequence;
	uint64_t seed;
	_Atomic uint32_t in_flight;
	struct log_limit done_log_limit;
	struct log_limit other_log_limit;
};

/**
 * struct entry_service - what the entry keeps on a service
 * @id: see service_id()
 * @budget: its retry budget
 * @versions: which endpoints get requests, as last told to the decisions
 * @canary: calls that go to a version on trial
 * @list: endpoints last told to the decisions, a reference, or NULL
 * @endpoint_index: endpoint id to index in @list plus one
 */
struct entry_service {
	uint64_t id;
	struct retry_budget budget;
	struct service_versions versions;
	struct canary canary;
	struct endpoint_list *list;
	GHashTable *endpoint_index;
};

/** enum peer_state - where a connection to a guard stands */
enum peer_state {
	PEER_NONE = 0,
	PEER_DIALLING,
	PEER_READY,
};

/**
 * struct entry_peer - a guard and the connection to it
 * @entry: the entry
 * @address: where the guard listens
 * @state: where the connection stands
 * @link: the connection, unless @state is PEER_NONE
 * @incarnation: number of the guard's process, from its hello
 * @initial_credit_bytes: bytes of a body that it takes before a credit
 * @streams: stream number to struct entry_attempt
 * @waiting: struct entry_attempt that wait for the connection
 * @last_stream: number of the last stream
 * @silence: whether the connection has gone silent
 * @timer: pings, time limit of dialling, closing when idle
 * @last_used_ms: when a stream was last open
 * @stopping: the guard asked for no more requests
 * @endpoints: ids of endpoints that attempts went to there
 * @suspected: nothing is heard from there
 * @suspect_ms: when a ping without answer makes it so; DEADLINE_NEVER
 * @dial_deadline_ms: when a dial is given up
 * @failed_dials: dials in a row that failed
 */
struct entry_peer {
	struct entry *entry;
	struct net_addr address;
	enum peer_state state;
	struct call_link link;
	uint64_t incarnation;
	uint32_t initial_credit_bytes;
	GHashTable *streams;
	GQueue waiting;
	uint32_t last_stream;
	struct call_silence silence;
	struct loop_timer timer;
	uint64_t last_used_ms;
	bool stopping;
	GArray *endpoints;
	bool suspected;
	uint64_t suspect_ms;
	uint64_t dial_deadline_ms;
	uint32_t failed_dials;
};

/** enum attempt_kind - what a stream is for */
enum attempt_kind {
	ATTEMPT_SEND = 0,
	ATTEMPT_RESOLVE,
};

/**
 * struct entry_attempt - one stream of a call
 * @sender: its turns for the request's body
 * @call: the call
 * @kind: what it is for
 * @action: the decision that led to it
 * @id: name of the attempt
 * @address: where the guard listens
 * @peer: the guard; NULL when the stream is over
 * @stream: number of the stream on the connection, 0 while not sent
 * @counted: endpoints_began() was told and endpoints_ended() not yet
 * @sent_us: when it was sent
 * @head_us: when the head of the answer came, 0 before
 * @upstream_us: time that the upstream took, without waiting at the guard
 * @next_piece: number of the body's piece to be sent next
 * @piece_offset: bytes of it that were sent
 * @fin_sent: the end of the body was sent
 * @credit_bytes: bytes of the body that may be sent
 * @status: HTTP status of the answer
 * @load: load that the head carried
 * @answer: head of the answer, until it is given to the exchange
 * @pieces: GBytes of the answer that are not given yet
 * @answer_bytes: bytes of the answer that came
 * @answer_length: length of the answer or BODY_LENGTH_UNKNOWN
 * @committed: the beginning of the answer was given to the caller
 * @complete: the whole answer came
 * @ungranted_bytes: consumed by the caller and not granted to the guard yet
 */
struct entry_attempt {
	struct call_sender sender;
	struct entry_call *call;
	enum attempt_kind kind;
	struct call_action action;
	struct request_id id;
	struct net_addr address;
	struct entry_peer *peer;
	uint32_t stream;
	bool counted;
	uint64_t sent_us;
	uint64_t head_us;
	uint64_t upstream_us;
	uint64_t next_piece;
	size_t piece_offset;
	bool fin_sent;
	uint64_t credit_bytes;
	uint32_t status;
	struct rec_load load;
	struct call_answer *answer;
	GQueue pieces;
	uint64_t answer_bytes;
	int64_t answer_length;
	bool committed;
	bool complete;
	uint64_t ungranted_bytes;
};

/**
 * struct entry_body - a request's body at the entry
 * @pieces: GBytes that are held
 * @first: number of the first piece that is held
 * @bytes: bytes that came so far
 * @exchange_end: how it ended by the worker's word, behind what waits there
 * @end: how it ended, behind what is here
 * @held: all of it from the first byte is held
 */
struct entry_body {
	GQueue pieces;
	uint64_t first;
	uint64_t bytes;
	enum exchange_end exchange_end;
	enum exchange_end end;
	bool held;
};

/**
 * struct entry_call - a call
 * @entry: the entry
 * @link: its place in the entry's list
 * @exchange: what is shared with the caller's worker, a reference
 * @request: the request in it
 * @snapshot: snapshot that placed it, a reference
 * @service: the service
 * @config: its configuration in @snapshot
 * @route: the route in @snapshot
 * @deadline_ms: the caller's deadline, or the route's if that is sooner
 * @target_ms: when its answer is worth less, 0 when not told
 * @idempotent: running it twice does no harm
 * @keyed: it has an idempotency key that counts
 * @machine: the state machine
 * @placed: the last placement
 * @placed_host: host of it
 * @placed_version: version of the software there
 * @sequence: number of the call
 * @body: the request's body
 * @attempts: struct entry_attempt, owned
 * @timer: wakes the state machine
 * @free_task: frees the call at the end of the turn
 * @running_actions: actions are being carried out
 * @finished: the exchange has its final word
 */
struct entry_call {
	struct entry *entry;
	GList link;
	struct call_exchange *exchange;
	const struct call_request *request;
	struct snapshot *snapshot;
	struct entry_service *service;
	const struct service_config *config;
	const struct service_route *route;
	uint64_t deadline_ms;
	uint64_t target_ms;
	bool idempotent;
	bool keyed;
	struct call *machine;
	struct placement_choice placed;
	char placed_host[HOST_NAME_BYTES];
	char placed_version[ENDPOINT_VERSION_BYTES];
	uint64_t sequence;
	struct entry_body body;
	GPtrArray *attempts;
	struct loop_timer timer;
	struct loop_task free_task;
	bool running_actions;
	bool finished;
};

/* entry_service.c */

/** entry_snapshot() - the snapshot in force, borrowed until the next call */
struct snapshot *entry_snapshot(struct entry *e);

/** entry_service_get() - a service, with its endpoints told to @e's decisions
 */
struct entry_service *
entry_service_get(struct entry *e, const struct snapshot_service *ss);

/** entry_service_endpoint() - an endpoint of a service, or NULL */
const struct endpoint *
entry_service_endpoint(const struct entry_service *s, uint64_t id);

/** entry_service_free() - free it; for GHashTable */
void entry_service_free(void *service);

/* entry_peer.c */

/** entry_peer_get() - the guard at an address, made if needed */
struct entry_peer *entry_peer_get(struct entry *e, struct net_addr address);

/** entry_peer_goodbye() - the guard asks for no more requests */
void entry_peer_goodbye(struct entry_peer *p, uint64_t sent_ms);

/** entry_peer_add() - send @a as soon as the connection is ready */
void entry_peer_add(struct entry_peer *p, struct entry_attempt *a);

/** entry_peer_remove() - @a is over; frames for it are ignored from now on */
void entry_peer_remove(struct entry_attempt *a);

/** entry_peer_free() - close the connection; for GHashTable */
void entry_peer_free(void *peer);

/* entry_frames.c */

/**
 * entry_frame() - a frame came from a guard
 *
 * Return: false when the connection is to be closed for it.
 */
bool entry_frame(
    struct entry_peer *p, uint8_t type, const uint8_t *body, size_t len);

/* entry_attempt.c */

/** entry_attempt_new() - a stream for a SEND or RESOLVE of @c */
struct entry_attempt *
entry_attempt_new(struct entry_call *c, const struct call_action *action);

/** entry_attempt_free() - free it; for GPtrArray */
void entry_attempt_free(void *attempt);

/** entry_attempt_rejected() - its guard is stopping; nothing was sent */
void entry_attempt_rejected(struct entry_attempt *a);

/** entry_attempt_start() - the connection is ready: send its first frame */
void entry_attempt_start(struct entry_attempt *a);

/** entry_attempt_lost() - its connection was lost or could not be made */
void entry_attempt_lost(struct entry_attempt *a, bool silent);

/** entry_attempt_end() - it is over: tell the endpoint's record how */
void entry_attempt_end(struct entry_attempt *a, enum endpoint_result result);

/** entry_attempt_send_body() - there may be more of the body to send */
void entry_attempt_send_body(struct entry_attempt *a);

/** entry_attempt_grant() - the caller consumed @bytes of the answer */
void entry_attempt_grant(struct entry_attempt *a, uint32_t bytes);

/* entry_body.c */

/** entry_body_pull() - take from the exchange what fits */
void entry_body_pull(struct entry_call *c, struct entry_attempt *a);

/** entry_body_piece() - piece number @i, or NULL when it isn't there (yet) */
GBytes *entry_body_piece(const struct entry_body *b, uint64_t i);

/** entry_body_release() - pieces before number @i are not needed any more */
void entry_body_release(struct entry_body *b, uint64_t i);

/** entry_body_clear() - free what it holds */
void entry_body_clear(struct entry_body *b);

/* entry_call.c */

/** entry_route_key() - number of a route, whatever service it leads to */
uint64_t entry_route_key(const struct service_route *route);

/** entry_call_begin() - a call came in; takes over the reference to @x */
void entry_call_begin(struct entry *e, struct call_exchange *x);

/** entry_call_exchange_event() - something happened at the worker's side */
void entry_call_exchange_event(struct entry_call *c);

/** entry_call_run() - carry out what the decision wants, after an event */
void entry_call_run(struct entry_call *c);

/** entry_call_free() - free it */
void entry_call_free(struct entry_call *c);

/* entry_behind.c */

/**
 * entry_behind_refuse() - a request looks wrong by the version in force
 * @e: the entry
 * @x: the request
 * @status: HTTP status that it would get
 *
 * Return: whether it was answered instead that it is to come back, since a
 * newer version is known of.
 */
bool
entry_behind_refuse(struct entry *e, struct call_exchange *x, uint32_t status);

/** entry_is_overdue() - whether the time to put a later version in force is up;
 * hosts that have it are to check what is routed here */
bool entry_is_overdue(const struct entry *e);

/**
 * entry_behind_body_too_large() - a body is larger than the call's version
 * takes
 *
 * Answers it: the body is too large when no newer version is known of; else
 * the call is to come back, or, once begun, its fate is not known.
 */
void entry_behind_body_too_large(struct entry_call *c);

/* entry_answer.c */

/** entry_answer_stopping() - not run: this node stops, others serve */
void entry_answer_stopping(struct call_exchange *x);

/** entry_answer_starting() - not run: this node has no configuration yet */
void entry_answer_starting(struct call_exchange *x);

/** entry_answer_behind() - not run: a newer version may know the request */
void entry_answer_behind(
    struct call_exchange *x, uint64_t version, uint64_t retry_after_ms);

/** entry_answer_refuse() - the entry itself answers: the call was not run */
void entry_answer_refuse(struct call_exchange *x, uint32_t status,
    const char *kind, const char *message);

/** entry_answer_failed() - final word of a call that has no answer */
void
entry_answer_failed(struct entry_call *c, const struct call_action *action);

/** entry_answer_too_large() - the body outgrew what the service takes */
void entry_answer_too_large(struct entry_call *c, enum outcome o);

/** entry_answer_unknown() - broken off; the request may or may not have run */
void entry_answer_unknown(struct entry_call *c);

/** entry_answer_commit() - give the beginning of an answer */
void entry_answer_commit(struct entry_attempt *a);

/** entry_answer_deliver() - give the rest of an answer */
void entry_answer_deliver(struct entry_attempt *a);

/* entry.c */

/** entry_call_ended() - a call has its final word */
void entry_call_ended(struct entry *e);

#endif
