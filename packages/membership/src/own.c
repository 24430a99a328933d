/*
 * Endpoints of the own host, as its upstreams announce them.
 *
 * An announcement holds until its lease expires.  Then the endpoint is
 * draining, and after the same time once more it has left.  Endpoints that have
 * left stay in the record for a while, so that each node receives the state.
 */
#include <string.h>

#include "base/clock.h"
#include "base/service_name.h"

#include "action.h"
#include "news.h"
#include "own.h"
#include "table.h"

/* Time for which an endpoint that has left stays in the record. */
#define LEFT_RETENTION_MS 30000

static struct own_endpoint *
own_at(const struct membership *m, uint32_t i)
{
	return &g_array_index(m->own, struct own_endpoint, i);
}

static struct own_endpoint *
own_find(const struct membership *m, const char *service, uint16_t port)
{
	struct own_endpoint *e;
	uint32_t i;

	for (i = 0; i < m->own->len; i++) {
		e = own_at(m, i);
		if (e->port == port && strcmp(e->service, service) == 0)
			return e;
	}
	return NULL;
}

/* Writes the endpoints into the own record and gossips the record. */
static void
publish(struct membership *m)
{
	struct rec_endpoint recs[MEMBER_ENDPOINTS_MAX];
	const struct own_endpoint *e;
	struct row *self = m->self;
	uint32_t i;

	memset(recs, 0, sizeof(recs));
	for (i = 0; i < m->own->len; i++) {
		e = own_at(m, i);
		memcpy(recs[i].service, e->service, sizeof(e->service));
		recs[i].port = e->port;
		recs[i].slots = e->slots;
		recs[i].cold_ms = e->cold_ms;
		recs[i].state = e->state;
		recs[i].revision = e->revision;
		memcpy(recs[i].version, e->version, sizeof(e->version));
	}
	table_set_endpoints(&m->table, self, recs, m->own->len);
	table_set(&m->table, self, self->member.incarnation + 1,
	    (enum member_state)self->member.state);
	action_changed(m, self, 1);
	if (m->phase == MEMBERSHIP_JOINED || m->phase == MEMBERSHIP_LEAVING)
		news_add(m, self, 1);
}

static void
set_state(
    struct membership *m, struct own_endpoint *e, enum endpoint_state state)
{
	e->state = state;
	e->revision++;
	if (state == ENDPOINT_LEFT) {
		e->leaving = 0;
		e->lease_ms = DEADLINE_NEVER;
		e->leave_ms = DEADLINE_NEVER;
		e->drop_ms = m->now_ms + LEFT_RETENTION_MS;
	}
}

/* Allocates an endpoint: a new entry, or that of an endpoint that has left. */
static struct own_endpoint *
own_add(struct membership *m, const char *service, uint16_t port)
{
	struct own_endpoint *e, new_e = {.port = port};
	uint32_t i;

	if (m->own->len < MEMBER_ENDPOINTS_MAX) {
		g_array_append_val(m->own, new_e);
		e = own_at(m, m->own->len - 1);
		(void)g_strlcpy(e->service, service, sizeof(e->service));
		return e;
	}
	for (i = 0; i < m->own->len; i++) {
		e = own_at(m, i);
		if (e->state != ENDPOINT_LEFT)
			continue;
		*e = new_e;
		(void)g_strlcpy(e->service, service, sizeof(e->service));
		return e;
	}
	return NULL;
}

static enum status
validate(const char *service, uint16_t port, enum endpoint_state state)
{
	if (!service_name_valid(service, strlen(service)))
		return status_set(STATUS_INVALID,
		    "A service's name has " SERVICE_NAME_RULE
		    "; correct the announcement of \"%.80s\".",
		    service);
	if (port == 0)
		return status_set(STATUS_INVALID,
		    "Port 0 can't be called; announce %s with its port.",
		    service);
	if (state > ENDPOINT_DRAINING)
		return status_set(STATUS_INVALID,
		    "An upstream announces starting, ready or draining; "
		    "withdraw %s if it has left.",
		    service);
	return STATUS_OK;
}

