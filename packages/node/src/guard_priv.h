/*
 * Internal structures of the guard, shared by its files.  All fields belong to
 * the guard's thread, except those documented as atomic or guarded by a lock.
 */
#ifndef GUARD_PRIV_H
#define GUARD_PRIV_H

#include <stdatomic.h>

#include <glib.h>

#include "base/log.h"
#include "net/buffer_pool.h"
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
#include "traffic/shortage.h"
#include "traffic/superseded.h"

#include "call_headers.h"
#include "call_link.h"
#include "call_print.h"
#include "guard_crash.h"
#include "guard_quarantine.h"
#include "guard_quota.h"
#include "guard_report.h"

/**
 * struct guard - the guard of a host
 * @settings: settings of the node; borrowed
 * @incarnation: incarnation of this process
 * @dialect: headers exchanged with upstreams; borrowed
 * @loop: event loop of the traffic thread
 * @listener: accepts connections from entries
 * @http: HTTP client that calls the upstreams
 * @fates: fate of each request
 * @caller_limits: rate limits per caller
 * @upstreams: service name to struct guard_upstream
 * @conns: connection id to struct guard_conn
 * @requests: request id to struct guard_request
 * @tickets: ticket to struct guard_request
 * @last_ticket: ticket of the latest request
 * @snapshot: latest snapshot that the guard has seen, a reference
 * @superseded: versions that were in force on this host
 * @guard_addresses: endpoint id to struct net_addr of its guard; keeps
 *	endpoints that have left
 * @followers: id of a request that repeats a known key to struct follower,
 *	which names the first request with that key
 * @key_queries: active queries to earlier homes of keys
 * @quarantine: requests that are no longer run
 * @quota: homes of customers' limits
 * @window: credit shared by the request bodies that are being received
 * @bodies: bound on the memory of bodies that are received
 * @drain: state of this guard's drain
 * @tick: periodic timer: expires fates and advances the drain
 * @in_flight: number of unfinished requests, atomic for guard_in_flight()
 * @busy_conns: number of connections on which a stop would lose data, atomic
 *	too
 * @n_serving: number of upstreams that accept requests, atomic for
 *	guard_is_serving()
 * @drain_requested: guard_drain() was called, atomic
 * @drain_started: the guard's thread has started the drain, atomic
 * @counts_lock: guards the counts of all upstreams, and @upstreams itself
 *	where another thread reads it
 * @leaving: called when an upstream reports that it leaves, or NULL
 * @leaving_arg: passed to @leaving
 * @refusal_log_limit: rate limit of log lines on refused requests
 * @failure_log_limit: rate limit of log lines on requests that failed at the
 *	upstream
 * @departure_log_limit: rate limit of log lines on requests whose caller left
 */
struct guard {
	const struct settings *settings;
	uint64_t incarnation;
	const struct call_dialect *dialect;
	struct loop *loop;
	struct listener *listener;
	struct http_client *http;
	struct fate_table *fates;
	struct rate_limit *caller_limits;
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
	struct guard_quota *quota;
	struct body_window window;
	struct buffer_pool *bodies;
	struct drain drain;
	struct loop_timer tick;
	_Atomic uint32_t in_flight;
	_Atomic uint32_t busy_conns;
	_Atomic uint32_t n_serving;
	_Atomic bool drain_requested;
	_Atomic bool drain_started;
	GMutex counts_lock;
	guard_leaving_fn *leaving;
	void *leaving_arg;
	struct log_limit refusal_log_limit;
	struct log_limit failure_log_limit;
	struct log_limit departure_log_limit;
};

/**
 * struct guard_upstream - an upstream of this host
 * @guard: the guard
 * @info: endpoint information from the control thread
 * @present: the latest list of endpoints contains it
 * @url: scheme, address and port, to which a path is appended
 * @admission: slots and queue
 * @keyed: idempotency keys whose home is this endpoint
 * @shortage: runs that failed for refused calls
 * @timer: runs the admission queue
 * @report: what the current run reports in its answers
 * @crash: requests that lost their connection, while a probe determines
 *	whether the upstream has ended
 * @counts: answers since @counts_order was set; guarded by @counts_lock of
 *	the guard
 * @counts_order: number of the rollout that @counts belong to, 0 for none;
 *	guarded by the same lock
 */
