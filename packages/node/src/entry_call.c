/*
 * Life cycle of a call at the entry: events are reported to the state machine
 * of package traffic, and its actions are run.
 */
#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

#define LOG_PART "entry"
#include "base/log.h"

#include "call_metrics.h"
#include "call_print.h"
#include "entry_log.h"
#include "entry_quota.h"

/* Time after the deadline in which the guard may still report whether the
 * request had started. */
#define DEADLINE_GRACE_MS 200

/* Time limit for reaching a guard for a resolve. */
#define RESOLVE_LIMIT_MS 2000

/* Part of its remaining time after which a refused caller comes back. */
#define RETURN_DIVISOR 3

#define HTTP_NOT_FOUND 404
#define HTTP_METHOD_NOT_ALLOWED 405
#define HTTP_CONTENT_TOO_LARGE 413
#define HTTP_HEADERS_TOO_LARGE 431
#define HTTP_UNAVAILABLE 503

static struct entry_attempt *
find_attempt(struct entry_call *c, uint32_t stream)
{
	struct entry_attempt *a;
	guint i;

	for (i = c->attempts->len; i > 0; i--) {
		a = g_ptr_array_index(c->attempts, i - 1);
		if (a->action.stream == stream)
			return a;
	}
	return NULL;
}

/* The attempt that the request's body is sent to. */
static struct entry_attempt *
current_attempt(struct entry_call *c)
{
	if (c->attempts->len == 0)
		return NULL;
	return g_ptr_array_index(c->attempts, c->attempts->len - 1);
}

/* Actions */

/* Return: false while the beginning of the body isn't buffered; then the guard
 * checks the quarantine. */
static bool
make_fingerprint(struct entry_call *c, struct fingerprint *print)
{
	const struct call_print_parts parts = {.dialect = c->entry->dialect,
	    .method = c->request->method,
	    .path = c->request->path,
	    .headers = &c->request->headers,
	    .address = c->request->caller,
	    .body_bytes = c->request->body_bytes,
	    .body = &c->body.buffer,
	    .whole = c->request->body_bytes == 0 ||
		c->body.end == EXCHANGE_COMPLETE};

	if (c->body.buffer.first_bytes != 0 || !call_print_ready(&parts))
		return false;
	call_print(&parts, print);
	return true;
}

static void
refuse_quarantined(struct entry_call *c, uint64_t retry_after_ms)
{
	call_metrics_refusal(REFUSAL_QUARANTINED);
	call_quarantined(c->machine, retry_after_ms);
}

/*
 * Refuses a request that is quarantined or undecided.  A suspect request, and a
 * request of which an earlier attempt may have run, is placed by its content,
 * so that all copies of it reach the same upstream.
 */
static bool
passes_quarantine(struct entry_call *c, struct placement_query *query)
{
	struct quarantine *q = c->entry->quarantine;
	uint64_t now_ms = loop_now_ms(c->entry->loop);
	const struct quarantine_entry *entry;
	struct fingerprint print;
	enum suspicion suspicion;

	if (q == NULL ||
	    (quarantine_is_empty(q) && !quarantine_has_suspects(q, now_ms) &&
		!call_may_have_run(c->machine)) ||
	    !make_fingerprint(c, &print))
		return true;
	entry = quarantine_check(q, &print);
	if (entry != NULL) {
		entry_log_quarantined(c, &print, entry);
		refuse_quarantined(c, quarantine_retry_after_ms(entry, now_ms));
		return false;
	}
	suspicion = quarantine_suspicion(q, &print, now_ms);
	if (suspicion == SUSPICION_UNDECIDED) {
		entry_log_undecided(c, &print);
		refuse_quarantined(c, QUARANTINE_UNDECIDED_RETRY_MS);
		return false;
	}
	if (suspicion == SUSPICION_SUSPECT || call_may_have_run(c->machine))
		query->content = print.content;
	return true;
}

/* Whether callers may repeat the call on their own: upstreams don't, and all
 * calls with one key are one request. */
static bool
may_return(const struct entry_call *c)
{
	return !c->is_served && !c->keyed;
}

