/*
 * Reports of the upstream on this host that wait: to be applied until this node
 * knows what its peers keep of the upstream, to be acknowledged until peers
 * hold them.
 */
#define LOG_PART "upstream"

#include <string.h>

#include "base/log.h"
#include "base/metrics.h"
#include "control_priv.h"

/* Most reports that wait to be applied; the oldest are dropped.  A process has
 * three at most. */
#define REPORTS_MAX 16
/* Longest wait; upstreams wait for an acknowledgement for a second. */
#define WAIT_MS 800

static struct metric not_held = {"bramley_upstream_reports_not_held_total",
    "Reports of upstreams that were not acknowledged, since too few other "
    "nodes confirmed them.",
    METRIC_COUNTER, NULL, 0, {0}};

/** struct upstream_report - a heartbeat, or a leave */
struct upstream_report {
	char *instance;
	uint64_t started_ms;
	bool leaves;
	struct upstream_heartbeat heartbeat;
};

/** struct report_wait - a report that is not acknowledged yet */
struct report_wait {
	char *instance;
	uint64_t deadline_ms;
	control_held_fn *fn;
	void *arg;
};

static void
report_free(struct upstream_report *r)
{
	g_free(r->instance);
	g_free(r);
}

static void
wait_free(struct report_wait *w)
{
	g_free(w->instance);
	g_free(w);
}

/* Whether a report says nothing that a later one of the same process does not
 * say too. */
static bool
is_superseded(
    const struct upstream_report *r, const struct upstream_report *later)
{
	return strcmp(r->instance, later->instance) == 0 &&
	    r->started_ms == later->started_ms && r->leaves == later->leaves &&
	    r->heartbeat.state == later->heartbeat.state &&
	    r->heartbeat.seq <= later->heartbeat.seq;
}

static void
drop_superseded(struct control *c, const struct upstream_report *later)
{
	GList *l, *next;

	for (l = c->reports.head; l != NULL; l = next) {
		next = l->next;
		if (!is_superseded(l->data, later))
			continue;
		report_free(l->data);
		g_queue_delete_link(&c->reports, l);
	}
}

void
control_reports_defer(struct control *c, const char *instance,
    uint64_t started_ms, const struct upstream_heartbeat *b)
{
	struct upstream_report *r = g_new0(struct upstream_report, 1);

	r->instance = g_strdup(instance);
	r->started_ms = started_ms;
	r->leaves = b == NULL;
	if (b != NULL)
		r->heartbeat = *b;
	drop_superseded(c, r);
	if (c->reports.length >= REPORTS_MAX)
		report_free(g_queue_pop_head(&c->reports));
	g_queue_push_tail(&c->reports, r);
}

static void
apply(struct control *c, const struct upstream_report *r)
{
	if (r->leaves)
		control_upstream_left(c, r->instance, r->started_ms);
	else if (control_heartbeat(c, r->instance, &r->heartbeat) != STATUS_OK)
		log_warning("heartbeat of %s rejected: %s", r->instance,
		    status_message());
}

void
control_reports_apply(struct control *c)
{
	struct upstream_report *r;

	while ((r = g_queue_pop_head(&c->reports)) != NULL) {
		apply(c, r);
		report_free(r);
	}
}

/* Whether a report of this process waits to be applied. */
static bool
is_deferred(const struct control *c, const char *instance)
{
	const struct upstream_report *r;
	const GList *l;

	for (l = c->reports.head; l != NULL; l = l->next) {
		r = l->data;
		if (strcmp(r->instance, instance) == 0)
			return true;
	}
	return false;
}

static enum membership_hold
hold_of(const struct control *c, const char *instance)
{
	if (is_deferred(c, instance))
		return MEMBERSHIP_HOLD_PENDING;
	return membership_run_hold(c->membership, instance_key(instance));
}

static void
end_wait(struct report_wait *w, bool held)
{
	if (!held) {
		metric_add(&not_held, 1);
		log_warning("the report of %s is not acknowledged: too few "
			    "other nodes have confirmed it",
		    w->instance);
	}
	w->fn(held, w->arg);
	wait_free(w);
}

static void
set_wait_timer(struct control *c)
{
	const struct report_wait *w = g_queue_peek_head(&c->waits);

	if (w != NULL)
		loop_timer_set(&c->wait_timer, w->deadline_ms);
	else
		loop_timer_stop(&c->wait_timer);
}

void
control_reports_check_waits(struct control *c)
{
	enum membership_hold hold;
	struct report_wait *w;
	GList *l, *next;

	for (l = c->waits.head; l != NULL; l = next) {
		next = l->next;
		w = l->data;
		hold = hold_of(c, w->instance);
		if (hold == MEMBERSHIP_HOLD_PENDING &&
		    control_now(c) < w->deadline_ms)
			continue;
		g_queue_delete_link(&c->waits, l);
		end_wait(w,
		    hold == MEMBERSHIP_HOLD_CONFIRMED ||
			hold == MEMBERSHIP_HOLD_NONE);
	}
	set_wait_timer(c);
}

static void
on_wait_timer(void *arg)
{
	control_reports_check_waits(arg);
}

void
control_when_held(
    struct control *c, const char *instance, control_held_fn *fn, void *arg)
{
	struct report_wait *w = g_new0(struct report_wait, 1);

	w->instance = g_strdup(instance);
	w->deadline_ms = control_now(c) + WAIT_MS;
	w->fn = fn;
	w->arg = arg;
	g_queue_push_tail(&c->waits, w);
	control_pump(c);
	control_reports_check_waits(c);
}

void
control_cancel_wait(struct control *c, const void *arg)
{
	struct report_wait *w;
	GList *l, *next;

	for (l = c->waits.head; l != NULL; l = next) {
		next = l->next;
		w = l->data;
		if (w->arg != arg)
			continue;
		g_queue_delete_link(&c->waits, l);
		wait_free(w);
	}
	set_wait_timer(c);
}

void
control_reports_init(struct control *c)
{
	metric_register(&not_held);
	g_queue_init(&c->reports);
	g_queue_init(&c->waits);
	loop_timer_init(&c->wait_timer, c->loop, on_wait_timer, c);
}

void
control_reports_clear(struct control *c)
{
	gpointer item;

	while ((item = g_queue_pop_head(&c->reports)) != NULL)
		report_free(item);
	while ((item = g_queue_pop_head(&c->waits)) != NULL)
		wait_free(item);
}
