/*
 * Records: encoded form of hosts in messages.
 */
#include <string.h>

#include "base/service_name.h"

#include "record.h"

/*
 * Most bytes of msgpack: a record without its names and endpoints, and an
 * endpoint without its service's name and its version.
 */
#define RECORD_FIXED_BYTES 47
#define ENDPOINT_FIXED_BYTES 17

/* Whether a name of a host or data centre is valid. */
static int
name_valid(const char *name)
{
	const char *p;

	for (p = name; *p != '\0'; p++)
		if (!g_ascii_isalnum(*p) && *p != '-' && *p != '_' && *p != '.')
			return 0;
	return p != name;
}

int
record_valid(const struct rec_member *rec)
{
	const char *service;
	uint32_t i;

	if (!name_valid(rec->host) || !name_valid(rec->data_centre))
		return 0;
	if (rec->ip == 0 || rec->peer_port == 0)
		return 0;
	if (rec->incarnation > INCARNATION_MAX)
		return 0;
	for (i = 0; i < rec->n_endpoints; i++) {
		service = rec->endpoints[i].service;
		if (!service_name_valid(service, strlen(service)))
			return 0;
	}
	return 1;
}

static void
endpoint_fill(const struct member_endpoint *e, struct rec_endpoint *rec)
{
	(void)g_strlcpy(rec->service, e->service, sizeof(rec->service));
	rec->port = e->port;
	rec->slots = e->slots;
	rec->cold_ms = e->cold_ms;
	rec->state = (enum endpoint_state)e->state;
	rec->revision = e->revision;
	(void)g_strlcpy(rec->version, e->version, sizeof(rec->version));
}

void
record_fill(const struct row *r, struct rec_member *rec)
{
	const struct member *mb = &r->member;
	uint32_t i;

	memset(rec, 0, sizeof(*rec));
	memcpy(rec->host, mb->host, sizeof(rec->host));
	(void)g_strlcpy(
	    rec->data_centre, mb->data_centre, sizeof(rec->data_centre));
	rec->ip = mb->address.ip;
	rec->peer_port = mb->address.port;
	rec->call_port = mb->call_port;
	rec->link_mbps = mb->link_mbps;
	rec->incarnation = mb->incarnation;
	rec->started_ms = mb->started_ms;
	rec->state = (enum member_state)mb->state;
	if (mb->state == MEMBER_SUSPECT && r->n_accusers > 0)
		rec->accuser = r->accusers[r->n_accusers - 1];
	rec->n_endpoints = mb->n_endpoints;
	rec->endpoints = g_new0(struct rec_endpoint, mb->n_endpoints);
	for (i = 0; i < mb->n_endpoints; i++)
		endpoint_fill(&mb->endpoints[i], &rec->endpoints[i]);
}

void
record_clear(struct rec_member *rec)
{
	g_free(rec->endpoints);
	rec->endpoints = NULL;
	rec->n_endpoints = 0;
}

uint32_t
record_bytes(const struct row *r)
{
	const struct member *mb = &r->member;
	uint32_t i;
	size_t n = RECORD_FIXED_BYTES;

	n += strlen(mb->host) + strlen(mb->data_centre);
	for (i = 0; i < mb->n_endpoints; i++)
		n += ENDPOINT_FIXED_BYTES + strlen(mb->endpoints[i].service) +
		    strlen(mb->endpoints[i].version);
	return (uint32_t)n;
}

void
record_apply(struct table *t, struct row *r, const struct rec_member *rec)
{
	r->member.address = record_addr(rec);
	r->member.call_port = rec->call_port;
	r->member.link_mbps = rec->link_mbps;
	table_set_started(t, r, rec->started_ms);
	table_set_endpoints(t, r, rec->endpoints, rec->n_endpoints);
}

struct net_addr
record_addr(const struct rec_member *rec)
{
	struct net_addr a = {rec->ip, rec->peer_port};

	return a;
}

int
batch_add(struct batch *b, const struct row *r)
{
	uint32_t bytes = record_bytes(r);

	if (b->n == BATCH_MAX ||
	    b->bytes + bytes > DATAGRAM_BYTES - DATAGRAM_RESERVED_BYTES)
		return 0;
	record_fill(r, &b->records[b->n++]);
	b->bytes += bytes;
	return 1;
}

void
batch_clear(struct batch *b)
{
	uint32_t i;

	for (i = 0; i < b->n; i++)
		record_clear(&b->records[i]);
	b->n = 0;
	b->bytes = 0;
}
