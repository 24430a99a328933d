/*
 * Placement: chooses the endpoint that serves a call.
 *
 * Uses power of two choices on the expected time until each endpoint answers,
 * prefers the own data centre, and spills over to other data centres when the
 * local endpoints are saturated or absent.
 */
#ifndef TRAFFIC_PLACEMENT_H
#define TRAFFIC_PLACEMENT_H

#include "traffic/endpoints.h"
#include "traffic/ejection.h"

/**
 * enum placement_reason - why an endpoint was chosen, or why none was
 * @PLACEMENT_OWN: on the own host, with free capacity
 * @PLACEMENT_LOCAL: the endpoint that is expected to answer sooner, of two in
 *	the own data centre
 * @PLACEMENT_SPILLED: a remote endpoint is expected to answer sooner than a
 *	local one that is saturated, or at least twice as soon as one that is
 *	not
 * @PLACEMENT_REMOTE: the own data centre has no usable endpoint
 * @PLACEMENT_PROBE: an ejected endpoint is probed
 * @PLACEMENT_PANIC: no usable endpoint is left; an untried one is used although
 *	it is ejected, silent, partitioned or to be avoided
 * @PLACEMENT_REPEATED: only endpoints that this call has tried are left
 * @PLACEMENT_HOME: the home of the call's idempotency key
 * @PLACEMENT_RANKED: first in rendezvous rank for the call's content
 * @PLACEMENT_CANARY: runs the version on trial and gets its share of the calls
 * @PLACEMENT_RANDOM: chosen by the naive policy
 * @PLACEMENT_NONE: no endpoint is usable
 */
enum placement_reason {
	PLACEMENT_OWN = 0,
	PLACEMENT_LOCAL,
	PLACEMENT_SPILLED,
	PLACEMENT_REMOTE,
	PLACEMENT_PROBE,
	PLACEMENT_PANIC,
	PLACEMENT_REPEATED,
	PLACEMENT_HOME,
	PLACEMENT_RANKED,
	PLACEMENT_CANARY,
	PLACEMENT_RANDOM,
	PLACEMENT_NONE,
};

/** placement_reason_name() - short name for log lines */
const char *placement_reason_name(enum placement_reason r);

/**
 * struct placement_query - the call to place
 * @service: see service_id()
 * @key: idempotency key, or NULL; a call with a key goes to the key's home
 * @key_len: length of @key in bytes
 * @key_scope: number of the customer whose key it is, 0 for none
 * @content: hash of the content of a request that may crash upstreams; such a
 *	request goes to the endpoint that ranks first for this hash, which is
 *	the same at all entries; 0 for all other requests
 * @tried: endpoints that this call has tried
 * @n_tried: number of @tried
 * @idempotent: an idempotent request may probe an ejected endpoint earlier
 *	than others
 * @avoid_own: an endpoint on the own host is used only if no other one is
 *	usable
 * @kind: number of the kind of request, see endpoints_ran(); 0 when unknown
 * @canaries: the call goes to one of this many first usable endpoints of the
 *	version on trial; 0 for an endpoint of the current version
 */
struct placement_query {
	uint64_t service;
	const void *key;
	size_t key_len;
	uint64_t key_scope;
	uint64_t content;
	const uint64_t *tried;
	size_t n_tried;
	bool idempotent;
	bool avoid_own;
	uint64_t kind;
	uint32_t canaries;
};

/**
 * struct placement_choice - the decision, for the call and its log line
 * @endpoint: the chosen endpoint, 0 for none
 * @reason: why it was chosen
 * @load: estimated load of the endpoint in requests
 * @slots: slots of the endpoint as used for the decision; reduced during slow
 *	start
 * @expected_ms: expected time until the answer; 0 when unknown
 */
struct placement_choice {
	uint64_t endpoint;
	enum placement_reason reason;
	uint32_t load;
	uint32_t slots;
	uint32_t expected_ms;
};

/**
 * struct placement_config - settings of a placement policy
 * @saturation_percent: load, in percent of its slots, from which a local
 *	endpoint is saturated
 * @own_percent: load, in percent of its slots, up to which an endpoint on the
 *	own host is preferred; 0 for never.  A call to the own host crosses no
 *	link and costs no second node any work.
 * @local_first: prefer the own data centre
 * @choices: number of endpoints that are compared where run times are known
 * @spill_percent: expected time in the own data centre, in percent of that in
 *	another one, from which a call goes there where run times are known
 * @own_slower_percent: expected time at the own host, in percent of that of
 *	another endpoint, up to which the own host is preferred where run times
 *	are known
 */
struct placement_config {
	uint32_t saturation_percent;
	uint32_t own_percent;
	bool local_first;
	uint32_t choices;
	uint32_t spill_percent;
	uint32_t own_slower_percent;
};

struct placement;

/**
 * struct placement_ops - operations of a placement policy
 * @choose: see placement_choose()
 */
struct placement_ops {
	bool (*choose)(struct placement *p, const struct placement_query *q,
	    uint64_t now_ms, struct placement_choice *out);
};

/** placement_config_default() - fill in the default settings */
void placement_config_default(struct placement_config *cfg);

/**
 * placement_new() - create the power-of-two-choices policy
 * @cfg: settings; copied
 * @endpoints: borrowed; must outlive the placement
 * @ejection: borrowed; NULL disables ejection
 * @seed: seed of the random choices
 */
struct placement *placement_new(const struct placement_config *cfg,
    struct endpoints *endpoints, struct ejection *ejection, uint64_t seed);

/**
 * placement_new_naive() - create a policy that picks a random ready endpoint
 * of the snapshot; the baseline for comparisons
 */
struct placement *
placement_new_naive(struct endpoints *endpoints, uint64_t seed);

/** placement_free() - free the policy; endpoints and ejection are not freed */
void placement_free(struct placement *p);

/**
 * placement_choose() - choose an endpoint for a call
 * @p: the placement
 * @q: the call
 * @now_ms: monotonic time
 * @out: the choice; its reason is PLACEMENT_NONE when no endpoint is usable
 *
 * Return: true when an endpoint was chosen.
 */
bool placement_choose(struct placement *p, const struct placement_query *q,
    uint64_t now_ms, struct placement_choice *out);

#endif