/* Separates customers whose callers share an address and send the same. */
static bool
make_return_print(struct entry_call *c, struct fingerprint *print)
{
	if (!may_return(c) || !make_fingerprint(c, print))
		return false;
	if (c->customer != NULL)
		print->caller ^= c->customer->id;
	return true;
}

/* Refuses a request that comes back earlier than its caller was asked to while
 * the service still refuses others. */
static bool
passes_returns(struct entry_call *c)
{
	struct returns *t = c->entry->returns;
	uint64_t now_ms = loop_now_ms(c->entry->loop);
	struct fingerprint print;
	uint64_t early_ms;

	if (call_attempts(c->machine) > 0 || returns_is_empty(t, now_ms) ||
	    !make_return_print(c, &print))
		return true;
	early_ms = returns_early_ms(t, c->service->id, &print, now_ms);
	if (early_ms == 0)
		return true;
	c->is_early = true;
	metric_add(&metric_early_returns, 1);
	call_returned_early(c->machine, early_ms);
	return false;
}

/* A caller returns after a third of its time at most, since it would otherwise
 * have no time for the answer. */
static void
await_return(struct entry_call *c, const struct call_action *action)
{
	uint64_t now_ms = loop_now_ms(c->entry->loop);
	uint64_t wait_ms = action->retry_after_ms;
	struct fingerprint print;

	if ((action->refusal != REFUSAL_WAIT &&
		action->refusal != REFUSAL_QUEUE_FULL) ||
	    action->outcome != OUTCOME_NOT_RUN || c->is_early ||
	    !make_return_print(c, &print))
		return;
	if (c->request->deadline_ms != DEADLINE_NEVER)
		wait_ms = MIN(wait_ms,
		    clock_left_ms(c->request->deadline_ms, now_ms) /
			RETURN_DIVISOR);
	returns_refused(c->entry->returns, c->service->id, &print,
	    now_ms + wait_ms, now_ms);
}

/* A share of the calls has its first attempt at a version on trial; further
 * attempts are placed on the current version. */
static bool
choose_endpoint(struct entry_call *c, struct placement_query *q,
    uint64_t now_ms, struct placement_choice *out)
{
	struct placement *p = c->entry->placement;

	if (q->n_tried == 0 && !c->keyed && q->content == 0 &&
	    canary_take(&c->service->canary)) {
		q->canaries = c->service->canary.endpoints;
		if (placement_choose(p, q, now_ms, out))
			return true;
		q->canaries = 0;
	}
	return placement_choose(p, q, now_ms, out);
}

static void
place(struct entry_call *c)
{
	struct entry *e = c->entry;
	struct placement_query q = {.service = c->service->id,
	    .idempotent = c->idempotent,
	    .kind = entry_route_key(c->route),
	    .avoid_own = entry_is_overdue(e)};
	struct placement_choice choice;
	const struct endpoint *ep;
	uint64_t now_ms = loop_now_ms(e->loop);

	if (!passes_quarantine(c, &q) || !passes_returns(c))
		return;
	if (c->keyed) {
		q.key = c->request->key;
		q.key_len = strlen(c->request->key);
		q.key_scope = c->customer != NULL ? c->customer->id : 0;
	}
	q.tried = call_tried(c->machine, &q.n_tried);
	if (!choose_endpoint(c, &q, now_ms, &choice)) {
		call_no_endpoint(c->machine, 0, now_ms);
		return;
	}
	ep = entry_service_endpoint(c->service, choice.endpoint);
	c->placed = choice;
	(void)g_strlcpy(c->placed_host, ep != NULL ? ep->host : "?",
	    sizeof(c->placed_host));
	(void)g_strlcpy(c->placed_version, ep != NULL ? ep->version : "",
	    sizeof(c->placed_version));
	call_placed(c->machine, choice.endpoint, now_ms);
}

static void
send(struct entry_call *c, const struct call_action *action)
{
	struct entry *e = c->entry;
	const struct endpoint *ep;
	struct entry_attempt *a;

	ep = entry_service_endpoint(c->service, action->endpoint);
	if (ep == NULL) {
		call_connect_failed(
		    c->machine, action->stream, loop_now_ms(e->loop));
		return;
	}
	a = entry_attempt_new(c, action);
	a->address = ep->address;
	a->counted = true;
	endpoints_began(e->endpoints, action->endpoint, loop_now_ms(e->loop));
	if (action->attempt > 1)
		metric_add(&metric_retries, 1);
	entry_peer_add(entry_peer_get(e, a->address), a);
}