struct guard_upstream {
	struct guard *guard;
	struct guard_endpoint info;
	bool present;
	char url[40];
	struct admission *admission;
	struct keyed *keyed;
	struct shortage *shortage;
	struct loop_timer timer;
	struct guard_report report;
	struct guard_crash crash;
	struct rollout_counts counts;
	uint64_t counts_order;
};

/**
 * struct guard_conn - a connection from an entry
 * @guard: the guard
 * @link: the connection
 * @id: connection id
 * @host: host of the entry, for logs
 * @handshake_done: the entry has answered the hello
 * @max_refusal: largest refusal value that the entry supports
 * @goodbye_sent: the entry was asked to send no more requests
 * @goodbye_acked: the entry has agreed to send no more requests
 * @age: upper bound on the age of received frames
 * @streams: stream number to struct guard_out
 * @timer: next ping, which keeps @age accurate
 */
struct guard_conn {
	struct guard *guard;
	struct call_link link;
	uint64_t id;
	char host[NAME_ID_BYTES];
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
 * @refs: reference count: the request and each struct guard_out hold one
 * @has_head: the head was received
 * @status: HTTP status
 * @headers: headers that are forwarded
 * @length: length of the body, -1 if unknown
 * @guard_us: time in the guard before the call to the upstream
 * @upstream_us: time from the call to the head of the answer
 * @data: the body, from offset @base
 * @base: offset of the first byte in @data
 * @complete: the whole body was received
 * @retained: @data holds the whole body, so that the answer can be sent again
 * @outs: struct guard_out that send this answer
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
 * struct guard_out - transmission of an answer to an entry
 * @sender: schedules the chunks of this stream on the connection
 * @conn: the connection
 * @stream: number of the stream on @conn
 * @id: request whose answer the entry expects on the stream
 * @request: the request, or NULL once the request has ended
 * @answer: the answer, a reference
 * @node: link in the answer's list
 * @head_sent: the head was sent
 * @sent: offset of the next byte of the body to send
 * @credit_bytes: number of bytes that the entry allows to send
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

/**
 * enum request_state - state of a request
 * @REQUEST_BODY: waits for enough of its body
 * @REQUEST_AWAITING_KEY: waits for an earlier home of its idempotency key
 * @REQUEST_QUEUED: submitted to the admission
 * @REQUEST_RUNNING: the upstream was called
 * @REQUEST_ENDED: answered, failed, refused or discarded; freed soon
 */
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
 * @id: id of the attempt
 * @ticket: number that identifies the request in the admission
 * @upstream: upstream that is to run the request, or NULL if there is none
 * @state: state of the request
 * @method: HTTP method
 * @path: path and query, owned
 * @caller_request_id: request id that the caller set, in @headers, or "-"
 * @caller: identity of the caller, as reported by the entry
 * @route: number of the route, 0 if unknown
 * @fingerprint: identifies other attempts of the same request; set before the
 *	request is submitted to the admission
 * @suspect: the request ran in a recent crash; no other suspect runs
 *	concurrently at the same upstream
 * @headers: headers that are forwarded
 * @idempotent: running the request twice is harmless
 * @keyed: the request has an idempotency key
 * @key: the idempotency key
 * @holds_key: this is the only request that may run with @key
 * @deadline_ms: earliest time at which the caller may have stopped waiting;
 *	the request does not start after it
 * @latest_deadline_ms: latest such time; a running call times out then,
 *	unless the entry, which has the exact deadline, cancels it earlier
 * @target_ms: time after which the answer is worth less, 0 if unknown
 * @priority: 0 is the highest
 * @customer: number of the customer, 0 for none
 * @customer_priority: rank of the customer plus 1, 0 when not set
 * @body_bytes: length of the body, -1 if unknown
 * @body_source: stream that delivers the body, or NULL
 * @holder: memory of @body while it is incomplete
 * @body: received bytes that were not forwarded yet
 * @body_sent_bytes: bytes of the body that were forwarded
 * @received_bytes: bytes of the body that were received
 * @body_share: credit that the entry has for the rest of the body
 * @full_window: the upstream reads the body, so the entry gets the full window
 * @body_complete: the whole body was received
 * @call: the HTTP call, or NULL
 * @opened_us: time at which the request arrived
 * @started_us: time at which the upstream was called
 * @run: number of the upstream's run that was called, see struct guard_report
 * @invalid_answer: the guard aborted the call because the upstream's answer was
 *	not valid
 * @shed: the upstream reported that it did not run the request
 * @shed_retry_ms: retry delay that the upstream gave with @shed
 * @paused: reading the answer is paused until entries have received more of it
 * @call_refused: a call that the upstream made for this request was refused
 * @answer: the answer
 * @timer: expires at @deadline_ms while the request waits for its body
 * @free_task: frees the request at the end of the loop iteration
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
	uint64_t customer;
	uint32_t customer_priority;
	int64_t body_bytes;
	struct guard_out *body_source;
	struct buffer_holder holder;
	struct body_buffer body;
	uint64_t body_sent_bytes;
	uint64_t received_bytes;
	struct body_share body_share;
	bool full_window;
	bool body_complete;
	struct http_call *call;
	uint64_t opened_us;
	uint64_t started_us;
	uint32_t run;
	bool invalid_answer;
	bool shed;
	uint64_t shed_retry_ms;
	bool paused;
	bool call_refused;
	struct guard_answer *answer;
	struct loop_timer timer;
	struct loop_task free_task;
};

