/*
 * Inner structures of the guard, shared by its files.  All of it belongs to
 * the guard's thread but for what is marked atomic.
 */
#ifndef GUARD_PRIV_H
#define GUARD_PRIV_H

#include <stdatomic.h>

#include <glib.h>

#include "base/log.h"
#include "net/conn.h"
#include "net/http.h"
#include "net/listener.h"
#include "net/loop.h"
#include "node/call_dialect.h"
#include "node/guard.h"
#include "proto/settings.h"
#include "rollout/counts.h"
#include "traffic/admission.h"
#include "traffic/body_window.h"
#include "traffic/drain.h"
#include "traffic/fate.h"
#include "traffic/fingerprint.h"
#include "traffic/frame_age.h"
#include "traffic/keyed.h"
#include "traffic/rate_limit.h"
#include "traffic/superseded.h"

#include "call_headers.h"
#include "call_link.h"
#include "call_print.h"
#include "guard_crash.h"
#include "guard_quarantine.h"

/**
 * struct guard - the guard of a host
 * @settings: settings of the node; borrowed
 * @incarnation: number of this process
 * @dialect: how upstreams are spoken to; borrowed
 * @loop: event loop of the traffic thread
 * @listener: takes connections from entries
 * @http: calls the upstreams
 * @fates: what became of each request
 * @callers: limits per caller
 * @upstreams: service name to struct guard_upstream
 * @conns: connection id to struct guard_conn
 * @requests: request id to struct guard_request
 * @tickets: ticket to struct guard_request
 * @last_ticket: number of the last request
 * @snapshot: snapshot last seen, a reference
 * @superseded: versions that were in force here
 * @guard_addresses: endpoint id to struct net_addr of its guard, also of
 *earlier ones
 * @followers: id of a request with a known key to that of the first with it
 * @key_queries: questions to earlier homes that are under way
 * @quarantine: requests that are no longer run
 * @window: bodies of requests on their way here
 * @drain: the stop of this guard
 * @tick: forgets old fates, moves the drain on
 * @in_flight: number of requests, atomic for guard_in_flight()
 * @busy_conns: connections on which a stop would cut something, likewise
 * @serving: upstreams that take requests, atomic for guard_is_serving()
 * @drain_requested: a drain was asked for
 * @drain_started: and has begun in the guard's thread
 * @counts_lock: over the counts of all upstreams, and over @upstreams itself
 *	where another thread looks for them
 * @refusal_log_limit: bound on lines of requests that were not run
 * @failure_log_limit: bound on lines of requests that failed at the upstream
 */
struct guard {
	const struct settings *settings;
	uint64_t incarnation;
	const struct call_dialect *dialect;
	struct loop *loop;
	struct listener *listener;
	struct http_client *http;
	struct fate_table *fates;
	struct rate_limit *callers;
	GHashTable *upstreams;
	GHashTable *conns;
	GHashTable *requests;
	GHashTable *tickets;
	uint64_t last_ticket;
	struct snapshot *snapshot;
	struct superseded superseded;
	GHashTable *guard_addresses;
	GHashTable *followers;
	GQueue key_queries;
	struct guard_quarantine quarantine;
	struct body_window window;
	struct drain drain;
	struct loop_timer tick;
	_Atomic uint32_t in_flight;
	_Atomic uint32_t busy_conns;
	_Atomic uint32_t serving;
	_Atomic bool drain_requested;
	_Atomic bool drain_started;
	GMutex counts_lock;
	struct log_limit refusal_log_limit;
	struct log_limit failure_log_limit;
};

/**
 * struct guard_upstream - an upstream of this host
 * @guard: the guard
 * @info: what the control thread says of it
 * @present: it is among the endpoints that were last told
 * @url: scheme, address and port, to which a path is added
 * @admission: its slots and queue
 * @keyed: idempotency keys that are at home here
 * @timer: wakes the admission
 * @crash: requests that lost their connection, while it is found out whether
 *	the upstream ended with it
 * @counts: what it answered since @counts_order began; guarded by the guard's
 *lock
 * @counts_order: number of the rollout that @counts are for, 0 for none;
 *likewise
 */