/* Uses the address that the attempt was sent to, since the endpoint may have
 * left the snapshot. */
static void
resolve(struct entry_call *c, const struct call_action *action)
{
	struct entry_attempt *sent = NULL;
	struct entry_attempt *a;
	guint i;

	for (i = 0; i < c->attempts->len; i++) {
		a = g_ptr_array_index(c->attempts, i);
		if (a->action.attempt == action->attempt)
			sent = a;
	}
	if (sent == NULL)
		return;
	a = entry_attempt_new(c, action);
	a->address = sent->address;
	entry_peer_add(entry_peer_get(c->entry, a->address), a);
}

static void
cancel(struct entry_call *c, const struct call_action *action)
{
	struct entry_attempt *a = find_attempt(c, action->stream);
	struct msg_call_cancel m;

	if (a == NULL || a->peer == NULL)
		return;
	if (a->stream == 0) {
		entry_peer_remove(a);
		entry_attempt_end(a, ENDPOINT_CANCELLED);
		return;
	}
	m.stream = a->stream;
	m.abandoned = action->abandoned;
	m.sent_ms = loop_now_ms(c->entry->loop);
	call_link_cancel(&a->peer->link, &m);
}

/* Detaches all streams; their endpoints record a cancellation. */
static void
drop_streams(struct entry_call *c)
{
	struct entry_attempt *a;
	guint i;

	for (i = 0; i < c->attempts->len; i++) {
		a = g_ptr_array_index(c->attempts, i);
		entry_peer_remove(a);
		entry_attempt_end(a, ENDPOINT_CANCELLED);
	}
}

static void
finish_call(struct entry_call *c)
{
	if (c->finished)
		return;
	c->finished = true;
	entry_quota_ended(c);
	drop_streams(c);
	loop_timer_stop(&c->timer);
	loop_task_defer(&c->free_task);
	entry_call_ended(c->entry);
}

/* Cause of a failed call: refused, stopped, deadline passed, or all attempts
 * failed. */
static const char *
failure_reason(const struct entry_call *c, const struct call_action *action)
{
	if (c->is_early)
		return "early_return";
	if (action->refusal != REFUSAL_NONE)
		return refusal_name(action->refusal);
	if (drain_is_complete(&c->entry->drain))
		return "stopped";
	if (loop_now_ms(c->entry->loop) >= c->deadline_ms)
		return "deadline";
	return "attempt_failed";
}

static void
give_up(struct entry_call *c, const struct call_action *action)
{
	entry_log_end(c, action->outcome, failure_reason(c, action));
	if (c->is_served && action->outcome == OUTCOME_NOT_RUN)
		guard_call_refused(c->entry->guard, c->request->id);
	call_metrics_outcome(action->outcome);
	await_return(c, action);
	if (action->refusal == REFUSAL_NO_ENDPOINT ||
	    action->refusal == REFUSAL_UNREACHABLE)
		call_metrics_refusal(action->refusal);
	entry_answer_failed(c, action);
}

static void
run_action(struct entry_call *c, const struct call_action *action)
{
	struct entry_attempt *a;

	switch (action->kind) {
	case CALL_PLACE:
		place(c);
		return;
	case CALL_SEND:
		send(c, action);
		return;
	case CALL_RESOLVE:
		resolve(c, action);
		return;
	case CALL_CANCEL:
		cancel(c, action);
		return;
	case CALL_DELIVER:
		a = find_attempt(c, action->stream);
		entry_log_end(c, OUTCOME_DONE, "answered");
		call_metrics_outcome(OUTCOME_DONE);
		entry_answer_deliver(a);
		return;
	case CALL_GIVE_UP:
		give_up(c, action);
		return;
	case CALL_ABORT:
		entry_log_end(c, OUTCOME_UNKNOWN, "answer_cut");
		call_metrics_outcome(OUTCOME_UNKNOWN);
		call_exchange_end_answer(c->exchange, EXCHANGE_ABORTED);
		return;
	}
}

