/*
 * Private structures of the entry, shared by its files.  They are accessed in
 * the traffic thread only, except for atomic fields.
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
#include "node/guard.h"
#include "proto/settings.h"
#include "quota/usage.h"
#include "traffic/behind.h"
#include "traffic/canary.h"
#include "traffic/call.h"
#include "traffic/drain.h"
#include "traffic/ejection.h"
#include "traffic/endpoints.h"
#include "traffic/patience.h"
#include "traffic/placement.h"
#include "traffic/quarantine.h"
#include "traffic/returns.h"
#include "traffic/run_reports.h"
#include "traffic/split.h"

#include "node/call_dialect.h"

#include "call_exchange.h"
#include "call_link.h"
#include "call_silence.h"
#include "entry_run.h"

/* A request's body up to this size is held for further attempts. */
#define ENTRY_BODY_KEEP_BYTES 65536

/* An answer up to this size is delivered only when it is complete. */
#define ENTRY_ANSWER_HOLD_BYTES 65536

/* Retry-After of a node without a configuration.  A starting node has its
 * configuration in force 0.5 to 0.7 s after its start, and callers retry twice.
 * With a Retry-After of 1 ms callers had used both retries before that: of the
 * 1,770 requests in the 2 s after all processes were killed, 648 were refused,
 * 176 of them for that reason. */
#define ENTRY_STARTING_RETRY_MS 400

/**
 * struct entry - the entry of a node
 * @settings: settings of the node; borrowed
 * @incarnation: number of this process
 * @dialect: header names; borrowed
 * @loop: event loop of the traffic thread
 * @endpoints: state of all endpoints
 * @ejection: endpoints that are ejected
 * @placement: chooses an endpoint for each attempt
 * @patience: how long callers of each route wait for an answer
 * @returns: when refused callers may come back
 * @splits: round-robin state of routes that services share by weight
 * @snapshot: snapshot last seen, a reference
 * @generation: number of snapshots seen
 * @behind: version in force and the newest one known
 * @awaited: version in force and the newest one that some node could read
 * @quarantine: quarantined requests, borrowed; NULL for none
 * @guard: guard of this host, borrowed; NULL for none
 * @quota: limits of customers; NULL in tests without homes
 * @usage: usage of customers at this node
 * @watcher: callback for new snapshots, or NULL
 * @watcher_arg: passed to @watcher
 * @runs: upstreams' runs that name a limit or leave
 * @served_runs: runs of this host's upstreams that make calls
 * @services: map of service id to struct entry_service
 * @peers: map of address key to struct entry_peer
 * @calls: struct entry_call that are not freed
 * @drain: state of this entry's drain
 * @drain_timer: next step of the drain
 * @sequence: sequence number of the last call
 * @seed: random number of this process, part of request ids
 * @in_flight: number of calls, atomic for entry_in_flight()
 * @confirmed_ms: see entry_set_confirmed()
 * @done_log_limit: rate limit of log lines on answered calls
 * @key_log_limit: rate limit of log lines on calls without a valid key
 * @other_log_limit: rate limit of all other log lines on calls
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
	struct returns *returns;
	struct snapshot *snapshot;
	uint64_t generation;
	struct behind behind;
	struct behind awaited;
	struct quarantine *quarantine;
	struct guard *guard;
	struct entry_quota *quota;
	struct quota_usage *usage;
	void (*watcher)(void *arg);
	void *watcher_arg;
	struct run_reports *runs;
	GHashTable *served_runs;
	GHashTable *services;
	GHashTable *peers;
	GQueue calls;
	struct drain drain;
	struct loop_timer drain_timer;
	uint64_t sequence;
	uint64_t seed;
	_Atomic uint32_t in_flight;
	_Atomic uint64_t confirmed_ms;
	struct log_limit done_log_limit;
	struct log_limit key_log_limit;
	struct log_limit other_log_limit;
};

/**
 * struct entry_service - the entry's state of a service
 * @id: see service_id()
 * @budget: retry budget
 * @versions: software versions that get requests, as last published to
 *	@endpoints of the entry
 * @canary: share of the calls that go to a version on trial
 * @list: list of endpoints last published, a reference, or NULL
 * @endpoint_index: map of endpoint id to its index in @list plus one
 */
struct entry_service {
	uint64_t id;
	struct retry_budget budget;
	struct service_versions versions;
	struct canary canary;
	struct endpoint_list *list;
	GHashTable *endpoint_index;
};

/** enum peer_state - state of the connection to a guard */
enum peer_state {
	PEER_NONE = 0,
	PEER_DIALLING,
	PEER_READY,
};