struct guard_upstream {
	struct guard *guard;
	struct guard_endpoint info;
	bool present;
	char url[40];
	struct admission *admission;
	struct keyed *keyed;
	struct loop_timer timer;
	struct guard_crash crash;
	struct rollout_counts counts;
	uint64_t counts_order;
};

/**
 * struct guard_conn - a connection from an entry
 * @guard: the guard
 * @link: the connection
 * @id: its number
 * @host: host of the entry, for logs
 * @handshake_done: the entry has answered the hello
 * @max_refusal: largest refusal that the entry knows
 * @goodbye_sent: it was asked for no more requests
 * @goodbye_acked: it has promised that
 * @age: bound on the age of its frames
 * @streams: stream number to struct guard_out
 * @timer: next ping, which keeps the bound on the age fresh
 */
struct guard_conn {
	struct guard *guard;
	struct call_link link;
	uint64_t id;
	char host[SETTINGS_NAME_BYTES];
	bool handshake_done;
	uint8_t max_refusal;
	bool goodbye_sent;
	bool goodbye_acked;
	struct frame_age age;
	GHashTable *streams;
	struct loop_timer timer;
};

/**
 * struct guard_answer - an answer of an upstream
 * @refs: references: the request's and one of each struct guard_out
 * @has_head: the head has come
 * @status: HTTP status
 * @headers: headers that are passed on
 * @length: length of the body, -1 when not known
 * @guard_us: time in the guard before the upstream was called
 * @upstream_us: time from then to the head
 * @data: the body, from offset @base
 * @base: offset of the first byte in @data
 * @complete: the body is complete
 * @retained: all of it is held, to be handed over again
 * @outs: struct guard_out that send it
 */
struct guard_answer {
	uint32_t refs;
	bool has_head;
	uint32_t status;
	struct call_headers headers;
	int64_t length;
	uint64_t guard_us;
	uint64_t upstream_us;
	GByteArray *data;
	uint64_t base;
	bool complete;
	bool retained;
	GQueue outs;
};

struct guard_request;

/**
 * struct guard_out - an answer on its way to an entry
 * @sender: its turns
 * @conn: the connection
 * @stream: the stream on it
 * @id: request whose answer the entry awaits there
 * @request: the request while it is not ended, or NULL
 * @answer: the answer, a reference
 * @node: its place in the answer's list
 * @head_sent: the head was sent
 * @sent: offset of the next byte of the body
 * @credit_bytes: bytes that may be sent
 */
struct guard_out {
	struct call_sender sender;
	struct guard_conn *conn;
	uint32_t stream;
	struct request_id id;
	struct guard_request *request;
	struct guard_answer *answer;
	GList node;
	bool head_sent;
	uint64_t sent;
	uint64_t credit_bytes;
};

/** enum request_state - where a request stands */
enum request_state {
	REQUEST_BODY = 0,
	REQUEST_AWAITING_KEY,
	REQUEST_QUEUED,
	REQUEST_RUNNING,
	REQUEST_ENDED,
};