/* guard_counts.c */

/** guard_counts_set_rollout() - count answers for the rollout in @u->info;
 * resets the counts when the rollout has changed */
void guard_counts_set_rollout(struct guard_upstream *u);

/** guard_counts_record() - count a request that has run and was answered or
 * failed
 */
void guard_counts_record(struct guard_request *r, bool failed);

/* guard_conn.c */

/** guard_conn_handler - handler of connections from entries */
extern const struct conn_handler guard_conn_handler;

/** guard_conn_accept() - set up an accepted connection */
void guard_conn_accept(struct conn *conn, void *guard);

/** guard_conn_send_goodbye() - ask the entry to send no more requests */
void guard_conn_send_goodbye(struct guard_conn *gc);

/** guard_conn_is_busy() - whether a stop would lose data on the connection */
bool guard_conn_is_busy(const struct guard_conn *gc);

/** guard_conn_free() - close and free the connection; for GHashTable */
void guard_conn_free(void *conn);

/* guard_frames.c */

/**
 * guard_frame_handle() - handle a frame from an entry
 *
 * Return: false if the frame is invalid and the connection must be closed.
 */
bool guard_frame_handle(
    struct guard_conn *gc, uint8_t type, const uint8_t *body, size_t len);

/* guard_quota.c */

/** guard_quota_frame() - answer a report; see guard_frame_handle() */
bool guard_quota_frame(struct guard_conn *gc, const uint8_t *body, size_t len);

/* guard_open.c */

/** guard_open() - handle a new attempt; returns false if the message is invalid
 */
bool guard_open(struct guard_conn *gc, const struct msg_call_open *m);

/* guard_credit.c */

/** guard_credit_open() - start granting credit to a request whose body is
 * incomplete */
void guard_credit_open(struct guard_request *r);

/** guard_credit_received() - account for @bytes received of the body;
 * @r->body_complete must be up to date */
void guard_credit_received(struct guard_request *r, uint64_t bytes);

/** guard_credit_consumed() - account for @bytes of the body that were
 * forwarded; the first call, when the request starts, opens the full window */
void guard_credit_consumed(struct guard_request *r, uint64_t bytes);

/** guard_credit_end() - stop granting credit: no more of the body is needed */
void guard_credit_end(struct guard_request *r);

/** guard_credit_tick() - apply time-based changes of the body window */
void guard_credit_tick(struct guard *g);

/* guard_departure.c */

/**
 * guard_departure() - a caller has left: end the work that only it awaited
 * @o: the stream on which the caller's entry awaits the answer; freed
 * @sent_ms: monotonic time at which the entry reported the departure
 *
 * A request with an idempotency key that was sent to the upstream runs on,
 * since its outcome is kept for repetitions of the key.
 */
void guard_departure(struct guard_out *o, uint64_t sent_ms);

/* guard_request.c */

/** guard_request_class() - class of the request for the admission */
enum admission_class guard_request_class(const struct guard_request *r);

/** guard_request_print_parts() - collect the parts that the fingerprint covers
 */
void guard_request_print_parts(
    const struct guard_request *r, struct call_print_parts *parts);

