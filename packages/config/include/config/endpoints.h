/*
 * Endpoints announced through membership, grouped by service, as input to the
 * compilation of snapshots.
 *
 * The caller sets the endpoints of a host whenever they change.  The list of a
 * service is an immutable, reference-counted array that snapshots share.  The
 * set is owned by one thread.
 */
#ifndef CONFIG_ENDPOINTS_H
#define CONFIG_ENDPOINTS_H

#include <stdatomic.h>
#include <stdint.h>

#include "config/service.h"
#include "proto/addr.h"

/* Longest name of a host or data centre, including the terminating NUL. */
#define HOST_NAME_BYTES 32

/* Longest version of an upstream's software, including the NUL. */
#define ENDPOINT_VERSION_BYTES 32

/** enum serving_state - state that an upstream reports of itself */
enum serving_state {
	SERVING_STARTING = 0,
	SERVING_READY,
	SERVING_DRAINING,
};

/** ENDPOINT_COLD_UNKNOWN - the upstream reported no warm-up time */
#define ENDPOINT_COLD_UNKNOWN UINT32_MAX

/**
 * struct endpoint - an upstream of a service on a host
 * @service: name of the service
 * @host: name of the host
 * @data_centre: data centre of the host
 * @address: address at which the host's guard accepts calls
 * @incarnation: incarnation of the host's node
 * @slots: slots that the upstream announced
 * @cold_ms: remaining warm-up time at the time of the announcement, or
 *	ENDPOINT_COLD_UNKNOWN
 * @state: state that the upstream reported
 * @version: version of the upstream's software, empty if not reported
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

/** endpoint_list_unref() - drop a reference; any thread; accepts NULL */
void endpoint_list_unref(struct endpoint_list *list);

struct endpoint_set;

/** endpoint_set_new() - create an empty set */
struct endpoint_set *endpoint_set_new(void);

/** endpoint_set_free() - free a set; accepts NULL */
void endpoint_set_free(struct endpoint_set *set);

/**
 * endpoint_set_host() - replace all endpoints of a host
 * @set: set
 * @host: name of the host
 * @endpoints: new endpoints; the host names in them are ignored
 * @n_endpoints: number of endpoints, 0 when the host left
 *
 * Of several endpoints of one service the last one is used.  Endpoints with an
 * invalid service name are skipped.
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
 * Return: the list, owned by the set, or NULL if there are none.
 */
struct endpoint_list *
endpoint_set_list(const struct endpoint_set *set, const char *service);

/** endpoint_set_size() - number of endpoints */
uint32_t endpoint_set_size(const struct endpoint_set *set);

#endif