/**
 * struct guard_request - one attempt of a request, at its guard
 * @guard: the guard
 * @id: name of the attempt
 * @ticket: number for the admission
 * @upstream: where it is to run
 * @state: where it stands
 * @method: HTTP method
 * @path: path and query, owned
 * @caller_request_id: the caller's name of the request, in @headers, or "-"
 * @caller: who called, by the entry's word
 * @route: number of its route, 0 when not told
 * @fingerprint: what tells that another attempt is the same request; set before
 *it is offered to the upstream
 * @suspect: it ran in a recent crash: no other suspect runs beside it
 * @headers: headers that are passed on
 * @idempotent: running it twice does no harm
 * @keyed: it has an idempotency key
 * @key: the key
 * @holds_key: it is the one that may run with its key
 * @deadline_ms: earliest time at which its caller may have stopped waiting:
 *	nothing starts later
 * @latest_deadline_ms: latest such time: what runs is awaited so long, unless
 *its entry cancels it, which knows the deadline better
 * @target_ms: when its answer is worth less, 0 when not told
 * @priority: 0 is the highest
 * @body_bytes: length of the body, -1 when not known
 * @body_source: where the body comes from, or NULL
 * @body: GBytes that came and were not sent on
 * @body_offset: bytes of the first that were sent on
 * @received: bytes of the body that came
 * @body_share: how much more of the body the entry may send
 * @full_window: the upstream takes the body, so its window is opened wide
 * @body_complete: the body is complete
 * @call: the HTTP call, or NULL
 * @opened_us: when the request came
 * @started_us: when the upstream was called
 * @invalid_answer: the upstream's answer is no answer, and was broken off here
 * @shed: the upstream said that it did not run it
 * @shed_retry_ms: and when to come back
 * @paused: the upstream's answer waits until entries have taken more
 * @answer: the answer
 * @timer: its deadline while it waits for its body
 * @free_task: frees it at the end of the turn
 */
struct guard_request {
	struct guard *guard;
	struct request_id id;
	uint64_t ticket;
	struct guard_upstream *upstream;
	enum request_state state;
	char method[MSG_CALL_OPEN_METHOD_MAX + 1];
	char *path;
	const char *caller_request_id;
	char caller[MSG_CALL_OPEN_CALLER_MAX + 1];
	uint64_t route;
	struct fingerprint fingerprint;
	bool suspect;
	struct call_headers headers;
	bool idempotent;
	bool keyed;
	struct key_id key;
	bool holds_key;
	uint64_t deadline_ms;
	uint64_t latest_deadline_ms;
	uint64_t target_ms;
	uint32_t priority;
	int64_t body_bytes;
	struct guard_out *body_source;
	GQueue body;
	size_t body_offset;
	uint64_t received;
	struct body_share body_share;
	bool full_window;
	bool body_complete;
	struct http_call *call;
	uint64_t opened_us;
	uint64_t started_us;
	bool invalid_answer;
	bool shed;
	uint64_t shed_retry_ms;
	bool paused;
	struct guard_answer *answer;
	struct loop_timer timer;
	struct loop_task free_task;
};

/* guard_counts.c */

/** guard_counts_set_rollout() - count for the rollout that the endpoint's info
 * names
 */
void guard_counts_set_rollout(struct guard_upstream *u);

/** guard_counts_record() - a request has run and was answered, or failed */
void guard_counts_record(struct guard_request *r, bool failed);

/* guard_conn.c */

/** guard_conn_handler - handler of connections from entries */
extern const struct conn_handler guard_conn_handler;

/** guard_conn_accept() - a connection came in */
void guard_conn_accept(struct conn *conn, void *guard);

/** guard_conn_send_goodbye() - ask the entry for no more requests */
void guard_conn_send_goodbye(struct guard_conn *gc);

/** guard_conn_is_busy() - whether a stop would cut something on it */
bool guard_conn_is_busy(const struct guard_conn *gc);

/** guard_conn_free() - close it; for GHashTable */
void guard_conn_free(void *conn);

/* guard_frames.c */

/**
 * guard_frame_handle() - a frame came from an entry
 *
 * Return: false when the connection is to be closed for it.
 */
bool guard_frame_handle(
    struct guard_conn *gc, uint8_t type, const uint8_t *body, size_t len);

/* guard_open.c */

/** guard_open() - an attempt came; false when the message makes no sense */
bool guard_open(struct guard_conn *gc, const struct msg_call_open *m);

/* guard_credit.c */

/** guard_credit_open() - a request came whose body is not complete */
void guard_credit_open(struct guard_request *r);

/** guard_credit_received() - @bytes of its body came; @r->body_complete is
 * known */
void guard_credit_received(struct guard_request *r, uint64_t bytes);

/** guard_credit_consumed() - @bytes of its body were sent on, or it starts */
void guard_credit_consumed(struct guard_request *r, uint64_t bytes);

