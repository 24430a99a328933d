/*
 * Placement: which endpoint serves a call.
 *
 * Power of two choices on an estimate of each endpoint's load, own data
 * centre first, spill-over when the local ones are saturated or absent.
 */
#ifndef TRAFFIC_PLACEMENT_H
#define TRAFFIC_PLACEMENT_H

#include "traffic/endpoints.h"
#include "traffic/ejection.h"

/**
 * enum placement_reason - why an endpoint was (or none could be) chosen
 * @PLACEMENT_OWN: on the own host, with room
 * @PLACEMENT_LOCAL: less loaded of two in the own data centre
 * @PLACEMENT_SPILLED: local ones are saturated, a remote one is not
 * @PLACEMENT_REMOTE: the own data centre has no usable endpoint
 * @PLACEMENT_PROBE: an ejected endpoint is tried again
 * @PLACEMENT_PANIC: all usable ones are ejected; the ejection is ignored
 * @PLACEMENT_REPEATED: only endpoints already tried are left
 * @PLACEMENT_HOME: the home of the call's idempotency key
 * @PLACEMENT_RANKED: first in rank for the call's content
 * @PLACEMENT_CANARY: of a version that is tried, for its share of calls
 * @PLACEMENT_RANDOM: the naive version's pick
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

/** placement_reason_name() - short name for the log line */
const char *placement_reason_name(enum placement_reason r);

/**
 * struct placement_query - what is to be placed
 * @service: see service_id()
 * @key: idempotency key, or NULL; a keyed call goes to the key's home
 * @key_len: bytes of @key
 * @content: of a request that may crash upstreams: it goes to the one that this
 *	ranks first, the same for all entries; 0 for any other
 * @tried: endpoints that this call has tried
 * @n_tried: number of @tried
 * @idempotent: a probe of an ejected endpoint takes only such requests
 * @avoid_own: an endpoint on the own host is the last choice
 * @canaries: the call goes to one of the first so many usable endpoints of the
 *	version that is tried; 0 for one of the current version
 */
struct placement_query {
	uint64_t service;
	const void *key;
	size_t key_len;
	uint64_t content;
	const uint64_t *tried;
	size_t n_tried;
	bool idempotent;
	bool avoid_own;
	uint32_t canaries;
};

/**
 * struct placement_choice - the decision, for the call and its log line
 * @endpoint: the endpoint, 0 for none
 * @reason: why
 * @load: estimated load of the endpoint
 * @slots: its slots as counted now (fewer during slow start)
 */
struct placement_choice {
	uint64_t endpoint;
	enum placement_reason reason;
	uint32_t load;
	uint32_t slots;
};

/**
 * struct placement_config - the policy
 * @saturation_percent: a local endpoint counts as saturated from this share
 *	of its slots on
 * @own_percent: an endpoint on the own host goes first up to this share of
 *	its slots; 0 for never.  It spares both ends of a link each request and
 *	answer, and a second node's work.
 * @local_first: prefer the own data centre
 */
struct placement_config {
	uint32_t saturation_percent;
	uint32_t own_percent;
	bool local_first;
};

struct placement;

/**
 * struct placement_ops - a placement policy
 * @choose: see placement_choose()
 */
struct placement_ops {
	bool (*choose)(struct placement *p, const struct placement_query *q,
	    uint64_t now_ms, struct placement_choice *out);
};

/** placement_config_default() - the values that measurement argued for */
void placement_config_default(struct placement_config *cfg);

/**
 * placement_new() - power of two choices
 * @cfg: settings; copied
 * @endpoints: borrowed; must outlive the placement
 * @ejection: borrowed; NULL ejects nothing
 * @seed: seed of the random picks
 */
struct placement *placement_new(const struct placement_config *cfg,
    struct endpoints *endpoints, struct ejection *ejection, uint64_t seed);

/** placement_new_naive() - a random endpoint that the snapshot calls ready */
struct placement *
placement_new_naive(struct endpoints *endpoints, uint64_t seed);

/** placement_free() - free it; endpoints and ejection stay */
void placement_free(struct placement *p);

/**
 * placement_choose() - choose an endpoint
 * @p: the placement
 * @q: the call
 * @now_ms: monotonic time
 * @out: the choice; its reason is PLACEMENT_NONE when there is none
 *
 * Return: true when an endpoint was chosen.
 */
bool placement_choose(struct placement *p, const struct placement_query *q,
    uint64_t now_ms, struct placement_choice *out);

#endif