/**
 * struct entry_peer - a guard and the connection to it
 * @entry: the entry
 * @address: where the guard listens
 * @state: state of the connection
 * @link: the connection, unless @state is PEER_NONE
 * @incarnation: number of the guard's process, from its hello
 * @initial_credit_bytes: bytes of a body that may be sent before a credit
 * @streams: map of stream number to struct entry_attempt
 * @waiting: struct entry_attempt queued until the connection is ready
 * @last_stream: number of the last stream
 * @silence: silence detection of the connection
 * @timer: next ping, dial timeout, redial or idle timeout
 * @last_used_ms: monotonic time at which a stream was last open
 * @stopping: the guard is stopping and accepts no more requests
 * @endpoints: ids of the guard's endpoints that attempts were placed on
 * @suspected: the guard doesn't answer; other endpoints are preferred
 * @suspect_ms: monotonic time at which a ping without an answer sets
 *	@suspected, or DEADLINE_NEVER
 * @dial_deadline_ms: monotonic deadline of the dial
 * @failed_dials: consecutive dials that failed
 * @unanswered_report: a report of customers' demand has no reply yet
 * @wanted_until_ms: monotonic time until which the guard is redialled although
 *	no endpoint of it is used
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
	bool unanswered_report;
	uint64_t wanted_until_ms;
};

/** enum attempt_kind - purpose of a stream */
enum attempt_kind {
	ATTEMPT_SEND = 0,
	ATTEMPT_RESOLVE,
};

/**
 * struct entry_attempt - one stream of a call
 * @sender: sends the request's body
 * @call: the call
 * @kind: purpose of the stream
 * @action: action of the state machine that requested the attempt
 * @id: request id of the attempt
 * @address: where the guard listens
 * @peer: the guard; NULL once the stream has ended
 * @stream: number of the stream on the connection, 0 until sent
 * @counted: endpoints_began() was called and endpoints_ended() not yet
 * @sent_us: monotonic time at which the attempt was sent
 * @head_us: monotonic time at which the head of the answer was received, 0
 *	before
 * @upstream_us: time in the upstream, without queueing at the guard
 * @body_sent_bytes: bytes of the request's body that were sent
 * @fin_sent: the end of the body was sent
 * @credit_bytes: bytes of the body that may be sent
 * @status: HTTP status of the answer
 * @load: load of the endpoint, from the answer's head
 * @answer: head of the answer, until passed to the exchange
 * @answer_body: bytes of the answer that aren't passed to the exchange yet
 * @answer_bytes: received bytes of the answer
 * @answer_length: length of the answer or BODY_LENGTH_UNKNOWN
 * @committed: delivery of the answer to the caller has begun
 * @complete: the whole answer was received
 * @ungranted_bytes: bytes consumed by the caller for which the guard got no
 *	credit yet
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
	uint64_t body_sent_bytes;
	bool fin_sent;
	uint64_t credit_bytes;
	uint32_t status;
	struct rec_load load;
	struct call_answer *answer;
	struct body_buffer answer_body;
	uint64_t answer_bytes;
	int64_t answer_length;
	bool committed;
	bool complete;
	uint64_t ungranted_bytes;
};

/**
 * struct entry_body - a request's body at the entry
 * @buffer: bytes read from the exchange that are still needed
 * @exchange_end: how the body ends after the bytes in the exchange
 * @end: how the body ends after @buffer
 * @held: the body is held from its first byte
 */
struct entry_body {
	struct body_buffer buffer;
	enum exchange_end exchange_end;
	enum exchange_end end;
	bool held;
};

/**
 * struct entry_call - a call
 * @entry: the entry
 * @link: node in the entry's list of calls
 * @exchange: state shared with the server for callers, a reference
 * @request: the request in @exchange
 * @snapshot: snapshot that placed it, a reference
 * @service: the service
 * @config: configuration of @service in @snapshot
 * @route: the route in @snapshot
 * @customer: the customer in @snapshot, or NULL
 * @served: request of an upstream of this host that makes the call
 * @is_served: @served is set
 * @run: run of that request, or NULL
 * @credited: the call was admitted by credit of its customer
 * @parked: the call waits for credit and isn't started
 * @park_link: node in the list of such calls
 * @park_until_ms: monotonic time until which it waits
 * @deadline_ms: monotonic deadline: the earlier of the caller's deadline and
 *	the configured timeout
 * @target_ms: monotonic time after which the answer is worth less; 0 when not
 *	configured
 * @idempotent: the request may run more than once
 * @keyed: the request's idempotency key is in effect
 * @machine: the state machine
 * @placed: the last placement, for the log
 * @placed_host: host of the last placement
 * @placed_version: version of the software on @placed_host
 * @sequence: sequence number of the call
 * @body: the request's body
 * @attempts: struct entry_attempt, owned
 * @timer: wakes the state machine
 * @free_task: frees the call at the end of the loop's iteration
 * @is_early: the caller came back earlier than it was asked to
 * @running_actions: entry_call_run() is active, so nested calls return
 * @finished: the call has ended and is about to be freed
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
	const struct customer *customer;
	struct guard_served served;
	bool is_served;
	struct entry_run *run;
	bool credited;
	bool parked;
	GList park_link;
	uint64_t park_until_ms;
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
	bool is_early;
	bool running_actions;
	bool finished;
};

/* entry_service.c */