void
entry_call_run(struct entry_call *c)
{
	struct call_action action;

	if (c->running_actions || c->finished)
		return;
	c->running_actions = true;
	while (call_next(c->machine, &action))
		run_action(c, &action);
	c->running_actions = false;
	if (call_is_finished(c->machine))
		finish_call(c);
	else
		loop_timer_set(&c->timer, call_wake_ms(c->machine));
}

/* Events */

static void
on_timer(void *arg)
{
	struct entry_call *c = arg;

	call_tick(c->machine, loop_now_ms(c->entry->loop));
	entry_call_run(c);
}

static void
on_free(void *arg)
{
	entry_call_free(arg);
}

/* A limit in the configuration replaces that of the settings, whether larger or
 * smaller. */
static uint64_t
max_body_bytes(const struct entry *e, const struct service_limits *l)
{
	if (l->request_max_bytes == SERVICE_REQUEST_NODE_SETTING)
		return e->settings->request_max_bytes;
	return l->request_max_bytes;
}

/* Answers and ends a call whose body of unknown length has exceeded the
 * service's limit. */
static bool
refuse_oversized_body(struct entry_call *c)
{
	if (c->body.buffer.end_bytes <=
	    max_body_bytes(c->entry, &c->config->limits))
		return false;
	entry_behind_body_too_large(c);
	call_caller_disconnected(c->machine, loop_now_ms(c->entry->loop));
	entry_call_run(c);
	return true;
}

void
entry_call_exchange_event(struct entry_call *c)
{
	struct entry_attempt *a = current_attempt(c);
	struct exchange_events events;

	call_exchange_poll(c->exchange, &events);
	c->body.exchange_end = events.request_body_end;
	if (events.disconnected) {
		entry_log_departed(c);
		call_caller_disconnected(
		    c->machine, loop_now_ms(c->entry->loop));
		entry_call_run(c);
		return;
	}
	entry_body_pull(c, a);
	if (refuse_oversized_body(c) || a == NULL)
		return;
	entry_attempt_send_body(a);
	if (events.consumed_bytes > 0)
		entry_attempt_grant(a, events.consumed_bytes);
}

/* Creation and release */

static void
fill_call_config(const struct entry_call *c, struct call_config *cfg)
{
	memset(cfg, 0, sizeof(*cfg));
	cfg->deadline_ms = c->deadline_ms;
	cfg->attempts = c->route->attempts;
	cfg->target_ms = c->target_ms;
	cfg->caller_gives_up_ms = c->request->deadline_ms;
	cfg->run = c->run != NULL ? &c->run->calls : NULL;
	cfg->deadline_grace_ms = DEADLINE_GRACE_MS;
	cfg->resolve_limit_ms = RESOLVE_LIMIT_MS;
	cfg->idempotent = c->idempotent;
	cfg->keyed = c->keyed;
}

/* The caller's deadline or the configured timeout, whichever is earlier. */
static uint64_t
effective_deadline_ms(const struct entry_call *c, uint64_t now_ms)
{
	uint32_t timeout_ms = c->route->timeout_ms;

	if (timeout_ms == 0 && c->request->deadline_ms == DEADLINE_NEVER)
		timeout_ms = c->config->timeout_ms;
	if (timeout_ms == 0)
		return c->request->deadline_ms;
	return MIN(c->request->deadline_ms, now_ms + timeout_ms);
}

uint64_t
entry_route_key(const struct service_route *route)
{
	uint64_t key = hash64(route->host, route->host_len, route->methods);

	return hash64(route->prefix, route->prefix_len, key);
}

/* Target time of the answer, counted from when the caller first sent the
 * request. */
static uint64_t
target_deadline_ms(const struct entry_call *c, uint64_t now_ms)
{
	uint64_t waited_ms = 0;

	if (c->route->target_ms == 0)
		return 0;
	/* An upstream's call has as much time left as the request that it
	 * serves, which doesn't show that it was sent before. */
	if (c->request->deadline_ms != DEADLINE_NEVER && !c->is_served)
		waited_ms = patience_elapsed_ms(c->entry->patience,
		    entry_route_key(c->route),
		    clock_left_ms(c->request->deadline_ms, now_ms));
	return now_ms + c->route->target_ms - MIN(waited_ms, now_ms);
}