/** guard_credit_end() - nothing more of its body is wanted */
void guard_credit_end(struct guard_request *r);

/** guard_credit_tick() - let time pass */
void guard_credit_tick(struct guard *g);

/* guard_request.c */

/** guard_request_class() - its kind for the admission */
enum admission_class guard_request_class(const struct guard_request *r);

/** guard_request_print_parts() - what it is known by */
void guard_request_print_parts(
    const struct guard_request *r, struct call_print_parts *parts);

/** guard_request_admission() - what the admission is told of it */
void guard_request_admission(
    const struct guard_request *r, struct admission_request *req);

/**
 * guard_request_chunk() - a piece of its body came
 *
 * Return: false when the entry sent more than it may.
 */
bool
guard_request_chunk(struct guard_request *r, const struct msg_call_chunk *m);

/** guard_request_body_arrived() - start it if enough of its body is there */
void guard_request_body_arrived(struct guard_request *r);

/** guard_request_refuse() - it is not run and never will be */
void guard_request_refuse(
    struct guard_request *r, enum refusal refusal, uint64_t retry_after_ms);

/** guard_request_failed() - it was started and no answer will come */
void guard_request_failed(struct guard_request *r);

/** guard_request_done() - the whole answer came */
void guard_request_done(struct guard_request *r);

/** guard_request_discard() - its stream awaits another request's fate */
void guard_request_discard(struct guard_request *r);

/** guard_request_cancel() - an entry does not want it any more */
void guard_request_cancel(struct guard_request *r);

/** guard_request_waiter_lost() - an entry that awaited it is gone */
void guard_request_waiter_lost(struct guard_request *r, bool was_source);

/** guard_request_free() - free it; for GHashTable */
void guard_request_free(void *request);

/* guard_upstream.c */

/** guard_upstream_find() - the upstream of a service, or NULL */
struct guard_upstream *
guard_upstream_find(const struct guard *g, const char *service);

/** guard_upstream_set() - what the control thread says */
void guard_upstream_set(
    struct guard *g, const struct guard_endpoint *list, uint32_t n);

/** guard_upstream_refuse_late() - refuse queued requests that a stop would give
 * up
 */
void guard_upstream_refuse_late(struct guard *g);

/** guard_upstream_submit() - a request asks to run */
void guard_upstream_submit(struct guard_request *r);

/** guard_upstream_run_queue() - carry out what the admission wants */
void guard_upstream_run_queue(struct guard_upstream *u);

/** guard_upstream_load() - its load, for answers; @u may be NULL */
void guard_upstream_load(const struct guard_upstream *u, struct rec_load *load);

/** guard_upstream_drain_all() - refuse all new requests from now on */
void guard_upstream_drain_all(struct guard *g);

/** guard_upstream_free() - free it; for GHashTable */
void guard_upstream_free(void *upstream);

/* guard_http.c */

/** guard_http_start() - call the upstream */
void guard_http_start(struct guard_request *r);

/* guard_answer.c */

/** guard_answer_new() - an empty answer with one reference */
struct guard_answer *guard_answer_new(bool retained);

/** guard_answer_unref() - give a reference back */
void guard_answer_unref(struct guard_answer *a);

/** guard_answer_add() - append a piece of the body */
void guard_answer_add(struct guard_answer *a, const uint8_t *data, size_t len);

/** guard_answer_is_full() - whether entries lag so far that no more is taken */
bool guard_answer_is_full(const struct guard_answer *a);

/** guard_answer_send() - let all entries have what there is */
void guard_answer_send(struct guard_answer *a, const struct guard_upstream *u);

/** guard_answer_encode() - as the fate table keeps it; NULL if too large */
GBytes *guard_answer_encode(const struct guard_answer *a);

/** guard_answer_decode() - an answer that the fate table kept, or NULL */
struct guard_answer *guard_answer_decode(GBytes *bytes);

/* guard_out.c */

/**
 * guard_out_new() - an entry awaits an answer on a stream
 * @gc: the connection
 * @stream: the stream
 * @id: the request that it asked for
 * @r: the request that is to answer, or NULL
 * @a: the answer
 */