/** guard_request_admission() - fill in the request as the admission sees it */
void guard_request_admission(
    const struct guard_request *r, struct admission_request *req);

/** guard_request_holder_ops - ends a request whose body is incomplete */
extern const struct buffer_holder_ops guard_request_holder_ops;

/** guard_request_update_held() - report what the request holds of its body */
void guard_request_update_held(struct guard_request *r);

/**
 * guard_request_chunk() - handle a chunk of the body
 *
 * Return: false if the entry sent more than its credit or the body's length.
 */
bool
guard_request_chunk(struct guard_request *r, const struct msg_call_chunk *m);

/** guard_request_body_arrived() - submit the request once enough of its body
 * was received, or resume its call */
void guard_request_body_arrived(struct guard_request *r);

/** guard_request_refuse() - end the request as one that is never run */
void guard_request_refuse(
    struct guard_request *r, enum refusal refusal, uint64_t retry_after_ms);

/** guard_request_failed() - end a started request for which no answer will come
 */
void guard_request_failed(struct guard_request *r);

/** guard_request_done() - end the request: the whole answer was received */
void guard_request_done(struct guard_request *r);

/** guard_request_discard() - end the request: its stream now awaits the fate of
 * another request */
void guard_request_discard(struct guard_request *r);

/** guard_request_cancel() - cancel the request on behalf of an entry */
void guard_request_cancel(struct guard_request *r);

/** guard_request_abandon() - end the request, whatever its state, when no
 * stream awaits its answer any more */
void guard_request_abandon(struct guard_request *r);

/** guard_request_waiter_lost() - the connection of an entry that awaited the
 * answer was closed; @was_source: the body came on this connection */
void guard_request_waiter_lost(struct guard_request *r, bool was_source);

/** guard_request_free() - free the request; for GHashTable */
void guard_request_free(void *request);

/* guard_upstream.c */

/** guard_upstream_find() - the upstream of a service, or NULL */
struct guard_upstream *
guard_upstream_find(const struct guard *g, const char *service);

/** guard_upstream_set() - apply the list of endpoints from the control thread
 */
void guard_upstream_set(
    struct guard *g, const struct guard_endpoint *list, uint32_t n);

/** guard_upstream_refuse_late() - refuse queued requests that the announced
 * stop would abort */
void guard_upstream_refuse_late(struct guard *g);

/** guard_upstream_submit() - submit a request to the admission */
void guard_upstream_submit(struct guard_request *r);

/** guard_upstream_run_queue() - start and refuse queued requests as the
 * admission decides */
void guard_upstream_run_queue(struct guard_upstream *u);

/** guard_upstream_load() - get the load that is reported with answers to
 * requests of @route, 0 for none; @u may be NULL */
void guard_upstream_load(
    const struct guard_upstream *u, uint64_t route, struct rec_load *load);

/** guard_upstream_drain_all() - refuse all new requests from now on */
void guard_upstream_drain_all(struct guard *g);

/** guard_upstream_free() - free the upstream; for GHashTable */
void guard_upstream_free(void *upstream);

/* guard_http.c */

/** guard_http_start() - call the upstream */
void guard_http_start(struct guard_request *r);

/* guard_answer.c */

/** guard_answer_new() - create an empty answer with one reference */
struct guard_answer *guard_answer_new(bool retained);

/** guard_answer_unref() - drop a reference; @a may be NULL */
void guard_answer_unref(struct guard_answer *a);

/** guard_answer_add() - append data to the body */
void guard_answer_add(struct guard_answer *a, const uint8_t *data, size_t len);

/** guard_answer_is_full() - whether so much is unsent that reading from the
 * upstream must pause */
bool guard_answer_is_full(const struct guard_answer *a);

/** guard_answer_send() - send the available data to all entries that await it
 */
void guard_answer_send(struct guard_answer *a, const struct guard_upstream *u);

/** guard_answer_encode() - encode the answer for the fate table; NULL if the
 * body was not retained */
GBytes *guard_answer_encode(const struct guard_answer *a);

/** guard_answer_decode() - decode an answer from the fate table; NULL if
 * invalid */
struct guard_answer *guard_answer_decode(GBytes *bytes);

/* guard_out.c */

/**
 * guard_out_new() - start sending an answer on a stream
 * @gc: the connection
 * @stream: number of the stream
 * @id: request that the entry sent, or whose fate it queried
 * @r: the request that produces the answer, or NULL
 * @a: the answer
 */
