/*
 * The upstream on this host, known from its heartbeats and its answers.
 */
#define LOG_PART "upstream"

#include <string.h>

#include "base/log.h"
#include "control_priv.h"
#include "node/guard.h"
#include "proto/settings.h"

/*
 * Whether a service that is missing in the version in force may be contained in
 * a newer known version.  If this host already has an upstream of another
 * service, the heartbeat more likely comes from a foreign process.
 */
static int
may_be_in_newer_version(
    const struct control *c, const struct upstream_heartbeat *b)
{
	const struct member *own = membership_self(c->membership);
	uint32_t i;

	for (i = 0; i < own->n_endpoints; i++)
		if (own->endpoints[i].state != ENDPOINT_LEFT &&
		    strcmp(own->endpoints[i].service, b->service) != 0)
			return 0;
	return c->known_version > catalog_version(c->catalog);
}

/* Whether the current process sent the heartbeat, with unchanged service and
 * port.  Its heartbeats are accepted until it ends: otherwise its end would
 * never be acknowledged once a newer version no longer contains its service. */
static int
is_current_upstream(const struct control *c, const char *instance,
    const struct upstream_heartbeat *b)
{
	return instances_is_latest(&c->instances, instance, b->started_ms) &&
	    b->address.port == c->instance_port &&
	    strcmp(b->service, c->instance_service) == 0;
}

/* Rejects a heartbeat that doesn't name an upstream of this host: it may come
 * from a foreign process, which must not replace the current process. */
static enum status
check_heartbeat(const struct control *c, const char *instance,
    const struct upstream_heartbeat *b)
{
	if (b->address.ip != c->settings->address)
		return status_set(STATUS_INVALID,
		    "A heartbeat names an address of another host; send it to "
		    "the node of that host.");
	if (catalog_version(c->catalog) != 0 &&
	    catalog_find(c->catalog, b->service) == NULL &&
	    !may_be_in_newer_version(c, b) &&
	    !is_current_upstream(c, instance, b))
		return status_set(STATUS_INVALID,
		    "A heartbeat names service \"%s\", which the "
		    "configuration in force doesn't have; correct the name "
		    "at the upstream or add the service.",
		    b->service);
	return STATUS_OK;
}

/* Service of an upstream at the port of a heartbeat that is not the
 * heartbeat's own; NULL if there is none. */
static const char *
other_service_at_port(
    const struct control *c, const struct upstream_heartbeat *b)
{
	const struct member *own = membership_self(c->membership);
	const struct member_endpoint *e;
	uint32_t i;

	for (i = 0; i < own->n_endpoints; i++) {
		e = &own->endpoints[i];
		if (e->port == b->address.port && e->state != ENDPOINT_LEFT &&
		    strcmp(e->service, b->service) != 0)
			return e->service;
	}
	return NULL;
}

/* Only one process listens at a port: when the current run is of another
 * service, the upstream that was announced there is gone. */
static void
withdraw_replaced(struct control *c, const struct upstream_heartbeat *b)
{
	const char *service = other_service_at_port(c, b);

	if (service == NULL)
		return;
	log_info("upstream of %s at port %u is withdrawn: %s has its port",
	    service, b->address.port, b->service);
	(void)control_withdraw(c, service, b->address.port);
}

/* Has peers keep what a run reports of its leaving.  @seq is that of the
 * report; heartbeats with lower ones are stale from now on. */
static void
keep_report(struct control *c, const char *instance, uint64_t seq,
    enum endpoint_state state)
{
	struct rec_run report = {
	    .key = instance_key(instance),
	    .started_ms = instances_started_ms(&c->instances, instance),
	    .seq = seq,
	    .state = state,
	};

	membership_report_run(c->membership, control_now(c), &report);
}

/* Whether all is known that may make a heartbeat a late one. */
static bool
heartbeats_are_usable(const struct control *c)
{
	return membership_runs_recalled(c->membership) &&
	    c->check.phase != UPSTREAM_ASKED;
}

enum status
control_heartbeat(
    struct control *c, const char *instance, const struct upstream_heartbeat *b)
{
	int is_new_process =
	    strcmp(instances_current(&c->instances), instance) != 0;
	uint64_t previous_started_ms =
	    instances_current_started_ms(&c->instances);
	enum status st = check_heartbeat(c, instance, b);

