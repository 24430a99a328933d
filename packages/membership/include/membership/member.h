/*
 * Public record of a host and of the upstreams on it.
 */
#ifndef MEMBERSHIP_MEMBER_H
#define MEMBERSHIP_MEMBER_H

#include <stdint.h>

#include "proto/addr.h"
#include "proto/messages.h"

/* Longest name of a host, data centre or service, without the NUL. */
#define MEMBER_NAME_MAX 31
#define MEMBER_NAME_BYTES (MEMBER_NAME_MAX + 1)

/** MEMBER_ENDPOINTS_MAX - most endpoints that one host announces */
#define MEMBER_ENDPOINTS_MAX 8

/* Sets of member states, for lookups that filter. */
#define MEMBER_STATE_BIT(state) (1U << (state))
#define MEMBER_STATES_LIVE \
	(MEMBER_STATE_BIT(MEMBER_ALIVE) | MEMBER_STATE_BIT(MEMBER_SUSPECT))
#define MEMBER_STATES_DEAD \
	(MEMBER_STATE_BIT(MEMBER_FAILED) | MEMBER_STATE_BIT(MEMBER_LEFT))

/**
 * MEMBER_COLD_UNKNOWN - remaining time of an endpoint's slow start is unknown
 */
#define MEMBER_COLD_UNKNOWN UINT16_MAX

/**
 * struct member_endpoint - one upstream of a host
 * @service: name of the service; valid as long as the membership
 * @revision: rises with each change of this endpoint during a run of its
 *	host's node
 * @port: port of the upstream on its host
 * @slots: requests that the upstream runs at once
 * @cold_ms: remaining time of its slow start when it was announced,
 *	milliseconds, or MEMBER_COLD_UNKNOWN
 * @state: enum endpoint_state
 * @version: version of its software, empty when unknown; valid as long as the
 *	membership
 */
struct member_endpoint {
	const char *service;
	uint32_t revision;
	uint16_t port;
	uint16_t slots;
	uint16_t cold_ms;
	uint8_t state;
	const char *version;
};

/**
 * struct member - one host
 * @host: name of the host
 * @data_centre: name of its data centre; valid as long as the membership
 * @endpoints: its upstreams
 * @incarnation: version of the record; only the host itself raises it
 * @started_ms: wall-clock start of its process, milliseconds since 1970
 * @address: control address, TCP and UDP
 * @link_mbps: rate of its link in Mbit/s, 0 when unknown
 * @call_port: port for calls, on the same IP
 * @state: enum member_state; failed and left members are kept for a while as
 *	tombstones
 * @n_endpoints: number of @endpoints
 *
 * Only the membership package writes the record.  A pointer is valid until the
 * next event is given to the membership.
 */
struct member {
	char host[MEMBER_NAME_BYTES];
	const char *data_centre;
	struct member_endpoint *endpoints;
	uint64_t incarnation;
	uint64_t started_ms;
	struct net_addr address;
	uint32_t link_mbps;
	uint16_t call_port;
	uint8_t state;
	uint8_t n_endpoints;
};

/**
 * member_is_live() - whether a host is alive or suspect, so that it may be used
 */
static inline int
member_is_live(const struct member *m)
{
	return m->state == MEMBER_ALIVE || m->state == MEMBER_SUSPECT;
}

#endif