struct guard_out *guard_out_new(struct guard_conn *gc, uint32_t stream,
    const struct request_id *id, struct guard_request *r,
    struct guard_answer *a);

/** guard_out_free() - the stream is over */
void guard_out_free(struct guard_out *o);

/** guard_out_send() - send what may be sent */
void guard_out_send(struct guard_out *o, const struct guard_upstream *u);

/** guard_out_add_credit() - the entry granted @bytes */
void guard_out_add_credit(struct guard_out *o, uint32_t bytes);

/** guard_out_refuse() - tell that the attempt is not run */
void guard_out_refuse(struct guard_conn *gc, uint32_t stream,
    const struct guard_upstream *u, enum refusal refusal,
    uint64_t retry_after_ms);

/** guard_out_failed() - tell that no answer will come */
void guard_out_failed(
    struct guard_conn *gc, uint32_t stream, const struct guard_upstream *u);

/* guard_resolve.c */

/** guard_resolve() - an entry asks what became of an attempt */
bool guard_resolve(struct guard_conn *gc, const struct msg_call_resolve *m);

/** guard_resolve_add_follower() - @id has the fate of @first */
void guard_resolve_add_follower(struct guard *g, const struct request_id *id,
    const struct request_id *first);

/**
 * guard_resolve_attach() - a stream awaits the answer of an active request
 *
 * Return: false when the beginning of the answer is no longer held.
 */
bool guard_resolve_attach(
    struct guard_conn *gc, uint32_t stream, const struct request_id *id);

/**
 * guard_resolve_send_retained() - send a kept answer
 *
 * Return: false when it can't be read.
 */
bool guard_resolve_send_retained(struct guard_conn *gc, uint32_t stream,
    const struct request_id *id, GBytes *bytes);

/** guard_resolve_expire() - forget followers whose fate is forgotten */
void guard_resolve_expire(struct guard *g);

/* guard_keyed.c */

/**
 * struct guard_key_query - a question to an earlier home of a key
 * @service: the service
 * @key: the key
 * @id: request for which it is asked
 * @home: the earlier home
 * @age_ms: age of the own process
 */
struct guard_key_query {
	char service[SERVICE_NAME_BYTES];
	struct key_id key;
	struct request_id id;
	uint64_t home;
	uint64_t age_ms;
};

/** guard_keyed_new() - the keys of an upstream */
struct keyed *guard_keyed_new(struct guard *g, const char *service);

/** guard_keyed_update_endpoints() - tell the keys of @u its service's endpoints
 */
void guard_keyed_update_endpoints(struct guard_upstream *u);

/** guard_keyed_refresh_snapshot() - see whether a new snapshot is in force */
void guard_keyed_refresh_snapshot(struct guard *g);

/* guard_version.c */

/** guard_version_update() - see which version is in force */
void guard_version_update(struct guard *g);

/** guard_version_accepts() - whether a request is to run here, though the entry
 * may have routed it by an older version */
bool guard_version_accepts(
    const struct guard_request *r, const struct msg_call_open *m);

/** guard_keyed_submit() - a request with a key asks to run */
void guard_keyed_submit(struct guard_request *r);

/** guard_keyed_query_done() - the earlier home has answered, or won't */
void guard_keyed_query_done(
    struct guard *g, const struct guard_key_query *q, enum keyed_word word);

/** guard_keyed_ended() - a request that may have held its key is over */
void guard_keyed_ended(struct guard_request *r, bool ran);

/** guard_keyed_yield() - another guard asks about a key */
enum keyed_word
guard_keyed_yield(struct guard *g, const struct msg_call_key_ask *m);

/* guard_ask.c */

/** guard_key_query_start() - ask; @at may be NULL when nobody knows where it is
 */
void guard_key_query_start(struct guard *g, const struct net_addr *at,
    const struct guard_key_query *q);

/** guard_key_query_free_all() - drop all questions */
void guard_key_query_free_all(struct guard *g);

#endif