/**
 * struct accepted - what the version in force says of a request
 * @match: its route and service
 * @customer: its customer, or NULL
 */
struct accepted {
	struct route_match match;
	const struct customer *customer;
};

static struct entry_call *
call_create(
    struct entry *e, struct call_exchange *x, const struct accepted *accepted)
{
	const struct route_match *match = &accepted->match;
	struct entry_call *c = g_new0(struct entry_call, 1);
	struct call_request *r = call_exchange_request(x);
	struct call_config cfg;
	uint64_t now_ms = loop_now_ms(e->loop);

	c->entry = e;
	c->exchange = x;
	c->request = r;
	c->snapshot = snapshot_ref(e->snapshot);
	c->service = entry_service_get(e, match->service);
	c->config = match->service->config;
	c->route = match->route;
	c->customer = accepted->customer;
	c->idempotent = match->route->idempotent;
	c->keyed = r->key != NULL && !c->idempotent;
	c->sequence = ++e->sequence;
	c->body.held = true;
	c->is_served = e->guard != NULL && r->id != NULL &&
	    guard_served(e->guard, r->id, &c->served);
	if (c->is_served)
		c->run = entry_run_join(
		    e->served_runs, r->id, e->dialect->call_separator);
	c->deadline_ms = effective_deadline_ms(c, now_ms);
	c->target_ms = target_deadline_ms(c, now_ms);
	c->attempts = g_ptr_array_new_with_free_func(entry_attempt_free);
	body_buffer_init(&c->body.buffer);
	loop_timer_init(&c->timer, e->loop, on_timer, c);
	loop_task_init(&c->free_task, e->loop, on_free, c);
	fill_call_config(c, &cfg);
	c->machine = call_new(&cfg, &c->service->budget, e->seed ^ c->sequence);
	c->link.data = c;
	g_queue_push_tail_link(&e->calls, &c->link);
	call_exchange_set_entry_data(x, c);
	return c;
}

/* Refuses a request, as behind when a newer version may accept it; Return:
 * false. */
static bool
refuse(struct entry *e, struct call_exchange *x, uint32_t status,
    const char *kind, const char *message)
{
	if (entry_behind_refuse(e, x, status))
		return false;
	entry_log_refused(e, call_exchange_request(x), status, kind);
	entry_answer_refuse(x, status, kind, message);
	return false;
}

_Static_assert(
    SNAPSHOT_SHARES_MAX <= SPLIT_PARTS_MAX, "a split takes all shares");

/* Chooses one of the services that share the route by weight. */
static void
choose_by_weight(struct entry *e, struct route_match *match)
{
	const struct service_route *route = match->route;
	struct route_match shares[SNAPSHOT_SHARES_MAX];
	struct split_part parts[SPLIT_PARTS_MAX];
	uint32_t i, n;

	if (route->weight == 0)
		return;
	n = snapshot_shares(e->snapshot, match, shares);
	for (i = 0; i < n; i++) {
		parts[i].service = service_id(shares[i].service->config->name);
		parts[i].weight = shares[i].route->weight;
	}
	*match =
	    shares[split_choose(e->splits, entry_route_key(route), parts, n)];
}