/** entry_snapshot() - the snapshot in force, borrowed until the next call */
struct snapshot *entry_snapshot(struct entry *e);

/** entry_service_get() - get a service; publishes its endpoints to the
 * placement when they changed
 */
struct entry_service *
entry_service_get(struct entry *e, const struct snapshot_service *ss);

/** entry_service_endpoint() - get an endpoint of a service, or NULL */
const struct endpoint *
entry_service_endpoint(const struct entry_service *s, uint64_t id);

/** entry_service_free() - free a service; for GHashTable */
void entry_service_free(void *service);

/* entry_peer.c */

/** entry_peer_get() - get the guard at an address, created on first use */
struct entry_peer *entry_peer_get(struct entry *e, struct net_addr address);

/** entry_peer_goodbye() - the guard is stopping and accepts no more requests */
void entry_peer_goodbye(struct entry_peer *p, uint64_t sent_ms);

/** entry_peer_add() - send @a as soon as the connection is ready; dials if
 * needed */
void entry_peer_add(struct entry_peer *p, struct entry_attempt *a);

/** entry_peer_remove() - detach @a; later frames of its stream are ignored */
void entry_peer_remove(struct entry_attempt *a);

/**
 * entry_peer_reach() - whether a message can be sent to the guard now
 *
 * If not, the connection is established as soon as the guard can be reached.
 */
bool entry_peer_reach(struct entry_peer *p);

/** entry_peer_report() - send a report of customers' demand; Return: whether it
 * was sent */
bool entry_peer_report(struct entry_peer *p, const struct msg_quota_report *m);

/** entry_peer_reported() - the guard has answered a report */
void entry_peer_reported(struct entry_peer *p);

/** entry_peer_free() - close the connection and free the peer; for
 * GHashTable */
void entry_peer_free(void *peer);

/* entry_frames.c */

/**
 * entry_frame() - handle a frame of a guard
 *
 * Return: false when the frame is invalid and the connection must be closed.
 */
bool entry_frame(
    struct entry_peer *p, uint8_t type, const uint8_t *body, size_t len);

/* entry_attempt.c */

/** entry_attempt_new() - create an attempt for a CALL_SEND or CALL_RESOLVE of
 * @c */
struct entry_attempt *
entry_attempt_new(struct entry_call *c, const struct call_action *action);

/** entry_attempt_free() - free an attempt; for GPtrArray */
void entry_attempt_free(void *attempt);

/** entry_attempt_refused() - the guard is stopping; nothing was sent */
void entry_attempt_refused(struct entry_attempt *a);

/** entry_attempt_start() - the connection is ready: send the first frame */
void entry_attempt_start(struct entry_attempt *a);

/** entry_attempt_lost() - the connection was lost or could not be established;
 * @silent: the guard had stopped answering */
void entry_attempt_lost(struct entry_attempt *a, bool silent);

/** entry_attempt_end() - record the attempt's result at its endpoint */
void entry_attempt_end(struct entry_attempt *a, enum endpoint_result result);

/** entry_attempt_send_body() - queue the attempt when it has a chunk of the
 * body to send */
void entry_attempt_send_body(struct entry_attempt *a);

/** entry_attempt_grant() - grant credit for @bytes of the answer that the
 * caller consumed */
void entry_attempt_grant(struct entry_attempt *a, uint32_t bytes);

/* entry_body.c */

/** entry_body_pull() - read the body from the exchange up to the buffer's
 * limit */
void entry_body_pull(struct entry_call *c, struct entry_attempt *a);

/** entry_body_update_held() - report the memory of the call's bodies */
void entry_body_update_held(struct entry_call *c);

/** entry_body_release() - free the bytes that attempt @a has sent, unless the
 * body is held */
void entry_body_release(struct entry_call *c, const struct entry_attempt *a);

/* entry_call.c */

/** entry_route_key() - hash of a route's match, independent of its service */
uint64_t entry_route_key(const struct service_route *route);

/** entry_call_begin() - begin a call; the reference to @x passes to the
 * entry */
void entry_call_begin(struct entry *e, struct call_exchange *x);