struct guard_out *guard_out_new(struct guard_conn *gc, uint32_t stream,
    const struct request_id *id, struct guard_request *r,
    struct guard_answer *a);

/** guard_out_free() - remove the stream and free its state */
void guard_out_free(struct guard_out *o);

/** guard_out_send() - send the head, and schedule chunks that the credit allows
 */
void guard_out_send(struct guard_out *o, const struct guard_upstream *u);

/** guard_out_add_credit() - add credit that the entry granted */
void guard_out_add_credit(struct guard_out *o, uint32_t bytes);

/** guard_out_refuse() - report to the entry that the attempt is not run */
void guard_out_refuse(struct guard_conn *gc, uint32_t stream,
    const struct guard_upstream *u, enum refusal refusal,
    uint64_t retry_after_ms);

/** guard_out_failed() - report to the entry that no answer will come */
void guard_out_failed(
    struct guard_conn *gc, uint32_t stream, const struct guard_upstream *u);

/* guard_resolve.c */

/** guard_resolve() - answer an entry's query for the fate of an attempt;
 * returns false if the message is invalid */
bool guard_resolve(struct guard_conn *gc, const struct msg_call_resolve *m);

/** guard_resolve_add_follower() - record that @id shares the fate of @first */
void guard_resolve_add_follower(struct guard *g, const struct request_id *id,
    const struct request_id *first);

/**
 * guard_resolve_attach() - send the answer of an active request on a stream
 *
 * Return: false if the request is not active, or if the beginning of its answer
 * was already discarded.
 */
bool guard_resolve_attach(
    struct guard_conn *gc, uint32_t stream, const struct request_id *id);

/**
 * guard_resolve_send_retained() - send an answer from the fate table
 *
 * Return: false if the answer can't be decoded.
 */
bool guard_resolve_send_retained(struct guard_conn *gc, uint32_t stream,
    const struct request_id *id, GBytes *bytes);

/** guard_resolve_expire() - remove followers whose fate has expired */
void guard_resolve_expire(struct guard *g);

/* guard_keyed.c */

/**
 * struct guard_key_query - a query to an earlier home of a key
 * @service: the service
 * @key: the key
 * @id: request that needs the result
 * @home: endpoint id of the earlier home
 * @age_ms: age of this endpoint's key table
 */
struct guard_key_query {
	char service[SERVICE_NAME_BYTES];
	struct key_id key;
	struct request_id id;
	uint64_t home;
	uint64_t age_ms;
};

/** guard_keyed_new() - create the key table of an upstream */
struct keyed *guard_keyed_new(struct guard *g, const char *service);

/** guard_keyed_update_endpoints() - update the key table of @u with the
 * endpoints of its service */
void guard_keyed_update_endpoints(struct guard_upstream *u);

/** guard_keyed_refresh_snapshot() - take up the snapshot in force, if it is new
 */
void guard_keyed_refresh_snapshot(struct guard *g);

/** guard_keyed_submit() - submit a request that has a key */
void guard_keyed_submit(struct guard_request *r);

/** guard_keyed_query_done() - handle the result of a key query, or its failure
 */
void guard_keyed_query_done(
    struct guard *g, const struct guard_key_query *q, enum keyed_word word);

/** guard_keyed_ended() - update the key of a request that ended; @ran: whether
 * the request may have run */
void guard_keyed_ended(struct guard_request *r, bool ran);

/** guard_keyed_yield() - answer another guard's key query */
enum keyed_word
guard_keyed_yield(struct guard *g, const struct msg_call_key_ask *m);

/* guard_version.c */

/** guard_version_update() - record the version in force */
void guard_version_update(struct guard *g);

/** guard_version_accepts() - whether a request may run on this host although
 * its entry may have routed it by an older version */
bool guard_version_accepts(
    const struct guard_request *r, const struct msg_call_open *m);

/* guard_ask.c */

/** guard_key_query_start() - send a key query; @at is NULL if the address of
 * the earlier home is unknown, and the query then fails */
void guard_key_query_start(struct guard *g, const struct net_addr *at,
    const struct guard_key_query *q);

/** guard_key_query_free_all() - abort all key queries */
void guard_key_query_free_all(struct guard *g);

#endif