static bool
route_call(struct entry *e, struct call_exchange *x, struct accepted *accepted)
{
	struct route_match *match = &accepted->match;
	struct call_request *r = call_exchange_request(x);
	enum http_method method;

	if (!drain_accepts_call(&e->drain)) {
		entry_log_refused(e, r, HTTP_UNAVAILABLE, "draining");
		entry_answer_stopping(x);
		return false;
	}
	if (entry_snapshot(e) == NULL) {
		entry_log_refused(e, r, HTTP_UNAVAILABLE, "unavailable");
		entry_answer_starting(x);
		return false;
	}
	method = method_parse(r->method, strlen(r->method));
	switch (snapshot_match(
	    e->snapshot, method, r->host, r->path, strlen(r->path), match)) {
	case ROUTE_NO_PATH:
		return refuse(e, x, HTTP_NOT_FOUND, "not_found",
		    "no route matches the request; check its path.");
	case ROUTE_NO_METHOD:
		return refuse(e, x, HTTP_METHOD_NOT_ALLOWED, "invalid",
		    "the route does not accept this method; use another one.");
	case ROUTE_FOUND:
		break;
	}
	if (!entry_customer_find(e, r, match->route, &accepted->customer)) {
		entry_customer_refuse(e, x);
		return false;
	}
	entry_customer_count(e, accepted->customer);
	if (!entry_customer_is_confirmed(e, match->route)) {
		entry_customer_unconfirmed(e, x);
		return false;
	}
	choose_by_weight(e, match);
	if (r->body_bytes > 0 &&
	    (uint64_t)r->body_bytes >
		max_body_bytes(e, &match->service->config->limits))
		return refuse(e, x, HTTP_CONTENT_TOO_LARGE, "too_large",
		    "the body exceeds the service's limit; send a smaller "
		    "one.");
	if (!entry_customer_name(e, accepted->customer, r))
		return refuse(e, x, HTTP_HEADERS_TOO_LARGE, "too_large",
		    "the request has too many headers; send fewer.");
	return true;
}

/* Services that share a route by weight may differ, and the one is not chosen
 * yet. */
static bool
all_idempotent(const struct snapshot *s, const struct route_match *match)
{
	struct route_match shares[SNAPSHOT_SHARES_MAX];
	uint32_t i, n;

	if (match->route->weight == 0)
		return match->route->idempotent;
	n = snapshot_shares(s, match, shares);
	for (i = 0; i < n; i++)
		if (!shares[i].route->idempotent)
			return false;
	return true;
}

bool
entry_may_overlap(
    struct entry *e, const char *method, const char *host, const char *target)
{
	const struct snapshot *s = entry_snapshot(e);
	struct route_match match;

	if (s == NULL || target[0] != '/')
		return false;
	if (snapshot_match(s, method_parse(method, strlen(method)), host,
		target, strlen(target), &match) != ROUTE_FOUND)
		return false;
	return all_idempotent(s, &match);
}

/* Return: false when the request was refused for its customer's limit. */
static bool
within_limit(struct entry *e, struct call_exchange *x,
    const struct customer *customer, enum quota_verdict *verdict)
{
	uint64_t retry_after_ms = 0;

	*verdict = entry_quota_take(e->quota, customer, &retry_after_ms);
	if (*verdict != QUOTA_REFUSE)
		return true;
	entry_quota_refuse(e, x, customer, retry_after_ms);
	return false;
}

void
entry_call_start(struct entry_call *c)
{
	call_start(c->machine, loop_now_ms(c->entry->loop));
	entry_call_run(c);
}

void
entry_call_begin(struct entry *e, struct call_exchange *x)
{
	struct accepted accepted;
	struct entry_call *c;
	struct exchange_events events;
	enum quota_verdict verdict = QUOTA_ADMIT;

	if (!route_call(e, x, &accepted) ||
	    !within_limit(e, x, accepted.customer, &verdict)) {
		entry_call_ended(e);
		call_exchange_unref(x);
		return;
	}
	c = call_create(e, x, &accepted);
	call_exchange_accept(x);
	call_exchange_poll(x, &events);
	c->body.exchange_end = events.request_body_end;
	if (verdict == QUOTA_WAIT) {
		entry_quota_park(c);
		return;
	}
	c->credited = c->customer != NULL && c->customer->rate_milli_per_s != 0;
	entry_call_start(c);
}

void
entry_call_free(struct entry_call *c)
{
	loop_timer_stop(&c->timer);
	loop_task_cancel(&c->free_task);
	g_queue_unlink(&c->entry->calls, &c->link);
	g_ptr_array_free(c->attempts, TRUE);
	body_buffer_clear(&c->body.buffer);
	call_free(c->machine);
	entry_run_leave(c->run);
	call_exchange_set_entry_held(c->exchange, 0);
	call_exchange_set_entry_data(c->exchange, NULL);
	call_exchange_unref(c->exchange);
	snapshot_unref(c->snapshot);
	g_free(c);
}
