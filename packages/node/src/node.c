/*
 * Node: starts and stops the parts of the process in order.
 */
#define LOG_PART "node"

#include <glib.h>

#include "base/clock.h"
#include "base/log.h"
#include "node/adapter.h"
#include "node/admin.h"
#include "node/callers.h"
#include "node/control.h"
#include "node/entry.h"
#include "node/guard.h"
#include "node/node.h"
#include "node/traffic_thread.h"
#include "proto/settings.h"
#include "traffic/drain.h"

#define STOP_POLL_MS 5

struct node {
	const struct settings *settings;
	const struct node_adapter *adapter;
	void *adapter_data;
	struct traffic_thread *traffic;
	struct entry *entry;
	struct guard *guard;
	struct callers *callers;
	struct control *control;
	struct admin *admin;
};

static void
node_free(struct node *n)
{
	admin_stop(n->admin);
	callers_free(n->callers);
	if (n->adapter != NULL && n->adapter_data != NULL)
		n->adapter->free(n->adapter_data);
	control_free(n->control);
	entry_free(n->entry);
	guard_free(n->guard);
	traffic_thread_free(n->traffic);
	g_free(n);
}

static const struct call_dialect *
node_dialect(const struct node *n)
{
	return n->adapter != NULL ? n->adapter->dialect : &call_dialect_own;
}

static enum status
node_create_parts(struct node *n, uint64_t incarnation, uint64_t seed)
{
	const struct call_dialect *d = node_dialect(n);
	const struct settings *s = n->settings;
	struct loop *loop;
	enum status st;

	n->traffic = traffic_thread_new();
	if (n->traffic == NULL)
		return STATUS_IO;
	loop = traffic_thread_loop(n->traffic);
	n->entry = entry_new(s, d, incarnation, loop);
	n->guard = guard_new(s, d, incarnation, loop);
	entry_use_quarantine(n->entry, guard_quarantine(n->guard));
	entry_use_guard(n->entry, n->guard);
	entry_use_homes(n->entry, guard_homes(n->guard));
	n->callers = callers_new(s, d, n->entry, loop);
	traffic_health_watch(traffic_thread_health(n->traffic),
	    callers_closed_since_ms, n->callers);
	st = control_new(s, n->entry, n->guard, incarnation, seed, &n->control);
	if (st == STATUS_OK) {
		control_watch_traffic(
		    n->control, traffic_thread_health(n->traffic));
		control_check_upstreams(n->control, d);
	}
	if (st == STATUS_OK && n->adapter != NULL)
		st = n->adapter->start(s, n->control, seed, &n->adapter_data);
	return st;
}

static enum status
node_start_parts(struct node *n)
{
	enum status st;

	st = guard_start(n->guard);
	if (st == STATUS_OK)
		st = callers_start(n->callers);
	if (st == STATUS_OK)
		st = traffic_thread_start(n->traffic);
	if (st == STATUS_OK)
		st = control_start(n->control);
	if (st == STATUS_OK && n->adapter == NULL)
		st = admin_start(
		    n->settings, n->control, entry_usage(n->entry), &n->admin);
	return st;
}

static void
node_stop_parts(struct node *n)
{
	admin_stop(n->admin);
	n->admin = NULL;
	callers_stop(n->callers);
	entry_stop(n->entry);
	guard_log_aborted(n->guard);
	traffic_thread_stop(n->traffic);
	control_stop(n->control);
}

enum status
node_start(const struct settings *s, const struct node_adapter *adapter,
    uint64_t incarnation, uint64_t seed, struct node **out)
{
	struct node *n = g_new0(struct node, 1);
	enum status st;

	n->settings = s;
	n->adapter = adapter;
	st = node_create_parts(n, incarnation, seed);
	if (st != STATUS_OK) {
		node_free(n);
		return st;
	}
	st = node_start_parts(n);
	if (st != STATUS_OK) {
		node_stop_parts(n);
		node_free(n);
		return st;
	}
	log_info("Node %s of data centre %s started.", s->host, s->data_centre);
	*out = n;
	return STATUS_OK;
}

static int
node_is_idle(const struct node *n)
{
	return callers_in_flight(n->callers) == 0 &&
	    entry_in_flight(n->entry) == 0 && guard_in_flight(n->guard) == 0;
}

/* Keeps serving calls of peers while callers switch to other nodes. */
static void
node_serve_peers(const struct node *n, uint64_t until_ms)
{
	while (clock_now_ms() < until_ms && guard_is_serving(n->guard))
		g_usleep(STOP_POLL_MS * G_TIME_SPAN_MILLISECOND);
}

void
node_stop(struct node *n)
{
	uint64_t now_ms = clock_now_ms();
	const struct settings *s = n->settings;
	uint64_t deadline_ms = now_ms + drain_wait_ms(s->drain_ms, s->grace_ms);
	uint64_t serve_until_ms =
	    drain_accepts_until_ms(s->drain_notice_ms, deadline_ms, now_ms);

	control_stop_accepting(n->control);
	guard_announce_stop(n->guard, deadline_ms);
	callers_drain(n->callers, deadline_ms);
	node_serve_peers(n, serve_until_ms);
	control_leave(n->control);
	guard_drain(n->guard, deadline_ms);
	while (clock_now_ms() < serve_until_ms ||
	    (clock_now_ms() < deadline_ms &&
		!(node_is_idle(n) && control_has_left(n->control))))
		g_usleep(STOP_POLL_MS * G_TIME_SPAN_MILLISECOND);
	if (!node_is_idle(n))
		log_warning("The drain's deadline passed; %u calls and %u "
			    "guarded requests are aborted.",
		    entry_in_flight(n->entry), guard_in_flight(n->guard));
	entry_drain(n->entry, 0);
	node_stop_parts(n);
	node_free(n);
}