/** entry_call_start() - start a call that was admitted */
void entry_call_start(struct entry_call *c);

/** entry_call_exchange_event() - the server for callers has changed the
 * exchange */
void entry_call_exchange_event(struct entry_call *c);

/** entry_call_run() - run the actions of the state machine, after an event */
void entry_call_run(struct entry_call *c);

/** entry_call_free() - free a call */
void entry_call_free(struct entry_call *c);

/* entry_customer.c */

/**
 * entry_customer_find() - find the customer of a request
 * @e: the entry
 * @r: the request
 * @route: its route in the snapshot in force
 * @customer: receives the customer, valid as long as the snapshot; NULL for a
 *	request that needs none
 *
 * Return: false if the request needs a key and has none that is valid.
 */
bool entry_customer_find(const struct entry *e, const struct call_request *r,
    const struct service_route *route, const struct customer **customer);

/** entry_customer_count() - count a request in the usage of its customer; NULL
 * for none */
void entry_customer_count(struct entry *e, const struct customer *customer);

/** entry_customer_refuse() - answer a request without a valid key, as behind
 * when a newer version may hold its key */
void entry_customer_refuse(struct entry *e, struct call_exchange *x);

/** entry_customer_is_confirmed() - whether the version in force was confirmed
 * recently enough for requests that need a key */
bool entry_customer_is_confirmed(
    const struct entry *e, const struct service_route *route);

/** entry_customer_unconfirmed() - answer such a request when it wasn't */
void entry_customer_unconfirmed(struct entry *e, struct call_exchange *x);

/**
 * entry_customer_name() - add the customer's name to the headers for the
 * upstream
 * @e: the entry
 * @customer: the customer, or NULL
 * @r: the request
 *
 * Return: false if the name doesn't fit; the request must not run then.
 */
bool entry_customer_name(const struct entry *e, const struct customer *customer,
    struct call_request *r);

/* entry_behind.c */

/**
 * entry_behind_refuse() - refuse a request as behind when a newer version is
 * known
 * @e: the entry
 * @x: the request
 * @status: HTTP status of the refusal by the version in force
 *
 * Return: whether the request was answered as behind.
 */
bool
entry_behind_refuse(struct entry *e, struct call_exchange *x, uint32_t status);

/** entry_is_overdue() - whether the time to apply a newer version has passed;
 * hosts that have applied it check the requests routed by this node */
bool entry_is_overdue(const struct entry *e);

/**
 * entry_behind_body_too_large() - answer a call whose body exceeds the limit of
 * its version
 *
 * The answer is too_large when no newer version is known.  Otherwise the caller
 * should retry, or, once an attempt has begun, the outcome is unknown.
 */
void entry_behind_body_too_large(struct entry_call *c);

/* entry_answer.c */

/** entry_answer_stopping() - answer not_run: this node is stopping */
void entry_answer_stopping(struct call_exchange *x);

/** entry_answer_starting() - answer not_run: this node has no configuration
 * yet */
void entry_answer_starting(struct call_exchange *x);

/** entry_answer_unconfirmed() - answer not_run: keys may have been revoked */
void entry_answer_unconfirmed(struct call_exchange *x);

/** entry_answer_behind() - answer not_run: a newer version may accept the
 * request */
void entry_answer_behind(
    struct call_exchange *x, uint64_t version, uint64_t retry_after_ms);

/** entry_answer_refuse() - answer not_run with an error of the entry, without
 * Retry-After */
void entry_answer_refuse(struct call_exchange *x, uint32_t status,
    const char *kind, const char *message);

/** entry_answer_limited() - answer that the customer's limit is used up */
void entry_answer_limited(struct call_exchange *x, uint64_t retry_after_ms);

/** entry_answer_unanswered_limit() - answer that the customer's limit could not
 * be checked in time */
void
entry_answer_unanswered_limit(struct call_exchange *x, uint64_t retry_after_ms);

/** entry_answer_failed() - answer a call that got no answer from an upstream */
void
entry_answer_failed(struct entry_call *c, const struct call_action *action);

/** entry_answer_too_large() - answer that the body exceeds the service's
 * limit */
void entry_answer_too_large(struct entry_call *c, enum outcome o);

/** entry_answer_unknown() - answer that the request may or may not have run */
void entry_answer_unknown(struct entry_call *c);

/** entry_answer_commit() - begin delivery of an incomplete answer */
void entry_answer_commit(struct entry_attempt *a);

/** entry_answer_deliver() - deliver the rest of a complete answer */
void entry_answer_deliver(struct entry_attempt *a);

/* entry.c */

/** entry_call_ended() - count a call as no longer in flight */
void entry_call_ended(struct entry *e);

#endif