enum status
membership_announce(struct membership *m, uint64_t now_ms, const char *service,
    uint16_t port, uint16_t slots, enum endpoint_state state, uint64_t lease_ms,
    uint16_t cold_ms, const char *version)
{
	enum status st = validate(service, port, state);
	struct own_endpoint *e;
	int changed;

	if (st != STATUS_OK)
		return st;
	m->now_ms = MAX(m->now_ms, now_ms);
	e = own_find(m, service, port);
	if (e != NULL && state == ENDPOINT_STARTING)
		e->leaving = 0;
	if (e != NULL && e->leaving)
		state = ENDPOINT_DRAINING;
	if (version == NULL)
		version = "";
	changed = e == NULL || e->slots != slots || e->state != state ||
	    strcmp(e->version, version) != 0;
	if (e == NULL)
		e = own_add(m, service, port);
	if (e == NULL)
		return status_set(STATUS_OVERLOADED,
		    "This host has %d endpoints already; withdraw one or "
		    "announce %s from another host.",
		    MEMBER_ENDPOINTS_MAX, service);
	e->lease_ms = lease_ms;
	e->leave_ms = lease_ms == DEADLINE_NEVER
	    ? DEADLINE_NEVER
	    : lease_ms + clock_left_ms(lease_ms, m->now_ms);
	e->drop_ms = DEADLINE_NEVER;
	if (!changed)
		return STATUS_OK;
	e->slots = slots;
	e->cold_ms = cold_ms;
	(void)g_strlcpy(e->version, version, sizeof(e->version));
	set_state(m, e, state);
	publish(m);
	return STATUS_OK;
}

enum status
membership_set_leaving(struct membership *m, uint64_t now_ms,
    const char *service, uint16_t port, int leaving)
{
	struct own_endpoint *e = own_find(m, service, port);

	if (e == NULL || e->state == ENDPOINT_LEFT)
		return status_set(STATUS_NOT_FOUND,
		    "No endpoint of %s at port %u is announced on this host.",
		    service, port);
	m->now_ms = MAX(m->now_ms, now_ms);
	e->leaving = leaving;
	if (!leaving || e->state == ENDPOINT_DRAINING)
		return STATUS_OK;
	set_state(m, e, ENDPOINT_DRAINING);
	publish(m);
	return STATUS_OK;
}

enum status
membership_withdraw(
    struct membership *m, uint64_t now_ms, const char *service, uint16_t port)
{
	struct own_endpoint *e = own_find(m, service, port);

	if (e == NULL || e->state == ENDPOINT_LEFT)
		return status_set(STATUS_NOT_FOUND,
		    "No endpoint of %s at port %u is announced on this host; "
		    "look at GET /v1/members.",
		    service, port);
	m->now_ms = MAX(m->now_ms, now_ms);
	set_state(m, e, ENDPOINT_LEFT);
	publish(m);
	return STATUS_OK;
}

/*
 * Applies expired deadlines to an endpoint.  Returns 1 when the endpoint
 * changed, -1 when it is to be dropped.
 */
static int
expire_endpoint(struct membership *m, struct own_endpoint *e)
{
	if (e->state == ENDPOINT_LEFT)
		return m->now_ms >= e->drop_ms ? -1 : 0;
	if (m->now_ms >= e->leave_ms) {
		set_state(m, e, ENDPOINT_LEFT);
		return 1;
	}
	if (m->now_ms >= e->lease_ms && e->state != ENDPOINT_DRAINING) {
		set_state(m, e, ENDPOINT_DRAINING);
		return 1;
	}
	return 0;
}

void
own_tick(struct membership *m)
{
	int changed = 0, result;
	uint32_t i;

	for (i = m->own->len; i-- > 0;) {
		result = expire_endpoint(m, own_at(m, i));
		changed |= result != 0;
		if (result < 0)
			(void)g_array_remove_index(m->own, i);
	}
	if (changed)
		publish(m);
}

uint64_t
own_next_ms(const struct membership *m)
{
	const struct own_endpoint *e;
	uint64_t next = DEADLINE_NEVER;
	uint32_t i;

	for (i = 0; i < m->own->len; i++) {
		e = own_at(m, i);
		if (e->state == ENDPOINT_LEFT)
			next = MIN(next, e->drop_ms);
		else if (e->state == ENDPOINT_DRAINING)
			next = MIN(next, e->leave_ms);
		else
			next = MIN(next, e->lease_ms);
	}
	return next;
}

static void
extend(uint64_t *deadline_ms, uint64_t gap_ms)
{
	if (*deadline_ms != DEADLINE_NEVER)
		*deadline_ms += gap_ms;
}

void
own_extend(struct membership *m, uint64_t gap_ms)
{
	uint32_t i;

	for (i = 0; i < m->own->len; i++) {
		extend(&own_at(m, i)->lease_ms, gap_ms);
		extend(&own_at(m, i)->leave_ms, gap_ms);
	}
}

void
own_leave(struct membership *m)
{
	struct own_endpoint *e;
	uint32_t i;

	for (i = 0; i < m->own->len; i++) {
		e = own_at(m, i);
		if (e->state != ENDPOINT_LEFT)
			set_state(m, e, ENDPOINT_LEFT);
	}
	publish(m);
}
