/*
 * Node: order of start and stop of the parts of the process.
 */
#define LOG_PART "node"

#include <glib.h>

#include "base/clock.h"
#include "base/log.h"
#include "node/admin.h"
#include "node/callers.h"
#include "node/control.h"
#include "node/entry.h"
#include "node/guard.h"
#include "node/node.h"
#include "proto/settings.h"

#define STOP_POLL_MS 5

struct node {
	const struct settings *settings;
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
	control_free(n->control);
	entry_free(n->entry);
	guard_free(n->guard);
	g_free(n);
}

static enum status
node_make(struct node *n, uint64_t incarnation, uint64_t seed)
{
	n->entry = entry_new(n->settings, incarnation);
	n->guard = guard_new(n->settings, incarnation);
	if (n->entry == NULL || n->guard == NULL)
		return STATUS_IO;
	n->callers = callers_new(n->settings, n->entry);
	return control_new(
	    n->settings, n->entry, n->guard, incarnation, seed, &n->control);
}

static enum status
node_start_parts(struct node *n)
{
	enum status st;

	st = guard_start(n->guard);
	if (st == STATUS_OK)
		st = entry_start(n->entry);
	if (st == STATUS_OK)
		st = control_start(n->control);
	if (st == STATUS_OK)
		st = callers_start(n->callers);
	if (st == STATUS_OK)
		st = admin_start(n->settings, n->control, &n->admin);
	return st;
}

static void
node_stop_parts(struct node *n)
{
	admin_stop(n->admin);
	n->admin = NULL;
	callers_stop(n->callers);
	entry_stop(n->entry);
	guard_stop(n->guard);
	control_stop(n->control);
}

enum status
node_start(const struct settings *s, uint64_t incarnation, uint64_t seed,
    struct node **out)
{
	struct node *n = g_new0(struct node, 1);
	enum status st;

	n->settings = s;
	st = node_make(n, incarnation, seed);
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
node_idle(const struct node *n)
{
	return callers_in_flight(n->callers) == 0 &&
	    entry_in_flight(n->entry) == 0 && guard_in_flight(n->guard) == 0;
}

void
node_stop(struct node *n)
{
	uint64_t deadline_ms = clock_now_ms() + n->settings->drain_ms;

	control_leave(n->control);
	guard_drain(n->guard, deadline_ms);
	callers_drain(n->callers, deadline_ms);
	while (clock_now_ms() < deadline_ms &&
	    !(node_idle(n) && control_has_left(n->control)))
		g_usleep(STOP_POLL_MS * G_TIME_SPAN_MILLISECOND);
	if (!node_idle(n))
		log_warning("The drain's deadline passed; %u calls and %u "
			    "guarded requests are given up.",
		    entry_in_flight(n->entry), guard_in_flight(n->guard));
	entry_drain(n->entry, 0);
	node_stop_parts(n);
	node_free(n);
}