	if (st != STATUS_OK)
		return st;
	control_check_begin(c, instance, b->started_ms, b);
	if (!heartbeats_are_usable(c)) {
		control_reports_defer(c, instance, b->started_ms, b);
		return STATUS_OK;
	}
	if (instances_heartbeat(&c->instances, instance, b->started_ms,
		b->seq) != INSTANCE_CURRENT) {
		log_info("heartbeat %" G_GUINT64_FORMAT
			 " of %s, started %" G_GUINT64_FORMAT
			 ", is late and ignored",
		    b->seq, instance, b->started_ms);
		return STATUS_OK;
	}
	is_new_process |=
	    instances_current_started_ms(&c->instances) != previous_started_ms;
	if (is_new_process) {
		withdraw_replaced(c, b);
		(void)membership_set_leaving(c->membership, control_now(c),
		    b->service, b->address.port, 0);
		log_info("%s of %s, started %" G_GUINT64_FORMAT
			 ", at port %u is now the upstream of this host, %u "
			 "slots",
		    instance, b->service, b->started_ms, b->address.port,
		    b->slots);
		c->dirty = 1;
	}
	c->instance_port = b->address.port;
	(void)g_strlcpy(
	    c->instance_service, b->service, sizeof(c->instance_service));
	st = control_announce(c, b->service, b->address.port, b->slots,
	    b->state, c->settings->announce_lease_ms,
	    (uint16_t)MIN(b->cold_ms, MEMBER_COLD_UNKNOWN - 1), b->version);
	keep_report(c, instance, b->seq, b->state);
	return st;
}

/* Withdraws the endpoint of the run that was current. */
static void
withdraw_current(struct control *c)
{
	const struct member *own = membership_self(c->membership);
	char service[MEMBER_NAME_BYTES] = "";
	uint32_t i;

	for (i = 0; i < own->n_endpoints; i++)
		if (own->endpoints[i].port == c->instance_port &&
		    own->endpoints[i].state != ENDPOINT_LEFT)
			(void)g_strlcpy(service, own->endpoints[i].service,
			    sizeof(service));
	if (service[0] != '\0')
		(void)control_withdraw(c, service, c->instance_port);
}

void
control_upstream_left(
    struct control *c, const char *instance, uint64_t started_ms)
{
	int was_current;

	if (!heartbeats_are_usable(c)) {
		control_reports_defer(c, instance, started_ms, NULL);
		return;
	}
	was_current = instances_left(&c->instances, instance, started_ms);
	if (started_ms == 0 ||
	    started_ms >= instances_started_ms(&c->instances, instance))
		keep_report(c, instance, UINT64_MAX, ENDPOINT_LEFT);
	if (!was_current) {
		log_info("end of %s, started %" G_GUINT64_FORMAT
			 ", is late and ignored",
		    instance, started_ms);
		return;
	}
	log_info(
	    "%s of %s has announced its end", instance, c->instance_service);
	withdraw_current(c);
}

void
control_upstream_runs_changed(struct control *c)
{
	struct rec_run runs[MSG_RUNS_RUNS_MAX];
	uint32_t i, n = membership_own_runs(c->membership, runs);

	if (!heartbeats_are_usable(c))
		return;
	for (i = 0; i < n; i++)
		if (instances_restore(&c->instances, &runs[i])) {
			log_info("the upstream of %s at port %u had announced "
				 "its end to an earlier process of this node",
			    c->instance_service, c->instance_port);
			withdraw_current(c);
		}
	control_reports_apply(c);
	control_reports_check_waits(c);
}

/* A report of leaving that is posted to the control thread. */
struct leaving_task {
	struct control *control;
	char service[SERVICE_NAME_BYTES];
	uint16_t port;
	const char *instance;
	uint64_t started_ms;
};

/* A report of a run that was replaced meanwhile is ignored. */
static void
leaving_posted(void *arg)
{
	struct leaving_task *t = arg;
	struct control *c = t->control;

	if (t->instance[0] == '\0' ||
	    instances_is_latest(&c->instances, t->instance, t->started_ms)) {
		(void)membership_set_leaving(
		    c->membership, control_now(c), t->service, t->port, 1);
		if (t->instance[0] != '\0')
			keep_report(
			    c, t->instance, UINT64_MAX, ENDPOINT_DRAINING);
		control_pump(c);
	}
	g_free(t);
}

/* Called in the guard's thread. */
static void
on_leaving(const char *service, uint16_t port, const char *instance,
    uint64_t started_ms, void *arg)
{
	struct control *c = arg;
	struct leaving_task *t = g_new0(struct leaving_task, 1);

	t->control = c;
	(void)g_strlcpy(t->service, service, sizeof(t->service));
	t->port = port;
	t->instance = instance;
	t->started_ms = started_ms;
	loop_post(c->loop, leaving_posted, t);
}

void
control_upstream_init(struct control *c)
{
	guard_set_leaving(c->guard, on_leaving, c);
	control_reports_init(c);
}

void
control_check_upstreams(struct control *c, const struct call_dialect *dialect)
{
	c->dialect = dialect;
}

void
control_upstream_clear(struct control *c)
{
	control_check_clear(c);
	control_reports_clear(c);
}
