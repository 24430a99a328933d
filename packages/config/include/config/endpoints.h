/*
 * Endpoints that membership knows, grouped by service, as input to the
 * compilation of snapshots.
 *
 * The shell sets a host's endpoints whenever they change; the list of a
 * service is an immutable array that snapshots share by reference count.
 * One thread owns the set.
 */
#ifndef CONFIG_ENDPOINTS_H
#define CONFIG_ENDPOINTS_H

#include <stdatomic.h>
#include <stdint.h>

#include "config/service.h"
#include "proto/addr.h"

/* Longest name of a host or data centre, zero included. */
#define HOST_NAME_BYTES 32

/* Longest version of an upstream's software, zero included. */
#define ENDPOINT_VERSION_BYTES 32

/** enum serving_state - what an upstream said of itself */
enum serving_state {
	SERVING_STARTING = 0,
	SERVING_READY,
	SERVING_DRAINING,
};

/** ENDPOINT_COLD_UNKNOWN - an upstream didn't say how long it is still slow */
#define ENDPOINT_COLD_UNKNOWN UINT32_MAX

/**
 * struct endpoint - an upstream of a service on a host
 * @service: name of the service
 * @host: name of the host
 * @data_centre: data centre of the host
 * @address: where the host's guard takes calls
 * @incarnation: incarnation of the host's node
 * @slots: slots that the upstream announced
 * @cold_ms: how long it was still slow after its start when it was announced,
 *	or ENDPOINT_COLD_UNKNOWN
 * @state: what it said of itself
 * @version: version of its software, empty when not told
 */
struct endpoint {
	char service[SERVICE_NAME_BYTES];
	char host[HOST_NAME_BYTES];
	char data_centre[HOST_NAME_BYTES];
	struct net_addr address;
	uint64_t incarnation;
	uint32_t slots;
	uint32_t cold_ms;
	enum serving_state state;
	char version[ENDPOINT_VERSION_BYTES];
};

/**
 * struct endpoint_list - endpoints of one service; immutable
 * @refs: references; use endpoint_list_ref() and endpoint_list_unref()
 * @service: name of the service
 * @n_endpoints: number of endpoints
 * @endpoints: endpoints, sorted by host
 */
struct endpoint_list {
	_Atomic uint32_t refs;
	char service[SERVICE_NAME_BYTES];
	uint32_t n_endpoints;
	struct endpoint endpoints[];
};

/** endpoint_list_ref() - take a reference; any thread; Return: @list */
struct endpoint_list *endpoint_list_ref(struct endpoint_list *list);

/** endpoint_list_unref() - give a reference back; any thread; NULL is fine */
void endpoint_list_unref(struct endpoint_list *list);

struct endpoint_set;

/** endpoint_set_new() - an empty set */
struct endpoint_set *endpoint_set_new(void);

/** endpoint_set_free() - free a set; NULL is fine */
void endpoint_set_free(struct endpoint_set *set);

/**
 * endpoint_set_host() - set all endpoints of a host
 * @set: set
 * @host: name of the host
 * @endpoints: its endpoints; host names in them are not looked at
 * @n_endpoints: number of endpoints, 0 when the host left
 *
 * Of two endpoints with the same service the last counts.  Names that are
 * not valid are left out.
 *
 * Return: number of services whose endpoints changed.
 */
uint32_t endpoint_set_host(struct endpoint_set *set, const char *host,
    const struct endpoint *endpoints, uint32_t n_endpoints);

/**
 * endpoint_set_list() - endpoints of a service
 * @set: set
 * @service: name of the service
 *
 * Return: the list, owned by the set, or NULL when there are none.
 */
struct endpoint_list *
endpoint_set_list(const struct endpoint_set *set, const char *service);

/** endpoint_set_size() - number of endpoints */
uint32_t endpoint_set_size(const struct endpoint_set *set);

#endif
